package raft

// Tolerance tells how many more voters the group can lose before it stops. Only the leader knows it.
type Tolerance struct {
	Voters int
	// VotersInTouch is the number of voters, including the leader, that answered this leader within an election timeout.
	VotersInTouch int
	// Standbys is the number of learners in touch that hold the log and can take a voter's place at once.
	Standbys int
	// Losses is the number of voters in touch beyond the quorum. It is negative if there is no quorum.
	Losses int
}

// Tolerance returns the number of losses that the group tolerates, and false on any member but the leader.
func (rn *RawNode) Tolerance() (Tolerance, bool) {
	if rn.role != Leader {
		return Tolerance{}, false
	}
	var t Tolerance
	membership := rn.Membership()
	for _, member := range membership.Members {
		switch {
		case member.Voter:
			t.Voters++
			if rn.inTouch(member.ID) {
				t.VotersInTouch++
			}
		case rn.isStandby(member.ID):
			t.Standbys++
		}
	}
	t.Losses = t.VotersInTouch - membership.Quorum()
	return t, true
}

// inTouch is like recentlyActive, but a leader does not count a member that has not answered it yet.
func (rn *RawNode) inTouch(id uint64) bool {
	return rn.recentlyActive(id) && (id == rn.id || rn.peers[id].answered)
}

// isStandby reports whether the learner is in touch and has caught up with the log.
func (rn *RawNode) isStandby(id uint64) bool {
	peer, ok := rn.peers[id]
	return ok && !rn.Membership().IsVoter(id) && rn.inTouch(id) && rn.isCaughtUp(peer)
}
