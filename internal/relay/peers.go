package relay

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
)

// removeAfter is how long a peer that is no longer listed keeps its link. A new leader of the control group lists only
// peers that have sent a watch request since its election.
const removeAfter = 5 * time.Second

// maxCandidates bounds the links that are considered, and dialled, for one group.
const maxCandidates = 2 * relaysPerGroup

// Peers holds the links to the entry VMs that act as relays. It is safe for concurrent use.
type Peers struct {
	self   string
	domain string
	dial   controlrpc.Dialer
	log    *slog.Logger

	// observeOverhead is called with the time that a relay added to the attempts of a batch. It may be nil.
	observeOverhead func(time.Duration)

	// mu guards the fields below.
	mu         sync.Mutex
	links      map[string]*Link
	lastListed map[string]time.Time
	// domains is the number of failure domains of the links.
	domains int
	// ranked caches the results of rankedLinks, and holders those of rankedHolders.
	ranked  map[groupKey][]*Link
	holders map[string][]*Link
	// listed is set once the control group has sent a list, and leaving when this VM is about to stop.
	listed  bool
	leaving bool
}

type groupKey struct {
	domain string
	group  int
}

// NewPeers returns an empty set of peers for the VM with the ID self in the failure domain.
func NewPeers(self, domain string, dial controlrpc.Dialer, log *slog.Logger) *Peers {
	return &Peers{self: self, domain: domain, dial: dial, log: log, links: map[string]*Link{}, lastListed: map[string]time.Time{}, ranked: map[groupKey][]*Link{},
		holders: map[string][]*Link{}}
}

// ObserveOverhead sets the function that is called with the time that a relay added to the attempts of a batch. It must be called before Update.
func (p *Peers) ObserveOverhead(observe func(time.Duration)) { p.observeOverhead = observe }

// Update applies the list of peers from the control group.
func (p *Peers) Update(peers []controlrpc.Peer, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	changed := !p.listed
	p.listed = true
	for _, peer := range peers {
		existing, ok := p.links[peer.ID]
		if peer.ID == p.self || (ok && existing.peer == peer) {
			p.lastListed[peer.ID] = now
			continue
		}
		if ok {
			existing.close()
		}
		link := newLink(peer, p.dial, p.log)
		link.observeOverhead = p.observeOverhead
		p.links[peer.ID] = link
		p.lastListed[peer.ID] = now
		changed = true
	}
	for id, link := range p.links {
		if now.Sub(p.lastListed[id]) > removeAfter {
			link.close()
			delete(p.links, id)
			delete(p.lastListed, id)
			changed = true
		}
	}
	if changed {
		p.invalidateOrder()
	}
}

// invalidateOrder clears the cached orders and recounts the failure domains. The caller must hold mu.
func (p *Peers) invalidateOrder() {
	clear(p.ranked)
	clear(p.holders)
	domains := map[string]bool{}
	for _, link := range p.links {
		domains[link.peer.FailureDomain] = true
	}
	p.domains = len(domains)
}

// DomainCount returns the number of failure domains with peers.
func (p *Peers) DomainCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.domains
}

// Pick returns the link for a group of shards in a failure domain, or nil if this VM should send the requests directly:
// because it ranks among the preferred relays of the group itself, or because no link is usable. The link to avoid is
// that of an earlier attempt, since a second attempt should not depend on the same relay.
func (p *Peers) Pick(domain string, group int, avoid *Link, now time.Time) *Link {
	return pick(p.rankedLinks(groupKey{domain, group}), avoid, now, usableOrSelf)
}

// PickOther is Pick for a VM that has lost its links to upstreams: it never returns nil for this VM, and falls back to the
// other failure domains, then to relays whose reports are overdue. Such a relay may only be short of processor time, while
// this VM's own links are known to be lost.
func (p *Peers) PickOther(domain string, group int, avoid *Link, now time.Time) *Link {
	return p.pickOther(domain, group, avoid, now, 0)
}

func (p *Peers) pickOther(domain string, group int, avoid *Link, now time.Time, extra pickRule) *Link {
	domains := append([]string{domain}, slices.DeleteFunc(p.domainNames(), func(other string) bool { return other == domain })...)
	for _, rule := range []pickRule{usableOther, overdueOther} {
		for _, domain := range domains {
			if link := pick(p.rankedLinks(groupKey{domain, group}), avoid, now, rule|extra); link != nil {
				return link
			}
		}
	}
	return nil
}

