package control_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/control"
	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/registry"
)

var _ = Describe("an upstream that returns to cold", func() {
	var machine *control.Machine
	var service *control.Service
	var sequence uint64
	start := time.UnixMilli(2_000_000)

	put := func(coldPerSecond float64) {
		table := routeTable(1, "r")
		table.Services[0].ColdPerSecond = coldPerSecond
		var reply controlrpc.PutRoutesReply
		Expect(service.PutRoutes(controlrpc.PutRoutesArgs{Table: table}, &reply)).To(Succeed())
		Expect(reply.Fault).To(BeNil())
	}
	// heartbeat plays what the directory does with a heartbeat, and returns whether it was written to the log.
	heartbeat := func(at, cold time.Duration) bool {
		sequence++
		report := registry.Report{Instance: registry.Instance{
			ID: "u", Service: "a", Address: "10.0.0.1:1", Slots: 1, State: registry.Ready, Born: 1, Sequence: sequence, ColdMillis: cold.Milliseconds(),
		}}
		report = machine.WithColdEnd(report, start.Add(at))
		if machine.Preview(report) != registry.Change {
			return false
		}
		var ack controlrpc.Ack
		Expect(service.Report(controlrpc.ReportArgs{Report: report}, &ack)).To(Succeed())
		Expect(ack.Fault).To(BeNil())
		return true
	}
	watch := func(known uint64) controlrpc.WatchReply {
		var reply controlrpc.WatchReply
		Expect(service.Watch(controlrpc.WatchArgs{Known: known, WaitMillis: 10, Watcher: "w"}, &reply)).To(Succeed())
		Expect(reply.Fault).To(BeNil())
		return reply
	}
	BeforeEach(func() {
		machine, sequence = control.NewMachine(), 0
		service = control.NewService("one", machine, control.NewMemoryReplicator("one", machine), time.Now)
	})

	It("reaches the VMs with the end of its cold start, once", func() {
		put(3)
		Expect(heartbeat(0, 0)).To(BeTrue())
		before := watch(0).Revision
		Expect(heartbeat(time.Minute, 20*time.Second)).To(BeTrue())
		changed := watch(before)
		Expect(changed.Instances.Changed).To(HaveLen(1))
		Expect(changed.Instances.Changed[0].ColdUntil).To(Equal(start.Add(80 * time.Second).UnixMilli()))
		for n := 1; n < 20; n++ {
			Expect(heartbeat(time.Minute+time.Duration(n)*time.Second, time.Duration(20-n)*time.Second)).To(BeFalse())
		}
	})

	It("writes nothing for a service without a limit for cold upstreams, and stores what it did before", func() {
		put(0)
		Expect(heartbeat(0, 20*time.Second)).To(BeTrue())
		Expect(watch(0).Instances.Changed[0].ColdUntil).To(BeZero())
		Expect(heartbeat(time.Minute, 0)).To(BeFalse())
		Expect(heartbeat(2*time.Minute, 20*time.Second)).To(BeFalse())
	})
})
