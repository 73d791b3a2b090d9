package raft

// MessageKind distinguishes messages between members.
type MessageKind uint8

// The kinds of messages.
const (
	// MessagePreVote asks whether a vote would be granted; it changes no state.
	MessagePreVote MessageKind = iota + 1
	MessagePreVoteReply
	MessageVote
	MessageVoteReply
	MessageAppend
	MessageAppendReply
	MessageHeartbeat
	MessageHeartbeatReply
	// MessageSnapshot carries one chunk of a snapshot. The driver fills Chunk.Data before it sends the message.
	MessageSnapshot
	MessageSnapshotReply
	// MessageTimeoutNow asks the receiver to campaign at once.
	MessageTimeoutNow
)

// Message is sent from one member to another. Which fields are used depends on Kind.
type Message struct {
	Kind MessageKind
	From uint64
	To   uint64
	Term uint64
	// Log is the last entry of a candidate, the entry before Entries of an append, the last matching entry of an
	// accepted reply, and the position of a snapshot.
	Log     Position
	Entries []Entry
	Commit  uint64
	Reject  bool
	// Hint is the latest position at which a rejecting follower may agree with the leader.
	Hint Position
	// Round numbers the heartbeats that confirm reads.
	Round uint64
	// Transfer marks a vote request of a planned transfer, which is granted although a leader is alive.
	Transfer bool
	Chunk    Chunk
}

// Chunk is a part of a snapshot. In a reply, Offset is the next one wanted.
type Chunk struct {
	Membership Membership
	Offset     uint64
	Total      uint64
	Data       []byte
}

// isEarly reports whether the message may be sent before the Ready that holds it is durable: it states nothing about
// the sender's own disk.
func (m Message) isEarly() bool {
	return m.Kind == MessageAppend || m.Kind == MessageHeartbeat || m.Kind == MessageSnapshot
}

// isFromLeader reports whether only the leader of the term sends such messages.
func (m Message) isFromLeader() bool {
	return m.isEarly() || m.Kind == MessageTimeoutNow
}
