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

var _ = Describe("the usual limit of callers", func() {
	observe := func(u *usualLimit, times int, limit time.Duration) {
		for range times {
			u.observe(limit)
		}
	}

	It("is not changed by single callers with a longer limit, which made every first attempt look late", func() {
		u := &usualLimit{}
		observe(u, 50, 2500*time.Millisecond)
		observe(u, 3, 3000*time.Millisecond)
		Expect(u.waited(2500 * time.Millisecond)).To(BeZero())
	})

	It("follows a changed limit", func() {
		u := &usualLimit{}
		observe(u, 50, 2500*time.Millisecond)
		observe(u, 20, 3000*time.Millisecond)
		Expect(u.waited(2500 * time.Millisecond)).To(Equal(500 * time.Millisecond))
	})

	It("tells how long a caller has waited", func() {
		u := &usualLimit{}
		observe(u, 50, time.Second)
		Expect(u.waited(700 * time.Millisecond)).To(Equal(300 * time.Millisecond))
	})

	It("counts the time for a connection", func() {
		u := &usualLimit{}
		observe(u, 10, time.Second)
		observe(u, 10, 993*time.Millisecond)
		Expect(u.waited(993 * time.Millisecond)).To(Equal(7 * time.Millisecond))
	})
})

var _ = Describe("the round trip to callers", func() {
	It("is learned from first requests on a connection, and not from second attempts", func() {
		r := &roundTrip{}
		for range 50 {
			r.observe(7 * time.Millisecond)
			r.observe(0)
			r.observe(300 * time.Millisecond)
		}
		Expect(r.value()).To(BeNumerically("~", 7*time.Millisecond, time.Millisecond))
	})
})

var _ = Describe("the least number of shards", func() {
	DescribeTable("has at least the share", func(shards int, coverage float64, wanted int) {
		Expect(leastShards(shards, coverage)).To(Equal(wanted))
	},
		Entry("rounded up", 20, 0.89, 18),
		Entry("exact", 20, 0.9, 18),
		Entry("never none", 20, 0.0, 1),
		Entry("all", 30, 1.0, 30),
	)
})
