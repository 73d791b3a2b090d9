package router

import (
	"context"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/gather"
	"github.com/wisteriamux/wisteriamux/internal/notice"
	"github.com/wisteriamux/wisteriamux/internal/ratelimit"
	"github.com/wisteriamux/wisteriamux/internal/relay"
	"github.com/wisteriamux/wisteriamux/internal/replica"
	"github.com/wisteriamux/wisteriamux/internal/route"
)

const (
	// reportLead is the time that the report of a relay takes in addition to the attempts in it: a round trip between
	// failure domains and some processing. Relayed attempts are hedged later by it than direct ones.
	reportLead = 5 * time.Millisecond
	// reportGrace is how much longer a hedge waits for the report of a relay that is short of processor time. Most of the
	// parts of a late report are in it, and hedging them would use up the budget.
	reportGrace = 10 * time.Millisecond
)

// holdShare is the fraction of the latency objective for which relays hold back the first parts at most. A hedge may be due only when a
// response to a short objective should have been sent.
const holdShare = 0.25

// minAlternatives is the number of untried upstreams of a shard from which a relay may decline an attempt: one to
// replace the attempt and one for a hedge or retry.
const minAlternatives = 2

// relayed is a batch of attempts that one search has sent to a relay.
type relayed struct {
	link  *relay.Link
	batch *relay.Batch
	// kind applies to all attempts of the batch. The records of first attempts are returned merged and are all used; those
	// of other attempts are returned per part.
	kind attemptKind
	// open holds the attempts that have not ended, by shard.
	open map[int]*attempt
}

// relayReport is a report on a batch, or the error of its link.
type relayReport struct {
	from   *relayed
	report relay.BatchReport
	err    error
}

// batchBuilder groups the attempts that a search sends at the same time by relay.
type batchBuilder struct {
	search *search
	kind   attemptKind
	// domains is the number of failure domains with relays.
	domains int
	picked  map[relayKey]*relay.Link
	byLink  map[*relay.Link]*relayed
}

// isNear reports whether searches reach the upstream directly: it is in the failure domain of this VM and accepts a connection from
// every entry VM.
func (r *Router) isNear(u *upstream) bool {
	return u.candidate.Local && !r.View().connectionLimited[u.instance.Service]
}

type relayKey struct {
	domain string
	group  int
	avoid  *relay.Link
	// elsewhere is set if this VM has lost its own links.
	elsewhere bool
}

func (s *search) newBatchBuilder(kind attemptKind) *batchBuilder {
	b := &batchBuilder{search: s, kind: kind, picked: map[relayKey]*relay.Link{}, byLink: map[*relay.Link]*relayed{}}
	if s.router.peers != nil {
		b.domains = s.router.peers.DomainCount()
	}
	return b
}

// add adds an attempt to a batch, or returns false if the attempt must be sent directly: because relaying is disabled,
// no relay is usable, or this VM has its links to upstreams and the request has a body or the upstream is in this VM's
// failure domain and accepts a connection from every entry VM.
func (b *batchBuilder) add(shard int, a *attempt) bool {
	r := b.search.router
	if r.peers == nil {
		return false
	}
	elsewhere := r.avoidsOwnLink(a.upstream)
	if !elsewhere && (r.isNear(a.upstream) || len(b.search.request.Body) > 0) {
		return false
	}
	domain := a.upstream.instance.FailureDomain
	key := relayKey{
		domain: domain, group: relay.GroupOf(shard, len(b.search.route.Shards), b.domains), avoid: b.search.lastRelay[shard], elsewhere: elsewhere,
	}
	link, known := b.picked[key]
	if !known {
		pick := r.peers.Pick
		if elsewhere {
			pick = r.peers.PickOther
		}
		link = pick(domain, key.group, key.avoid, a.sent)
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
	b.search.lastRelay[shard] = link
	return true
}

// start sends the batches. If the link of a batch has failed in the meantime, its attempts are sent directly.
func (b *batchBuilder) start(ctx context.Context) {
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
				s.runDirect(ctx, shard, a)
			}
			continue
		}
		s.relayed = append(s.relayed, batch)
		for shard, a := range batch.open {
			s.state.AwaitReport(shard, a.sent.Add(s.hedgeAfter+reportDelay(batch.kind)))
			s.cancels[shard] = append(s.cancels[shard], func() { s.abandonShard(batch, shard) })
		}
	}
}

