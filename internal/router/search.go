package router

import (
	"context"
	"math"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/gather"
	"github.com/wisteriamux/wisteriamux/internal/relay"
	"github.com/wisteriamux/wisteriamux/internal/route"
	"github.com/wisteriamux/wisteriamux/internal/upstreamconn"
)

// Gathered is the answer to a search.
type SearchResult struct {
	// Stamps are the upstreams' signatures of the parts that are included.
	Stamps       []string
	MissingCount int
	Records      []byte
	// Absent names the shards without a part.
	MissingShards []string
	Hedges        int
}

// part is the end of one attempt at a shard.
type part struct {
	shard    int
	response *upstreamconn.Response
	err      error
}

// shardPart is the part of a shard that is in the answer.
type shardPart struct {
	// stamp is empty until a part is in.
	stamp string
	// records are those of the part, unless they are merged with those of other parts.
	records []byte
	merged  bool
}

// search is one search in progress. One goroutine runs it.
type search struct {
	router  *Router
	view    *View
	route   *route.Route
	request *Request
	goal    time.Time
	end     time.Time
	// hedgeAfter is the delay of a second attempt.
	hedgeAfter time.Duration
	state      *gather.Search
	results    chan part
	reports    chan relayReport
	relayed    []*relayed
	asked      [][]*upstream
	cancels    [][]context.CancelFunc
	// via is the relay of the last attempt at each shard, nil if it was direct.
	via   []*relay.Link
	parts []shardPart
	// merged are the records that stand for the merged parts.
	merged [][]byte
	hedges int
	// inFlight counts the attempts that have not ended. Any of them may be running.
	inFlight int
	// ran is set when an upstream may have run a part.
	ran bool
}

// Search asks one upstream of each shard and answers with the greatest records. A failure with code NotRun means that
// no upstream ran any part.
func (r *Router) Search(ctx context.Context, view *View, rt *route.Route, request *Request) (*SearchResult, error) {
	if err := r.admit(rt, request); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	goal, end, hedge := r.times(rt, request)
	shards := len(rt.Shards)
	attempts := max(1, rt.Attempts)
	s := &search{
		router: r, view: view, route: rt, request: request, goal: goal, end: end, hedgeAfter: hedge,
		state: gather.New(gather.Plan{
			Shards: shards, Least: leastShards(shards, rt.Coverage), Attempts: attempts,
			Goal: goal, End: end, HedgeAfter: hedge,
		}),
		results: make(chan part, shards*attempts),
		reports: make(chan relayReport, relayReports),
		asked:   make([][]*upstream, shards),
		cancels: make([][]context.CancelFunc, shards),
		via:     make([]*relay.Link, shards),
		parts:   make([]shardPart, shards),
	}
	defer s.abandon()
	s.send(ctx, allOf(shards), first)
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

// relayReports is the number of reports that may wait for the goroutine of a search.
const relayReports = 16

func allOf(shards int) []int {
	all := make([]int, shards)
	for shard := range all {
		all[shard] = shard
	}
	return all
}

// send makes one attempt at each of the shards.
func (s *search) send(ctx context.Context, shards []int, kind try) {
	if len(shards) == 0 {
		return
	}
	batches := s.newBatches(kind)
	for _, shard := range shards {
		a := s.router.choose(s.view, s.route, s.route.Shards[shard], s.asked[shard], kind)
		if a == nil {
			s.state.Unsendable(shard)
			continue
		}
		s.asked[shard] = append(s.asked[shard], a.upstream)
		s.state.Sent(a.sent, shard)
		s.inFlight++
		if !batches.add(shard, a) {
			s.direct(ctx, shard, a)
		}
	}
	batches.start(ctx)
}

// direct runs an attempt on a connection of this VM.
func (s *search) direct(ctx context.Context, shard int, a *attempt) {
	ctx, cancel := context.WithCancel(ctx)
	s.cancels[shard] = append(s.cancels[shard], cancel)
	go func() {
		response, err := s.router.run(ctx, s.route, a, s.request)
		s.results <- part{shard: shard, response: response, err: err}
	}()
}

func (s *search) collect(ctx context.Context) (*SearchResult, error) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	late := false
	for {
		now := time.Now()
		if !late && now.After(s.goal.Add(lateTolerance)) {
			late = true
			s.router.late(s.route, now, s.goal.Sub(s.request.Received))
		}
		s.hedge(ctx, s.state.Due(now))
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
		case report := <-s.reports:
			s.takeReport(ctx, report)
		case <-timer.C:
		case <-ctx.Done():
			return nil, fault.New(fault.Cancelled, "router.search", "caller left: %w", ctx.Err())
		}
	}
}

// hedge sends second attempts. Where there is no token or no other upstream, the first one is waited for.
func (s *search) hedge(ctx context.Context, shards []int) {
	before := s.inFlight
	s.send(ctx, shards, extra)
	s.hedges += s.inFlight - before
}

// take takes the end of a direct attempt.
func (s *search) take(ctx context.Context, p part) {
	s.inFlight--
	s.ran = s.ran || (arrived(p.response, p.err) && (p.response == nil || !p.response.NotRun))
	if relay.Classify(p.response, p.err) == relay.Answered {
		s.takePart(p.shard, shardPart{stamp: p.response.Stamp, records: p.response.Body})
		s.state.Ended(p.shard, gather.Part)
		s.cancelShard(p.shard)
		return
	}
	if s.state.Ended(p.shard, gather.Failure) {
		s.send(ctx, []int{p.shard}, countAs(p.response, p.err))
	}
}

// takePart includes a part. The first one of a shard stays, unless the other is merged: the parts that are merged
// together must all be in the answer, because records of one may have been left out for those of another.
func (s *search) takePart(shard int, p shardPart) {
	if s.parts[shard].stamp == "" || p.merged {
		s.parts[shard] = p
	}
}

// cancelShard gives up the attempts at a shard whose part is in.
func (s *search) cancelShard(shard int) {
	cancels := s.cancels[shard]
	s.cancels[shard] = nil
	for _, cancel := range cancels {
		cancel()
	}
}

func (s *search) finish() *SearchResult {
	g := &SearchResult{MissingCount: len(s.parts) - s.state.Count(), Hedges: s.hedges}
	records := s.merged
	for shard, p := range s.parts {
		if p.stamp == "" {
			g.MissingShards = append(g.MissingShards, s.route.Shards[shard])
			continue
		}
		g.Stamps = append(g.Stamps, p.stamp)
		if !p.merged {
			records = append(records, p.records)
		}
	}
	g.Records = gather.Merge(records, s.route.Top)
	return g
}

func (s *search) failure(now time.Time) error {
	in, shards := s.state.Count(), len(s.parts)
	switch {
	case !s.ran && s.inFlight == 0:
		return fault.New(fault.NotRun, "router.search", "no upstream of %d shards took the request", shards)
	case !now.Before(s.end):
		return fault.New(fault.Incomplete, "router.search", "%d of %d shards answered in time", in, shards)
	}
	return fault.New(fault.UpstreamFailed, "router.search", "%d of %d shards answered, the others failed", in, shards)
}
