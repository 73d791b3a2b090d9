package raft

import (
	"github.com/wisteriamux/wisteriamux/internal/fault"
)

// Role is the part that a machine currently plays.
type Role uint8

// The roles.
const (
	Follower Role = iota
	// PreCandidate asks whether it could win an election, without changing any term.
	PreCandidate
	Candidate
	Leader
)

const (
	// maxMessageBytes bounds the data of one append, so that a heartbeat never waits long behind it.
	maxMessageBytes = 512 << 10
	// maxInFlight bounds the entries sent to a peer and not yet acknowledged.
	maxInFlight = 8192
	// ChunkBytes is the size of a snapshot chunk.
	ChunkBytes = 256 << 10
)

// Config configures a Machine.
type Config struct {
	ID             uint64
	HeartbeatTicks int
	ElectionTicks  int
	// Random returns a number in [0, n). It spreads election timeouts over one to two times ElectionTicks.
	Random   func(n int) int
	Restored Restored

	faults faults
}

// Restored is the durable state that a Machine starts from. Entries follow Base, which is at or before the snapshot.
type Restored struct {
	State    HardState
	Snapshot SnapshotInfo
	Base     Position
	Entries  []Entry
}

// faults are deliberate errors that tests switch on to show that their checks notice them.
type faults struct {
	forgetVote         bool
	countEarlierTerms  bool
	countLearners      bool
	skipLogCheck       bool
	skipMatchCheck     bool
	changeBeforeCommit bool
	readWithoutRound   bool
	promoteEmpty       bool
}

// Machine is one member's consensus state machine. It is not safe for concurrent use.
type Machine struct {
	config Config
	id     uint64
	log    *entryLog

	term   uint64
	vote   uint64
	role   Role
	leader uint64

	// elapsed counts ticks since the last contact with a leader, granted vote or campaign; on a leader, since the last
	// quorum check.
	elapsed   int
	heartbeat int
	timeout   int
	// now counts all ticks.
	now   uint64
	votes map[uint64]bool

	// The fields below are in use on a leader only.
	peers map[uint64]*progress
	// termStart is the index of the entry that the leader appended on its election.
	termStart      uint64
	round          uint64
	reads          []pendingRead
	transferTo     uint64
	transferTicks  int
	promotionIndex uint64

	snapshot SnapshotInfo
	incoming *incomingSnapshot

	messages  []Message
	confirmed []Read
	failed    []uint64
	installed *Snapshot
	saved     HardState
	failure   error
}

// New returns a machine that starts as a follower.
func New(config Config) (*Machine, error) {
	log, err := newLog(config.Restored)
	if err != nil {
		return nil, err
	}
	r := config.Restored
	m := &Machine{
		config: config, id: config.ID, log: log, snapshot: r.Snapshot,
		term: r.State.Term, vote: r.State.Vote, saved: r.State,
	}
	m.becomeFollower(m.term, 0)
	if m.Membership().IsVoter(m.id) && m.Membership().Quorum() == 1 {
		// No other member could lead, so that there is no reason to wait.
		m.elapsed = m.timeout
	}
	return m, nil
}

// Tick advances the logical clock.
func (m *Machine) Tick() {
	m.now++
	m.elapsed++
	if m.role == Leader {
		m.tickLeader()
		return
	}
	if m.elapsed >= m.timeout && m.Membership().IsVoter(m.id) {
		m.campaign(PreCandidate, false)
	}
}

func (m *Machine) tickLeader() {
	m.heartbeat++
	m.tickTransfer()
	if m.elapsed >= m.config.ElectionTicks {
		m.elapsed = 0
		if !m.hearsQuorum(m.Membership()) {
			m.becomeFollower(m.term, 0)
			return
		}
	}
	if m.heartbeat >= m.config.HeartbeatTicks {
		m.heartbeat = 0
		m.broadcastHeartbeat()
		m.promotionIndex = m.log.commit
	}
}

// Step handles a message of another member. An error means that this member's log contradicts the group's and that the
// member must stop.
func (m *Machine) Step(message Message) error {
	if message.To != m.id || m.failure != nil {
		return m.failure
	}
	if !m.admit(message) {
		return nil
	}
	m.dispatch(message)
	return m.failure
}

