package relay

import (
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against a search that loses records because the size of its result overflows.
var _ = Describe("records below the top ones of a batch", func() {
	It("are kept if the search asks for more records than there are, whatever the number", func() {
		records, greatest := []byte("b--------------1a--------------1"), []byte("c--------------1b--------------2")
		for _, top := range []int{3, 1<<31 - 1, 1 << 32, 1<<53 + 1, 1 << 60, math.MaxInt} {
			Expect(trimBelow(records, greatest, top)).To(Equal(records))
		}
		Expect(trimBelow(records, greatest, 2)).To(BeEmpty())
	})
})

// Guards against searches with a short objective that wait for a whole batch because one of its attempts stands still.
var _ = Describe("a batch of which parts are held back for less than until a hedge is due", func() {
	It("is reported once without the attempts that stand still, and again when a hedge is due", func() {
		const hold, quiet = 10 * time.Millisecond, 16 * time.Millisecond
		b := newReporter(RunArgs{Hold: hold, Quiet: quiet, Top: 1, Attempts: attempts(3)}, epoch)
		b.end(Ended{Number: 0, Outcome: Answered}, records(1))
		due, next := b.due(epoch.Add(2 * time.Millisecond))
		Expect(due).To(BeFalse())
		Expect(next).To(Equal(epoch.Add(hold)))
		first := b.report(epoch.Add(hold))
		Expect(first.Ended).To(HaveLen(1))
		Expect(first.Settled).To(BeFalse(), "a hedge is not due yet")
		b.end(Ended{Number: 1, Outcome: Answered}, records(2))
		due, next = b.due(epoch.Add(hold))
		Expect(due).To(BeFalse())
		Expect(next).To(Equal(epoch.Add(quiet)))
		Expect(b.report(epoch.Add(quiet)).Settled).To(BeTrue())
	})
})

// Guards against searches that are late because their VM spends its processor time on reports in which nothing has ended.
var _ = Describe("a batch of which no parts are held back", func() {
	It("is reported when an attempt has ended, not before", func() {
		b := newReporter(RunArgs{Whole: true, Attempts: attempts(1)}, epoch)
		due, next := b.due(epoch)
		Expect(due).To(BeFalse())
		Expect(next).To(Equal(epoch.Add(maxReportDelay)))
		b.end(Ended{Number: 0, Outcome: Answered}, records(1))
		due, _ = b.due(epoch.Add(time.Millisecond))
		Expect(due).To(BeTrue())
		Expect(b.report(epoch.Add(time.Millisecond)).Settled).To(BeTrue())
	})
})
