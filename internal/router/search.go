package router

import (
	"context"
	"math"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/gather"
	"github.com/wisteriamux/wisteriamux/internal/route"
	"github.com/wisteriamux/wisteriamux/internal/upstreamconn"
)

// Gathered is the answer to a search.
type Gathered struct {
	// Stamps are the upstreams' signatures of the parts that are included.
	Stamps  []string
	Missing int
	Records []byte
	// Absent names the shards without a part.
	Absent []string
	Hedges int
}

// part is the end of one attempt at a shard.
type part struct {
	shard  int
	answer *upstreamconn.Answer
	err    error
}

// search is one search in progress. One goroutine runs it.
type search struct {
	router  *Router
	view    *View
	route   *route.Route
	request *Request
	goal    time.Time
	end     time.Time
	state   *gather.Search
	results chan part
	asked   [][]*upstream
	cancels [][]context.CancelFunc
	answers []*upstreamconn.Answer
	hedges  int
	// inFlight counts the attempts that have not ended. Any of them may be running.
	inFlight int
	// ran is set when an upstream may have run a part.
	ran bool
}

// Search asks one upstream of each shard and answers with the greatest records. A failure with code NotRun means that
// no upstream ran any part.
func (r *Router) Search(ctx context.Context, view *View, rt *route.Route, request *Request) (*Gathered, error) {
	if err := r.admit(rt, request); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	goal, end, hedge := r.times(rt, request)
	shards := len(rt.Shards)
	attempts := max(1, rt.Attempts)
	s := &search{
		router: r, view: view, route: rt, request: request, goal: goal, end: end,
		state: gather.New(gather.Plan{
			Shards: shards, Least: leastShards(shards, rt.Coverage), Attempts: attempts,
			Goal: goal, End: end, HedgeAfter: hedge,
		}),
		results: make(chan part, shards*attempts),
		asked:   make([][]*upstream, shards),
		cancels: make([][]context.CancelFunc, shards),
		answers: make([]*upstreamconn.Answer, shards),
	}
	for shard := range rt.Shards {
		s.send(ctx, shard, first)
	}
	return s.collect(ctx)
}

// leastShards is the smallest number of shards whose share is at least the coverage. The tolerance keeps a product such
// as 0.9 × 20 from being rounded up by its representation.
func leastShards(shards int, coverage float64) int {
	const tolerance = 1e-9
	return max(1, int(math.Ceil(coverage*float64(shards)-tolerance)))
}

// lateTolerance is how long after its goal a search counts as late: those that are answered at the goal are in time.
const lateTolerance = 2 * time.Millisecond

func (s *search) send(ctx context.Context, shard int, kind try) {
	a := s.router.choose(s.view, s.route, s.route.Shards[shard], s.asked[shard], kind)
	if a == nil {
		s.state.Unsendable(shard)
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	s.asked[shard] = append(s.asked[shard], a.upstream)
	s.cancels[shard] = append(s.cancels[shard], cancel)
	s.state.Sent(a.sent, shard)
	s.inFlight++
	go func() {
		answer, err := s.router.run(ctx, s.route, a, s.request)
		s.results <- part{shard: shard, answer: answer, err: err}
	}()
}

func (s *search) collect(ctx context.Context) (*Gathered, error) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	late := false
	for {
		now := time.Now()
		if !late && now.After(s.goal.Add(lateTolerance)) {
			late = true
			s.router.late(s.route, now, s.goal.Sub(s.request.Received))
		}
		for _, shard := range s.state.Due(now) {
			s.hedge(ctx, shard)
		}
		switch s.state.Judge(now) {
		case gather.Finish:
			return s.finish(), nil
		case gather.GiveUp:
			return nil, s.failure(now)
		}
		timer.Reset(time.Until(s.state.Wake(now)))
		select {
		case p := <-s.results:
			s.take(ctx, p)
		case <-timer.C:
		case <-ctx.Done():
			return nil, fault.New(fault.Cancelled, "router.search", "caller left: %w", ctx.Err())
		}
	}
}

// hedge sends a second attempt. Without a token or another upstream the first one is waited for.
func (s *search) hedge(ctx context.Context, shard int) {
	before := len(s.asked[shard])
	s.send(ctx, shard, extra)
	if len(s.asked[shard]) > before {
		s.hedges++
	}
}

func (s *search) take(ctx context.Context, p part) {
	s.inFlight--
	outcome := gather.Failure
	if p.err == nil && isPart(p.answer) {
		outcome = gather.Part
	}
	s.ran = s.ran || (arrived(p.answer, p.err) && (p.answer == nil || !p.answer.NotRun))
	if outcome == gather.Part && !s.state.In(p.shard) {
		s.answers[p.shard] = p.answer
		for _, cancel := range s.cancels[p.shard] {
			cancel()
		}
	}
	if s.state.Ended(p.shard, outcome) {
		s.send(ctx, p.shard, countAs(p.answer, p.err))
	}
}

// isPart reports whether an answer is a part: a success that its upstream has signed.
func isPart(answer *upstreamconn.Answer) bool {
	return answer.Status >= 200 && answer.Status < 300 && answer.Stamp != ""
}

func (s *search) finish() *Gathered {
	g := &Gathered{Missing: len(s.answers) - s.state.Count(), Hedges: s.hedges}
	parts := make([][]byte, 0, s.state.Count())
	for shard, answer := range s.answers {
		if answer == nil {
			g.Absent = append(g.Absent, s.route.Shards[shard])
			continue
		}
		g.Stamps = append(g.Stamps, answer.Stamp)
		parts = append(parts, answer.Body)
	}
	g.Records = gather.Merge(parts, s.route.Top)
	return g
}

func (s *search) failure(now time.Time) error {
	in, shards := s.state.Count(), len(s.answers)
	switch {
	case !s.ran && s.inFlight == 0:
		return fault.New(fault.NotRun, "router.search", "no upstream of %d shards took the request", shards)
	case !now.Before(s.end):
		return fault.New(fault.Incomplete, "router.search", "%d of %d shards answered in time", in, shards)
	}
	return fault.New(fault.UpstreamFailed, "router.search", "%d of %d shards answered, the others failed", in, shards)
}
