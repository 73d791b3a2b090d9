package router

import (
	"context"
	"math"
	"net/http"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/ratelimit"
	"github.com/wisteriamux/wisteriamux/internal/relay"
	"github.com/wisteriamux/wisteriamux/internal/route"
	"github.com/wisteriamux/wisteriamux/internal/upstreamconn"
)

// forwardHedgeShare is the fraction of the latency objective after which an idempotent request is hedged.
const forwardHedgeShare = 0.55

// attemptResult is the response or the error of one attempt.
type attemptResult struct {
	upstream *upstream
	response *upstreamconn.Response
	err      error
}

// forwardCall is the state of one forwarded request. It is used by a single goroutine.
type forwardCall struct {
	router   *Router
	route    *route.Route
	service  string
	request  *Request
	deadline time.Time
	results  chan attemptResult
	// tried holds the upstreams that are not chosen again, and attempts is the number of attempts that may have been sent:
	// those that ended because of a rate limit or of lost links do not count.
	tried    []*upstream
	attempts int
	pending  int
	// suspected is set if upstreams have ended under earlier tries of the request, and closed counts the upstreams that closed
	// the connection of an attempt.
	suspected bool
	closed    int
	// mayHaveRun is set once an upstream may have run the request.
	mayHaveRun   bool
	lastResponse *upstreamconn.Response
	// keyRefused is set once nothing more may be sent because of the key of the request.
	keyRefused *relay.KeyError
}

// Forward sends the request to one upstream of the route and returns its response. An idempotent request is retried
// after a failure and hedged when the response is slow. Any other request is retried only if it was never sent or if
// the upstream stated that it did not run it. An error with code NotRun means that no upstream ran the request.
func (r *Router) Forward(ctx context.Context, rt *route.Route, request *Request) (*upstreamconn.Response, error) {
	request.fingerprints = fingerprintsOf(&request.Request)
	suspected, err := r.checkSuspect(request.fingerprints)
	if err != nil {
		return nil, err
	}
	service := r.pickService(rt)
	if err := r.admitForward(rt, service, request); err != nil {
		return nil, err
	}
	if err := r.takeQuota(ctx, rt, request); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	_, deadline, _ := r.deadlines(rt, request)
	f := &forwardCall{
		router: r, route: rt, service: service, request: request, deadline: deadline,
		results: make(chan attemptResult, 1), suspected: suspected.yes,
	}
	f.send(ctx, firstAttempt)
	response, err := f.await(ctx)
	if err != nil {
		r.refundQuota(request)
	}
	if err == nil && provesRun(response) {
		r.recordAnswered(request, response.Status, []string{f.service}, nil)
	}
	return response, err
}

