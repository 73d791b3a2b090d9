package controlstate

import (
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/model"
	"github.com/wisteriamux/wisteriamux/internal/suspect"
)

// harness applies commands to a state at consecutive log indexes.
type harness struct {
	state *State
	index uint64
	now   time.Time
}

func newHarness(bounds limits) *harness {
	return &harness{state: newWithLimits(bounds), now: time.UnixMilli(1_000_000)}
}

func (h *harness) apply(command Command) Result {
	h.index++
	command.UnixMillis = h.now.UnixMilli()
	return h.state.Apply(h.index, command)
}

func (h *harness) config(id string, base uint64) Result {
	return h.apply(Command{ApplyConfig: &ApplyConfig{ChangeID: id, BaseVersion: base}})
}

func (h *harness) intent(key string) Result {
	owner, _ := h.state.Member("owner")
	return h.apply(Command{BookingIntent: &BookingIntent{Key: key, OwnerID: "owner", OwnerInstance: owner.Instance}})
}

func (h *harness) join() {
	h.apply(Command{JoinMember: &JoinMember{Member: model.Member{ID: "owner", RPCAddress: "127.0.0.1:1"}}})
}

func (h *harness) announce(name string) Result {
	return h.apply(Command{AnnounceUpstream: &AnnounceUpstream{Announcement: model.Announcement{Name: name, Service: "s"}}})
}

func (h *harness) set(name string, state model.UpstreamState) Result {
	return h.apply(Command{SetUpstreamState: &SetUpstreamState{Name: name, State: state}})
}

func (h *harness) quarantine(fingerprint string, duration time.Duration) Result {
	return h.apply(Command{AddQuarantine: &AddQuarantine{Fingerprint: fingerprint, DurationMillis: duration.Milliseconds()}})
}

func codeOf(result Result) fault.Code {
	if result.Fault == nil {
		return ""
	}
	return result.Fault.Code
}

var _ = Describe("the bounds of the tables", func() {
	small := limits{changes: 2, bookings: 2, members: 2, upstreams: 2, quarantines: 2}

	It("evicts the oldest change first, so that a resend within the bound still gets its first result", func() {
		h := newHarness(small)
		for i := range 3 {
			Expect(codeOf(h.config(fmt.Sprint(i), uint64(i)))).To(BeEmpty())
		}
		Expect(h.config("1", 1)).To(Equal(Result{Revision: 2, Version: 2}))
		Expect(codeOf(h.config("0", 0))).To(Equal(fault.Conflict))
	})

	It("lists every problem of an invalid inventory and returns the same refusal for a resend", func() {
		h := newHarness(small)
		invalid := Command{ApplyConfig: &ApplyConfig{ChangeID: "x", Inventory: model.Inventory{
			Services:  []model.Service{{Name: "a", Kind: "other"}},
			Upstreams: []model.InventoryUpstream{{Name: "u", Service: "b", FailureDomain: "c"}},
		}}}
		first := h.apply(invalid)
		Expect(codeOf(first)).To(Equal(fault.BadRequest))
		Expect(first.Fault.Message).To(ContainSubstring("3 problems"))
		Expect(h.apply(invalid)).To(Equal(first))
	})

	It("refuses a new key as not run when the table is full, and accepts it once the retention of a key has ended", func() {
		h := newHarness(small)
		h.join()
		Expect(h.intent("a").Granted).To(BeTrue())
		Expect(h.intent("b").Granted).To(BeTrue())
		Expect(codeOf(h.intent("c"))).To(Equal(fault.NotRun))
		h.apply(Command{BookingOutcome: &BookingOutcome{Key: "a", Attempt: 1, State: BookingDone}})
		h.now = h.now.Add(BookingRetention - time.Millisecond)
		Expect(h.intent("a").Booking.State).To(Equal(BookingDone))
		h.now = h.now.Add(time.Millisecond)
		Expect(h.intent("c").Granted).To(BeTrue())
	})

	It("keeps the key of an attempt that stayed open as unknown for one more retention period", func() {
		h := newHarness(small)
		h.join()
		h.intent("a")
		h.now = h.now.Add(BookingRetention)
		Expect(h.intent("a").Booking.State).To(Equal(BookingUnknown))
		h.now = h.now.Add(BookingRetention)
		Expect(h.intent("a").Granted).To(BeTrue())
	})

	It("keeps a quarantine with its evidence over a snapshot, and tells it to VMs that knew an earlier revision", func() {
		h := newHarness(small)
		before := h.state.Revision()
		h.apply(Command{AddQuarantine: &AddQuarantine{
			Fingerprint: "f", DurationMillis: 60_000, Evidence: suspect.Evidence{Ends: 3, Tries: 2, VMs: 2, Summary: strings.Repeat("x", 1000)},
		}})
		data, err := h.state.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		restored, err := Restore(data)
		Expect(err).NotTo(HaveOccurred())
		Expect(restored.View().Quarantines).To(Equal(h.state.View().Quarantines))
		Expect(restored.View().Quarantines[0].Evidence.Summary).To(HaveLen(maxSummaryBytes))
		list, whole := restored.QuarantinesSince(before, restored.Now())
		Expect(whole).To(BeFalse())
		Expect(list).To(Equal([]suspect.Quarantined{{Fingerprint: "f", Remaining: time.Minute}}))
		list, _ = restored.QuarantinesSince(restored.Revision(), restored.Now())
		Expect(list).To(BeEmpty())
	})

	It("evicts the quarantine that ends first when the table is full, and removes each one at its end", func() {
		h := newHarness(small)
		h.quarantine("late", 20*time.Minute)
		h.quarantine("soon", 10*time.Minute)
		h.quarantine("new", 15*time.Minute)
		Expect(h.state.quarantines).To(HaveLen(2))
		Expect(h.state.quarantines).NotTo(HaveKey("soon"))
		h.now = h.now.Add(15 * time.Minute)
		before := h.state.Revision()
		h.apply(Command{Tick: &Tick{}})
		Expect(h.state.View().Quarantines).To(HaveLen(1))
		Expect(h.state.Revision()).To(BeNumerically(">", before), "entry VMs read the view again only when the revision changes")
	})

	It("evicts only the upstream that has been lost for longest to make room for a new one", func() {
		h := newHarness(small)
		h.announce("a")
		h.announce("b")
		Expect(codeOf(h.announce("c"))).To(Equal(fault.Unavailable))
		h.set("b", model.UpstreamLost)
		h.set("a", model.UpstreamLost)
		Expect(codeOf(h.announce("c"))).To(BeEmpty())
		Expect(h.state.upstreams).To(HaveKey("a"))
		Expect(h.state.upstreams).NotTo(HaveKey("b"))
	})
})

