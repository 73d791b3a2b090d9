package raft

// Ready is a batch of work for the driver, to be done in this order: send Early, make Installed durable, make State
// and Entries durable, send Messages, restore Installed, apply Committed, answer Reads and FailedReads, call Advance.
type Ready struct {
	// Early may be sent before the rest is durable.
	Early []Message
	// Installed replaces the state machine and the log up to its position.
	Installed *Snapshot
	// State and Entries are to be saved if MustSave is set. Entries replace any with the same or a later index.
	State    HardState
	Entries  []Entry
	MustSave bool
	Messages []Message
	// Committed are applied in order; they are durable on a quorum.
	Committed   []Entry
	Reads       []Read
	FailedReads []uint64
}

// HasReady reports whether Ready holds anything.
func (m *Machine) HasReady() bool {
	return len(m.messages) > 0 || len(m.confirmed) > 0 || len(m.failed) > 0 || m.installed != nil ||
		m.mustSave() || m.log.commit > m.log.handed
}

func (m *Machine) state() HardState {
	state := HardState{Term: m.term, Vote: m.vote, Commit: m.log.commit}
	if m.config.faults.forgetVote {
		state.Vote = 0
	}
	return state
}

func (m *Machine) termOrVoteChanged() bool {
	return m.term != m.saved.Term || (m.vote != m.saved.Vote && !m.config.faults.forgetVote)
}

// mustSave ignores the commit index, which a restarted member learns again from its leader.
func (m *Machine) mustSave() bool {
	return m.termOrVoteChanged() || m.log.stable < m.log.last().Index
}

// Ready returns the pending work. The driver calls Advance with it before any other method.
func (m *Machine) Ready() Ready {
	r := Ready{
		Installed:   m.installed,
		State:       m.state(),
		MustSave:    m.mustSave(),
		Entries:     m.log.slice(m.log.stable+1, m.log.last().Index),
		Committed:   m.log.slice(m.log.handed+1, m.log.commit),
		Reads:       m.confirmed,
		FailedReads: m.failed,
	}
	r.Early, r.Messages = m.splitMessages()
	m.messages, m.confirmed, m.failed, m.installed = nil, nil, nil, nil
	return r
}

// splitMessages holds back even early messages in a Ready with a new term: a sole voter leads at once, and its term
// must not be seen before it is durable.
func (m *Machine) splitMessages() (early, late []Message) {
	if m.termOrVoteChanged() {
		return nil, m.messages
	}
	for _, message := range m.messages {
		if message.isEarly() {
			early = append(early, message)
		} else {
			late = append(late, message)
		}
	}
	return early, late
}

// Advance reports that everything in the Ready is done.
func (m *Machine) Advance(r Ready) {
	if r.MustSave {
		m.saved = r.State
	}
	if n := len(r.Entries); n > 0 {
		m.log.stable = r.Entries[n-1].Index
	}
	if n := len(r.Committed); n > 0 {
		m.log.handed = r.Committed[n-1].Index
	}
	if m.role == Leader {
		m.advanceCommit()
	}
}
