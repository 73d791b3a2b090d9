package router

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestRouter(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Router")
}

var _ = Describe("the estimated time limit of first attempts", func() {
	observe := func(e *limitEstimator, times int, limit time.Duration) {
		for range times {
			e.observe(limit)
		}
	}

	// A few callers with a longer limit must not raise the estimate: every first attempt would then look like a retry.
	It("is not changed by single callers with a longer limit", func() {
		e := &limitEstimator{}
		observe(e, 50, 2500*time.Millisecond)
		observe(e, 3, 3000*time.Millisecond)
		Expect(e.waited(2500 * time.Millisecond)).To(BeZero())
	})

	It("adapts to a changed limit", func() {
		e := &limitEstimator{}
		observe(e, 50, 2500*time.Millisecond)
		observe(e, 20, 3000*time.Millisecond)
		Expect(e.waited(2500 * time.Millisecond)).To(Equal(500 * time.Millisecond))
	})

	It("shows how long a caller has waited", func() {
		e := &limitEstimator{}
		observe(e, 50, time.Second)
		Expect(e.waited(700 * time.Millisecond)).To(Equal(300 * time.Millisecond))
	})

	It("shows the time that a caller spent on connecting", func() {
		e := &limitEstimator{}
		observe(e, 10, time.Second)
		observe(e, 10, 993*time.Millisecond)
		Expect(e.waited(993 * time.Millisecond)).To(Equal(7 * time.Millisecond))
	})
})

var _ = Describe("the round trip to callers", func() {
	It("is estimated from first requests on a connection, not from retries", func() {
		r := &roundTrip{}
		for range 50 {
			r.observe(7 * time.Millisecond)
			r.observe(0)
			r.observe(300 * time.Millisecond)
		}
		Expect(r.estimate()).To(BeNumerically("~", 7*time.Millisecond, time.Millisecond))
	})
})

var _ = Describe("the minimum number of shards", func() {
	DescribeTable("reaches the coverage", func(shards int, coverage float64, wanted int) {
		Expect(minShards(shards, coverage)).To(Equal(wanted))
	},
		Entry("rounds up", 20, 0.89, 18),
		Entry("does not round up an exact product", 20, 0.9, 18),
		Entry("needs at least one shard", 20, 0.0, 1),
		Entry("needs all shards for full coverage", 30, 1.0, 30),
	)
})
