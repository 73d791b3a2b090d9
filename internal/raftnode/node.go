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

// Node is one running control member. It is safe for concurrent use.
type Node struct {
	config   Config
	identity uint64
	torn     *wal.TornTail

	// mu guards the fields below and serialises machine and log.
	mu      sync.Mutex
	log     *wal.Log
	state   raft.HardState
	group   raft.Membership
	entries uint64
	applied uint64
	err     error
	done    chan struct{}
}

// Open starts the member of the data directory.
func Open(config Config) (*Node, error) {
	config = config.withDefaults()
	if err := config.check(); err != nil {
		return nil, err
	}
	log, recovered, err := openLog(config)
	if err != nil {
		return nil, err
	}
	n := &Node{config: config, identity: recovered.Identity, torn: recovered.Torn, log: log, done: make(chan struct{})}
	n.state = recovered.State
	n.state.Term++
	n.state.Vote = n.identity
	for _, entry := range recovered.Entries {
		if err := n.apply(entry); err != nil {
			return nil, err
		}
	}
	return n, log.Save(n.state, nil)
}

func (n *Node) apply(entry raft.Entry) error {
	n.applied = entry.Index
	n.entries = entry.Index
	switch entry.Kind {
	case raft.EntryMembership:
		group, err := raft.DecodeMembership(entry.Data)
		n.group = group
		return err
	case raft.EntryCommand:
		n.config.Machine.Apply(entry.Index, entry.Data)
	}
	return nil
}

// Service returns the RPC receiver to register as ServiceName.
func (n *Node) Service() *Service { return &Service{node: n} }

// Propose appends data to the log and returns the result of applying it, once it is durable on a quorum. An error of
// fault.NotLeader means that the entry was not accepted; after fault.Unavailable it may still be applied.
func (n *Node) Propose(_ context.Context, data []byte) ([]byte, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.isLeader() {
		return nil, n.notLeader("propose")
	}
	entry := raft.Entry{Index: n.entries + 1, Term: n.state.Term, Kind: raft.EntryCommand, Data: data}
	if err := n.log.Save(n.state, []raft.Entry{entry}); err != nil {
		n.stop(err)
		return nil, fault.New(fault.Unavailable, "raftnode.propose", "%w", err)
	}
	n.entries = entry.Index
	n.applied = entry.Index
	return n.config.Machine.Apply(entry.Index, data), nil
}

// ReadBarrier returns nil once the state machine reflects every entry acknowledged before the call, and only on the
// leader. It takes a round trip to a quorum and relies on no clock.
func (n *Node) ReadBarrier(context.Context) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.isLeader() {
		return n.notLeader("read")
	}
	return nil
}

// Leader returns the settings name of the leader, or "" when unknown.
func (n *Node) Leader() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.isLeader() {
		return ""
	}
	return n.config.Name
}

// Term returns the current term.
func (n *Node) Term() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.Term
}

// AddMember asks the address for its identity and adds it as a learner. It becomes a voter by itself once its log is
// synced. AddMember returns when the change is committed.
func (n *Node) AddMember(context.Context, string, string) error {
	return n.notLeader("add")
}

// RemoveMember removes the member with the identity (in hexadecimal) or the name.
func (n *Node) RemoveMember(context.Context, string) error {
	return n.notLeader("remove")
}

// TransferLeadership hands leadership to the named voter, or to the most advanced one when name is empty.
func (n *Node) TransferLeadership(context.Context, string) error {
	return n.notLeader("transfer")
}

// Members returns the members of the group as this member knows them.
func (n *Node) Members() []MemberStatus {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []MemberStatus
	for _, member := range n.group.Members {
		out = append(out, MemberStatus{ID: member.ID, Name: member.Name, Address: member.Address, Role: RoleLeader, Match: n.entries})
	}
	return out
}

// Status describes this member.
func (n *Node) Status() Status {
	n.mu.Lock()
	defer n.mu.Unlock()
	role := RoleNotMember
	if n.isLeader() {
		role = RoleLeader
	}
	return Status{
		ID: n.identity, Name: n.config.Name, Role: role, Term: n.state.Term,
		Commit: n.entries, Applied: n.applied, Torn: n.torn,
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
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stop(nil)
	return n.log.Close()
}

func (n *Node) stop(err error) {
	select {
	case <-n.done:
	default:
		n.err = err
		close(n.done)
	}
}

func (n *Node) isLeader() bool {
	select {
	case <-n.done:
		return false
	default:
		return n.group.IsVoter(n.identity)
	}
}

func (n *Node) notLeader(op string) error {
	return fault.New(fault.NotLeader, "raftnode."+op, "%s does not lead", n.config.Name)
}
