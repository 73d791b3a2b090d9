package fanout_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"pgregory.net/rapid"

	"github.com/wisteriamux/wisteriamux/internal/fanout"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/model"
	"github.com/wisteriamux/wisteriamux/internal/snapshot"
)

const queryTimeout = 100 * time.Millisecond

var epoch = time.Unix(1_000, 0)

// mutant imitates a faulty machine by changing the events that go into a correct one or the outcome that it returns. A
// nil function changes nothing.
type mutant struct {
	event   func(sim *simulation, e fanout.Event) fanout.Event
	outcome func(o fanout.Outcome) fanout.Outcome
}

// simulation runs one query against random events and records what really happened.
type simulation struct {
	random  *rand.Rand
	mutant  mutant
	machine *fanout.Machine
	now     time.Time
	timerAt time.Time
	plan    snapshot.Plan
	// newest is the plan that Replan returns.
	newest snapshot.Plan
	rules  map[string]model.Rule
	lastID uint64
	sent   []fanout.Send
	// open holds the sub-requests that are neither answered nor cancelled.
	open map[uint64]fanout.Send
	// ran is set once an upstream may have run a sub-request.
	ran bool
	// replans counts the Replan actions that have not been answered.
	replans int
	outcome *fanout.Outcome
}

// The simulation is its own fanout.Policy, which decides at random.
func (sim *simulation) Choose(_ time.Time, replicas []model.Upstream) (model.Upstream, bool) {
	return replicas[sim.random.IntN(len(replicas))], true
}

func (sim *simulation) HedgeDelay(time.Time, model.Upstream) (time.Duration, bool) {
	return 10 * time.Millisecond, true
}

func (sim *simulation) AllowHedge(_ time.Time, replicas []model.Upstream) (model.Upstream, bool) {
	return replicas[0], sim.random.IntN(2) == 0
}

func (sim *simulation) AllowRetry(time.Time) bool { return sim.random.IntN(2) == 0 }

func randomPlan(random *rand.Rand, services int, version uint64) snapshot.Plan {
	plan := snapshot.Plan{Snapshot: model.Snapshot{Version: version, Generations: map[string]uint64{}}}
	for s := range services {
		service := fmt.Sprintf("s%d", s)
		plan.Snapshot.Generations[service] = version / 2
		for shard := range 1 + random.IntN(4) {
			target := snapshot.Target{Shard: model.ShardID{Service: service, Shard: shard}}
			for r := range random.IntN(4) {
				target.Upstreams = append(target.Upstreams, model.Upstream{Announcement: model.Announcement{
					Name: fmt.Sprintf("%s-%d-%d", service, shard, r), FailureDomain: fmt.Sprint(r % 2),
				}})
			}
			if len(target.Upstreams) == 0 {
				plan.Missing = append(plan.Missing, model.MissingShard{ShardID: target.Shard, Reason: snapshot.ReasonNoUpstream})
				continue
			}
			plan.Targets = append(plan.Targets, target)
		}
	}
	return plan
}

// runSimulation runs one query and returns an error that names the first violated invariant.
func runSimulation(seed uint64, m mutant) error {
	random := rand.New(rand.NewPCG(seed, 1))
	services := 1 + random.IntN(3)
	sim := &simulation{
		random: random, mutant: m, now: epoch, rules: map[string]model.Rule{}, open: map[uint64]fanout.Send{},
		plan: randomPlan(random, services, 4), newest: randomPlan(random, services, 4+uint64(random.IntN(3))),
	}
	for s := range services {
		service := fmt.Sprintf("s%d", s)
		sim.rules[service] = model.Rule{PartialAllowed: random.IntN(3) > 0, WaitShare: 0.5 + random.Float64()/2}
	}
	query := fanout.Query{Started: epoch, Deadline: epoch.Add(queryTimeout), Rules: sim.rules, NextID: func() uint64 { sim.lastID++; return sim.lastID }}
	sim.machine = fanout.New(query, sim.plan, sim)
	sim.apply(sim.machine.Start(sim.now))
	for step := 0; sim.outcome == nil; step++ {
		if step > 500 {
			return fmt.Errorf("query not finished after %d steps", step)
		}
		sim.step()
	}
	return sim.check()
}

