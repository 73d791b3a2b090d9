// Package raftnode drives the consensus state machine of a control member with disk, clock and transport.
//
//	func Bootstrap(config Config) error
//	func Open(config Config) (*Node, error)
//
//	func (n *Node) Service() *Service // register as ServiceName ("Raft") on the member's rpc.Server
//
//	func (n *Node) Propose(ctx context.Context, data []byte) ([]byte, error)
//	func (n *Node) ReadBarrier(ctx context.Context) error
//	func (n *Node) Leader() string
//	func (n *Node) Term() uint64
//	func (n *Node) Close() error
//
//	func (n *Node) AddMember(ctx context.Context, name, address string) error
//	func (n *Node) RemoveMember(ctx context.Context, idOrName string) error
//	func (n *Node) TransferLeadership(ctx context.Context, name string) error
//	func (n *Node) Members() []MemberStatus
//	func (n *Node) Status() Status
//	func (n *Node) Done() <-chan struct{} // closed when the node has stopped
//	func (n *Node) Err() error            // why it stopped; fault.StorageFailed after a disk failure
//
// A new group: Bootstrap once on the first member, Open on every member, then AddMember on the leader for each of the
// others. Open on an empty directory creates an identity and waits to be added. The daemon exits with Err when Done is
// closed before Close was called.
package raftnode

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/raft"
	"github.com/wisteriamux/wisteriamux/internal/wal"
)

// Role is the part that a member plays in the group.
type Role string

// The roles of members.
const (
	RoleLeader    Role = "leader"
	RoleVoter     Role = "voter"
	RoleLearner   Role = "learner"
	RoleNotMember Role = "not_member"
)

// MemberStatus describes one member of the group.
type MemberStatus struct {
	ID      uint64
	Name    string
	Address string
	Role    Role
	// Match is the last index known to be on the member's disk, and LastContact the age of its last response. Both are
	// known on the leader only.
	Match       uint64
	LastContact time.Duration
}

// Status describes this member.
type Status struct {
	ID       uint64
	Name     string
	Role     Role
	Leader   string
	Term     uint64
	Commit   uint64
	Applied  uint64
	Snapshot uint64
	// Torn is set when an interrupted last write was removed at start.
	Torn *wal.TornTail
}

// maxCommandBytes bounds a command, so that an append stays far below the size of a log record.
const maxCommandBytes = 4 << 20

// nodeState is what other goroutines see of the loop.
type nodeState struct {
	group      raft.Membership
	peers      map[uint64]raft.PeerStatus
	role       Role
	leader     uint64
	leaderName string
	term       uint64
	commit     uint64
	last       uint64
	applied    uint64
	snapshot   uint64
}

// Node is one running control member. It is safe for concurrent use.
type Node struct {
	config    Config
	identity  uint64
	tornTail  *wal.TornTail
	transport *transport
	// loop is used by tasks only, which run on its goroutine.
	loop *loop

	inbox     chan StepArgs
	proposals chan proposal
	reads     chan chan outcome
	// tasks run on the loop's goroutine.
	tasks chan func()

	closeOnce sync.Once
	closing   chan struct{}
	// loopStopped is closed when the loop takes no more input, and done when every resource is released.
	loopStopped chan struct{}
	done        chan struct{}
	background  sync.WaitGroup

	// mu guards view and err.
	mu        sync.Mutex
	nodeState nodeState
	err       error
}

// Open starts the member of the data directory. A directory without a log gets a fresh identity and waits to be added
// to a group.
func Open(config Config) (*Node, error) {
	config = config.withDefaults()
	if err := config.checkOpen(); err != nil {
		return nil, err
	}
	disk, err := openStorage(config)
	if err != nil {
		return nil, err
	}
	n := newNode(config, disk)
	l, err := n.newLoop(disk)
	if err == nil {
		// A group of one leads from the first tick.
		l.rawNode.Tick()
		err = l.processReady()
	}
	if err != nil {
		n.transport.close()
		_ = disk.close()
		return nil, err
	}
	l.publishStatus()
	go l.applier.run()
	go l.run()
	return n, nil
}

func newNode(config Config, disk *storage) *Node {
	n := &Node{
		config: config, identity: disk.recovered.Identity, tornTail: disk.recovered.Torn,
		inbox:       make(chan StepArgs, inboxCapacity),
		proposals:   make(chan proposal, proposalQueueSize),
		reads:       make(chan chan outcome, readQueueSize),
		tasks:       make(chan func()),
		closing:     make(chan struct{}),
		loopStopped: make(chan struct{}),
		done:        make(chan struct{}),
	}
	n.transport = newTransport(config, n.identity, disk.snapshots, n.reportSnapshotFailure)
	if n.tornTail != nil {
		config.Log.Warn("interrupted write removed", "segment", n.tornTail.Segment, "offset", n.tornTail.Offset, "bytes", n.tornTail.Dropped)
	}
	for _, name := range disk.corruptSnapshots {
		config.Log.Error("damaged snapshot set aside", "file", name)
	}
	return n
}

