package router

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/gather"
	"github.com/wisteriamux/wisteriamux/internal/relay"
	"github.com/wisteriamux/wisteriamux/internal/replica"
	"github.com/wisteriamux/wisteriamux/internal/route"
	"github.com/wisteriamux/wisteriamux/internal/upstreamconn"
)

const (
	// expectedWeight is the weight of one sample in the exponentially weighted moving average of a route's response time.
	expectedWeight = 0.05
	// staleConnectionAfter is the age from which an abandoned request indicates a dead connection rather than a slow
	// upstream. Upstreams pause for up to 200 ms.
	staleConnectionAfter = 350 * time.Millisecond
)

// attempt is a request sent to one upstream.
type attempt struct {
	upstream *upstream
	ticket   uint64
	sent     time.Time
	// expected is the usual response time of the route.
	expected time.Duration
	// reduction is by how much this VM reduces the share of the upstream.
	reduction float64
}

// attemptKind determines how an attempt is charged to the shared retry budget.
type attemptKind int

const (
	// firstAttempt is the first attempt of a request, or at a shard of a search. It adds a fraction of a token to the
	// budget.
	firstAttempt attemptKind = iota
	// extraAttempt may reach an upstream in addition to an earlier attempt, and costs a token.
	extraAttempt
	// replacementAttempt replaces an attempt that reached no upstream, and is free.
	replacementAttempt
)

// chooseUpstream selects an upstream of the service that has not been tried yet, is not at its rate limit and still has its
// address, and records the attempt. It returns nil if there is none or if the budget has no token for an extra attempt.
//
// The choice is made from the newest view: upstreams may have begun to drain, or have been replaced, since the request came.
func (r *Router) chooseUpstream(rt *route.Route, service string, tried []*upstream, kind attemptKind) *attempt {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	view := r.View()
	index := r.selectUpstream(now, view, service, tried, r.tracker, rand.Float64)
	if index < 0 {
		return nil
	}
	bucket := r.budget(service, now)
	switch {
	case kind == firstAttempt:
		bucket.Deposit()
	case kind == extraAttempt && !bucket.TakeShare(rand.Float64()):
		r.counts.Denied++
		return nil
	case kind == extraAttempt:
		r.counts.Extra++
	}
	r.counts.Attempts++
	chosen := view.byService[service][index]
	expected := time.Duration(r.stats(rt).expected)
	return &attempt{upstream: chosen, sent: now, expected: expected, reduction: r.reduction(chosen.instance.ID), ticket: r.tracker.Sent(now, chosen.instance.ID, expected)}
}

func wasTried(tried []*upstream, id string) bool {
	return slices.ContainsFunc(tried, func(u *upstream) bool { return u.instance.ID == id })
}

// unavailable reports whether no request may be sent to the upstream: because another process has taken its address, it is at
// its rate limit, it wants no requests for a while, or it leaves. As a last resort one that leaves is accepted for a moment.
// The caller must hold mu.
func (r *Router) unavailable(u *upstream, now time.Time, lastResort bool) bool {
	return r.unavailableFor(u, now, lastResort) != ""
}

// unavailableFor returns why no request may be sent to the upstream, or "". The caller must hold mu.
func (r *Router) unavailableFor(u *upstream, now time.Time, lastResort bool) string {
	switch {
	case len(r.taken) > 0 && r.taken[u.location()]:
		return "address taken"
	case r.roomAt(u).After(now):
		return "rate limit"
	case r.notices.Empty():
		return ""
	case r.notices.PausedUntil(u.process()).After(now):
		return "paused"
	case r.notices.Leaving(now, u.process(), lastResort):
		return "leaving"
	}
	return ""
}

// attemptEnd describes how an attempt ended.
type attemptEnd struct {
	result replica.Result
	// took is the upstream's response time. For a relayed attempt it was measured by the relay, which holds parts back.
	took time.Duration
	// relay is the ID of the entry VM that executed the attempt, empty if it was this one.
	relay string
	cause error
	// noRoom is set if the upstream was at its rate limit, or the request was not sent because of its key. Such ends are counted, not logged: there may be one for each
	// request.
	noRoom bool
	// unsent is set if a relay reports that no upstream received the request.
	unsent bool
}

