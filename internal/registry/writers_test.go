package registry_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/wisteriamux/wisteriamux/internal/registry"
)

// claim returns a heartbeat that is applied by the rules for independent processes.
func claim(id, service, address string, born int64, sequence uint64) registry.Report {
	r := heartbeat(id, address, born, sequence, registry.Ready)
	r.Instance.Service, r.Rules = service, registry.IndependentProcesses
	return r
}

func inUse(table *registry.Table, r registry.Report) bool {
	i, ok := table.Instance(r.Instance.ID)
	return ok && i.Service == r.Instance.Service && i.Address == r.Instance.Address && i.State == registry.Ready
}

// Guards against review/10: reports of another writer took sound upstreams out of use for good.
var _ = Describe("reports of another writer", func() {
	var table *registry.Table
	BeforeEach(func() {
		table = registry.New()
		table.SetServices([]string{"s", "t"})
	})
	sound := claim("sound", "s", "1:1", 5, 1)

	It("take no address from a registered upstream, whatever their service and start time", func() {
		Expect(table.Apply(sound, 1)).To(BeTrue())
		Expect(table.Apply(claim("agent", "metrics-agent", "1:1", 9, 1), 2)).To(BeTrue())
		Expect(table.Apply(claim("other", "t", "1:1", 9, 1), 3)).To(BeTrue())
		Expect(inUse(table, sound)).To(BeTrue())
	})

	It("hold no address against an upstream that registers later, whatever their start time", func() {
		Expect(table.Apply(claim("agent", "metrics-agent", "1:1", 9, 1), 1)).To(BeTrue())
		Expect(table.Apply(sound, 2)).To(BeTrue())
		Expect(inUse(table, sound)).To(BeTrue())
	})

	It("change neither service nor address of a registered upstream", func() {
		Expect(table.Apply(sound, 1)).To(BeTrue())
		for n, other := range []registry.Report{
			claim("sound", "metrics-agent", "1:1", 9, 1), claim("sound", "t", "1:1", 9, 1), claim("sound", "s", "1:2", 9, 1), claim("sound", "t", "1:1", 5, 9),
		} {
			Expect(table.Preview(other)).To(Equal(registry.Conflict))
			Expect(table.Apply(other, uint64(n+2))).To(BeFalse())
		}
	})

	It("lose the ID of an upstream to the first report that names a service of the route table", func() {
		Expect(table.Apply(claim("sound", "metrics-agent", "1:1", 9, 1), 1)).To(BeTrue())
		Expect(table.Apply(sound, 2)).To(BeTrue())
		Expect(inUse(table, sound)).To(BeTrue())
	})

	It("leave upstreams of a service that the route table names only later in the table", func() {
		early := claim("early", "new", "1:1", 5, 1)
		Expect(table.Apply(early, 1)).To(BeTrue())
		Expect(table.Apply(claim("agent", "metrics-agent", "1:1", 9, 1), 2)).To(BeTrue())
		table.SetServices([]string{"new"})
		Expect(inUse(table, early)).To(BeTrue())
		Expect(table.UnusedLen()).To(Equal(1))
	})

	It("leave the true process in use after its ID was registered with a later start and has become silent", func() {
		Expect(table.Apply(claim("sound", "s", "1:1", 9, 1), 1)).To(BeTrue())
		holder, _ := table.Instance("sound")
		Expect(table.Apply(sound, 2)).To(BeFalse())
		Expect(table.Apply(registry.Report{Instance: holder, Silent: true, Rules: registry.IndependentProcesses}, 3)).To(BeTrue())
		Expect(table.Apply(sound, 4)).To(BeTrue())
		Expect(inUse(table, sound)).To(BeTrue())
	})

	It("leave an upstream that an earlier version displaced in use again if it continues to report", func() {
		contents := registry.Contents{
			Instances:  []registry.Instance{claim("agent", "metrics-agent", "1:1", 9, 1).Instance},
			Departures: []registry.Departure{{ID: "sound", Born: 5, Sequence: 1, Final: true, At: 3}},
		}
		restored := registry.Restore(contents)
		restored.SetServices([]string{"s"})
		Expect(restored.Apply(claim("sound", "s", "1:1", 5, 9), 4)).To(BeFalse(), "a late report of an upstream that has left")
		Expect(restored.Apply(claim("sound", "s", "1:1", 5, 500), 5)).To(BeTrue())
	})

	It("leave every sound upstream in use within the time after which a silent one is removed and one heartbeat", func() {
		rapid.Check(GinkgoT(), playWriters)
	})
})

