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
