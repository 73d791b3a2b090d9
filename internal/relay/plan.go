package relay

import (
	"cmp"
	"hash/fnv"
	"slices"
)

const (
	// batchTarget is the desired number of attempts per batch: enough for merging to pay off, and few enough to spread the
	// attempts of one search over several VMs, each of which has only a fraction of a core.
	batchTarget = 10
	// relaysPerGroup is the number of relays that serve a group of shards. With two, the less loaded one can be chosen, and
	// the connections of each relay to its upstreams still stay in use.
	relaysPerGroup = 2
	// sharedRelays is the number of relays that serve a group while the preferred ones are short of processor time. With 12, each
	// may still hold four connections to an upstream that accepts 64.
	sharedRelays = 12
)

// preferFor returns the relays in the order of preference of one requesting VM. The first relaysPerGroup are the same for all VMs: they
// see the upstreams of the group often, and know slow ones early. The next ones, which are used while those are busy, begin at a
// place of the VM's own, so that a load spike is spread over all of them.
func preferFor(requester string, ranked []string) []string {
	shared := min(sharedRelays, len(ranked))
	if shared <= relaysPerGroup+1 {
		return ranked
	}
	others := ranked[relaysPerGroup:shared]
	first := int(score(requester, 0) % uint64(len(others)))
	return slices.Concat(ranked[:relaysPerGroup], others[first:], others[:first], ranked[shared:])
}

// GroupOf returns the group of a shard. The shards of a search are divided into groups; the shards of a group whose
// upstreams are in the same failure domain form a batch.
func GroupOf(shard, shards, domains int) int {
	groups := max(1, (shards+batchTarget*domains/2)/(batchTarget*max(1, domains)))
	return shard * groups / shards
}

// rank orders the peers of a failure domain for a group by rendezvous hashing: when a peer joins or leaves, only its own
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
	return fmix64(h.Sum64())
}

// fmix64 is the 64-bit finalizer of MurmurHash3. It is needed because the last bytes that FNV processes affect the high
// bits of the hash only in part.
func fmix64(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
