package relay

import (
	"fmt"
	"slices"

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

	It("are spread over the VMs of a failure domain, so that the busiest relay carries at most three times the mean", func() {
		relays := domainVMs("a", perDomain)
		load := map[string]float64{}
		total := 0.0
		for domain := range domains {
			for _, requester := range domainVMs(string(rune('a'+domain)), perDomain) {
				for shard := range shards {
					ranked := preferFor(requester, rank(relays, GroupOf(shard, shards, domains)))
					for _, relay := range ranked[:relaysPerGroup] {
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
			for _, relay := range preferFor(requester, rank(relays, 0))[:relaysPerGroup] {
				used[relay] = true
			}
		}
		Expect(len(used)).To(BeNumerically("<=", sharedRelays))
	})

	It("keep most of their relays when a VM leaves", func() {
		relays := domainVMs("a", perDomain)
		kept, all := 0, 0
		for _, requester := range domainVMs("b", 100) {
			before := preferFor(requester, rank(relays, 0))[:relaysPerGroup]
			after := preferFor(requester, rank(relays[1:], 0))[:relaysPerGroup]
			for _, relay := range before {
				all++
				if slices.Contains(after, relay) {
					kept++
				}
			}
		}
		Expect(float64(kept) / float64(all)).To(BeNumerically(">=", 0.5))
	})
})
