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

const whole = 100 * time.Millisecond

var epoch = time.Unix(1_000, 0)

// mutant changes what goes into or comes out of the machine, as a faulty machine would behave.
type mutant struct {
	event   func(w *world, e fanout.Event) fanout.Event
	outcome func(o fanout.Outcome) fanout.Outcome
}

// world runs one query against random replies and records what really happened.
type world struct {
	random  *rand.Rand
	mutant  mutant
	machine *fanout.Machine
	now     time.Time
	wakeAt  time.Time
	plan    snapshot.Plan
	next    snapshot.Plan
	rules   map[string]model.Rule
	lastID  uint64
	sent    []fanout.Send
	open    map[uint64]fanout.Send
	ran     bool
	replans int
	outcome *fanout.Outcome
}

// The stub policy draws from the world's random source.
func (w *world) Choose(_ time.Time, replicas []model.Upstream) (model.Upstream, bool) {
	return replicas[w.random.IntN(len(replicas))], true
}

func (w *world) HedgeDelay(time.Time, model.Upstream) (time.Duration, bool) {
	return 10 * time.Millisecond, true
}

func (w *world) AllowHedge(_ time.Time, replicas []model.Upstream) (model.Upstream, bool) {
	return replicas[0], w.random.IntN(2) == 0
}

func (w *world) AllowRetry(time.Time) bool { return w.random.IntN(2) == 0 }

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

// runWorld returns the first violated invariant.
func runWorld(seed uint64, m mutant) error {
	random := rand.New(rand.NewPCG(seed, 1))
	services := 1 + random.IntN(3)
	w := &world{
		random: random, mutant: m, now: epoch, rules: map[string]model.Rule{}, open: map[uint64]fanout.Send{},
		plan: randomPlan(random, services, 4), next: randomPlan(random, services, 4+uint64(random.IntN(3))),
	}
	for s := range services {
		service := fmt.Sprintf("s%d", s)
		w.rules[service] = model.Rule{PartialAllowed: random.IntN(3) > 0, WaitShare: 0.5 + random.Float64()/2}
	}
	query := fanout.Query{Started: epoch, Deadline: epoch.Add(whole), Rules: w.rules, NextID: func() uint64 { w.lastID++; return w.lastID }}
	w.machine = fanout.New(query, w.plan, w)
	w.apply(w.machine.Start(w.now))
	for step := 0; w.outcome == nil; step++ {
		if step > 500 {
			return fmt.Errorf("no finish after %d steps", step)
		}
		w.step()
	}
	return w.check()
}

func (w *world) step() {
	if w.random.IntN(3) == 0 {
		w.now = w.now.Add(time.Duration(w.random.IntN(8)) * time.Millisecond)
	}
	if !w.wakeAt.IsZero() && (!w.now.Before(w.wakeAt) || w.random.IntN(8) == 0) {
		w.now = slices.MaxFunc([]time.Time{w.now, w.wakeAt}, time.Time.Compare)
		w.wakeAt = time.Time{}
		w.feed(fanout.TimerFired{})
		return
	}
	switch choice := w.random.IntN(40); {
	case choice == 0:
		w.feed(fanout.CallerGone{})
	case choice == 1:
		w.feed(fanout.Result{ID: 1_000_000, Version: 4, Generation: 2, Items: [][]byte{[]byte("foreign 1000000 s0/0@4/2")}})
	case choice < 5 && len(w.sent) > 0:
		// Late and duplicate results: any sub-request ever sent, whether open or not.
		w.deliver(w.sent[w.random.IntN(len(w.sent))])
	case w.replans > 0:
		w.replans--
		w.feed(fanout.Replanned{Plan: w.next})
	case len(w.open) > 0:
		ids := make([]uint64, 0, len(w.open))
		for id := range w.open {
			ids = append(ids, id)
		}
		slices.Sort(ids)
		w.deliver(w.open[ids[w.random.IntN(len(ids))]])
	}
}

func (w *world) deliver(s fanout.Send) {
	_, open := w.open[s.ID]
	delete(w.open, s.ID)
	result := fanout.Result{ID: s.ID, Version: s.Version, Generation: s.Generation}
	switch choice := w.random.IntN(20); {
	case choice < 5:
		result.Code = []fault.Code{fault.NotRun, fault.OverShare}[w.random.IntN(2)]
	case choice < 7:
		result.Code = []fault.Code{fault.UpstreamFailed, fault.SnapshotRetired}[w.random.IntN(2)]
	case choice == 7:
		result.Version += 2
	case choice == 8:
		w.ran = true
		w.feed(fanout.OwnerLost{IDs: []uint64{s.ID}})
		return
	}
	if result.Code == "" {
		for n := range w.random.IntN(3) {
			item := fmt.Sprintf("own %d %s/%d@%d/%d item %d", s.ID, s.Shard.Service, s.Shard.Shard, result.Version, result.Generation, n)
			result.Items = append(result.Items, []byte(item))
		}
	}
	if open && result.Code != fault.NotRun && result.Code != fault.OverShare {
		w.ran = true
	}
	w.feed(result)
}

