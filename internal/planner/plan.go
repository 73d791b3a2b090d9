// Package planner decides which upstreams may leave, in which order, and explains each refusal by the rule behind it.
// It is pure: the view and the measured demand are arguments.
package planner

import (
	"fmt"
	"math"
	"path"
	"sort"

	"github.com/wisteriamux/wisteriamux/internal/model"
)

// Scope selects the upstreams that an operator wants to drain. The set fields restrict each other.
type Scope struct {
	// Upstreams are names; empty selects all.
	Upstreams []string `json:"upstreams,omitempty"`
	// Services are names or path.Match patterns; empty selects all.
	Services []string `json:"services,omitempty"`
	// FailureDomain selects one failure domain; empty selects all.
	FailureDomain string `json:"failure_domain,omitempty"`
	// Fraction is the share of each selected service's upstreams to drain; 0 means all that are selected.
	Fraction float64 `json:"fraction,omitempty"`
}

// Demand is the measured mean number of busy slots of each service.
type Demand map[string]float64

// Policy holds the limits that no rule of a service overrides.
type Policy struct {
	// Headroom is the multiple of the measured demand that the remaining slots must carry, to absorb a load spike.
	Headroom float64
	// WaveSize is the largest number of upstreams that drain at the same time.
	WaveSize int
}

// Defaults of Policy. The spike of the service-level targets is 3 to 5 times the base rate.
const (
	DefaultHeadroom = 3.0
	DefaultWaveSize = 16
)

// Reason names the rule behind a refusal.
type Reason string

// The reasons of a refusal.
const (
	ReasonUnknown   Reason = "unknown_upstream"
	ReasonNotReady  Reason = "not_ready"
	ReasonCoverage  Reason = "never_lose_coverage"
	ReasonMaxShrink Reason = "max_shrink"
	ReasonCapacity  Reason = "capacity"
)

// Step drains one upstream. Steps of a wave run at the same time.
type Step struct {
	Wave     int           `json:"wave"`
	Upstream string        `json:"upstream"`
	Shard    model.ShardID `json:"shard"`
}

// Refusal is an upstream that may not leave.
type Refusal struct {
	Upstream string `json:"upstream"`
	Reason   Reason `json:"reason"`
	Detail   string `json:"detail"`
}

// Plan is an ordered drain with the refusals.
type Plan struct {
	Steps    []Step    `json:"steps"`
	Refusals []Refusal `json:"refusals"`
}

// Waves returns the number of waves.
func (p Plan) Waves() int {
	if len(p.Steps) == 0 {
		return 0
	}
	return p.Steps[len(p.Steps)-1].Wave + 1
}

// PlanDrain plans the drain of the scope.
func PlanDrain(view model.View, scope Scope, demand Demand, policy Policy) Plan {
	remaining := newRemaining(view, demand, policy)
	var plan Plan
	for _, name := range scope.Upstreams {
		if _, known := remaining.byName[name]; !known {
			plan.Refusals = append(plan.Refusals, Refusal{name, ReasonUnknown, "no upstream of this name is announced"})
		}
	}
	for _, service := range remaining.services {
		chosen, refused := remaining.choose(service, scope)
		plan.Steps = append(plan.Steps, chosen...)
		plan.Refusals = append(plan.Refusals, refused...)
	}
	assignWaves(plan.Steps, policy.WaveSize)
	return plan
}

// remaining tracks which upstreams are still ready while a plan grows.
type remaining struct {
	config   model.Configuration
	demand   Demand
	policy   Policy
	services []string
	all      map[string][]model.Upstream
	byName   map[string]model.Upstream
	ready    map[string]bool
}

func newRemaining(view model.View, demand Demand, policy Policy) *remaining {
	r := &remaining{
		config: view.Config,
		demand: demand,
		policy: policy,
		all:    map[string][]model.Upstream{},
		byName: map[string]model.Upstream{},
		ready:  map[string]bool{},
	}
	for _, upstream := range view.Upstreams {
		if _, seen := r.all[upstream.Service]; !seen {
			r.services = append(r.services, upstream.Service)
		}
		r.all[upstream.Service] = append(r.all[upstream.Service], upstream)
		r.byName[upstream.Name] = upstream
		r.ready[upstream.Name] = upstream.State == model.UpstreamReady
	}
	sort.Strings(r.services)
	return r
}

// choose plans the steps of one service. Without a fraction every selected upstream is tried; with a fraction the
// upstreams whose loss hurts least go first, until the count is reached.
func (r *remaining) choose(service string, scope Scope) (steps []Step, refusals []Refusal) {
	candidates := r.selected(service, scope)
	wanted := len(candidates)
	if scope.Fraction > 0 {
		wanted = min(wanted, int(math.Floor(scope.Fraction*float64(len(r.all[service]))+roundingSlack)))
		wanted = max(0, wanted-r.leaving(service))
	}
	for len(steps) < wanted && len(candidates) > 0 {
		next := r.leastHarmful(candidates)
		upstream := candidates[next]
		candidates = append(candidates[:next], candidates[next+1:]...)
		if refusal := r.check(upstream); refusal != nil {
			refusals = append(refusals, *refusal)
			continue
		}
		r.ready[upstream.Name] = false
		steps = append(steps, Step{Upstream: upstream.Name, Shard: upstream.ShardID()})
	}
	return steps, refusals
}

