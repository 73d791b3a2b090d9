package controlstate

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/model"
)

// driver applies commands at rising indexes.
type driver struct {
	state *State
	index uint64
	now   time.Time
}

func newDriver(bounds limits) *driver {
	return &driver{state: newWithLimits(bounds), now: time.UnixMilli(1_000_000)}
}

func (d *driver) apply(command Command) Result {
	d.index++
	command.UnixMillis = d.now.UnixMilli()
	return d.state.Apply(d.index, command)
}

func (d *driver) config(id string, base uint64) Result {
	return d.apply(Command{ApplyConfig: &ApplyConfig{ChangeID: id, BaseVersion: base}})
}

func (d *driver) intent(key string) Result {
	owner, _ := d.state.Member("owner")
	return d.apply(Command{BookingIntent: &BookingIntent{Key: key, OwnerID: "owner", OwnerInstance: owner.Instance}})
}

func (d *driver) join() {
	d.apply(Command{JoinMember: &JoinMember{Member: model.Member{ID: "owner", RPCAddress: "127.0.0.1:1"}}})
}

func (d *driver) announce(name string) Result {
	return d.apply(Command{AnnounceUpstream: &AnnounceUpstream{Announcement: model.Announcement{Name: name, Service: "s"}}})
}

func (d *driver) set(name string, state model.UpstreamState) Result {
	return d.apply(Command{SetUpstreamState: &SetUpstreamState{Name: name, State: state}})
}

func (d *driver) quarantine(fingerprint string, duration time.Duration) Result {
	return d.apply(Command{AddQuarantine: &AddQuarantine{Fingerprint: fingerprint, DurationMillis: duration.Milliseconds()}})
}

func codeOf(result Result) fault.Code {
	if result.Fault == nil {
		return ""
	}
	return result.Fault.Code
}

var _ = Describe("the bounds of the tables", func() {
	small := limits{changes: 2, bookings: 2, members: 2, upstreams: 2, quarantines: 2}

	It("forgets the oldest change first, so that a resend within the bound still gets its first result", func() {
		d := newDriver(small)
		for i := range 3 {
			Expect(codeOf(d.config(fmt.Sprint(i), uint64(i)))).To(BeEmpty())
		}
		Expect(d.config("1", 1)).To(Equal(Result{Revision: 2, Version: 2}))
		Expect(codeOf(d.config("0", 0))).To(Equal(fault.Conflict))
	})

	It("lists every problem of an invalid inventory and remembers the refusal", func() {
		d := newDriver(small)
		invalid := Command{ApplyConfig: &ApplyConfig{ChangeID: "x", Inventory: model.Inventory{
			Services:  []model.Service{{Name: "a", Kind: "other"}},
			Upstreams: []model.InventoryUpstream{{Name: "u", Service: "b", FailureDomain: "c"}},
		}}}
		first := d.apply(invalid)
		Expect(codeOf(first)).To(Equal(fault.BadRequest))
		Expect(first.Fault.Message).To(ContainSubstring("3 problems"))
		Expect(d.apply(invalid)).To(Equal(first))
	})

	It("refuses a new key as not run when the table is full, and takes it once a key has ended", func() {
		d := newDriver(small)
		d.join()
		Expect(d.intent("a").Granted).To(BeTrue())
		Expect(d.intent("b").Granted).To(BeTrue())
		Expect(codeOf(d.intent("c"))).To(Equal(fault.NotRun))
		d.apply(Command{BookingOutcome: &BookingOutcome{Key: "a", Attempt: 1, State: BookingDone}})
		d.now = d.now.Add(BookingRetention - time.Millisecond)
		Expect(d.intent("a").Booking.State).To(Equal(BookingDone))
		d.now = d.now.Add(time.Millisecond)
		Expect(d.intent("c").Granted).To(BeTrue())
	})

	It("keeps the key of an attempt that stayed open as unknown for one more period", func() {
		d := newDriver(small)
		d.join()
		d.intent("a")
		d.now = d.now.Add(BookingRetention)
		Expect(d.intent("a").Booking.State).To(Equal(BookingUnknown))
		d.now = d.now.Add(BookingRetention)
		Expect(d.intent("a").Granted).To(BeTrue())
	})

	It("drops the quarantine that ends first when full, and each one at its end", func() {
		d := newDriver(small)
		d.quarantine("late", 20*time.Minute)
		d.quarantine("soon", 10*time.Minute)
		d.quarantine("new", 15*time.Minute)
		Expect(d.state.quarantines).To(HaveLen(2))
		Expect(d.state.quarantines).NotTo(HaveKey("soon"))
		d.now = d.now.Add(15 * time.Minute)
		before := d.state.Revision()
		d.apply(Command{Tick: &Tick{}})
		Expect(d.state.View().Quarantines).To(HaveLen(1))
		Expect(d.state.Revision()).To(BeNumerically(">", before), "entry VMs read the view again only at a new revision")
	})

	It("makes room for an upstream only by the one that has been lost for longest", func() {
		d := newDriver(small)
		d.announce("a")
		d.announce("b")
		Expect(codeOf(d.announce("c"))).To(Equal(fault.Unavailable))
		d.set("b", model.UpstreamLost)
		d.set("a", model.UpstreamLost)
		Expect(codeOf(d.announce("c"))).To(BeEmpty())
		Expect(d.state.upstreams).To(HaveKey("a"))
		Expect(d.state.upstreams).NotTo(HaveKey("b"))
	})
})

var _ = Describe("upstreams", func() {
	It("brings a lost upstream back by a new announcement, still draining when its drain was ordered", func() {
		d := newDriver(limits{upstreams: 10})
		d.announce("a")
		d.set("a", model.UpstreamLost)
		Expect(codeOf(d.set("a", model.UpstreamReady))).To(Equal(fault.Conflict))
		d.announce("a")
		Expect(d.state.View().Upstreams[0].State).To(Equal(model.UpstreamReady))
		Expect(codeOf(d.set("a", model.UpstreamDraining))).To(Equal(fault.Conflict), "the last replica of a shard that may never lose coverage")
		d.announce("b")
		d.set("a", model.UpstreamDraining)
		d.set("a", model.UpstreamLost)
		d.announce("a")
		Expect(d.state.View().Upstreams[0].State).To(Equal(model.UpstreamDraining))
		d.set("a", model.UpstreamReady)
		Expect(codeOf(d.set("a", model.UpstreamDrained))).To(Equal(fault.Conflict), "a drained report that was overtaken by undrain")
	})
})

var _ = Describe("snapshots", func() {
	It("restores a table above the default list bound of the decoder", func() {
		const keys = 140_000
		d := newDriver(limits{bookings: keys, members: 1})
		d.join()
		for i := range keys {
			d.intent(fmt.Sprint(i))
		}
		begin := time.Now()
		data, err := d.state.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		encoded := time.Since(begin)
		restored, err := Restore(data)
		Expect(err).NotTo(HaveOccurred())
		Expect(restored.bookings.byKey).To(HaveLen(keys))
		AddReportEntry("snapshot", fmt.Sprintf("%d keys: %d bytes, encoded in %s, restored in %s", keys, len(data), encoded, time.Since(begin)-encoded))
	})

	It("refuses what it cannot read", func() {
		_, err := Restore([]byte{0xa1, 0x01, 0x02})
		Expect(fault.CodeOf(err)).To(Equal(fault.Corrupt))
		_, err = Restore([]byte("junk"))
		Expect(fault.CodeOf(err)).To(Equal(fault.Corrupt))
	})
})
