package control

import (
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/wisteriamux/wisteriamux/internal/controlstate"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/model"
	"github.com/wisteriamux/wisteriamux/internal/planner"
)

// Machine is the StateMachine of the control group. It wraps a controlstate.State for concurrent readers and records
// when revisions were applied.
type Machine struct {
	now func() time.Time

	// mu guards the fields below.
	mu      sync.RWMutex
	state   *controlstate.State
	changes changeTimes
	tables  tableHistory
	// applied is the log index of the last command that was applied, and recovered the last command for each failure domain in the log
	// that was recovered at the start.
	applied   uint64
	recovered map[string]recoveredEvacuation
	// changed is closed and replaced whenever the revision changes.
	changed chan struct{}
}

// NewMachine returns a machine with an empty state.
func NewMachine() *Machine { return NewMachineWithClock(time.Now) }

// NewMachineWithClock returns a machine with an empty state that uses the clock to record the times of changes.
func NewMachineWithClock(now func() time.Time) *Machine {
	return &Machine{now: now, state: controlstate.New(), recovered: map[string]recoveredEvacuation{}, changed: make(chan struct{})}
}

// Apply implements StateMachine.
func (m *Machine) Apply(index uint64, data []byte) []byte {
	command, err := controlstate.DecodeCommand(data)
	var result controlstate.Result
	if err != nil {
		result.Fault = fault.ToWire(err)
	} else {
		result = m.apply(index, command)
	}
	encoded, err := cbor.Marshal(result)
	if err != nil {
		return nil
	}
	return encoded
}

func (m *Machine) apply(index uint64, command controlstate.Command) controlstate.Result {
	m.mu.Lock()
	defer m.mu.Unlock()
	before, table := m.state.Revision(), m.state.Routes().Table.Version
	m.applied = index
	result := m.state.Apply(index, command)
	if next := m.state.Routes().Table; next.Version != table {
		m.tables.add(next)
	}
	if m.state.Revision() != before {
		m.notifyChange()
	}
	return result
}

// notifyChange records the time of the current revision and wakes the waiters. The caller holds mu.
func (m *Machine) notifyChange() {
	m.changes.add(m.state.Revision(), m.now())
	close(m.changed)
	m.changed = make(chan struct{})
}

// Snapshot implements StateMachine.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.Snapshot()
}

// Restore implements StateMachine.
func (m *Machine) Restore(data []byte) error {
	state, err := controlstate.Restore(data)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = state
	m.changes = changeTimes{}
	m.tables.reset(state.Routes().Table)
	m.notifyChange()
	return nil
}

// Revision returns the current revision, which is the log index of the last change of the view.
func (m *Machine) Revision() uint64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.Revision()
}

// FirstChangeAfter returns when this member applied the first revision above the given one, or false if there is none.
// Times are kept for one LeaseDuration: for an older change it returns the oldest recorded time.
func (m *Machine) FirstChangeAfter(revision uint64) (time.Time, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.changes.firstAfter(revision)
}

// Changed returns a channel that is closed at the next change of the view.
func (m *Machine) Changed() <-chan struct{} {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.changed
}

// Member returns the registered instance of an entry VM.
func (m *Machine) Member(id string) (model.Member, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.Member(id)
}

// Booking returns the record of a booking key.
func (m *Machine) Booking(key string) (controlstate.Booking, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.Booking(key)
}

// View returns the current view. It is shared by all callers at the same revision and must not be changed.
func (m *Machine) View() *model.View {
	m.mu.RLock()
	view := m.state.CachedView()
	m.mu.RUnlock()
	if view != nil {
		return view
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.View()
}

// DecodeResult decodes the result that Apply returned.
func DecodeResult(data []byte) (controlstate.Result, error) {
	var result controlstate.Result
	if err := cbor.Unmarshal(data, &result); err != nil {
		return result, fault.New(fault.Corrupt, "machine.result", "decode result: %w", err)
	}
	return result, nil
}

// changeTimes records when this member applied the latest revisions.
type changeTimes struct {
	revisions []uint64
	times     []time.Time
}

// add records a revision and drops those that are older than LeaseDuration, except for the newest of them.
func (c *changeTimes) add(revision uint64, at time.Time) {
	c.revisions = append(c.revisions, revision)
	c.times = append(c.times, at)
	drop := 0
	for drop+1 < len(c.times) && at.Sub(c.times[drop+1]) >= LeaseDuration {
		drop++
	}
	c.revisions = c.revisions[drop:]
	c.times = c.times[drop:]
}

// firstAfter returns the time of the first recorded revision above the given one.
func (c *changeTimes) firstAfter(revision uint64) (time.Time, bool) {
	first, _ := slices.BinarySearch(c.revisions, revision+1)
	if first == len(c.times) {
		return time.Time{}, false
	}
	return c.times[first], true
}

// Execution returns the newest drain execution.
func (m *Machine) Execution() (planner.Execution, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.Execution()
}
