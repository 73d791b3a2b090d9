package control_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/control"
	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/registry"
)

// Guards against review/10: reports of another writer took sound upstreams out of use for good.
var _ = Describe("reports of another writer at the leader", func() {
	var service *control.Service
	var now time.Time
	BeforeEach(func() {
		now = time.UnixMilli(1_700_000_000_000)
		machine := control.NewMachine()
		service = control.NewService("one", machine, control.NewMemoryReplicator("one", machine), func() time.Time { return now })
		var reply controlrpc.PutRoutesReply
		Expect(service.PutRoutes(controlrpc.PutRoutesArgs{Table: routeTable(1, "r")}, &reply)).To(Succeed())
	})
	report := func(id, of, address string, born int64, sequence uint64, state registry.State) controlrpc.Ack {
		var ack controlrpc.Ack
		i := registry.Instance{ID: id, Service: of, Address: address, Slots: 1, State: state, Born: born, Sequence: sequence}
		Expect(service.Report(controlrpc.ReportArgs{Report: registry.Report{Instance: i}}, &ack)).To(Succeed())
		return ack
	}
	registered := func() map[string]registry.Instance {
		var reply controlrpc.WatchReply
		Expect(service.Watch(controlrpc.WatchArgs{WaitMillis: 1, Watcher: "w"}, &reply)).To(Succeed())
		all := map[string]registry.Instance{}
		for _, i := range reply.Instances.Changed {
			all[i.ID] = i
		}
		return all
	}
	heard := func(args controlrpc.HeardArgs) {
		var ack controlrpc.Ack
		Expect(service.Heard(args, &ack)).To(Succeed())
		Expect(ack.Fault).To(BeNil())
	}

	It("take no address, so that the upstream there remains registered", func() {
		Expect(report("sound", "a", "1:1", 5, 1, registry.Ready).Ignored).To(BeEmpty())
		Expect(report("agent", "metrics-agent", "1:1", 9, 1, registry.Ready).Fault).To(BeNil())
		Expect(registered()).To(HaveKey("sound"))
	})

	It("do not move an upstream that is heard, and an upstream that starts again elsewhere is used once it is silent", func() {
		report("sound", "a", "1:1", 5, 1, registry.Ready)
		for range 5 {
			now = now.Add(time.Second)
			heard(controlrpc.HeardArgs{IDs: []string{"sound"}, Rules: registry.IndependentProcesses})
			Expect(report("sound", "a", "1:2", 9, 1, registry.Ready).Ignored).To(Equal("conflict"))
		}
		Expect(registered()["sound"].Address).To(Equal("1:1"))
		now = now.Add(3 * time.Second)
		Expect(report("sound", "metrics-agent", "1:3", 9, 1, registry.Ready).Ignored).To(Equal("conflict"))
		Expect(report("sound", "a", "1:2", 9, 2, registry.Ready).Ignored).To(BeEmpty())
		Expect(registered()["sound"].Address).To(Equal("1:2"))
	})

	It("are not acknowledged as draining if the table cannot hold that", func() {
		report("sound", "a", "1:1", 5, 1, registry.Ready)
		Expect(report("sound", "a", "1:2", 9, 1, registry.Draining).Fault.Code).To(Equal(fault.Unavailable))
	})

	It("that are ignored do not keep an upstream registered that is silent", func() {
		report("sound", "a", "1:1", 5, 1, registry.Ready)
		now = now.Add(2 * time.Second)
		Expect(report("sound", "a", "1:1", 4, 9, registry.Ready).Ignored).To(Equal("stale"))
		now = now.Add(time.Second)
		Expect(report("sound", "a", "1:2", 9, 2, registry.Ready).Ignored).To(BeEmpty())
	})

	It("fill at most half of the table with services that no configuration names", func() {
		for n := range registry.MaxUnusedInstances {
			report(string(rune('a'+n%26))+time.Duration(n).String(), "metrics-agent", "1:1", 1, 1, registry.Ready)
		}
		Expect(report("more", "metrics-agent", "1:1", 1, 1, registry.Ready).Fault.Code).To(Equal(fault.Unavailable))
		Expect(report("sound", "a", "1:1", 5, 1, registry.Ready).Fault).To(BeNil())
	})

	It("are applied by the rules of the version before while a member of it is in the group", func() {
		heard(controlrpc.HeardArgs{})
		report("first", "a", "1:1", 5, 1, registry.Ready)
		report("second", "a", "1:1", 9, 1, registry.Ready)
		Expect(registered()).NotTo(HaveKey("first"))
		now = now.Add(11 * time.Second)
		report("third", "a", "1:1", 12, 1, registry.Ready)
		Expect(registered()).To(And(HaveKey("second"), HaveKey("third")))
	})
})

// Guards against review/9: a departure that came before the first heartbeat was acknowledged and forgotten.
var _ = Describe("a departure that is acknowledged", func() {
	It("holds against an earlier heartbeat through a restart from a snapshot", func() {
		machine := control.NewMachine()
		service := control.NewService("one", machine, control.NewMemoryReplicator("one", machine), time.Now)
		report := func(s *control.Service, r registry.Report) controlrpc.Ack {
			var ack controlrpc.Ack
			Expect(s.Report(controlrpc.ReportArgs{Report: r}, &ack)).To(Succeed())
			Expect(ack.Fault).To(BeNil())
			return ack
		}
		leaving := registry.Instance{ID: "leaving", Service: "a", Address: "1:1", Slots: 1, State: registry.Ready, Born: 5, Sequence: 1}
		report(service, registry.Report{Instance: leaving, Left: true})
		Expect(report(service, registry.Report{Instance: leaving}).Ignored).To(Equal("departed"))
		snapshot, err := machine.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		restored := control.NewMachine()
		Expect(restored.Restore(snapshot)).To(Succeed())
		restarted := control.NewService("one", restored, control.NewMemoryReplicator("one", restored), time.Now)
		Expect(report(restarted, registry.Report{Instance: leaving}).Ignored).To(Equal("departed"))
		leaving.Born = 6
		Expect(report(restarted, registry.Report{Instance: leaving}).Ignored).To(BeEmpty())
		Expect(restored.InstanceCount()).To(Equal(1))
	})
})
