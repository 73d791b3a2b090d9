package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/admission"
	"github.com/wisteriamux/wisteriamux/internal/balance"
	"github.com/wisteriamux/wisteriamux/internal/budget"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/membership"
	"github.com/wisteriamux/wisteriamux/internal/model"
	"github.com/wisteriamux/wisteriamux/internal/ownerrpc"
	"github.com/wisteriamux/wisteriamux/internal/snapshot"
)

// searchPolicy implements fanout.Policy for all queries of this entry VM: it selects replicas and grants hedges and
// retries by the load and latency that these queries observed or owners reported. It also admits new queries.
type searchPolicy struct {
	hedging bool
	isOwned func(upstream string) bool

	// mu guards the fields below.
	mu      sync.Mutex
	tracker *balance.Tracker
	budget  *budget.Budget
	gate    *admission.Gate
	// instances holds the last known instance of each upstream by name.
	instances map[string]string
}

func newSearchPolicy(policy balance.Policy, hedging bool, isOwned func(upstream string) bool) *searchPolicy {
	if policy == "" {
		policy = balance.Observed
	}
	return &searchPolicy{
		hedging:   hedging,
		isOwned:   isOwned,
		tracker:   balance.New(policy, rand.Uint64()),
		budget:    budget.New(),
		gate:      admission.NewGate(admission.EqualWeight),
		instances: map[string]string{},
	}
}

// run removes upstreams that are no longer in the view, until the context ends.
func (p *searchPolicy) run(ctx context.Context, s *membership.Session) {
	ticker := time.NewTicker(poolSyncInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if current, err := s.ViewForNewWork(); err == nil {
			p.prune(current)
		}
	}
}

func (p *searchPolicy) prune(current *membership.ServedView) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name := range p.instances {
		if _, ok := current.Upstreams[name]; !ok {
			p.tracker.Forget(name)
			delete(p.instances, name)
		}
	}
}

// candidate converts an upstream to a candidate of the balancer. If the upstream has a new instance, the observations
// of the old one are discarded. The caller holds mu.
func (p *searchPolicy) candidate(u model.Upstream) balance.Candidate {
	if known, ok := p.instances[u.Name]; !ok || known != u.Instance {
		p.tracker.Forget(u.Name)
		p.instances[u.Name] = u.Instance
	}
	return balance.Candidate{Name: u.Name, Service: u.Service, FailureDomain: u.FailureDomain, Slots: u.Slots, Owned: p.isOwned(u.Name)}
}

func (p *searchPolicy) candidates(replicas []model.Upstream) []balance.Candidate {
	converted := make([]balance.Candidate, len(replicas))
	for i, u := range replicas {
		converted[i] = p.candidate(u)
	}
	return converted
}

func (p *searchPolicy) choose(now time.Time, replicas []model.Upstream) (model.Upstream, bool) {
	chosen, ok := p.tracker.Choose(now, p.candidates(replicas))
	if !ok {
		return model.Upstream{}, false
	}
	for _, u := range replicas {
		if u.Name == chosen.Name {
			return u, true
		}
	}
	return model.Upstream{}, false
}

// Choose implements fanout.Policy. With hedging, it probes outliers only while the hedge budget is at least half full.
func (p *searchPolicy) Choose(now time.Time, replicas []model.Upstream) (model.Upstream, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tracker.PauseProbes(p.hedging && !p.budget.AboveHedgeReserve())
	return p.choose(now, replicas)
}

// HedgeDelay implements fanout.Policy.
func (p *searchPolicy) HedgeDelay(now time.Time, u model.Upstream) (time.Duration, bool) {
	if !p.hedging {
		return 0, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tracker.HedgeDelay(now, p.candidate(u), !p.budget.AboveHedgeReserve())
}

// recordLoads records the loads that an owner reported for its upstreams.
func (p *searchPolicy) recordLoads(loads []ownerrpc.SearchLoad) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, load := range loads {
		p.tracker.Report(now, load.Upstream, load.Backlog, load.Service, load.Age)
	}
}

// AllowHedge implements fanout.Policy.
func (p *searchPolicy) AllowHedge(now time.Time, replicas []model.Upstream) (model.Upstream, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var idle []model.Upstream
	for _, u := range replicas {
		// Outliers are included: an outlier may have recovered, and probing it with a hedge delays no query.
		if p.tracker.Idle(now, p.candidate(u)) {
			idle = append(idle, u)
		}
	}
	if !p.budget.AllowHedge(len(idle) > 0) {
		return model.Upstream{}, false
	}
	return p.choose(now, idle)
}

// AllowRetry implements fanout.Policy.
func (p *searchPolicy) AllowRetry(time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget.AllowRetry()
}

// recordSent records a sub-request before it is passed to its owner. extra marks a hedge or a retry, which adds
// nothing to the budget.
func (p *searchPolicy) recordSent(now time.Time, id uint64, u model.Upstream, extra bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tracker.Sent(now, id, p.candidate(u))
	if !extra {
		p.budget.Sent()
	}
}

// recordResult records the result of a sub-request. A failure of the upstream counts against it in the balancer; a
// failed sub-request gives no service time.
func (p *searchPolicy) recordResult(now time.Time, result ownerrpc.SubResult) {
	observation := balance.Observation{Backlog: result.Backlog, Service: result.Service}
	if result.Fault != nil {
		observation.Failed = isUpstreamFailure(result.Fault.Code)
		observation.Service = 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tracker.Done(now, result.ID, observation)
	p.budget.ObserveQueue(now, result.Backlog)
}

func isUpstreamFailure(code fault.Code) bool {
	return code == fault.UpstreamFailed || code == fault.UpstreamCrashed || code == fault.Unavailable
}

func (p *searchPolicy) recordAbandoned(now time.Time, id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tracker.Abandon(now, id)
}

// admit admits or refuses a query by the expected completion time of its most loaded shard. The replica with the
// shortest expected completion time stands for its shard.
func (p *searchPolicy) admit(now time.Time, caller string, plan snapshot.Plan, remaining time.Duration) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	var worst admission.Estimate
	for _, target := range plan.Targets {
		best := p.estimate(now, target.Upstreams[0])
		for _, u := range target.Upstreams[1:] {
			if other := p.estimate(now, u); other.Wait+other.Service < best.Wait+best.Service {
				best = other
			}
		}
		if best.Wait+best.Service > worst.Wait+worst.Service {
			worst = best
		}
	}
	return p.gate.Admit(caller, worst, remaining)
}

func (p *searchPolicy) estimate(now time.Time, u model.Upstream) admission.Estimate {
	c := p.candidate(u)
	return admission.Estimate{Wait: p.tracker.Wait(now, c), Service: p.tracker.ServiceTime(now, c)}
}

func (p *searchPolicy) release(caller string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gate.Done(caller)
}