// reportDelay returns how much later than a direct attempt a relayed one is hedged. Parts of first attempts may be held at a relay that is
// short of processor time; those of second attempts are reported when they end.
func reportDelay(kind attemptKind) time.Duration {
	if kind == firstAttempt {
		return reportLead + reportGrace
	}
	return reportLead
}

// canReplace reports whether an attempt that a relay declines can be replaced in time: its report and the replacement through another relay
// pass between VMs.
func (s *search) canReplace(now time.Time) bool {
	return now.Add(2*(reportLead+reportGrace) + s.expected).Before(s.goal)
}

func (s *search) runArgs(batch *relayed) relay.RunArgs {
	r := s.request
	args := relay.RunArgs{
		Request: r.ID, Method: r.Method, Target: r.Target, Host: r.Host, Header: r.Header, Top: s.route.Top, Whole: batch.kind != firstAttempt,
		Body: r.Body, Caller: r.Caller, Key: r.claim(), Attempts: make([]relay.Attempt, 0, len(batch.open)),
	}
	// Parts of second attempts are not held back: the search waits for little else.
	if batch.kind == firstAttempt {
		args.Quiet = s.hedgeAfter
		args.Hold = time.Duration(holdShare * float64(s.route.Objective))
	}
	urgent := !s.canReplace(time.Now())
	for shard, a := range batch.open {
		args.Remaining = remaining(s.route, r, a)
		args.Attempts = append(args.Attempts, relay.Attempt{
			Number: shard, Instance: a.upstream.instance.ID, Rank: s.request.Team.RankOn(s.route),
			Urgent: urgent, Reduction: a.reduction,
			Optional: len(s.router.View().byService[s.route.Shards[shard]])-len(s.tried[shard]) >= minAlternatives,
		})
	}
	s.router.mu.Lock()
	args.Expected = time.Duration(s.router.stats(s.route).expected)
	s.router.counts.Relayed += int64(len(args.Attempts))
	s.router.mu.Unlock()
	return args
}

// abandonShard cancels an attempt because another one has returned the part. A report in transit may still contain this
// attempt's part.
func (s *search) abandonShard(batch *relayed, shard int) {
	a, open := batch.open[shard]
	if !open {
		return
	}
	batch.batch.Cancel([]int{shard})
	s.finishRelayed(batch, shard, a, attemptEnd{result: replica.Abandoned, took: time.Since(a.sent)})
	s.state.Ended(shard, gather.Failure)
}

func (s *search) finishRelayed(batch *relayed, shard int, a *attempt, e attemptEnd) {
	delete(batch.open, shard)
	s.inFlight--
	e.relay = batch.link.PeerID()
	s.router.recordEnd(s.route, s.request, a, e)
}

// handleReport processes the parts and failures that a relay reports, and sends retries.
func (s *search) handleReport(ctx context.Context, r relayReport) {
	if r.err != nil {
		s.handleRelayLoss(ctx, r)
		return
	}
	if len(r.report.Records) > 0 {
		s.merged = append(s.merged, r.report.Records)
	}
	now := time.Now()
	var failedShards, unsent, released []int
	for _, ended := range r.report.Ended {
		shard := ended.Number
		if shard < 0 || shard >= len(s.parts) {
			continue
		}
		outcome := gatherOutcome(ended.Outcome)
		if outcome == gather.Success {
			s.addPart(shard, shardPart{stamp: ended.Stamp, records: ended.Records, merged: r.from.kind == firstAttempt})
			released = append(released, s.caution.Answered(shard)...)
		}
		if ended.Closed {
			s.giveUp(s.caution.Closed(shard))
		}
		s.mayHaveRun = s.mayHaveRun || ended.Outcome == relay.Answered || ended.Outcome == relay.Failed
		a, open := r.from.open[shard]
		if !open {
			continue
		}
		switch ended.Outcome {
		case relay.Refused:
			s.refusals++
		case relay.Declined:
			s.router.recordPeerCost(a, ended.Cost)
		case relay.Limited:
			s.router.recordFull(a.upstream, ended.RetryAfter)
		case relay.Partitioned:
			r.from.link.MarkPartitioned(now)
			s.tried[shard] = without(s.tried[shard], a.upstream)
		case relay.Unconfirmed:
			r.from.link.MarkUnconfirmed(now)
			s.tried[shard] = without(s.tried[shard], a.upstream)
			s.reopenAfterUnconfirmed(shard)
		case relay.KeyRemoved:
			s.refuseKey(relay.RemovedKeyError())
		}
		s.router.observeNotice(a.upstream, notice.Notice{Leaving: ended.Leaving, Pause: ended.Pause})
		if ended.RateLimit != nil {
			s.router.observeLimit(a.upstream, ratelimit.Statement{PerSecond: *ended.RateLimit})
		}
		s.finishRelayed(r.from, shard, a, attemptEnd{result: relayedResult(ended), took: ended.Took, cause: reasonOf(ended),
			noRoom: isUnlogged(ended.Outcome), unsent: outcome == gather.NotSent})
		s.router.adoptPace(a, ended.Reduction, ended.Took)
		if !s.state.Ended(shard, outcome) {
			released = append(released, s.caution.GaveUp(shard)...)
			continue
		}
		if outcome == gather.NotSent {
			unsent = append(unsent, shard)
		} else {
			failedShards = append(failedShards, shard)
		}
	}
	if r.report.Settled {
		for shard := range r.from.open {
			s.state.Reported(shard)
		}
	}
	s.cancelAnswered(r.report.Ended)
	s.send(ctx, failedShards, extraAttempt)
	s.resendUnseen(ctx, unsent, r.from.kind)
	s.sendHeld(ctx, released)
}

