package raft

import (
	"github.com/wisteriamux/wisteriamux/internal/fault"
)

// Role is the current Raft role of a RawNode.
type Role uint8

// Roles.
const (
	Follower Role = iota
	// PreCandidate asks whether it could win an election, without incrementing its term.
	PreCandidate
	Candidate
	Leader
)

const (
	// maxMessageBytes limits the entry data of one append, so that a heartbeat is never queued long behind it.
	maxMessageBytes = 512 << 10
	// maxInflightEntries limits the entries that are sent to a peer and not yet acknowledged.
	maxInflightEntries = 8192
	// SnapshotChunkSize is the maximum size of a snapshot chunk in bytes.
	SnapshotChunkSize = 256 << 10
)

// Config configures a RawNode.
type Config struct {
	ID             uint64
	HeartbeatTicks int
	ElectionTicks  int
	// Random returns a random number in [0, n). It spreads election timeouts over one to two times ElectionTicks.
	Random func(n int) int
	// MaxVoters limits the automatic promotion of learners: beyond it, they remain learners and can take a voter's place.
	// 0 means that every learner is promoted.
	MaxVoters    int
	InitialState InitialState

	faults faults
}

// InitialState is the persisted state that a RawNode starts from. Entries start right after Base, which is at or before
// the position of the snapshot.
type InitialState struct {
	State    HardState
	Snapshot SnapshotMetadata
	Base     Position
	Entries  []Entry
}

// faults are deliberate bugs that tests enable to show that their checks detect them.
type faults struct {
	forgetVote             bool
	countEarlierTerms      bool
	countLearners          bool
	skipUpToDateCheck      bool
	skipPrevEntryCheck     bool
	changeBeforeTermCommit bool
	readWithoutQuorum      bool
	promoteUnsynced        bool
}

// RawNode is the Raft state machine of one member. It is not safe for concurrent use.
type RawNode struct {
	config Config
	id     uint64
	log    *raftLog

	term   uint64
	vote   uint64
	role   Role
	leader uint64

	// electionElapsed counts the ticks since the last message from a leader, granted vote or campaign; on a leader, the
	// ticks since the last quorum check.
	electionElapsed  int
	heartbeatElapsed int
	electionTimeout  int
	// tickCount is the logical time: the number of ticks since the start.
	tickCount uint64
	votes     map[uint64]bool

	// The fields below are used on the leader only.
	peers map[uint64]*progress
	// termStartIndex is the index of the empty entry that the leader appended when it was elected.
	termStartIndex uint64
	// round is the number of the latest heartbeat round that confirms reads.
	round           uint64
	pendingReads    []pendingRead
	leadTransferee  uint64
	transferElapsed int
	// promotionIndex is the index that a learner must have persisted in order to be promoted.
	promotionIndex uint64

	snapshot SnapshotMetadata
	incoming *incomingSnapshot

	messages          []Message
	confirmedReads    []ReadIndex
	failedReads       []uint64
	installedSnapshot *Snapshot
	savedState        HardState
	failure           error
}

// New returns a RawNode that starts as a follower.
func New(config Config) (*RawNode, error) {
	log, err := newLog(config.InitialState)
	if err != nil {
		return nil, err
	}
	r := config.InitialState
	rn := &RawNode{
		config: config, id: config.ID, log: log, snapshot: r.Snapshot,
		term: r.State.Term, vote: r.State.Vote, savedState: r.State,
	}
	rn.becomeFollower(rn.term, 0)
	if rn.Membership().IsVoter(rn.id) && rn.Membership().Quorum() == 1 {
		// No other member can be the leader, so there is no election timeout to wait for.
		rn.electionElapsed = rn.electionTimeout
	}
	return rn, nil
}

// Tick advances the logical clock by one tick. The driver calls it at a fixed interval.
func (rn *RawNode) Tick() {
	rn.tickCount++
	rn.electionElapsed++
	if rn.role == Leader {
		rn.tickLeader()
		return
	}
	if rn.electionElapsed < rn.electionTimeout {
		return
	}
	if rn.Membership().IsVoter(rn.id) {
		rn.campaign(PreCandidate, false)
		return
	}
	// A learner that was removed while it was partitioned finds out only by missing its leader.
	rn.leader = 0
}

func (rn *RawNode) tickLeader() {
	rn.heartbeatElapsed++
	rn.tickTransfer()
	if rn.electionElapsed >= rn.config.ElectionTicks {
		rn.electionElapsed = 0
		if !rn.quorumActive(rn.Membership()) {
			rn.becomeFollower(rn.term, 0)
			return
		}
	}
	if rn.heartbeatElapsed >= rn.config.HeartbeatTicks {
		rn.heartbeatElapsed = 0
		rn.broadcastHeartbeat()
		rn.promotionIndex = rn.log.commit
	}
}

