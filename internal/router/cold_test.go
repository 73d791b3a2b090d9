package router

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/registry"
	"github.com/wisteriamux/wisteriamux/internal/route"
)

var _ = Describe("a cold upstream of a service that limits the requests to such", func() {
	const perSecond = 10.0
	table := func(cold float64) *route.Table {
		return &route.Table{Version: 1, Services: []route.Service{{Name: "s", ColdStart: time.Minute, ColdPerSecond: cold}}}
	}
	adopt := func(revision uint64, t *route.Table, u *fakeUpstream, vms ...*relayVM) {
		var peers []controlrpc.Peer
		for _, vm := range vms {
			peers = append(peers, vm.peer())
		}
		for _, vm := range vms {
			vm.router.adopt(controlrpc.WatchReply{Revision: revision, Watchers: len(vms), Table: t,
				Instances: registry.Delta{Changed: []registry.Instance{u.instance}}})
			vm.router.peers.Update(peers, time.Now())
		}
	}
	// storm sends requests from all VMs and returns how many the upstream got.
	storm := func(span time.Duration, u *fakeUpstream, vms ...*relayVM) int64 {
		before := u.requests.Load()
		for end := time.Now().Add(span); time.Now().Before(end); {
			for _, vm := range vms {
				_, _ = vm.forward("s")
			}
			time.Sleep(time.Millisecond)
		}
		return u.requests.Load() - before
	}
	coldBound := func(span time.Duration) float64 { return (1.5*perSecond)*span.Seconds() + 5 }

	It("gets no more than its rate from all VMs together after its start, and is free afterwards", func() {
		one, two := startVM("one", "a"), startVM("two", "a")
		u := startFakeUpstream("u", "s", "a", 5)
		u.instance.Born = time.Now().UnixMilli()
		adopt(1, table(perSecond), u, one, two)
		_ = storm(300*time.Millisecond, u, one, two)
		got := storm(time.Second, u, one, two)
		Expect(float64(got)).To(BeNumerically("<=", coldBound(time.Second)))
		Expect(got).To(BeNumerically(">", 2))
		u.instance.Born = time.Now().Add(-2 * time.Minute).UnixMilli()
		adopt(2, nil, u, one, two)
		Expect(storm(500*time.Millisecond, u, one, two)).To(BeNumerically(">", 50))
	})

	It("is limited again when it reports to be cold", func() {
		vm := startVM("one", "a")
		u := startFakeUpstream("u", "s", "a", 5)
		u.instance.Born = time.Now().Add(-time.Hour).UnixMilli()
		adopt(1, table(perSecond), u, vm)
		Expect(storm(300*time.Millisecond, u, vm)).To(BeNumerically(">", 50))
		u.instance.ColdMillis, u.instance.ColdUntil = 30_000, time.Now().Add(30*time.Second).UnixMilli()
		adopt(2, nil, u, vm)
		Expect(float64(storm(time.Second, u, vm))).To(BeNumerically("<=", coldBound(time.Second)))
	})

	It("takes the lower of that rate and one that it names", func() {
		vm := startVM("one", "a")
		u := startFakeUpstream("u", "s", "a", 5)
		u.instance.Born = time.Now().UnixMilli()
		u.setRateLimit("2")
		adopt(1, table(perSecond), u, vm)
		_ = storm(500*time.Millisecond, u, vm)
		Expect(float64(storm(2*time.Second, u, vm))).To(BeNumerically("<=", 1.5*2*2+5))
	})

	It("is not limited without such a rate", func() {
		vm := startVM("one", "a")
		u := startFakeUpstream("u", "s", "a", 5)
		u.instance.Born, u.instance.ColdMillis = time.Now().UnixMilli(), 30_000
		adopt(1, table(0), u, vm)
		Expect(storm(300*time.Millisecond, u, vm)).To(BeNumerically(">", 50))
	})
})
