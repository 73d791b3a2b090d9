package router

import (
	"context"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/gather"
	"github.com/wisteriamux/wisteriamux/internal/relay"
	"github.com/wisteriamux/wisteriamux/internal/replica"
	"github.com/wisteriamux/wisteriamux/internal/route"
	"github.com/wisteriamux/wisteriamux/internal/upstreamconn"
)

// Attempt carries out an attempt for another entry VM. It implements relay.Executor.
func (r *Router) Attempt(ctx context.Context, wanted relay.Attempt, expected time.Duration, request *upstreamconn.Request) (*upstreamconn.Response, error) {
	u, ok := r.View().byID[wanted.Instance]
	if !ok {
		return nil, fault.New(fault.Moved, "router.attempt", "upstream %q takes no requests", wanted.Instance)
	}
	now := time.Now()
	r.mu.Lock()
	if cost, bad := r.tracker.Bad(now, wanted.Instance); bad && wanted.Optional {
		r.mu.Unlock()
		return nil, &relay.DeclinedError{Cost: cost}
	}
	r.counts.Executed++
	a := &attempt{upstream: u, sent: now, ticket: r.tracker.Sent(now, wanted.Instance, expected)}
	r.mu.Unlock()
	response, err := u.pool.Do(ctx, request)
	r.observe(a, resultOf(response, err, ctx.Err() != nil), time.Since(now))
	return response, err
}

// relayDelay is how long before a hedge a relay reports the parts that are in, so that they arrive in time: a round trip
// between failure domains and some processing.
const relayDelay = 5 * time.Millisecond

// optionalFrom is the number of other upstreams from which a relay may decline an attempt: one to ask instead, and one
// for a second attempt.
const optionalFrom = 2

// relayed is a batch of attempts of one search at a relay.
type relayed struct {
	link  *relay.Link
	batch *relay.Batch
	// kind is that of all attempts. First attempts come back merged, and all of them are used; others come back whole.
	kind try
	// open are the attempts without an end, by shard.
	open map[int]*attempt
}

// relayReport is a report about a batch, or the failure of its link.
type relayReport struct {
	from   *relayed
	report relay.BatchReport
	err    error
}

// batches groups the attempts of one step of a search by relay.
type batches struct {
	search *search
	kind   try
	// domains is the number of failure domains with relays.
	domains int
	picked  map[relayKey]*relay.Link
	byLink  map[*relay.Link]*relayed
}

type relayKey struct {
	domain string
	group  int
	avoid  *relay.Link
}

func (s *search) newBatches(kind try) *batches {
	b := &batches{search: s, kind: kind, picked: map[relayKey]*relay.Link{}, byLink: map[*relay.Link]*relayed{}}
	if s.router.peers != nil {
		b.domains = s.router.peers.DomainCount()
	}
	return b
}

// add puts an attempt into a batch and reports whether it did. Upstreams of this VM's failure domain are asked directly
// if they accept a connection of each entry VM, and so are those of a failure domain without a relay.
func (b *batches) add(shard int, a *attempt) bool {
	r := b.search.router
	direct := a.upstream.candidate.Local && !b.search.view.shared[a.upstream.instance.Service]
	if r.peers == nil || direct || len(b.search.request.Body) > 0 {
		return false
	}
	domain := a.upstream.instance.FailureDomain
	key := relayKey{domain: domain, group: relay.GroupOf(shard, len(b.search.route.Shards), b.domains), avoid: b.search.via[shard]}
	link, known := b.picked[key]
	if !known {
		link = r.peers.Pick(domain, key.group, key.avoid, a.sent)
		b.picked[key] = link
	}
	if link == nil {
		return false
	}
	batch, ok := b.byLink[link]
	if !ok {
		batch = &relayed{link: link, kind: b.kind, open: map[int]*attempt{}}
		b.byLink[link] = batch
	}
	batch.open[shard] = a
	b.search.via[shard] = link
	return true
}

// start sends the batches. The attempts of one whose link has failed meanwhile are made directly.
func (b *batches) start(ctx context.Context) {
	s := b.search
	for link, batch := range b.byLink {
		batch.batch = link.Start(ctx, s.runArgs(batch), func(report relay.BatchReport, err error) {
			select {
			case s.reports <- relayReport{from: batch, report: report, err: err}:
			case <-ctx.Done():
			}
		})
		if batch.batch == nil {
			for shard, a := range batch.open {
				s.direct(ctx, shard, a)
			}
			continue
		}
		s.relayed = append(s.relayed, batch)
		for shard := range batch.open {
			s.cancels[shard] = append(s.cancels[shard], func() { s.giveUp(batch, shard) })
		}
	}
}

func (s *search) runArgs(batch *relayed) relay.RunArgs {
	r := s.request
	args := relay.RunArgs{
		Request: r.ID, Method: r.Method, Target: r.Target, Host: r.Host, Header: r.Header, Top: s.route.Top, Whole: batch.kind != first,
		Quiet: max(0, s.hedgeAfter-relayDelay), Attempts: make([]relay.Attempt, 0, len(batch.open)),
	}
	for shard, a := range batch.open {
		args.Remaining = remaining(s.route, r, a)
		args.Attempts = append(args.Attempts, relay.Attempt{
			Number: shard, Instance: a.upstream.instance.ID,
			Optional: len(s.view.byService[s.route.Shards[shard]])-len(s.asked[shard]) >= optionalFrom,
		})
	}
	s.router.mu.Lock()
	args.Expected = time.Duration(s.router.stats(s.route).expected)
	s.router.counts.Relayed += int64(len(args.Attempts))
	s.router.mu.Unlock()
	return args
}

