package relay

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/rpc"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/gather"
	"github.com/wisteriamux/wisteriamux/internal/ratelimit"
	"github.com/wisteriamux/wisteriamux/internal/rpcconn"
	"github.com/wisteriamux/wisteriamux/internal/upstreamconn"
)

// maxBatches limits the batches in progress per connection, so that a peer that never collects its reports cannot
// exhaust memory.
const maxBatches = 4096

// cancelledBefore is the reason of an attempt that was cancelled before it began.
const cancelledBefore = "cancelled before it began"

// drainPollInterval is how often Wait checks for batches in progress during a shutdown, which takes seconds.
const drainPollInterval = 10 * time.Millisecond

// Executor sends requests to upstream processes.
type Executor interface {
	// Accept returns an error if the attempt is not to be made: with code Moved if the process is unknown or does not accept requests,
	// and a DeclinedError if it is slow or failing.
	Accept(attempt Attempt, request *upstreamconn.Request) error
	// Attempt makes an attempt that was accepted. An error with code Moved means that nothing was sent.
	Attempt(ctx context.Context, attempt Attempt, expected time.Duration, request *upstreamconn.Request) (*upstreamconn.Response, error)
	// Permit grants or denies a permit for an upstream with a rate limit.
	Permit(args PermitArgs) PermitReply
	// ObserveAttempt records the times from the arrival of a batch to the start and to the end of one of its attempts.
	ObserveAttempt(start, end time.Duration)
	// CheckKey returns a KeyError if no request with the claim may be sent.
	CheckKey(claim *KeyClaim) error
	// Credits grants or denies credits of a team, and TakeOver lends the parts of the rates of teams.
	Credits(ctx context.Context, args CreditsArgs) CreditsReply
	TakeOver(args TakeOverArgs) TakeOverReply
}

// Server executes the batches of other entry VMs. It is safe for concurrent use.
type Server struct {
	executor Executor
	log      *slog.Logger
	// shuttingDown is closed when this relay begins to shut down.
	shuttingDown chan struct{}
	// running is the number of batches in progress.
	running atomic.Int64
}

// NewServer returns a server that executes batches with the executor.
func NewServer(executor Executor, log *slog.Logger) *Server {
	return &Server{executor: executor, log: log, shuttingDown: make(chan struct{})}
}

// NotifyShutdown announces to all peers that this relay is about to stop. It must be called at most once.
func (s *Server) NotifyShutdown() { close(s.shuttingDown) }

