package planner_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/wisteriamux/wisteriamux/internal/model"
	"github.com/wisteriamux/wisteriamux/internal/planner"
	_ "github.com/wisteriamux/wisteriamux/internal/rapidseed"
)

func TestPlanner(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Planner")
}

func upstream(service string, shard, shards, replica int) model.Upstream {
	return model.Upstream{
		Announcement: model.Announcement{
			Name: fmt.Sprintf("%s-%d-%d", service, shard, replica), Service: service, Shard: shard, ShardCount: shards,
			FailureDomain: fmt.Sprintf("domain-%d", replica%3), Generation: 1, MinVersion: 1, MaxVersion: 1, Slots: 2,
		},
		State: model.UpstreamReady,
	}
}

func viewOf(services, shards, replicas int, rules ...model.Rule) model.View {
	view := model.View{Config: model.Configuration{Rules: rules}}
	for s := range services {
		for shard := range shards {
			for replica := range replicas {
				view.Upstreams = append(view.Upstreams, upstream(fmt.Sprintf("s%02d", s), shard, shards, replica))
			}
		}
	}
	return view
}

var policy = planner.Policy{Headroom: planner.DefaultHeadroom, WaveSize: planner.DefaultWaveSize}

// drain applies the actions to the view as the control group and the owners would, and completes drains at once.
func drain(view *model.View, actions []planner.Action) {
	for _, action := range actions {
		for i := range view.Upstreams {
			if view.Upstreams[i].Name != action.Upstream {
				continue
			}
			view.Upstreams[i].State = action.State
			if action.State == model.UpstreamDraining {
				view.Upstreams[i].State = model.UpstreamDrained
			}
		}
	}
}

func readyByShard(view model.View) map[model.ShardID]int {
	count := map[model.ShardID]int{}
	for _, upstream := range view.Upstreams {
		count[upstream.ShardID()] += 0
		if upstream.State == model.UpstreamReady {
			count[upstream.ShardID()]++
		}
	}
	return count
}

var _ = Describe("PlanDrain", func() {
	It("drains half of every service and keeps each shard covered", func() {
		plan := planner.PlanDrain(viewOf(50, 1, 2), planner.Scope{Fraction: 0.5}, nil, policy)
		Expect(plan.Steps).To(HaveLen(50))
		Expect(plan.Refusals).To(BeEmpty())
	})

	It("refuses to drain the last replica of a shard, and names the coverage rule", func() {
		plan := planner.PlanDrain(viewOf(1, 2, 1), planner.Scope{}, nil, policy)
		Expect(plan.Steps).To(BeEmpty())
		Expect(plan.Refusals).To(HaveLen(2))
		Expect(plan.Refusals[0].Reason).To(Equal(planner.ReasonCoverage))
	})

	It("refuses to drain more than max_shrink of a service", func() {
		rule := model.Rule{Service: "*", NeverLoseCoverage: true, MaxShrink: 0.25}
		plan := planner.PlanDrain(viewOf(1, 1, 4, rule), planner.Scope{}, nil, policy)
		Expect(plan.Steps).To(HaveLen(1))
		Expect(plan.Refusals[0].Reason).To(Equal(planner.ReasonMaxShrink))
	})

	It("refuses to leave fewer slots than the demand times the headroom", func() {
		plan := planner.PlanDrain(viewOf(1, 1, 2), planner.Scope{Fraction: 0.5}, planner.Demand{"s00": 1}, policy)
		Expect(plan.Steps).To(BeEmpty())
		Expect(plan.Refusals[0].Reason).To(Equal(planner.ReasonCapacity))
	})

	It("reports a mistyped upstream name as unknown instead of ignoring it", func() {
		plan := planner.PlanDrain(viewOf(1, 1, 2), planner.Scope{Upstreams: []string{"s00-0-9"}}, nil, policy)
		Expect(plan.Refusals).To(ConsistOf(HaveField("Reason", planner.ReasonUnknown)))
	})

	It("never drains more upstreams at once than the wave size and never loses the last ready upstream of a shard", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			view := viewOf(rapid.IntRange(1, 4).Draw(t, "services"), rapid.IntRange(1, 3).Draw(t, "shards"),
				rapid.IntRange(1, 4).Draw(t, "replicas"),
				model.Rule{Service: "*", NeverLoseCoverage: true, MaxShrink: rapid.Float64Range(0, 1).Draw(t, "shrink")})
			scope := planner.Scope{Fraction: rapid.Float64Range(0, 1).Draw(t, "fraction")}
			smallWaves := planner.Policy{Headroom: 1, WaveSize: rapid.IntRange(1, 3).Draw(t, "wave size")}
			execution := planner.Execution{Plan: planner.PlanDrain(view, scope, nil, smallWaves), Status: planner.StatusRunning}
			for range 100 {
				var actions []planner.Action
				execution, actions = planner.Next(execution, view, 0, planner.DefaultLimits(), 0)
				if len(actions) > smallWaves.WaveSize {
					t.Fatalf("%d upstreams drain at once, the wave size is %d", len(actions), smallWaves.WaveSize)
				}
				drain(&view, actions)
				for shard, count := range readyByShard(view) {
					if count == 0 {
						t.Fatalf("shard %v lost its last ready upstream", shard)
					}
				}
			}
			if execution.Status != planner.StatusDone {
				t.Fatalf("execution finished with status %s", execution.Status)
			}
		})
	})
})

var _ = Describe("Next", func() {
	var view model.View
	var execution planner.Execution
	limits := planner.DefaultLimits()

	BeforeEach(func() {
		view = viewOf(40, 1, 2)
		execution = planner.Execution{Plan: planner.PlanDrain(view, planner.Scope{Fraction: 0.5}, nil, policy), Status: planner.StatusRunning}
	})

	step := func(burnRate float64, now int64) {
		var actions []planner.Action
		execution, actions = planner.Next(execution, view, burnRate, limits, now)
		drain(&view, actions)
	}

	It("pauses when the burn rate rises, resumes when it falls, and reverses when it stays high", func() {
		step(0, 0)
		step(3, 1_000)
		Expect(execution.Status).To(Equal(planner.StatusPaused))
		step(1.5, 2_000)
		Expect(execution.Status).To(Equal(planner.StatusPaused), "a rate between the limits must not resume the execution")
		step(0.5, 3_000)
		Expect(execution.Status).To(Equal(planner.StatusRunning))
		step(3, 4_000)
		step(3, 4_000+limits.ReverseAfter.Milliseconds())
		Expect(execution.Status).To(Equal(planner.StatusReversing))
		step(3, 40_000)
		Expect(execution.Status).To(Equal(planner.StatusUndone))
		for _, count := range readyByShard(view) {
			Expect(count).To(Equal(2), "all upstreams must be ready again")
		}
	})

	It("does not resume an execution that an operator paused", func() {
		execution = planner.Pause(execution, 0)
		step(0, 1_000)
		Expect(execution.Status).To(Equal(planner.StatusPaused))
		execution = planner.Resume(execution, 2_000)
		step(0, 3_000)
		Expect(execution.Status).To(Equal(planner.StatusRunning))
	})

	It("pauses instead of draining the last ready replica after another one was lost", func() {
		planned := execution.Plan.Steps[0]
		for i := range view.Upstreams {
			if view.Upstreams[i].ShardID() == planned.Shard && view.Upstreams[i].Name != planned.Upstream {
				view.Upstreams[i].State = model.UpstreamLost
			}
		}
		step(0, 0)
		Expect(execution.Status).To(Equal(planner.StatusPaused))
		Expect(execution.Reason).To(ContainSubstring("last ready upstream"))
	})
})
