// Package router routes requests on an entry VM. It watches the control group for the routing table and the registered
// upstreams, selects upstreams, hedges and retries within a shared budget, and merges the results of searches.
package router

import (
	"context"
	"maps"
	"math"
	"net"
	"slices"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/registry"
	"github.com/wisteriamux/wisteriamux/internal/replica"
	"github.com/wisteriamux/wisteriamux/internal/responsemem"
	"github.com/wisteriamux/wisteriamux/internal/route"
	"github.com/wisteriamux/wisteriamux/internal/upstreamconn"
)

// upstream is a registered upstream process and the connection pool for it.
type upstream struct {
	instance  registry.Instance
	candidate replica.Candidate
	pool      *upstreamconn.Pool
}

// location is an upstream process at an address.
type location struct {
	process registry.Process
	address string
}

func (u *upstream) location() location {
	return location{process: u.process(), address: u.instance.Address}
}

// View is an immutable snapshot of the routes and upstreams at one revision.
type View struct {
	Revision uint64
	// Routes is nil until the first table arrives.
	Routes    *route.Index
	byService map[string][]*upstream
	// byID holds the upstreams of byService by instance ID.
	byID map[string]*upstream
	// connectionLimited holds the services whose upstreams accept fewer connections than there are entry VMs, so that some
	// entry VMs must send requests through others.
	connectionLimited map[string]bool
	// withheld holds the upstreams of evacuated failure domains by instance ID. They get no requests, and are in none of the other
	// maps. evacuated lists the evacuated failure domains.
	withheld  map[string]*upstream
	evacuated []string
	// candidates holds the candidates of byService in the same order.
	candidates map[string][]replica.Candidate
	// watchers is the number of entry VMs, or 0 while it is not known.
	watchers int
}

// Ready reports whether the view has a routing table and at least one upstream. While all upstreams are evacuated, the VM stays
// ready, so that callers are told when to try again.
func (v *View) Ready() bool { return v.Routes != nil && len(v.byService)+len(v.withheld) > 0 }

// UpstreamCount returns the number of upstreams that accept requests.
func (v *View) UpstreamCount() int {
	count := 0
	for _, members := range v.byService {
		count += len(members)
	}
	return count
}

// watcherRetention is how long a higher number of entry VMs is kept after it was last reported. A new leader of the
// control group starts counting from zero, and too low a number would let each VM exceed its part of the shared budget.
const watcherRetention = 15 * time.Second

// connectionShare is the fraction of an upstream's connection limit that the entry VMs use. The rest is headroom for
// connections that are being closed and for VMs that join.
const connectionShare = 0.9

// viewBuilder applies watch replies to the set of upstreams and builds views from it. Only WatchControl uses it.
type viewBuilder struct {
	domain string
	dialer upstreamconn.Dialer
	// dialled is called after each attempt to connect to an upstream, unless that was cancelled.
	dialled func(err error)
	codec   upstreamconn.Codec
	memory  *responsemem.Memory
	// upstreams holds all upstreams by instance ID, and byService those of each service by instance ID.
	upstreams map[string]*upstream
	byService map[string]map[string]*upstream
	addresses addressIndex
	routes    *route.Index
	// evacuated lists the evacuated failure domains.
	evacuated []string
	// maybeEvacuated lists those of the last provisional reply that a quorum may not have confirmed.
	maybeEvacuated []string
	watchers       int
	// watchersAt is when at least this number of watchers was last reported.
	watchersAt time.Time
	// last is the last view, nil before the first.
	last *View
}

func newViewBuilder(config Config, codec upstreamconn.Codec, memory *responsemem.Memory) *viewBuilder {
	return &viewBuilder{
		domain: config.FailureDomain, dialer: config.DialUpstream, codec: codec, memory: memory,
		upstreams: map[string]*upstream{}, byService: map[string]map[string]*upstream{}, addresses: addressIndex{},
	}
}

// updateWatchers adopts a reported number of entry VMs; a lower one only after watcherRetention, and none if the leader
// does not know it yet.
func (b *viewBuilder) updateWatchers(seen int, now time.Time) {
	if seen > 0 && (seen >= b.watchers || now.Sub(b.watchersAt) > watcherRetention) {
		b.watchers = seen
		b.watchersAt = now
	}
}

