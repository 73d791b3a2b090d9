package raft

// SnapshotInfo describes a snapshot on disk.
type SnapshotInfo struct {
	Position
	Membership Membership
	Size       uint64
}

// transfer is a snapshot on its way to a peer, one chunk at a time.
type transfer struct {
	info   SnapshotInfo
	offset uint64
}

// incomingSnapshot collects chunks on a follower.
type incomingSnapshot struct {
	from     uint64
	position Position
	data     []byte
}

// MembershipAt returns the membership in force at an applied index, for a snapshot there.
func (m *Machine) MembershipAt(index uint64) Membership { return m.log.membershipAt(index) }

// TermAt returns the term of an entry that is not compacted.
func (m *Machine) TermAt(index uint64) (uint64, bool) { return m.log.term(index) }

// Compact records a durable snapshot and drops the entries up to keepAfter, which is at most the snapshot's index.
func (m *Machine) Compact(info SnapshotInfo, keepAfter uint64) {
	m.snapshot = info
	m.log.compact(min(keepAfter, info.Index))
}

// Log returns the entries after the last compaction and the position before them, for a checkpoint of the disk.
func (m *Machine) Log() (Position, []Entry) {
	return m.log.base, m.log.slice(m.log.base.Index+1, m.log.stable)
}

func (m *Machine) startSnapshot(id uint64, peer *progress) {
	if m.snapshot.Index == 0 {
		return
	}
	peer.transfer = &transfer{info: m.snapshot}
	peer.progressAt = m.now
	m.sendChunk(id, peer)
}

// sendChunk requests the current chunk from the driver. The transfer starts again when the log no longer continues the
// snapshot.
func (m *Machine) sendChunk(id uint64, peer *progress) {
	if peer.transfer.info.Index < m.log.base.Index {
		peer.transfer = &transfer{info: m.snapshot}
	}
	t := peer.transfer
	chunk := Chunk{Membership: t.info.Membership, Offset: t.offset, Total: t.info.Size}
	m.send(Message{Kind: MessageSnapshot, To: id, Log: t.info.Position, Chunk: chunk})
}

// SnapshotLost tells the leader that the driver could not read a snapshot it was asked to send.
func (m *Machine) SnapshotLost(to uint64) {
	if peer, ok := m.peers[to]; ok {
		peer.transfer = nil
		peer.restart(peer.match + 1)
	}
}

func (m *Machine) handleSnapshot(message Message) {
	if message.Log.Index <= m.log.commit {
		m.incoming = nil
		m.acceptAppend(message.From, m.log.commit)
		return
	}
	if m.log.matches(message.Log) {
		// The log holds all that the snapshot covers, and possibly acknowledged entries after it.
		m.incoming = nil
		m.commitTo(message.Log.Index)
		m.acceptAppend(message.From, message.Log.Index)
		return
	}
	in := m.incoming
	if in == nil || in.from != message.From || in.position != message.Log {
		in = &incomingSnapshot{from: message.From, position: message.Log}
		m.incoming = in
	}
	chunk := message.Chunk
	if chunk.Offset == uint64(len(in.data)) {
		in.data = append(in.data, chunk.Data...)
	}
	if uint64(len(in.data)) < chunk.Total {
		wanted := Chunk{Offset: uint64(len(in.data))}
		m.send(Message{Kind: MessageSnapshotReply, To: message.From, Log: message.Log, Chunk: wanted})
		return
	}
	m.incoming = nil
	m.install(Snapshot{Position: message.Log, Membership: chunk.Membership, Data: in.data})
	m.acceptAppend(message.From, message.Log.Index)
}

func (m *Machine) install(s Snapshot) {
	m.log.install(s)
	m.installed = &s
	m.snapshot = SnapshotInfo{Position: s.Position, Membership: s.Membership, Size: uint64(len(s.Data))}
}

func (m *Machine) handleSnapshotReply(message Message) {
	peer, ok := m.peers[message.From]
	if !ok {
		return
	}
	peer.contact = m.now
	peer.progressAt = m.now
	if peer.transfer == nil || peer.transfer.info.Position != message.Log {
		return
	}
	peer.transfer.offset = message.Chunk.Offset
	m.sendChunk(message.From, peer)
}

// endTransfer resumes appends once the peer has the snapshot.
func (p *progress) endTransfer() {
	if p.transfer != nil && p.match >= p.transfer.info.Index {
		p.transfer = nil
	}
}
