package gather_test

import (
	"bytes"
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

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func newSearch(shards, least int) *gather.Search {
	s := gather.New(gather.Config{
		Shards: shards, MinShards: least, Attempts: 2, SoftDeadline: at(50), Deadline: at(1000), HedgeDelay: 20 * time.Millisecond,
	})
	for shard := range shards {
		s.Sent(start, shard)
	}
	return s
}

var _ = Describe("a search over shards", func() {
	It("waits for every shard before the goal, because coverage counts and time does not yet", func() {
		s := newSearch(4, 2)
		for shard := range 3 {
			s.Ended(shard, gather.Success)
		}
		Expect(s.Decide(at(49))).To(Equal(gather.Wait))
		s.Ended(3, gather.Success)
		Expect(s.Decide(at(49))).To(Equal(gather.Finish))
	})

	It("answers at the goal with the coverage that suffices, because a late answer is worth little", func() {
		s := newSearch(4, 3)
		for shard := range 3 {
			s.Ended(shard, gather.Success)
		}
		Expect(s.Decide(at(50))).To(Equal(gather.Finish))
	})

	It("answers after the goal as soon as the coverage suffices", func() {
		s := newSearch(4, 3)
		s.Ended(0, gather.Success)
		s.Ended(1, gather.Success)
		Expect(s.Decide(at(60))).To(Equal(gather.Wait))
		s.Ended(2, gather.Success)
		Expect(s.Decide(at(70))).To(Equal(gather.Finish))
	})

	It("gives up at once when the coverage is out of reach, instead of at the deadline", func() {
		s := newSearch(4, 3)
		for shard := range 2 {
			Expect(s.Ended(shard, gather.Failure)).To(BeTrue())
			s.MarkExhausted(shard)
		}
		Expect(s.Decide(at(5))).To(Equal(gather.Abort))
	})

	It("gives up at the end", func() {
		Expect(newSearch(4, 1).Decide(at(1000))).To(Equal(gather.Abort))
	})

	It("does not name a success without any part", func() {
		s := newSearch(2, 0)
		for shard := range 2 {
			s.Ended(shard, gather.Failure)
			s.MarkExhausted(shard)
		}
		Expect(s.Decide(at(5))).To(Equal(gather.Abort))
	})

	It("asks a slow shard a second time, and no third time", func() {
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

	It("keeps waiting for the first attempt when no second one can be sent", func() {
		s := newSearch(1, 1)
		s.MarkExhausted(0)
		Expect(s.Decide(at(30))).To(Equal(gather.Wait))
		Expect(s.HedgesDue(at(40))).To(BeEmpty())
		s.Ended(0, gather.Success)
		Expect(s.Decide(at(60))).To(Equal(gather.Finish))
	})

	It("counts one part of a shard when both attempts answer", func() {
		s := newSearch(1, 1)
		s.Sent(at(20), 0)
		s.Ended(0, gather.Success)
		s.Ended(0, gather.Success)
		Expect(s.AnsweredCount()).To(Equal(1))
	})
})

var _ = Describe("merging parts", func() {
	record := func(first byte) []byte { return append([]byte{first}, make([]byte, gather.RecordBytes-1)...) }

	It("returns the greatest records in falling order, with equal ones", func() {
		merged := gather.Merge([][]byte{append(record(3), record(9)...), append(record(9), record(1)...)}, 3)
		Expect(merged).To(Equal(bytes.Join([][]byte{record(9), record(9), record(3)}, nil)))
	})

	It("ignores a remainder that is shorter than a record", func() {
		Expect(gather.Merge([][]byte{append(record(3), 0xff, 0xff)}, 5)).To(Equal(record(3)))
	})

	It("returns no record when nothing is asked for", func() {
		Expect(gather.Merge([][]byte{record(3)}, 0)).To(BeEmpty())
	})
})
