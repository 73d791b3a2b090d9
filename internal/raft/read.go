package raft

// Read is a confirmed read: a state machine that has applied Index reflects everything committed before the request.
type Read struct {
	ID    uint64
	Index uint64
}

// pendingRead waits for a quorum to answer heartbeat round, and before that for the leader to commit an entry of its
// own term, since only then is its commit index current.
type pendingRead struct {
	id      uint64
	started bool
	index   uint64
	round   uint64
}

// Read requests a confirmed read. The id appears in Ready.Reads or Ready.FailedReads later.
func (m *Machine) Read(id uint64) error {
	if m.role != Leader || m.failure != nil {
		return notLeader("read")
	}
	if m.config.faults.readWithoutRound {
		m.confirmed = append(m.confirmed, Read{ID: id, Index: m.log.commit})
		return nil
	}
	m.reads = append(m.reads, pendingRead{id: id})
	m.startReads()
	return nil
}

// startReads begins one heartbeat round for all reads that wait for one.
func (m *Machine) startReads() {
	if !m.hasCommittedInTerm() {
		return
	}
	round := m.round + 1
	for i := range m.reads {
		if !m.reads[i].started {
			m.reads[i].started = true
			m.reads[i].index = m.log.commit
			m.reads[i].round = round
			m.round = round
		}
	}
	if m.round != round {
		return
	}
	m.broadcastHeartbeat()
	m.confirmReads()
}

func (m *Machine) confirmReads() {
	for len(m.reads) > 0 && m.reads[0].started && m.quorumAnswered(m.reads[0].round) {
		m.confirmed = append(m.confirmed, Read{ID: m.reads[0].id, Index: m.reads[0].index})
		m.reads = m.reads[1:]
	}
}

func (m *Machine) quorumAnswered(round uint64) bool {
	membership := m.Membership()
	answered := 0
	for _, member := range membership.Members {
		peer, ok := m.peers[member.ID]
		if member.Voter && (member.ID == m.id || (ok && peer.round >= round)) {
			answered++
		}
	}
	return answered >= membership.Quorum()
}

func (m *Machine) failReads() {
	for _, read := range m.reads {
		m.failed = append(m.failed, read.id)
	}
	m.reads = nil
}
