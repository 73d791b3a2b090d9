// Package booking implements the state machines by which a booking runs at most once. Flow is one caller's request at
// the entry VM that received it, Table holds the attempts that the owner of an upstream has received. Both are
// deterministic: they turn events into actions, do no I/O and read no clock.
package booking

import (
	"crypto/sha256"
	"strconv"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/controlstate"
)

// Outcome is the known result of one attempt.
type Outcome string

// The outcomes of an attempt. Only OutcomeNotRun allows another attempt.
const (
	OutcomeRunning Outcome = "running"
	OutcomeDone    Outcome = "done"
	// OutcomeNotRun means that no copy of the attempt has started and none will.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown means that the attempt may have run.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeOwnerGone means that the owner instance that the intent names no longer exists.
	OutcomeOwnerGone Outcome = "gone"
	// OutcomeUnreachable means that the owner could not be asked or could not tell; the flow asks again.
	OutcomeUnreachable Outcome = "unreachable"
)

// Limits bounds the size of a Table and how long it keeps attempts.
type Limits struct {
	// Attempts limits the number of attempts that are kept with their responses, Bytes the total size of the responses.
	Attempts int
	Bytes    int
	// Tombstones limits the number of ended attempts of which only the digest is kept, TombstoneRetention how long a
	// digest is kept after the attempt ended. TombstoneRetention must exceed the longest time for which control keeps
	// an intent open.
	Tombstones         int
	TombstoneRetention time.Duration
	// Retention is how long an attempt is kept with its response after it ended. It must exceed every deadline.
	Retention time.Duration
}

// DefaultLimits returns the limits for one owner. A control group holds at most a million keys and ends an open intent
// after controlstate.BookingRetention. The two hours on top allow for its expiry, which runs only when further commands
// are applied.
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
	// TableReceive is the arrival of an attempt that is to be sent to its upstream.
	TableReceive TableEventKind = "receive"
	// TableFinish is the end of an accepted attempt.
	TableFinish TableEventKind = "finish"
	// TablePeek and TableResolve ask for the outcome of an attempt. Only TableResolve records an attempt that was never
	// received as not run, so that it is rejected if it arrives later.
	TablePeek    TableEventKind = "peek"
	TableResolve TableEventKind = "resolve"
)

// TableEvent is one input of a Table. As for FlowEvent, traces store the field names and the texts of
// TableResult.Reason.
type TableEvent struct {
	Kind TableEventKind
	// NowNanos is the reading of a monotonic clock.
	NowNanos int64
	Key      string
	Attempt  uint64
	// Instance is the owner instance that the intent names, Current the instance that the owner now has.
	Instance uint64
	Current  uint64
	// Outcome and Response are set for TableFinish only.
	Outcome        Outcome
	Response       []byte `cbor:"-"`
	ResponseDigest string
}

// TableResult is the result of one step of a Table.
type TableResult struct {
	// Send is set if the attempt was accepted. The caller of Step must then send it, once.
	Send bool
	// Found is false if, as far as the table can tell, the attempt had not been received before the event.
	Found    bool
	Outcome  Outcome
	Response []byte `cbor:"-"`
	Reason   string
}

// attemptID is a digest of the booking key and the attempt number.
type attemptID [16]byte

func attemptIDOf(key string, attempt uint64) attemptID {
	sum := sha256.Sum256([]byte(strconv.FormatUint(attempt, 10) + "\x00" + key))
	return attemptID(sum[:16])
}

// attemptRecord is a received or rejected attempt. ended is the monotonic time at which it ended.
type attemptRecord struct {
	outcome  Outcome
	response []byte
	ended    int64
}

// Table records which attempts an owner process has received, and accepts each of them at most once. It is not safe for
// concurrent use.
type Table struct {
	limits   Limits
	attempts map[attemptID]*attemptRecord
	// bytes is the total size of the responses in attempts.
	bytes int
	// ended lists the ended attempts of attempts, oldest first.
	ended []attemptID
	// tombstones holds the digests of attempts beyond their retention, tombstoneOrder the same, oldest first.
	tombstones     map[attemptID]struct{}
	tombstoneOrder []tombstone
	// incompleteUntil is the expiry time of a tombstone that was dropped early. Until then, the table cannot tell
	// whether an attempt that it does not know was received before.
	incompleteUntil int64
}

