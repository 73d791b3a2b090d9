package router

import (
	"context"
	"math"
	"net/http"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/gather"
	"github.com/wisteriamux/wisteriamux/internal/relay"
	"github.com/wisteriamux/wisteriamux/internal/replica"
	"github.com/wisteriamux/wisteriamux/internal/route"
	"github.com/wisteriamux/wisteriamux/internal/suspect"
	"github.com/wisteriamux/wisteriamux/internal/upstreamconn"
)

// SearchResult is the merged result of a search.
type SearchResult struct {
	// Stamps holds the upstreams' signatures of the included parts.
	Stamps       []string
	MissingCount int
	Records      []byte
	// MissingShards names the shards whose part is not included.
	MissingShards []string
	Hedges        int
}

// partResult is the response or the error of one direct attempt at a shard.
type partResult struct {
	shard    int
	upstream *upstream
	response *upstreamconn.Response
	err      error
}

// shardPart is the part of a shard that is included in the result.
type shardPart struct {
	// stamp is empty until a part has arrived.
	stamp string
	// records holds the records of the part, unless they were merged with those of other parts.
	records []byte
	merged  bool
}

// search is the state of one search. It is used by a single goroutine.
type search struct {
	router   *Router
	route    *route.Route
	request  *Request
	goal     time.Time
	deadline time.Time
	// hedgeAfter is the delay before a hedge, and expected the usual response time of the route.
	hedgeAfter time.Duration
	expected   time.Duration
	state      *gather.Search
	results    chan partResult
	reports    chan relayReport
	relayed    []*relayed
	tried      [][]*upstream
	cancels    [][]context.CancelFunc
	// lastRelay is the relay of the last relayed attempt at each shard, nil if there was none.
	lastRelay []*relay.Link
	parts     []shardPart
	// caution holds attempts back once an upstream has ended under the search, or may end. heldKinds holds their kinds.
	caution   suspect.Caution
	heldKinds map[int]attemptKind
	// merged holds the records of the merged parts.
	merged [][]byte
	hedges int
	// inFlight is the number of attempts that have not ended. Any of them may be running at an upstream.
	inFlight int
	// refusals counts the attempts that upstreams refused, for lack of capacity or because they leave.
	refusals int
	// mayHaveRun is set once an upstream may have run a part.
	mayHaveRun bool
	// keyRefused is set once nothing more may be sent because of the key of the request.
	keyRefused *relay.KeyError
	steps      searchSteps
}

// Search sends the request to one upstream of each shard and returns the top records. An error with code NotRun means
// that no upstream ran any part.
func (r *Router) Search(ctx context.Context, rt *route.Route, request *Request) (*SearchResult, error) {
	request.fingerprints = fingerprintsOf(&request.Request)
	suspected, err := r.checkSuspect(request.fingerprints)
	if err != nil {
		return nil, err
	}
	if err := r.admit(rt, request); err != nil {
		return nil, err
	}
	if err := r.refuseLimited(rt, request.Received); err != nil {
		return nil, err
	}
	if err := r.refuseEvacuated(rt); err != nil {
		return nil, err
	}
	release, err := r.takeRoom(rt)
	if err != nil {
		return nil, err
	}
	defer release()
	if err := r.takeQuota(ctx, rt, request); err != nil {
		return nil, err
	}
	steps := searchSteps{route: rt.Name, received: request.Received, observe: r.config.ObserveStep}
	steps.reached(StepAdmitted)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	goal, deadline, hedge := r.deadlines(rt, request)
	shards := len(rt.Shards)
	s := &search{
		router: r, route: rt, request: request, goal: goal, deadline: deadline, hedgeAfter: hedge, expected: r.UsualResponseTime(rt),
		state: gather.New(gather.Config{
			Shards: shards, MinShards: minShards(shards, rt.Coverage), Attempts: max(1, rt.Attempts),
			SoftDeadline: goal, Deadline: deadline, HedgeDelay: hedge,
		}),
		results:   make(chan partResult, shards),
		reports:   make(chan relayReport, reportBuffer),
		tried:     make([][]*upstream, shards),
		cancels:   make([][]context.CancelFunc, shards),
		lastRelay: make([]*relay.Link, shards),
		parts:     make([]shardPart, shards),
		caution:   suspect.NewCaution(suspected.yes), heldKinds: map[int]attemptKind{}, steps: steps,
	}
	defer s.abandonRelayed()
	s.send(ctx, suspected.order(rt.Shards), firstAttempt)
	s.steps.reached(StepSent)
	result, err := s.collect(ctx)
	s.steps.reached(StepEnded)
	if err != nil {
		r.refundQuota(request)
		return nil, err
	}
	r.recordAnswered(request, http.StatusOK, rt.Shards, result.MissingShards)
	return result, nil
}

