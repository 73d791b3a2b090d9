package relay

import (
	"context"
	"errors"
	"net/rpc"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/notice"
	"github.com/wisteriamux/wisteriamux/internal/ratelimit"
	"github.com/wisteriamux/wisteriamux/internal/responsemem"
	"github.com/wisteriamux/wisteriamux/internal/rpcconn"
	"github.com/wisteriamux/wisteriamux/internal/upstreamconn"
)

// overdueFactor is the multiple of the usual response time after which the peer of a call is pinged.
const overdueFactor = 4

// maxRelayedBytes limits the body of a relayed response, which is one message together with its header.
const maxRelayedBytes = rpcconn.MaxMessageBytes - 1<<20

// Forward executes one attempt on this VM's own links and returns the whole response.
func (p *session) Forward(args ForwardArgs, reply *ForwardReply) error {
	if args.Remaining <= 0 {
		reply.Ended = Ended{Outcome: Unsent, Reason: "no time is left"}
		return nil
	}
	ctx, cancel := context.WithTimeout(p.ctx, args.Remaining)
	defer cancel()
	if refusal := p.addForward(args.Call, cancel); refusal != "" {
		reply.Ended = Ended{Outcome: Unsent, Reason: refusal}
		return nil
	}
	defer p.removeForward(args.Call)
	// net/rpc encodes the reply after the memory is released, one reply after the other.
	hold := &responsemem.Hold{}
	defer hold.Release()
	received := time.Now()
	response, err := p.server.attempt(ctx, args.Attempt, args.Expected, &upstreamconn.Request{
		ID: args.Request, Method: args.Method, Target: args.Target, Host: args.Host, Header: args.Header, Body: args.Body, Caller: args.Caller,
		Instance: args.Attempt.Instance, Remaining: args.Remaining, MaxBodyBytes: min(args.MaxBodyBytes, maxRelayedBytes), Hold: hold,
		Check: p.server.keyCheck(args.Key),
	})
	reply.Ended = endOf(response, err)
	reply.Took = time.Since(received)
	reply.Reduction = p.server.reduction(args.Attempt.Instance)
	reply.Sent = response != nil || sent(err)
	if response != nil {
		reply.Response = &ForwardedResponse{
			Status: response.Status, Header: response.Header, Body: response.Body, RequestID: response.RequestID,
			NotRun: response.NotRun, Misdirected: response.Misdirected,
		}
		reply.Stamp = response.Stamp
	}
	return nil
}

// attempt makes an attempt if the executor accepts it.
func (s *Server) attempt(ctx context.Context, attempt Attempt, expected time.Duration, request *upstreamconn.Request) (*upstreamconn.Response, error) {
	if err := s.executor.Accept(attempt, request); err != nil {
		return nil, err
	}
	return s.executor.Attempt(ctx, attempt, expected, request)
}

// sent reports whether the upstream may have received an attempt that ended with the error.
func sent(err error) bool {
	var linkLost *LinkLostError
	var failed *upstreamconn.RequestError
	switch {
	case errors.As(err, &linkLost):
		return linkLost.Sent
	case errors.As(err, &failed):
		return failed.Sent
	}
	return false
}

// addForward registers a call in progress, or returns why it must not be carried out.
func (p *session) addForward(call uint64, cancel context.CancelFunc) (refusal string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.early.Take(call).All {
		return cancelledBefore
	}
	if _, known := p.forwards[call]; known || len(p.forwards) >= maxBatches {
		return "too many calls in progress"
	}
	p.forwards[call] = cancel
	p.server.running.Add(1)
	return ""
}

func (p *session) removeForward(call uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.forwards, call)
	p.server.running.Add(-1)
}

// CancelForward cancels a call of Forward, also one that has not begun.
func (p *session) CancelForward(args CancelForwardArgs, _ *Empty) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if cancel, ok := p.forwards[args.Call]; ok {
		cancel()
	} else {
		p.early.Add(args.Call, nil)
	}
	return nil
}

