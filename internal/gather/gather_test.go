package gather_test

import (
	"bytes"
	"math"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/gather"
)

func TestGather(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Gather")
}

var epoch = time.Unix(1000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func newSearch(shards, minShards int) *gather.Search {
	s := gather.New(gather.Config{
		Shards: shards, MinShards: minShards, Attempts: 2, SoftDeadline: at(50), Deadline: at(1000), HedgeDelay: 20 * time.Millisecond,
	})
	for shard := range shards {
		s.Sent(epoch, shard)
	}
	return s
}

var _ = Describe("Search", func() {
	It("waits for every shard before the soft deadline, since only the coverage counts until then", func() {
		s := newSearch(4, 2)
		for shard := range 3 {
			s.Ended(shard, gather.Success)
		}
		Expect(s.Decide(at(49))).To(Equal(gather.Wait))
		s.Ended(3, gather.Success)
		Expect(s.Decide(at(49))).To(Equal(gather.Finish))
	})

	It("finishes at the soft deadline when MinShards is reached, since a late response is worth little", func() {
		s := newSearch(4, 3)
		for shard := range 3 {
			s.Ended(shard, gather.Success)
		}
		Expect(s.Decide(at(50))).To(Equal(gather.Finish))
	})

	It("finishes after the soft deadline as soon as MinShards is reached", func() {
		s := newSearch(4, 3)
		s.Ended(0, gather.Success)
		s.Ended(1, gather.Success)
		Expect(s.Decide(at(60))).To(Equal(gather.Wait))
		s.Ended(2, gather.Success)
		Expect(s.Decide(at(70))).To(Equal(gather.Finish))
	})

	It("aborts as soon as MinShards cannot be reached any more, instead of at the deadline", func() {
		s := newSearch(4, 3)
		for shard := range 2 {
			Expect(s.Ended(shard, gather.Failure)).To(BeTrue())
			s.MarkExhausted(shard)
		}
		Expect(s.Decide(at(5))).To(Equal(gather.Abort))
	})

	It("hedges a shard whose result a relay may hold back only after the report, or when the report is overdue", func() {
		s := newSearch(3, 3)
		s.AwaitReport(0, at(30))
		s.AwaitReport(1, at(30))
		Expect(s.HedgesDue(at(20))).To(Equal([]int{2}))
		s.Reported(0)
		Expect(s.HedgesDue(at(20))).To(Equal([]int{0, 2}))
		Expect(s.NextWakeup(at(20))).To(Equal(at(30)))
		Expect(s.HedgesDue(at(30))).To(Equal([]int{0, 1, 2}))
	})

	It("aborts at the deadline", func() {
		Expect(newSearch(4, 1).Decide(at(1000))).To(Equal(gather.Abort))
	})

	It("aborts without any shard result, even if MinShards is 0", func() {
		s := newSearch(2, 0)
		for shard := range 2 {
			s.Ended(shard, gather.Failure)
			s.MarkExhausted(shard)
		}
		Expect(s.Decide(at(5))).To(Equal(gather.Abort))
	})

	It("hedges a slow shard once", func() {
		s := newSearch(2, 1)
		s.Ended(0, gather.Success)
		Expect(s.HedgesDue(at(19))).To(BeEmpty())
		Expect(s.NextWakeup(at(0))).To(Equal(at(20)))
		Expect(s.HedgesDue(at(20))).To(Equal([]int{1}))
		s.Sent(at(20), 1)
		Expect(s.HedgesDue(at(200))).To(BeEmpty())
		Expect(s.Ended(1, gather.Failure)).To(BeFalse(), "the second attempt is pending")
		Expect(s.Ended(1, gather.Failure)).To(BeFalse(), "no attempt is left")
		Expect(s.Decide(at(30))).To(Equal(gather.Finish))
	})

	It("keeps waiting for the first attempt when no hedge can be sent", func() {
		s := newSearch(1, 1)
		s.MarkExhausted(0)
		Expect(s.Decide(at(30))).To(Equal(gather.Wait))
		Expect(s.HedgesDue(at(40))).To(BeEmpty())
		s.Ended(0, gather.Success)
		Expect(s.Decide(at(60))).To(Equal(gather.Finish))
	})

	It("counts a shard once when both of its attempts succeed", func() {
		s := newSearch(1, 1)
		s.Sent(at(20), 0)
		s.Ended(0, gather.Success)
		s.Ended(0, gather.Success)
		Expect(s.AnsweredCount()).To(Equal(1))
	})
})

var _ = Describe("Merge", func() {
	record := func(firstByte byte) []byte { return append([]byte{firstByte}, make([]byte, gather.RecordBytes-1)...) }

	It("returns the greatest records in descending order and keeps duplicates", func() {
		merged := gather.Merge([][]byte{append(record(3), record(9)...), append(record(9), record(1)...)}, 3)
		Expect(merged).To(Equal(bytes.Join([][]byte{record(9), record(9), record(3)}, nil)))
	})

	It("ignores trailing bytes that are shorter than a record", func() {
		Expect(gather.Merge([][]byte{append(record(3), 0xff, 0xff)}, 5)).To(Equal(record(3)))
	})

	It("returns no record when top is 0", func() {
		Expect(gather.Merge([][]byte{record(3)}, 0)).To(BeEmpty())
	})
})

// Guards against limits that a large number of records turns negative.
var _ = Describe("MaxPartBytes", func() {
	It("does not fall as the number of records grows", func() {
		before := int64(0)
		for _, top := range []int{0, 1, 5, 1 << 20, 1<<31 - 1, 1 << 32, 1<<53 + 1, 1<<60 + 1, math.MaxInt} {
			Expect(gather.MaxPartBytes(top)).To(BeNumerically(">=", before))
			before = gather.MaxPartBytes(top)
		}
		Expect(before).To(BeNumerically("<", math.MaxInt64))
	})
})
