package registry_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/registry"
)

var _ = Describe("the cold start of an upstream", func() {
	start := time.UnixMilli(1_000_000)
	var table *registry.Table
	var sequence uint64
	// report applies a heartbeat and returns whether it was written to the log.
	report := func(at time.Duration, cold time.Duration) bool {
		sequence++
		r := heartbeat("i", "1:1", 5, sequence, registry.Ready)
		r.Instance.ColdMillis = cold.Milliseconds()
		r = table.WithColdEnd(r, start.Add(at))
		if table.Preview(r) != registry.Change {
			return false
		}
		return table.Apply(r, sequence)
	}
	BeforeEach(func() { table, sequence = registry.New(), 0 })

	It("is registered once while heartbeats count down", func() {
		Expect(report(0, 20*time.Second)).To(BeTrue())
		for n := 1; n < 25; n++ {
			Expect(report(time.Duration(n)*time.Second, max(0, 20*time.Second-time.Duration(n)*time.Second-30*time.Millisecond))).To(BeFalse())
		}
	})

	It("is registered again when a warm upstream returns to cold, so that all VMs hear of it", func() {
		Expect(report(0, 0)).To(BeTrue())
		Expect(report(time.Minute, 10*time.Second)).To(BeTrue())
		i, _ := table.Instance("i")
		Expect(i.ColdUntil).To(Equal(start.Add(70 * time.Second).UnixMilli()))
		Expect(report(61*time.Second, 9*time.Second)).To(BeFalse())
	})

	It("is registered when it ends early", func() {
		Expect(report(0, 30*time.Second)).To(BeTrue())
		Expect(report(5*time.Second, 0)).To(BeTrue())
		Expect(report(6*time.Second, 0)).To(BeFalse())
	})

	It("is registered at most once in half of its time by an upstream that does not count down", func() {
		written := 0
		for n := range 60 {
			if report(time.Duration(n)*time.Second, 20*time.Second) {
				written++
			}
		}
		Expect(written).To(BeNumerically("<=", 7))
	})

	It("changes nothing without the mark, as for services without a limit for cold upstreams", func() {
		Expect(table.Apply(heartbeat("i", "1:1", 5, 1, registry.Ready), 1)).To(BeTrue())
		cold := heartbeat("i", "1:1", 5, 2, registry.Ready)
		cold.Instance.ColdMillis = 20_000
		Expect(table.Preview(cold)).To(Equal(registry.Renewal))
	})
})
