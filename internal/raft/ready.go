package raft

// Ready is a batch of work for the driver, to be done in this order: send ImmediateMessages, persist InstalledSnapshot,
// persist State and Entries, send DeferredMessages, restore the state machine from InstalledSnapshot, apply
// CommittedEntries, complete ReadIndexes and FailedReads, call Advance.
type Ready struct {
	// ImmediateMessages may be sent before anything else is persisted.
	ImmediateMessages []Message
	// InstalledSnapshot is a snapshot received from the leader. It replaces the state machine and the whole log.
	InstalledSnapshot *Snapshot
	// State and Entries must be persisted if MustSave is set. Entries replace those with the same or a higher index.
	State            HardState
	Entries          []Entry
	MustSave         bool
	DeferredMessages []Message
	// CommittedEntries are persisted on a quorum and are to be applied in order.
	CommittedEntries []Entry
	// ReadIndexes are the confirmed reads, and FailedReads the IDs of the reads that failed because leadership was
	// lost.
	ReadIndexes []ReadIndex
	FailedReads []uint64
}

// HasReady reports whether there is a Ready to process.
func (rn *RawNode) HasReady() bool {
	return len(rn.messages) > 0 || len(rn.confirmedReads) > 0 || len(rn.failedReads) > 0 || rn.installedSnapshot != nil ||
		rn.mustSave() || rn.log.commit > rn.log.applying
}

func (rn *RawNode) hardState() HardState {
	hardState := HardState{Term: rn.term, Vote: rn.vote, Commit: rn.log.commit}
	if rn.config.faults.forgetVote {
		hardState.Vote = 0
	}
	return hardState
}

func (rn *RawNode) termOrVoteChanged() bool {
	return rn.term != rn.savedState.Term || (rn.vote != rn.savedState.Vote && !rn.config.faults.forgetVote)
}

// mustSave reports whether a new term, vote or entry must be persisted. A new commit index alone need not be, because a
// restarted member learns it from the leader again.
func (rn *RawNode) mustSave() bool {
	return rn.termOrVoteChanged() || rn.log.stable < rn.log.last().Index
}

// Ready returns the pending work. The driver must process it and call Advance before it calls any other method.
func (rn *RawNode) Ready() Ready {
	r := Ready{
		InstalledSnapshot: rn.installedSnapshot,
		State:             rn.hardState(),
		MustSave:          rn.mustSave(),
		Entries:           rn.log.slice(rn.log.stable+1, rn.log.last().Index),
		CommittedEntries:  rn.log.slice(rn.log.applying+1, rn.log.commit),
		ReadIndexes:       rn.confirmedReads,
		FailedReads:       rn.failedReads,
	}
	r.ImmediateMessages, r.DeferredMessages = rn.splitMessages()
	rn.messages, rn.confirmedReads, rn.failedReads, rn.installedSnapshot = nil, nil, nil, nil
	return r
}

// splitMessages defers all messages of a Ready with a new term or vote: a sole voter becomes leader immediately, and no
// other member may see its term before it is persisted.
func (rn *RawNode) splitMessages() (immediate, deferred []Message) {
	if rn.termOrVoteChanged() {
		return nil, rn.messages
	}
	for _, message := range rn.messages {
		if message.canSendImmediately() {
			immediate = append(immediate, message)
		} else {
			deferred = append(deferred, message)
		}
	}
	return immediate, deferred
}

// Advance tells the RawNode that the driver has processed the Ready.
func (rn *RawNode) Advance(r Ready) {
	if r.MustSave {
		rn.savedState = r.State
	}
	if n := len(r.Entries); n > 0 {
		rn.log.stable = r.Entries[n-1].Index
	}
	if n := len(r.CommittedEntries); n > 0 {
		rn.log.applying = r.CommittedEntries[n-1].Index
	}
	if rn.role == Leader {
		rn.advanceCommit()
	}
}
