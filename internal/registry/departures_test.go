package registry_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/wisteriamux/wisteriamux/internal/registry"
)

// leave returns a deregistration that is applied by the rules for independent processes.
func leave(id string, born int64) registry.Report {
	r := departure(id, born)
	r.Rules = registry.IndependentProcesses
	return r
}

// Guards against review/9: a heartbeat that arrived late brought an upstream back whose departure was acknowledged.
var _ = Describe("a departure", func() {
	var table *registry.Table
	BeforeEach(func() {
		table = registry.New()
		table.SetServices([]string{"s"})
	})

	It("that arrives before the first heartbeat keeps the process out, and a later one of the ID is used at once", func() {
		Expect(table.Apply(leave("i", 5), 1)).To(BeTrue())
		Expect(table.Preview(claim("i", "s", "1:1", 5, 1))).To(Equal(registry.Departed))
		Expect(table.Preview(claim("i", "s", "1:1", 4, 9))).To(Equal(registry.Departed))
		Expect(table.Apply(claim("i", "s", "1:1", 6, 1), 2)).To(BeTrue())
	})

	It("of a process that started again ends its predecessor, whose record still stands", func() {
		Expect(table.Apply(claim("i", "s", "1:1", 5, 7), 1)).To(BeTrue())
		Expect(table.Apply(leave("i", 9), 2)).To(BeTrue())
		Expect(table.Len()).To(BeZero())
		Expect(table.Preview(claim("i", "s", "1:1", 9, 1))).To(Equal(registry.Departed))
		Expect(table.Preview(claim("i", "s", "1:1", 5, 8))).To(Equal(registry.Departed))
	})

	It("of an earlier process that arrives late does not end the registered one, and keeps the earlier one out", func() {
		Expect(table.Apply(claim("i", "s", "1:1", 9, 1), 1)).To(BeTrue())
		Expect(table.Apply(leave("i", 5), 2)).To(BeTrue())
		i, registered := table.Instance("i")
		Expect(registered).To(BeTrue())
		Expect(table.Apply(registry.Report{Instance: i, Silent: true, Rules: registry.IndependentProcesses}, 3)).To(BeTrue())
		Expect(table.Preview(claim("i", "s", "1:1", 5, 8))).To(Equal(registry.Departed))
		Expect(table.Preview(claim("i", "s", "1:1", 9, 2))).To(Equal(registry.Change))
	})

	It("without a start time ends the registered process, or the one that became silent last", func() {
		Expect(table.Apply(claim("i", "s", "1:1", 5, 1), 1)).To(BeTrue())
		i, _ := table.Instance("i")
		Expect(table.Apply(registry.Report{Instance: i, Silent: true, Rules: registry.IndependentProcesses}, 2)).To(BeTrue())
		Expect(table.Apply(leave("i", 0), 3)).To(BeTrue())
		Expect(table.Preview(claim("i", "s", "1:1", 5, 9))).To(Equal(registry.Departed))
		Expect(table.Apply(leave("i", 0), 4)).To(BeFalse())
	})

	It("keeps an earlier process out through a record without a start time", func() {
		Expect(table.Apply(leave("i", 5), 1)).To(BeTrue())
		Expect(table.Apply(claim("i", "unused", "1:1", 9, 1), 2)).To(BeTrue())
		Expect(table.Apply(claim("i", "s", "1:1", 0, 1), 3)).To(BeTrue())
		i, _ := table.Instance("i")
		Expect(table.Apply(registry.Report{Instance: i, Silent: true, Rules: registry.IndependentProcesses}, 4)).To(BeTrue())
		Expect(table.Preview(claim("i", "s", "1:1", 3, 1))).To(Equal(registry.Departed))
	})

	It("of an ID that never was does not take the place of one that was registered", func() {
		Expect(table.Apply(claim("i", "s", "1:1", 5, 1), 1)).To(BeTrue())
		Expect(table.Apply(leave("i", 5), 2)).To(BeTrue())
		for n := range uint64(20_000) {
			Expect(table.Apply(leave(fmt.Sprint("other-", n), 5), n+3)).To(BeTrue())
		}
		Expect(table.Preview(claim("i", "s", "1:1", 5, 9))).To(Equal(registry.Departed))
		Expect(len(table.Departures())).To(BeNumerically("<", 10_000))
		Expect(table.Since(1).Whole).To(BeFalse())
		Expect(table.Since(1).Removed).To(Equal([]string{"i"}))
	})

	It("is final for all that the process said before it, in whatever order that arrives", func() {
		rapid.Check(GinkgoT(), playDepartures)
	})
})

// playDepartures plays heartbeats and departures of successive processes of a few IDs, delayed and in any order, through restarts of the
// table. After each step no process is registered whose departure was applied, nor one that started before it under its ID.
func playDepartures(t *rapid.T) {
	table := registry.New()
	table.SetServices([]string{"s"})
	left, heard := map[string]int64{}, map[registry.Process]bool{}
	for index := uint64(1); index <= 60; index++ {
		id := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "id")
		born := rapid.Int64Range(1, 5).Draw(t, "born")
		switch rapid.IntRange(0, 3).Draw(t, "kind") {
		case 0:
			table.Apply(leave(id, born), index)
			left[id] = max(left[id], born)
		case 1:
			if i, ok := table.Instance(id); ok {
				table.Apply(registry.Report{Instance: i, Silent: true, Rules: registry.IndependentProcesses}, index)
			}
		default:
			r := claim(id, "s", rapid.SampledFrom([]string{"1:1", "1:2"}).Draw(t, "address"), born, rapid.Uint64Range(1, 9).Draw(t, "sequence"))
			if !heard[r.Instance.Process()] && born > left[id] && table.Preview(r) == registry.Departed {
				t.Fatalf("process %v is kept out by another one", r.Instance.Process())
			}
			if table.Apply(r, index) {
				heard[r.Instance.Process()] = true
			}
		}
		if rapid.IntRange(0, 9).Draw(t, "restore") == 0 {
			table = registry.Restore(table.Contents())
			table.SetServices([]string{"s"})
		}
		for _, i := range table.Instances() {
			if i.Born <= left[i.ID] {
				t.Fatalf("process %v is registered after its departure", i.Process())
			}
		}
	}
}
