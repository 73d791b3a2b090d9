package budget_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/wisteriamux/wisteriamux/internal/budget"
	_ "github.com/wisteriamux/wisteriamux/internal/rapidseed"
)

func TestBudget(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Budget")
}

var _ = Describe("Bucket", func() {
	It("never grants more than burst + share × deposits, so that hedges cannot double the load", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			share := rapid.Float64Range(0.01, 0.5).Draw(t, "share")
			burst := rapid.Float64Range(1, 20).Draw(t, "burst")
			bucket := budget.NewBucket(share, burst)
			deposits, granted := 0, 0
			for _, take := range rapid.SliceOfN(rapid.Bool(), 1, 500).Draw(t, "steps") {
				if !take {
					bucket.Deposit()
					deposits++
				} else if bucket.Take() {
					granted++
				}
				if float64(granted) > burst+share*float64(deposits)+1e-6 {
					t.Fatalf("granted %d tokens with burst %f, share %f and %d deposits", granted, burst, share, deposits)
				}
			}
		})
	})
})

var _ = Describe("Budget", func() {
	It("allows no hedge to a busy upstream and no retry while queues grow", func() {
		now := time.Unix(0, 0)
		b := budget.New()
		Expect(b.AllowHedge(false)).To(BeFalse())
		Expect(b.AllowHedge(true)).To(BeTrue())
		for length := range 40 {
			now = now.Add(10 * time.Millisecond)
			b.ObserveQueue(now, length)
		}
		Expect(b.AllowRetry()).To(BeFalse())
		for range 2_000 {
			now = now.Add(10 * time.Millisecond)
			b.ObserveQueue(now, 20)
		}
		Expect(b.AllowRetry()).To(BeTrue(), "a long but stable queue does not prevent retries")
	})

	It("reports when less than half of the hedge tokens are left, which are reserved for slow periods", func() {
		b := budget.New()
		for range budget.HedgeBurst / 2 {
			Expect(b.AboveHedgeReserve()).To(BeTrue())
			Expect(b.AllowHedge(true)).To(BeTrue())
		}
		Expect(b.AllowHedge(true)).To(BeTrue())
		Expect(b.AboveHedgeReserve()).To(BeFalse())
	})
})
