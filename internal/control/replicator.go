// Package control serves the control state to entry VMs and operators over net/rpc.
package control

import (
	"context"
	"sync"
)

// StateMachine is the state that a Replicator applies its log to. Calls are serialised by the Replicator.
type StateMachine interface {
	// Apply executes the entry at the index and returns its encoded result.
	Apply(index uint64, data []byte) []byte
	// Snapshot returns the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the state by a snapshot.
	Restore(data []byte) error
}

// Replicator is a replicated log. Propose returns once the entry is durable on a quorum and applied.
type Replicator interface {
	Propose(ctx context.Context, data []byte) ([]byte, error)
	// ReadBarrier returns nil once the state machine reflects every entry acknowledged before the call, and only
	// on a leader whose lease holds.
	ReadBarrier(ctx context.Context) error
	// Leader returns the identity of the current leader, or "" when unknown.
	Leader() string
	// Term returns the current term, which changes with every election.
	Term() uint64
	// Close stops the replicator.
	Close() error
}

// MemoryReplicator applies entries to one state machine without replication or durability, for tests.
type MemoryReplicator struct {
	id string

	// mu guards index and serialises machine.
	mu      sync.Mutex
	index   uint64
	machine StateMachine
}

// NewMemoryReplicator returns a replicator with one member.
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
