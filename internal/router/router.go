package router

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/budget"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/overload"
	"github.com/wisteriamux/wisteriamux/internal/replica"
	"github.com/wisteriamux/wisteriamux/internal/route"
	"github.com/wisteriamux/wisteriamux/internal/upstreamconn"
)

const (
	// hedgeQuantile is the share of sub-requests that answer before a hedge. The budget allows about a quarter of extra
	// requests; some of it is for retries.
	hedgeQuantile = 0.9
	minHedgeDelay = 4 * time.Millisecond
	// maxHedgeShare is the part of the objective after which a hedge comes too late to help.
	maxHedgeShare = 0.4
	// defaultExpected is the answer time of a route without observations.
	defaultExpected = 20 * time.Millisecond
	// expectedShare is the weight of one observation in the decaying mean of a route's answer time.
	expectedShare = 0.05
	// silentAfter is the age at which an abandoned request shows that its connection may be silent for good. Upstreams
	// pause for up to 200 ms.
	silentAfter = 350 * time.Millisecond
	// floorShare is the part of the retry floor that the VMs together may save up, and also the part that they get anew in
	// each window: in any window at most both are spent, and the rest is a reserve.
	floorShare = 0.4
)

// Config holds the settings of a Router.
type Config struct {
	// ID names this process towards the control group.
	ID            string
	FailureDomain string
	Seeds         []string
	// ExtraShare is the part of a service's requests that may be sent in addition, and ExtraFloor the number of extra
	// requests that all VMs together may send besides, in one budget window.
	ExtraShare float64
	ExtraFloor float64
	// ExtraWindow is the budget window.
	ExtraWindow time.Duration
	// AnswerMargin is taken off the objective, besides the round trip to the caller, for putting the answer together.
	AnswerMargin time.Duration
}

// Router serves requests. It is safe for concurrent use.
type Router struct {
	config  Config
	control Control
	log     *slog.Logger
	builder *viewBuilder
	view    atomic.Pointer[View]
	started time.Time

	seeds atomic.Pointer[[]string]

	// mu guards the fields below.
	mu      sync.Mutex
	tracker *replica.Tracker
	budgets map[string]*serviceBudget
	routes  map[string]*routeStats
	// overload is kept for each set of shards, which is named by its first shard.
	overload map[string]*overload.Controller
	// roundTrip is that to callers.
	roundTrip roundTrip
	counts    Counts
}

// Counts are totals since the start: searches refused under overload, attempts at upstreams, those beyond the first of a request, and those that were not
// made for lack of budget.
type Counts struct {
	Refused, Attempts, Extra, NoBudget int64
}

// routeStats is what is observed of one route.
type routeStats struct {
	expected float64
	slow     replica.Quantile
	usual    usualLimit
	// split holds the running totals of weighted services.
	split map[string]float64
}

// New returns a router without a view. Follow and Sweep must run for it to serve.
func New(config Config, control Control, codec upstreamconn.Codec, log *slog.Logger) *Router {
	r := &Router{
		config: config, control: control, log: log,
		builder: &viewBuilder{domain: config.FailureDomain, codec: codec, upstreams: map[string]*upstream{}},
		tracker: replica.New(rand.Uint64()), budgets: map[string]*serviceBudget{}, started: time.Now(), routes: map[string]*routeStats{},
		overload: map[string]*overload.Controller{},
	}
	r.view.Store(&View{})
	r.seeds.Store(&config.Seeds)
	return r
}

// View returns the current view.
func (r *Router) View() *View { return r.view.Load() }

// SetSeeds replaces the addresses at which the control group is looked for when its known members are gone.
func (r *Router) SetSeeds(seeds []string) { r.seeds.Store(&seeds) }

// Counts returns the totals.
func (r *Router) Counts() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts
}

// Request is a caller's request.
type Request struct {
	upstreamconn.Request
	// Received is when the request was complete, and Limit the time that the caller waits from then on.
	Received time.Time
	Limit    time.Duration
}

// stats requires mu.
func (r *Router) stats(rt *route.Route) *routeStats {
	s, ok := r.routes[rt.Name]
	if !ok {
		s = &routeStats{expected: float64(defaultExpected), slow: replica.Quantile{Share: hedgeQuantile}, split: map[string]float64{}}
		r.routes[rt.Name] = s
	}
	return s
}

// serviceBudget bounds the extra attempts at one service.
type serviceBudget struct {
	bucket *budget.Bucket
	// filled is until when the tokens due to time have been added.
	filled time.Time
}

