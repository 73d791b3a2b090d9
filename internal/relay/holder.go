package relay

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
)

// Leave makes other VMs hold the buckets of this one, which is about to stop.
func (p *Peers) Leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaving = true
	p.invalidateOrder()
}

// Holder is the VM that holds the bucket of an upstream. The zero value means that it is not known yet.
type Holder struct {
	// Link leads to the VM, nil if Self is set.
	Link *Link
	// Self is set if it is this VM.
	Self bool
	// Deputy is the number of VMs that would hold the bucket if this VM could reach them.
	Deputy int
}

// Holder returns the VM that holds the bucket of an upstream: the first usable one by rendezvous hashing among the
// candidates of all failure domains.
func (p *Peers) Holder(upstream string, now time.Time) Holder {
	for deputy, candidate := range p.rankedHolders(upstream) {
		if candidate == nil {
			return Holder{Self: true, Deputy: deputy}
		}
		switch usable, pending := candidate.available(now); {
		case usable:
			return Holder{Link: candidate, Deputy: deputy}
		case pending:
			return Holder{}
		}
	}
	return Holder{}
}

// rankedHolders returns the candidates in the order in which they hold the bucket of an upstream. A nil link stands for
// this VM. The candidates are the VMs that the lists of all VMs have in common: this VM may know only a part of the others.
// The list is empty until the control group has sent the list of VMs: otherwise each VM would hold every bucket
// for itself after a restart of all VMs.
func (p *Peers) rankedHolders(upstream string) []*Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ranked, ok := p.holders[upstream]; ok || !p.listed {
		return ranked
	}
	ids := p.holderCandidates(upstream)
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

// holderCandidates returns the IDs of the candidates for a bucket: the first VMs of each failure domain among those that the lists of
// all VMs have in common. The caller must hold mu.
func (p *Peers) holderCandidates(key string) []string {
	var all []controlrpc.Peer
	if !p.leaving {
		all = append(all, controlrpc.Peer{ID: p.self, FailureDomain: p.domain})
	}
	for _, link := range p.links {
		all = append(all, link.peer)
	}
	common, _ := controlrpc.SplitCommon(all)
	domains := map[string]bool{}
	for _, peer := range common {
		domains[peer.FailureDomain] = true
	}
	perDomain := candidatesPerDomain(key, len(domains))
	var ids []string
	taken := map[string]int{}
	for _, peer := range common {
		if taken[peer.FailureDomain]++; taken[peer.FailureDomain] <= perDomain {
			ids = append(ids, peer.ID)
		}
	}
	return ids
}

func holderScore(peer, upstream string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(peer))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(upstream))
	return fmix64(h.Sum64())
}

// FirstHolder returns the ID of the VM that holds the bucket of an upstream while it can be reached, or "" if it is not
// known yet.
func (p *Peers) FirstHolder(upstream string) string {
	ranked := p.rankedHolders(upstream)
	switch {
	case len(ranked) == 0:
		return ""
	case ranked[0] == nil:
		return p.self
	}
	return ranked[0].PeerID()
}