// giveUp ends an attempt whose part came from elsewhere. A report that is under way may still hold its part.
func (s *search) giveUp(batch *relayed, shard int) {
	a, open := batch.open[shard]
	if !open {
		return
	}
	batch.batch.Cancel([]int{shard})
	s.endRelayed(batch, shard, a, ending{result: replica.Abandoned, took: time.Since(a.sent)})
	s.state.Ended(shard, gather.Failure)
}

func (s *search) endRelayed(batch *relayed, shard int, a *attempt, e ending) {
	delete(batch.open, shard)
	s.inFlight--
	e.seen = time.Since(a.sent)
	e.relay = batch.link.PeerID()
	s.router.record(s.route, s.request, a, e)
}

// takeReport takes the parts and the failures that a relay reports, and sends what has to be sent again.
func (s *search) takeReport(ctx context.Context, r relayReport) {
	if r.err != nil {
		s.loseRelay(ctx, r)
		return
	}
	if len(r.report.Records) > 0 {
		s.merged = append(s.merged, r.report.Records)
	}
	var repeated, afresh []int
	for _, ended := range r.report.Ended {
		shard := ended.Number
		if shard < 0 || shard >= len(s.parts) {
			continue
		}
		outcome := outcomeOf(ended.Outcome)
		if outcome == gather.Part {
			s.takePart(shard, shardPart{stamp: ended.Stamp, records: ended.Records, merged: r.from.kind == first})
		}
		s.ran = s.ran || ended.Outcome == relay.Answered || ended.Outcome == relay.Failed
		a, open := r.from.open[shard]
		if !open {
			continue
		}
		if ended.Outcome == relay.Declined {
			s.router.told(a, ended.Cost)
		}
		s.endRelayed(r.from, shard, a, ending{result: resultOfRelayed(ended.Outcome), took: ended.Took, cause: reasonOf(ended)})
		if !s.state.Ended(shard, outcome) {
			continue
		}
		if outcome == gather.NotSent {
			afresh = append(afresh, shard)
		} else {
			repeated = append(repeated, shard)
		}
	}
	s.cancelAnswered(r.report.Ended)
	s.send(ctx, repeated, extra)
	s.resend(ctx, afresh, r.from.kind)
}

// resend makes attempts that no upstream saw at other upstreams. The token of a second attempt is given back first.
func (s *search) resend(ctx context.Context, shards []int, kind try) {
	if kind != extra {
		s.send(ctx, shards, again)
		return
	}
	s.router.refund(s.route, shards)
	s.send(ctx, shards, extra)
}

// refund gives back the tokens of extra attempts that no upstream saw.
func (r *Router) refund(rt *route.Route, shards []int) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, shard := range shards {
		r.budget(rt.Shards[shard], now).Refill(1)
		r.counts.Extra--
	}
}

// told records the relay's opinion of an upstream.
func (r *Router) told(a *attempt, cost float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tracker.Told(time.Now(), a.upstream.instance.ID, cost)
}

func outcomeOf(outcome relay.Outcome) gather.Outcome {
	switch outcome {
	case relay.Answered:
		return gather.Part
	case relay.Unsent, relay.Unreachable, relay.Declined:
		return gather.NotSent
	}
	return gather.Failure
}

// cancelAnswered gives up the other attempts at the shards whose part is in.
func (s *search) cancelAnswered(ended []relay.Ended) {
	for _, e := range ended {
		if e.Number >= 0 && e.Number < len(s.parts) && s.state.In(e.Number) {
			s.cancelShard(e.Number)
		}
	}
}

// loseRelay ends the attempts of a batch whose link failed. Any of them may have run.
func (s *search) loseRelay(ctx context.Context, r relayReport) {
	s.ran = s.ran || len(r.from.open) > 0
	var lost []int
	for shard, a := range r.from.open {
		s.endRelayed(r.from, shard, a, ending{result: replica.Unknown, took: time.Since(a.sent), cause: r.err})
		if s.state.Ended(shard, gather.Failure) {
			lost = append(lost, shard)
		}
	}
	s.send(ctx, lost, extra)
}

func resultOfRelayed(outcome relay.Outcome) replica.Result {
	switch outcome {
	case relay.Answered:
		return replica.Answered
	case relay.Refused, relay.Unsent:
		return replica.Refused
	case relay.Misdirected:
		return replica.Misdirected
	case relay.Unreachable:
		return replica.Unreachable
	case relay.Declined:
		return replica.Declined
	}
	return replica.Failed
}

// reasonOf returns the cause of a failure that a relay reports, nil for a part.
func reasonOf(ended relay.Ended) error {
	if ended.Outcome == relay.Answered {
		return nil
	}
	return fault.New(fault.UpstreamFailed, "router.relayed", "%s", ended.Reason)
}

// abandon records the attempts that are left at relays when the search ends.
func (s *search) abandon() {
	for _, batch := range s.relayed {
		for shard, a := range batch.open {
			s.endRelayed(batch, shard, a, ending{result: replica.Abandoned, took: time.Since(a.sent)})
		}
	}
}