// unchanged reports whether the reply leaves the view as it is, as most replies do.
func (b *viewBuilder) unchanged(reply controlrpc.WatchReply, view *View, now time.Time) bool {
	if reply.Revision != view.Revision || reply.Table != nil || reply.Instances.Whole || reply.EvacuationsWhole ||
		len(reply.MaybeEvacuated)+len(b.maybeEvacuated) > 0 ||
		len(reply.Instances.Changed)+len(reply.Instances.Removed) > 0 {
		return false
	}
	b.updateWatchers(reply.Watchers, now)
	return b.watchers == view.watchers
}

// viewChange is a new view and what it made obsolete.
type viewChange struct {
	view *View
	// obsolete are the connection pools that are no longer needed.
	obsolete []*upstreamconn.Pool
	// dropped is set if an upstream, a route or a service is gone, or if another process has taken its place.
	dropped bool
	// contested are the upstreams at whose addresses a later process has been registered.
	contested []contestedUpstream
}

// apply returns the view that results from a reply. Only the services whose upstreams have changed are built anew: in a large
// deployment upstreams change many times per second, and every entry VM gets each change.
func (b *viewBuilder) apply(reply controlrpc.WatchReply, now time.Time) viewChange {
	var change viewChange
	watchers := b.watchers
	b.updateWatchers(reply.Watchers, now)
	everything := b.watchers != watchers
	if reply.Table != nil && (b.routes == nil || reply.Table.Version > b.routes.Table.Version) {
		b.routes = route.NewIndex(*reply.Table)
		change.dropped, everything = true, true
	}
	evacuatedBefore := b.evacuatedDomains()
	if reply.EvacuationsWhole {
		b.evacuated = reply.Evacuated
	}
	b.maybeEvacuated = reply.MaybeEvacuated
	everything = everything || !slices.Equal(evacuatedBefore, b.evacuatedDomains())
	dirty := map[string]bool{}
	keep := map[string]bool{}
	for _, instance := range reply.Instances.Changed {
		keep[instance.ID] = true
		before, known := b.upstreams[instance.ID]
		change.obsolete = append(change.obsolete, b.upsert(instance, now, dirty)...)
		change.dropped = change.dropped || instance.State != registry.Ready
		if !known || before.location() != b.upstreams[instance.ID].location() {
			change.contested = append(change.contested, b.contestedAt(instance.ID)...)
		}
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
		if removedUpstream, ok := b.upstreams[id]; ok {
			change.obsolete = append(change.obsolete, removedUpstream.pool)
			dirty[removedUpstream.instance.Service] = true
			delete(b.upstreams, id)
			b.addresses.remove(removedUpstream.instance.Address, id)
			delete(b.byService[removedUpstream.instance.Service], id)
		}
	}
	change.dropped = change.dropped || len(change.obsolete) > 0
	if everything {
		for service := range b.byService {
			dirty[service] = true
		}
	}
	change.view = b.build(reply.Revision, dirty)
	return change
}

// connectionQuota returns this VM's part of the connection limit of the service's upstreams, or 0 if there is no limit
// or the number of VMs is not known.
func (b *viewBuilder) connectionQuota(service string) float64 {
	if b.routes == nil || b.watchers == 0 {
		return 0
	}
	existing, ok := b.routes.Service(service)
	if !ok || existing.MaxConnections <= 0 {
		return 0
	}
	return connectionShare * float64(existing.MaxConnections) / float64(b.watchers)
}