// burst is this VM's part of the extra requests that all VMs together may save up beyond the share.
func (r *Router) burst(watchers int) float64 {
	return max(1, floorShare*r.config.ExtraFloor/float64(max(1, watchers)))
}

// shareBudgets bounds the saved tokens after the number of VMs has changed.
func (r *Router) shareBudgets(watchers int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, b := range r.budgets {
		b.bucket.Limit(r.burst(watchers))
	}
}

// budget returns the budget of the service with the tokens that are due. A process begins without tokens: the window
// still holds what its predecessor spent. It requires mu.
func (r *Router) budget(service string, now time.Time) *budget.Bucket {
	burst := r.burst(r.View().watchers)
	b, ok := r.budgets[service]
	if !ok {
		b = &serviceBudget{bucket: budget.NewBucket(r.config.ExtraShare, burst), filled: r.started}
		b.bucket.Refill(-burst)
		r.budgets[service] = b
	}
	if r.config.ExtraWindow > 0 {
		b.bucket.Refill(burst * float64(now.Sub(b.filled)) / float64(r.config.ExtraWindow))
	}
	b.filled = now
	return b.bucket
}

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
		c.Share(request.Received))
}

// late records that a search missed its goal.
func (r *Router) late(rt *route.Route, now time.Time, had time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.controller(rt).Late(now, time.Duration(r.stats(rt).expected), had)
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
		r.counts.NoBudget++
		return nil
	case kind == extra:
		r.counts.Extra++
	}
	r.counts.Attempts++
	chosen := view.byService[service][at]
	expected := time.Duration(r.stats(rt).expected)
	return &attempt{upstream: chosen, sent: now, ticket: r.tracker.Sent(now, chosen.instance.ID, expected)}
}

// run executes an attempt and records its result. The caller ends it with the context.
func (r *Router) run(ctx context.Context, rt *route.Route, a *attempt, request *Request) (*upstreamconn.Answer, error) {
	sub := request.Request
	sub.Instance = a.upstream.instance.ID
	sub.Remaining = request.Received.Add(min(request.Limit, rt.Timeout)).Sub(a.sent)
	answer, err := a.upstream.pool.Do(ctx, &sub)
	r.record(rt, request, a, answer, err, ctx.Err() != nil)
	return answer, err
}

func (r *Router) record(rt *route.Route, request *Request, a *attempt, answer *upstreamconn.Answer, err error, abandoned bool) {
	now := time.Now()
	result := resultOf(answer, err, abandoned)
	took := now.Sub(a.sent)
	r.mu.Lock()
	r.tracker.Done(now, a.upstream.instance.ID, a.ticket, result)
	s := r.stats(rt)
	switch result {
	case replica.Answered:
		s.expected += (float64(took) - s.expected) * expectedShare
		s.slow.Add(took)
	case replica.Abandoned:
		if took > s.slow.Value() {
			s.slow.Add(took)
		}
	}
	r.mu.Unlock()
	if result == replica.Abandoned && took > silentAfter {
		a.upstream.pool.Flush()
	}
	if result != replica.Answered && result != replica.Abandoned {
		r.log.Info("attempt failed", "request", request.ID, "route", rt.Name, "service", a.upstream.instance.Service,
			"upstream", a.upstream.instance.ID, "upstream_since", a.upstream.instance.Since, "result", result.String(),
			"took_ms", took.Milliseconds(), "error", err)
	}
}

func resultOf(answer *upstreamconn.Answer, err error, abandoned bool) replica.Result {
	var failed *upstreamconn.Failure
	switch {
	case err != nil && abandoned:
		return replica.Abandoned
	case errors.As(err, &failed) && failed.Unreachable:
		return replica.Unreachable
	case err != nil:
		return replica.Failed
	case answer.Misdirected:
		return replica.Misdirected
	case answer.NotRun:
		return replica.Refused
	case answer.Status >= 500:
		return replica.Failed
	}
	return replica.Answered
}

// countAs tells how an attempt counts that follows one with the result.
func countAs(answer *upstreamconn.Answer, err error) try {
	if arrived(answer, err) {
		return extra
	}
	return again
}

// arrived reports whether an upstream may have seen the attempt, which then counts against the budget.
func arrived(answer *upstreamconn.Answer, err error) bool {
	var failed *upstreamconn.Failure
	return answer != nil || !errors.As(err, &failed) || failed.Sent
}
