package relay

import (
	"cmp"
	"hash/fnv"
	"slices"
)

const (
	// batchTarget is the number of attempts that a batch should hold: enough for merging to pay, few enough for the
	// attempts of one search to be spread over several VMs of a fraction of a core each.
	batchTarget = 10
	// spread is the number of relays that a group of shards is sent to. Two let the less busy one be chosen, and keep the
	// connections of each relay to its upstreams in use.
	spread = 2
)

// Group returns the group of a shard. The shards of a search are cut into groups so that those of one group that lie in
// one failure domain make a batch.
func GroupOf(shard, shards, domains int) int {
	groups := max(1, (shards+batchTarget*domains/2)/(batchTarget*max(1, domains)))
	return shard * groups / shards
}

// rank orders the peers of a failure domain for a group by rendezvous hashing: when a peer comes or goes, only its own
// groups move.
func rank(peers []string, group int) []string {
	type scored struct {
		peer  string
		score uint64
	}
	all := make([]scored, len(peers))
	for i, peer := range peers {
		all[i] = scored{peer, score(peer, group)}
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.peer, b.peer))
	})
	out := make([]string, len(all))
	for i, s := range all {
		out[i] = s.peer
	}
	return out
}

func score(peer string, group int) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(peer))
	_, _ = h.Write([]byte{byte(group), byte(group >> 8)})
	return mix(h.Sum64())
}

// mix spreads the bits of a hash: the last bytes that FNV reads reach its high bits only in part.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
