// Package control implements the net/rpc service of a control member. On the leader, it replicates commands of entry
// VMs and operators, grants leases to entry VMs and serves linearizable reads of the control state.
package control

import (
	"context"
	"sync"
)

// StateMachine is the state machine to which a Replicator applies its log. The Replicator serializes the calls.
type StateMachine interface {
	// Apply applies the log entry at the index and returns its encoded result.
	Apply(index uint64, data []byte) []byte
	// Snapshot returns the encoded state.
	Snapshot() ([]byte, error)
	// Restore replaces the state with a snapshot.
	Restore(data []byte) error
}

// Replicator is a replicated log with a state machine.
type Replicator interface {
	// Propose appends an entry and returns its result once the entry is durable on a quorum and applied.
	Propose(ctx context.Context, data []byte) ([]byte, error)
	// ReadBarrier returns nil once the state machine reflects every entry that was acknowledged before the call. It
	// succeeds only on the leader.
	ReadBarrier(ctx context.Context) error
	// Leader returns the name of the current leader, or "" if it is unknown.
	Leader() string
	// Term returns the current term, which increases with every election.
	Term() uint64
	// Close stops the replicator.
	Close() error
}

// MemoryReplicator applies entries to one state machine without replication or durability, for tests.
type MemoryReplicator struct {
	id string

	// mu guards index and serializes the calls of machine.
	mu      sync.Mutex
	index   uint64
	machine StateMachine
}

// NewMemoryReplicator returns a replicator whose only member is the leader with the given name.
func NewMemoryReplicator(id string, machine StateMachine) *MemoryReplicator {
	return &MemoryReplicator{id: id, machine: machine}
}

// Propose implements Replicator.
func (m *MemoryReplicator) Propose(_ context.Context, data []byte) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.index++
	return m.machine.Apply(m.index, data), nil
}

// ReadBarrier implements Replicator.
func (m *MemoryReplicator) ReadBarrier(context.Context) error { return nil }

// Leader implements Replicator.
func (m *MemoryReplicator) Leader() string { return m.id }

// Term implements Replicator.
func (m *MemoryReplicator) Term() uint64 { return 1 }

// Close implements Replicator.
func (m *MemoryReplicator) Close() error { return nil }
