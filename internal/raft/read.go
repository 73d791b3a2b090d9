package raft

// ReadIndex is a confirmed linearizable read: a state machine that has applied Index reflects everything that was
// committed before the request.
type ReadIndex struct {
	ID    uint64
	Index uint64
}

// pendingRead is a read that waits for a quorum to acknowledge a heartbeat round. The round starts only after the
// leader has committed an entry of its own term, since its commit index may be outdated before that.
type pendingRead struct {
	id      uint64
	started bool
	index   uint64
	round   uint64
}

// ReadIndex requests a linearizable read. Its id is reported in ReadIndexes or FailedReads of a later Ready.
func (rn *RawNode) ReadIndex(id uint64) error {
	if rn.role != Leader || rn.failure != nil {
		return notLeaderError("read")
	}
	if rn.config.faults.readWithoutQuorum {
		rn.confirmedReads = append(rn.confirmedReads, ReadIndex{ID: id, Index: rn.log.commit})
		return nil
	}
	rn.pendingReads = append(rn.pendingReads, pendingRead{id: id})
	rn.startReads()
	return nil
}

// startReads starts one heartbeat round for all reads that are not part of a round yet.
func (rn *RawNode) startReads() {
	if !rn.committedEntryInCurrentTerm() {
		return
	}
	round := rn.round + 1
	for i := range rn.pendingReads {
		if !rn.pendingReads[i].started {
			rn.pendingReads[i].started = true
			rn.pendingReads[i].index = rn.log.commit
			rn.pendingReads[i].round = round
			rn.round = round
		}
	}
	if rn.round != round {
		return
	}
	rn.broadcastHeartbeat()
	rn.confirmReads()
}

func (rn *RawNode) confirmReads() {
	for len(rn.pendingReads) > 0 && rn.pendingReads[0].started && rn.quorumAcked(rn.pendingReads[0].round) {
		rn.confirmedReads = append(rn.confirmedReads, ReadIndex{ID: rn.pendingReads[0].id, Index: rn.pendingReads[0].index})
		rn.pendingReads = rn.pendingReads[1:]
	}
}

func (rn *RawNode) quorumAcked(round uint64) bool {
	membership := rn.Membership()
	acked := 0
	for _, member := range membership.Members {
		peer, ok := rn.peers[member.ID]
		if member.Voter && (member.ID == rn.id || (ok && peer.round >= round)) {
			acked++
		}
	}
	return acked >= membership.Quorum()
}

func (rn *RawNode) failReads() {
	for _, read := range rn.pendingReads {
		rn.failedReads = append(rn.failedReads, read.id)
	}
	rn.pendingReads = nil
}
