package router

import (
	"context"
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/registry"
	"github.com/wisteriamux/wisteriamux/internal/relay"
	"github.com/wisteriamux/wisteriamux/internal/upstreamconn"
)

var _ = Describe("the evacuation of a failure domain", func() {
	var requester, relaying *relayVM
	var near, far *fakeUpstream
	revision := uint64(1)

	BeforeEach(func() {
		revision = 1
		requester, relaying = startVM("requester", "a"), startVM("relaying", "b")
		near, far = startFakeUpstream("near", "s", "a", 5), startFakeUpstream("far", "s", "b", 9)
		for _, vm := range []*relayVM{requester, relaying} {
			vm.adopt(near, far)
		}
		requester.connect("b", relaying.peer())
	})

	set := func(vm *relayVM, domains ...string) {
		revision++
		vm.router.adopt(controlrpc.WatchReply{Revision: revision, Watchers: 2, Evacuated: domains, EvacuationsWhole: true})
	}
	search := func() error {
		_, err := requester.search(searchRoute("s"))
		return err
	}
	forward := func() error {
		_, err := requester.forward("s")
		return err
	}

	for name, send := range map[string]func() error{"a search": search, "a forwarded request": forward} {
		It("sends nothing there for "+name+", neither as first attempt nor as hedge or retry, and everything again afterwards", func() {
			near.delay.Store(int64(2 * time.Millisecond))
			set(requester, "b")
			before := far.requests.Load()
			for n := range 60 {
				requester.router.budget("s", time.Now()).Add(10)
				// Refusals make retries due, and slow answers hedges.
				near.refuse.Store(n%3 == 0)
				near.delay.Store(int64(time.Duration(n%2) * 8 * time.Millisecond))
				_ = send()
			}
			Expect(far.requests.Load()).To(Equal(before))

			near.refuse.Store(true)
			set(requester)
			Eventually(func() int64 {
				_ = send()
				return far.requests.Load()
			}).Should(BeNumerically(">", before))
		})
	}

	It("makes a relay refuse attempts of VMs that do not know of it, so that they try another upstream without a token", func() {
		set(relaying, "b")
		_, err := relaying.relayAttempt(context.Background(), relay.Attempt{Instance: "far"}, time.Second, &upstreamconn.Request{Target: "/x", Remaining: time.Second})
		Expect(relay.Classify(nil, err)).To(Equal(relay.Unsent))
		for range 20 {
			Expect(search()).To(Succeed())
		}
		Expect(far.requests.Load()).To(BeZero())
		Expect(requester.router.Counts().Extra).To(BeZero())
	})

	It("does not send a request that was chosen before and waits, and does not count it against the upstream", func() {
		u := requester.router.View().byID["far"]
		set(requester, "b")
		response, err := requester.router.send(context.Background(), u, 0, time.Second, &upstreamconn.Request{Target: "/x", Remaining: time.Second})
		Expect(response).To(BeNil())
		Expect(far.requests.Load()).To(BeZero())
		Expect(mayHaveArrived(response, err)).To(BeFalse())
		Expect(directResult(response, err, false).String()).To(Equal("unknown"))
	})

	It("cuts no request in flight, and keeps connections and observations until its end", func() {
		far.delay.Store(int64(150 * time.Millisecond))
		u := requester.router.View().byID["far"]
		send := func() (*upstreamconn.Response, error) {
			return requester.router.send(context.Background(), u, 0, time.Second, &upstreamconn.Request{Target: "/x", Remaining: time.Second, MaxBodyBytes: 1 << 10})
		}
		var wait sync.WaitGroup
		var err error
		wait.Go(func() { _, err = send() })
		Eventually(far.requests.Load).Should(BeEquivalentTo(1))
		requester.router.tracker.RecordPeerCost(time.Now(), "far", 5)
		set(requester, "b")
		wait.Wait()
		Expect(err).NotTo(HaveOccurred())
		Expect(u.pool.IdleCount()).To(Equal(1))
		set(requester)
		again := requester.router.View().byID["far"]
		Expect(again.pool).To(BeIdenticalTo(u.pool))
		_, degraded := requester.router.tracker.Degraded(time.Now(), "far")
		Expect(degraded).To(BeTrue())
	})

	It("keeps the upstreams away when they register again, when the list of upstreams is sent as a whole, and with other changes", func() {
		set(requester, "b", "c")
		far.instance.Born = 77
		requester.adoptAs(10, near, far)
		Expect(requester.router.View().byID).NotTo(HaveKey("far"))
		Expect(requester.router.Evacuations()).To(Equal([]EvacuationInForce{
			{FailureDomain: "b", Upstreams: 1, Revision: 10}, {FailureDomain: "c", Revision: 10},
		}))
		Expect(requester.router.Counts().Withheld).To(BeEquivalentTo(1))
	})

	It("refuses at once and before anything runs what no other upstream can serve, and keeps the VM ready", func() {
		only := startFakeUpstream("only", "far-only", "b", 9)
		requester.adoptAs(10, near, far, only)
		revision = 10
		set(requester, "b")
		rt := searchRoute("s", "far-only")
		began := time.Now()
		_, err := requester.search(rt)
		Expect(fault.CodeOf(err)).To(Equal(fault.NotRun))
		Expect(near.requests.Load()+only.requests.Load()).To(BeZero(), "a search that cannot reach its coverage runs nowhere")
		_, err = requester.forward("far-only")
		Expect(fault.CodeOf(err)).To(Equal(fault.NotRun))
		Expect(time.Since(began)).To(BeNumerically("<", 200*time.Millisecond))

		rt.Coverage = 0.5
		g, err := requester.search(rt)
		Expect(err).NotTo(HaveOccurred())
		Expect(g.MissingShards).To(Equal([]string{"far-only"}), "the coverage is stated as it is")
		Expect(only.requests.Load()).To(BeZero())

		set(requester, "a", "b")
		requester.router.builder.routes = requester.router.View().Routes
		Expect(requester.router.View().UpstreamCount()).To(BeZero())
		Expect(fault.CodeOf(search())).To(Equal(fault.NotRun))
		Expect(len(requester.router.View().byService) + len(requester.router.View().withheld)).To(Equal(3))
	})

	It("counts from a provisional reply of a member that has stored it, until a leader says what is in force", func() {
		vm := startVM("restarted", "a")
		reply := controlrpc.WatchReply{Revision: 3, Provisional: true, MaybeEvacuated: []string{"b"}, Instances: registry.Delta{Whole: true}}
		for _, u := range []*fakeUpstream{near, far} {
			reply.Instances.Changed = append(reply.Instances.Changed, u.instance)
		}
		vm.router.adopt(reply)
		Expect(vm.router.View().byID).NotTo(HaveKey("far"))
		vm.router.adopt(controlrpc.WatchReply{Revision: 3})
		Expect(vm.router.View().byID).To(HaveKey("far"), "the command was never committed")
		vm.router.adopt(reply)
		vm.router.adopt(controlrpc.WatchReply{Revision: 4, EvacuationsWhole: true, Evacuated: []string{"b"}})
		Expect(vm.router.View().byID).NotTo(HaveKey("far"))
	})

	It("is forgotten with none of the statistics of the upstreams when they change meanwhile", func() {
		var all []*fakeUpstream
		for n := range 5 {
			all = append(all, startFakeUpstream(fmt.Sprint("u", n), "s", "b", 1))
		}
		requester.adoptAs(10, all...)
		revision = 10
		set(requester, "b")
		requester.router.tracker.RecordPeerCost(time.Now(), "u1", 5)
		revision++
		requester.router.adopt(controlrpc.WatchReply{Revision: revision, Watchers: 2, Instances: registry.Delta{Removed: []string{"u0"}}})
		set(requester)
		Expect(requester.router.View().UpstreamCount()).To(Equal(4))
		_, degraded := requester.router.tracker.Degraded(time.Now(), "u1")
		Expect(degraded).To(BeTrue())
	})
})
