package registry_test

import (
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/registry"
)

var _ = Describe("the description of an upstream", func() {
	now := time.UnixMilli(1_700_000_000_000)
	plausible := registry.Instance{
		ID: "i", Service: "s", Address: "10.0.0.9:8080", FailureDomain: "a", Slots: 2, State: registry.Ready, Born: now.UnixMilli() - 60_000, Sequence: 50,
	}

	It("is accepted from clocks that are some seconds or minutes off, and after many reports", func() {
		Expect(plausible.CheckPlausible(now)).To(Succeed())
		ahead := plausible
		ahead.Born = now.Add(30 * time.Minute).UnixMilli()
		Expect(ahead.CheckPlausible(now)).To(Succeed())
		old := plausible
		old.Born, old.Sequence = now.Add(-365*24*time.Hour).UnixMilli(), 1e9
		Expect(old.CheckPlausible(now)).To(Succeed())
	})

	DescribeTable("is refused if no upstream can be so, since it would take the place of the true one",
		func(change func(*registry.Instance)) {
			odd := plausible
			change(&odd)
			Expect(fault.CodeOf(odd.CheckPlausible(now))).To(Equal(fault.BadRequest))
		},
		Entry("10^15 slots", func(i *registry.Instance) { i.Slots = 1e15 }),
		Entry("no slots", func(i *registry.Instance) { i.Slots = 0 }),
		Entry("a cold start of centuries", func(i *registry.Instance) { i.ColdMillis = math.MaxInt64 }),
		Entry("a start in the far future", func(i *registry.Instance) { i.Born = math.MaxInt64 }),
		Entry("a start of tomorrow", func(i *registry.Instance) { i.Born = now.Add(24 * time.Hour).UnixMilli() }),
		Entry("the highest sequence", func(i *registry.Instance) { i.Sequence = math.MaxUint64 }),
		Entry("a sequence of a hundred reports in each of its milliseconds", func(i *registry.Instance) { i.Sequence = 6_000_000 }),
		Entry("a long name", func(i *registry.Instance) { i.FailureDomain = string(make([]byte, 1000)) }),
		Entry("an unspecified address", func(i *registry.Instance) { i.Address = "[::]:80" }),
		Entry("a port out of range", func(i *registry.Instance) { i.Address = "10.0.0.9:65536" }),
	)

	It("is used within bounds if an earlier version has stored an odd one", func() {
		odd := plausible
		odd.Slots, odd.ColdMillis = 1e15, math.MaxInt64
		Expect(odd.Clamped().CheckPlausible(now)).To(Succeed())
	})
})
