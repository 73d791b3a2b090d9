package router

import (
	"context"
	"errors"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/replica"
	"github.com/wisteriamux/wisteriamux/internal/route"
	"github.com/wisteriamux/wisteriamux/internal/upstreamconn"
)

const (
	// expectedShare is the weight of one observation in the decaying mean of a route's answer time.
	expectedShare = 0.05
	// silentAfter is the age at which an abandoned request shows that its connection may be silent for good. Upstreams
	// pause for up to 200 ms.
	silentAfter = 350 * time.Millisecond
)

// attempt is one request at one upstream.
type attempt struct {
	upstream *upstream
	ticket   uint64
	sent     time.Time
}

// try tells how an attempt counts against the shared budget.
type try int

const (
	// first is the first attempt of a request, which earns a share of an extra one.
	first try = iota
	// extra may reach an upstream in addition to an earlier attempt, and needs a token.
	extra
	// again replaces an attempt that reached no upstream.
	again
)

// choose returns an upstream of the service that was not asked before, and records the attempt.
func (r *Router) choose(view *View, rt *route.Route, service string, asked []*upstream, kind try) *attempt {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	candidates := view.candidates[service]
	at := r.tracker.Choose(now, candidates, func(id string) bool {
		for _, u := range asked {
			if u.instance.ID == id {
				return true
			}
		}
		return false
	})
	if at < 0 {
		return nil
	}
	bucket := r.budget(service, now)
	switch {
	case kind == first:
		bucket.Earn()
	case kind == extra && !bucket.Take():
		r.counts.Denied++
		return nil
	case kind == extra:
		r.counts.Extra++
	}
	r.counts.Attempts++
	chosen := view.byService[service][at]
	expected := time.Duration(r.stats(rt).expected)
	return &attempt{upstream: chosen, sent: now, ticket: r.tracker.Sent(now, chosen.instance.ID, expected)}
}

// ending is how an attempt ended.
type ending struct {
	result replica.Result
	// took is the time that the upstream took, and seen the time until this VM knew. They differ if a relay reported it.
	took time.Duration
	seen time.Duration
	// relay is the entry VM that carried the attempt out, empty for this one.
	relay string
	cause error
}

// run executes an attempt and records its result. The caller ends it with the context.
func (r *Router) run(ctx context.Context, rt *route.Route, a *attempt, request *Request) (*upstreamconn.Response, error) {
	sub := request.Request
	sub.Instance = a.upstream.instance.ID
	sub.Remaining = remaining(rt, request, a)
	response, err := a.upstream.pool.Do(ctx, &sub)
	took := time.Since(a.sent)
	r.record(rt, request, a, ending{result: resultOf(response, err, ctx.Err() != nil), took: took, seen: took, cause: err})
	return response, err
}

// remaining is the time that an upstream may take.
func remaining(rt *route.Route, request *Request, a *attempt) time.Duration {
	return request.Received.Add(min(request.Limit, rt.Timeout)).Sub(a.sent)
}

func (r *Router) record(rt *route.Route, request *Request, a *attempt, e ending) {
	r.mu.Lock()
	s := r.stats(rt)
	switch e.result {
	case replica.Answered:
		s.expected += (float64(e.seen) - s.expected) * expectedShare
		s.slow.Add(e.seen)
	case replica.Abandoned:
		if e.seen > s.slow.Value() {
			s.slow.Add(e.seen)
		}
	}
	r.mu.Unlock()
	r.observe(a, e.result, e.took)
	if e.result != replica.Answered && e.result != replica.Abandoned {
		r.log.Info("attempt failed", "request", request.ID, "route", rt.Name, "service", a.upstream.instance.Service,
			"upstream", a.upstream.instance.ID, "upstream_since", a.upstream.instance.Since, "result", e.result.String(),
			"took_ms", e.took.Milliseconds(), "relay", e.relay, "error", e.cause)
	}
}

// observe tells the choice of upstreams how an attempt ended.
func (r *Router) observe(a *attempt, result replica.Result, took time.Duration) {
	now := time.Now()
	id := a.upstream.instance.ID
	r.mu.Lock()
	r.tracker.Done(a.sent.Add(took), id, a.ticket, result)
	before, after, changed := r.tracker.Changed(now, id)
	r.mu.Unlock()
	if changed {
		r.log.Info("upstream condition changed", "upstream", id, "service", a.upstream.instance.Service,
			"from", before, "to", after, "last_result", result.String(), "last_took_ms", took.Milliseconds())
	}
	if result == replica.Abandoned && took > silentAfter {
		a.upstream.pool.CloseIdleConnections()
	}
}

func resultOf(response *upstreamconn.Response, err error, abandoned bool) replica.Result {
	var failed *upstreamconn.RequestError
	switch {
	case err != nil && abandoned:
		return replica.Abandoned
	case errors.As(err, &failed) && failed.Unreachable:
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

// countAs tells how an attempt counts that follows one with the result.
func countAs(response *upstreamconn.Response, err error) try {
	if arrived(response, err) {
		return extra
	}
	return again
}

// arrived reports whether an upstream may have seen the attempt, which then counts against the budget.
func arrived(response *upstreamconn.Response, err error) bool {
	var failed *upstreamconn.RequestError
	return response != nil || !errors.As(err, &failed) || failed.Sent
}