// Preview returns the ID of the VM that Pick, or PickOther if other is set, would return without a link to avoid, or "" for none. It
// connects to no VM.
func (p *Peers) Preview(domain string, group int, other bool, now time.Time) string {
	var link *Link
	if other {
		link = p.pickOther(domain, group, nil, now, readOnly)
	} else {
		link = pick(p.rankedLinks(groupKey{domain, group}), nil, now, usableOrSelf|readOnly)
	}
	if link == nil {
		return ""
	}
	return link.PeerID()
}

// pickRule determines which links may be picked besides usable links to other VMs, as a set of bits.
type pickRule int

const (
	// usableOther accepts nothing else.
	usableOther pickRule = 0
	// usableOrSelf accepts this VM, for which a nil link stands, when it is reached.
	usableOrSelf pickRule = 1
	// overdueOther accepts connected links to other VMs whose reports are overdue.
	overdueOther pickRule = 2
	// readOnly starts no connection.
	readOnly pickRule = 4
)

func (r pickRule) accepts(link *Link, now time.Time) bool {
	usable := false
	if r&readOnly != 0 {
		usable = link.usableNow()
	} else {
		usable = link.usable(now)
	}
	return usable || (r&overdueOther != 0 && link.overdue())
}

// pick returns the least loaded of the first links that the rule accepts and that are not busy, or of those that are if there are no
// others. Relays without links to upstreams do not count as candidates, since most VMs may be among them.
func pick(ranked []*Link, avoid *Link, now time.Time, rule pickRule) *Link {
	var best, busy *Link
	candidates, compared := 0, 0
	for _, link := range ranked {
		switch {
		case link == nil && rule&usableOrSelf == 0, link != nil && link.isPartitioned(now):
			continue
		case link == nil:
			return nil
		case candidates == maxCandidates || compared == relaysPerGroup:
			return cmp.Or(best, busy)
		}
		candidates++
		if link == avoid || !rule.accepts(link, now) {
			continue
		}
		if link.isBusy(now) {
			busy = lessLoaded(busy, link)
			continue
		}
		compared++
		best = lessLoaded(best, link)
	}
	return cmp.Or(best, busy)
}

// lessLoaded returns the link with fewer batches in progress. The first may be nil.
func lessLoaded(a, b *Link) *Link {
	if a == nil || b.inFlight.Load() < a.inFlight.Load() {
		return b
	}
	return a
}

// Connect starts to connect to the preferred relays of all groups of a search over the number of shards, so that the
// first searches do not have to do without them. Relays of the own failure domain are needed only for some services.
func (p *Peers) Connect(shards int, ownDomain bool, now time.Time) {
	for _, domain := range p.domainNames() {
		if domain == p.domain && !ownDomain {
			continue
		}
		for group := range GroupOf(shards-1, shards, p.DomainCount()) + 1 {
			ranked := p.rankedLinks(groupKey{domain, group})
			for _, link := range ranked[:min(len(ranked), relaysPerGroup)] {
				if link != nil {
					link.usable(now)
				}
			}
		}
	}
}

func (p *Peers) domainNames() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	names := map[string]bool{}
	for _, link := range p.links {
		names[link.peer.FailureDomain] = true
	}
	return slices.Sorted(maps.Keys(names))
}

// rankedLinks returns the links of a failure domain in this VM's order of preference for a group. In this VM's own failure
// domain, a nil link stands for this VM.
func (p *Peers) rankedLinks(key groupKey) []*Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ranked, ok := p.ranked[key]; ok {
		return ranked
	}
	var ids []string
	if key.domain == p.domain {
		ids = append(ids, p.self)
	}
	for id, link := range p.links {
		if link.peer.FailureDomain == key.domain {
			ids = append(ids, id)
		}
	}
	var ranked []*Link
	for _, id := range preferFor(p.self, rank(ids, key.group)) {
		ranked = append(ranked, p.links[id])
	}
	p.ranked[key] = ranked
	return ranked
}
