package router

import (
	"time"

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
