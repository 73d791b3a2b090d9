package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/controlstate"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/model"
	"github.com/wisteriamux/wisteriamux/internal/ownerrpc"
)

// BookingRequest is a caller's booking.
type BookingRequest struct {
	Service string `json:"service"`
	// Key identifies the booking. A resend with the same key never runs twice.
	Key           string          `json:"key"`
	Payload       json.RawMessage `json:"payload"`
	TimeoutMillis int64           `json:"timeout_ms"`
}

// BookingResponse answers a booking.
type BookingResponse struct {
	Status    string          `json:"status"`
	RequestID string          `json:"request_id"`
	Key       string          `json:"key"`
	Attempt   uint64          `json:"attempt"`
	Result    json.RawMessage `json:"result"`
}

// outcomeTimeout bounds the recording of an outcome after the caller's deadline has passed.
const outcomeTimeout = 3 * time.Second

// book runs a booking at most once. The intent is durable before the request leaves.
func (s *Server) book(ctx context.Context, requestID, caller string, request BookingRequest) (BookingResponse, error) {
	current, err := s.session.leased()
	if err != nil {
		return BookingResponse{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(request.TimeoutMillis)*time.Millisecond)
	defer cancel()
	upstream, err := chooseBookingUpstream(current, request.Service)
	if err != nil {
		return BookingResponse{}, err
	}
	owner := current.owners[upstream.Name]
	granted, err := s.intent(ctx, request, upstream, owner)
	if err != nil {
		return BookingResponse{}, err
	}
	if !granted.Granted {
		return recordedOutcome(requestID, *granted.Booking)
	}
	result := s.peers.execute(ctx, owner, s.bookingSubRequest(ctx, current, upstream, requestID, caller, request, granted.Booking.Attempt))
	record, err := s.recordOutcome(ctx, request.Key, granted.Booking.Attempt, result)
	if err != nil {
		return BookingResponse{}, fault.New(fault.OutcomeUnknown, "book", "outcome not recorded: %w", err)
	}
	return recordedOutcome(requestID, record)
}

func chooseBookingUpstream(current *served, service string) (model.Upstream, error) {
	configured, ok := current.view.Config.ServiceNamed(service)
	if !ok || configured.Kind != model.ServiceBooking {
		return model.Upstream{}, fault.New(fault.BadRequest, "book", "%q is not a booking service", service)
	}
	var ready []model.Upstream
	for _, upstream := range current.view.Upstreams {
		if upstream.Service == service && upstream.State == model.UpstreamReady {
			ready = append(ready, upstream)
		}
	}
	if len(ready) == 0 {
		return model.Upstream{}, fault.New(fault.NotRun, "book", "service %q has no ready upstream", service)
	}
	return ready[rand.IntN(len(ready))], nil
}

func (s *Server) intent(ctx context.Context, request BookingRequest, upstream model.Upstream, owner model.Member) (controlstate.Result, error) {
	digest := sha256.Sum256(append([]byte(request.Service+"\x00"), request.Payload...))
	intent := controlstate.BookingIntent{
		Key:            request.Key,
		Digest:         hex.EncodeToString(digest[:]),
		Service:        request.Service,
		Upstream:       upstream.Name,
		OwnerID:        owner.ID,
		OwnerInstance:  owner.Instance,
		SenderID:       s.config.ID,
		SenderInstance: s.session.instanceID(),
	}
	result, err := s.control.Propose(ctx, controlstate.Command{BookingIntent: &intent})
	if fault.Is(err, fault.Unavailable) {
		// The intent may have been recorded, but nothing was sent to an upstream.
		return result, fault.New(fault.NotRun, "book", "intent not confirmed: %w", err)
	}
	return result, err
}

func (s *Server) bookingSubRequest(ctx context.Context, current *served, upstream model.Upstream,
	requestID, caller string, request BookingRequest, attempt uint64,
) ownerrpc.SubRequest {
	deadline, _ := ctx.Deadline()
	return ownerrpc.SubRequest{
		ID:        s.nextID.Add(1),
		RequestID: requestID,
		Caller:    caller,
		Upstream:  upstream.Name,
		Revision:  current.view.Revision,
		Timeout:   time.Until(deadline),
		Booking:   &ownerrpc.Booking{Key: request.Key, Attempt: attempt, Payload: request.Payload},
	}
}

// recordOutcome makes the outcome of the attempt durable. It outlives the caller's deadline.
func (s *Server) recordOutcome(ctx context.Context, key string, attempt uint64, result ownerrpc.SubResult) (controlstate.Booking, error) {
	outcome := controlstate.BookingOutcome{Key: key, Attempt: attempt, State: controlstate.BookingUnknown}
	switch {
	case result.Fault == nil:
		outcome.State = controlstate.BookingDone
		outcome.Response = result.Items[0]
	case result.Fault.Code == fault.NotRun:
		outcome.State = controlstate.BookingNotRun
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), outcomeTimeout)
	defer cancel()
	recorded, err := s.control.Propose(ctx, controlstate.Command{BookingOutcome: &outcome})
	if err != nil {
		return controlstate.Booking{}, err
	}
	return *recorded.Booking, nil
}

func recordedOutcome(requestID string, record controlstate.Booking) (BookingResponse, error) {
	switch record.State {
	case controlstate.BookingDone:
		return BookingResponse{
			Status: StatusAnswered, RequestID: requestID, Key: record.Intent.Key, Attempt: record.Attempt, Result: record.Response,
		}, nil
	case controlstate.BookingNotRun:
		return BookingResponse{}, fault.New(fault.NotRun, "book", "attempt %d was refused before it started", record.Attempt)
	default:
		return BookingResponse{}, fault.New(fault.OutcomeUnknown, "book", "attempt %d may have run", record.Attempt)
	}
}