// minShards returns the smallest number of shards that reaches the coverage. The tolerance keeps a product such as
// 0.9 × 20 from being rounded up because of its floating-point representation.
func minShards(shards int, coverage float64) int {
	const tolerance = 1e-9
	return max(1, int(math.Ceil(coverage*float64(shards)-tolerance)))
}

// lateTolerance is how far past its goal a search counts as late. Searches that respond right at the goal are on time.
const lateTolerance = 2 * time.Millisecond

// reportBuffer is the capacity of a search's channel of relay reports.
const reportBuffer = 16

func allShards(shards int) []int {
	all := make([]int, shards)
	for shard := range all {
		all[shard] = shard
	}
	return all
}

// send sends one attempt to each of the shards, as far as caution allows it now.
func (s *search) send(ctx context.Context, shards []int, kind attemptKind) {
	if len(shards) > 0 && !s.keyAllowsSend() {
		return
	}
	admitted, dropped := s.caution.Admit(shards)
	if len(admitted) < len(shards) {
		for _, shard := range shards {
			s.heldKinds[shard] = kind
		}
	}
	s.giveUp(dropped)
	if len(admitted) == 0 {
		return
	}
	var unsent []int
	batches := s.newBatchBuilder(kind)
	for _, shard := range admitted {
		a := s.router.chooseUpstream(s.route, s.route.Shards[shard], s.tried[shard], kind)
		if a == nil {
			s.state.MarkExhausted(shard)
			unsent = append(unsent, shard)
			continue
		}
		s.request.quota.begin()
		s.tried[shard] = append(s.tried[shard], a.upstream)
		s.state.Sent(a.sent, shard)
		s.inFlight++
		if !batches.add(shard, a) {
			s.runDirect(ctx, shard, a)
		}
	}
	batches.start(ctx)
	for _, shard := range unsent {
		s.sendHeld(ctx, s.caution.GaveUp(shard))
	}
}

// giveUp records that the shards get no further attempt.
func (s *search) giveUp(shards []int) {
	for _, shard := range shards {
		s.state.MarkExhausted(shard)
	}
}

// sendHeld sends attempts that were held.
func (s *search) sendHeld(ctx context.Context, shards []int) {
	byKind := map[attemptKind][]int{}
	for _, shard := range shards {
		byKind[s.heldKinds[shard]] = append(byKind[s.heldKinds[shard]], shard)
	}
	for _, kind := range []attemptKind{firstAttempt, replacementAttempt, extraAttempt} {
		s.send(ctx, byKind[kind], kind)
	}
}

// runDirect runs an attempt on one of this VM's own connections.
func (s *search) runDirect(searchCtx context.Context, shard int, a *attempt) {
	ctx, cancel := context.WithCancel(searchCtx)
	s.cancels[shard] = append(s.cancels[shard], cancel)
	go func() {
		response, err := s.router.run(ctx, s.route, a, s.request)
		select {
		case s.results <- partResult{shard: shard, upstream: a.upstream, response: response, err: err}:
		case <-searchCtx.Done():
			// The search has ended.
		}
	}()
}

