package raft

// campaign starts a pre-vote or an election. A planned transfer goes straight to the election.
func (m *Machine) campaign(role Role, transfer bool) {
	m.elapsed = 0
	// No leader is known that a retry could disturb, so that it may come sooner than a first attempt. This keeps an
	// election with one split vote below two seconds at the default tick.
	m.timeout = m.config.ElectionTicks/2 + m.config.Random(m.config.ElectionTicks+1)
	m.role = role
	m.leader = 0
	m.votes = map[uint64]bool{}
	term := m.term + 1
	kind := MessagePreVote
	if role == Candidate {
		m.term = term
		m.vote = m.id
		kind = MessageVote
	}
	if m.countVote(m.id, true) {
		return
	}
	for _, member := range m.Membership().Members {
		if member.Voter && member.ID != m.id {
			m.send(Message{Kind: kind, To: member.ID, Term: term, Log: m.log.last(), Transfer: transfer})
		}
	}
}

// countVote records an answer and reports whether it decided the campaign.
func (m *Machine) countVote(from uint64, granted bool) bool {
	if !m.Membership().IsVoter(from) {
		return false
	}
	m.votes[from] = granted
	yes, no := 0, 0
	for _, vote := range m.votes {
		if vote {
			yes++
		} else {
			no++
		}
	}
	quorum := m.Membership().Quorum()
	switch {
	case yes >= quorum && m.role == PreCandidate:
		m.campaign(Candidate, false)
	case yes >= quorum:
		m.becomeLeader()
	case no >= quorum:
		m.becomeFollower(m.term, 0)
	default:
		return false
	}
	return true
}

func (m *Machine) handleVote(message Message) {
	reply := MessageVoteReply
	granted := m.log.isUpToDate(message.Log) || m.config.faults.skipLogCheck
	if message.Kind == MessagePreVote {
		reply = MessagePreVoteReply
		granted = granted && message.Term > m.term
	} else {
		granted = granted && (m.vote == 0 || m.vote == message.From) && m.leader == 0
	}
	if !granted {
		m.send(Message{Kind: reply, To: message.From, Reject: true})
		return
	}
	if message.Kind == MessageVote {
		m.vote = message.From
		m.resetTimeout()
	}
	m.send(Message{Kind: reply, To: message.From, Term: message.Term})
}

func (m *Machine) handleVoteReply(message Message) {
	isPreVote := message.Kind == MessagePreVoteReply
	switch {
	case isPreVote && m.role != PreCandidate, !isPreVote && m.role != Candidate:
		return
	case isPreVote && !message.Reject && message.Term != m.term+1:
		return
	}
	m.countVote(message.From, !message.Reject)
}

func (m *Machine) becomeLeader() {
	m.role = Leader
	m.leader = m.id
	m.elapsed = 0
	m.heartbeat = 0
	m.transferTo = 0
	m.round = 0
	m.promotionIndex = m.log.last().Index + 1
	m.peers = map[uint64]*progress{}
	m.syncPeers()
	m.termStart = m.appendOwn(EntryEmpty, nil)
	m.broadcastAppend()
}

// hearsQuorum reports whether a quorum of the membership answered within an election timeout.
func (m *Machine) hearsQuorum(membership Membership) bool {
	heard := 0
	for _, member := range membership.Members {
		if member.Voter && m.hears(member.ID) {
			heard++
		}
	}
	return heard >= membership.Quorum()
}

func (m *Machine) hears(id uint64) bool {
	if id == m.id {
		return true
	}
	peer, ok := m.peers[id]
	return ok && m.now-peer.contact <= uint64(m.config.ElectionTicks)
}

// Transfer hands leadership to the voter, or to the most advanced reachable one for id 0. Proposals are refused until
// the transfer ends or an election timeout passes.
func (m *Machine) Transfer(id uint64) error {
	if m.role != Leader {
		return notLeader("transfer")
	}
	if id == 0 {
		id = m.mostAdvanced()
	}
	peer, ok := m.peers[id]
	if !ok || !m.Membership().IsVoter(id) || !m.hears(id) {
		return refused("transfer", "no reachable voter %x", id)
	}
	m.transferTo = id
	m.transferTicks = 0
	m.finishTransfer(id, peer)
	return nil
}

func (m *Machine) mostAdvanced() uint64 {
	var best, match uint64
	for _, member := range m.Membership().Members {
		peer, ok := m.peers[member.ID]
		if ok && member.Voter && m.hears(member.ID) && peer.match >= match {
			best, match = member.ID, peer.match
		}
	}
	return best
}

func (m *Machine) finishTransfer(id uint64, peer *progress) {
	if m.transferTo == id && peer.match == m.log.last().Index {
		m.send(Message{Kind: MessageTimeoutNow, To: id})
	}
}

func (m *Machine) tickTransfer() {
	m.transferTicks++
	if m.transferTo != 0 && m.transferTicks >= m.config.ElectionTicks {
		m.transferTo = 0
	}
}

func (m *Machine) handleTimeoutNow() {
	if m.Membership().IsVoter(m.id) {
		m.campaign(Candidate, true)
	}
}
