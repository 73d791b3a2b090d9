package router

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/relay"
	"github.com/wisteriamux/wisteriamux/internal/route"
	"github.com/wisteriamux/wisteriamux/internal/sharedrate"
)

// shareAlone grants credits at a VM without a relay address, which has no way to talk to others: an equal share of the quota.
func (r *Router) shareAlone(ask sharedrate.Ask) sharedrate.Answer {
	q, now := r.quotas, bootNow()
	q.mu.Lock()
	defer q.mu.Unlock()
	vms := float64(max(1, r.View().watchers))
	ask.Limit.PerSecond /= vms
	ask.Limit.Burst /= vms
	q.holder.Confirm(now)
	q.holder.SeeCandidates(now, 1)
	if !q.holder.Has(ask.Team) {
		q.holder.Begin(now, now, ask.Team, ask.Limit, nil)
	}
	return q.holder.Credits(now, ask, rand.Float64())
}

// Credits grants or denies credits to another entry VM or to this one. It implements relay.Executor. A VM that is not the holder
// passes the call on once, since the asking VM may not reach the holder.
func (r *Router) Credits(ctx context.Context, args relay.CreditsArgs) relay.CreditsReply {
	unknown := relay.CreditsReply{Answer: sharedrate.Answer{NotHolder: true}}
	if r.peers == nil {
		return unknown
	}
	if answer, held := r.grantHeld(args.Ask); held {
		return relay.CreditsReply{Answer: answer}
	}
	holders := r.peers.QuotaHolders(args.Ask.Team, time.Now())
	switch {
	case len(holders) == 0:
		return unknown
	case holders[0].Self, r.replaces(holders, args.Ask.Team):
		r.becomeHolder(args.Ask.Team, args.Ask.Limit)
		return relay.CreditsReply{Answer: r.grantBegun(args.Ask)}
	case args.Forwarded || args.Ask.VM == r.config.ID:
		return unknown
	}
	args.Forwarded = true
	reply, err := r.callHolder(ctx, holders[0].Link, args)
	if err != nil {
		return unknown
	}
	return reply
}

// replaces reports whether this VM is the next candidate after one that has stopped to renew its loan of this VM's part.
func (r *Router) replaces(holders []relay.QuotaHolder, team string) bool {
	if len(holders) < 2 || !holders[1].Self {
		return false
	}
	r.quotas.mu.Lock()
	defer r.quotas.mu.Unlock()
	return r.quotas.holder.LoanEnded(bootNow(), team, holders[0].Link.PeerID())
}

// grantHeld answers from the bucket of this VM if it holds one.
func (r *Router) grantHeld(ask sharedrate.Ask) (sharedrate.Answer, bool) {
	q, now := r.quotas, bootNow()
	q.mu.Lock()
	defer q.mu.Unlock()
	if index := r.View().Routes; index != nil {
		q.limitsOf(index, now)
	}
	if !q.holder.Holds(now, ask.Team) {
		return sharedrate.Answer{}, false
	}
	return q.holder.Credits(now, ask, rand.Float64()), true
}

// grantBegun answers from a bucket that this VM has just begun to hold. While other VMs still lend their parts to an earlier holder,
// it has no rate, and a denial would name a time that is far too late.
func (r *Router) grantBegun(ask sharedrate.Ask) sharedrate.Answer {
	q, now := r.quotas, bootNow()
	q.mu.Lock()
	defer q.mu.Unlock()
	answer := q.holder.Credits(now, ask, rand.Float64())
	if answer.Granted == 0 && !q.holder.Holds(now, ask.Team) {
		return sharedrate.Answer{NotHolder: true}
	}
	return answer
}

// becomeHolder makes this VM the holder of the team's bucket. Of several calls at the same time one does so, and the others wait.
func (r *Router) becomeHolder(team string, limit sharedrate.Limit) {
	q := r.quotas
	q.mu.Lock()
	if begun, ok := q.claims[team]; ok {
		q.mu.Unlock()
		<-begun
		return
	}
	done := make(chan struct{})
	q.claims[team] = done
	if newest, ok := q.limits[team]; ok && newest.Version >= limit.Version {
		limit = newest
	}
	q.mu.Unlock()
	start := bootNow()
	yields := r.claim(claimTimeout, []string{team}, "", nil)[team]
	if from := releasedBy(yields); from != "" {
		// The loans to the previous holder have ended.
		for id, y := range r.claim(claimTimeout, []string{team}, from, func(id string) bool { return yields[id].Share == 0 && yields[id].LentTo == from })[team] {
			yields[id] = y
		}
	}
	now := bootNow()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.holder.Begin(start, now, team, limit, yields)
	q.counts.TakenOver++
	q.logBounded(now, func() {
		r.log.Info("quota bucket taken over", "team", team, "from", releasedBy(yields), "answers", len(yields), "took_ms", now.Sub(start).Milliseconds())
	})
	delete(q.claims, team)
	close(done)
}

