package raft

// AddLearner adds a member without a vote. It is promoted by itself once its log is synced.
func (m *Machine) AddLearner(member Member) (Position, error) {
	member.Voter = false
	if _, ok := m.Membership().Find(member.ID); ok {
		return Position{}, refused("add", "%x is a member already", member.ID)
	}
	return m.change("add", m.Membership().With(member))
}

// Remove removes a member. A leader hands leadership over before it is removed.
func (m *Machine) Remove(id uint64) (Position, error) {
	if _, ok := m.Membership().Find(id); !ok {
		return Position{}, refused("remove", "%x is no member", id)
	}
	if id == m.id {
		return Position{}, refused("remove", "the leader does not remove itself; transfer leadership first")
	}
	return m.change("remove", m.Membership().Without(id))
}

// change appends a membership that differs in one member. Two memberships that differ in one member have overlapping
// quorums only if the earlier one is committed, and only in a term whose leader has committed an entry: otherwise two
// leaders could each commit a change that the other does not know.
func (m *Machine) change(op string, next Membership) (Position, error) {
	switch {
	case m.role != Leader || m.transferTo != 0 || m.failure != nil:
		return Position{}, notLeader(op)
	case m.log.config().index > m.log.commit && !m.config.faults.changeBeforeCommit:
		return Position{}, refused(op, "another membership change is not committed yet")
	case !m.hasCommittedInTerm() && !m.config.faults.changeBeforeCommit:
		return Position{}, refused(op, "the leader has committed no entry of its term yet")
	case !m.hearsQuorum(next):
		return Position{}, refused(op, "too few voters of the next membership are reachable")
	}
	index := m.appendOwn(EntryMembership, EncodeMembership(next))
	m.broadcastAppend()
	return Position{Index: index, Term: m.term}, nil
}

func (m *Machine) hasCommittedInTerm() bool {
	return m.log.commit >= m.termStart
}

// maybePromote makes a learner a voter once its disk holds the log up to the commit index of the last heartbeat. The
// current commit index would be out of reach of a learner under constant load.
func (m *Machine) maybePromote(id uint64, peer *progress) {
	member, ok := m.Membership().Find(id)
	if !ok || member.Voter || m.role != Leader {
		return
	}
	if !m.isSynced(peer) && !m.config.faults.promoteEmpty {
		return
	}
	member.Voter = true
	// A refusal is temporary: the next answer of the learner tries again.
	_, _ = m.change("promote", m.Membership().With(member))
}

func (m *Machine) isSynced(peer *progress) bool {
	return m.hasCommittedInTerm() && peer.match >= max(m.promotionIndex, m.termStart)
}

// PeerStatus is what the leader knows about another member.
type PeerStatus struct {
	Match uint64
	// SilentTicks counts the ticks since the last message from the member.
	SilentTicks uint64
}

// Peers returns what a leader knows about the other members, and nil on any other member.
func (m *Machine) Peers() map[uint64]PeerStatus {
	if m.role != Leader {
		return nil
	}
	out := map[uint64]PeerStatus{}
	for id, peer := range m.peers {
		out[id] = PeerStatus{Match: peer.match, SilentTicks: m.now - peer.contact}
	}
	return out
}
