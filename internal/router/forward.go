package router

import (
	"context"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/route"
	"github.com/wisteriamux/wisteriamux/internal/upstreamconn"
)

// forwardHedgeShare is the part of the objective after which an idempotent request is sent a second time.
const forwardHedgeShare = 0.55

// result is the end of one attempt to forward.
type result struct {
	response *upstreamconn.Response
	err      error
}

// forwarding is one forwarded request in progress. One goroutine runs it.
type forwarding struct {
	router  *Router
	view    *View
	route   *route.Route
	service string
	request *Request
	end     time.Time
	results chan result
	asked   []*upstream
	pending int
	// ran is set when an upstream may have run the request.
	ran  bool
	last *upstreamconn.Response
}

// Forward sends the request to one upstream of the route and returns its answer. An idempotent request is sent again
// after a failure or a long silence; any other only after an upstream stated that it did not run it, or if it was never
// sent. A failure with code NotRun means that it ran nowhere.
func (r *Router) Forward(ctx context.Context, view *View, rt *route.Route, request *Request) (*upstreamconn.Response, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	_, end, _ := r.times(rt, request)
	f := &forwarding{
		router: r, view: view, route: rt, service: r.pick(rt), request: request, end: end,
		results: make(chan result, max(1, rt.Attempts)),
	}
	f.send(ctx, first)
	return f.await(ctx)
}

// pick returns the service of a request. Among weighted services the one that is furthest behind its share is next, so
// that even short spans of requests keep the shares.
func (r *Router) pick(rt *route.Route) string {
	if len(rt.Split) == 0 {
		return rt.Service
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.stats(rt)
	total := 0.0
	best := ""
	for _, share := range rt.Split {
		s.split[share.Service] += share.Weight
		total += share.Weight
		if share.Weight > 0 && (best == "" || s.split[share.Service] > s.split[best]) {
			best = share.Service
		}
	}
	s.split[best] -= total
	return best
}

func (f *forwarding) send(ctx context.Context, kind try) {
	if len(f.asked) >= max(1, f.route.Attempts) {
		return
	}
	a := f.router.choose(f.view, f.route, f.service, f.asked, kind)
	if a == nil {
		return
	}
	f.asked = append(f.asked, a.upstream)
	f.pending++
	go func() {
		response, err := f.router.run(ctx, f.route, a, f.request)
		f.results <- result{response, err}
	}()
}

func (f *forwarding) await(ctx context.Context) (*upstreamconn.Response, error) {
	timer := time.NewTimer(f.hedgeDelay())
	defer timer.Stop()
	ending := time.NewTimer(time.Until(f.end))
	defer ending.Stop()
	for f.pending > 0 {
		select {
		case done := <-f.results:
			f.pending--
			if response := f.take(ctx, done); response != nil {
				return response, nil
			}
		case <-timer.C:
			f.send(ctx, extra)
		case <-ending.C:
			return nil, fault.New(fault.Incomplete, "router.forward", "no answer in time from %d upstreams", len(f.asked))
		case <-ctx.Done():
			return nil, fault.New(fault.Cancelled, "router.forward", "caller left: %w", ctx.Err())
		}
	}
	return f.outcome()
}

func (f *forwarding) hedgeDelay() time.Duration {
	if !f.route.Idempotent || f.route.Objective <= 0 {
		return time.Until(f.end) + time.Hour
	}
	return time.Duration(forwardHedgeShare * float64(f.route.Objective))
}

// take returns the answer if it is final, and otherwise sends another attempt if that is allowed.
func (f *forwarding) take(ctx context.Context, done result) *upstreamconn.Response {
	notRun := !arrived(done.response, done.err) || (done.response != nil && done.response.NotRun)
	f.ran = f.ran || !notRun
	if done.response != nil && !done.response.NotRun {
		if done.response.Status < 500 {
			return done.response
		}
		f.last = done.response
	}
	if f.pending == 0 && (f.route.Idempotent || !f.ran) {
		f.send(ctx, countAs(done.response, done.err))
	}
	return nil
}

func (f *forwarding) outcome() (*upstreamconn.Response, error) {
	switch {
	case f.last != nil:
		return f.last, nil
	case !f.ran:
		return nil, fault.New(fault.NotRun, "router.forward", "none of %d upstreams took the request", len(f.asked))
	}
	return nil, fault.New(fault.UpstreamFailed, "router.forward", "%d upstreams failed", len(f.asked))
}
