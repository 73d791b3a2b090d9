// Package planner decides which upstreams may be drained and in which order, and names the rule behind each refusal. It
// performs no I/O: the view and the measured demand are arguments.
package planner

import (
	"fmt"
	"math"
	"path"
	"sort"

	"github.com/wisteriamux/wisteriamux/internal/model"
)

// Scope selects the upstreams that an operator wants to drain. An upstream must match all fields that are set.
type Scope struct {
	// Upstreams are names; empty selects all.
	Upstreams []string `json:"upstreams,omitempty"`
	// Services are names or path.Match patterns; empty selects all.
	Services []string `json:"services,omitempty"`
	// FailureDomain selects one failure domain; empty selects all.
	FailureDomain string `json:"failure_domain,omitempty"`
	// Fraction is the share of the upstreams of each selected service to drain; 0 drains all selected upstreams.
	Fraction float64 `json:"fraction,omitempty"`
}

// Demand is the measured mean number of busy slots of each service.
type Demand map[string]float64

// Policy holds limits that the rules of a service do not override.
type Policy struct {
	// Headroom is the multiple of the measured demand that the remaining slots must be able to serve, to absorb a load
	// spike.
	Headroom float64
	// WaveSize is the largest number of upstreams that drain at the same time.
	WaveSize int
}

// Defaults of Policy. The load spike in the service-level targets is 3 to 5 times the base rate.
const (
	DefaultHeadroom = 3.0
	DefaultWaveSize = 16
)

// Reason identifies the rule behind a refusal.
type Reason string

// The reasons for a refusal.
const (
	ReasonUnknown   Reason = "unknown_upstream"
	ReasonNotReady  Reason = "not_ready"
	ReasonCoverage  Reason = "never_lose_coverage"
	ReasonMaxShrink Reason = "max_shrink"
	ReasonCapacity  Reason = "capacity"
)

// Step drains one upstream. All steps of a wave run at the same time.
type Step struct {
	Wave     int           `json:"wave"`
	Upstream string        `json:"upstream"`
	Shard    model.ShardID `json:"shard"`
}

// Refusal is an upstream that may not be drained.
type Refusal struct {
	Upstream string `json:"upstream"`
	Reason   Reason `json:"reason"`
	Detail   string `json:"detail"`
}

// Plan holds the steps of a drain, ordered by wave, and the refusals.
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

// PlanDrain returns the plan to drain the upstreams in scope.
func PlanDrain(view model.View, scope Scope, demand Demand, policy Policy) Plan {
	d := newDrainPlanner(view, demand, policy)
	var plan Plan
	for _, name := range scope.Upstreams {
		if _, known := d.byName[name]; !known {
			plan.Refusals = append(plan.Refusals, Refusal{name, ReasonUnknown, "no upstream of this name is announced"})
		}
	}
	for _, service := range d.services {
		steps, refusals := d.planService(service, scope)
		plan.Steps = append(plan.Steps, steps...)
		plan.Refusals = append(plan.Refusals, refusals...)
	}
	assignWaves(plan.Steps, policy.WaveSize)
	return plan
}

// drainPlanner tracks which upstreams would still be ready after the steps that are planned so far.
type drainPlanner struct {
	config   model.Configuration
	demand   Demand
	policy   Policy
	services []string
	// byService and byName hold all upstreams by service and by name.
	byService map[string][]model.Upstream
	byName    map[string]model.Upstream
	// ready holds by name whether an upstream would still be ready.
	ready map[string]bool
}

func newDrainPlanner(view model.View, demand Demand, policy Policy) *drainPlanner {
	d := &drainPlanner{
		config:    view.Config,
		demand:    demand,
		policy:    policy,
		byService: map[string][]model.Upstream{},
		byName:    map[string]model.Upstream{},
		ready:     map[string]bool{},
	}
	for _, upstream := range view.Upstreams {
		if _, seen := d.byService[upstream.Service]; !seen {
			d.services = append(d.services, upstream.Service)
		}
		d.byService[upstream.Service] = append(d.byService[upstream.Service], upstream)
		d.byName[upstream.Name] = upstream
		d.ready[upstream.Name] = upstream.State == model.UpstreamReady
	}
	sort.Strings(d.services)
	return d
}

// planService plans the steps of one service, beginning with the upstreams whose loss costs the least redundancy. With
// a fraction it stops when that share of the service is drained; otherwise it tries every selected upstream.
func (d *drainPlanner) planService(service string, scope Scope) (steps []Step, refusals []Refusal) {
	candidates := d.selectedUpstreams(service, scope)
	target := len(candidates)
	if scope.Fraction > 0 {
		target = min(target, int(math.Floor(scope.Fraction*float64(len(d.byService[service]))+roundingTolerance)))
		target = max(0, target-d.countNotReady(service))
	}
	for len(steps) < target && len(candidates) > 0 {
		next := d.leastHarmful(candidates)
		upstream := candidates[next]
		candidates = append(candidates[:next], candidates[next+1:]...)
		if refusal := d.refusalFor(upstream); refusal != nil {
			refusals = append(refusals, *refusal)
			continue
		}
		d.ready[upstream.Name] = false
		steps = append(steps, Step{Upstream: upstream.Name, Shard: upstream.ShardID()})
	}
	return steps, refusals
}

