package ownerrpc

import (
	"time"

	"github.com/wisteriamux/wisteriamux/internal/booking"
)

// BookArgs asks the owner of an upstream to run a booking attempt. A sender sends each attempt only once.
type BookArgs struct {
	RequestID string
	Caller    string
	Key       string
	Attempt   uint64
	Service   string
	Upstream  string
	// OwnerInstance, SenderID and SenderInstance are copied from the intent.
	OwnerInstance  uint64
	SenderID       string
	SenderInstance uint64
	// Timeout is the time that remains for the attempt to start.
	Timeout time.Duration
	Payload []byte
}

// ResolveArgs asks the owner for the outcome of a booking attempt.
type ResolveArgs struct {
	Key           string
	Attempt       uint64
	OwnerInstance uint64
	// Wait is how long the owner waits for a running attempt to end.
	Wait time.Duration
}

// BookingLoad reports the attempts that are queued for or running on an upstream at its owner, in thousandths of its
// slots.
type BookingLoad struct {
	Upstream string
	Permille int
}

// AttemptReply is the reply to Book and Resolve.
type AttemptReply struct {
	Outcome  booking.Outcome
	Response []byte
	Reason   string
	Loads    []BookingLoad
}

// Renewal identifies the process of an upstream that has renewed its announcement.
type Renewal struct {
	Name    string
	Address string
}

// RenewalsArgs forwards a batch of renewals to the owner of the upstreams.
type RenewalsArgs struct {
	Renewals []Renewal
}

// RenewalsReply is the empty reply to a batch of renewals.
type RenewalsReply struct{}

// IdentityArgs asks the owner whether the upstream's process at the address still renews.
type IdentityArgs struct {
	Name    string
	Address string
}

// IdentityReply reports whether the process still renews.
type IdentityReply struct {
	Renewing bool
}

// InFlightArgs asks an entry VM for its number of requests in flight at an upstream, even if it does not own the
// upstream now.
type InFlightArgs struct {
	Upstream string
}

// InFlightReply reports the number of requests that are queued or running.
type InFlightReply struct {
	Count int
}
