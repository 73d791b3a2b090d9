package control_test

import (
	"net"
	"net/rpc"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/control"
	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/controlstate"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/raftnode"
)

var _ = Describe("evacuations at the control service", func() {
	var service *control.Service
	var client *rpc.Client
	BeforeEach(func() {
		machine := control.NewMachine()
		service = control.NewService("one", machine, control.NewMemoryReplicator("one", machine), time.Now)
		server := rpc.NewServer()
		Expect(server.RegisterName(controlrpc.ServiceName, service)).To(Succeed())
		near, far := net.Pipe()
		go server.ServeConn(far)
		client = rpc.NewClient(near)
		DeferCleanup(client.Close)
	})

	evacuate := func(domain string, active bool) fault.Code {
		var ack controlrpc.Ack
		Expect(client.Call(controlrpc.ServiceName+".Evacuate", controlrpc.EvacuateArgs{FailureDomain: domain, Active: active}, &ack)).To(Succeed())
		if ack.Fault != nil {
			return ack.Fault.Code
		}
		return ""
	}
	watch := func(known uint64) controlrpc.WatchReply {
		var reply controlrpc.WatchReply
		Expect(client.Call(controlrpc.ServiceName+".Watch", controlrpc.WatchArgs{Known: known, Watcher: "w"}, &reply)).To(Succeed())
		Expect(reply.Fault).To(BeNil())
		return reply
	}

	It("reach watchers as a whole list when they changed, so that an empty one differs from an unchanged one on the wire", func() {
		Expect(watch(0).EvacuationsWhole).To(BeFalse())
		Expect(evacuate("a", true)).To(BeEmpty())
		begun := watch(0)
		Expect(begun.EvacuationsWhole).To(BeTrue())
		Expect(begun.Evacuated).To(Equal([]string{"a"}))
		Expect(watch(begun.Revision).EvacuationsWhole).To(BeFalse())
		Expect(evacuate("a", false)).To(BeEmpty())
		finished := watch(begun.Revision)
		Expect(finished.EvacuationsWhole).To(BeTrue())
		Expect(finished.Evacuated).To(BeEmpty())
		Expect(evacuate("", true)).To(Equal(fault.BadRequest))
	})

	It("wake a watcher that waits, so that they are in force before its next poll", func() {
		known := watch(0).Revision
		woken := make(chan controlrpc.WatchReply, 1)
		go func() {
			defer GinkgoRecover()
			var reply controlrpc.WatchReply
			Expect(service.Watch(controlrpc.WatchArgs{Known: known, WaitMillis: 600, Watcher: "w"}, &reply)).To(Succeed())
			woken <- reply
		}()
		time.Sleep(20 * time.Millisecond)
		Expect(evacuate("a", true)).To(BeEmpty())
		var reply controlrpc.WatchReply
		Eventually(woken, 400*time.Millisecond).Should(Receive(&reply))
		Expect(reply.Evacuated).To(Equal([]string{"a"}))
	})

	It("may not be set by an entry VM", func() {
		command := controlstate.Command{SetEvacuation: &controlstate.SetEvacuation{FailureDomain: "a", Active: true}}
		var reply controlrpc.ProposeReply
		Expect(control.NewEntryAccess(service, "vm").Propose(controlrpc.ProposeArgs{Command: command}, &reply)).To(Succeed())
		Expect(reply.Fault.Code).To(Equal(fault.Forbidden))
	})
})

var _ = Describe("a restarted member without a leader", func() {
	It("names the evacuations in its log to VMs that start, also those that it does not know to be acknowledged", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address := listener.Addr().String()
		Expect(listener.Close()).To(Succeed())
		config := raftnode.Config{
			Name: "one", Address: address, Dir: GinkgoT().TempDir(),
			Dial: func(string) (net.Conn, error) { return nil, net.ErrClosed },
		}
		machine := control.NewMachine()
		config.Machine = machine
		Expect(raftnode.Bootstrap(config)).To(Succeed())
		node, err := raftnode.Open(config)
		Expect(err).NotTo(HaveOccurred())
		service := control.NewService("one", machine, node, time.Now)
		Eventually(func() *fault.WireError {
			var reply controlrpc.PutRoutesReply
			_ = service.PutRoutes(controlrpc.PutRoutesArgs{Table: routeTable(1, "r")}, &reply)
			return reply.Fault
		}, groupTimeout).Should(BeNil())
		for _, set := range []controlrpc.EvacuateArgs{{FailureDomain: "a", Active: true}, {FailureDomain: "b", Active: true}, {FailureDomain: "a"}} {
			var ack controlrpc.Ack
			Expect(service.Evacuate(set, &ack)).To(Succeed())
			Expect(ack.Fault).To(BeNil())
		}
		Expect(node.Close()).To(Succeed())

		// The member does not lead, as if the others were not there yet.
		restarted := control.NewMachine()
		config.Machine = restarted
		node, err = raftnode.Open(config)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = node.Close() }()
		Eventually(restarted.RoutesVersion, groupTimeout).Should(BeEquivalentTo(1))
		var reply controlrpc.WatchReply
		Expect(control.NewService("one", restarted, follower{node}, time.Now).Watch(controlrpc.WatchArgs{}, &reply)).To(Succeed())
		Expect(reply.Fault).To(BeNil())
		Expect(reply.Provisional).To(BeTrue())
		Expect(append(reply.Evacuated, reply.MaybeEvacuated...)).To(ContainElement("b"))
		// The only member of the group becomes leader, and knows what is committed.
		Eventually(func() []string {
			reply = controlrpc.WatchReply{}
			Expect(control.NewService("one", restarted, follower{node}, time.Now).Watch(controlrpc.WatchArgs{}, &reply)).To(Succeed())
			return append(reply.Evacuated, reply.MaybeEvacuated...)
		}, groupTimeout).Should(Equal([]string{"b"}))
		Expect(reply.MaybeEvacuated).To(BeEmpty(), "a member that has applied its log must not name old evacuations")
	})
})

// follower is a member that knows no leader.
type follower struct{ *raftnode.Node }

func (follower) Leader() string { return "" }

var _ raftnode.RecoveryObserver = (*control.Machine)(nil)
