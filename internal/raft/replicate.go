package raft

import (
	"slices"

	"github.com/wisteriamux/wisteriamux/internal/fault"
)

// progress is the leader's view of the replication state of another member.
type progress struct {
	// match is the highest index that the member is known to have persisted; next is the next index to send.
	match uint64
	next  uint64
	// probing limits the leader to one append in flight until it knows where the logs match. probeSent is set while
	// that append is in flight.
	probing   bool
	probeSent bool
	// lastProgress is the tick of the last response to an append or snapshot chunk, or of the last append that was sent
	// while nothing else was in flight.
	lastProgress     uint64
	snapshotTransfer *snapshotTransfer
	// lastContact is the tick of the last message from the member, or of the time from which the leader expects one.
	// answered is set once there was one, and round is the last heartbeat round that the member acknowledged.
	lastContact uint64
	answered    bool
	round       uint64
}

// recordContact records a message from the member.
func (p *progress) recordContact(tick uint64) {
	p.lastContact = tick
	p.answered = true
}

func (p *progress) becomeProbe(next uint64) {
	p.next = max(next, p.match+1)
	p.probing = true
	p.probeSent = false
}

func notLeaderError(op string) error {
	return fault.New(fault.NotLeader, "raft."+op, "this member is not the leader")
}

// conflictError returns the error for a request that is valid but not possible in the current state.
func conflictError(op, format string, args ...any) error {
	return fault.New(fault.Conflict, "raft."+op, format, args...)
}

// Propose appends commands to the log and returns the position of the first one. An error means that none of them was
// appended.
func (rn *RawNode) Propose(commands [][]byte) (Position, error) {
	if rn.role != Leader || rn.leadTransferee != 0 || rn.failure != nil {
		return Position{}, notLeaderError("propose")
	}
	first := Position{Index: rn.log.last().Index + 1, Term: rn.term}
	for _, command := range commands {
		rn.appendEntry(EntryCommand, command)
	}
	rn.broadcastAppend()
	return first, nil
}

// appendEntry appends an entry of the current term to the leader's log. The leader's copy counts toward the quorum once
// it is stable.
func (rn *RawNode) appendEntry(kind EntryKind, data []byte) uint64 {
	entry := Entry{Index: rn.log.last().Index + 1, Term: rn.term, Kind: kind, Data: data}
	if err := rn.log.append([]Entry{entry}); err != nil {
		rn.fail(err)
	}
	if kind == EntryMembership {
		rn.updatePeers()
	}
	return entry.Index
}

// updatePeers adds and removes peers to match the current membership.
func (rn *RawNode) updatePeers() {
	membership := rn.Membership()
	for _, member := range membership.Members {
		if _, ok := rn.peers[member.ID]; !ok && member.ID != rn.id {
			rn.peers[member.ID] = &progress{next: rn.log.last().Index + 1, probing: true, lastContact: rn.tickCount}
		}
	}
	for id := range rn.peers {
		if _, ok := membership.Find(id); !ok {
			delete(rn.peers, id)
		}
	}
}

