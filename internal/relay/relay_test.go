package relay

import (
	"bytes"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/wisteriamux/wisteriamux/internal/gather"
)

func TestRelay(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Relay")
}

var epoch = time.Unix(1000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func attempts(count int) []Attempt {
	all := make([]Attempt, count)
	for number := range all {
		all[number] = Attempt{Number: number}
	}
	return all
}

func records(firsts ...byte) []byte {
	var out []byte
	for _, first := range firsts {
		out = append(out, first)
		out = append(out, make([]byte, gather.RecordBytes-1)...)
	}
	return out
}

var _ = Describe("the reports of a batch", func() {
	It("omit only records that cannot be in the result", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			parts := rapid.SliceOfN(rapid.SliceOfN(rapid.Byte(), 0, 6), 1, 8).Draw(t, "parts")
			top := rapid.IntRange(0, 5).Draw(t, "top")
			b := newReporter(RunArgs{Top: top, Attempts: attempts(len(parts))}, epoch)
			var all, reported [][]byte
			bytesSent := 0
			for number, part := range parts {
				all = append(all, records(part...))
				b.end(Ended{Number: number, Outcome: Answered}, records(part...))
				if rapid.Bool().Draw(t, "report") || number == len(parts)-1 {
					r := b.report(epoch)
					reported = append(reported, r.Records)
					bytesSent += len(r.Records)
				}
			}
			if got, want := gather.Merge(reported, top), gather.Merge(all, top); !bytes.Equal(got, want) {
				t.Fatalf("merged reports hold %x, want %x", got, want)
			}
			if bytesSent > len(bytes.Join(all, nil)) {
				t.Fatalf("reports contain %d bytes of records, more than all parts together", bytesSent)
			}
		})
	})

	It("omit records below the top records reported before", func() {
		b := newReporter(RunArgs{Top: 2, Attempts: attempts(2)}, epoch)
		b.end(Ended{Number: 0, Outcome: Answered}, records(9, 8))
		Expect(b.report(epoch).Records).To(Equal(records(9, 8)))
		b.end(Ended{Number: 1, Outcome: Answered}, records(7, 1))
		last := b.report(epoch)
		Expect(last.Records).To(BeEmpty())
		Expect(last.Ended).To(HaveLen(1), "the part is reported without its records")
		Expect(b.finished()).To(BeTrue())
	})

	It("keep the records of whole parts separate, since not all of them may be used", func() {
		b := newReporter(RunArgs{Top: 1, Whole: true, Attempts: attempts(2)}, epoch)
		b.end(Ended{Number: 0, Outcome: Answered}, records(9))
		b.end(Ended{Number: 1, Outcome: Answered}, records(3))
		r := b.report(epoch)
		Expect(r.Records).To(BeEmpty())
		Expect([][]byte{r.Ended[0].Records, r.Ended[1].Records}).To(Equal([][]byte{records(9), records(3)}))
	})

	It("hold back single parts until the requesting VM would hedge, and then send them at intervals", func() {
		b := newReporter(RunArgs{Top: 1, Quiet: 20 * time.Millisecond, Attempts: attempts(3)}, epoch)
		b.end(Ended{Number: 0, Outcome: Answered}, records(1))
		due, wake := b.due(at(5))
		Expect(due).To(BeFalse())
		Expect(wake).To(Equal(at(20)))
		due, _ = b.due(at(20))
		Expect(due).To(BeTrue())
		b.report(at(20))
		b.end(Ended{Number: 1, Outcome: Answered}, records(1))
		due, wake = b.due(at(21))
		Expect(due).To(BeFalse())
		Expect(wake).To(Equal(at(20).Add(minReportInterval)))
	})

	It("are sent when the requesting VM would hedge even if nothing has ended, since hedges wait for them", func() {
		b := newReporter(RunArgs{Top: 1, Quiet: 20 * time.Millisecond, Attempts: attempts(2)}, epoch)
		due, wake := b.due(at(5))
		Expect(due).To(BeFalse())
		Expect(wake).To(Equal(at(20)))
		b.end(Ended{Number: 0, Outcome: Failed}, nil)
		Expect(b.report(at(6)).Settled).To(BeFalse(), "parts may still be held back")
		due, _ = b.due(at(20))
		Expect(due).To(BeTrue())
		Expect(b.report(at(20)).Settled).To(BeTrue())
		due, wake = b.due(at(21))
		Expect(due).To(BeFalse())
		Expect(wake).To(Equal(at(20).Add(maxReportDelay)))
	})

	It("are sent at once after a failure and after the last part", func() {
		b := newReporter(RunArgs{Top: 1, Quiet: time.Second, Attempts: attempts(2)}, epoch)
		b.end(Ended{Number: 0, Outcome: Refused}, nil)
		due, _ := b.due(at(1))
		Expect(due).To(BeTrue())
		b.report(at(1))
		b.end(Ended{Number: 1, Outcome: Answered}, records(1))
		due, _ = b.due(at(1))
		Expect(due).To(BeTrue())
	})

	It("are sent without content in time to show the requesting VM that the relay is alive", func() {
		b := newReporter(RunArgs{Top: 1, Quiet: time.Second, Attempts: attempts(1)}, epoch)
		due, wake := b.due(epoch)
		Expect(due).To(BeFalse())
		Expect(wake).To(Equal(epoch.Add(maxReportDelay)))
		Expect(maxReportDelay).To(BeNumerically("<", silentAfter))
	})
})

