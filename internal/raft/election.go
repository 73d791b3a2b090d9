package raft

// campaign starts a pre-vote or an election. A leadership transfer skips the pre-vote.
func (rn *RawNode) campaign(role Role, transfer bool) {
	rn.electionElapsed = 0
	// A retry cannot disturb a known leader, so its timeout may be shorter than that of the first attempt. This keeps
	// an election with one split vote below two seconds at the default tick.
	rn.electionTimeout = rn.config.ElectionTicks/2 + rn.config.Random(rn.config.ElectionTicks+1)
	rn.role = role
	rn.leader = 0
	rn.votes = map[uint64]bool{}
	term := rn.term + 1
	kind := MessagePreVote
	if role == Candidate {
		rn.term = term
		rn.vote = rn.id
		kind = MessageVote
	}
	if rn.recordVote(rn.id, true) {
		return
	}
	for _, member := range rn.Membership().Members {
		if member.Voter && member.ID != rn.id {
			rn.send(Message{Kind: kind, To: member.ID, Term: term, Log: rn.log.last(), Transfer: transfer})
		}
	}
}

// recordVote records a vote and reports whether it decided the campaign.
func (rn *RawNode) recordVote(from uint64, granted bool) bool {
	if !rn.Membership().IsVoter(from) {
		return false
	}
	rn.votes[from] = granted
	yes, no := 0, 0
	for _, vote := range rn.votes {
		if vote {
			yes++
		} else {
			no++
		}
	}
	quorum := rn.Membership().Quorum()
	switch {
	case yes >= quorum && rn.role == PreCandidate:
		rn.campaign(Candidate, false)
	case yes >= quorum:
		rn.becomeLeader()
	case no >= quorum:
		rn.becomeFollower(rn.term, 0)
	default:
		return false
	}
	return true
}

func (rn *RawNode) handleVote(message Message) {
	reply := MessageVoteReply
	granted := rn.log.isUpToDate(message.Log) || rn.config.faults.skipUpToDateCheck
	if message.Kind == MessagePreVote {
		reply = MessagePreVoteReply
		granted = granted && message.Term > rn.term
	} else {
		granted = granted && (rn.vote == 0 || rn.vote == message.From) && rn.leader == 0
	}
	if !granted {
		rn.send(Message{Kind: reply, To: message.From, Reject: true})
		return
	}
	if message.Kind == MessageVote {
		rn.vote = message.From
		rn.resetTimeout()
	}
	rn.send(Message{Kind: reply, To: message.From, Term: message.Term})
}

func (rn *RawNode) handleVoteReply(message Message) {
	isPreVote := message.Kind == MessagePreVoteReply
	switch {
	case isPreVote && rn.role != PreCandidate, !isPreVote && rn.role != Candidate:
		return
	case isPreVote && !message.Reject && message.Term != rn.term+1:
		return
	}
	rn.recordVote(message.From, !message.Reject)
}

func (rn *RawNode) becomeLeader() {
	rn.role = Leader
	rn.leader = rn.id
	rn.electionElapsed = 0
	rn.heartbeatElapsed = 0
	rn.leadTransferee = 0
	rn.round = 0
	rn.promotionIndex = rn.log.last().Index + 1
	rn.peers = map[uint64]*progress{}
	rn.updatePeers()
	rn.termStartIndex = rn.appendEntry(EntryEmpty, nil)
	rn.broadcastAppend()
}

// quorumActive reports whether a quorum of the membership responded within an election timeout.
func (rn *RawNode) quorumActive(membership Membership) bool {
	active := 0
	for _, member := range membership.Members {
		if member.Voter && rn.recentlyActive(member.ID) {
			active++
		}
	}
	return active >= membership.Quorum()
}

func (rn *RawNode) recentlyActive(id uint64) bool {
	if id == rn.id {
		return true
	}
	peer, ok := rn.peers[id]
	return ok && rn.tickCount-peer.lastContact <= uint64(rn.config.ElectionTicks)
}

// TransferLeader transfers leadership to the given voter, or to the recently active voter with the longest matching log
// if id is 0. Proposals are rejected until the transfer completes or an election timeout passes.
func (rn *RawNode) TransferLeader(id uint64) error {
	if rn.role != Leader {
		return notLeaderError("transfer")
	}
	if id == 0 {
		id = rn.mostAdvancedVoter()
	}
	peer, ok := rn.peers[id]
	if !ok || !rn.Membership().IsVoter(id) || !rn.recentlyActive(id) {
		return conflictError("transfer", "no reachable voter %x", id)
	}
	rn.leadTransferee = id
	rn.transferElapsed = 0
	rn.maybeSendTimeoutNow(id, peer)
	return nil
}

func (rn *RawNode) mostAdvancedVoter() uint64 {
	var best, match uint64
	for _, member := range rn.Membership().Members {
		peer, ok := rn.peers[member.ID]
		if ok && member.Voter && rn.recentlyActive(member.ID) && peer.match >= match {
			best, match = member.ID, peer.match
		}
	}
	return best
}

func (rn *RawNode) maybeSendTimeoutNow(id uint64, peer *progress) {
	if rn.leadTransferee == id && peer.match == rn.log.last().Index {
		rn.send(Message{Kind: MessageTimeoutNow, To: id})
	}
}

func (rn *RawNode) tickTransfer() {
	rn.transferElapsed++
	if rn.leadTransferee != 0 && rn.transferElapsed >= rn.config.ElectionTicks {
		rn.leadTransferee = 0
	}
}

func (rn *RawNode) handleTimeoutNow() {
	if rn.Membership().IsVoter(rn.id) {
		rn.campaign(Candidate, true)
	}
}
