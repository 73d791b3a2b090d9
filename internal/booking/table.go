// Package booking decides how a booking runs at most once: Flow is one caller's request at the entry VM that took it,
// Table is the owner's memory of attempts. Both turn events into actions; they do no I/O and read no clock.
package booking

import (
	"crypto/sha256"
	"strconv"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/controlstate"
)

// Outcome is what is known about one attempt.
type Outcome string

// The outcomes of an attempt. Only OutcomeNotRun allows another attempt.
const (
	OutcomeRunning Outcome = "running"
	OutcomeDone    Outcome = "done"
	// OutcomeNotRun means that no copy of the attempt started, and that no later copy will.
	OutcomeNotRun  Outcome = "not_run"
	OutcomeUnknown Outcome = "unknown"
	// OutcomeOwnerGone means that the owner instance of the intent no longer exists.
	OutcomeOwnerGone Outcome = "gone"
	// OutcomeUnreachable means that the owner gave no answer.
	OutcomeUnreachable Outcome = "unreachable"
)

// Limits bounds a Table.
type Limits struct {
	// Attempts bounds the attempts with their responses, Bytes the sum of the responses.
	Attempts int
	Bytes    int
	// Tombstones bounds the attempts that are remembered by their digest only, and TombstoneRetention the time from their end.
	// TombstoneRetention must exceed the time for which control can hold the intent of an attempt open.
	Tombstones         int
	TombstoneRetention time.Duration
	// Retention is how long an attempt is kept after its end. It must exceed every deadline.
	Retention time.Duration
}

// DefaultLimits hold the attempts of one owner. Control bounds the keys of a group to a million and ends an open intent
// after controlstate.BookingRetention; two hours are added for its sweep, which runs only with further commands.
func DefaultLimits() Limits {
	return Limits{
		Attempts: 100_000, Bytes: 64 << 20, Retention: 10 * time.Minute,
		Tombstones: 1_000_000, TombstoneRetention: controlstate.BookingRetention + 2*time.Hour,
	}
}

// TableEventKind is the kind of a TableEvent.
type TableEventKind string

// The events of a Table.
const (
	// TableReceive is a copy of an attempt that asks to be sent to its upstream.
	TableReceive TableEventKind = "receive"
	// TableFinish is the end of an accepted attempt.
	TableFinish TableEventKind = "finish"
	// TablePeek and TableResolve ask for the outcome of an attempt; only TableResolve refuses an attempt that was
	// never received.
	TablePeek    TableEventKind = "peek"
	TableResolve TableEventKind = "resolve"
)

// TableEvent is one input of a Table.
type TableEvent struct {
	Kind TableEventKind
	// NowNanos is the monotonic time.
	NowNanos int64
	Key      string
	Attempt  uint64
	// Instance is the owner instance that the intent names; Current is the owner's own instance.
	Instance uint64
	Current  uint64
	// Outcome and Response belong to TableFinish.
	Outcome        Outcome
	Response       []byte `cbor:"-"`
	ResponseDigest string
}

// TableResult is the answer of a Table.
type TableResult struct {
	// Send tells that the attempt was accepted and must be sent by the caller of Step, once.
	Send bool
	// Found tells that the table knew the attempt before the event.
	Found    bool
	Outcome  Outcome
	Response []byte `cbor:"-"`
	Reason   string
}

type attemptID [16]byte

func idOf(key string, attempt uint64) attemptID {
	sum := sha256.Sum256([]byte(strconv.FormatUint(attempt, 10) + "\x00" + key))
	return attemptID(sum[:16])
}

type attemptRecord struct {
	outcome  Outcome
	response []byte
	ended    int64
}

// Table remembers which attempts an owner process has received. An attempt is accepted at most once. The caller
// serialises all calls.
type Table struct {
	limits   Limits
	attempts map[attemptID]*attemptRecord
	bytes    int
	// ended lists ended attempts, oldest first.
	ended []attemptID
	// forgotten holds attempts beyond their retention, oldest first in order.
	forgotten map[attemptID]struct{}
	order     []forgottenAttempt
	// lossyUntil ends the time in which an unknown attempt may have been received, because a forgotten one was dropped
	// before its time.
	lossyUntil int64
}

type forgottenAttempt struct {
	id    attemptID
	until int64
}

// NewTable returns an empty table.
func NewTable(limits Limits) *Table {
	return &Table{limits: limits, attempts: map[attemptID]*attemptRecord{}, forgotten: map[attemptID]struct{}{}}
}

// Step applies one event.
func (t *Table) Step(event TableEvent) TableResult {
	t.expire(event.NowNanos)
	id := idOf(event.Key, event.Attempt)
	switch event.Kind {
	case TableReceive:
		return t.receive(id, event)
	case TableFinish:
		return t.finish(id, event)
	case TablePeek:
		return t.lookup(id, event)
	case TableResolve:
		return t.resolve(id, event)
	}
	return TableResult{Outcome: OutcomeUnknown, Reason: "event of unknown kind"}
}