var _ = Describe("upstreams", func() {
	It("restores a lost upstream at its next announcement, and keeps it draining if its drain was ordered", func() {
		h := newHarness(limits{upstreams: 10})
		h.announce("a")
		h.set("a", model.UpstreamLost)
		Expect(codeOf(h.set("a", model.UpstreamReady))).To(Equal(fault.Conflict))
		h.announce("a")
		Expect(h.state.View().Upstreams[0].State).To(Equal(model.UpstreamReady))
		Expect(codeOf(h.set("a", model.UpstreamDraining))).To(Equal(fault.Conflict), "it is the last replica of a shard, which must not lose coverage")
		h.announce("b")
		h.set("a", model.UpstreamDraining)
		h.set("a", model.UpstreamLost)
		h.announce("a")
		Expect(h.state.View().Upstreams[0].State).To(Equal(model.UpstreamDraining))
		h.set("a", model.UpstreamReady)
		Expect(codeOf(h.set("a", model.UpstreamDrained))).To(Equal(fault.Conflict), "the report of a completed drain arrives after the drain was cancelled")
	})
})

var _ = Describe("snapshots", func() {
	It("restores a table that exceeds the decoder's default limit for arrays", func() {
		const keys = 140_000
		h := newHarness(limits{bookings: keys, members: 1})
		h.join()
		for i := range keys {
			h.intent(fmt.Sprint(i))
		}
		begin := time.Now()
		data, err := h.state.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		encoded := time.Since(begin)
		restored, err := Restore(data)
		Expect(err).NotTo(HaveOccurred())
		Expect(restored.bookings.byKey).To(HaveLen(keys))
		AddReportEntry("snapshot", fmt.Sprintf("%d keys: %d bytes, encoded in %s, restored in %s", keys, len(data), encoded, time.Since(begin)-encoded))
	})

	It("rejects data of an unknown format and data that cannot be decoded", func() {
		_, err := Restore([]byte{0xa1, 0x01, 0x02})
		Expect(fault.CodeOf(err)).To(Equal(fault.Corrupt))
		_, err = Restore([]byte("junk"))
		Expect(fault.CodeOf(err)).To(Equal(fault.Corrupt))
	})
})
