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
	It("leaves out records that cannot be in the answer, and no others", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			parts := rapid.SliceOfN(rapid.SliceOfN(rapid.Byte(), 0, 6), 1, 8).Draw(t, "parts")
			top := rapid.IntRange(0, 5).Draw(t, "top")
			b := newBatch(RunArgs{Top: top, Attempts: attempts(len(parts))}, epoch)
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
				t.Fatalf("%d bytes of records reported", bytesSent)
			}
		})
	})

	It("does not send records below the greatest ones that it reported before", func() {
		b := newBatch(RunArgs{Top: 2, Attempts: attempts(2)}, epoch)
		b.end(Ended{Number: 0, Outcome: Answered}, records(9, 8))
		Expect(b.report(epoch).Records).To(Equal(records(9, 8)))
		b.end(Ended{Number: 1, Outcome: Answered}, records(7, 1))
		last := b.report(epoch)
		Expect(last.Records).To(BeEmpty())
		Expect(last.Ended).To(HaveLen(1), "the part counts all the same")
		Expect(b.finished()).To(BeTrue())
	})

	It("keeps the records of whole parts apart, since one of them may not be used", func() {
		b := newBatch(RunArgs{Top: 1, Whole: true, Attempts: attempts(2)}, epoch)
		b.end(Ended{Number: 0, Outcome: Answered}, records(9))
		b.end(Ended{Number: 1, Outcome: Answered}, records(3))
		r := b.report(epoch)
		Expect(r.Records).To(BeEmpty())
		Expect([][]byte{r.Ended[0].Records, r.Ended[1].Records}).To(Equal([][]byte{records(9), records(3)}))
	})

	It("holds single parts until the asking VM would ask a second upstream, and then reports them in steps", func() {
		b := newBatch(RunArgs{Top: 1, Quiet: 20 * time.Millisecond, Attempts: attempts(3)}, epoch)
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
		Expect(wake).To(Equal(at(20).Add(reportInterval)))
	})

	It("reports a failure and the last part at once", func() {
		b := newBatch(RunArgs{Top: 1, Quiet: time.Second, Attempts: attempts(2)}, epoch)
		b.end(Ended{Number: 0, Outcome: Refused}, nil)
		due, _ := b.due(at(1))
		Expect(due).To(BeTrue())
		b.report(at(1))
		b.end(Ended{Number: 1, Outcome: Answered}, records(1))
		due, _ = b.due(at(1))
		Expect(due).To(BeTrue())
	})

	It("answers without news in time for the asking VM to see that the relay lives", func() {
		b := newBatch(RunArgs{Top: 1, Quiet: time.Second, Attempts: attempts(1)}, epoch)
		due, wake := b.due(epoch)
		Expect(due).To(BeFalse())
		Expect(wake).To(Equal(epoch.Add(reportHold)))
		Expect(reportHold).To(BeNumerically("<", silentAfter))
	})
})

var _ = Describe("the relays of a group", func() {
	peers := []string{"a", "b", "c", "d", "e"}

	It("change only for the groups of a peer that leaves, so that connections to upstreams stay in use", func() {
		for group := range 64 {
			all := rank(peers, group)
			rest := rank(slices.DeleteFunc(slices.Clone(peers), func(p string) bool { return p == "c" }), group)
			Expect(rest).To(Equal(slices.DeleteFunc(all, func(p string) bool { return p == "c" })))
		}
	})

	It("are spread over all peers", func() {
		first := map[string]int{}
		for group := range 500 {
			first[rank(peers, group)[0]]++
		}
		for _, peer := range peers {
			Expect(first[peer]).To(BeNumerically("~", 100, 50), peer)
		}
	})

	It("get about as many shards of a search as a batch should hold", func() {
		Expect(GroupOf(19, 20, 3)).To(Equal(0), "20 shards in 3 failure domains make one batch each")
		Expect(GroupOf(0, 90, 3)).To(Equal(0))
		Expect(GroupOf(89, 90, 3)).To(Equal(2), "90 shards in 3 failure domains make three")
		Expect(GroupOf(0, 1, 0)).To(Equal(0), "no failure domain is known before the first list")
	})
})

var _ = Describe("the health of a relay", func() {
	It("takes a silent relay out of use and back when it answers", func() {
		h := &health{}
		Expect(h.dial(epoch)).To(BeTrue())
		Expect(h.usable()).To(BeFalse())
		Expect(h.dial(epoch)).To(BeFalse(), "one connection attempt at a time")
		h.up()
		Expect(h.usable()).To(BeTrue())
		h.missing()
		Expect(h.usable()).To(BeFalse())
		h.answered()
		Expect(h.usable()).To(BeTrue())
	})

	It("dials a relay that failed after pauses that double, and no sooner", func() {
		h := &health{}
		now := epoch
		for _, pause := range []time.Duration{minRedial, 2 * minRedial, 4 * minRedial} {
			Expect(h.dial(now)).To(BeTrue())
			h.failed(now)
			Expect(h.dial(now.Add(pause - 1))).To(BeFalse())
			now = now.Add(pause)
		}
	})

	It("sends nothing more to a relay that leaves, until it is connected anew", func() {
		h := &health{}
		h.up()
		h.leave()
		Expect(h.usable()).To(BeFalse())
		h.up()
		Expect(h.usable()).To(BeTrue())
	})
})