// upsert adds or replaces an upstream and marks its services as dirty.
func (b *viewBuilder) upsert(instance registry.Instance, now time.Time, dirty map[string]bool) (obsolete []*upstreamconn.Pool) {
	instance = instance.Clamped()
	existing, ok := b.upstreams[instance.ID]
	next := &upstream{instance: instance, candidate: replica.Candidate{
		ID: instance.ID, Slots: instance.Slots, Local: instance.FailureDomain == b.domain, ColdUntil: reportedColdUntil(instance, now),
	}}
	switch {
	case ok && existing.instance.Address == instance.Address && existing.instance.Born == instance.Born:
		next.pool = existing.pool
		if instance.ColdUntil == 0 && existing.instance.ColdUntil == 0 {
			next.candidate.ColdUntil = existing.candidate.ColdUntil
		}
	case ok:
		obsolete = append(obsolete, existing.pool)
		fallthrough
	default:
		next.pool = upstreamconn.NewPool(instance.Address, b.dial, b.codec, b.memory)
	}
	if ok {
		dirty[existing.instance.Service] = true
		delete(b.byService[existing.instance.Service], instance.ID)
		b.addresses.remove(existing.instance.Address, instance.ID)
	}
	dirty[instance.Service] = true
	if b.byService[instance.Service] == nil {
		b.byService[instance.Service] = map[string]*upstream{}
	}
	b.upstreams[instance.ID], b.byService[instance.Service][instance.ID] = next, next
	b.addresses.add(instance.Address, instance.ID)
	return obsolete
}

// dial connects to an upstream and reports the result.
func (b *viewBuilder) dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := b.dialer(ctx, address)
	if b.dialled != nil && (err == nil || ctx.Err() == nil) {
		b.dialled(err)
	}
	return conn, err
}

// build returns a view in which the dirty services are built anew. It shares everything else with the last one.
func (b *viewBuilder) build(revision uint64, dirty map[string]bool) *View {
	view := &View{Revision: revision, Routes: b.routes, watchers: b.watchers, evacuated: b.evacuatedDomains(), withheld: b.withheldUpstreams()}
	if b.last == nil {
		b.last = &View{byService: map[string][]*upstream{}, byID: map[string]*upstream{}, connectionLimited: map[string]bool{}, candidates: map[string][]replica.Candidate{}}
	}
	view.byService, view.byID, view.connectionLimited, view.candidates = b.last.byService, b.last.byID, b.last.connectionLimited, b.last.candidates
	if len(dirty) > 0 {
		view.byService, view.byID = maps.Clone(view.byService), maps.Clone(view.byID)
		view.connectionLimited, view.candidates = maps.Clone(view.connectionLimited), maps.Clone(view.candidates)
	}
	for service := range dirty {
		for _, u := range view.byService[service] {
			// An upstream may have moved to a service that was built before this one.
			if view.byID[u.instance.ID] == u {
				delete(view.byID, u.instance.ID)
			}
		}
		delete(view.byService, service)
		delete(view.candidates, service)
		delete(view.connectionLimited, service)
		b.buildService(view, service)
	}
	b.last = view
	return view
}

// withheldUpstreams returns the ready upstreams of evacuated failure domains by ID.
func (b *viewBuilder) withheldUpstreams() map[string]*upstream {
	evacuated, withheld := b.evacuatedDomains(), map[string]*upstream{}
	if len(evacuated) == 0 {
		return withheld
	}
	for id, u := range b.upstreams {
		if u.instance.State == registry.Ready && slices.Contains(evacuated, u.instance.FailureDomain) {
			withheld[id] = u
		}
	}
	return withheld
}

// buildService adds the upstreams of a service to a view, ordered by ID.
func (b *viewBuilder) buildService(view *View, service string) {
	members := b.byService[service]
	if len(members) == 0 {
		delete(b.byService, service)
		return
	}
	connectionQuota := b.connectionQuota(service)
	for _, id := range slices.Sorted(maps.Keys(members)) {
		u := members[id]
		if u.instance.State != registry.Ready {
			continue
		}
		if slices.Contains(view.evacuated, u.instance.FailureDomain) {
			continue
		}
		// Views share upstreams and must not change them.
		limited := *u
		limited.candidate.MaxInFlight = int(min(connectionQuota, math.MaxInt32))
		if connectionQuota > 0 && connectionQuota < 1 {
			limited.candidate.MaxInFlight = 1
			view.connectionLimited[service] = true
		}
		view.byService[service] = append(view.byService[service], &limited)
		view.byID[id] = &limited
		view.candidates[service] = append(view.candidates[service], limited.candidate)
	}
}