// silenceTimeout is the time without a heartbeat after which playWriters removes an upstream.
const silenceTimeout = 10 * time.Second

// playWriters plays heartbeats of true upstreams each second between reports of other writers, which stop after a while.
func playWriters(t *rapid.T) {
	table := registry.New()
	table.SetServices([]string{"s", "t"})
	trueUpstreams := []registry.Report{claim("a", "s", "1:1", 50, 0), claim("b", "s", "1:2", 60, 0), claim("c", "t", "1:3", 70, 0)}
	heard := map[string]time.Duration{}
	index := uint64(0)
	deliver := func(r registry.Report, now time.Duration) {
		index++
		effect := table.Preview(r)
		table.Apply(r, index)
		if effect == registry.Change || effect == registry.Renewal {
			heard[r.Instance.ID] = now
		}
	}
	others := rapid.IntRange(0, 40).Draw(t, "others")
	for second := 0; second < others+12; second++ {
		now := time.Duration(second) * time.Second
		if second < others {
			deliver(drawOther(t), now)
		}
		for n := range trueUpstreams {
			if second < others && rapid.IntRange(0, 3).Draw(t, "late") == 0 {
				continue
			}
			trueUpstreams[n].Instance.Sequence++
			deliver(trueUpstreams[n], now)
		}
		for _, i := range table.Instances() {
			if now-heard[i.ID] >= silenceTimeout {
				index++
				table.Apply(registry.Report{Instance: i, Silent: true, Rules: registry.IndependentProcesses}, index)
			}
		}
		if rapid.IntRange(0, 9).Draw(t, "restore") == 0 {
			table = registry.Restore(table.Contents())
			table.SetServices([]string{"s", "t"})
		}
	}
	for _, r := range trueUpstreams {
		if !inUse(table, r) {
			t.Fatalf("upstream %v is not in use; the table holds %v and the departures %v", r.Instance, table.Instances(), table.Departures())
		}
	}
}

// drawOther returns a report with the ID or the address of an upstream. Its start time is not that of the upstream.
func drawOther(t *rapid.T) registry.Report {
	id := rapid.SampledFrom([]string{"a", "b", "c", "x", "y"}).Draw(t, "id")
	service := rapid.SampledFrom([]string{"s", "t", "metrics-agent"}).Draw(t, "service")
	address := rapid.SampledFrom([]string{"1:1", "1:2", "1:3", "9:9"}).Draw(t, "address")
	born := rapid.SampledFrom([]int64{0, 40, 55, 65, 90}).Draw(t, "born")
	r := claim(id, service, address, born, uint64(rapid.IntRange(0, 1000).Draw(t, "sequence")))
	if slices.Contains([]int{0, 1}, rapid.IntRange(0, 5).Draw(t, "draining")) {
		r.Instance.State = registry.Draining
	}
	return r
}

var _ = Describe("the rules of earlier versions", func() {
	It("are applied as before, so that members of both versions hold the same table", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			table, byHand := registry.New(), map[string]registry.Instance{}
			for index := uint64(1); index <= 30; index++ {
				r := drawOther(t)
				r.Rules = registry.DisplaceByAddress
				if !table.Apply(r, index) {
					continue
				}
				for id, i := range byHand {
					if i.Address == r.Instance.Address {
						delete(byHand, id)
					}
				}
				byHand[r.Instance.ID] = r.Instance
			}
			held := map[string]string{}
			for _, i := range table.Instances() {
				if other, taken := held[i.Address]; taken {
					t.Fatalf("%s and %s hold the address %s", other, i.ID, i.Address)
				}
				held[i.Address] = i.ID
			}
			if len(byHand) != table.Len() {
				t.Fatalf("the table holds %v instead of %v", table.Instances(), byHand)
			}
		})
	})
})
