package relay

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// domainVMs returns the IDs of the VMs of one failure domain.
func domainVMs(domain string, count int) []string {
	ids := make([]string, count)
	for n := range ids {
		ids[n] = fmt.Sprintf("vm-%s-%d", domain, n)
	}
	return ids
}

// These specs play a load spike in a large fleet: every VM sends searches over 90 shards at the same rate. They guard against a
// few relays that carry the work of all searches and run out of processor time, while most VMs are idle.
var _ = Describe("the batches of a load spike", func() {
	const (
		domains    = 4
		perDomain  = 21
		shards     = 90
		busiestMax = 3.0
	)

	It("are spread over the VMs of a failure domain while the preferred relays are busy, so that the busiest other one carries at most three times the mean", func() {
		relays := domainVMs("a", perDomain)
		load := map[string]float64{}
		total := 0.0
		for domain := range domains {
			for _, requester := range domainVMs(string(rune('a'+domain)), perDomain) {
				for shard := range shards {
					ranked := preferFor(requester, rank(relays, GroupOf(shard, shards, domains)))
					for _, relay := range ranked[relaysPerGroup : 2*relaysPerGroup] {
						load[relay] += 1.0 / relaysPerGroup
						total += 1.0 / relaysPerGroup
					}
				}
			}
		}
		busiest := 0.0
		for _, l := range load {
			busiest = max(busiest, l)
		}
		Expect(busiest / (total / perDomain)).To(BeNumerically("<=", busiestMax))
		Expect(len(load)).To(BeNumerically(">=", perDomain/2))
	})

	It("go to the same relays from one search to the next, so that connections and observations stay of use", func() {
		relays := domainVMs("a", perDomain)
		first := preferFor("requester", rank(relays, 1))
		slices.Reverse(relays)
		Expect(preferFor("requester", rank(relays, 1))).To(Equal(first))
	})

	It("of a group reach at most sharedRelays relays, so that upstreams with few connections hold them all", func() {
		relays := domainVMs("a", 300)
		used := map[string]bool{}
		for _, requester := range domainVMs("b", 300) {
			for _, relay := range preferFor(requester, rank(relays, 0))[:maxCandidates] {
				used[relay] = true
			}
		}
		Expect(len(used)).To(BeNumerically("<=", sharedRelays))
	})

	It("keep most of their relays when a VM leaves", func() {
		relays := domainVMs("a", perDomain)
		kept, all := 0, 0
		for _, requester := range domainVMs("b", 100) {
			before := preferFor(requester, rank(relays, 0))[:maxCandidates]
			after := preferFor(requester, rank(relays[1:], 0))[:maxCandidates]
			for _, relay := range before {
				all++
				if slices.Contains(after, relay) {
					kept++
				}
			}
		}
		Expect(float64(kept) / float64(all)).To(BeNumerically(">=", 0.5))
	})

	It("go to the common relays of a group while these are not busy, so that they see its upstreams often", func() {
		relays := domainVMs("a", perDomain)
		for _, requester := range domainVMs("b", perDomain) {
			Expect(preferFor(requester, rank(relays, 0))[:relaysPerGroup]).To(Equal(rank(relays, 0)[:relaysPerGroup]))
		}
	})

	It("avoid a relay that adds much time to its attempts, and try it again later", func() {
		now := time.Unix(1000, 0)
		links := make([]*Link, maxCandidates)
		for n := range links {
			links[n] = &Link{}
			links[n].health.condition = connected
		}
		Expect(pick(links, nil, now, usableOther)).To(BeIdenticalTo(links[0]))
		for range 10 {
			links[0].recordOverhead(now, 4*busyOverhead)
			links[1].recordOverhead(now, 4*busyOverhead)
		}
		Expect(pick(links, nil, now, usableOther)).To(BeIdenticalTo(links[2]))
		links[2].recordOverhead(now, 100*busyOverhead)
		links[3].recordOverhead(now, 100*busyOverhead)
		Expect(pick(links, nil, now, usableOther)).NotTo(BeNil(), "busy relays are better than none")
		Expect(pick(links, nil, now.Add(5*overheadDecay), usableOther)).To(BeIdenticalTo(links[0]))
	})

	It("tell the time that a relay adds from the time of its attempts and from the time for which it holds parts back", func() {
		report := BatchReport{Ended: []Ended{{Took: 20 * time.Millisecond}, {Took: 5 * time.Millisecond}}}
		Expect(report.overhead(26*time.Millisecond, 16*time.Millisecond)).To(Equal(6 * time.Millisecond))
		report = BatchReport{Ended: []Ended{{Took: 5 * time.Millisecond}}, Settled: true}
		Expect(report.overhead(19*time.Millisecond, 16*time.Millisecond)).To(Equal(3 * time.Millisecond))
		Expect((&BatchReport{}).overhead(time.Millisecond, 16*time.Millisecond)).To(Equal(time.Millisecond))
	})
})
