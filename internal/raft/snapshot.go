package raft

// SnapshotMetadata describes a persisted snapshot.
type SnapshotMetadata struct {
	Position
	Membership Membership
	Size       uint64
}

// snapshotTransfer is the state of sending a snapshot to a peer, one chunk at a time.
type snapshotTransfer struct {
	metadata SnapshotMetadata
	offset   uint64
}

// incomingSnapshot holds the chunks of a snapshot that a follower has received so far.
type incomingSnapshot struct {
	from     uint64
	position Position
	data     []byte
}

// MembershipAt returns the membership in effect at an applied index. A snapshot at that index must include it.
func (rn *RawNode) MembershipAt(index uint64) Membership { return rn.log.membershipAt(index) }

// TermAt returns the term of the entry at the index. It returns false if the entry is compacted or does not exist.
func (rn *RawNode) TermAt(index uint64) (uint64, bool) { return rn.log.term(index) }

// Compact records a persisted snapshot and discards the entries up to keepAfter, but none after the snapshot's index.
func (rn *RawNode) Compact(metadata SnapshotMetadata, keepAfter uint64) {
	rn.snapshot = metadata
	rn.log.compact(min(keepAfter, metadata.Index))
}

// StableLog returns the persisted entries since the last compaction and the position that precedes them. The driver
// writes them to the checkpoint that replaces the log on disk.
func (rn *RawNode) StableLog() (Position, []Entry) {
	return rn.log.base, rn.log.slice(rn.log.base.Index+1, rn.log.stable)
}

func (rn *RawNode) startSnapshot(id uint64, peer *progress) {
	if rn.snapshot.Index == 0 {
		return
	}
	peer.snapshotTransfer = &snapshotTransfer{metadata: rn.snapshot}
	peer.lastProgress = rn.tickCount
	rn.sendSnapshotChunk(id, peer)
}

// sendSnapshotChunk queues a message for the current chunk, whose data the driver fills in. It restarts the transfer
// with the latest snapshot if the log has been compacted beyond the one being sent.
func (rn *RawNode) sendSnapshotChunk(id uint64, peer *progress) {
	if peer.snapshotTransfer.metadata.Index < rn.log.base.Index {
		peer.snapshotTransfer = &snapshotTransfer{metadata: rn.snapshot}
	}
	t := peer.snapshotTransfer
	chunk := Chunk{Membership: t.metadata.Membership, Offset: t.offset, Total: t.metadata.Size}
	rn.send(Message{Kind: MessageSnapshot, To: id, Log: t.metadata.Position, Chunk: chunk})
}

// ReportSnapshotFailure tells the leader that the driver could not read the snapshot that it was asked to send.
func (rn *RawNode) ReportSnapshotFailure(to uint64) {
	if peer, ok := rn.peers[to]; ok {
		peer.snapshotTransfer = nil
		peer.becomeProbe(peer.match + 1)
	}
}

func (rn *RawNode) handleSnapshot(message Message) {
	if message.Log.Index <= rn.log.commit {
		rn.incoming = nil
		rn.sendAppendAck(message.From, rn.log.commit)
		return
	}
	if rn.log.matches(message.Log) {
		// The log already holds everything that the snapshot covers, and possibly later entries that were acknowledged
		// and must not be discarded.
		rn.incoming = nil
		rn.commitTo(message.Log.Index)
		rn.sendAppendAck(message.From, message.Log.Index)
		return
	}
	in := rn.incoming
	if in == nil || in.from != message.From || in.position != message.Log {
		in = &incomingSnapshot{from: message.From, position: message.Log}
		rn.incoming = in
	}
	chunk := message.Chunk
	if chunk.Offset == uint64(len(in.data)) {
		in.data = append(in.data, chunk.Data...)
	}
	if uint64(len(in.data)) < chunk.Total {
		wanted := Chunk{Offset: uint64(len(in.data))}
		rn.send(Message{Kind: MessageSnapshotReply, To: message.From, Log: message.Log, Chunk: wanted})
		return
	}
	rn.incoming = nil
	rn.install(Snapshot{Position: message.Log, Membership: chunk.Membership, Data: in.data})
	rn.sendAppendAck(message.From, message.Log.Index)
}

func (rn *RawNode) install(s Snapshot) {
	rn.log.install(s)
	rn.installedSnapshot = &s
	rn.snapshot = SnapshotMetadata{Position: s.Position, Membership: s.Membership, Size: uint64(len(s.Data))}
}

func (rn *RawNode) handleSnapshotReply(message Message) {
	peer, ok := rn.peers[message.From]
	if !ok {
		return
	}
	peer.recordContact(rn.tickCount)
	peer.lastProgress = rn.tickCount
	if peer.snapshotTransfer == nil || peer.snapshotTransfer.metadata.Position != message.Log {
		return
	}
	peer.snapshotTransfer.offset = message.Chunk.Offset
	rn.sendSnapshotChunk(message.From, peer)
}

// maybeEndSnapshotTransfer resumes appends once the peer has the snapshot.
func (p *progress) maybeEndSnapshotTransfer() {
	if p.snapshotTransfer != nil && p.match >= p.snapshotTransfer.metadata.Index {
		p.snapshotTransfer = nil
	}
}
