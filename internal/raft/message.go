package raft

// MessageKind is the type of a message between members.
type MessageKind uint8

// Message kinds.
const (
	// MessagePreVote asks whether the receiver would grant a vote. Neither side changes its term or vote.
	MessagePreVote MessageKind = iota + 1
	MessagePreVoteReply
	MessageVote
	MessageVoteReply
	MessageAppend
	MessageAppendReply
	MessageHeartbeat
	MessageHeartbeatReply
	// MessageSnapshot carries one chunk of a snapshot. The driver fills in Chunk.Data before it sends the message.
	MessageSnapshot
	MessageSnapshotReply
	// MessageTimeoutNow makes the receiver campaign immediately, without a pre-vote.
	MessageTimeoutNow
)

// Message is sent from one member to another. Which fields are used depends on Kind.
type Message struct {
	Kind MessageKind
	From uint64
	To   uint64
	Term uint64
	// Log is the last log position of the candidate in a vote request, the position preceding Entries in an append, the
	// last matching index (without a term) in a reply that accepts an append, the Log of the append in a reply that
	// rejects it, and the position of the snapshot in snapshot messages.
	Log     Position
	Entries []Entry
	Commit  uint64
	Reject  bool
	// Hint is the latest position at which the log of a follower that rejects an append may match the leader's log.
	Hint Position
	// Round is the number of the heartbeat round, which confirms pending reads once a quorum has acknowledged it.
	Round uint64
	// Transfer marks a vote request of a leadership transfer, which may be granted although a leader is active.
	Transfer bool
	Chunk    Chunk
}

// Chunk is a part of a snapshot. In a reply, Offset is the offset of the next chunk that the follower needs.
type Chunk struct {
	Membership Membership
	Offset     uint64
	Total      uint64
	Data       []byte
}

// canSendImmediately reports whether the message may be sent before the state and entries of its Ready are persisted.
// Such a message makes no claim about what the sender has persisted.
func (m Message) canSendImmediately() bool {
	return m.Kind == MessageAppend || m.Kind == MessageHeartbeat || m.Kind == MessageSnapshot
}

// isFromLeader reports whether only the leader of a term sends messages of this kind.
func (m Message) isFromLeader() bool {
	return m.canSendImmediately() || m.Kind == MessageTimeoutNow
}
