package controlstate

import (
	"container/list"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/fault"
)

// BookingRetention is how long a key is kept after its outcome. A resend after that time runs as a new booking.
const BookingRetention = 24 * time.Hour

// sweepLimit bounds the work of one command when many keys end at once.
const sweepLimit = 256

// bookingTable holds the keys in the order of their last change, which is also the order of UpdatedMillis because the
// time of the state never moves backwards.
type bookingTable struct {
	byKey map[string]*list.Element
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

// put stores the record as the latest change.
func (t *bookingTable) put(record *Booking) {
	if element, ok := t.byKey[record.Intent.Key]; ok {
		t.order.Remove(element)
	}
	t.byKey[record.Intent.Key] = t.order.PushBack(record)
}

// sweep removes keys whose retention has ended. An attempt still open after that time becomes unknown and is kept for
// one more period, so that an intent whose caller never asks again cannot occupy the table for ever.
func (t *bookingTable) sweep(nowMillis int64) {
	for range sweepLimit {
		front := t.order.Front()
		if front == nil {
			return
		}
		record := front.Value.(*Booking)
		if nowMillis-record.UpdatedMillis < BookingRetention.Milliseconds() {
			return
		}
		if record.State == BookingOpen {
			t.put(record.with(BookingUnknown, nil, nowMillis))
			continue
		}
		t.order.Remove(front)
		delete(t.byKey, record.Intent.Key)
	}
}

// with returns a changed copy. Records are never changed in place, because results share them with readers.
func (b *Booking) with(state BookingState, response []byte, nowMillis int64) *Booking {
	changed := *b
	changed.State = state
	changed.Response = response
	changed.UpdatedMillis = nowMillis
	return &changed
}

// Booking returns the record of a key.
func (s *State) Booking(key string) (Booking, bool) {
	record := s.bookings.find(key)
	if record == nil {
		return Booking{}, false
	}
	return *record, true
}

// bookingIntent grants an attempt only to a new key or after a recorded not run; every other resend gets the record.
func (s *State) bookingIntent(intent BookingIntent) Result {
	if intent.Key == "" || len(intent.Key) > maxIdentifierBytes {
		return s.refuse(fault.New(fault.BadRequest, "booking.intent", "key must have 1 to %d bytes", maxIdentifierBytes))
	}
	record := s.bookings.find(intent.Key)
	if record == nil {
		return s.grantAttempt(intent, 1)
	}
	if record.Intent.Digest != intent.Digest {
		return s.refuse(fault.New(fault.Conflict, "booking.intent", "key %q was used with another body", intent.Key))
	}
	if record.State == BookingNotRun {
		return s.grantAttempt(intent, record.Attempt+1)
	}
	if record.State == BookingOpen && !s.isCurrentInstance(record.Intent.OwnerID, record.Intent.OwnerInstance) {
		// Nobody is left who could tell whether the attempt was sent.
		record = record.with(BookingUnknown, nil, s.nowMillis)
		s.bookings.put(record)
	}
	return s.bookingResult(record, false)
}

func (s *State) grantAttempt(intent BookingIntent, attempt uint64) Result {
	if attempt == 1 && len(s.bookings.byKey) >= s.limits.bookings {
		return s.refuse(fault.New(fault.NotRun, "booking.intent", "the table of bookings is full with %d keys", len(s.bookings.byKey)))
	}
	if !s.isCurrentInstance(intent.OwnerID, intent.OwnerInstance) {
		return s.refuse(fault.New(fault.NotRun, "booking.intent", "instance %d of owner %q is not current",
			intent.OwnerInstance, intent.OwnerID))
	}
	granted := &Booking{Intent: intent, Attempt: attempt, State: BookingOpen, UpdatedMillis: s.nowMillis}
	s.bookings.put(granted)
	return s.bookingResult(granted, true)
}

// bookingOutcome records the first outcome of the open attempt. A later or older one leaves the record as it is.
func (s *State) bookingOutcome(outcome BookingOutcome) Result {
	switch outcome.State {
	case BookingDone, BookingNotRun, BookingUnknown:
	default:
		return s.refuse(fault.New(fault.BadRequest, "booking.outcome", "%q is not an outcome", outcome.State))
	}
	record := s.bookings.find(outcome.Key)
	if record == nil {
		return s.refuse(fault.New(fault.NotFound, "booking.outcome", "key %q has no intent", outcome.Key))
	}
	if record.Attempt == outcome.Attempt && record.State == BookingOpen {
		record = record.with(outcome.State, outcome.Response, s.nowMillis)
		s.bookings.put(record)
	}
	return s.bookingResult(record, false)
}

func (s *State) bookingResult(record *Booking, granted bool) Result {
	result := s.unchanged()
	copied := *record
	result.Booking = &copied
	result.Granted = granted
	return result
}
