// Package router serves the requests of routes on an entry VM: it follows the control group's table of routes and
// upstreams, chooses upstreams, hedges and retries within the shared budget, and puts answers together.
package router

import (
	"time"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/registry"
	"github.com/wisteriamux/wisteriamux/internal/replica"
	"github.com/wisteriamux/wisteriamux/internal/route"
	"github.com/wisteriamux/wisteriamux/internal/upstreamconn"
)

// upstream is a registered process with the connections to it.
type upstream struct {
	instance  registry.Instance
	candidate replica.Candidate
	pool      *upstreamconn.Pool
}

// View is what the router knows at one revision. It does not change.
type View struct {
	Revision uint64
	// Routes is nil until the first table arrives.
	Routes    *route.Index
	byService map[string][]*upstream
	// byID are those of byService.
	byID map[string]*upstream
	// shared are the services whose upstreams accept fewer connections than there are entry VMs, so that some entry VMs
	// use those of others.
	shared map[string]bool
	// candidates are those of byService, in the same order.
	candidates map[string][]replica.Candidate
	watchers   int
}

// Ready reports whether the VM knows a table of routes and at least one upstream.
func (v *View) Ready() bool { return v.Routes != nil && len(v.byService) > 0 }

// UpstreamCount returns the number of upstreams that take requests.
func (v *View) UpstreamCount() int {
	count := 0
	for _, members := range v.byService {
		count += len(members)
	}
	return count
}

// watchersMemory is how long a greater number of entry VMs counts after the last time it was seen. A new leader of the
// control group counts anew, and too small a number would let each VM spend more than its part of the shared budget.
const watchersMemory = 15 * time.Second

// connectionShare is the part of an upstream's connections that the entry VMs use; the rest is for connections that are
// being closed and for VMs that come.
const connectionShare = 0.9

// viewBuilder keeps the upstreams between two views. The follower alone uses it.
type viewBuilder struct {
	domain    string
	codec     upstreamconn.Codec
	upstreams map[string]*upstream
	routes    *route.Index
	watchers  int
	// watchersAt is when as many watchers were seen last.
	watchersAt time.Time
}

func (b *viewBuilder) countWatchers(seen int, now time.Time) {
	if seen >= b.watchers || now.Sub(b.watchersAt) > watchersMemory {
		b.watchers = max(1, seen)
		b.watchersAt = now
	}
}

// unchanged reports whether the reply leaves the view as it is, which is so for most of them.
func (b *viewBuilder) unchanged(reply controlrpc.WatchReply, view *View, now time.Time) bool {
	if reply.Revision != view.Revision || reply.Table != nil || reply.Instances.Whole ||
		len(reply.Instances.Changed)+len(reply.Instances.Removed) > 0 {
		return false
	}
	b.countWatchers(reply.Watchers, now)
	return b.watchers == view.watchers
}

// apply returns the view after a reply, and the pools that are no longer needed.
func (b *viewBuilder) apply(reply controlrpc.WatchReply, now time.Time) (view *View, obsolete []*upstreamconn.Pool) {
	if reply.Table != nil && (b.routes == nil || reply.Table.Version > b.routes.Table.Version) {
		b.routes = route.NewIndex(*reply.Table)
	}
	b.countWatchers(reply.Watchers, now)
	keep := map[string]bool{}
	for _, instance := range reply.Instances.Changed {
		keep[instance.ID] = true
		obsolete = append(obsolete, b.put(instance, now)...)
	}
	removed := reply.Instances.Removed
	if reply.Instances.Whole {
		for id := range b.upstreams {
			if !keep[id] {
				removed = append(removed, id)
			}
		}
	}
	for _, id := range removed {
		if gone, ok := b.upstreams[id]; ok {
			obsolete = append(obsolete, gone.pool)
			delete(b.upstreams, id)
		}
	}
	return b.build(reply), obsolete
}

// connections is this VM's part of the connections that an upstream of the service accepts, 0 if it names no number.
func (b *viewBuilder) connections(service string) float64 {
	if b.routes == nil {
		return 0
	}
	known, ok := b.routes.Service(service)
	if !ok || known.MaxConnections <= 0 {
		return 0
	}
	return connectionShare * float64(known.MaxConnections) / float64(b.watchers)
}

func (b *viewBuilder) put(instance registry.Instance, now time.Time) (obsolete []*upstreamconn.Pool) {
	known, ok := b.upstreams[instance.ID]
	next := &upstream{instance: instance, candidate: replica.Candidate{
		ID: instance.ID, Slots: instance.Slots, Local: instance.FailureDomain == b.domain,
		ColdUntil: now.Add(time.Duration(instance.ColdMillis) * time.Millisecond),
	}}
	switch {
	case ok && known.instance.Address == instance.Address && known.instance.Born == instance.Born:
		next.pool = known.pool
		next.candidate.ColdUntil = known.candidate.ColdUntil
	case ok:
		obsolete = append(obsolete, known.pool)
		fallthrough
	default:
		next.pool = upstreamconn.NewPool(instance.Address, b.codec)
	}
	b.upstreams[instance.ID] = next
	return obsolete
}

func (b *viewBuilder) build(reply controlrpc.WatchReply) *View {
	view := &View{
		Revision: reply.Revision, Routes: b.routes, byService: map[string][]*upstream{}, byID: map[string]*upstream{}, shared: map[string]bool{},
		candidates: map[string][]replica.Candidate{}, watchers: b.watchers,
	}
	for _, u := range b.upstreams {
		if u.instance.State != registry.Ready {
			continue
		}
		service := u.instance.Service
		connections := b.connections(service)
		u.candidate.MaxInFlight = int(connections)
		if connections > 0 && connections < 1 {
			u.candidate.MaxInFlight = 1
			view.shared[service] = true
		}
		view.byService[service] = append(view.byService[service], u)
		view.byID[u.instance.ID] = u
		view.candidates[service] = append(view.candidates[service], u.candidate)
	}
	return view
}
