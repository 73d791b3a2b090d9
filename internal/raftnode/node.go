// Package raftnode runs the Raft state machine of a control member: it provides the clock, storage and transport that
// package raft leaves to its driver.
//
//	func Bootstrap(config Config) error
//	func Open(config Config) (*Node, error)
//
//	func (n *Node) Service() *Service // to be registered as ServiceName ("Raft") on the member's rpc.Server
//
//	func (n *Node) Propose(ctx context.Context, data []byte) ([]byte, error)
//	func (n *Node) ReadBarrier(ctx context.Context) error
//	func (n *Node) Leader() string
//	func (n *Node) Term() uint64
//	func (n *Node) Close() error
//
//	func (n *Node) AddMember(ctx context.Context, name, address string) error
//	func (n *Node) RemoveMember(ctx context.Context, idOrName string) error
//	func (n *Node) PromoteMember(ctx context.Context, idOrName string) error
//	func (n *Node) DemoteMember(ctx context.Context, idOrName string) error
//	func (n *Node) TransferLeadership(ctx context.Context, name string) error
//	func (n *Node) Members() []MemberStatus
//	func (n *Node) Status() Status
//	func (n *Node) Done() <-chan struct{} // closed when the node has stopped
//	func (n *Node) Err() error            // why it stopped; fault.StorageFailed after a disk failure
//
// To create a group, call Bootstrap once on the first member, Open on every member, and then AddMember on the leader
// for each of the others. Open on an empty directory creates an identity, and the member waits to be added. The daemon
// must exit with Err if Done is closed before it has called Close.
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

// Role is the role of a member in the group.
type Role string

// Roles of members.
const (
	RoleLeader    Role = "leader"
	RoleVoter     Role = "voter"
	RoleLearner   Role = "learner"
	RoleNotMember Role = "not_member"
)

// MemberStatus is the status of one member of the group.
type MemberStatus struct {
	ID      uint64
	Name    string
	Address string
	Role    Role
	// Match is the highest index that the member is known to have persisted, and LastContact the time since its last
	// response. Both are known on the leader only.
	Match       uint64
	LastContact time.Duration
	// Standby is set for a learner in touch that holds the log and can take a voter's place. It is known on the leader only.
	Standby bool
}

// Status is the status of this member.
type Status struct {
	ID            uint64
	Name          string
	Role          Role
	Leader        string
	Term          uint64
	Commit        uint64
	Applied       uint64
	SnapshotIndex uint64
	// Tolerance is known on the leader only. It is zero on other members.
	Tolerance raft.Tolerance
	// Torn is set if the log ended in an incomplete write, which was removed at startup.
	Torn *wal.TornTail
}

// maxCommandBytes limits the size of a command, so that an append stays far below the maximum size of a log record.
const maxCommandBytes = 4 << 20

// nodeState is the state of the loop that is published to other goroutines.
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
	// tolerance is known on the leader only.
	tolerance raft.Tolerance
}

// Node is the running Raft node of a control member. It is safe for concurrent use.
type Node struct {
	config    Config
	identity  uint64
	tornTail  *wal.TornTail
	transport *transport
	// loop is accessed only by tasks, which run on its goroutine.
	loop *loop

	inbox     chan StepArgs
	proposals chan proposal
	reads     chan chan outcome
	// tasks are functions to run on the loop's goroutine.
	tasks chan func()

	closeOnce sync.Once
	closing   chan struct{}
	// loopStopped is closed when the loop accepts no more input, and done when all resources are released.
	loopStopped chan struct{}
	done        chan struct{}
	background  sync.WaitGroup

	// mu protects nodeState and err.
	mu        sync.Mutex
	nodeState nodeState
	err       error
}

// Open starts the member that the data directory belongs to. If the directory has no log, Open creates one with a new
// identity, and the member waits to be added to a group.
func Open(config Config) (*Node, error) {
	config = config.withDefaults()
	if err := config.checkOpen(); err != nil {
		return nil, err
	}
	disk, err := openStorage(config)
	if err != nil {
		return nil, err
	}
	if observer, ok := config.Machine.(RecoveryObserver); ok {
		for _, entry := range disk.recovered.Entries {
			if entry.Kind == raft.EntryCommand {
				observer.Recovered(entry.Index, entry.Data)
			}
		}
	}
	n := newNode(config, disk)
	l, err := n.newLoop(disk)
	if err == nil {
		// The only voter of a group becomes leader on the first tick.
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
		config.Log.Warn("incomplete write at the end of the log removed", "segment", n.tornTail.Segment, "offset", n.tornTail.Offset, "bytes", n.tornTail.Dropped)
	}
	for _, name := range disk.corruptSnapshots {
		config.Log.Error("corrupt snapshot renamed and ignored", "file", name)
	}
	return n
}

