package entry

import (
	"github.com/wisteriamux/wisteriamux/internal/ownerrpc"
)

// ownerRPC is the net/rpc receiver that serves other entry VMs. It combines the methods for searches with those for
// bookings and renewals.
type ownerRPC struct {
	*OwnerService
	*BookingService
}

// BookingService holds the net/rpc methods of the owner service for bookings and renewals.
type BookingService struct {
	owner    *bookingOwner
	renewals *renewals
}

// Book sends a booking attempt to its upstream, at most once, and replies with its outcome.
func (s *BookingService) Book(args ownerrpc.BookArgs, reply *ownerrpc.AttemptReply) error {
	*reply = s.owner.book(args)
	return nil
}

// Resolve replies with the outcome of a booking attempt. An attempt that was never received is refused if it arrives
// later.
func (s *BookingService) Resolve(args ownerrpc.ResolveArgs, reply *ownerrpc.AttemptReply) error {
	*reply = s.owner.resolve(args)
	return nil
}

// Renewals accepts a batch of upstream renewals that arrived at another entry VM.
func (s *BookingService) Renewals(args ownerrpc.RenewalsArgs, _ *ownerrpc.RenewalsReply) error {
	s.renewals.accept(args.Renewals)
	return nil
}

// Identity replies whether the upstream process at an address still sends renewals.
func (s *BookingService) Identity(args ownerrpc.IdentityArgs, reply *ownerrpc.IdentityReply) error {
	reply.Renewing = s.renewals.isRenewing(args)
	return nil
}

// InFlight replies with the number of requests that this VM has queued or running at an upstream.
func (s *BookingService) InFlight(args ownerrpc.InFlightArgs, reply *ownerrpc.InFlightReply) error {
	reply.Count = s.renewals.inFlight(args.Upstream)
	return nil
}