// pickService returns the service for a request. Weighted services are chosen by smooth weighted round-robin, so that
// even short runs of requests are split according to the weights.
func (r *Router) pickService(rt *route.Route) string {
	if len(rt.Split) == 0 {
		return rt.Service
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return nextService(rt, r.stats(rt).splitCredit)
}

// nextService returns the service for the next request of a route with weighted services, and updates their credit.
func nextService(rt *route.Route, credit map[string]float64) string {
	scale := weightScale(rt.Split)
	total := 0.0
	best := ""
	for _, share := range rt.Split {
		weight := share.Weight / scale
		credit[share.Service] += weight
		total += weight
		if share.Weight > 0 && (best == "" || credit[share.Service] > credit[best]) {
			best = share.Service
		}
	}
	credit[best] -= total
	return best
}

// weightScale returns the number by which the weights must be divided to add up to a finite number.
func weightScale(split []route.WeightedService) float64 {
	total, heaviest := 0.0, 0.0
	for _, share := range split {
		total += share.Weight
		heaviest = max(heaviest, share.Weight)
	}
	if math.IsInf(total, 1) {
		return heaviest
	}
	return 1
}

func (f *forwardCall) send(ctx context.Context, kind attemptKind) {
	if ctx.Err() != nil || f.attempts >= max(1, f.route.Attempts) || !f.mayTryAgain() || !f.keyAllowsSend() {
		return
	}
	a := f.router.chooseUpstream(f.route, f.service, f.tried, kind)
	if a == nil {
		return
	}
	f.request.quota.begin()
	f.tried = append(f.tried, a.upstream)
	f.attempts++
	f.pending++
	go func() {
		response, err := f.router.runForward(ctx, f.route, a, f.request)
		f.router.recordForward(f.route, f.service, directResult(response, err, ctx.Err() != nil), time.Since(a.sent))
		select {
		case f.results <- attemptResult{a.upstream, response, err}:
		case <-ctx.Done():
			// The request has ended.
		}
	}()
}

// maxClosed is the number of upstreams that may close the connection of a request before it is given up. A request under which
// upstreams have ended before is given up after the first.
const maxClosed = 2

// mayTryAgain reports whether another attempt may be sent: none beside or after one that may end its upstream.
func (f *forwardCall) mayTryAgain() bool {
	if f.suspected {
		return f.pending == 0 && f.closed == 0
	}
	return f.closed < maxClosed && (f.closed == 0 || f.pending == 0)
}

func (f *forwardCall) await(ctx context.Context) (*upstreamconn.Response, error) {
	timer := time.NewTimer(f.hedgeDelay())
	defer timer.Stop()
	deadlineTimer := time.NewTimer(time.Until(f.deadline))
	defer deadlineTimer.Stop()
	for f.pending > 0 {
		select {
		case done := <-f.results:
			f.pending--
			if response := f.handleResult(ctx, done); response != nil {
				return response, nil
			}
		case <-timer.C:
			f.send(ctx, extraAttempt)
		case <-deadlineTimer.C:
			return nil, fault.New(fault.Incomplete, "router.forward", "no response from %d upstreams before the deadline", len(f.tried))
		case <-ctx.Done():
			return nil, fault.New(fault.Cancelled, "router.forward", "caller cancelled the request: %w", ctx.Err())
		}
	}
	return f.outcome()
}

func (f *forwardCall) hedgeDelay() time.Duration {
	if delay, hedged := forwardHedgeDelay(f.route); hedged {
		return delay
	}
	return math.MaxInt64
}

// forwardHedgeDelay returns the delay before a forwarded request of the route is hedged, or false if it is not.
func forwardHedgeDelay(rt *route.Route) (delay time.Duration, hedged bool) {
	return time.Duration(forwardHedgeShare * float64(rt.Objective)), rt.Idempotent && rt.Objective > 0
}

// handleResult returns the response if it is final, and otherwise sends another attempt if that is allowed.
func (f *forwardCall) handleResult(ctx context.Context, done attemptResult) *upstreamconn.Response {
	notRun := !mayHaveArrived(done.response, done.err) || (done.response != nil && done.response.NotRun)
	f.mayHaveRun = f.mayHaveRun || !notRun
	if closedByUpstream(done.err) {
		f.closed++
	}
	if refused := keyRefusal(done.err); refused != nil {
		f.keyRefused = refused
	}
	switch {
	case isNoRoom(done.err), isMisdirected(done.response):
		f.attempts--
	case isUnsentForLinks(done.err):
		f.attempts--
		f.tried = without(f.tried, done.upstream)
	}
	if done.response != nil && !done.response.NotRun && !isForeign(done.response) {
		if done.response.Status < 500 {
			return done.response
		}
		f.lastResponse = done.response
	}
	if f.pending == 0 && (f.route.Idempotent || !f.mayHaveRun) {
		f.send(ctx, retryKind(done.response, done.err))
	}
	return nil
}

// isForeign reports whether a response is not one of an upstream, which signs what it answers: another server listens on the
// address.
func isForeign(response *upstreamconn.Response) bool {
	return response.Stamp == "" && response.Status < 500
}

// provesRun reports whether an upstream has run the request to its end. Failures do not show that: an upstream may refuse a request before
// it begins to run it, and another program may answer in its place.
func provesRun(response *upstreamconn.Response) bool {
	return response.Stamp != "" && response.Status >= http.StatusOK && response.Status < http.StatusMultipleChoices
}

// forwardNotRun returns the error for a forwarded request that no upstream ran. The caller must hold mu.
func (r *Router) forwardNotRun(service string, tried int, now time.Time) error {
	if wait := r.waitForRoom(service, now); wait > 0 {
		return fault.New(fault.RateLimited, "router.forward", "no upstream of %q has room: %w", service, noRoomError(wait))
	}
	return fault.New(fault.NotRun, "router.forward", "none of %d upstreams accepted the request", tried)
}

func (f *forwardCall) outcome() (*upstreamconn.Response, error) {
	switch {
	case f.lastResponse != nil:
		return f.lastResponse, nil
	case !f.mayHaveRun && f.keyRefused != nil:
		return nil, f.keyRefused
	case !f.mayHaveRun:
		f.router.mu.Lock()
		defer f.router.mu.Unlock()
		return nil, f.router.forwardNotRun(f.service, len(f.tried), time.Now())
	}
	return nil, fault.New(fault.UpstreamFailed, "router.forward", "request failed at all %d upstreams tried", len(f.tried))
}

// forwardGroups is the number of groups into which upstreams are divided to spread forwarded requests over relays.
const forwardGroups = 8

// runForward executes an attempt of a forwarded request: on this VM's own link, or by another VM if this one has lost its
// links to upstreams.
func (r *Router) runForward(ctx context.Context, rt *route.Route, a *attempt, request *Request) (*upstreamconn.Response, error) {
	if r.peers == nil || !r.avoidsOwnLink(a.upstream) {
		return r.run(ctx, rt, a, request)
	}
	group := forwardGroup(a.upstream)
	link := r.peers.PickOther(a.upstream.instance.FailureDomain, group, nil, a.sent)
	if link == nil {
		return r.run(ctx, rt, a, request)
	}
	response, reply, err := link.Forward(ctx, relay.ForwardArgs{
		Attempt: relay.Attempt{Instance: a.upstream.instance.ID, Rank: request.Team.RankOn(rt)}, Request: request.ID, Method: request.Method, Target: request.Target,
		Host: request.Host, Header: request.Header, Body: request.Body, Caller: request.Caller, Remaining: remaining(rt, request, a), Expected: a.expected,
		MaxBodyBytes: r.config.MaxResponseBytes, Key: request.claim(),
	})
	if response != nil {
		if memoryErr := r.memory.Keep(request.Hold, response.Body); memoryErr != nil {
			response, err = nil, &upstreamconn.RequestError{Err: memoryErr, Sent: true}
		}
	}
	r.mu.Lock()
	r.counts.Relayed++
	r.mu.Unlock()
	if reply.RateLimit != nil {
		r.observeLimit(a.upstream, ratelimit.Statement{PerSecond: *reply.RateLimit})
	}
	if response != nil && !response.Misdirected {
		r.observeNotice(a.upstream, response.Notice)
	}
	if isNoRoom(err) {
		r.recordFull(a.upstream, reply.RetryAfter)
	}
	r.recordEnd(rt, request, a, attemptEnd{
		result: directResult(response, err, ctx.Err() != nil), took: time.Since(a.sent), relay: link.PeerID(), cause: err,
		noRoom: isNoRoom(err) || keyRefusal(err) != nil,
	})
	r.adoptPace(a, reply.Reduction, reply.Took)
	return response, err
}