// admit compares the terms. It reports whether the message is to be handled.
func (m *Machine) admit(message Message) bool {
	switch {
	case message.Term < m.term:
		m.rejectStale(message)
		return false
	case message.Term == m.term:
		return true
	case message.Kind == MessagePreVote:
		return m.mayVote(message)
	case message.Kind == MessagePreVoteReply && !message.Reject:
		return true
	case message.Kind == MessageVote && !m.mayVote(message):
		return false
	}
	leader := uint64(0)
	if message.isFromLeader() {
		leader = message.From
	}
	m.becomeFollower(message.Term, leader)
	return true
}

// mayVote reports whether no live leader is known, so that members that are cut off or removed do not depose it.
func (m *Machine) mayVote(message Message) bool {
	return message.Transfer || m.leader == 0 || (m.role != Leader && m.elapsed >= m.config.ElectionTicks)
}

// rejectStale tells an outdated leader or pre-candidate the current term. Other outdated messages need no answer.
func (m *Machine) rejectStale(message Message) {
	switch {
	case message.isFromLeader():
		m.send(Message{Kind: MessageAppendReply, To: message.From, Reject: true})
	case message.Kind == MessagePreVote:
		m.send(Message{Kind: MessagePreVoteReply, To: message.From, Reject: true})
	}
}

func (m *Machine) dispatch(message Message) {
	if message.isFromLeader() {
		if m.role == Leader {
			m.fail(fault.New(fault.Corrupt, "raft.step", "member %x also leads term %d", message.From, m.term))
			return
		}
		m.follow(message.From)
	}
	switch message.Kind {
	case MessagePreVote, MessageVote:
		m.handleVote(message)
	case MessagePreVoteReply, MessageVoteReply:
		m.handleVoteReply(message)
	case MessageAppend:
		m.handleAppend(message)
	case MessageAppendReply:
		m.handleAppendReply(message)
	case MessageHeartbeat:
		m.handleHeartbeat(message)
	case MessageHeartbeatReply:
		m.handleHeartbeatReply(message)
	case MessageSnapshot:
		m.handleSnapshot(message)
	case MessageSnapshotReply:
		m.handleSnapshotReply(message)
	case MessageTimeoutNow:
		m.handleTimeoutNow()
	}
}

// follow accepts the sender as leader of the current term.
func (m *Machine) follow(leader uint64) {
	if m.role != Follower {
		m.becomeFollower(m.term, leader)
	}
	m.leader = leader
	m.elapsed = 0
}

func (m *Machine) becomeFollower(term, leader uint64) {
	if term > m.term {
		m.term = term
		m.vote = 0
	}
	m.role = Follower
	m.leader = leader
	m.votes = nil
	m.peers = nil
	m.transferTo = 0
	m.failReads()
	m.resetTimeout()
}

func (m *Machine) resetTimeout() {
	m.elapsed = 0
	m.timeout = m.config.ElectionTicks + m.config.Random(m.config.ElectionTicks+1)
}

// send queues a message in the current term unless a term is given.
func (m *Machine) send(message Message) {
	message.From = m.id
	if message.Term == 0 {
		message.Term = m.term
	}
	m.messages = append(m.messages, message)
}

func (m *Machine) fail(err error) {
	if m.failure == nil {
		m.failure = err
	}
}

// Failure returns why the member must stop, or nil.
func (m *Machine) Failure() error { return m.failure }

// HardState returns the current hard state.
func (m *Machine) HardState() HardState { return m.state() }

// Role returns the current role.
func (m *Machine) Role() Role { return m.role }

// Term returns the current term.
func (m *Machine) Term() uint64 { return m.term }

// Leader returns the identity of the leader, or 0 when unknown.
func (m *Machine) Leader() uint64 { return m.leader }

// Commit returns the commit index.
func (m *Machine) Commit() uint64 { return m.log.commit }

// Last returns the position of the last entry.
func (m *Machine) Last() Position { return m.log.last() }

// Membership returns the newest membership of the log. It is in force from the moment it is appended.
func (m *Machine) Membership() Membership { return m.log.config().value }
