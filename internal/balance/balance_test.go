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

// harness sends one request at a time and counts how often each replica is chosen.
type harness struct {
	tracker *balance.Tracker
	now     time.Time
	id      uint64
	// serviceTimes holds the service time of each replica.
	serviceTimes map[string]time.Duration
}

func newHarness(policy balance.Policy, seed uint64) *harness {
	return &harness{tracker: balance.New(policy, seed), now: time.Unix(1_000, 0), serviceTimes: map[string]time.Duration{}}
}

func replicas(n int) []balance.Candidate {
	var candidates []balance.Candidate
	for i := range n {
		candidates = append(candidates, balance.Candidate{Name: fmt.Sprintf("r%d", i), Service: "s", Slots: 2, Owned: true})
	}
	return candidates
}

func (h *harness) run(requests int, candidates []balance.Candidate) map[string]int {
	choices := map[string]int{}
	for range requests {
		c, _ := h.tracker.Choose(h.now, candidates)
		choices[c.Name]++
		h.id++
		h.tracker.Sent(h.now, h.id, c)
		h.now = h.now.Add(h.serviceTimes[c.Name])
		h.tracker.Done(h.now, h.id, balance.Observation{Service: h.serviceTimes[c.Name]})
		h.now = h.now.Add(2 * time.Millisecond)
	}
	return choices
}

var _ = Describe("Tracker", func() {
	It("avoids a slow replica except for a few probes and uses it again after its recovery", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			candidates := replicas(rapid.IntRange(2, 5).Draw(t, "replicas"))
			h := newHarness(balance.Observed, rapid.Uint64().Draw(t, "seed"))
			for _, c := range candidates {
				h.serviceTimes[c.Name] = 4 * time.Millisecond
			}
			h.run(1_000, candidates)
			h.serviceTimes["r0"] = 40 * time.Millisecond
			h.run(500, candidates)
			if whileSlow := h.run(1_000, candidates)["r0"]; whileSlow > 40 {
				t.Fatalf("slow replica chosen %d times of 1000", whileSlow)
			}
			h.serviceTimes["r0"] = 4 * time.Millisecond
			h.run(1_500, candidates)
			if recovered := h.run(1_000, candidates)["r0"]; recovered < 1_000/len(candidates)/4 {
				t.Fatalf("recovered replica chosen %d times of 1000 among %d", recovered, len(candidates))
			}
		})
	})

	It("sends few requests to a cold upstream at first, so that it warms up before it gets its full share", func() {
		candidates := replicas(2)
		h := newHarness(balance.Observed, 1)
		h.serviceTimes["r0"], h.serviceTimes["r1"] = time.Millisecond, time.Millisecond
		h.run(5_000, candidates[:1])
		Expect(h.run(200, candidates)["r1"]).To(BeNumerically("<", 60))
		h.run(4_000, candidates)
		Expect(h.run(1_000, candidates)["r1"]).To(BeNumerically(">", 300))
	})

	It("avoids a replica whose owner reports a long queue", func() {
		candidates := replicas(2)
		h := newHarness(balance.Observed, 1)
		h.tracker.Sent(h.now, 1, candidates[0])
		h.tracker.Done(h.now, 1, balance.Observation{Service: 5 * time.Millisecond, Backlog: 20})
		Expect(h.tracker.Wait(h.now, candidates[0])).To(BeNumerically(">", 40*time.Millisecond))
		Expect(h.tracker.Idle(h.now, candidates[0])).To(BeFalse())
		for range 20 {
			c, _ := h.tracker.Choose(h.now, candidates)
			Expect(c.Name).To(Equal("r1"))
		}
	})

	It("uses the reported load only to break ties", func() {
		candidates := replicas(2)
		candidates[0].ReportedLoad = 1
		h := newHarness(balance.Observed, 1)
		for range 20 {
			c, _ := h.tracker.Choose(h.now, candidates)
			Expect(c.Name).To(Equal("r1"))
		}
		h.tracker.Sent(h.now, 1, candidates[1])
		h.tracker.Done(h.now, 1, balance.Observation{Service: 10 * time.Millisecond, Backlog: 9})
		c, _ := h.tracker.Choose(h.now, candidates)
		Expect(c.Name).To(Equal("r0"))
	})

	It("detects a slow replica from cancelled requests, since hedges hide its results", func() {
		candidates := replicas(2)
		h := newHarness(balance.Observed, 1)
		h.serviceTimes["r0"], h.serviceTimes["r1"] = 4*time.Millisecond, 4*time.Millisecond
		h.run(200, candidates)
		for range 40 {
			h.id++
			h.tracker.Sent(h.now, h.id, candidates[0])
			h.now = h.now.Add(30 * time.Millisecond)
			h.tracker.Abandon(h.now, h.id)
		}
		Expect(h.tracker.Outlier(h.now, candidates[0])).To(BeTrue())
	})

	It("detects a slow replica from the report of its owner although its own requests do not show it", func() {
		candidates := replicas(2)
		h := newHarness(balance.Observed, 1)
		h.serviceTimes["r0"], h.serviceTimes["r1"] = 4*time.Millisecond, 4*time.Millisecond
		h.run(20, candidates)
		h.tracker.Report(h.now, "r0", 0, 40*time.Millisecond, 0)
		Expect(h.tracker.Outlier(h.now, candidates[0])).To(BeTrue())
		Expect(h.run(50, candidates)["r0"]).To(BeNumerically("<=", 1))
	})

	It("hedges a probe at once and other requests after at most three times the fastest mean, even without a p95", func() {
		candidates := replicas(2)
		h := newHarness(balance.Observed, 1)
		_, known := h.tracker.HedgeDelay(h.now, candidates[0], false)
		Expect(known).To(BeFalse())
		h.serviceTimes["r0"], h.serviceTimes["r1"] = 4*time.Millisecond, 4*time.Millisecond
		h.run(20, candidates)
		h.tracker.Report(h.now, "r0", 0, 40*time.Millisecond, 0)
		probe, _ := h.tracker.HedgeDelay(h.now, candidates[0], false)
		Expect(probe).To(Equal(time.Millisecond))
		regular, _ := h.tracker.HedgeDelay(h.now, candidates[1], false)
		Expect(regular).To(BeNumerically("~", 12*time.Millisecond, time.Millisecond))
	})

	It("sends no probe while probes are paused", func() {
		candidates := replicas(2)
		h := newHarness(balance.Observed, 1)
		h.serviceTimes["r0"], h.serviceTimes["r1"] = 4*time.Millisecond, 4*time.Millisecond
		h.run(20, candidates)
		h.tracker.Report(h.now, "r0", 0, 40*time.Millisecond, 0)
		h.tracker.PauseProbes(true)
		Expect(h.run(500, candidates)["r0"]).To(BeZero())
	})
})
