package control_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/control"
	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
)

var _ = Describe("the entry VMs that relay", func() {
	var now time.Time
	var service *control.Service
	BeforeEach(func() {
		now = time.Unix(1000, 0)
		machine := control.NewMachine()
		service = control.NewService("one", machine, control.NewMemoryReplicator("one", machine), func() time.Time { return now })
	})
	watch := func(args controlrpc.WatchArgs) controlrpc.WatchReply {
		args.WaitMillis = 1
		var reply controlrpc.WatchReply
		Expect(service.Watch(args, &reply)).To(Succeed())
		return reply
	}
	vm := func(id, domain string) controlrpc.WatchArgs {
		return controlrpc.WatchArgs{Watcher: id, FailureDomain: domain, RelayAddress: id + ":1"}
	}

	It("are sent to each other, once for each change", func() {
		watch(vm("a", "x"))
		reply := watch(vm("b", "y"))
		Expect(reply.Peers).To(Equal([]controlrpc.Peer{{ID: "a", FailureDomain: "x", Address: "a:1"}}))
		again := vm("b", "y")
		again.PeersDigest = reply.PeersDigest
		Expect(watch(again).Peers).To(BeEmpty())
		watch(vm("c", "y"))
		Expect(watch(again).Peers).To(HaveLen(2))
	})

	It("are dropped when they stop watching, so that no searches are relayed through a VM that is gone", func() {
		watch(vm("a", "x"))
		first := watch(vm("b", "y"))
		now = now.Add(4 * time.Second)
		again := vm("b", "y")
		again.PeersDigest = first.PeersDigest
		reply := watch(again)
		Expect(reply.PeersDigest).NotTo(Equal(first.PeersDigest))
		Expect(reply.Peers).To(BeEmpty())
	})

	It("are not sent to watchers that do not relay", func() {
		watch(vm("a", "x"))
		Expect(watch(controlrpc.WatchArgs{Watcher: "old"}).Peers).To(BeEmpty())
		Expect(watch(vm("b", "y")).Peers).To(HaveLen(1))
	})

	It("are a bounded sample of each failure domain in a large fleet", func() {
		for i := range 100 {
			watch(vm(fmt.Sprintf("x%d", i), "x"))
		}
		reply := watch(vm("b", "y"))
		Expect(reply.Peers).To(HaveLen(32))
	})
})
