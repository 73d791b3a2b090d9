// Package suspect finds requests that crash upstreams. It is pure: events go in, verdicts come out.
//
// When an upstream crashes, every request of this owner in flight there becomes a suspect. A suspect is sent only while
// no other request of this owner is at the upstream, so that a second crash has one possible cause. A success clears a
// suspect. The table sees only its own owner's requests; without ownership of upstreams (setting direct), the request
// of another entry VM can be the cause of a second crash. Suspicion is kept per group, which is the shard: a query that crashes one shard may succeed on the others.
package suspect

import (
	"maps"
	"slices"
	"time"
)

// Quarantine is how long a fingerprint is refused after its second crash.
const Quarantine = 10 * time.Minute

const (
	suspectRetention = 10 * time.Minute
	maxSuspects      = 10_000
)

// Kind is the kind of an Event.
type Kind string

// The events of a Table.
const (
	// BeforeSend asks whether a request may be sent. A held request asks again after any other event.
	BeforeSend Kind = "before"
	// AfterResult reports the result of a request that was sent.
	AfterResult Kind = "after"
	// Abandon withdraws a held request.
	Abandon Kind = "abandon"
)

// Result is how a request at an upstream ended.
type Result string

// The results of a request. Only Succeeded clears a suspect.
const (
	Succeeded Result = "succeeded"
	Failed    Result = "failed"
	// Crashed means that the upstream dropped the connection after the request was sent.
	Crashed Result = "crashed"
)

// Event is one input of a Table.
type Event struct {
	Kind     Kind
	NowNanos int64
	// Ticket names the request; it is unique within the owner process.
	Ticket      uint64
	Upstream    string
	Group       string
	Fingerprint string
	Idempotent  bool
	// Retry marks a request that was in flight at a crash elsewhere; it is a suspect here too.
	Retry  bool
	Result Result
}

// Verdict is the answer to Before.
type Verdict string

// The verdicts.
const (
	Send Verdict = "send"
	// SendAlone is Send for a suspect.
	SendAlone Verdict = "send_alone"
	Hold      Verdict = "hold"
	Refuse    Verdict = "refuse"
)

// Outcome is the answer to an Event.
type Outcome struct {
	Verdict Verdict
	// Retry tells that the crashed request may be sent once more, as a suspect.
	Retry bool
	// Quarantine tells that the fingerprint crashed an upstream while it was alone there.
	Quarantine bool
}

type suspectKey struct {
	fingerprint string
	group       string
}

type suspectRecord struct {
	since int64
	// probe is the ticket of the suspect in flight, 0 for none.
	probe uint64
}

type request struct {
	event  Event
	alone  bool
	marked bool
}

// lane holds this owner's requests at one upstream.
type lane struct {
	inFlight map[uint64]*request
	alone    bool
	// queue lists held suspects in order of arrival. Others are held behind them, so that the upstream becomes idle.
	queue []uint64
}

// Table holds the requests in flight and the suspects of one owner. The caller serialises all calls.
type Table struct {
	lanes       map[string]*lane
	suspects    map[suspectKey]*suspectRecord
	quarantined map[string]int64
	swept       int64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{lanes: map[string]*lane{}, suspects: map[suspectKey]*suspectRecord{}, quarantined: map[string]int64{}}
}

// Step applies one event.
func (t *Table) Step(event Event) Outcome {
	t.sweep(event.NowNanos)
	switch event.Kind {
	case BeforeSend:
		return Outcome{Verdict: t.before(event)}
	case AfterResult:
		return t.after(event)
	case Abandon:
		t.abandon(event)
	}
	return Outcome{}
}

// Quarantined reports whether this owner quarantined the fingerprint itself.
func (t *Table) Quarantined(fingerprint string, nowNanos int64) bool {
	until, ok := t.quarantined[fingerprint]
	return ok && nowNanos < until
}

// Suspects returns the number of suspects.
func (t *Table) Suspects() int { return len(t.suspects) }

func (t *Table) before(event Event) Verdict {
	if t.Quarantined(event.Fingerprint, event.NowNanos) {
		t.abandon(event)
		return Refuse
	}
	current := t.lane(event.Upstream)
	if event.Retry {
		t.mark(event)
	}
	record, suspected := t.suspects[keyOf(event)]
	if !suspected {
		current.dequeue(event.Ticket)
		return current.admit(event)
	}
	return current.admitSuspect(event, record)
}

