package router

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/route"
)

// hedgeLoad is the load of these specs: searches over many shards behind one relay, as an entry VM of a large deployment
// sends them every few seconds.
var _ = Describe("hedges of searches over many shards behind a relay", func() {
	const (
		shards   = 30
		replicas = 3
		usual    = 10 * time.Millisecond
		// standstill is longer than the objective, so that only a hedge completes the search in time.
		standstill = 1500 * time.Millisecond
	)
	var requester, relaying *relayVM
	var upstreams []*fakeUpstream
	var rt *route.Route

	BeforeEach(func() {
		requester, relaying = startVM("requester", "a"), startVM("relaying", "b")
		rt = &route.Route{Name: "r", Idempotent: true, Attempts: 2, Timeout: 3 * time.Second, Objective: 800 * time.Millisecond, Top: 3, Coverage: 0.5}
		upstreams = nil
		for shard := range shards {
			service := fmt.Sprintf("s%02d", shard)
			rt.Shards = append(rt.Shards, service)
			for n := range replicas {
				u := startFakeUpstream(fmt.Sprintf("%s-%d", service, n), service, "b", byte(shard))
				u.delay.Store(int64(usual))
				upstreams = append(upstreams, u)
			}
		}
		requester.adopt(upstreams...)
		relaying.adopt(upstreams...)
		requester.connect("b", relaying.peer())
		for _, service := range rt.Shards {
			requester.router.budget(service, time.Now()).Add(1)
		}
	})

	It("are not sent before it is known what a slow response is, so that the first search leaves the budget to later ones", func() {
		g, err := requester.search(rt)
		Expect(err).NotTo(HaveOccurred())
		Expect(g.MissingCount).To(BeZero())
		Expect(g.Hedges).To(BeZero())
	})

	It("go only to shards that the relay has not heard from, however late its report is", func() {
		for range 3 {
			_, err := requester.search(rt)
			Expect(err).NotTo(HaveOccurred())
		}
		sentBefore := requester.router.Counts().Extra
		// All replicas of three shards stand still but one, which a hedge finds if the first choice is another.
		for i, u := range upstreams[:3*replicas] {
			if i%replicas != 0 {
				u.delay.Store(int64(standstill))
			}
		}
		g, err := requester.search(rt)
		Expect(err).NotTo(HaveOccurred())
		Expect(requester.router.Counts().Extra - sentBefore).To(BeNumerically("<=", 3))
		Expect(g.MissingCount).To(BeNumerically("<=", 3))
	})

	It("return their parts as soon as they have one, even if another hedge through the same relay takes long", func() {
		// The first choices of two shards are cold and stand still, and so is the second choice of one of them.
		for i, u := range upstreams {
			if i >= 2*replicas {
				break
			}
			if i%replicas == 0 || i == 1 || i == 2 {
				u.delay.Store(int64(standstill))
			}
			if i%replicas != 0 {
				u.instance.ColdMillis = time.Minute.Milliseconds()
			}
		}
		requester.adopt(upstreams...)
		began := time.Now()
		g, err := requester.search(rt)
		Expect(err).NotTo(HaveOccurred())
		Expect(time.Since(began)).To(BeNumerically("<", rt.Objective+100*time.Millisecond))
		Expect(g.MissingShards).To(Equal([]string{"s00"}), "the hedge of s01 has responded")
	})
})