// run executes an attempt and records its result. Cancelling the context aborts the attempt.
func (r *Router) run(ctx context.Context, rt *route.Route, a *attempt, request *Request) (*upstreamconn.Response, error) {
	upstreamRequest := request.Request
	upstreamRequest.Instance = a.upstream.instance.ID
	upstreamRequest.Remaining = remaining(rt, request, a)
	upstreamRequest.MaxBodyBytes = r.config.MaxResponseBytes
	upstreamRequest.Check = r.sendCheck(request)
	if len(rt.Shards) > 0 {
		upstreamRequest.MaxBodyBytes = gather.MaxPartBytes(rt.Top)
	}
	response, err := r.send(ctx, a.upstream, request.Team.RankOn(rt), a.expected, &upstreamRequest)
	took := time.Since(a.sent)
	r.recordEnd(rt, request, a, attemptEnd{result: directResult(response, err, ctx.Err() != nil), took: took, cause: err, noRoom: isNoRoom(err) || keyRefusal(err) != nil})
	return response, err
}

// remaining returns the time that the upstream has left to respond.
func remaining(rt *route.Route, request *Request, a *attempt) time.Duration {
	return request.end(rt).Sub(a.sent)
}

func (r *Router) recordEnd(rt *route.Route, request *Request, a *attempt, e attemptEnd) {
	request.quota.end(e)
	r.mu.Lock()
	s := r.stats(rt)
	switch e.result {
	case replica.Answered:
		s.expected += (float64(e.took) - s.expected) * expectedWeight
		s.slowQuantile.Add(e.took)
	case replica.Abandoned:
		if e.took > s.slowQuantile.Value() {
			s.slowQuantile.Add(e.took)
		}
	}
	r.mu.Unlock()
	r.updateTracker(a, e.result, e.took)
	if e.result != replica.Answered && e.result != replica.Abandoned && !e.noRoom {
		r.log.Info("attempt failed", "request", request.ID, "route", rt.Name, "service", a.upstream.instance.Service,
			"upstream", a.upstream.instance.ID, "upstream_since", a.upstream.instance.Since, "result", e.result.String(),
			"took_ms", e.took.Milliseconds(), "relay", e.relay, "fingerprint", request.Fingerprints().Narrowest(), "error", e.cause)
	}
}

// updateTracker feeds the result of an attempt into upstream selection and logs a change of the upstream's condition.
func (r *Router) updateTracker(a *attempt, result replica.Result, took time.Duration) {
	now := time.Now()
	id := a.upstream.instance.ID
	r.mu.Lock()
	r.tracker.Done(a.sent.Add(took), id, a.ticket, result)
	r.observePace(a, result, took)
	switch result {
	case replica.Misdirected:
		r.taken[a.upstream.location()] = true
	case replica.Answered:
		delete(r.contests, a.upstream.location())
	}
	before, after, changed := r.tracker.UpdateCondition(now, id)
	r.mu.Unlock()
	if changed {
		r.log.Info("upstream condition changed", "upstream", id, "service", a.upstream.instance.Service,
			"from", before, "to", after, "last_result", result.String(), "last_took_ms", took.Milliseconds())
	}
	if result == replica.Abandoned && took > staleConnectionAfter {
		a.upstream.pool.CloseIdleConnections()
	}
}

func directResult(response *upstreamconn.Response, err error, abandoned bool) replica.Result {
	var requestErr *upstreamconn.RequestError
	var linkLost *relay.LinkLostError
	switch {
	case isNoRoom(err), keyRefusal(err) != nil:
		return replica.Declined
	case errors.As(err, &linkLost):
		return replica.Unknown
	case err != nil && abandoned:
		return replica.Abandoned
	case isWithheld(err):
		return replica.Unknown
	case errors.As(err, &requestErr) && requestErr.Unreachable:
		return replica.Unreachable
	case err != nil:
		return replica.Failed
	case response.Misdirected:
		return replica.Misdirected
	case response.NotRun:
		return replica.Refused
	case response.Status >= 500:
		return replica.Failed
	}
	return replica.Answered
}

// isMisdirected reports whether another process than the upstream has refused the attempt. There is one such attempt for each entry VM and
// upstream, after which the address counts as taken.
func isMisdirected(response *upstreamconn.Response) bool {
	return response != nil && response.Misdirected
}

// retryKind returns how the retry of an attempt with this result is charged to the budget.
func retryKind(response *upstreamconn.Response, err error) attemptKind {
	if mayHaveArrived(response, err) {
		return extraAttempt
	}
	return replacementAttempt
}

// mayHaveArrived reports whether an upstream of the service may have received the attempt, in which case a retry costs a token.
func mayHaveArrived(response *upstreamconn.Response, err error) bool {
	var requestErr *upstreamconn.RequestError
	if isNoRoom(err) || isUnsentForLinks(err) || keyRefusal(err) != nil || isMisdirected(response) {
		return false
	}
	return response != nil || !errors.As(err, &requestErr) || requestErr.Sent
}