// Step handles a message from another member. An error means that the state of this member contradicts that of the
// group. It is permanent, and the member must stop.
func (rn *RawNode) Step(message Message) error {
	if message.To != rn.id || rn.failure != nil {
		return rn.failure
	}
	if !rn.checkTerm(message) {
		return nil
	}
	rn.dispatch(message)
	return rn.failure
}

// checkTerm compares the term of the message with the current term, which it updates if necessary, and reports whether
// the message is to be processed.
func (rn *RawNode) checkTerm(message Message) bool {
	switch {
	case message.Term < rn.term:
		rn.rejectStale(message)
		return false
	case message.Term == rn.term:
		return true
	case message.Kind == MessagePreVote:
		return rn.allowsElection(message)
	case message.Kind == MessagePreVoteReply && !message.Reject:
		return true
	case message.Kind == MessageVote && !rn.allowsElection(message):
		return false
	}
	leader := uint64(0)
	if message.isFromLeader() {
		leader = message.From
	}
	rn.becomeFollower(message.Term, leader)
	return true
}

// allowsElection reports whether this member may take part in the election: either it knows no active leader, or the
// leader itself asked for the transfer. This keeps partitioned or removed members from deposing an active leader.
func (rn *RawNode) allowsElection(message Message) bool {
	return message.Transfer || rn.leader == 0 || (rn.role != Leader && rn.electionElapsed >= rn.config.ElectionTicks)
}

// rejectStale tells a leader or pre-candidate of an earlier term the current term. Other stale messages need no reply.
func (rn *RawNode) rejectStale(message Message) {
	switch {
	case message.isFromLeader():
		rn.send(Message{Kind: MessageAppendReply, To: message.From, Reject: true})
	case message.Kind == MessagePreVote:
		rn.send(Message{Kind: MessagePreVoteReply, To: message.From, Reject: true})
	}
}

func (rn *RawNode) dispatch(message Message) {
	if message.isFromLeader() {
		if rn.role == Leader {
			rn.fail(fault.New(fault.Corrupt, "raft.step", "member %x also claims to be the leader of term %d", message.From, rn.term))
			return
		}
		rn.acceptLeader(message.From)
	}
	switch message.Kind {
	case MessagePreVote, MessageVote:
		rn.handleVote(message)
	case MessagePreVoteReply, MessageVoteReply:
		rn.handleVoteReply(message)
	case MessageAppend:
		rn.handleAppend(message)
	case MessageAppendReply:
		rn.handleAppendReply(message)
	case MessageHeartbeat:
		rn.handleHeartbeat(message)
	case MessageHeartbeatReply:
		rn.handleHeartbeatReply(message)
	case MessageSnapshot:
		rn.handleSnapshot(message)
	case MessageSnapshotReply:
		rn.handleSnapshotReply(message)
	case MessageTimeoutNow:
		rn.handleTimeoutNow()
	}
}

// acceptLeader records the sender as the leader of the current term and resets the election timer.
func (rn *RawNode) acceptLeader(leader uint64) {
	if rn.role != Follower {
		rn.becomeFollower(rn.term, leader)
	}
	rn.leader = leader
	rn.electionElapsed = 0
}

func (rn *RawNode) becomeFollower(term, leader uint64) {
	if term > rn.term {
		rn.term = term
		rn.vote = 0
	}
	rn.role = Follower
	rn.leader = leader
	rn.votes = nil
	rn.peers = nil
	rn.leadTransferee = 0
	rn.failReads()
	rn.resetTimeout()
}

func (rn *RawNode) resetTimeout() {
	rn.electionElapsed = 0
	rn.electionTimeout = rn.config.ElectionTicks + rn.config.Random(rn.config.ElectionTicks+1)
}

// send queues a message for the next Ready. The term defaults to the current one.
func (rn *RawNode) send(message Message) {
	message.From = rn.id
	if message.Term == 0 {
		message.Term = rn.term
	}
	rn.messages = append(rn.messages, message)
}

func (rn *RawNode) fail(err error) {
	if rn.failure == nil {
		rn.failure = err
	}
}

// Err returns the permanent error after which the member must stop, or nil.
func (rn *RawNode) Err() error { return rn.failure }

// HardState returns the current hard state.
func (rn *RawNode) HardState() HardState { return rn.hardState() }

// Role returns the current role.
func (rn *RawNode) Role() Role { return rn.role }

// Term returns the current term.
func (rn *RawNode) Term() uint64 { return rn.term }

// Leader returns the ID of the leader, or 0 if it is unknown.
func (rn *RawNode) Leader() uint64 { return rn.leader }

// Commit returns the commit index.
func (rn *RawNode) Commit() uint64 { return rn.log.commit }

// LastPosition returns the position of the last log entry.
func (rn *RawNode) LastPosition() Position { return rn.log.last() }

// Membership returns the latest membership in the log, committed or not. A membership takes effect as soon as it is
// appended.
func (rn *RawNode) Membership() Membership { return rn.log.config().membership }