func (w *world) feed(event fanout.Event) {
	if w.mutant.event != nil {
		event = w.mutant.event(w, event)
	}
	w.apply(w.machine.Handle(w.now, event))
}

func (w *world) apply(actions []fanout.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case fanout.Send:
			w.sent = append(w.sent, a)
			w.open[a.ID] = a
		case fanout.Cancel:
			w.ran = true
			delete(w.open, a.ID)
		case fanout.ArmTimer:
			w.wakeAt = a.At
		case fanout.Replan:
			w.replans++
		case fanout.Finish:
			outcome := a.Outcome
			if w.mutant.outcome != nil {
				outcome = w.mutant.outcome(outcome)
			}
			w.outcome = &outcome
		}
	}
}

// check returns an error that names the violated invariant.
func (w *world) check() error {
	if len(w.open) > 0 {
		return fmt.Errorf("%d sub-requests neither answered nor cancelled", len(w.open))
	}
	for _, check := range []func() error{w.singleSnapshot, w.trueCoverage, w.ownAnswer, w.notRunIsTrue} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) singleSnapshot() error {
	for _, item := range w.outcome.Items {
		at := strings.Fields(string(item))[2]
		service, _, _ := strings.Cut(at, "/")
		want := fmt.Sprintf("@%d/%d", w.outcome.Snapshot.Version, w.outcome.Snapshot.Generations[service])
		if !strings.HasSuffix(at, want) {
			return fmt.Errorf("P1 SingleSnapshot: item %q, want %s", item, want)
		}
	}
	return nil
}

func (w *world) trueCoverage() error {
	plan := w.plan
	if w.outcome.Restarted {
		plan = w.next
	}
	stated := map[model.ShardID]int{}
	for _, id := range w.outcome.Coverage.Included {
		stated[id]++
	}
	for _, missing := range w.outcome.Coverage.Missing {
		stated[missing.ShardID]++
		if missing.Reason == "" {
			return fmt.Errorf("P2 TrueCoverage: %v is missing without a reason", missing.ShardID)
		}
		if w.outcome.Code == "" && !w.rules[missing.Service].PartialAllowed {
			return fmt.Errorf("P2 TrueCoverage: partial answer without %v, which refuses it", missing.ShardID)
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
	return w.itemsOnce()
}

// itemsOnce checks that the items are those of one sub-result of each included shard, in order and once.
func (w *world) itemsOnce() error {
	sources, seen := map[string]string{}, map[string]bool{}
	for _, item := range w.outcome.Items {
		fields := strings.Fields(string(item))
		shard, _, _ := strings.Cut(fields[2], "@")
		if source, ok := sources[shard]; seen[string(item)] || (ok && source != fields[1]) {
			return fmt.Errorf("P2 TrueCoverage: item %q of shard %s twice", item, shard)
		}
		seen[string(item)] = true
		sources[shard] = fields[1]
	}
	for shard := range sources {
		if !slices.ContainsFunc(w.outcome.Coverage.Included, func(id model.ShardID) bool {
			return fmt.Sprintf("%s/%d", id.Service, id.Shard) == shard
		}) {
			return fmt.Errorf("P2 TrueCoverage: items of shard %s, which is not included", shard)
		}
	}
	return nil
}

func (w *world) ownAnswer() error {
	for _, item := range w.outcome.Items {
		if !strings.HasPrefix(string(item), "own ") {
			return fmt.Errorf("P3 OwnAnswer: item %q is of another request", item)
		}
	}
	return nil
}

func (w *world) notRunIsTrue() error {
	refused := w.outcome.Code == fault.NotRun || w.outcome.Code == fault.OverShare
	if refused && w.ran {
		return fmt.Errorf("P4 NotRunIsTrue: refused as %s although a sub-request may have run", w.outcome.Code)
	}
	return nil
}

func worldSeed(t *rapid.T) uint64 { return rapid.Uint64().Draw(t, "world") }

func fixedRandom() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }
