// Package suspect finds requests that crash upstreams ("queries of death") and quarantines them. It performs no I/O and reads
// no clock: the caller passes in events and gets outcomes, and time is part of the event.
//
// Detector, Guard and Caution serve VMs that share upstreams. The VMs report which upstreams ended under which requests, and
// the control group finds the request that the ends have in common.
//
// Table serves a VM that owns upstreams. When an upstream crashes, every request of this owner in flight there becomes a suspect. A suspect is sent only while
// no other request of this owner is at the upstream, so that a second crash has only one possible cause. A success
// clears a suspect. The table knows only the requests of its own owner: without ownership of upstreams (setting
// direct), a request of another entry VM can be the cause of a second crash. Suspects are kept per group, which is the
// shard: a query that crashes one shard may succeed on the others.
package suspect

import (
	"maps"
	"slices"
	"time"
)

// Quarantine is how long a fingerprint is refused after its second crash.
const Quarantine = 10 * time.Minute

const (
	// suspectRetention is how long a suspect is kept without a result that clears or quarantines it.
	suspectRetention = 10 * time.Minute
	maxSuspects      = 10_000
)

// Kind is the type of an Event.
type Kind string

// The kinds of events.
const (
	// BeforeSend asks whether a request may be sent. The caller asks again for a held request after any other event.
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

// Event is an input of a Table. Traces store it with these field names.
type Event struct {
	Kind     Kind
	NowNanos int64
	// Ticket identifies the request; it is unique within the owner process.
	Ticket   uint64
	Upstream string
	// Group is the shard of the request.
	Group string
	// Fingerprint is the same for all requests that make an upstream do the same work.
	Fingerprint string
	Idempotent  bool
	// Retry marks the retry of a request that was in flight when an upstream crashed. It is a suspect at any upstream.
	Retry  bool
	Result Result
}

// Verdict is the response to a BeforeSend event.
type Verdict string

// The verdicts.
const (
	Send Verdict = "send"
	// SendAlone means to send a suspect, while no other request is at the upstream.
	SendAlone Verdict = "send_alone"
	// Hold means to wait for another event and to ask again.
	Hold Verdict = "hold"
	// Refuse means that the fingerprint is quarantined.
	Refuse Verdict = "refuse"
)

// Outcome is the response to an Event. Traces store it with these field names.
type Outcome struct {
	Verdict Verdict
	// Retry is set if the request that was lost in a crash may be sent once more, as a suspect.
	Retry bool
	// Quarantine is set if the request crashed an upstream while it was alone there.
	Quarantine bool
}

type suspectKey struct {
	fingerprint string
	group       string
}

type suspectRecord struct {
	markedAt int64
	// probe is the ticket of the suspect in flight, 0 for none.
	probe uint64
}

// request is a request in flight.
type request struct {
	event Event
	// alone is set for a suspect that was sent while no other request was at the upstream.
	alone bool
	// marked is set once a crash of the upstream has made the request a suspect.
	marked bool
}

// upstreamState holds this owner's requests at one upstream.
type upstreamState struct {
	inFlight map[uint64]*request
	// alone is set while a suspect is in flight.
	alone bool
	// heldSuspects holds the tickets of held suspects in order of arrival. Other requests are held while there are any, so
	// that the upstream becomes idle.
	heldSuspects []uint64
}

// Table holds the requests in flight, the suspects and the quarantines of one owner. It is not safe for concurrent use.
type Table struct {
	upstreams map[string]*upstreamState
	suspects  map[suspectKey]*suspectRecord
	// quarantined holds the end of the quarantine of each fingerprint.
	quarantined map[string]int64
	lastSweep   int64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{upstreams: map[string]*upstreamState{}, suspects: map[suspectKey]*suspectRecord{}, quarantined: map[string]int64{}}
}

// Step applies an event.
func (t *Table) Step(event Event) Outcome {
	t.sweep(event.NowNanos)
	switch event.Kind {
	case BeforeSend:
		return Outcome{Verdict: t.beforeSend(event)}
	case AfterResult:
		return t.afterResult(event)
	case Abandon:
		t.abandon(event)
	}
	return Outcome{}
}

// Quarantined reports whether this owner itself has quarantined the fingerprint.
func (t *Table) Quarantined(fingerprint string, nowNanos int64) bool {
	until, ok := t.quarantined[fingerprint]
	return ok && nowNanos < until
}

// Suspects returns the number of suspects.
func (t *Table) Suspects() int { return len(t.suspects) }

func (t *Table) beforeSend(event Event) Verdict {
	if t.Quarantined(event.Fingerprint, event.NowNanos) {
		t.abandon(event)
		return Refuse
	}
	state := t.upstreamState(event.Upstream)
	if event.Retry {
		t.markSuspect(event)
	}
	record, suspected := t.suspects[keyOf(event)]
	if !suspected {
		state.dequeue(event.Ticket)
		return state.admit(event)
	}
	return state.admitSuspect(event, record)
}

func (u *upstreamState) admit(event Event) Verdict {
	if u.alone || len(u.heldSuspects) > 0 {
		return Hold
	}
	u.inFlight[event.Ticket] = &request{event: event}
	return Send
}

func (u *upstreamState) admitSuspect(event Event, record *suspectRecord) Verdict {
	if record.probe != 0 {
		// One probe decides for all requests of the fingerprint. Meanwhile they do not hold back other requests.
		u.dequeue(event.Ticket)
		return Hold
	}
	u.enqueue(event.Ticket)
	if len(u.inFlight) > 0 || u.heldSuspects[0] != event.Ticket {
		return Hold
	}
	u.dequeue(event.Ticket)
	u.inFlight[event.Ticket] = &request{event: event, alone: true}
	u.alone = true
	record.probe = event.Ticket
	return SendAlone
}

func (t *Table) afterResult(event Event) Outcome {
	state := t.upstreamState(event.Upstream)
	finished, ok := state.inFlight[event.Ticket]
	if !ok {
		return Outcome{}
	}
	delete(state.inFlight, event.Ticket)
	defer t.dropIfIdle(event.Upstream, state)
	key := keyOf(finished.event)
	if finished.alone {
		state.alone = false
		if record, ok := t.suspects[key]; ok {
			record.probe = 0
		}
	}
	switch event.Result {
	case Succeeded:
		delete(t.suspects, key)
	case Crashed:
		return t.handleCrash(event, finished, state)
	}
	return Outcome{}
}

func (t *Table) handleCrash(event Event, finished *request, state *upstreamState) Outcome {
	if finished.alone {
		t.quarantined[finished.event.Fingerprint] = event.NowNanos + int64(Quarantine)
		delete(t.suspects, keyOf(finished.event))
		return Outcome{Quarantine: true}
	}
	if !finished.marked {
		// The first lost connection marks all requests in flight as suspects; the others report the same crash later.
		finished.event.NowNanos = event.NowNanos
		t.markSuspect(finished.event)
		for _, ticket := range slices.Sorted(maps.Keys(state.inFlight)) {
			other := state.inFlight[ticket]
			other.marked = true
			other.event.NowNanos = event.NowNanos
			t.markSuspect(other.event)
		}
	}
	return Outcome{Retry: finished.event.Idempotent}
}

func (t *Table) markSuspect(event Event) {
	key := keyOf(event)
	if _, ok := t.suspects[key]; ok || len(t.suspects) >= maxSuspects {
		return
	}
	t.suspects[key] = &suspectRecord{markedAt: event.NowNanos}
}

func (t *Table) abandon(event Event) {
	state := t.upstreamState(event.Upstream)
	state.dequeue(event.Ticket)
	t.dropIfIdle(event.Upstream, state)
}

func (t *Table) upstreamState(upstream string) *upstreamState {
	state, ok := t.upstreams[upstream]
	if !ok {
		state = &upstreamState{inFlight: map[uint64]*request{}}
		t.upstreams[upstream] = state
	}
	return state
}

func (t *Table) dropIfIdle(upstream string, state *upstreamState) {
	if len(state.inFlight) == 0 && len(state.heldSuspects) == 0 {
		delete(t.upstreams, upstream)
	}
}

func (u *upstreamState) enqueue(ticket uint64) {
	for _, held := range u.heldSuspects {
		if held == ticket {
			return
		}
	}
	u.heldSuspects = append(u.heldSuspects, ticket)
}

func (u *upstreamState) dequeue(ticket uint64) {
	for i, held := range u.heldSuspects {
		if held == ticket {
			u.heldSuspects = append(u.heldSuspects[:i:i], u.heldSuspects[i+1:]...)
			return
		}
	}
}

// sweep drops expired suspects and quarantines once a minute.
func (t *Table) sweep(now int64) {
	if now-t.lastSweep < int64(time.Minute) {
		return
	}
	t.lastSweep = now
	for key, record := range t.suspects {
		if record.probe == 0 && now-record.markedAt > int64(suspectRetention) {
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