// releasedBy returns the ID of a VM that handed its bucket over, or "" if none did.
func releasedBy(yields map[string]sharedrate.Yield) string {
	for id, y := range yields {
		if y.Released {
			return id
		}
	}
	return ""
}

// claim asks the other candidates, or those that the filter accepts, for their parts of the rates of the teams, and returns the
// answers that come in time by team and candidate.
func (r *Router) claim(timeout time.Duration, teams []string, released string, accept func(id string) bool) map[string]map[string]sharedrate.Yield {
	q := r.quotas
	links, total := r.peers.QuotaCandidates(time.Now())
	var claims []sharedrate.Claim
	q.mu.Lock()
	q.holder.SeeCandidates(bootNow(), total)
	for _, team := range teams {
		claims = append(claims, sharedrate.Claim{Team: team, Holder: r.config.ID, Candidates: total, Reached: q.holder.Reached(team), ReleasedBy: released})
	}
	q.mu.Unlock()
	all := map[string]map[string]sharedrate.Yield{}
	for _, team := range teams {
		all[team] = map[string]sharedrate.Yield{}
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var wg sync.WaitGroup
	var mu sync.Mutex
	called := int64(0)
	for _, link := range links {
		if accept != nil && !accept(link.PeerID()) {
			continue
		}
		called++
		wg.Go(func() {
			reply, err := link.TakeOver(ctx, relay.TakeOverArgs{Claims: claims})
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			for n, y := range reply.Yields {
				all[claims[n].Team][link.PeerID()] = y
			}
		})
	}
	wg.Wait()
	q.mu.Lock()
	q.counts.Claims += called
	q.mu.Unlock()
	return all
}

// TakeOver answers claims of another entry VM. It implements relay.Executor.
func (r *Router) TakeOver(args relay.TakeOverArgs) relay.TakeOverReply {
	q, now := r.quotas, bootNow()
	reply := relay.TakeOverReply{Yields: make([]sharedrate.Yield, len(args.Claims))}
	for n, c := range args.Claims {
		before := r.peers != nil && r.peers.PrecedesSelf(c.Team, c.Holder)
		q.mu.Lock()
		y := q.holder.Yield(now, c, before)
		if y.Released {
			q.counts.HandedOver++
			q.logBounded(now, func() { r.log.Info("quota bucket handed over", "team", c.Team, "to", c.Holder, "tokens", y.Tokens) })
		}
		q.mu.Unlock()
		reply.Yields[n] = y
	}
	return reply
}

// KeepQuotas renews the loans of the buckets that this VM holds, and keeps links to the other candidates open, until the context
// ends. Without teams that have a rate it does nothing.
func (r *Router) KeepQuotas(ctx context.Context) {
	ticker := time.NewTicker(sharedrate.RenewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.renewQuotas()
		}
	}
}

func (r *Router) renewQuotas() {
	q, now := r.quotas, bootNow()
	index := r.View().Routes
	if index == nil || r.peers == nil {
		return
	}
	candidate := r.peers.IsQuotaCandidate()
	q.mu.Lock()
	limited := len(q.limitsOf(index, now)) > 0
	if !candidate {
		// The candidates do not claim buckets from VMs that are none, so that their loans to this one must end by themselves.
		q.holder.Resign()
	}
	teams := q.holder.Teams(now)
	q.endRefusals(now, r)
	q.mu.Unlock()
	if !limited {
		return
	}
	r.peers.QuotaCandidates(time.Now())
	r.beginQuotas(index)
	if len(teams) == 0 {
		return
	}
	yields := r.claim(renewTimeout, teams, "", nil)
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, team := range teams {
		q.holder.Renewed(now, bootNow(), team, yields[team])
	}
}

// beginQuotas begins to hold the buckets of the teams for which this VM is the first candidate, so that the first request of a team
// does not wait for it.
func (r *Router) beginQuotas(index *route.Index) {
	for i := range index.Table.Teams {
		team := &index.Table.Teams[i]
		if team.PerSecond <= 0 {
			continue
		}
		q := r.quotas
		q.mu.Lock()
		ready := bootNow().Sub(q.started) > sharedrate.LoanLife && !q.holder.Has(team.Name)
		q.mu.Unlock()
		if !ready {
			continue
		}
		if holders := r.peers.QuotaHolders(team.Name, time.Now()); len(holders) > 0 && holders[0].Self {
			r.becomeHolder(team.Name, sharedrate.Limit{PerSecond: team.PerSecond, Burst: team.Burst, Version: index.Table.Version})
		}
	}
}