func (sim *simulation) step() {
	if sim.random.IntN(3) == 0 {
		sim.now = sim.now.Add(time.Duration(sim.random.IntN(8)) * time.Millisecond)
	}
	if !sim.timerAt.IsZero() && (!sim.now.Before(sim.timerAt) || sim.random.IntN(8) == 0) {
		sim.now = slices.MaxFunc([]time.Time{sim.now, sim.timerAt}, time.Time.Compare)
		sim.timerAt = time.Time{}
		sim.feed(fanout.TimerFired{})
		return
	}
	switch draw := sim.random.IntN(40); {
	case draw == 0:
		sim.feed(fanout.CallerGone{})
	case draw == 1:
		sim.feed(fanout.Result{ID: 1_000_000, Version: 4, Generation: 2, Items: [][]byte{[]byte("foreign 1000000 s0/0@4/2")}})
	case draw < 5 && len(sim.sent) > 0:
		// Deliver a result for any sub-request ever sent, open or not: closed ones get a late or duplicate result.
		sim.deliver(sim.sent[sim.random.IntN(len(sim.sent))])
	case sim.replans > 0:
		sim.replans--
		sim.feed(fanout.Replanned{Plan: sim.newest})
	case len(sim.open) > 0:
		ids := make([]uint64, 0, len(sim.open))
		for id := range sim.open {
			ids = append(ids, id)
		}
		slices.Sort(ids)
		sim.deliver(sim.open[ids[sim.random.IntN(len(ids))]])
	}
}

func (sim *simulation) deliver(s fanout.Send) {
	_, open := sim.open[s.ID]
	delete(sim.open, s.ID)
	result := fanout.Result{ID: s.ID, Version: s.Version, Generation: s.Generation}
	switch draw := sim.random.IntN(20); {
	case draw < 5:
		result.Code = []fault.Code{fault.NotRun, fault.OverShare}[sim.random.IntN(2)]
	case draw < 7:
		result.Code = []fault.Code{fault.UpstreamFailed, fault.SnapshotRetired}[sim.random.IntN(2)]
	case draw == 7:
		result.Version += 2
	case draw == 8:
		sim.ran = true
		sim.feed(fanout.OwnerLost{IDs: []uint64{s.ID}})
		return
	}
	if result.Code == "" {
		for n := range sim.random.IntN(3) {
			item := fmt.Sprintf("own %d %s/%d@%d/%d item %d", s.ID, s.Shard.Service, s.Shard.Shard, result.Version, result.Generation, n)
			result.Items = append(result.Items, []byte(item))
		}
	}
	if open && result.Code != fault.NotRun && result.Code != fault.OverShare {
		sim.ran = true
	}
	sim.feed(result)
}

func (sim *simulation) feed(event fanout.Event) {
	if sim.mutant.event != nil {
		event = sim.mutant.event(sim, event)
	}
	sim.apply(sim.machine.Handle(sim.now, event))
}

func (sim *simulation) apply(actions []fanout.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case fanout.Send:
			sim.sent = append(sim.sent, a)
			sim.open[a.ID] = a
		case fanout.Cancel:
			sim.ran = true
			delete(sim.open, a.ID)
		case fanout.ArmTimer:
			sim.timerAt = a.At
		case fanout.Replan:
			sim.replans++
		case fanout.Finish:
			outcome := a.Outcome
			if sim.mutant.outcome != nil {
				outcome = sim.mutant.outcome(outcome)
			}
			sim.outcome = &outcome
		}
	}
}

