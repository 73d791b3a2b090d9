package router

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/notice"
	"github.com/wisteriamux/wisteriamux/internal/ratelimit"
	"github.com/wisteriamux/wisteriamux/internal/replica"
	"github.com/wisteriamux/wisteriamux/internal/route"
)

var _ = Describe("explaining a request", func() {
	var vm, relaying *relayVM
	var u [3]*fakeUpstream
	var far *fakeUpstream
	var forwarded, searched *route.Route

	BeforeEach(func() {
		vm, relaying = startVM("requester", "a"), startVM("relaying", "b")
		vm.router.config.Pace = true
		for n := range u {
			u[n] = startFakeUpstream(fmt.Sprint("u", n), "s", "a", 5)
		}
		far = startFakeUpstream("far", "far", "b", 5)
		table := keyTable(3, map[string]string{"a": testKey})
		table.Teams[0].PerSecond, table.Teams[0].Burst = 10, 20
		table.Teams[0].Rank, table.Teams[0].Ranked = 1, true
		table.Routes[0].Public = true
		table.Services = append(table.Services, route.Service{Name: "far"})
		table.Routes = append(table.Routes,
			route.Route{Name: "search", Host: "search", Prefix: "/", Attempts: 2, Timeout: 2 * time.Second, Objective: time.Second, Top: 3, Coverage: 1,
				Shards: []string{"s", "far"}, Public: true},
			route.Route{Name: "keyed", Host: "keyed", Prefix: "/", Timeout: time.Second, Service: "s"},
			route.Route{Name: "empty", Host: "empty", Prefix: "/", Timeout: time.Second, Service: "t", Public: true})
		vm.confirmTable(5, table, u[0], u[1], u[2], far)
		relaying.confirmTable(5, table, u[0], u[1], u[2], far)
		vm.connect("b", relaying.peer())
		forwarded, searched = vm.router.View().Routes.Match("x", "/"), vm.router.View().Routes.Match("search", "/")
		// The costs differ, so that no choice is a tie.
		for n := range u {
			vm.router.tracker.RecordPeerCost(time.Now(), u[n].instance.ID, 1.5+float64(n)/10)
		}
	})

	explain := func(host string) Explanation {
		return vm.router.Explain(ExplainRequest{Host: host, Path: "/", Method: "GET"})
	}
	// ids returns the upstreams of a target in order, those that would not be chosen with the reason.
	ids := func(t TargetState) (all []string) {
		for _, state := range t.Upstreams {
			if state.Order > 0 {
				all = append(all, state.ID)
			} else {
				all = append(all, state.ID+" "+state.Excluded)
			}
		}
		return all
	}
	ran := func(send func()) (at []string) {
		before := map[string]int64{}
		for _, up := range append(u[:], far) {
			before[up.instance.ID] = up.requests.Load()
		}
		send()
		for _, up := range append(u[:], far) {
			if up.requests.Load() > before[up.instance.ID] {
				at = append(at, up.instance.ID)
			}
		}
		return at
	}
	forward := func() []string {
		return ran(func() {
			_, err := vm.router.Forward(GinkgoT().Context(), forwarded, testRequest(forwarded, "1", "/x"))
			Expect(err).NotTo(HaveOccurred())
		})
	}
	expectForward := func(order ...string) {
		e := explain("x")
		Expect(ids(e.Targets[0])).To(Equal(order))
		Expect(forward()).To(Equal(order[:1]))
	}

	// Guards against explanations that hide at which of two addresses a VM uses an upstream that has moved.
	It("names the addresses at which the upstreams are used", func() {
		addresses := map[string]string{}
		for _, up := range explain("x").Targets[0].Upstreams {
			addresses[up.ID] = up.Address
		}
		for _, up := range append(u[:], far) {
			if at, named := addresses[up.instance.ID]; named {
				Expect(at).To(Equal(up.instance.Address))
			}
		}
		Expect(addresses).NotTo(BeEmpty())
	})

	It("names the upstream to which a forwarded request goes", func() {
		e := explain("x")
		Expect(e.Route).To(Equal("r"))
		Expect(e.TableVersion).To(BeEquivalentTo(3))
		Expect(e.HedgeAfter).To(Equal(550.0))
		Expect(e.Refusals).To(BeEmpty())
		expectForward("u0", "u1", "u2")
	})

	It("names the upstreams and the relay of a search", func() {
		e := explain("search")
		Expect(e.Targets).To(HaveLen(2))
		Expect(e.Targets[0].Upstreams[0].Relay).To(BeEmpty())
		Expect(e.Targets[1].Upstreams[0].Relay).To(Equal("relaying"))
		Expect(e.HedgeAfter).To(Equal(400.0))
		relayed := vm.router.Counts().Relayed
		Expect(ran(func() {
			_, err := vm.router.Search(GinkgoT().Context(), searched, testRequest(searched, "1", "/x"))
			Expect(err).NotTo(HaveOccurred())
		})).To(Equal([]string{e.Targets[0].Upstreams[0].ID, "far"}))
		Expect(vm.router.Counts().Relayed).To(Equal(relayed + 1))
	})

	It("follows an upstream that leaves", func() {
		vm.router.observeNotice(vm.router.View().byID["u0"], notice.Notice{Leaving: true})
		// One that leaves is the last resort for a moment.
		expectForward("u1", "u2", "u0")
	})

	It("follows an evacuation", func() {
		vm.router.adopt(controlrpc.WatchReply{Revision: 6, Watchers: 2, Evacuated: []string{"b"}, EvacuationsWhole: true})
		e := explain("search")
		Expect(ids(e.Targets[1])).To(Equal([]string{"far evacuated"}))
		Expect(e.Refusals[0].Code).To(Equal(fault.NotRun))
		_, err := vm.router.Search(GinkgoT().Context(), searched, testRequest(searched, "1", "/x"))
		Expect(fault.CodeOf(err)).To(Equal(fault.NotRun))
	})

	It("follows an upstream that is slow, and one in a slow start", func() {
		vm.router.tracker.RecordPeerCost(time.Now(), "u0", 5)
		expectForward("u1", "u2", "u0")
		vm.router.mu.Lock()
		vm.router.pace.Started(time.Now(), "u1", 30*time.Second)
		vm.router.mu.Unlock()
		e := explain("x")
		Expect(e.Targets[0].Upstreams[0].ID).To(Equal("u2"))
		Expect(e.Targets[0].Upstreams[1].Share).To(BeNumerically("<", 0.5))
	})

	It("follows an upstream at its rate limit, and names the refusal when all are", func() {
		perSecond := 5.0
		for n := range u {
			up := vm.router.View().byID[u[n].instance.ID]
			vm.router.observeLimit(up, ratelimit.Statement{PerSecond: perSecond})
			if n == 0 {
				vm.router.recordFull(up, time.Minute)
				Expect(ids(explain("x").Targets[0])).To(Equal([]string{"u1", "u2", "u0 rate limit"}))
				Expect(forward()).To(Equal([]string{"u1"}))
			}
		}
		for n := range u {
			vm.router.recordFull(vm.router.View().byID[u[n].instance.ID], time.Minute)
		}
		Expect(explain("x").Refusals[0].Code).To(Equal(fault.RateLimited))
		_, err := vm.router.Forward(GinkgoT().Context(), forwarded, testRequest(forwarded, "1", "/x"))
		Expect(fault.CodeOf(err)).To(Equal(fault.RateLimited))
	})

	It("changes neither the budget, nor the observations, nor the choice when called often", func() {
		forward()
		vm.router.mu.Lock()
		bucket, known, stats := *vm.router.budgets["s"].bucket, len(vm.router.budgets), len(vm.router.routes)
		refilled := vm.router.budgets["s"].lastRefill
		vm.router.mu.Unlock()
		costs := func() (all []int) {
			for n := range u {
				all = append(all, vm.router.tracker.InFlight(u[n].instance.ID))
			}
			return all
		}
		counts, inFlight, order := vm.router.Counts(), costs(), ids(explain("x").Targets[0])
		quotas := vm.router.QuotaCounts()
		vm.router.tracker = sameChoices(vm.router.tracker)
		for range 1000 {
			for _, host := range []string{"x", "search", "keyed", "empty"} {
				vm.router.Explain(ExplainRequest{Host: host, Path: "/", Method: "GET", Team: "a"})
			}
		}
		Expect(vm.router.Counts()).To(Equal(counts))
		Expect(vm.router.QuotaCounts()).To(Equal(quotas))
		Expect(costs()).To(Equal(inFlight))
		Expect(ids(explain("x").Targets[0])).To(Equal(order))
		Expect(*vm.router.budgets["s"].bucket).To(Equal(bucket))
		Expect(vm.router.budgets["s"].lastRefill).To(Equal(refilled))
		Expect(vm.router.budgets).To(HaveLen(known))
		Expect(vm.router.routes).To(HaveLen(stats))
		Expect(vm.router.quotas.teams).To(BeEmpty())
		// Equal candidates are chosen at random: the sequence shows whether the random state was used.
		Expect(ties(vm.router.tracker)).To(Equal(ties(sameChoices(nil))))
	})

	It("names the share that admission refuses, by the decision of requests", func() {
		vm.router.config.Admission = AdmissionRanked
		door := &vm.router.admissions.get(serviceDoorKey("s"), time.Now()).door
		door.RecordLate(time.Now().Add(-time.Second), time.Second, time.Second)
		door.RecordLate(time.Now(), time.Second, time.Second)
		e := explain("x")
		Expect(e.Admission.Mode).To(Equal(AdmissionRanked))
		Expect(e.Admission.RefusedShare).To(BeNumerically(">", 0.05))
		Expect(e.Admission.EvidenceAge).To(BeNumerically("<", 1000))
		Expect(e.Refusals[0].Code).To(Equal(fault.Overloaded))
		Expect(e.Refusals[0].Share).To(Equal(e.Admission.RefusedShare))
		Expect(explain("x").Admission.RefusedShare).To(BeNumerically("~", e.Admission.RefusedShare, 0.01), "it is not counted")
	})

	It("names the team, its rank and quota, and a missing key", func() {
		e := vm.router.Explain(ExplainRequest{Host: "keyed", Path: "/", Team: "a"})
		Expect(e.Rank).To(Equal(1))
		Expect(e.Team.Quota.PerSecond).To(Equal(10.0))
		Expect(e.Refusals).To(BeEmpty())
		Expect(explain("keyed").Refusals[0].Code).To(Equal(fault.Unauthenticated))
		Expect(explain("empty").Refusals[0].Code).To(Equal(fault.NotRun), "no upstream")
	})

	It("tells an unknown host or path, an unknown team and no configuration apart", func() {
		Expect(explain("other").Problem).To(Equal(NoRoute))
		Expect(vm.router.Explain(ExplainRequest{Host: "x", Path: "/", Team: "nobody"}).Problem).To(Equal(UnknownTeam))
		Expect(startVM("new", "a").router.Explain(ExplainRequest{Host: "x", Path: "/"}).Problem).To(Equal(NoConfiguration))
	})
})

// sameChoices returns a tracker without observations whose choices are the same at each call, or one with those of the tracker.
func sameChoices(t *replica.Tracker) *replica.Tracker {
	fresh := replica.New(7)
	if t != nil {
		for n := range 3 {
			id := fmt.Sprint("u", n)
			fresh.RecordPeerCost(time.Now(), id, 1.5+float64(n)/10)
		}
	}
	return fresh
}

// ties returns the choices among equal candidates.
func ties(t *replica.Tracker) (all []int) {
	candidates := []replica.Candidate{{ID: "p"}, {ID: "q"}, {ID: "r"}}
	for range 20 {
		all = append(all, t.Choose(time.Now(), candidates, nil))
	}
	return all
}
