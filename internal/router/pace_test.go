package router

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/pace"
	"github.com/wisteriamux/wisteriamux/internal/registry"
	"github.com/wisteriamux/wisteriamux/internal/relay"
	"github.com/wisteriamux/wisteriamux/internal/replica"
	"github.com/wisteriamux/wisteriamux/internal/upstreamconn"
)

var _ = Describe("the slow start of upstreams", func() {
	var vm *relayVM
	var u, other *fakeUpstream
	BeforeEach(func() {
		vm = startVM("vm", "a")
		vm.router.config.Pace = true
		u, other = startFakeUpstream("u", "s", "a", 1), startFakeUpstream("other", "s", "a", 1)
	})
	share := func(id string) float64 { return vm.router.pace.Share(time.Now(), id) }

	It("begins for processes that register later, not for those that a VM finds at its own start", func() {
		vm.adoptAs(1, u)
		Expect(share("u")).To(Equal(1.0))
		vm.adoptAs(2, u, other)
		Expect(share("u")).To(Equal(1.0))
		Expect(share("other")).To(BeNumerically("<", 1))
		u.instance.Born = 7
		vm.adoptAs(3, u, other)
		Expect(share("u")).To(BeNumerically("<", 1), "the next process of the upstream")
		Expect(vm.router.Counts().BelowShare).To(BeEquivalentTo(2))
		Expect(vm.router.SlowStarts()[1].Reason).To(Equal("started"))
	})

	It("does not begin for what a leader adds to a provisional view, but for a process younger than its cold start", func() {
		reply := controlrpc.WatchReply{Revision: 1, Provisional: true, Instances: registry.Delta{Whole: true}}
		vm.router.adopt(reply)
		other.instance.Born, other.instance.ColdMillis = time.Now().UnixMilli(), 10_000
		vm.adoptAs(2, u, other)
		Expect(share("u")).To(Equal(1.0))
		Expect(share("other")).To(BeNumerically("<", 1))
		third := startFakeUpstream("third", "s", "a", 1)
		vm.adoptAs(3, u, other, third)
		Expect(share("third")).To(BeNumerically("<", 1))
	})

	It("is off without the setting", func() {
		vm.router.config.Pace = false
		vm.adoptAs(1, u)
		vm.adoptAs(2, u, other)
		vm.router.updateTracker(&attempt{upstream: vm.router.View().byID["u"], sent: time.Now()}, replica.Failed, 0)
		Expect(vm.router.pace.Empty()).To(BeTrue())
	})

	It("begins for upstreams that return from an evacuation, to which no VM has connections", func() {
		vm.adoptAs(1, u, other)
		vm.router.adopt(controlrpc.WatchReply{Revision: 2, EvacuationsWhole: true, Evacuated: []string{"a"}})
		vm.router.adopt(controlrpc.WatchReply{Revision: 3, EvacuationsWhole: true})
		Expect(share("u")).To(BeNumerically("<", 1))
	})

	It("sends most requests elsewhere, and all of them there if there is no other upstream", func() {
		vm.adoptAs(1, u)
		vm.adoptAs(2, u, other)
		for range 100 {
			vm.router.mu.Lock()
			vm.router.pace.Started(time.Now(), "other", 30*time.Second)
			vm.router.mu.Unlock()
			_, err := vm.search(searchRoute("s"))
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(other.requests.Load()).To(BeNumerically("<", 40))
		Expect(u.requests.Load()).To(BeNumerically(">", 60))
		vm.adoptAs(3, other)
		before := other.requests.Load()
		for range 10 {
			_, err := vm.search(searchRoute("s"))
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(other.requests.Load()).To(Equal(before + 10))
	})

	It("begins when an upstream answers again, and is told to VMs that ask through a relay", func() {
		relaying := startVM("relaying", "b")
		relaying.router.config.Pace = true
		far := startFakeUpstream("far", "far", "b", 1)
		vm.adoptAs(1, far)
		relaying.adoptAs(1, far)
		vm.connect("b", relaying.peer())
		_, err := vm.search(searchRoute("far"))
		Expect(err).NotTo(HaveOccurred())
		Expect(share("far")).To(Equal(1.0), "nothing is reported of upstreams at their full share")
		relaying.router.mu.Lock()
		for range 3 {
			relaying.router.pace.Observe(time.Now(), "far", pace.Failed, 0, time.Second)
		}
		relaying.router.mu.Unlock()
		// A slow response keeps the share low.
		far.delay.Store(int64(60 * time.Millisecond))
		_, err = vm.search(searchRoute("far"))
		Expect(err).NotTo(HaveOccurred())
		Expect(share("far")).To(BeNumerically("<", 1))
		Expect(vm.router.SlowStarts()[0].Reason).To(Equal("relayed"))
	})

	It("makes a relay decline what the requesting VM did not hold back itself, and nothing that has no alternative", func() {
		vm.adoptAs(1, u)
		vm.adoptAs(2, u, other)
		request := &upstreamconn.Request{Method: "GET", Target: "/x", Remaining: time.Second}
		try := func(a relay.Attempt) (declined int) {
			for range 40 {
				vm.router.mu.Lock()
				vm.router.pace.Started(time.Now(), "other", 30*time.Second)
				vm.router.mu.Unlock()
				a.Instance = "other"
				response, err := vm.relayAttempt(context.Background(), a, time.Second, request)
				if relay.Classify(response, err) == relay.Declined {
					declined++
				}
			}
			return declined
		}
		Expect(try(relay.Attempt{Optional: true})).To(BeNumerically(">", 20))
		Expect(try(relay.Attempt{Optional: true, Reduction: 0.85})).To(BeZero(), "it has let less than a fifth pass")
		Expect(try(relay.Attempt{})).To(BeZero())
		Expect(try(relay.Attempt{Optional: true, Urgent: true})).To(BeZero(), "a replacement would respond too late")
	})

	// Guards against searches with a short objective that are late because relays divert their attempts to other upstreams.
	It("lets no attempt of a search be diverted whose replacement would respond after the goal", func() {
		vm.adoptAs(1, u)
		rt := searchRoute("s")
		urgent := func(untilGoal time.Duration) bool {
			a := vm.router.chooseUpstream(rt, "s", nil, firstAttempt)
			s := &search{router: vm.router, route: rt, request: &Request{}, goal: time.Now().Add(untilGoal), expected: 5 * time.Millisecond, tried: make([][]*upstream, 1)}
			return s.runArgs(&relayed{kind: firstAttempt, open: map[int]*attempt{0: a}}).Attempts[0].Urgent
		}
		Expect(urgent(20 * time.Millisecond)).To(BeTrue())
		Expect(urgent(time.Second)).To(BeFalse())
	})
})
