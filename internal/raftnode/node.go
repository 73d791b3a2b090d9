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

// maxCommand bounds a command, so that an append stays far below the size of a log record.
const maxCommand = 4 << 20

// view is what other goroutines see of the loop.
type view struct {
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
	torn      *wal.TornTail
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
	// halted is closed when the loop takes no more input, and done when every resource is released.
	halted     chan struct{}
	done       chan struct{}
	background sync.WaitGroup

	// mu guards view and err.
	mu   sync.Mutex
	view view
	err  error
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
		l.machine.Tick()
		err = l.work()
	}
	if err != nil {
		n.transport.close()
		_ = disk.close()
		return nil, err
	}
	l.publish()
	go l.applier.run()
	go l.run()
	return n, nil
}

func newNode(config Config, disk *storage) *Node {
	n := &Node{
		config: config, identity: disk.recovered.Identity, torn: disk.recovered.Torn,
		inbox:     make(chan StepArgs, inboxBatches),
		proposals: make(chan proposal, proposalQueue),
		reads:     make(chan chan outcome, readQueue),
		tasks:     make(chan func()),
		closing:   make(chan struct{}),
		halted:    make(chan struct{}),
		done:      make(chan struct{}),
	}
	n.transport = newTransport(config, n.identity, disk.snapshots, n.snapshotLost)
	if n.torn != nil {
		config.Log.Warn("interrupted write removed", "segment", n.torn.Segment, "offset", n.torn.Offset, "bytes", n.torn.Dropped)
	}
	for _, name := range disk.damaged {
		config.Log.Error("damaged snapshot set aside", "file", name)
	}
	return n
}

func (n *Node) newLoop(disk *storage) (*loop, error) {
	r := disk.recovered
	machine, err := raft.New(raft.Config{
		ID: n.identity, HeartbeatTicks: n.config.HeartbeatTicks, ElectionTicks: n.config.ElectionTicks, Random: rand.IntN,
		Restored: raft.Restored{State: r.State, Snapshot: disk.info(), Base: r.Mark, Entries: r.Entries},
	})
	if err != nil {
		return nil, err
	}
	l := &loop{
		node: n, machine: machine, disk: disk,
		waiters: map[uint64]waiter{}, addresses: map[uint64]string{},
	}
	l.applier = newApplier(n.config.Machine, n.captured, n.applyFailed)
	n.loop = l
	if disk.snapshot.Index == 0 {
		return l, nil
	}
	l.handed = disk.snapshot.Index
	err = l.applier.restore(disk.snapshot)
	l.noteSnapshot(disk.snapshot)
	return l, err
}

// Service returns the RPC receiver to register as ServiceName.
func (n *Node) Service() *Service { return &Service{node: n} }

// Propose appends data to the log and returns the result of applying it, once it is durable on a quorum. After
// fault.NotLeader and fault.NotRun the entry was not accepted; after fault.Unavailable it may still be applied.
func (n *Node) Propose(ctx context.Context, data []byte) ([]byte, error) {
	if len(data) > maxCommand {
		return nil, fault.New(fault.TooLarge, "raftnode.propose", "command of %d bytes exceeds %d", len(data), maxCommand)
	}
	p := proposal{data: data, done: make(chan outcome, 1)}
	select {
	case n.proposals <- p:
	case <-ctx.Done():
		return nil, fault.New(fault.NotRun, "raftnode.propose", "queue is full: %w", ctx.Err())
	case <-n.halted:
		return nil, n.notLeader("propose")
	}
	return n.await(ctx, "propose", p.done)
}

// ReadBarrier returns nil once the state machine reflects every entry acknowledged before the call, and only on the
// leader. It takes a round trip to a quorum and relies on no clock.
func (n *Node) ReadBarrier(ctx context.Context) error {
	done := make(chan outcome, 1)
	select {
	case n.reads <- done:
	case <-ctx.Done():
		return fault.New(fault.Unavailable, "raftnode.read", "%w", ctx.Err())
	case <-n.halted:
		return n.notLeader("read")
	}
	_, err := n.await(ctx, "read", done)
	return err
}

func (n *Node) await(ctx context.Context, op string, done chan outcome) ([]byte, error) {
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
func (n *Node) Leader() string { return n.current().leaderName }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.current().term }

// Members returns the members of the group as this member knows them.
func (n *Node) Members() []MemberStatus {
	v := n.current()
	var out []MemberStatus
	for _, member := range v.group.Members {
		status := MemberStatus{ID: member.ID, Name: member.Name, Address: member.Address, Role: roleOf(member, v.leader)}
		if peer, ok := v.peers[member.ID]; ok {
			status.Match = peer.Match
			status.LastContact = time.Duration(peer.SilentTicks) * n.config.Tick
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
	v := n.current()
	return Status{
		ID: n.identity, Name: n.config.Name, Role: v.role, Leader: v.leaderName, Term: v.term,
		Commit: v.commit, Applied: v.applied, Snapshot: v.snapshot, Torn: n.torn,
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

// receive accepts messages without blocking the RPC server. Messages that find the queue full are sent again later.
func (n *Node) receive(batch StepArgs) error {
	select {
	case n.inbox <- batch:
		return nil
	default:
		return fault.New(fault.Unavailable, "raftnode.step", "queue of %s is full", n.config.Name)
	}
}

// submit runs a task on the loop's goroutine. It reports false when the loop has stopped.
func (n *Node) submit(task func()) bool {
	select {
	case n.tasks <- task:
		return true
	case <-n.halted:
		return false
	}
}

// applyFailed is called by the applier.
func (n *Node) applyFailed(err error) {
	n.submit(func() {
		if n.loop.failure == nil {
			n.loop.failure = err
		}
	})
}

func (n *Node) current() view {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view
}

func (n *Node) setView(v view) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.view = v
}

func (n *Node) setErr(err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.err = err
}

func (n *Node) notLeader(op string) error {
	return fault.New(fault.NotLeader, "raftnode."+op, "%s does not lead", n.config.Name)
}
