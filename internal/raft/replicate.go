package raft

import (
	"slices"

	"github.com/wisteriamux/wisteriamux/internal/fault"
)

// progress is what a leader knows about another member.
type progress struct {
	// match is the last index known to be on the member's disk; next is the next one to send.
	match uint64
	next  uint64
	// probing limits the sender to one append at a time until the logs are known to agree.
	probing bool
	waiting bool
	// progressAt is the tick of the last answer to an append or chunk, or of the last send into an idle window.
	progressAt uint64
	transfer   *transfer
	// contact is the tick of the last message from the member, and round its last confirmed heartbeat round.
	contact uint64
	round   uint64
}

func (p *progress) restart(next uint64) {
	p.next = max(next, p.match+1)
	p.probing = true
	p.waiting = false
}

func notLeader(op string) error {
	return fault.New(fault.NotLeader, "raft."+op, "this member does not lead")
}

// refused reports a request that is valid but not possible now.
func refused(op, format string, args ...any) error {
	return fault.New(fault.Conflict, "raft."+op, format, args...)
}

// Propose appends commands to the log and returns the position of the first. An error means that none is accepted.
func (m *Machine) Propose(commands [][]byte) (Position, error) {
	if m.role != Leader || m.transferTo != 0 || m.failure != nil {
		return Position{}, notLeader("propose")
	}
	first := Position{Index: m.log.last().Index + 1, Term: m.term}
	for _, command := range commands {
		m.appendOwn(EntryCommand, command)
	}
	m.broadcastAppend()
	return first, nil
}

// appendOwn appends an entry of the current term to the leader's log. It counts for a quorum once it is stable.
func (m *Machine) appendOwn(kind EntryKind, data []byte) uint64 {
	entry := Entry{Index: m.log.last().Index + 1, Term: m.term, Kind: kind, Data: data}
	if err := m.log.append([]Entry{entry}); err != nil {
		m.fail(err)
	}
	if kind == EntryMembership {
		m.syncPeers()
	}
	return entry.Index
}

// syncPeers makes the tracked peers equal to the membership.
func (m *Machine) syncPeers() {
	membership := m.Membership()
	for _, member := range membership.Members {
		if _, ok := m.peers[member.ID]; !ok && member.ID != m.id {
			m.peers[member.ID] = &progress{next: m.log.last().Index + 1, probing: true, contact: m.now}
		}
	}
	for id := range m.peers {
		if _, ok := membership.Find(id); !ok {
			delete(m.peers, id)
		}
	}
}

