package balance_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/wisteriamux/wisteriamux/internal/balance"
	_ "github.com/wisteriamux/wisteriamux/internal/rapidseed"
)

func TestBalance(t *testing.T) {
	_ = flag.Set("rapid.checks", "25")
	RegisterFailHandler(Fail)
	RunSpecs(t, "Balance")
}

// bench sends one request at a time and counts the choices per replica.
type bench struct {
	tracker *balance.Tracker
	now     time.Time
	id      uint64
	service map[string]time.Duration
}

func newBench(policy balance.Policy, seed uint64) *bench {
	return &bench{tracker: balance.New(policy, seed), now: time.Unix(1_000, 0), service: map[string]time.Duration{}}
}

func replicas(n int) []balance.Candidate {
	var all []balance.Candidate
	for i := range n {
		all = append(all, balance.Candidate{Name: fmt.Sprintf("r%d", i), Service: "s", Slots: 2, Owned: true})
	}
	return all
}

func (b *bench) run(count int, all []balance.Candidate) map[string]int {
	chosen := map[string]int{}
	for range count {
		c, _ := b.tracker.Choose(b.now, all)
		chosen[c.Name]++
		b.id++
		b.tracker.Sent(b.now, b.id, c)
		b.now = b.now.Add(b.service[c.Name])
		b.tracker.Done(b.now, b.id, balance.Observation{Service: b.service[c.Name]})
		b.now = b.now.Add(2 * time.Millisecond)
	}
	return chosen
}

var _ = Describe("Tracker", func() {
	It("avoids a slow replica with few probes and returns to it after recovery", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			all := replicas(rapid.IntRange(2, 5).Draw(t, "replicas"))
			b := newBench(balance.Observed, rapid.Uint64().Draw(t, "seed"))
			for _, c := range all {
				b.service[c.Name] = 4 * time.Millisecond
			}
			b.run(1_000, all)
			b.service["r0"] = 40 * time.Millisecond
			b.run(500, all)
			if slow := b.run(1_000, all)["r0"]; slow > 40 {
				t.Fatalf("slow replica chosen %d times of 1000", slow)
			}
			b.service["r0"] = 4 * time.Millisecond
			b.run(1_500, all)
			if back := b.run(1_000, all)["r0"]; back < 1_000/len(all)/4 {
				t.Fatalf("recovered replica chosen %d times of 1000 among %d", back, len(all))
			}
		})
	})

	It("gives a cold upstream little work at first, so that it warms up before it takes its share", func() {
		all := replicas(2)
		b := newBench(balance.Observed, 1)
		b.service["r0"], b.service["r1"] = time.Millisecond, time.Millisecond
		b.run(5_000, all[:1])
		Expect(b.run(200, all)["r1"]).To(BeNumerically("<", 60))
		b.run(4_000, all)
		Expect(b.run(1_000, all)["r1"]).To(BeNumerically(">", 300))
	})

	It("avoids a replica whose owner reports a long queue", func() {
		all := replicas(2)
		b := newBench(balance.Observed, 1)
		b.tracker.Sent(b.now, 1, all[0])
		b.tracker.Done(b.now, 1, balance.Observation{Service: 5 * time.Millisecond, Backlog: 20})
		Expect(b.tracker.Wait(b.now, all[0])).To(BeNumerically(">", 40*time.Millisecond))
		Expect(b.tracker.Idle(b.now, all[0])).To(BeFalse())
		for range 20 {
			c, _ := b.tracker.Choose(b.now, all)
			Expect(c.Name).To(Equal("r1"))
		}
	})

	It("lets the reported load only break ties", func() {
		all := replicas(2)
		all[0].ReportedLoad = 1
		b := newBench(balance.Observed, 1)
		for range 20 {
			c, _ := b.tracker.Choose(b.now, all)
			Expect(c.Name).To(Equal("r1"))
		}
		b.tracker.Sent(b.now, 1, all[1])
		b.tracker.Done(b.now, 1, balance.Observation{Service: 10 * time.Millisecond, Backlog: 9})
		c, _ := b.tracker.Choose(b.now, all)
		Expect(c.Name).To(Equal("r0"))
	})

	It("notices a slow replica from cancelled requests, since hedges hide its results", func() {
		all := replicas(2)
		b := newBench(balance.Observed, 1)
		b.service["r0"], b.service["r1"] = 4*time.Millisecond, 4*time.Millisecond
		b.run(200, all)
		for range 40 {
			b.id++
			b.tracker.Sent(b.now, b.id, all[0])
			b.now = b.now.Add(30 * time.Millisecond)
			b.tracker.Abandon(b.now, b.id)
		}
		Expect(b.tracker.Outlier(b.now, all[0])).To(BeTrue())
	})

	It("learns from the owner's report what its own few requests do not show", func() {
		all := replicas(2)
		b := newBench(balance.Observed, 1)
		b.service["r0"], b.service["r1"] = 4*time.Millisecond, 4*time.Millisecond
		b.run(20, all)
		b.tracker.Report(b.now, "r0", 0, 40*time.Millisecond, 0)
		Expect(b.tracker.Outlier(b.now, all[0])).To(BeTrue())
		Expect(b.run(50, all)["r0"]).To(BeNumerically("<=", 1))
	})

	It("hedges a probe at once and others no later than three times the fastest mean, even without a p95", func() {
		all := replicas(2)
		b := newBench(balance.Observed, 1)
		_, known := b.tracker.HedgeDelay(b.now, all[0], false)
		Expect(known).To(BeFalse())
		b.service["r0"], b.service["r1"] = 4*time.Millisecond, 4*time.Millisecond
		b.run(20, all)
		b.tracker.Report(b.now, "r0", 0, 40*time.Millisecond, 0)
		probe, _ := b.tracker.HedgeDelay(b.now, all[0], false)
		Expect(probe).To(Equal(time.Millisecond))
		regular, _ := b.tracker.HedgeDelay(b.now, all[1], false)
		Expect(regular).To(BeNumerically("~", 12*time.Millisecond, time.Millisecond))
	})

	It("sends no probe while the budget could not hedge it", func() {
		all := replicas(2)
		b := newBench(balance.Observed, 1)
		b.service["r0"], b.service["r1"] = 4*time.Millisecond, 4*time.Millisecond
		b.run(20, all)
		b.tracker.Report(b.now, "r0", 0, 40*time.Millisecond, 0)
		b.tracker.PauseProbes(true)
		Expect(b.run(500, all)["r0"]).To(BeZero())
	})
})