func (t *Table) receive(id attemptID, event TableEvent) TableResult {
	if known := t.lookup(id, event); known.Found {
		return known
	}
	if event.Instance != event.Current {
		// No copy reached this process before: an earlier instance in this process would have left a record, and a
		// sender sends one copy of an attempt only.
		t.end(id, &attemptRecord{outcome: OutcomeNotRun, ended: event.NowNanos})
		return TableResult{Outcome: OutcomeNotRun, Reason: "the intent names another instance of the owner"}
	}
	if t.isLossy(event.NowNanos) {
		return TableResult{Outcome: OutcomeNotRun, Reason: "the owner has dropped attempts and takes no bookings"}
	}
	if len(t.attempts) >= t.limits.Attempts || t.bytes >= t.limits.Bytes {
		return TableResult{Outcome: OutcomeNotRun, Reason: "the attempt table is full"}
	}
	t.attempts[id] = &attemptRecord{outcome: OutcomeRunning}
	return TableResult{Send: true, Outcome: OutcomeRunning}
}

func (t *Table) finish(id attemptID, event TableEvent) TableResult {
	record, ok := t.attempts[id]
	if !ok || record.outcome != OutcomeRunning {
		return TableResult{Outcome: OutcomeUnknown, Reason: "the attempt is not running"}
	}
	record.outcome = event.Outcome
	record.response = event.Response
	record.ended = event.NowNanos
	t.bytes += len(event.Response)
	t.ended = append(t.ended, id)
	return TableResult{Found: true, Outcome: record.outcome, Response: record.response}
}

// lookup returns what the table knows; Found is false for an attempt that was never received.
func (t *Table) lookup(id attemptID, event TableEvent) TableResult {
	if record, ok := t.attempts[id]; ok {
		return TableResult{Found: true, Outcome: record.outcome, Response: record.response}
	}
	if _, ok := t.forgotten[id]; ok {
		return TableResult{Found: true, Outcome: OutcomeUnknown, Reason: "the attempt ended too long ago"}
	}
	if event.Kind == TableReceive {
		return TableResult{Outcome: OutcomeNotRun}
	}
	if event.Instance > event.Current {
		return TableResult{Found: true, Outcome: OutcomeUnreachable, Reason: "the owner has not joined as that instance yet"}
	}
	if event.Instance < event.Current || t.isLossy(event.NowNanos) {
		return TableResult{Found: true, Outcome: OutcomeOwnerGone, Reason: "the attempt belongs to an instance without records"}
	}
	return TableResult{Outcome: OutcomeNotRun}
}

// resolve refuses an attempt that was never received, so that a late copy of it does not run.
func (t *Table) resolve(id attemptID, event TableEvent) TableResult {
	known := t.lookup(id, event)
	if known.Found {
		return known
	}
	if len(t.attempts) >= t.limits.Attempts {
		return TableResult{Outcome: OutcomeUnreachable, Reason: "the attempt table is full"}
	}
	t.end(id, &attemptRecord{outcome: OutcomeNotRun, ended: event.NowNanos})
	return TableResult{Outcome: OutcomeNotRun, Reason: "never received"}
}

func (t *Table) end(id attemptID, record *attemptRecord) {
	if len(t.attempts) >= t.limits.Attempts {
		t.forget(id, record.ended)
		return
	}
	t.attempts[id] = record
	t.ended = append(t.ended, id)
}

func (t *Table) expire(now int64) {
	for len(t.ended) > 0 {
		id := t.ended[0]
		record := t.attempts[id]
		if now-record.ended < int64(t.limits.Retention) {
			break
		}
		t.bytes -= len(record.response)
		delete(t.attempts, id)
		t.ended = t.ended[1:]
		t.forget(id, record.ended)
	}
	for len(t.order) > 0 && now >= t.order[0].until {
		t.dropOldest()
	}
}

// forget keeps the digest of an attempt, so that it is not taken for one that was never received.
func (t *Table) forget(id attemptID, ended int64) {
	t.forgotten[id] = struct{}{}
	t.order = append(t.order, forgottenAttempt{id: id, until: ended + int64(t.limits.TombstoneRetention)})
	if len(t.order) > t.limits.Tombstones {
		t.lossyUntil = max(t.lossyUntil, t.order[0].until)
		t.dropOldest()
	}
}

func (t *Table) dropOldest() {
	delete(t.forgotten, t.order[0].id)
	t.order = t.order[1:]
}

func (t *Table) isLossy(now int64) bool { return now < t.lossyUntil }
