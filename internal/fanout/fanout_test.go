package fanout_test

import (
	"flag"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/wisteriamux/wisteriamux/internal/fanout"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/model"
	_ "github.com/wisteriamux/wisteriamux/internal/rapidseed"
	"github.com/wisteriamux/wisteriamux/internal/snapshot"
)

func TestFanout(t *testing.T) {
	_ = flag.Set("rapid.checks", "20000")
	RegisterFailHandler(Fail)
	RunSpecs(t, "Fanout")
}

var _ = Describe("Machine", func() {
	It("satisfies the invariants P1 to P4 and always finishes, whatever the order of events", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			if err := runSimulation(simulationSeed(t), mutant{}); err != nil {
				t.Fatal(err)
			}
		})
	})

	// Each mutant violates one invariant, and the check of that invariant must detect it.
	DescribeTable("violates an invariant when it is mutated", func(invariant string, m mutant) {
		violation := func() string {
			for seed := range uint64(5_000) {
				if err := runSimulation(seed, m); err != nil {
					return err.Error()
				}
			}
			return ""
		}
		Expect(violation()).To(HavePrefix(invariant))
	},
		Entry("P1: accepts a result of another snapshot", "P1 SingleSnapshot", mutant{
			event: func(sim *simulation, e fanout.Event) fanout.Event {
				if r, ok := e.(fanout.Result); ok {
					r.Version = sim.plan.Snapshot.Version
					return r
				}
				return e
			},
		}),
		Entry("P2: does not report a missing shard", "P2 TrueCoverage", mutant{
			outcome: func(o fanout.Outcome) fanout.Outcome {
				o.Coverage.Missing = nil
				return o
			},
		}),
		Entry("P3: accepts a result with a foreign ID", "P3 OwnAnswer", mutant{
			event: func(sim *simulation, e fanout.Event) fanout.Event {
				if r, ok := e.(fanout.Result); ok && r.ID == 1_000_000 {
					r.ID = sim.lastID
					delete(sim.open, r.ID)
					return r
				}
				return e
			},
		}),
		Entry("P4: reports an incomplete query as not run", "P4 NotRunIsTrue", mutant{
			outcome: func(o fanout.Outcome) fanout.Outcome {
				if o.Code == fault.Incomplete {
					o.Code = fault.NotRun
				}
				return o
			},
		}),
	)

	It("restarts at a newer snapshot while half of the timeout is left, and otherwise reports the retired shard as missing", func() {
		Expect(retireAt(10 * time.Millisecond)).To(Equal([]any{fault.Code(""), uint64(6), 1, 0}))
		Expect(retireAt(60 * time.Millisecond)).To(Equal([]any{fault.Code(""), uint64(4), 1, 1}))
	})

	It("hedges to another failure domain and cancels the slower attempt", func() {
		sim := &simulation{now: epoch, random: fixedRandom(), open: map[uint64]fanout.Send{}, rules: partialAllowed()}
		sim.machine = fanout.New(queryOf(sim), newPlan(4, 1, 2), &alwaysHedge{simulation: sim})
		sim.apply(sim.machine.Start(sim.now))
		sim.now = sim.timerAt
		sim.apply(sim.machine.Handle(sim.now, fanout.TimerFired{}))
		Expect(sim.sent).To(HaveLen(2))
		Expect(sim.sent[1].Upstream.FailureDomain).NotTo(Equal(sim.sent[0].Upstream.FailureDomain))
		actions := sim.machine.Handle(sim.now, fanout.Result{ID: sim.sent[1].ID, Version: 4, Generation: 2})
		Expect(actions[0]).To(Equal(fanout.Cancel{ID: sim.sent[0].ID}))
	})
})

// alwaysHedge is a policy that allows every hedge.
type alwaysHedge struct{ *simulation }

func (p *alwaysHedge) AllowHedge(_ time.Time, replicas []model.Upstream) (model.Upstream, bool) {
	return replicas[0], true
}

// retireAt runs a query over two shards. After the delay the first one returns its result and the second one reports
// that the snapshot is retired. It returns the code, the version, and the numbers of included and missing shards.
func retireAt(delay time.Duration) []any {
	sim := &simulation{now: epoch, random: fixedRandom(), open: map[uint64]fanout.Send{}, rules: partialAllowed()}
	sim.machine = fanout.New(queryOf(sim), newPlan(4, 2, 1), sim)
	sim.apply(sim.machine.Start(sim.now))
	sim.now = epoch.Add(delay)
	sim.feed(fanout.Result{ID: 1, Version: 4, Generation: 2})
	sim.feed(fanout.Result{ID: 2, Code: fault.SnapshotRetired})
	if sim.outcome == nil {
		sim.feed(fanout.Replanned{Plan: newPlan(6, 1, 1)})
		sim.feed(fanout.Result{ID: 3, Version: 6, Generation: 3})
	}
	return []any{sim.outcome.Code, sim.outcome.Snapshot.Version, len(sim.outcome.Coverage.Included), len(sim.outcome.Coverage.Missing)}
}

func partialAllowed() map[string]model.Rule {
	return map[string]model.Rule{"s0": {PartialAllowed: true, WaitShare: 0.9}}
}

func queryOf(sim *simulation) fanout.Query {
	return fanout.Query{Started: epoch, Deadline: epoch.Add(queryTimeout), Rules: sim.rules, NextID: func() uint64 { sim.lastID++; return sim.lastID }}
}

func newPlan(version uint64, shards, replicas int) snapshot.Plan {
	plan := snapshot.Plan{Snapshot: model.Snapshot{Version: version, Generations: map[string]uint64{"s0": version / 2}}}
	for shard := range shards {
		target := snapshot.Target{Shard: model.ShardID{Service: "s0", Shard: shard}}
		for r := range replicas {
			target.Upstreams = append(target.Upstreams, model.Upstream{Announcement: model.Announcement{
				Name: string(rune('a' + r)), FailureDomain: string(rune('x' + r)),
			}})
		}
		plan.Targets = append(plan.Targets, target)
	}
	return plan
}
