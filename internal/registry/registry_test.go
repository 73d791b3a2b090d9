package registry_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	_ "github.com/wisteriamux/wisteriamux/internal/rapidseed"
	"github.com/wisteriamux/wisteriamux/internal/registry"
)

func TestRegistry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Registry")
}

func heartbeat(id, address string, born int64, sequence uint64, state registry.State) registry.Report {
	return registry.Report{Instance: registry.Instance{
		ID: id, Service: "s", Address: address, Slots: 2, State: state, Born: born, Sequence: sequence,
	}}
}

func departure(id string, born int64) registry.Report {
	return registry.Report{Instance: registry.Instance{ID: id, Born: born}, Left: true}
}

var _ = Describe("the table of upstreams", func() {
	var table *registry.Table
	BeforeEach(func() { table = registry.New() })

	It("keeps an upstream draining when an earlier report arrives late", func() {
		Expect(table.Apply(heartbeat("i", "1:1", 5, 4, registry.Draining), 1)).To(BeTrue())
		Expect(table.Apply(heartbeat("i", "1:1", 5, 3, registry.Ready), 2)).To(BeFalse())
		i, _ := table.Instance("i")
		Expect(i.State).To(Equal(registry.Draining))
	})

	It("does not treat a renewal as a change, so that renewals are not written to the log", func() {
		Expect(table.Apply(heartbeat("i", "1:1", 5, 1, registry.Ready), 1)).To(BeTrue())
		Expect(table.Preview(heartbeat("i", "1:1", 5, 2, registry.Ready))).To(Equal(registry.Renewal))
	})

	It("accepts a new process with the same ID although its sequence restarts", func() {
		Expect(table.Apply(heartbeat("i", "1:1", 5, 40, registry.Draining), 1)).To(BeTrue())
		Expect(table.Apply(heartbeat("i", "1:2", 9, 1, registry.Ready), 2)).To(BeTrue())
		Expect(table.Apply(heartbeat("i", "1:1", 5, 41, registry.Ready), 3)).To(BeFalse())
	})

	It("does not register an upstream again that has left, unless by a new process", func() {
		Expect(table.Apply(heartbeat("i", "1:1", 5, 1, registry.Ready), 1)).To(BeTrue())
		Expect(table.Apply(departure("i", 0), 2)).To(BeTrue())
		Expect(table.Apply(heartbeat("i", "1:1", 5, 7, registry.Ready), 3)).To(BeFalse())
		Expect(table.Apply(heartbeat("i", "1:1", 6, 1, registry.Ready), 4)).To(BeTrue())
	})

	It("ignores the late departure of an earlier process", func() {
		Expect(table.Apply(heartbeat("i", "1:1", 9, 1, registry.Ready), 1)).To(BeTrue())
		Expect(table.Apply(departure("i", 5), 2)).To(BeFalse())
	})

	It("assigns an address to the process that started last, whatever the order of the reports", func() {
		Expect(table.Apply(heartbeat("old", "1:1", 5, 1, registry.Ready), 1)).To(BeTrue())
		Expect(table.Apply(heartbeat("new", "1:1", 9, 1, registry.Ready), 2)).To(BeTrue())
		Expect(table.Instances()).To(HaveLen(1))
		Expect(table.Apply(heartbeat("old", "1:1", 5, 8, registry.Ready), 3)).To(BeFalse())
		Expect(table.Apply(heartbeat("older", "1:1", 4, 1, registry.Ready), 4)).To(BeFalse())
		Expect(table.Instances()[0].ID).To(Equal("new"))
	})

	It("registers an upstream that was removed as silent again at its next report", func() {
		Expect(table.Apply(heartbeat("i", "1:1", 5, 3, registry.Ready), 1)).To(BeTrue())
		i, _ := table.Instance("i")
		Expect(table.Apply(registry.Report{Instance: i, Silent: true}, 2)).To(BeTrue())
		Expect(table.Apply(heartbeat("i", "1:1", 5, 4, registry.Ready), 3)).To(BeTrue())
	})

	It("does not remove an upstream as silent when it has changed since", func() {
		Expect(table.Apply(heartbeat("i", "1:1", 5, 3, registry.Ready), 1)).To(BeTrue())
		i, _ := table.Instance("i")
		Expect(table.Apply(heartbeat("i", "1:1", 5, 4, registry.Draining), 2)).To(BeTrue())
		Expect(table.Apply(registry.Report{Instance: i, Silent: true}, 3)).To(BeFalse())
	})

	It("produces deltas that keep a follower's copy equal to the table", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			table := registry.New()
			follower := map[string]registry.Instance{}
			known := uint64(0)
			for index := uint64(1); index <= 60; index++ {
				id := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "id")
				report := heartbeat(id, rapid.SampledFrom([]string{"1:1", "1:2", "1:3"}).Draw(t, "address"),
					int64(rapid.IntRange(1, 4).Draw(t, "born")), uint64(rapid.IntRange(1, 6).Draw(t, "sequence")),
					rapid.SampledFrom([]registry.State{registry.Ready, registry.Draining}).Draw(t, "state"))
				report.Left = rapid.IntRange(0, 5).Draw(t, "left") == 0
				report.Rules = rapid.SampledFrom([]registry.Rules{registry.DisplaceByAddress, registry.IndependentProcesses}).Draw(t, "rules")
				table.Apply(report, index)
				if rapid.Bool().Draw(t, "restore") {
					table = registry.Restore(table.Contents())
				}
				if !rapid.Bool().Draw(t, "follow") {
					continue
				}
				applyDelta(follower, table.Since(known))
				known = index
				if len(follower) != len(table.Instances()) {
					t.Fatalf("follower has %v, table %v", follower, table.Instances())
				}
				for _, i := range table.Instances() {
					if follower[i.ID] != i {
						t.Fatalf("follower has %v, table %v", follower[i.ID], i)
					}
				}
			}
		})
	})
})

// applyDelta updates a follower's copy of the table.
func applyDelta(follower map[string]registry.Instance, d registry.Delta) {
	if d.Whole {
		clear(follower)
	}
	for _, id := range d.Removed {
		delete(follower, id)
	}
	for _, i := range d.Changed {
		follower[i.ID] = i
	}
}