func (l *lane) admit(event Event) Verdict {
	if l.alone || len(l.queue) > 0 {
		return Hold
	}
	l.inFlight[event.Ticket] = &request{event: event}
	return Send
}

func (l *lane) admitSuspect(event Event, record *suspectRecord) Verdict {
	if record.probe != 0 {
		// One probe decides for all requests of the fingerprint, and they do not keep others waiting.
		l.dequeue(event.Ticket)
		return Hold
	}
	l.enqueue(event.Ticket)
	if len(l.inFlight) > 0 || l.queue[0] != event.Ticket {
		return Hold
	}
	l.dequeue(event.Ticket)
	l.inFlight[event.Ticket] = &request{event: event, alone: true}
	l.alone = true
	record.probe = event.Ticket
	return SendAlone
}

func (t *Table) after(event Event) Outcome {
	current := t.lane(event.Upstream)
	ended, ok := current.inFlight[event.Ticket]
	if !ok {
		return Outcome{}
	}
	delete(current.inFlight, event.Ticket)
	defer t.release(event.Upstream, current)
	key := keyOf(ended.event)
	if ended.alone {
		current.alone = false
		if record, ok := t.suspects[key]; ok {
			record.probe = 0
		}
	}
	switch event.Result {
	case Succeeded:
		delete(t.suspects, key)
	case Crashed:
		return t.crashed(event, ended, current)
	}
	return Outcome{}
}

func (t *Table) crashed(event Event, ended *request, current *lane) Outcome {
	if ended.alone {
		t.quarantined[ended.event.Fingerprint] = event.NowNanos + int64(Quarantine)
		delete(t.suspects, keyOf(ended.event))
		return Outcome{Quarantine: true}
	}
	if !ended.marked {
		// The first lost connection marks all requests in flight; the others then report the same crash.
		ended.event.NowNanos = event.NowNanos
		t.mark(ended.event)
		for _, ticket := range slices.Sorted(maps.Keys(current.inFlight)) {
			neighbour := current.inFlight[ticket]
			neighbour.marked = true
			neighbour.event.NowNanos = event.NowNanos
			t.mark(neighbour.event)
		}
	}
	return Outcome{Retry: ended.event.Idempotent}
}

func (t *Table) mark(event Event) {
	key := keyOf(event)
	if _, ok := t.suspects[key]; ok || len(t.suspects) >= maxSuspects {
		return
	}
	t.suspects[key] = &suspectRecord{since: event.NowNanos}
}

func (t *Table) abandon(event Event) {
	current := t.lane(event.Upstream)
	current.dequeue(event.Ticket)
	t.release(event.Upstream, current)
}

func (t *Table) lane(upstream string) *lane {
	current, ok := t.lanes[upstream]
	if !ok {
		current = &lane{inFlight: map[uint64]*request{}}
		t.lanes[upstream] = current
	}
	return current
}

func (t *Table) release(upstream string, current *lane) {
	if len(current.inFlight) == 0 && len(current.queue) == 0 {
		delete(t.lanes, upstream)
	}
}

func (l *lane) enqueue(ticket uint64) {
	for _, queued := range l.queue {
		if queued == ticket {
			return
		}
	}
	l.queue = append(l.queue, ticket)
}

func (l *lane) dequeue(ticket uint64) {
	for i, queued := range l.queue {
		if queued == ticket {
			l.queue = append(l.queue[:i:i], l.queue[i+1:]...)
			return
		}
	}
}

// sweep drops old suspects and ended quarantines once a minute.
func (t *Table) sweep(now int64) {
	if now-t.swept < int64(time.Minute) {
		return
	}
	t.swept = now
	for key, record := range t.suspects {
		if record.probe == 0 && now-record.since > int64(suspectRetention) {
			delete(t.suspects, key)
		}
	}
	for fingerprint, until := range t.quarantined {
		if now >= until {
			delete(t.quarantined, fingerprint)
		}
	}
}

func keyOf(event Event) suspectKey {
	return suspectKey{fingerprint: event.Fingerprint, group: event.Group}
}
