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

// searchPolicy holds what this entry VM observes of all its queries, and decides for them. It implements fanout.Policy.
type searchPolicy struct {
	hedging bool
	isOwned func(upstream string) bool

	// mu guards the fields below.
	mu        sync.Mutex
	tracker   *balance.Tracker
	budget    *budget.Budget
	gate      *admission.Gate
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

// run forgets upstreams that left the view until the context ends.
func (t *searchPolicy) run(ctx context.Context, s *membership.Session) {
	ticker := time.NewTicker(poolSyncInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if current, err := s.ViewForNewWork(); err == nil {
			t.prune(current)
		}
	}
}

func (t *searchPolicy) prune(current *membership.ServedView) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name := range t.instances {
		if _, ok := current.Upstreams[name]; !ok {
			t.tracker.Forget(name)
			delete(t.instances, name)
		}
	}
}

// candidate converts an upstream. A new instance under a known name starts cold. The caller holds mu.
func (t *searchPolicy) candidate(u model.Upstream) balance.Candidate {
	if known, ok := t.instances[u.Name]; !ok || known != u.Instance {
		t.tracker.Forget(u.Name)
		t.instances[u.Name] = u.Instance
	}
	return balance.Candidate{Name: u.Name, Service: u.Service, FailureDomain: u.FailureDomain, Slots: u.Slots, Owned: t.isOwned(u.Name)}
}

func (t *searchPolicy) candidates(replicas []model.Upstream) []balance.Candidate {
	converted := make([]balance.Candidate, len(replicas))
	for i, u := range replicas {
		converted[i] = t.candidate(u)
	}
	return converted
}

func (t *searchPolicy) choose(now time.Time, replicas []model.Upstream) (model.Upstream, bool) {
	chosen, ok := t.tracker.Choose(now, t.candidates(replicas))
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

// Choose implements fanout.Policy.
func (t *searchPolicy) Choose(now time.Time, replicas []model.Upstream) (model.Upstream, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tracker.PauseProbes(t.hedging && !t.budget.Plenty())
	return t.choose(now, replicas)
}

// HedgeDelay implements fanout.Policy.
func (t *searchPolicy) HedgeDelay(now time.Time, u model.Upstream) (time.Duration, bool) {
	if !t.hedging {
		return 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tracker.HedgeDelay(now, t.candidate(u), !t.budget.Plenty())
}

// recordLoads records the loads that an owner reports.
func (t *searchPolicy) recordLoads(loads []ownerrpc.SearchLoad) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, load := range loads {
		t.tracker.Report(now, load.Upstream, load.Backlog, load.Service, load.Age)
	}
}

// Hedge implements fanout.Policy.
func (t *searchPolicy) Hedge(now time.Time, replicas []model.Upstream) (model.Upstream, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var idle []model.Upstream
	for _, u := range replicas {
		// An outlier is not excluded: its slow period may be over, and the hedge is a probe that costs no query anything.
		if t.tracker.Idle(now, t.candidate(u)) {
			idle = append(idle, u)
		}
	}
	if !t.budget.Hedge(len(idle) > 0) {
		return model.Upstream{}, false
	}
	return t.choose(now, idle)
}

// Retry implements fanout.Policy.
func (t *searchPolicy) Retry(time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.budget.Retry()
}

// recordSent records a sub-request before it is handed to its owner.
func (t *searchPolicy) recordSent(now time.Time, id uint64, u model.Upstream, extra bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tracker.Sent(now, id, t.candidate(u))
	if !extra {
		t.budget.Sent()
	}
}

// recordResult records a result.
func (t *searchPolicy) recordResult(now time.Time, result ownerrpc.SubResult) {
	observation := balance.Observation{Backlog: result.Backlog, Service: result.Service}
	if result.Fault != nil {
		observation.Failed = isUpstreamFailure(result.Fault.Code)
		observation.Service = 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tracker.Done(now, result.ID, observation)
	t.budget.Queue(now, result.Backlog)
}

func isUpstreamFailure(code fault.Code) bool {
	return code == fault.UpstreamFailed || code == fault.UpstreamCrashed || code == fault.Unavailable
}

func (t *searchPolicy) recordAbandoned(now time.Time, id uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tracker.Abandon(now, id)
}

// admit refuses the query by the expected completion time of its most loaded shard, where each shard counts with its
// least loaded replica.
func (t *searchPolicy) admit(now time.Time, caller string, plan snapshot.Plan, remaining time.Duration) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	var worst admission.Estimate
	for _, target := range plan.Targets {
		best := t.estimate(now, target.Upstreams[0])
		for _, u := range target.Upstreams[1:] {
			if other := t.estimate(now, u); other.Wait+other.Service < best.Wait+best.Service {
				best = other
			}
		}
		if best.Wait+best.Service > worst.Wait+worst.Service {
			worst = best
		}
	}
	return t.gate.Admit(caller, worst, remaining)
}

func (t *searchPolicy) estimate(now time.Time, u model.Upstream) admission.Estimate {
	c := t.candidate(u)
	return admission.Estimate{Wait: t.tracker.Wait(now, c), Service: t.tracker.ServiceTime(now, c)}
}

func (t *searchPolicy) release(caller string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.gate.Done(caller)
}
