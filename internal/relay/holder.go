package relay

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"
)

// Leave makes other VMs hold the buckets of this one, which is about to stop.
func (p *Peers) Leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaving = true
	p.invalidateOrder()
}

// Holder returns the VM that holds the bucket of an upstream: the first usable one by rendezvous hashing among all entry
// VMs, in any failure domain. If self is set it is this VM. A nil link without self means that the holder is not known yet.
func (p *Peers) Holder(upstream string, now time.Time) (link *Link, self bool) {
	for _, candidate := range p.rankedHolders(upstream) {
		if candidate == nil {
			return nil, true
		}
		switch usable, pending := candidate.available(now); {
		case usable:
			return candidate, false
		case pending:
			return nil, false
		}
	}
	return nil, false
}

// rankedHolders returns the entry VMs in the order in which they hold the bucket of an upstream. A nil link stands for
// this VM. The list is empty until the control group has sent the list of VMs: otherwise each VM would hold every bucket
// for itself after a restart of all VMs.
func (p *Peers) rankedHolders(upstream string) []*Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ranked, ok := p.holders[upstream]; ok || !p.listed {
		return ranked
	}
	var ids []string
	if !p.leaving {
		ids = append(ids, p.self)
	}
	for id := range p.links {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(cmp.Compare(holderScore(b, upstream), holderScore(a, upstream)), cmp.Compare(a, b))
	})
	ranked := make([]*Link, len(ids))
	for n, id := range ids {
		ranked[n] = p.links[id]
	}
	p.holders[upstream] = ranked
	return ranked
}

func holderScore(peer, upstream string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(peer))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(upstream))
	return fmix64(h.Sum64())
}
