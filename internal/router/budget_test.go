package router

import (
	"log/slog"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/registry"
	"github.com/wisteriamux/wisteriamux/internal/route"
)

var _ = Describe("the shared budget for extra attempts", func() {
	const (
		routers  = 7
		floor    = 54.0
		ratio    = 0.2
		requests = 800
		window   = 10 * time.Second
	)
	rt := &route.Route{Name: "r", Idempotent: true, Attempts: 2, Timeout: time.Second, Shards: []string{"s"}}

	// start returns a router that has been running for uptime, which is at most one window.
	start := func(uptime time.Duration) *Router {
		r := New(Config{ID: "x", ExtraShare: 0.9 * ratio, ExtraFloor: floor, ExtraWindow: window}, nil, nil, slog.New(slog.DiscardHandler))
		r.adopt(controlrpc.WatchReply{Revision: 1, Watchers: routers, Instances: registry.Delta{Whole: true, Changed: []registry.Instance{
			{ID: "a", Service: "s", Address: "127.0.0.1:1", Slots: 2, State: registry.Ready},
			{ID: "b", Service: "s", Address: "127.0.0.1:2", Slots: 2, State: registry.Ready},
		}}})
		r.started = time.Now().Add(-uptime)
		return r
	}

	// spend sends requests, each with one extra attempt if the budget has a token, and returns the number of extra
	// attempts.
	spend := func(r *Router, count int) int {
		granted := 0
		for range count {
			Expect(r.chooseUpstream(rt, "s", nil, firstAttempt)).NotTo(BeNil())
			if r.chooseUpstream(rt, "s", nil, extraAttempt) != nil {
				granted++
			}
		}
		return granted
	}

	// grantedOfMany returns the extra attempts that many VMs make together, each of which wants one for each of its few
	// requests.
	grantedOfMany := func(vms, requestsEach int, floor float64, uptime time.Duration) (granted int) {
		for range vms {
			r := start(uptime)
			r.config.ExtraFloor = floor
			r.builder.watchers = vms
			r.view.Store(r.builder.build(1, map[string]bool{"s": true}))
			r.resizeBudgets(vms)
			granted += spend(r, requestsEach)
		}
		return granted
	}

	It("is used although each of many VMs has only a part of a token", func() {
		const vms, floor = 68, 176
		granted := grantedOfMany(vms, 1, floor, window/4)
		earned := vms * (0.9*ratio + floorShare*floor/vms/4)
		Expect(granted).To(BeNumerically("~", earned, earned/2))
	})

	It("has no floor for a VM that does not know the number of VMs, as after a restart of all of them without a leader", func() {
		r := New(Config{ID: "x", ExtraShare: 0.9 * ratio, ExtraFloor: floor, ExtraWindow: window}, nil, nil, slog.New(slog.DiscardHandler))
		r.started = time.Now().Add(-window)
		reply := controlrpc.WatchReply{Revision: 1, Provisional: true, Instances: registry.Delta{Whole: true, Changed: []registry.Instance{
			{ID: "a", Service: "s", Address: "127.0.0.1:1", Slots: 2, State: registry.Ready},
			{ID: "b", Service: "s", Address: "127.0.0.1:2", Slots: 2, State: registry.Ready},
		}}}
		r.adopt(reply)
		// Each request earns 0.18 of a token, and the draws are random.
		Expect(spend(r, 100)).To(And(BeNumerically(">", 3), BeNumerically("<", 40)))
		reply.Revision, reply.Provisional, reply.Watchers = 2, false, routers
		r.adopt(reply)
		Expect(r.floorPerVM(r.View().watchers)).To(BeNumerically(">", 0))
	})

	It("is earned by requests where there is no floor, or next to none for each of many VMs", func() {
		for _, floor := range []float64{0, 54} {
			const vms, requestsEach = 300, 4
			earned := int(0.9 * ratio * vms * requestsEach)
			Expect(grantedOfMany(vms, requestsEach, floor, window)).To(BeNumerically("~", earned, earned/2), "floor %v", floor)
		}
	})

	It("is not exceeded by many VMs that all want more than there is", func() {
		for _, size := range []struct {
			vms   int
			floor float64
		}{{68, 176}, {300, 630}, {300, 54}} {
			const requestsEach = 2
			allowed := ratio*float64(size.vms*requestsEach) + size.floor
			Expect(grantedOfMany(size.vms, requestsEach, size.floor, window)).To(BeNumerically("<=", allowed), "%d VMs", size.vms)
		}
	})

	It("is not exceeded by all VMs together if each of them restarts within the window", func() {
		granted := 0
		for range routers {
			granted += spend(start(window), requests/routers/2)
			granted += spend(start(window/2), requests/routers/2)
		}
		Expect(granted).To(BeNumerically("<=", ratio*requests+floor))
		Expect(granted).To(BeNumerically(">", ratio*requests/2), "the budget must leave room for hedges")
	})
})