// Forward executes one attempt at the relay. The error tells whether the upstream may have received the request: it is a
// RequestError, a LinkLostError, a NoRoomError or a KeyError. Cancelling the context cancels the attempt.
func (l *Link) Forward(ctx context.Context, args ForwardArgs) (*upstreamconn.Response, ForwardReply, error) {
	l.mu.Lock()
	conn := l.conn
	l.mu.Unlock()
	if conn == nil {
		return nil, ForwardReply{}, &upstreamconn.RequestError{Err: fault.New(fault.Unavailable, "relay.forward", "no connection to %s", l.peer.ID)}
	}
	args.Call = l.nextBatch.Add(1)
	l.inFlight.Add(1)
	defer l.inFlight.Add(-1)
	var reply ForwardReply
	call := conn.Go(ServiceName+".Forward", args, &reply, make(chan *rpc.Call, 1))
	// A peer that has frozen or is cut off does not answer a ping either, and its connection is dropped then.
	overdue := time.AfterFunc(max(silentAfter, overdueFactor*args.Expected), func() { l.probe(conn) })
	defer overdue.Stop()
	select {
	case <-ctx.Done():
		// The reply is empty, and a lost call ends with the connection.
		conn.Go(ServiceName+".CancelForward", CancelForwardArgs{Call: args.Call}, &Empty{}, make(chan *rpc.Call, 1))
		return nil, ForwardReply{}, lostCall("request ended: %w", ctx.Err())
	case <-call.Done:
	}
	var unknownMethod rpc.ServerError
	if errors.As(call.Error, &unknownMethod) {
		// The methods of the service return no errors: a peer of an older version does not know this one.
		return nil, ForwardReply{}, &upstreamconn.RequestError{Err: fault.New(fault.Unavailable, "relay.forward", "%s: %w", l.peer.ID, call.Error)}
	}
	if call.Error != nil {
		err := lostCall("RPC to %s failed: %w", l.peer.ID, call.Error)
		l.dropConn(conn, err)
		return nil, ForwardReply{}, err
	}
	l.onReport()
	switch reply.Outcome {
	case Partitioned:
		l.MarkPartitioned(time.Now())
	case Unconfirmed:
		l.MarkUnconfirmed(time.Now())
	}
	return reply.response(), reply, reply.err()
}

// lostCall returns the error of a call after which it is not known whether the upstream received the request.
func lostCall(format string, args ...any) error {
	return &upstreamconn.RequestError{Err: fault.New(fault.Unavailable, "relay.forward", format, args...), Sent: true}
}

func (r *ForwardReply) response() *upstreamconn.Response {
	if r.Response == nil || !upstreamconn.ValidStatus(r.Response.Status) {
		return nil
	}
	response := &upstreamconn.Response{
		Status: r.Response.Status, Header: r.Response.Header, Body: r.Response.Body, RequestID: r.Response.RequestID,
		Stamp: r.Stamp, NotRun: r.Response.NotRun, Misdirected: r.Response.Misdirected,
		Notice: notice.Notice{Leaving: r.Leaving, Pause: r.Pause},
	}
	if r.RateLimit != nil {
		response.RateLimit = ratelimit.Statement{PerSecond: *r.RateLimit}
	}
	return response
}

func (r *ForwardReply) err() error {
	switch {
	case r.Response != nil && !upstreamconn.ValidStatus(r.Response.Status):
		// A relay of an earlier version passes such a response on.
		return &upstreamconn.RequestError{
			Err: fault.New(fault.UpstreamFailed, "relay.forward", "status %03d is not one of a final response", r.Response.Status), Sent: true,
		}
	case r.Response != nil:
		return nil
	case r.Outcome == Limited:
		return &ratelimit.NoRoomError{RetryAfter: r.RetryAfter}
	case r.Outcome == KeyRemoved:
		return RemovedKeyError()
	case r.Outcome == Unconfirmed:
		// The request may be sent through another VM.
		return &LinkLostError{}
	case r.Outcome == Partitioned || r.LinkLost:
		return &LinkLostError{Sent: r.Sent}
	}
	return &upstreamconn.RequestError{
		Err: fault.New(fault.UpstreamFailed, "relay.forward", "%s", r.Reason), Sent: r.Sent, Unreachable: r.Outcome == Unreachable,
		Closed: r.Closed,
	}
}