func (n *Node) newLoop(disk *storage) (*loop, error) {
	r := disk.recovered
	rawNode, err := raft.New(raft.Config{
		ID: n.identity, HeartbeatTicks: n.config.HeartbeatTicks, ElectionTicks: n.config.ElectionTicks, Random: rand.IntN,
		InitialState: raft.InitialState{State: r.State, Snapshot: disk.snapshotMetadata(), Base: r.Compacted, Entries: r.Entries},
	})
	if err != nil {
		return nil, err
	}
	l := &loop{
		node: n, rawNode: rawNode, disk: disk,
		waiters: map[uint64]waiter{}, learnedAddresses: map[uint64]string{},
	}
	l.applier = newApplier(n.config.Machine, n.onSnapshot, n.onApplyError)
	n.loop = l
	if disk.snapshot.Index == 0 {
		return l, nil
	}
	l.applying = disk.snapshot.Index
	err = l.applier.restore(disk.snapshot)
	l.recordSnapshot(disk.snapshot)
	return l, err
}

// Service returns the RPC receiver to register as ServiceName.
func (n *Node) Service() *Service { return &Service{node: n} }

// Propose appends data to the log and returns the result of applying it, once it is durable on a quorum. After
// fault.NotLeader and fault.NotRun the entry was not accepted; after fault.Unavailable it may still be applied.
func (n *Node) Propose(ctx context.Context, data []byte) ([]byte, error) {
	if len(data) > maxCommandBytes {
		return nil, fault.New(fault.TooLarge, "raftnode.propose", "command of %d bytes exceeds %d", len(data), maxCommandBytes)
	}
	p := proposal{data: data, done: make(chan outcome, 1)}
	select {
	case n.proposals <- p:
	case <-ctx.Done():
		return nil, fault.New(fault.NotRun, "raftnode.propose", "queue is full: %w", ctx.Err())
	case <-n.loopStopped:
		return nil, n.notLeader("propose")
	}
	return n.awaitOutcome(ctx, "propose", p.done)
}

// ReadBarrier returns nil once the state machine reflects every entry acknowledged before the call, and only on the
// leader. It takes a round trip to a quorum and relies on no clock.
func (n *Node) ReadBarrier(ctx context.Context) error {
	done := make(chan outcome, 1)
	select {
	case n.reads <- done:
	case <-ctx.Done():
		return fault.New(fault.Unavailable, "raftnode.read", "%w", ctx.Err())
	case <-n.loopStopped:
		return n.notLeader("read")
	}
	_, err := n.awaitOutcome(ctx, "read", done)
	return err
}

func (n *Node) awaitOutcome(ctx context.Context, op string, done chan outcome) ([]byte, error) {
	select {
	case result := <-done:
		return result.data, result.err
	case <-ctx.Done():
		return nil, fault.New(fault.Unavailable, "raftnode."+op, "%w", ctx.Err())
	case <-n.done:
	}
	select {
	case result := <-done:
		return result.data, result.err
	default:
		return nil, fault.New(fault.Unavailable, "raftnode."+op, "%s has stopped", n.config.Name)
	}
}

// Leader returns the settings name of the leader, or "" when unknown.
func (n *Node) Leader() string { return n.state().leaderName }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.state().term }

// Members returns the members of the group as this member knows them.
func (n *Node) Members() []MemberStatus {
	v := n.state()
	var out []MemberStatus
	for _, member := range v.group.Members {
		status := MemberStatus{ID: member.ID, Name: member.Name, Address: member.Address, Role: roleOf(member, v.leader)}
		if peer, ok := v.peers[member.ID]; ok {
			status.Match = peer.Match
			status.LastContact = time.Duration(peer.TicksSinceContact) * n.config.Tick
		} else if member.ID == n.identity {
			status.Match = v.last
		}
		out = append(out, status)
	}
	return out
}

func roleOf(member raft.Member, leader uint64) Role {
	switch {
	case member.ID == leader:
		return RoleLeader
	case member.Voter:
		return RoleVoter
	default:
		return RoleLearner
	}
}

// Status describes this member.
func (n *Node) Status() Status {
	v := n.state()
	return Status{
		ID: n.identity, Name: n.config.Name, Role: v.role, Leader: v.leaderName, Term: v.term,
		Commit: v.commit, Applied: v.applied, Snapshot: v.snapshot, Torn: n.tornTail,
	}
}

// Done is closed when the node has stopped.
func (n *Node) Done() <-chan struct{} { return n.done }

// Err returns why the node stopped, or nil while it runs and after Close.
func (n *Node) Err() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.err
}

// Close stops the member. Everything acknowledged is durable already.
func (n *Node) Close() error {
	n.closeOnce.Do(func() { close(n.closing) })
	<-n.done
	return n.Err()
}

// enqueueMessages accepts messages without blocking the RPC server. Messages that find the queue full are sent again later.
func (n *Node) enqueueMessages(batch StepArgs) error {
	select {
	case n.inbox <- batch:
		return nil
	default:
		return fault.New(fault.Unavailable, "raftnode.step", "queue of %s is full", n.config.Name)
	}
}

// submitTask runs a task on the loop's goroutine. It reports false when the loop has stopped.
func (n *Node) submitTask(task func()) bool {
	select {
	case n.tasks <- task:
		return true
	case <-n.loopStopped:
		return false
	}
}

// onApplyError is called by the applier.
func (n *Node) onApplyError(err error) {
	n.submitTask(func() {
		if n.loop.failure == nil {
			n.loop.failure = err
		}
	})
}

func (n *Node) state() nodeState {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.nodeState
}

func (n *Node) setState(v nodeState) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodeState = v
}

func (n *Node) setErr(err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.err = err
}

func (n *Node) notLeader(op string) error {
	return fault.New(fault.NotLeader, "raftnode."+op, "%s does not lead", n.config.Name)
}
