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
	It("holds P1, P2, P3 and P4 and always finishes, whatever the order of events", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			if err := runWorld(worldSeed(t), mutant{}); err != nil {
				t.Fatal(err)
			}
		})
	})

	// Each mutant is a fault that the named check must find; a check that misses it proves nothing.
	DescribeTable("has checks that find seeded faults", func(invariant string, m mutant) {
		found := func() string {
			for seed := range uint64(5_000) {
				if err := runWorld(seed, m); err != nil {
					return err.Error()
				}
			}
			return ""
		}
		Expect(found()).To(HavePrefix(invariant))
	},
		Entry("P1: a result of another snapshot is taken", "P1 SingleSnapshot", mutant{
			event: func(w *world, e fanout.Event) fanout.Event {
				if r, ok := e.(fanout.Result); ok {
					r.Version = w.plan.Snapshot.Version
					return r
				}
				return e
			},
		}),
		Entry("P2: a missing shard is not stated", "P2 TrueCoverage", mutant{
			outcome: func(o fanout.Outcome) fanout.Outcome {
				o.Coverage.Missing = nil
				return o
			},
		}),
		Entry("P3: a result is taken without its identifier", "P3 OwnAnswer", mutant{
			event: func(w *world, e fanout.Event) fanout.Event {
				if r, ok := e.(fanout.Result); ok && r.ID == 1_000_000 {
					r.ID = w.lastID
					delete(w.open, r.ID)
					return r
				}
				return e
			},
		}),
		Entry("P4: an incomplete query is refused as not run", "P4 NotRunIsTrue", mutant{
			outcome: func(o fanout.Outcome) fanout.Outcome {
				if o.Code == fault.Incomplete {
					o.Code = fault.NotRun
				}
				return o
			},
		}),
	)

	It("restarts once at a newer snapshot while half of the deadline is left, else states the retired shard", func() {
		Expect(retireAt(10 * time.Millisecond)).To(Equal([]any{fault.Code(""), uint64(6), 1, 0}))
		Expect(retireAt(60 * time.Millisecond)).To(Equal([]any{fault.Code(""), uint64(4), 1, 1}))
	})

	It("hedges to another failure domain and cancels the loser", func() {
		w := &world{now: epoch, random: fixedRandom(), open: map[uint64]fanout.Send{}, rules: partialRules()}
		w.machine = fanout.New(queryOf(w), plainPlan(4, 1, 2), &hedger{world: w})
		w.apply(w.machine.Start(w.now))
		w.now = w.wakeAt
		w.apply(w.machine.Handle(w.now, fanout.TimerFired{}))
		Expect(w.sent).To(HaveLen(2))
		Expect(w.sent[1].Upstream.FailureDomain).NotTo(Equal(w.sent[0].Upstream.FailureDomain))
		actions := w.machine.Handle(w.now, fanout.Result{ID: w.sent[1].ID, Version: 4, Generation: 2})
		Expect(actions[0]).To(Equal(fanout.Cancel{ID: w.sent[0].ID}))
	})
})

// hedger grants every hedge.
type hedger struct{ *world }

func (h *hedger) AllowHedge(_ time.Time, replicas []model.Upstream) (model.Upstream, bool) {
	return replicas[0], true
}

// retireAt answers the first of two shards, retires the second after the delay, and returns code, version, the number
// of included shards and the number of missing ones.
func retireAt(delay time.Duration) []any {
	w := &world{now: epoch, random: fixedRandom(), open: map[uint64]fanout.Send{}, rules: partialRules()}
	w.machine = fanout.New(queryOf(w), plainPlan(4, 2, 1), w)
	w.apply(w.machine.Start(w.now))
	w.now = epoch.Add(delay)
	w.feed(fanout.Result{ID: 1, Version: 4, Generation: 2})
	w.feed(fanout.Result{ID: 2, Code: fault.SnapshotRetired})
	if w.outcome == nil {
		w.feed(fanout.Replanned{Plan: plainPlan(6, 1, 1)})
		w.feed(fanout.Result{ID: 3, Version: 6, Generation: 3})
	}
	return []any{w.outcome.Code, w.outcome.Snapshot.Version, len(w.outcome.Coverage.Included), len(w.outcome.Coverage.Missing)}
}

func partialRules() map[string]model.Rule {
	return map[string]model.Rule{"s0": {PartialAllowed: true, WaitShare: 0.9}}
}

func queryOf(w *world) fanout.Query {
	return fanout.Query{Started: epoch, Deadline: epoch.Add(whole), Rules: w.rules, NextID: func() uint64 { w.lastID++; return w.lastID }}
}

func plainPlan(version uint64, shards, replicas int) snapshot.Plan {
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
