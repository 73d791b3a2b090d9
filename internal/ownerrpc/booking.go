package ownerrpc

import (
	"time"

	"github.com/wisteriamux/wisteriamux/internal/booking"
)

// BookArgs asks the owner of an upstream to send one attempt. A sender sends one copy of an attempt only.
type BookArgs struct {
	RequestID string
	Caller    string
	Key       string
	Attempt   uint64
	Service   string
	Upstream  string
	// OwnerInstance, SenderID and SenderInstance are those of the intent.
	OwnerInstance  uint64
	SenderID       string
	SenderInstance uint64
	// Timeout is the remaining time within which the attempt may start.
	Timeout time.Duration
	Payload []byte
}

// ResolveArgs asks the owner for the outcome of an attempt.
type ResolveArgs struct {
	Key           string
	Attempt       uint64
	OwnerInstance uint64
	// Wait is how long to wait for the end of a running attempt.
	Wait time.Duration
}

// BookingLoad is the work that an owner holds for one of its upstreams, in thousandths of the slots.
type BookingLoad struct {
	Upstream string
	Permille int
}

// AttemptReply answers Book and Resolve.
type AttemptReply struct {
	Outcome  booking.Outcome
	Response []byte
	Reason   string
	Loads    []BookingLoad
}

// Renewal is the renewal of an upstream that announced itself to another entry VM.
type Renewal struct {
	Name    string
	Address string
}

// RenewalsArgs carries a batch of renewals to the owner of the upstreams.
type RenewalsArgs struct {
	Renewals []Renewal
}

// RenewalsReply confirms a batch.
type RenewalsReply struct{}

// IdentityArgs asks the owner whether the process at the address still renews.
type IdentityArgs struct {
	Name    string
	Address string
}

// IdentityReply tells whether it does.
type IdentityReply struct {
	Renewing bool
}

// InFlightArgs asks a VM for its requests at an upstream, whoever owns the upstream now.
type InFlightArgs struct {
	Upstream string
}

// InFlightReply carries their number.
type InFlightReply struct {
	Count int
}