// peerIDs returns the peers in a fixed order, so that equal inputs yield equal outputs.
func (m *Machine) peerIDs() []uint64 {
	ids := make([]uint64, 0, len(m.peers))
	for id := range m.peers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (m *Machine) broadcastAppend() {
	for _, id := range m.peerIDs() {
		m.sendAppend(id, m.peers[id])
	}
}

// sendAppend sends what the peer lacks, as far as the window allows.
func (m *Machine) sendAppend(id uint64, peer *progress) {
	for {
		if peer.waiting || peer.transfer != nil || peer.next > m.log.last().Index {
			return
		}
		if !peer.probing && peer.next-peer.match > maxInFlight {
			return
		}
		term, ok := m.log.term(peer.next - 1)
		if !ok {
			m.startSnapshot(id, peer)
			return
		}
		m.sendEntries(id, peer, Position{Index: peer.next - 1, Term: term})
	}
}

func (m *Machine) sendEntries(id uint64, peer *progress, previous Position) {
	entries := m.log.bounded(peer.next, maxMessageBytes)
	if peer.next == peer.match+1 {
		peer.progressAt = m.now
	}
	m.send(Message{Kind: MessageAppend, To: id, Log: previous, Entries: entries, Commit: m.log.commit})
	if peer.probing {
		peer.waiting = true
		return
	}
	peer.next += uint64(len(entries))
}

func (m *Machine) handleAppend(message Message) {
	if message.Log.Index < m.log.commit {
		// The entries up to the commit index are known to agree; the leader continues from there.
		m.acceptAppend(message.From, m.log.commit)
		return
	}
	if !m.log.matches(message.Log) && !m.config.faults.skipMatchCheck {
		hint := m.log.agreeing(message.Log)
		m.send(Message{Kind: MessageAppendReply, To: message.From, Reject: true, Log: message.Log, Hint: hint})
		return
	}
	if err := m.log.merge(message.Entries); err != nil {
		m.fail(err)
		return
	}
	match := message.Log.Index + uint64(len(message.Entries))
	m.commitTo(min(message.Commit, match))
	m.acceptAppend(message.From, match)
}

func (m *Machine) acceptAppend(to, match uint64) {
	m.send(Message{Kind: MessageAppendReply, To: to, Log: Position{Index: match}})
}

func (m *Machine) commitTo(index uint64) {
	m.log.commit = max(m.log.commit, min(index, m.log.last().Index))
}

func (m *Machine) handleAppendReply(message Message) {
	peer, ok := m.peers[message.From]
	if !ok {
		return
	}
	peer.contact = m.now
	peer.progressAt = m.now
	if message.Reject {
		m.backOff(message, peer)
		m.sendAppend(message.From, peer)
		return
	}
	m.advancePeer(message.From, peer, message.Log.Index)
}

func (m *Machine) advancePeer(id uint64, peer *progress, match uint64) {
	if match > m.log.last().Index {
		return
	}
	peer.match = max(peer.match, match)
	peer.next = max(peer.next, peer.match+1)
	peer.probing = false
	peer.waiting = false
	peer.endTransfer()
	m.advanceCommit()
	if m.role != Leader {
		return
	}
	m.maybePromote(id, peer)
	m.sendAppend(id, peer)
	m.finishTransfer(id, peer)
}

func (m *Machine) backOff(message Message, peer *progress) {
	if message.Log.Index <= peer.match || (peer.probing && message.Log.Index != peer.next-1) {
		// The rejection is older than what is known.
		return
	}
	peer.restart(m.log.agreeing(message.Hint).Index + 1)
}

// advanceCommit commits the latest entry of the own term that a quorum has on disk, and with it all before. Entries of
// earlier terms are not counted: a later leader could still replace them.
func (m *Machine) advanceCommit() {
	membership := m.Membership()
	var matches []uint64
	for _, member := range membership.Members {
		if member.Voter || m.config.faults.countLearners {
			matches = append(matches, m.matchOf(member.ID))
		}
	}
	slices.Sort(matches)
	quorum := membership.Quorum()
	if len(matches) < quorum {
		return
	}
	index := matches[len(matches)-quorum]
	if index <= m.log.commit {
		return
	}
	if term, _ := m.log.term(index); term != m.term && !m.config.faults.countEarlierTerms {
		return
	}
	m.log.commit = index
	m.startReads()
	if !m.log.membershipAt(index).IsVoter(m.id) {
		m.becomeFollower(m.term, 0)
	}
}

func (m *Machine) matchOf(id uint64) uint64 {
	if id == m.id {
		return m.log.stable
	}
	if peer, ok := m.peers[id]; ok {
		return peer.match
	}
	return 0
}

func (m *Machine) broadcastHeartbeat() {
	for _, id := range m.peerIDs() {
		commit := min(m.log.commit, m.peers[id].match)
		m.send(Message{Kind: MessageHeartbeat, To: id, Commit: commit, Round: m.round})
	}
}

func (m *Machine) handleHeartbeat(message Message) {
	m.commitTo(message.Commit)
	m.send(Message{Kind: MessageHeartbeatReply, To: message.From, Round: message.Round})
}

func (m *Machine) handleHeartbeatReply(message Message) {
	peer, ok := m.peers[message.From]
	if !ok {
		return
	}
	peer.contact = m.now
	peer.round = max(peer.round, message.Round)
	m.confirmReads()
	m.maybePromote(message.From, peer)
	m.resendLost(message.From, peer)
}

// resendLost sends again what a reachable peer has not acknowledged for two heartbeat intervals.
func (m *Machine) resendLost(id uint64, peer *progress) {
	if m.now-peer.progressAt < uint64(2*m.config.HeartbeatTicks) {
		return
	}
	peer.progressAt = m.now
	if peer.transfer != nil {
		m.sendChunk(id, peer)
		return
	}
	if peer.match < m.log.last().Index {
		peer.restart(peer.match + 1)
		m.sendAppend(id, peer)
	}
}