func (n *Node) newLoop(disk *storage) (*loop, error) {
	r := disk.recovered
	rawNode, err := raft.New(raft.Config{
		ID: n.identity, HeartbeatTicks: n.config.HeartbeatTicks, ElectionTicks: n.config.ElectionTicks, Random: rand.IntN,
		MaxVoters:    n.config.MaxVoters,
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

// Service returns the RPC receiver that must be registered as ServiceName.
func (n *Node) Service() *Service { return &Service{node: n} }

// Propose appends a command to the log and returns the result of applying it after it has been committed. After
// fault.NotLeader and fault.NotRun the command was not accepted; after fault.Unavailable it may still be applied.
func (n *Node) Propose(ctx context.Context, data []byte) ([]byte, error) {
	if len(data) > maxCommandBytes {
		return nil, fault.New(fault.TooLarge, "raftnode.propose", "command of %d bytes exceeds %d", len(data), maxCommandBytes)
	}
	p := proposal{data: data, done: make(chan outcome, 1)}
	select {
	case n.proposals <- p:
	case <-ctx.Done():
		return nil, fault.New(fault.NotRun, "raftnode.propose", "proposal queue is full: %w", ctx.Err())
	case <-n.loopStopped:
		return nil, n.notLeader("propose")
	}
	return n.awaitOutcome(ctx, "propose", p.done)
}

// ReadBarrier makes a following read of the local state machine linearizable: it returns nil once the state machine
// reflects every entry that was acknowledged before the call. It succeeds only on the leader, takes a round trip to a
// quorum and does not rely on clocks.
func (n *Node) ReadBarrier(ctx context.Context) error {
	done := make(chan outcome, 1)
	select {
	case n.reads <- done:
	case <-ctx.Done():
		return fault.New(fault.Unavailable, "raftnode.read", "read not started: %w", ctx.Err())
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
		return nil, fault.New(fault.Unavailable, "raftnode."+op, "wait for the outcome: %w", ctx.Err())
	case <-n.done:
	}
	select {
	case result := <-done:
		return result.data, result.err
	default:
		return nil, fault.New(fault.Unavailable, "raftnode."+op, "%s has stopped", n.config.Name)
	}
}

// Leader returns the name of the leader, or "" if it is unknown.
func (n *Node) Leader() string { return n.state().leaderName }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.state().term }

// Members returns the members of the group according to this member's log.
func (n *Node) Members() []MemberStatus {
	v := n.state()
	var out []MemberStatus
	for _, member := range v.group.Members {
		status := MemberStatus{ID: member.ID, Name: member.Name, Address: member.Address, Role: roleOf(member, v.leader)}
		if peer, ok := v.peers[member.ID]; ok {
			status.Match, status.Standby = peer.Match, peer.Standby
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

// Status returns the status of this member.
func (n *Node) Status() Status {
	v := n.state()
	return Status{
		ID: n.identity, Name: n.config.Name, Role: v.role, Leader: v.leaderName, Term: v.term,
		Commit: v.commit, Applied: v.applied, SnapshotIndex: v.snapshot, Tolerance: v.tolerance, Torn: n.tornTail,
	}
}

// Done returns a channel that is closed when the node has stopped.
func (n *Node) Done() <-chan struct{} { return n.done }

// Err returns the error that stopped the node. It returns nil while the node runs and after a regular Close.
func (n *Node) Err() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.err
}

// Close stops the member and waits until it has stopped. Everything that was acknowledged is already persisted.
func (n *Node) Close() error {
	n.closeOnce.Do(func() { close(n.closing) })
	<-n.done
	return n.Err()
}

// enqueueMessages queues messages without blocking the RPC server. Messages that are rejected because the queue is full
// are resent later.
func (n *Node) enqueueMessages(batch StepArgs) error {
	select {
	case n.inbox <- batch:
		return nil
	default:
		return fault.New(fault.Unavailable, "raftnode.step", "message queue of %s is full", n.config.Name)
	}
}

// submitTask submits a task to the loop's goroutine. It returns false if the loop has stopped.
func (n *Node) submitTask(task func()) bool {
	select {
	case n.tasks <- task:
		return true
	case <-n.loopStopped:
		return false
	}
}

// onApplyError is the onError callback of the applier. It stops the node.
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
	return fault.New(fault.NotLeader, "raftnode."+op, "%s is not the leader", n.config.Name)
}