// check returns an error that names the violated invariant:
//   - P1 SingleSnapshot: all items are of the snapshot that the outcome states.
//   - P2 TrueCoverage: the outcome states every shard of the plan once, as included or as missing with a reason, and
//     holds items of included shards only, each of them once. It is partial only if the rules allow it.
//   - P3 OwnAnswer: all items are results of the query's own sub-requests.
//   - P4 NotRunIsTrue: a query that is refused as not run was not run by any upstream.
func (sim *simulation) check() error {
	if len(sim.open) > 0 {
		return fmt.Errorf("%d sub-requests neither answered nor cancelled", len(sim.open))
	}
	for _, check := range []func() error{sim.singleSnapshot, sim.trueCoverage, sim.ownAnswer, sim.notRunIsTrue} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (sim *simulation) singleSnapshot() error {
	for _, item := range sim.outcome.Items {
		origin := strings.Fields(string(item))[2]
		service, _, _ := strings.Cut(origin, "/")
		wantSuffix := fmt.Sprintf("@%d/%d", sim.outcome.Snapshot.Version, sim.outcome.Snapshot.Generations[service])
		if !strings.HasSuffix(origin, wantSuffix) {
			return fmt.Errorf("P1 SingleSnapshot: item %q, want %s", item, wantSuffix)
		}
	}
	return nil
}

func (sim *simulation) trueCoverage() error {
	plan := sim.plan
	if sim.outcome.Restarted {
		plan = sim.newest
	}
	stated := map[model.ShardID]int{}
	for _, id := range sim.outcome.Coverage.Included {
		stated[id]++
	}
	for _, missing := range sim.outcome.Coverage.Missing {
		stated[missing.ShardID]++
		if missing.Reason == "" {
			return fmt.Errorf("P2 TrueCoverage: %v is missing without a reason", missing.ShardID)
		}
		if sim.outcome.Code == "" && !sim.rules[missing.Service].PartialAllowed {
			return fmt.Errorf("P2 TrueCoverage: partial response without %v, whose rule does not allow it", missing.ShardID)
		}
	}
	if len(stated) != len(plan.Targets)+len(plan.Missing) {
		return fmt.Errorf("P2 TrueCoverage: %d of %d shards stated", len(stated), len(plan.Targets)+len(plan.Missing))
	}
	for id, times := range stated {
		if times != 1 {
			return fmt.Errorf("P2 TrueCoverage: %v stated %d times", id, times)
		}
	}
	return sim.itemsOnce()
}

// itemsOnce checks that the items of each shard come from one result of one sub-request, that no item occurs twice, and
// that all of them are of included shards.
func (sim *simulation) itemsOnce() error {
	sources, seen := map[string]string{}, map[string]bool{}
	for _, item := range sim.outcome.Items {
		fields := strings.Fields(string(item))
		shard, _, _ := strings.Cut(fields[2], "@")
		if source, ok := sources[shard]; seen[string(item)] || (ok && source != fields[1]) {
			return fmt.Errorf("P2 TrueCoverage: duplicate item %q of shard %s", item, shard)
		}
		seen[string(item)] = true
		sources[shard] = fields[1]
	}
	for shard := range sources {
		if !slices.ContainsFunc(sim.outcome.Coverage.Included, func(id model.ShardID) bool {
			return fmt.Sprintf("%s/%d", id.Service, id.Shard) == shard
		}) {
			return fmt.Errorf("P2 TrueCoverage: items of shard %s, which is not included", shard)
		}
	}
	return nil
}

func (sim *simulation) ownAnswer() error {
	for _, item := range sim.outcome.Items {
		if !strings.HasPrefix(string(item), "own ") {
			return fmt.Errorf("P3 OwnAnswer: item %q is the result of another request", item)
		}
	}
	return nil
}

func (sim *simulation) notRunIsTrue() error {
	refused := sim.outcome.Code == fault.NotRun || sim.outcome.Code == fault.OverShare
	if refused && sim.ran {
		return fmt.Errorf("P4 NotRunIsTrue: outcome is %s although a sub-request may have run", sim.outcome.Code)
	}
	return nil
}

func simulationSeed(t *rapid.T) uint64 { return rapid.Uint64().Draw(t, "seed") }

func fixedRandom() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }
