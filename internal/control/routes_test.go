package control_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/control"
	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/controlstate"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/registry"
	"github.com/wisteriamux/wisteriamux/internal/route"
)

func routeTable(version uint64, name string) route.Table {
	return route.Table{
		Version: version, Services: []route.Service{{Name: "a"}},
		Routes: []route.Route{{Name: name, Host: "h", Prefix: "/", Timeout: time.Second, Service: "a"}},
	}
}

var _ = Describe("the route table", func() {
	var service *control.Service
	BeforeEach(func() {
		machine := control.NewMachine()
		service = control.NewService("one", machine, control.NewMemoryReplicator("one", machine), time.Now)
	})

	put := func(version uint64, name string) (uint64, fault.Code) {
		var reply controlrpc.PutRoutesReply
		Expect(service.PutRoutes(controlrpc.PutRoutesArgs{Table: routeTable(version, name), Source: []byte(name)}, &reply)).To(Succeed())
		if reply.Fault != nil {
			return 0, reply.Fault.Code
		}
		return reply.Version, ""
	}
	read := func() controlrpc.ReadRoutesReply {
		var reply controlrpc.ReadRoutesReply
		Expect(service.ReadRoutes(controlrpc.ReadRoutesArgs{}, &reply)).To(Succeed())
		Expect(reply.Fault).To(BeNil())
		return reply
	}

	It("keeps the highest version and its first content, and acknowledges lower and equal versions", func() {
		for _, request := range []struct{ version, inForce uint64 }{{5, 5}, {9, 9}, {7, 9}, {9, 9}} {
			version, code := put(request.version, fmt.Sprintf("v%d-%d", request.version, request.inForce))
			Expect(code).To(BeEmpty())
			Expect(version).To(Equal(request.inForce))
		}
		Expect(string(read().Source)).To(Equal("v9-9"))
	})

	It("is not replaced by an invalid table, whatever its version", func() {
		_, code := put(0, "x")
		Expect(code).To(Equal(fault.BadRequest))
		Expect(read().Version).To(BeZero())
	})

	It("is sent to a watcher only after a change, like each upstream", func() {
		report := func(id string, sequence uint64, state registry.State) {
			var ack controlrpc.Ack
			instance := registry.Instance{ID: id, Service: "a", Address: id + ":1", Slots: 1, State: state, Sequence: sequence}
			Expect(service.Report(controlrpc.ReportArgs{Report: registry.Report{Instance: instance}}, &ack)).To(Succeed())
			Expect(ack.Fault).To(BeNil())
		}
		watch := func(known uint64) controlrpc.WatchReply {
			var reply controlrpc.WatchReply
			Expect(service.Watch(controlrpc.WatchArgs{Known: known, WaitMillis: 10, Watcher: "w"}, &reply)).To(Succeed())
			Expect(reply.Fault).To(BeNil())
			return reply
		}
		put(5, "first")
		report("1", 1, registry.Ready)
		report("2", 1, registry.Ready)
		first := watch(0)
		Expect(first.Table.Version).To(BeEquivalentTo(5))
		Expect(first.Instances.Changed).To(HaveLen(2))
		Expect(first.Watchers).To(BeZero(), "a new leader has not heard from all watchers")
		report("2", 2, registry.Draining)
		second := watch(first.Revision)
		Expect(second.Table).To(BeNil())
		Expect(second.Instances.Changed).To(HaveLen(1))
		Expect(second.Instances.Changed[0].State).To(Equal(registry.Draining))
		Expect(watch(second.Revision).Instances.Changed).To(BeEmpty())
		Eventually(func() int { return watch(second.Revision).Watchers }, 3*time.Second).Should(Equal(1))
	})

	It("refuses upstreams beyond the limit, so that made-up ones do not use up memory, and keeps the others", func() {
		report := func(n int) fault.Code {
			var ack controlrpc.Ack
			instance := registry.Instance{ID: fmt.Sprint(n), Service: "a", Address: fmt.Sprintf("10.%d.%d.%d:1", n>>16, n>>8&255, n&255), Slots: 1, State: registry.Ready}
			instance.Sequence = uint64(n) + 1
			Expect(service.Report(controlrpc.ReportArgs{Report: registry.Report{Instance: instance}}, &ack)).To(Succeed())
			if ack.Fault == nil {
				return ""
			}
			return ack.Fault.Code
		}
		for n := range registry.MaxInstances {
			Expect(report(n)).To(BeEmpty())
		}
		Expect(report(registry.MaxInstances)).To(Equal(fault.Unavailable))
		Expect(report(7)).To(BeEmpty())
	})

	It("cannot be replaced by entry VMs, and upstream reports cannot be proposed by entry VMs or operators", func() {
		forbidden := func(command controlstate.Command, propose func(controlrpc.ProposeArgs, *controlrpc.ProposeReply) error) {
			var reply controlrpc.ProposeReply
			Expect(propose(controlrpc.ProposeArgs{Command: command}, &reply)).To(Succeed())
			Expect(reply.Fault.Code).To(Equal(fault.Forbidden))
		}
		report := controlstate.Command{ReportInstance: &controlstate.ReportInstance{}}
		routes := controlstate.Command{PutRoutes: &controlstate.PutRoutes{Table: routeTable(5, "x")}}
		forbidden(report, control.NewEntryAccess(service, "e").Propose)
		forbidden(routes, control.NewEntryAccess(service, "e").Propose)
		forbidden(report, control.NewOperatorAccess(service).Propose)
	})
})
