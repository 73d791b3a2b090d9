package router

import (
	"math/rand/v2"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/overload"
	"github.com/wisteriamux/wisteriamux/internal/route"
)

const (
	minHedgeDelay = 4 * time.Millisecond
	// maxHedgeShare is the fraction of the latency objective after which a hedge is too late to help. It is also the hedge
	// delay until enough responses have been observed.
	maxHedgeShare = 0.4
	// minHedgeSamples is the number of responses from which the hedge delay is estimated.
	minHedgeSamples = 20
)

// overloadController returns the controller of the route's set of shards. The caller must hold mu.
func (r *Router) overloadController(rt *route.Route) *overload.Controller {
	key := rt.Shards[0]
	c, ok := r.overload[key]
	if !ok {
		c = &overload.Controller{}
		r.overload[key] = c
	}
	return c
}

// admit sheds a share of the searches while queueing makes searches of the same shards miss their latency goals.
func (r *Router) admit(rt *route.Route, request *Request) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.overloadController(rt)
	isRetry := r.stats(rt).limitEstimate.waited(request.Limit) > limitTolerance
	if c.Admit(request.Received, isRetry, rand.Float64()) {
		return nil
	}
	r.counts.Refused++
	return fault.New(fault.Overloaded, "router.admit", "queueing makes searches miss their latency objective, shedding a share of %.2f",
		c.ShedFraction(request.Received))
}

// late records that a search missed its goal, where available is the time from its receipt to the goal.
func (r *Router) late(rt *route.Route, now time.Time, available time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.overloadController(rt).RecordLate(now, time.Duration(r.stats(rt).expected), available)
}

// inTime records a search that met its goal, where available is the time from its receipt to the goal.
func (r *Router) inTime(rt *route.Route, now time.Time, available time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.overloadController(rt).RecordInTime(now, time.Duration(r.stats(rt).expected), available)
}

// deadlines returns the goal, by which the response should be sent to meet the latency objective, the deadline, by which
// it must be sent before the caller gives up, and the delay before a hedge.
func (r *Router) deadlines(rt *route.Route, request *Request) (goal, deadline time.Time, hedge time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.stats(rt)
	s.limitEstimate.observe(request.Limit)
	waited := s.limitEstimate.waited(request.Limit)
	r.roundTrip.observe(waited)
	margin := r.config.AnswerMargin + r.roundTrip.estimate()
	deadline = request.end(rt).Add(-margin)
	goal = deadline
	if rt.Objective > waited+margin {
		goal = request.Received.Add(rt.Objective - waited - margin)
	}
	if goal.After(deadline) {
		goal = deadline
	}
	return goal, deadline, s.hedgeDelay(rt.Objective)
}

// hedgeDelay returns the delay before a hedge. Without enough samples there is no telling a slow response from a usual
// one, and a hedge of every shard would use up the budget, so that it is the latest at which a hedge helps.
func (s *routeStats) hedgeDelay(objective time.Duration) time.Duration {
	latest := time.Duration(maxHedgeShare * float64(objective))
	estimate := max(s.slowQuantile.Value(), minHedgeDelay)
	switch {
	case objective <= 0:
		return estimate
	case s.slowQuantile.Count() < minHedgeSamples:
		return max(latest, minHedgeDelay)
	}
	return min(estimate, latest)
}