// peerIDs returns the IDs of the peers in ascending order, so that equal inputs yield equal outputs.
func (rn *RawNode) peerIDs() []uint64 {
	ids := make([]uint64, 0, len(rn.peers))
	for id := range rn.peers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (rn *RawNode) broadcastAppend() {
	for _, id := range rn.peerIDs() {
		rn.sendAppend(id, rn.peers[id])
	}
}

// sendAppend sends the entries that the peer lacks, as far as the in-flight window allows, or starts to send a snapshot
// if they are compacted.
func (rn *RawNode) sendAppend(id uint64, peer *progress) {
	for {
		if peer.probeSent || peer.snapshotTransfer != nil || peer.next > rn.log.last().Index {
			return
		}
		if !peer.probing && peer.next-peer.match > maxInflightEntries {
			return
		}
		term, ok := rn.log.term(peer.next - 1)
		if !ok {
			rn.startSnapshot(id, peer)
			return
		}
		rn.sendEntries(id, peer, Position{Index: peer.next - 1, Term: term})
	}
}

func (rn *RawNode) sendEntries(id uint64, peer *progress, previous Position) {
	entries := rn.log.entriesFrom(peer.next, maxMessageBytes)
	if peer.next == peer.match+1 {
		peer.lastProgress = rn.tickCount
	}
	rn.send(Message{Kind: MessageAppend, To: id, Log: previous, Entries: entries, Commit: rn.log.commit})
	if peer.probing {
		peer.probeSent = true
		return
	}
	peer.next += uint64(len(entries))
}

func (rn *RawNode) handleAppend(message Message) {
	if message.Log.Index < rn.log.commit {
		// The logs match up to the commit index; the leader continues from there.
		rn.sendAppendAck(message.From, rn.log.commit)
		return
	}
	if !rn.log.matches(message.Log) && !rn.config.faults.skipPrevEntryCheck {
		hint := rn.log.findConflictByTerm(message.Log)
		rn.send(Message{Kind: MessageAppendReply, To: message.From, Reject: true, Log: message.Log, Hint: hint})
		return
	}
	if err := rn.log.merge(message.Entries); err != nil {
		rn.fail(err)
		return
	}
	match := message.Log.Index + uint64(len(message.Entries))
	rn.commitTo(min(message.Commit, match))
	rn.sendAppendAck(message.From, match)
}

func (rn *RawNode) sendAppendAck(to, match uint64) {
	rn.send(Message{Kind: MessageAppendReply, To: to, Log: Position{Index: match}})
}

func (rn *RawNode) commitTo(index uint64) {
	rn.log.commit = max(rn.log.commit, min(index, rn.log.last().Index))
}

func (rn *RawNode) handleAppendReply(message Message) {
	peer, ok := rn.peers[message.From]
	if !ok {
		return
	}
	peer.recordContact(rn.tickCount)
	peer.lastProgress = rn.tickCount
	if message.Reject {
		rn.handleAppendReject(message, peer)
		rn.sendAppend(message.From, peer)
		return
	}
	rn.updateProgress(message.From, peer, message.Log.Index)
}

func (rn *RawNode) updateProgress(id uint64, peer *progress, match uint64) {
	if match > rn.log.last().Index {
		return
	}
	peer.match = max(peer.match, match)
	peer.next = max(peer.next, peer.match+1)
	peer.probing = false
	peer.probeSent = false
	peer.maybeEndSnapshotTransfer()
	rn.advanceCommit()
	if rn.role != Leader {
		return
	}
	rn.maybePromoteLearner(id, peer)
	rn.sendAppend(id, peer)
	rn.maybeSendTimeoutNow(id, peer)
}

func (rn *RawNode) handleAppendReject(message Message, peer *progress) {
	if message.Log.Index <= peer.match || (peer.probing && message.Log.Index != peer.next-1) {
		// The rejection is stale.
		return
	}
	peer.becomeProbe(rn.log.findConflictByTerm(message.Hint).Index + 1)
}

// advanceCommit advances the commit index to the last entry of the current term that a quorum has persisted. Entries of
// earlier terms are committed only indirectly: a later leader could still overwrite them.
func (rn *RawNode) advanceCommit() {
	membership := rn.Membership()
	var matches []uint64
	for _, member := range membership.Members {
		if member.Voter || rn.config.faults.countLearners {
			matches = append(matches, rn.matchIndex(member.ID))
		}
	}
	slices.Sort(matches)
	quorum := membership.Quorum()
	if len(matches) < quorum {
		return
	}
	index := matches[len(matches)-quorum]
	if index <= rn.log.commit {
		return
	}
	if term, _ := rn.log.term(index); term != rn.term && !rn.config.faults.countEarlierTerms {
		return
	}
	rn.log.commit = index
	rn.startReads()
	if !rn.log.membershipAt(index).IsVoter(rn.id) {
		rn.becomeFollower(rn.term, 0)
	}
}

func (rn *RawNode) matchIndex(id uint64) uint64 {
	if id == rn.id {
		return rn.log.stable
	}
	if peer, ok := rn.peers[id]; ok {
		return peer.match
	}
	return 0
}

func (rn *RawNode) broadcastHeartbeat() {
	for _, id := range rn.peerIDs() {
		commit := min(rn.log.commit, rn.peers[id].match)
		rn.send(Message{Kind: MessageHeartbeat, To: id, Commit: commit, Round: rn.round})
	}
}

func (rn *RawNode) handleHeartbeat(message Message) {
	rn.commitTo(message.Commit)
	rn.send(Message{Kind: MessageHeartbeatReply, To: message.From, Round: message.Round})
}

func (rn *RawNode) handleHeartbeatReply(message Message) {
	peer, ok := rn.peers[message.From]
	if !ok {
		return
	}
	peer.recordContact(rn.tickCount)
	peer.round = max(peer.round, message.Round)
	rn.confirmReads()
	rn.maybePromoteLearner(message.From, peer)
	rn.maybeResend(message.From, peer)
}

// maybeResend resends entries or the snapshot chunk to a reachable peer that has not acknowledged them for two
// heartbeat intervals.
func (rn *RawNode) maybeResend(id uint64, peer *progress) {
	if rn.tickCount-peer.lastProgress < uint64(2*rn.config.HeartbeatTicks) {
		return
	}
	peer.lastProgress = rn.tickCount
	if peer.snapshotTransfer != nil {
		rn.sendSnapshotChunk(id, peer)
		return
	}
	if peer.match < rn.log.last().Index {
		peer.becomeProbe(peer.match + 1)
		rn.sendAppend(id, peer)
	}
}
