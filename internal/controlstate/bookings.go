package controlstate

import (
	"container/list"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/fault"
)

// BookingRetention is how long the record of a key is kept after its outcome. A later resend runs as a new booking.
const BookingRetention = 24 * time.Hour

// maxSweptPerCommand bounds the work of one command when the retention of many keys ends at once.
const maxSweptPerCommand = 256

// bookingTable holds the records of all booking keys.
type bookingTable struct {
	byKey map[string]*list.Element
	// order lists the records by their last change. This is also the order of UpdatedMillis, because the time of the state
	// never moves backwards.
	order *list.List
}

func newBookingTable() bookingTable {
	return bookingTable{byKey: map[string]*list.Element{}, order: list.New()}
}

func (t *bookingTable) find(key string) *Booking {
	element, ok := t.byKey[key]
	if !ok {
		return nil
	}
	return element.Value.(*Booking)
}

// put stores the record as the most recently changed one.
func (t *bookingTable) put(record *Booking) {
	if element, ok := t.byKey[record.Intent.Key]; ok {
		t.order.Remove(element)
	}
	t.byKey[record.Intent.Key] = t.order.PushBack(record)
}

// sweep removes the records whose retention has ended. An attempt that is still open by then becomes unknown and is
// kept for one more retention period, so that an intent whose caller never asks again does not stay in the table
// forever.
func (t *bookingTable) sweep(nowMillis int64) {
	for range maxSweptPerCommand {
		front := t.order.Front()
		if front == nil {
			return
		}
		record := front.Value.(*Booking)
		if nowMillis-record.UpdatedMillis < BookingRetention.Milliseconds() {
			return
		}
		if record.State == BookingOpen {
			t.put(record.withState(BookingUnknown, nil, nowMillis))
			continue
		}
		t.order.Remove(front)
		delete(t.byKey, record.Intent.Key)
	}
}

// withState returns a changed copy. Records are never changed in place, because results share them with readers.
func (b *Booking) withState(state BookingState, response []byte, nowMillis int64) *Booking {
	changed := *b
	changed.State = state
	changed.Response = response
	changed.UpdatedMillis = nowMillis
	return &changed
}

// Booking returns the record of a booking key.
func (s *State) Booking(key string) (Booking, bool) {
	record := s.bookings.find(key)
	if record == nil {
		return Booking{}, false
	}
	return *record, true
}

// bookingIntent grants an attempt only to a new key or after the recorded outcome not_run. Every other resend gets the
// current record.
func (s *State) bookingIntent(intent BookingIntent) Result {
	if intent.Key == "" || len(intent.Key) > maxIdentifierBytes {
		return s.refuse(fault.New(fault.BadRequest, "booking.intent", "booking key must have 1 to %d bytes", maxIdentifierBytes))
	}
	record := s.bookings.find(intent.Key)
	if record == nil {
		return s.grantAttempt(intent, 1)
	}
	if record.Intent.Digest != intent.Digest {
		return s.refuse(fault.New(fault.Conflict, "booking.intent", "booking key %q was already used with a different body", intent.Key))
	}
	if record.State == BookingNotRun {
		return s.grantAttempt(intent, record.Attempt+1)
	}
	if record.State == BookingOpen && !s.isCurrentInstance(record.Intent.OwnerID, record.Intent.OwnerInstance) {
		// The owner instance is gone, so it can no longer be determined whether the attempt was sent.
		record = record.withState(BookingUnknown, nil, s.nowMillis)
		s.bookings.put(record)
	}
	return s.bookingResult(record, false)
}

// grantAttempt grants the attempt if the table has room and the owner is the current instance of its entry VM.
func (s *State) grantAttempt(intent BookingIntent, attempt uint64) Result {
	if attempt == 1 && len(s.bookings.byKey) >= s.limits.bookings {
		return s.refuse(fault.New(fault.NotRun, "booking.intent", "the booking table is full with %d keys", len(s.bookings.byKey)))
	}
	if !s.isCurrentInstance(intent.OwnerID, intent.OwnerInstance) {
		return s.refuse(fault.New(fault.NotRun, "booking.intent", "instance %d of owner %q is not its current instance",
			intent.OwnerInstance, intent.OwnerID))
	}
	granted := &Booking{Intent: intent, Attempt: attempt, State: BookingOpen, UpdatedMillis: s.nowMillis}
	s.bookings.put(granted)
	return s.bookingResult(granted, true)
}

// bookingOutcome records the first outcome of the open attempt. Further outcomes, and outcomes of earlier attempts, do
// not change the record.
func (s *State) bookingOutcome(outcome BookingOutcome) Result {
	switch outcome.State {
	case BookingDone, BookingNotRun, BookingUnknown:
	default:
		return s.refuse(fault.New(fault.BadRequest, "booking.outcome", "%q is not a booking outcome", outcome.State))
	}
	record := s.bookings.find(outcome.Key)
	if record == nil {
		return s.refuse(fault.New(fault.NotFound, "booking.outcome", "booking key %q has no recorded intent", outcome.Key))
	}
	if record.Attempt == outcome.Attempt && record.State == BookingOpen {
		record = record.withState(outcome.State, outcome.Response, s.nowMillis)
		s.bookings.put(record)
	}
	return s.bookingResult(record, false)
}

func (s *State) bookingResult(record *Booking, granted bool) Result {
	result := s.currentResult()
	copied := *record
	result.Booking = &copied
	result.Granted = granted
	return result
}