func (s *search) collect(ctx context.Context) (*SearchResult, error) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	late := false
	for {
		now := time.Now()
		s.steps.observeParts(s.state)
		if !late && now.After(s.goal.Add(lateTolerance)) {
			late = true
			s.router.late(s.route, now, s.goal.Sub(s.request.Received))
		}
		s.hedge(ctx, s.state.HedgesDue(now))
		switch s.state.Decide(now) {
		case gather.Finish:
			if !late {
				s.router.inTime(s.route, now, s.goal.Sub(s.request.Received))
			}
			return s.finish(), nil
		case gather.Abort:
			if !late {
				s.router.failedEarly(s.route, now, s.refusals)
			}
			return nil, s.failure(now)
		}
		timer.Reset(time.Until(s.state.NextWakeup(now)))
		select {
		case p := <-s.results:
			s.handlePart(ctx, p)
		case report := <-s.reports:
			s.handleReport(ctx, report)
		case <-timer.C:
		case <-ctx.Done():
			return nil, fault.New(fault.Cancelled, "router.search", "caller cancelled the search: %w", ctx.Err())
		}
	}
}

// hedge sends second attempts. Shards without a token or another upstream keep waiting for their first attempt.
func (s *search) hedge(ctx context.Context, shards []int) {
	if s.caution.Active() {
		return
	}
	before := s.inFlight
	s.send(ctx, shards, extraAttempt)
	s.hedges += s.inFlight - before
}

// handlePart processes the end of a direct attempt.
func (s *search) handlePart(ctx context.Context, p partResult) {
	s.inFlight--
	s.mayHaveRun = s.mayHaveRun || (mayHaveArrived(p.response, p.err) && (p.response == nil || !p.response.NotRun))
	if relay.Classify(p.response, p.err) == relay.Answered {
		s.addPart(p.shard, shardPart{stamp: p.response.Stamp, records: p.response.Body})
		s.state.Ended(p.shard, gather.Success)
		s.cancelShard(p.shard)
		s.sendHeld(ctx, s.caution.Answered(p.shard))
		return
	}
	if refused := keyRefusal(p.err); refused != nil {
		s.refuseKey(refused)
	}
	if directResult(p.response, p.err, false) == replica.Refused {
		s.refusals++
	}
	if closedByUpstream(p.err) {
		s.giveUp(s.caution.Closed(p.shard))
	}
	outcome := gather.Failure
	switch {
	case isNoRoom(p.err), keyRefusal(p.err) != nil, isMisdirected(p.response):
		outcome = gather.NotSent
	case isUnsentForLinks(p.err):
		outcome = gather.NotSent
		s.tried[p.shard] = without(s.tried[p.shard], p.upstream)
	}
	if s.state.Ended(p.shard, outcome) {
		s.send(ctx, []int{p.shard}, retryKind(p.response, p.err))
		return
	}
	s.sendHeld(ctx, s.caution.GaveUp(p.shard))
}

// addPart includes a part in the result. The first part of a shard is kept unless a later one is merged: parts that were
// merged together must all be included, since records of one may have been dropped in favour of another's.
func (s *search) addPart(shard int, p shardPart) {
	if s.parts[shard].stamp == "" || p.merged {
		s.parts[shard] = p
	}
}

// cancelShard cancels the attempts at a shard whose part has arrived.
func (s *search) cancelShard(shard int) {
	cancels := s.cancels[shard]
	s.cancels[shard] = nil
	for _, cancel := range cancels {
		cancel()
	}
}

func (s *search) finish() *SearchResult {
	g := &SearchResult{MissingCount: len(s.parts) - s.state.AnsweredCount(), Hedges: s.hedges}
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
	in, shards := s.state.AnsweredCount(), len(s.parts)
	switch {
	case !s.mayHaveRun && s.inFlight == 0 && s.keyRefused != nil:
		return s.keyRefused
	case !s.mayHaveRun && s.inFlight == 0:
		return fault.New(fault.NotRun, "router.search", "no upstream of %d shards accepted the request", shards)
	case !now.Before(s.deadline):
		return fault.New(fault.Incomplete, "router.search", "%d of %d shards responded before the deadline", in, shards)
	}
	return fault.New(fault.UpstreamFailed, "router.search", "%d of %d shards responded, the others failed", in, shards)
}
