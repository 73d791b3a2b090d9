package relay

import (
	"log/slog"
	"sync"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
)

// absentAfter is how long a peer that is no longer listed keeps its link. A new leader of the control group lists only
// those that have watched since.
const absentAfter = 5 * time.Second

// maxTried bounds the links that are tried, and connected, for one group.
const maxTried = 2 * spread

// Peers are the entry VMs that may relay. It is safe for concurrent use.
type Peers struct {
	self   string
	domain string
	dial   controlrpc.Dialer
	log    *slog.Logger

	// mu guards the fields below.
	mu     sync.Mutex
	links  map[string]*Link
	listed map[string]time.Time
	// domains is the number of failure domains of the links.
	domains int
	// ranked holds the order of the links of a failure domain for a group.
	ranked map[groupKey][]*Link
}

type groupKey struct {
	domain string
	group  int
}

// NewPeers returns peers without a link, for the VM self in the failure domain.
func NewPeers(self, domain string, dial controlrpc.Dialer, log *slog.Logger) *Peers {
	return &Peers{self: self, domain: domain, dial: dial, log: log, links: map[string]*Link{}, listed: map[string]time.Time{}, ranked: map[groupKey][]*Link{}}
}

// Update adopts the list of the control group.
func (p *Peers) Update(peers []controlrpc.Peer, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	changed := false
	for _, peer := range peers {
		known, ok := p.links[peer.ID]
		if peer.ID == p.self || (ok && known.peer == peer) {
			p.listed[peer.ID] = now
			continue
		}
		if ok {
			known.close()
		}
		p.links[peer.ID] = newLink(peer, p.dial, p.log)
		p.listed[peer.ID] = now
		changed = true
	}
	for id, link := range p.links {
		if now.Sub(p.listed[id]) > absentAfter {
			link.close()
			delete(p.links, id)
			delete(p.listed, id)
			changed = true
		}
	}
	if changed {
		p.reorder()
	}
}

// reorder requires mu.
func (p *Peers) reorder() {
	clear(p.ranked)
	domains := map[string]bool{}
	for _, link := range p.links {
		domains[link.peer.FailureDomain] = true
	}
	p.domains = len(domains)
}

// Domains returns the number of failure domains with peers.
func (p *Peers) DomainCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.domains
}

// Pick returns the link for a group of shards in a failure domain, or nil if this VM should ask the upstreams itself:
// because it is one of the relays of the group, or because none of them can be used now. The link to avoid is that of an
// earlier attempt: a second one should not depend on the same relay.
func (p *Peers) Pick(domain string, group int, avoid *Link, now time.Time) *Link {
	var best *Link
	seen := 0
	order := p.order(groupKey{domain, group})
	for _, link := range order[:min(len(order), maxTried)] {
		if link == nil {
			return nil
		}
		if link == avoid || !link.usable(now) {
			continue
		}
		if best == nil || link.inFlight.Load() < best.inFlight.Load() {
			best = link
		}
		if seen++; seen == spread {
			break
		}
	}
	return best
}

// order returns the links of a failure domain in the order of preference for a group. This VM has its place among those
// of its own failure domain, without a link.
func (p *Peers) order(key groupKey) []*Link {
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
	for _, id := range rank(ids, key.group) {
		ranked = append(ranked, p.links[id])
	}
	p.ranked[key] = ranked
	return ranked
}
