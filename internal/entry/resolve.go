package entry

import (
	"github.com/wisteriamux/wisteriamux/internal/ownerrpc"
)

// ownerRPC is the whole net/rpc face of the owner: sub-requests of searches, booking attempts and renewals.
type ownerRPC struct {
	*OwnerService
	*BookingService
}

// BookingService is the part of the owner service for bookings and renewals.
type BookingService struct {
	owner    *bookingOwner
	renewals *renewals
}

// Book runs one copy of a booking attempt and answers with its outcome.
func (s *BookingService) Book(args ownerrpc.BookArgs, reply *ownerrpc.AttemptReply) error {
	*reply = s.owner.book(args)
	return nil
}

// Resolve tells what became of a booking attempt. An attempt that was never received is refused from then on.
func (s *BookingService) Resolve(args ownerrpc.ResolveArgs, reply *ownerrpc.AttemptReply) error {
	*reply = s.owner.resolve(args)
	return nil
}

// Renewals takes renewals of upstreams that reached another entry VM.
func (s *BookingService) Renewals(args ownerrpc.RenewalsArgs, _ *ownerrpc.RenewalsReply) error {
	s.renewals.accept(args.Renewals)
	return nil
}

// Identity tells whether the process at an address still renews.
func (s *BookingService) Identity(args ownerrpc.IdentityArgs, reply *ownerrpc.IdentityReply) error {
	reply.Renewing = s.renewals.isRenewing(args)
	return nil
}

// InFlight counts the requests of this VM at an upstream.
func (s *BookingService) InFlight(args ownerrpc.InFlightArgs, reply *ownerrpc.InFlightReply) error {
	reply.Count = s.renewals.inFlight(args.Upstream)
	return nil
}
