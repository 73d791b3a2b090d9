package control

import (
	"sync"

	"github.com/fxamacker/cbor/v2"

	"github.com/wisteriamux/wisteriamux/internal/controlstate"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/model"
)

// Machine adapts controlstate.State to the StateMachine interface and makes it readable from other goroutines.
type Machine struct {
	// mu guards state.
	mu    sync.RWMutex
	state *controlstate.State
}

// NewMachine returns a machine with an empty state.
func NewMachine() *Machine {
	return &Machine{state: controlstate.New()}
}

// Apply implements StateMachine.
func (m *Machine) Apply(index uint64, data []byte) []byte {
	command, err := controlstate.DecodeCommand(data)
	var result controlstate.Result
	if err != nil {
		result.Fault = fault.ToWire(err)
	} else {
		m.mu.Lock()
		result = m.state.Apply(index, command)
		m.mu.Unlock()
	}
	encoded, err := cbor.Marshal(result)
	if err != nil {
		return nil
	}
	return encoded
}

// Snapshot implements StateMachine.
func (m *Machine) Snapshot() ([]byte, error) {
	return nil, fault.New(fault.Internal, "machine.snapshot", "snapshots are not implemented")
}

// Restore implements StateMachine.
func (m *Machine) Restore([]byte) error {
	return fault.New(fault.Internal, "machine.restore", "snapshots are not implemented")
}

// Revision returns the revision of the last change of the view.
func (m *Machine) Revision() uint64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.Revision()
}

// View returns the current view.
func (m *Machine) View() model.View {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.View()
}

// DecodeResult parses what Apply returned.
func DecodeResult(data []byte) (controlstate.Result, error) {
	var result controlstate.Result
	if err := cbor.Unmarshal(data, &result); err != nil {
		return result, fault.New(fault.Corrupt, "machine.result", "decode result: %w", err)
	}
	return result, nil
}
