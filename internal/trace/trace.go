// Package trace records the events and outcomes of the deterministic state machines of the decision packages, and
// replays them to find outcomes that differ.
//
// A trace file is a sequence of CBOR items: a Header, followed by Records. A reader skips records of unknown machines
// and unknown keys of a map, so later versions can add both without a new format version.
package trace

import (
	"bufio"
	"errors"
	"io"
	"os"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/wisteriamux/wisteriamux/internal/fault"
)

const (
	magic = "wmux-trace"
	// Version is the format version that this package writes and reads.
	Version = 1
	// DefaultMaxBytes is the default maximum size of a trace file.
	DefaultMaxBytes = 64 << 20
	flushInterval   = time.Second
)

// Names of the machines whose events are recorded.
const (
	MachineBookingFlow  = "booking.flow"
	MachineBookingTable = "booking.table"
	MachineSuspectTable = "suspect.table"
)

// Header is the first item of a trace file.
type Header struct {
	Magic      string `cbor:"1,keyasint"`
	Version    int    `cbor:"2,keyasint"`
	Process    string `cbor:"3,keyasint"`
	UnixMillis int64  `cbor:"4,keyasint"`
}

// Record is one event of a machine with its outcome.
type Record struct {
	Machine string `cbor:"1,keyasint"`
	// ID identifies a machine among those of the same name. It is 0 if there is only one machine of the name.
	ID      uint64          `cbor:"2,keyasint"`
	Event   cbor.RawMessage `cbor:"3,keyasint"`
	Outcome cbor.RawMessage `cbor:"4,keyasint"`
}

// Recorder writes a trace file. A nil Recorder records nothing. It is safe for concurrent use, but the events of a
// machine must be recorded under the lock that serialises the machine, so that they are recorded in the order of their
// execution.
type Recorder struct {
	// mu guards the fields below.
	mu        sync.Mutex
	file      io.WriteCloser
	buffer    *bufio.Writer
	remaining int64
	flushed   time.Time
	err       error
}

// Create creates or truncates a trace file, and returns a recorder that writes at most maxBytes to it.
func Create(path, process string, maxBytes int64) (*Recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, fault.New(fault.StorageFailed, "trace.create", "%w", err)
	}
	return NewRecorder(file, process, maxBytes)
}

// NewRecorder returns a recorder that writes a trace of at most maxBytes, starting with its header. Close closes the
// file.
func NewRecorder(file io.WriteCloser, process string, maxBytes int64) (*Recorder, error) {
	now := time.Now()
	recorder := &Recorder{file: file, buffer: bufio.NewWriter(file), remaining: maxBytes, flushed: now}
	recorder.write(Header{Magic: magic, Version: Version, Process: process, UnixMillis: now.UnixMilli()})
	return recorder, recorder.err
}

// Record appends an event with its outcome. When the file has reached its maximum size or a write fails, recording
// stops, and the file contains a prefix of the events that can still be replayed.
func (r *Recorder) Record(machine string, id uint64, event, outcome any) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err != nil {
		return
	}
	record := Record{Machine: machine, ID: id}
	record.Event, r.err = cbor.Marshal(event)
	if r.err == nil {
		record.Outcome, r.err = cbor.Marshal(outcome)
	}
	if r.err == nil {
		r.write(record)
	}
}

func (r *Recorder) write(item any) {
	data, err := cbor.Marshal(item)
	if err != nil {
		r.err = fault.New(fault.Internal, "trace.write", "encode: %w", err)
		return
	}
	r.remaining -= int64(len(data))
	if r.remaining < 0 {
		r.err = fault.New(fault.StorageFailed, "trace.write", "trace file has reached its maximum size")
		_ = r.buffer.Flush()
		return
	}
	if _, err := r.buffer.Write(data); err != nil {
		r.err = fault.New(fault.StorageFailed, "trace.write", "%w", err)
		return
	}
	if now := time.Now(); now.Sub(r.flushed) >= flushInterval {
		r.flushed = now
		r.err = r.buffer.Flush()
	}
}

// Close flushes and closes the file. Events that are recorded later are ignored.
func (r *Recorder) Close() error {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	err := errors.Join(r.buffer.Flush(), r.file.Close())
	if r.err == nil {
		r.err = fault.New(fault.StorageFailed, "trace.close", "trace file is closed")
	}
	if err != nil {
		return fault.New(fault.StorageFailed, "trace.close", "%w", err)
	}
	return nil
}
