package router

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/gather"
	"github.com/wisteriamux/wisteriamux/internal/relay"
	"github.com/wisteriamux/wisteriamux/internal/route"
)

// The load of these specs is that of searches over many shards behind one relay, as an entry VM of a large deployment
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

	It("go only to shards that are missing in the report that the relay makes when the hedge delay has passed", func() {
		const hedgeDelay = 20 * time.Millisecond
		sent := time.Now()
		s := &search{
			router: requester.router, route: rt, request: &Request{}, parts: make([]shardPart, shards),
			cancels: make([][]context.CancelFunc, shards),
			state: gather.New(gather.Config{
				Shards: shards, MinShards: shards, Attempts: 2, HedgeDelay: hedgeDelay, SoftDeadline: sent.Add(time.Hour), Deadline: sent.Add(time.Hour),
			}),
		}
		batch := &relayed{link: requester.router.peers.Pick("b", 0, nil, sent), kind: firstAttempt, open: map[int]*attempt{}}
		var early, settled []relay.Ended
		for shard := range shards {
			u := requester.router.View().byService[rt.Shards[shard]][0]
			batch.open[shard] = &attempt{upstream: u, sent: sent}
			s.state.Sent(sent, shard)
			s.state.AwaitReport(shard, sent.Add(hedgeDelay+reportLead+reportGrace))
			ended := relay.Ended{Number: shard, Stamp: rt.Shards[shard], Took: usual}
			switch {
			case shard == 0:
				early = append(early, ended)
			case shard > 3:
				settled = append(settled, ended)
			}
		}
		s.handleReport(context.Background(), relayReport{from: batch, report: relay.BatchReport{Ended: early}})
		due := sent.Add(hedgeDelay + reportLead)
		Expect(s.state.HedgesDue(due)).To(BeEmpty(), "parts may lie at the relay")
		s.handleReport(context.Background(), relayReport{from: batch, report: relay.BatchReport{Ended: settled, Settled: true}})
		Expect(s.state.HedgesDue(due)).To(Equal([]int{1, 2, 3}))
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
