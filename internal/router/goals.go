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
	// maxHedgeShare is the part of the objective after which a hedge comes too late to help.
	maxHedgeShare = 0.4
)

// controller requires mu.
func (r *Router) controller(rt *route.Route) *overload.Controller {
	key := rt.Shards[0]
	c, ok := r.overload[key]
	if !ok {
		c = &overload.Controller{}
		r.overload[key] = c
	}
	return c
}

// admit refuses a part of the searches while queues make searches of the same shards miss their goals.
func (r *Router) admit(rt *route.Route, request *Request) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.controller(rt)
	again := r.stats(rt).usual.waited(request.Limit) > limitTolerance
	if c.Admit(request.Received, again, rand.Float64()) {
		return nil
	}
	r.counts.Refused++
	return fault.New(fault.Overloaded, "router.admit", "queues make searches miss their objective; a share of %.2f is refused",
		c.ShedFraction(request.Received))
}

// late records that a search missed its goal.
func (r *Router) late(rt *route.Route, now time.Time, had time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.controller(rt).RecordLate(now, time.Duration(r.stats(rt).expected), had)
}

// times returns when the answer should leave, when it must, and how long to wait before a hedge.
func (r *Router) times(rt *route.Route, request *Request) (goal, end time.Time, hedge time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.stats(rt)
	limit := min(request.Limit, rt.Timeout)
	s.usual.observe(request.Limit)
	waited := s.usual.waited(request.Limit)
	r.roundTrip.observe(waited)
	margin := r.config.AnswerMargin + r.roundTrip.value()
	end = request.Received.Add(limit - margin)
	goal = end
	if rt.Objective > waited+margin {
		goal = request.Received.Add(rt.Objective - waited - margin)
	}
	if goal.After(end) {
		goal = end
	}
	hedge = max(s.slow.Value(), minHedgeDelay)
	if rt.Objective > 0 {
		hedge = min(hedge, time.Duration(maxHedgeShare*float64(rt.Objective)))
	}
	return goal, end, hedge
}
