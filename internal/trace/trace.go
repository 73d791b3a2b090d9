// Package trace records the events that reach the pure decision packages, and replays them.
//
// A trace file is a sequence of CBOR items: a Header, then Records. A reader skips records of machines that it does not
// know, and unknown keys of a map, so that later versions can add both without a new format version.
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
	// DefaultMaxBytes bounds a trace file.
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

// Record is one event with what the machine answered.
type Record struct {
	Machine string `cbor:"1,keyasint"`
	// ID tells apart the machines of one name; 0 where there is only one.
	ID      uint64          `cbor:"2,keyasint"`
	Event   cbor.RawMessage `cbor:"3,keyasint"`
	Outcome cbor.RawMessage `cbor:"4,keyasint"`
}

// Recorder writes a trace file. A nil Recorder records nothing. It is safe for concurrent use; the events of one machine
// must be recorded under the lock that serialises the machine.
type Recorder struct {
	// mu guards the fields below.
	mu      sync.Mutex
	file    io.WriteCloser
	buffer  *bufio.Writer
	left    int64
	flushed time.Time
	err     error
}

// Create starts a trace file of at most maxBytes.
func Create(path, process string, maxBytes int64) (*Recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, fault.New(fault.StorageFailed, "trace.create", "%w", err)
	}
	return NewRecorder(file, process, maxBytes)
}

// NewRecorder starts a trace on the writer.
func NewRecorder(file io.WriteCloser, process string, maxBytes int64) (*Recorder, error) {
	now := time.Now()
	recorder := &Recorder{file: file, buffer: bufio.NewWriter(file), left: maxBytes, flushed: now}
	recorder.write(Header{Magic: magic, Version: Version, Process: process, UnixMillis: now.UnixMilli()})
	return recorder, recorder.err
}

// Record appends an event. When the file is full or a write fails, recording stops and the file keeps a prefix of the
// events, which can still be replayed.
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
	r.left -= int64(len(data))
	if r.left < 0 {
		r.err = fault.New(fault.StorageFailed, "trace.write", "trace file is full")
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

// Close flushes and closes the file.
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
