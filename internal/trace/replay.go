package trace

import (
	"bytes"
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"

	"github.com/wisteriamux/wisteriamux/internal/booking"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/suspect"
)

// Machine replays the recorded events of all machines with one name.
type Machine interface {
	// Replay applies the event to the machine with the identifier and returns its outcome.
	Replay(id uint64, event cbor.RawMessage) (any, error)
}

// Difference describes the first record whose replay had an outcome other than the recorded one.
type Difference struct {
	// Index is the position of the record in the trace, counted from 0.
	Index    int
	Machine  string
	ID       uint64
	Event    string
	Recorded string
	Replayed string
}

// String implements fmt.Stringer.
func (d Difference) String() string {
	return fmt.Sprintf("record %d of %s/%d differs\nevent    %s\nrecorded %s\nreplayed %s",
		d.Index, d.Machine, d.ID, d.Event, d.Recorded, d.Replayed)
}

// Report is the result of a replay.
type Report struct {
	Header  Header
	Records int
	// Skipped is the number of records of machines that this version does not know.
	Skipped int
	// Truncated is set if the file ends inside a record, which happens if the recording process was killed.
	Truncated  bool
	Difference *Difference
}

// NewMachines returns machines in their initial state, by name, for every name that this version knows.
func NewMachines() map[string]Machine {
	return map[string]Machine{
		MachineBookingFlow:  bookingFlows{},
		MachineBookingTable: &bookingTable{table: booking.NewTable(booking.DefaultLimits())},
		MachineSuspectTable: &suspectTable{table: suspect.NewTable()},
	}
}

// Replay replays a trace on the machines until the end of the trace or the first difference.
func Replay(source io.Reader, machines map[string]Machine) (Report, error) {
	decoder := cbor.NewDecoder(source)
	var report Report
	if err := decoder.Decode(&report.Header); err != nil || report.Header.Magic != magic {
		return report, fault.New(fault.Corrupt, "trace.replay", "not a trace file")
	}
	if report.Header.Version != Version {
		return report, fault.New(fault.Corrupt, "trace.replay", "format version %d, expected %d", report.Header.Version, Version)
	}
	for report.Difference == nil {
		var record Record
		err := decoder.Decode(&record)
		if errors.Is(err, io.EOF) {
			return report, nil
		}
		if errors.Is(err, io.ErrUnexpectedEOF) {
			report.Truncated = true
			return report, nil
		}
		if err != nil {
			return report, fault.New(fault.Corrupt, "trace.replay", "record %d: %w", report.Records, err)
		}
		if err := report.replay(record, machines); err != nil {
			return report, err
		}
	}
	return report, nil
}

func (r *Report) replay(record Record, machines map[string]Machine) error {
	index := r.Records
	r.Records++
	machine, ok := machines[record.Machine]
	if !ok {
		r.Skipped++
		return nil
	}
	outcome, err := machine.Replay(record.ID, record.Event)
	if err != nil {
		return fault.New(fault.Corrupt, "trace.replay", "record %d: %w", index, err)
	}
	replayed, err := cbor.Marshal(outcome)
	if err != nil {
		return fault.New(fault.Internal, "trace.replay", "encode outcome: %w", err)
	}
	if !bytes.Equal(replayed, record.Outcome) {
		r.Difference = &Difference{
			Index: index, Machine: record.Machine, ID: record.ID, Event: diagnosticText(record.Event),
			Recorded: diagnosticText(record.Outcome), Replayed: diagnosticText(replayed),
		}
	}
	return nil
}

// diagnosticText returns the CBOR diagnostic notation of the data, or its hexadecimal form if it is not valid CBOR.
func diagnosticText(data []byte) string {
	text, err := cbor.Diagnose(data)
	if err != nil {
		return fmt.Sprintf("%x", data)
	}
	return text
}

func decodeEvent[E any](data cbor.RawMessage) (E, error) {
	var event E
	if err := cbor.Unmarshal(data, &event); err != nil {
		return event, fault.New(fault.Corrupt, "trace.decode", "event: %w", err)
	}
	return event, nil
}

// bookingFlows holds the booking flows by their identifier. A flow is created at its first event.
type bookingFlows map[uint64]*booking.Flow

func (f bookingFlows) Replay(id uint64, data cbor.RawMessage) (any, error) {
	event, err := decodeEvent[booking.FlowEvent](data)
	if err != nil {
		return nil, err
	}
	flow, ok := f[id]
	if !ok {
		flow = booking.NewFlow()
		f[id] = flow
	}
	return flow.Step(event), nil
}

type bookingTable struct{ table *booking.Table }

func (t *bookingTable) Replay(_ uint64, data cbor.RawMessage) (any, error) {
	event, err := decodeEvent[booking.TableEvent](data)
	if err != nil {
		return nil, err
	}
	return t.table.Step(event), nil
}

type suspectTable struct{ table *suspect.Table }

func (t *suspectTable) Replay(_ uint64, data cbor.RawMessage) (any, error) {
	event, err := decodeEvent[suspect.Event](data)
	if err != nil {
		return nil, err
	}
	return t.table.Step(event), nil
}