// roundingSlack keeps a fraction such as 0.29 of 100 from losing an upstream to binary rounding.
const roundingSlack = 1e-9

func (r *remaining) selected(service string, scope Scope) []model.Upstream {
	var selected []model.Upstream
	for _, upstream := range r.all[service] {
		if scope.includes(upstream) {
			selected = append(selected, upstream)
		}
	}
	return selected
}

func (s Scope) includes(upstream model.Upstream) bool {
	if s.FailureDomain != "" && upstream.FailureDomain != s.FailureDomain {
		return false
	}
	return matches(s.Upstreams, upstream.Name) && matches(s.Services, upstream.Service)
}

func matches(patterns []string, name string) bool {
	for _, pattern := range patterns {
		if ok, err := path.Match(pattern, name); err == nil && ok {
			return true
		}
	}
	return len(patterns) == 0
}

// leaving counts the upstreams of the service that are on their way out or gone already.
func (r *remaining) leaving(service string) int {
	count := 0
	for _, upstream := range r.all[service] {
		if !r.ready[upstream.Name] {
			count++
		}
	}
	return count
}

// leastHarmful returns the index of the candidate whose shard keeps the most replicas, and among these the one in the
// failure domain that keeps the most.
func (r *remaining) leastHarmful(candidates []model.Upstream) int {
	best, bestShard, bestDomain := 0, -1, -1
	for i, candidate := range candidates {
		inShard, inDomain := 0, 0
		for _, other := range r.all[candidate.Service] {
			if !r.ready[other.Name] || other.Name == candidate.Name {
				continue
			}
			if other.ShardID() == candidate.ShardID() {
				inShard++
			}
			if other.FailureDomain == candidate.FailureDomain {
				inDomain++
			}
		}
		if inShard > bestShard || (inShard == bestShard && inDomain > bestDomain) {
			best, bestShard, bestDomain = i, inShard, inDomain
		}
	}
	return best
}

// check returns why the upstream may not leave, or nil.
func (r *remaining) check(upstream model.Upstream) *Refusal {
	rule := r.config.RuleFor(upstream.Service)
	refuse := func(reason Reason, format string, args ...any) *Refusal {
		return &Refusal{Upstream: upstream.Name, Reason: reason, Detail: fmt.Sprintf(format, args...)}
	}
	if !r.ready[upstream.Name] {
		return refuse(ReasonNotReady, "state is %s", upstream.State)
	}
	shardReplicas, slots, total := 0, 0, len(r.all[upstream.Service])
	for _, other := range r.all[upstream.Service] {
		if !r.ready[other.Name] || other.Name == upstream.Name {
			continue
		}
		slots += other.Slots
		if serves(other, upstream) {
			shardReplicas++
		}
	}
	if rule.NeverLoseCoverage && shardReplicas == 0 {
		return refuse(ReasonCoverage, "shard %d of %s would have no ready upstream", upstream.Shard, upstream.Service)
	}
	gone := r.leaving(upstream.Service) + 1
	if float64(gone) > rule.MaxShrink*float64(total)+roundingSlack {
		return refuse(ReasonMaxShrink, "%d of %d upstreams of %s would be gone, at most %.0f%% may", gone, total,
			upstream.Service, rule.MaxShrink*100)
	}
	needed := r.demand[upstream.Service] * r.policy.Headroom
	if float64(slots) < needed {
		return refuse(ReasonCapacity, "%d slots of %s would remain, %.1f are needed (demand %.1f, headroom %.1f)", slots,
			upstream.Service, needed, r.demand[upstream.Service], r.policy.Headroom)
	}
	return nil
}

// serves reports whether other can stand in for the upstream's shard on the newest version that the upstream serves.
func serves(other, upstream model.Upstream) bool {
	return other.ShardID() == upstream.ShardID() && other.Generation == upstream.Generation &&
		other.MinVersion <= upstream.MaxVersion && upstream.MaxVersion <= other.MaxVersion
}

// assignWaves spreads the steps over waves so that no wave drains two upstreams of a shard or more than size.
func assignWaves(steps []Step, size int) {
	sort.SliceStable(steps, func(i, j int) bool { return steps[i].Upstream < steps[j].Upstream })
	used := map[model.ShardID]int{}
	filled := map[int]int{}
	for i := range steps {
		wave := used[steps[i].Shard]
		for size > 0 && filled[wave] >= size {
			wave++
		}
		steps[i].Wave = wave
		filled[wave]++
		used[steps[i].Shard] = wave + 1
	}
	sort.SliceStable(steps, func(i, j int) bool { return steps[i].Wave < steps[j].Wave })
}