// resendUnseen sends attempts that no upstream received to other upstreams. The token of an extra attempt is refunded
// first.
func (s *search) resendUnseen(ctx context.Context, shards []int, kind attemptKind) {
	if kind != extraAttempt {
		s.send(ctx, shards, replacementAttempt)
		return
	}
	s.router.refund(s.route, shards)
	s.send(ctx, shards, extraAttempt)
}

// refund returns the tokens of extra attempts that no upstream received.
func (r *Router) refund(rt *route.Route, shards []int) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, shard := range shards {
		r.budget(rt.Shards[shard], now).Add(1)
		r.counts.Extra--
	}
}

// recordPeerCost records the cost that a relay expects for an upstream.
func (r *Router) recordPeerCost(a *attempt, cost float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tracker.RecordPeerCost(time.Now(), a.upstream.instance.ID, cost)
}

func gatherOutcome(outcome relay.Outcome) gather.Outcome {
	switch outcome {
	case relay.Answered:
		return gather.Success
	case relay.Unsent, relay.Misdirected, relay.Unreachable, relay.Declined, relay.Limited, relay.Partitioned, relay.Unconfirmed, relay.KeyRemoved:
		return gather.NotSent
	}
	return gather.Failure
}

// cancelAnswered cancels the remaining attempts at shards whose part has arrived.
func (s *search) cancelAnswered(ended []relay.Ended) {
	for _, e := range ended {
		if e.Number >= 0 && e.Number < len(s.parts) && s.state.Answered(e.Number) {
			s.cancelShard(e.Number)
		}
	}
}

// handleRelayLoss ends and retries the attempts of a batch whose link failed. Any of them may have run.
func (s *search) handleRelayLoss(ctx context.Context, r relayReport) {
	s.mayHaveRun = s.mayHaveRun || len(r.from.open) > 0
	var lost, released []int
	for shard, a := range r.from.open {
		s.finishRelayed(r.from, shard, a, attemptEnd{result: replica.Unknown, took: time.Since(a.sent), cause: r.err})
		if s.state.Ended(shard, gather.Failure) {
			lost = append(lost, shard)
		} else {
			released = append(released, s.caution.GaveUp(shard)...)
		}
	}
	s.send(ctx, lost, extraAttempt)
	s.sendHeld(ctx, released)
}

func relayedResult(ended relay.Ended) replica.Result {
	if ended.LinkLost {
		return replica.Unknown
	}
	switch ended.Outcome {
	case relay.Answered:
		return replica.Answered
	case relay.Refused, relay.Unsent:
		return replica.Refused
	case relay.Misdirected:
		return replica.Misdirected
	case relay.Unreachable:
		return replica.Unreachable
	case relay.Declined, relay.Limited, relay.Unconfirmed, relay.KeyRemoved:
		return replica.Declined
	}
	return replica.Failed
}

// reasonOf returns the cause of a failure that a relay reports, or nil for a part.
func reasonOf(ended relay.Ended) error {
	if ended.Outcome == relay.Answered {
		return nil
	}
	return fault.New(fault.UpstreamFailed, "router.relayed", "%s", ended.Reason)
}

// abandonRelayed records the attempts that are still open at relays when the search ends.
func (s *search) abandonRelayed() {
	for _, batch := range s.relayed {
		for shard, a := range batch.open {
			s.finishRelayed(batch, shard, a, attemptEnd{result: replica.Abandoned, took: time.Since(a.sent)})
		}
	}
}
