package raft

// AddLearner adds a non-voting member. The leader promotes it to a voter automatically once it has caught up, unless the
// group has MaxVoters voters.
func (rn *RawNode) AddLearner(member Member) (Position, error) {
	member.Voter = false
	if _, ok := rn.Membership().Find(member.ID); ok {
		return Position{}, conflictError("add", "%x is already a member", member.ID)
	}
	return rn.proposeMembership("add", rn.Membership().With(member))
}

// Remove removes a member. A leader must transfer its leadership before it can be removed.
func (rn *RawNode) Remove(id uint64) (Position, error) {
	if _, ok := rn.Membership().Find(id); !ok {
		return Position{}, conflictError("remove", "%x is not a member", id)
	}
	if id == rn.id {
		return Position{}, conflictError("remove", "the leader cannot remove itself; transfer leadership first")
	}
	return rn.proposeMembership("remove", rn.Membership().Without(id))
}

// Promote makes a voter of a learner that is in touch and has caught up, also beyond MaxVoters.
func (rn *RawNode) Promote(id uint64) (Position, error) {
	member, ok := rn.Membership().Find(id)
	if !ok || !rn.isStandby(id) {
		return Position{}, conflictError("promote", "%x is not a learner in touch that has caught up", id)
	}
	member.Voter = true
	return rn.proposeMembership("promote", rn.Membership().With(member))
}

// Demote makes a learner of a voter. A leader must transfer its leadership before it can be demoted.
func (rn *RawNode) Demote(id uint64) (Position, error) {
	member, ok := rn.Membership().Find(id)
	if !ok || !member.Voter {
		return Position{}, conflictError("demote", "%x is not a voter", id)
	}
	if id == rn.id {
		return Position{}, conflictError("demote", "the leader cannot demote itself; transfer leadership first")
	}
	member.Voter = false
	return rn.proposeMembership("demote", rn.Membership().With(member))
}

// proposeMembership appends a membership that differs from the current one in a single member, so that their quorums
// overlap. The overlap holds only if the current membership is committed and the leader has committed an entry of its
// own term: otherwise two leaders could each commit a change that the other does not know about.
func (rn *RawNode) proposeMembership(op string, next Membership) (Position, error) {
	switch {
	case rn.role != Leader || rn.leadTransferee != 0 || rn.failure != nil:
		return Position{}, notLeaderError(op)
	case rn.log.config().index > rn.log.commit && !rn.config.faults.changeBeforeTermCommit:
		return Position{}, conflictError(op, "another membership change is in progress")
	case !rn.committedEntryInCurrentTerm() && !rn.config.faults.changeBeforeTermCommit:
		return Position{}, conflictError(op, "the leader has not committed an entry of its term yet")
	case !rn.quorumActive(next):
		return Position{}, conflictError(op, "a quorum of the new membership is not reachable")
	}
	index := rn.appendEntry(EntryMembership, EncodeMembership(next))
	rn.broadcastAppend()
	return Position{Index: index, Term: rn.term}, nil
}

func (rn *RawNode) committedEntryInCurrentTerm() bool {
	return rn.log.commit >= rn.termStartIndex
}

// maybePromoteLearner promotes a learner to a voter once it has persisted the log up to the commit index of the last
// heartbeat. Under constant load a learner would never reach the current commit index.
func (rn *RawNode) maybePromoteLearner(id uint64, peer *progress) {
	member, ok := rn.Membership().Find(id)
	if !ok || member.Voter || rn.role != Leader {
		return
	}
	if limit := rn.config.MaxVoters; limit > 0 && rn.Membership().Voters() >= limit {
		return
	}
	if !rn.isCaughtUp(peer) && !rn.config.faults.promoteUnsynced {
		return
	}
	member.Voter = true
	// A rejection is temporary: the next response of the learner triggers another attempt.
	_, _ = rn.proposeMembership("promote", rn.Membership().With(member))
}

func (rn *RawNode) isCaughtUp(peer *progress) bool {
	return rn.committedEntryInCurrentTerm() && peer.match >= max(rn.promotionIndex, rn.termStartIndex)
}

// PeerStatus is the replication state of another member as seen by the leader.
type PeerStatus struct {
	Match uint64
	// TicksSinceContact is the number of ticks since the last message from the member.
	TicksSinceContact uint64
	// Standby is set for a learner in touch that has caught up with the log.
	Standby bool
}

// Peers returns the status of the other members by ID on the leader, and nil on any other member.
func (rn *RawNode) Peers() map[uint64]PeerStatus {
	if rn.role != Leader {
		return nil
	}
	out := map[uint64]PeerStatus{}
	for id, peer := range rn.peers {
		out[id] = PeerStatus{Match: peer.match, TicksSinceContact: rn.tickCount - peer.lastContact, Standby: rn.isStandby(id)}
	}
	return out
}