// tombstone is the digest of an ended attempt and the monotonic time at which it may be dropped.
type tombstone struct {
	id        attemptID
	expiresAt int64
}

// NewTable returns an empty table.
func NewTable(limits Limits) *Table {
	return &Table{limits: limits, attempts: map[attemptID]*attemptRecord{}, tombstones: map[attemptID]struct{}{}}
}

// Step first drops what has expired, then applies one event.
func (t *Table) Step(event TableEvent) TableResult {
	t.expire(event.NowNanos)
	id := attemptIDOf(event.Key, event.Attempt)
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
		// The attempt cannot have run in this process: an earlier instance in this process would have left a record,
		// and a sender sends each attempt only once.
		t.addEnded(id, &attemptRecord{outcome: OutcomeNotRun, ended: event.NowNanos})
		return TableResult{Outcome: OutcomeNotRun, Reason: "the intent names another instance of the owner"}
	}
	if t.isIncomplete(event.NowNanos) {
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

// lookup returns the outcome of an attempt as far as the table knows it. Found is false for an attempt that was never
// received.
func (t *Table) lookup(id attemptID, event TableEvent) TableResult {
	if record, ok := t.attempts[id]; ok {
		return TableResult{Found: true, Outcome: record.outcome, Response: record.response}
	}
	if _, ok := t.tombstones[id]; ok {
		return TableResult{Found: true, Outcome: OutcomeUnknown, Reason: "the attempt ended too long ago"}
	}
	if event.Kind == TableReceive {
		return TableResult{Outcome: OutcomeNotRun}
	}
	if event.Instance > event.Current {
		return TableResult{Found: true, Outcome: OutcomeUnreachable, Reason: "the owner has not joined as that instance yet"}
	}
	if event.Instance < event.Current || t.isIncomplete(event.NowNanos) {
		return TableResult{Found: true, Outcome: OutcomeOwnerGone, Reason: "the attempt belongs to an instance without records"}
	}
	return TableResult{Outcome: OutcomeNotRun}
}

// resolve returns the outcome of an attempt. It records one that was never received as not run, so that a late copy of
// it is rejected.
func (t *Table) resolve(id attemptID, event TableEvent) TableResult {
	known := t.lookup(id, event)
	if known.Found {
		return known
	}
	if len(t.attempts) >= t.limits.Attempts {
		return TableResult{Outcome: OutcomeUnreachable, Reason: "the attempt table is full"}
	}
	t.addEnded(id, &attemptRecord{outcome: OutcomeNotRun, ended: event.NowNanos})
	return TableResult{Outcome: OutcomeNotRun, Reason: "never received"}
}

// addEnded adds an attempt that ended without being accepted. A full table keeps only its digest.
func (t *Table) addEnded(id attemptID, record *attemptRecord) {
	if len(t.attempts) >= t.limits.Attempts {
		t.addTombstone(id, record.ended)
		return
	}
	t.attempts[id] = record
	t.ended = append(t.ended, id)
}

// expire replaces attempts beyond their retention by tombstones and drops expired tombstones.
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
		t.addTombstone(id, record.ended)
	}
	for len(t.tombstoneOrder) > 0 && now >= t.tombstoneOrder[0].expiresAt {
		t.dropOldestTombstone()
	}
}

// addTombstone keeps the digest of an ended attempt, so that it is not mistaken for one that was never received. If
// there are too many tombstones, it drops the oldest one early.
func (t *Table) addTombstone(id attemptID, ended int64) {
	t.tombstones[id] = struct{}{}
	t.tombstoneOrder = append(t.tombstoneOrder, tombstone{id: id, expiresAt: ended + int64(t.limits.TombstoneRetention)})
	if len(t.tombstoneOrder) > t.limits.Tombstones {
		t.incompleteUntil = max(t.incompleteUntil, t.tombstoneOrder[0].expiresAt)
		t.dropOldestTombstone()
	}
}

func (t *Table) dropOldestTombstone() {
	delete(t.tombstones, t.tombstoneOrder[0].id)
	t.tombstoneOrder = t.tombstoneOrder[1:]
}

// isIncomplete reports whether a tombstone was dropped that would not have expired yet.
func (t *Table) isIncomplete(now int64) bool { return now < t.incompleteUntil }