var _ = Describe("the relays of a group of shards", func() {
	peers := []string{"a", "b", "c", "d", "e"}

	It("keep their order when another peer leaves, so that connections to upstreams stay in use", func() {
		for group := range 64 {
			all := rank(peers, group)
			rest := rank(slices.DeleteFunc(slices.Clone(peers), func(p string) bool { return p == "c" }), group)
			Expect(rest).To(Equal(slices.DeleteFunc(all, func(p string) bool { return p == "c" })))
		}
	})

	It("are distributed over all peers", func() {
		first := map[string]int{}
		for group := range 500 {
			first[rank(peers, group)[0]]++
		}
		for _, peer := range peers {
			Expect(first[peer]).To(BeNumerically("~", 100, 50), peer)
		}
	})

	It("get about batchTarget shards of a search", func() {
		Expect(GroupOf(19, 20, 3)).To(Equal(0), "20 shards in 3 failure domains form one group")
		Expect(GroupOf(0, 90, 3)).To(Equal(0))
		Expect(GroupOf(89, 90, 3)).To(Equal(2), "90 shards in 3 failure domains form three groups")
		Expect(GroupOf(0, 1, 0)).To(Equal(0), "no failure domain is known before the first list of peers")
	})
})

var _ = Describe("the health of a relay", func() {
	It("takes a silent relay out of use until it responds", func() {
		h := &health{}
		Expect(h.dial(epoch)).To(BeTrue())
		Expect(h.usable()).To(BeFalse())
		Expect(h.dial(epoch)).To(BeFalse(), "one dial at a time")
		h.onConnected()
		Expect(h.usable()).To(BeTrue())
		h.onOverdue()
		Expect(h.usable()).To(BeFalse())
		h.onReport()
		Expect(h.usable()).To(BeTrue())
	})

	It("dials a failed relay again with exponential backoff", func() {
		h := &health{}
		now := epoch
		for _, backoff := range []time.Duration{minRedial, 2 * minRedial, 4 * minRedial} {
			Expect(h.dial(now)).To(BeTrue())
			h.onFailure(now)
			Expect(h.dial(now.Add(backoff - 1))).To(BeFalse())
			now = now.Add(backoff)
		}
	})

	It("stops using a relay that shuts down until it is connected again", func() {
		h := &health{}
		h.onConnected()
		h.onShutdown()
		Expect(h.usable()).To(BeFalse())
		h.onConnected()
		Expect(h.usable()).To(BeTrue())
	})
})