// Wait returns when every batch has been reported in full, or when the context is cancelled. After the last batch it
// waits one more interval, since the final report may not have been written yet.
func (s *Server) Wait(ctx context.Context) {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for idle := 0; idle < 2; idle++ {
		if s.running.Load() > 0 {
			idle = 0
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Serve accepts connections until the listener closes.
func (s *Server) Serve(listener net.Listener) { rpcconn.Accept(listener, s.log, s.serveConn) }

// serveConn serves one peer. Its batches are cancelled when the connection ends.
func (s *Server) serveConn(conn net.Conn) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	server := rpc.NewServer()
	peer := &session{server: s, ctx: ctx, batches: map[uint64]*running{}, forwards: map[uint64]context.CancelFunc{}}
	if err := server.RegisterName(ServiceName, peer); err != nil {
		s.log.Error("relay service registration failed", "error", err)
		return
	}
	// After the connection has ended, net/rpc waits for the calls in progress, and those wait for the context.
	rpcconn.Serve(server, rpcconn.OnReadError(rpcconn.WithWriteTimeout(conn), cancel))
}

// session is the RPC service of one connection.
type session struct {
	server *Server
	// ctx is cancelled when the connection ends.
	ctx context.Context

	// mu guards the fields below.
	mu      sync.Mutex
	batches map[uint64]*running
	// forwards cancels the calls of Forward in progress.
	forwards map[uint64]context.CancelFunc
	early    rpcconn.EarlyCancels
}

// running is a batch in progress.
type running struct {
	cancel context.CancelFunc
	// changed is signalled after each end of an attempt.
	changed chan struct{}

	// mu guards the fields below.
	mu      sync.Mutex
	state   *reporter
	cancels map[int]context.CancelFunc
}

// Run starts a batch and returns its first report.
func (p *session) Run(args RunArgs, reply *BatchReport) error {
	if args.Remaining <= 0 || len(args.Attempts) == 0 {
		reply.Fault = fault.ToWire(fault.New(fault.BadRequest, "relay.run", "batch %d has %d attempts and %s left, both must be positive", args.Batch,
			len(args.Attempts), args.Remaining))
		return nil
	}
	ctx, cancel := context.WithTimeout(p.ctx, args.Remaining)
	r := &running{
		cancel: cancel, changed: make(chan struct{}, 1), state: newReporter(args, time.Now()), cancels: map[int]context.CancelFunc{},
	}
	if err := p.begin(ctx, r, args); err != nil {
		cancel()
		reply.Fault = fault.ToWire(err)
		return nil
	}
	// A batch whose reports are not collected is removed when its time is up.
	context.AfterFunc(ctx, func() { p.removeBatch(args.Batch, r) })
	*reply = p.await(args.Batch, r)
	return nil
}

// begin registers a batch and starts its attempts, with the batch locked meanwhile: a cancellation meets either none of it or all.
func (p *session) begin(ctx context.Context, r *running, args RunArgs) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	early, err := p.addBatch(args.Batch, r)
	if err != nil {
		return err
	}
	p.server.start(ctx, r, args, early.Numbers)
	return nil
}

// addBatch registers a batch in progress, and returns what of it was cancelled before. It returns an error if all of it was, if there
// are too many batches or if the ID is in use.
func (p *session) addBatch(id uint64, r *running) (rpcconn.EarlyCancel, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	early := p.early.Take(id)
	if early.All {
		return early, fault.New(fault.Cancelled, "relay.run", "batch %d was cancelled before it began", id)
	}
	if _, known := p.batches[id]; known || len(p.batches) >= maxBatches {
		return early, fault.New(fault.Conflict, "relay.run", "batch %d already exists or exceeds the limit of %d batches", id, maxBatches)
	}
	p.batches[id] = r
	p.server.running.Add(1)
	return early, nil
}

// start runs the attempts of a batch, each until it ends or is cancelled, except those that are cancelled already. The caller
// holds the lock of the batch.
func (s *Server) start(ctx context.Context, r *running, args RunArgs, cancelled []int) {
	received := time.Now()
	for _, attempt := range args.Attempts {
		if slices.Contains(cancelled, attempt.Number) {
			r.state.end(Ended{Number: attempt.Number, Outcome: Unsent, Reason: cancelledBefore}, nil)
			continue
		}
		request := &upstreamconn.Request{
			ID: args.Request, Method: args.Method, Target: args.Target, Host: args.Host, Header: args.Header,
			Body: args.Body, Caller: args.Caller, Instance: attempt.Instance, Remaining: args.Remaining, MaxBodyBytes: gather.MaxPartBytes(args.Top),
			Check: s.keyCheck(args.Key),
		}
		if err := s.executor.Accept(attempt, request); err != nil {
			// All attempts that are not accepted are in the first report, so that the requesting VM replaces them together.
			ended := endOf(nil, err)
			ended.Number, ended.Reduction = attempt.Number, s.reduction(attempt.Instance)
			r.state.end(ended, nil)
			continue
		}
		ctx, cancel := context.WithCancel(ctx)
		r.cancels[attempt.Number] = cancel
		go func() {
			defer cancel()
			start := time.Since(received)
			response, err := s.executor.Attempt(ctx, attempt, args.Expected, request)
			ended := endOf(response, err)
			ended.Number, ended.Took = attempt.Number, time.Since(received)
			ended.Reduction = s.reduction(attempt.Instance)
			s.executor.ObserveAttempt(start, ended.Took)
			r.end(ended, response)
		}()
	}
}

// endOf describes how an attempt ended.
func endOf(response *upstreamconn.Response, err error) Ended {
	ended := Ended{Outcome: Classify(response, err)}
	if ended.Outcome == Answered {
		ended.Stamp = response.Stamp
	} else {
		ended.Reason = failureReason(response, err)
	}
	var declined *DeclinedError
	if errors.As(err, &declined) {
		ended.Cost = declined.Cost
	}
	var linkLost *LinkLostError
	ended.LinkLost = errors.As(err, &linkLost)
	var failed *upstreamconn.RequestError
	ended.Closed = errors.As(err, &failed) && failed.Closed
	ended.RateLimit, ended.RetryAfter = rateLimitOf(response, err)
	if err == nil && !response.Misdirected {
		ended.Leaving, ended.Pause = response.Notice.Leaving, response.Notice.Pause
	}
	return ended
}

func (r *running) end(ended Ended, response *upstreamconn.Response) {
	var records []byte
	if response != nil {
		records = response.Body
	}
	r.mu.Lock()
	r.state.end(ended, records)
	r.mu.Unlock()
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// Next waits for the next report of a batch. An unknown batch has already been reported in full or cancelled.
func (p *session) Next(args NextArgs, reply *BatchReport) error {
	p.mu.Lock()
	r, ok := p.batches[args.Batch]
	p.mu.Unlock()
	if !ok {
		reply.Fault = fault.ToWire(fault.New(fault.NotFound, "relay.next", "batch %d is not in progress", args.Batch))
		return nil
	}
	*reply = p.await(args.Batch, r)
	return nil
}

// await waits for the next report and removes the batch after its last one.
func (p *session) await(id uint64, r *running) BatchReport {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		now := time.Now()
		r.mu.Lock()
		due, at := r.state.due(now)
		if due {
			report := r.state.report(now)
			finished := r.state.finished()
			r.mu.Unlock()
			if finished {
				p.removeBatch(id, r)
			}
			return report
		}
		r.mu.Unlock()
		timer.Reset(at.Sub(now))
		select {
		case <-r.changed:
		case <-timer.C:
		case <-p.ctx.Done():
			return BatchReport{}
		}
	}
}

func (p *session) removeBatch(id uint64, r *running) {
	r.cancel()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.batches[id] == r {
		delete(p.batches, id)
		p.server.running.Add(-1)
	}
}

// Cancel cancels attempts of a batch, also of one that has not begun. Attempts that have already ended are still reported.
func (p *session) Cancel(args CancelArgs, _ *Empty) error {
	p.mu.Lock()
	r, ok := p.batches[args.Batch]
	if !ok {
		p.early.Add(args.Batch, args.Numbers)
	}
	p.mu.Unlock()
	if !ok {
		return nil
	}
	if len(args.Numbers) == 0 {
		p.removeBatch(args.Batch, r)
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, number := range args.Numbers {
		if cancel, ok := r.cancels[number]; ok {
			cancel()
		}
	}
	return nil
}

// Stay returns when this relay begins to shut down. Each peer keeps one call pending, which also lets it detect the
// loss of an idle connection at once.
func (p *session) Stay(_ Empty, _ *Empty) error {
	select {
	case <-p.server.shuttingDown:
	case <-p.ctx.Done():
	}
	return nil
}

// Permit grants or denies a permit for an upstream with a rate limit.
func (p *session) Permit(args PermitArgs, reply *PermitReply) error {
	*reply = p.server.executor.Permit(args)
	return nil
}

// Ping returns immediately.
func (p *session) Ping(_ Empty, _ *Empty) error { return nil }

// Classify returns the outcome of an attempt. Only a response signed by its upstream counts as a part.
func Classify(response *upstreamconn.Response, err error) Outcome {
	var failed *upstreamconn.RequestError
	var declined *DeclinedError
	var noRoom *ratelimit.NoRoomError
	var linkLost *LinkLostError
	var keyRefused *KeyError
	switch {
	case errors.As(err, &keyRefused) && keyRefused.Removed:
		return KeyRemoved
	case errors.As(err, &keyRefused):
		return Unconfirmed
	case errors.As(err, &linkLost) && !linkLost.Sent:
		return Partitioned
	case errors.As(err, &declined):
		return Declined
	case errors.As(err, &noRoom):
		return Limited
	case fault.Is(err, fault.Moved), fault.Is(err, fault.Quarantined):
		return Unsent
	case errors.As(err, &failed) && failed.Unreachable:
		return Unreachable
	case errors.As(err, &failed) && !failed.Sent:
		return Unsent
	case err != nil:
		return Failed
	case response.Misdirected:
		return Misdirected
	case response.NotRun:
		return Refused
	case response.Status >= 200 && response.Status < 300 && response.Stamp != "":
		return Answered
	}
	return Failed
}

// rateLimitOf returns the rate limit that a response names, and when an upstream at its limit may have room.
func rateLimitOf(response *upstreamconn.Response, err error) (perSecond *float64, retryAfter time.Duration) {
	var noRoom *ratelimit.NoRoomError
	if errors.As(err, &noRoom) {
		return nil, noRoom.RetryAfter
	}
	if err != nil || response.Misdirected || response.RateLimit.Err != nil {
		return nil, 0
	}
	return &response.RateLimit.PerSecond, 0
}

func failureReason(response *upstreamconn.Response, err error) string {
	if err != nil {
		return err.Error()
	}
	return "status " + strconv.Itoa(response.Status)
}