// roundingTolerance prevents an off-by-one error from binary rounding, for example for a fraction of 0.29 of 100
// upstreams.
const roundingTolerance = 1e-9

func (d *drainPlanner) selectedUpstreams(service string, scope Scope) []model.Upstream {
	var selectedUpstreams []model.Upstream
	for _, upstream := range d.byService[service] {
		if scope.includes(upstream) {
			selectedUpstreams = append(selectedUpstreams, upstream)
		}
	}
	return selectedUpstreams
}

func (s Scope) includes(upstream model.Upstream) bool {
	if s.FailureDomain != "" && upstream.FailureDomain != s.FailureDomain {
		return false
	}
	return matchesAny(s.Upstreams, upstream.Name) && matchesAny(s.Services, upstream.Service)
}

func matchesAny(patterns []string, name string) bool {
	for _, pattern := range patterns {
		if ok, err := path.Match(pattern, name); err == nil && ok {
			return true
		}
	}
	return len(patterns) == 0
}

// countNotReady returns the number of upstreams of the service that are not ready, including those planned to drain.
func (d *drainPlanner) countNotReady(service string) int {
	notReady := 0
	for _, upstream := range d.byService[service] {
		if !d.ready[upstream.Name] {
			notReady++
		}
	}
	return notReady
}

// leastHarmful returns the index of the candidate whose shard keeps the most ready replicas without it. Ties are
// decided by the number of ready upstreams of the service that its failure domain keeps.
func (d *drainPlanner) leastHarmful(candidates []model.Upstream) int {
	best, bestShard, bestDomain := 0, -1, -1
	for i, candidate := range candidates {
		inShard, inDomain := 0, 0
		for _, other := range d.byService[candidate.Service] {
			if !d.ready[other.Name] || other.Name == candidate.Name {
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

// refusalFor returns the reason why the upstream may not be drained, or nil if it may.
func (d *drainPlanner) refusalFor(upstream model.Upstream) *Refusal {
	rule := d.config.RuleFor(upstream.Service)
	refuse := func(reason Reason, format string, args ...any) *Refusal {
		return &Refusal{Upstream: upstream.Name, Reason: reason, Detail: fmt.Sprintf(format, args...)}
	}
	if !d.ready[upstream.Name] {
		return refuse(ReasonNotReady, "state is %s", upstream.State)
	}
	shardReplicas, slots, total := 0, 0, len(d.byService[upstream.Service])
	for _, other := range d.byService[upstream.Service] {
		if !d.ready[other.Name] || other.Name == upstream.Name {
			continue
		}
		slots += other.Slots
		if canReplace(other, upstream) {
			shardReplicas++
		}
	}
	if rule.NeverLoseCoverage && shardReplicas == 0 {
		return refuse(ReasonCoverage, "shard %d of %s would have no ready upstream", upstream.Shard, upstream.Service)
	}
	notReady := d.countNotReady(upstream.Service) + 1
	if float64(notReady) > rule.MaxShrink*float64(total)+roundingTolerance {
		return refuse(ReasonMaxShrink, "%d of %d upstreams of %s would not be ready, the limit is %.0f%%", notReady, total,
			upstream.Service, rule.MaxShrink*100)
	}
	needed := d.demand[upstream.Service] * d.policy.Headroom
	if float64(slots) < needed {
		return refuse(ReasonCapacity, "%d slots of %s would remain, %.1f are needed (demand %.1f, headroom %.1f)", slots,
			upstream.Service, needed, d.demand[upstream.Service], d.policy.Headroom)
	}
	return nil
}

// canReplace reports whether other serves the upstream's shard at the newest index version that the upstream serves.
func canReplace(other, upstream model.Upstream) bool {
	return other.ShardID() == upstream.ShardID() && other.Generation == upstream.Generation &&
		other.MinVersion <= upstream.MaxVersion && upstream.MaxVersion <= other.MaxVersion
}

// assignWaves assigns the steps to waves so that no wave drains two upstreams of one shard, or more than size upstreams
// if size is positive.
func assignWaves(steps []Step, size int) {
	sort.SliceStable(steps, func(i, j int) bool { return steps[i].Upstream < steps[j].Upstream })
	nextWave := map[model.ShardID]int{}
	waveSizes := map[int]int{}
	for i := range steps {
		wave := nextWave[steps[i].Shard]
		for size > 0 && waveSizes[wave] >= size {
			wave++
		}
		steps[i].Wave = wave
		waveSizes[wave]++
		nextWave[steps[i].Shard] = wave + 1
	}
	sort.SliceStable(steps, func(i, j int) bool { return steps[i].Wave < steps[j].Wave })
}
