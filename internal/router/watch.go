package router

import (
	"context"
	"maps"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/overload"
	"github.com/wisteriamux/wisteriamux/internal/registry"
	"github.com/wisteriamux/wisteriamux/internal/route"
)

const (
	// watchTimeout bounds one watch call with its retries, so that the loss of the control group is logged.
	watchTimeout = 4 * time.Second
	// startupRetryDelay is the delay between watch calls until a control member has responded for the first time.
	startupRetryDelay = 20 * time.Millisecond
	// sweepInterval is the interval at which expired idle connections are closed.
	sweepInterval = time.Second
)

// ControlClient is the part of the control group's API that the router uses.
type ControlClient interface {
	Watch(ctx context.Context, args controlrpc.WatchArgs) (controlrpc.WatchReply, error)
	WatchAny(ctx context.Context, args controlrpc.WatchArgs) (controlrpc.WatchReply, error)
	ReportSuspects(ctx context.Context, args controlrpc.ReportSuspectsArgs) error
	SetAddresses(addresses []string)
}

// WatchControl keeps the view up to date until the context is cancelled. While the control group is unavailable, the
// router keeps serving from the last view: a stale routing table is better for callers than none, and upstreams that
// have left refuse requests themselves.
func (r *Router) WatchControl(ctx context.Context) {
	go r.reportSuspects(ctx)
	go r.KeepQuotas(ctx)
	connected := true
	for ctx.Err() == nil {
		reply, began, err := r.watchOnce(ctx)
		r.keys.pollFailed = err != nil
		if err != nil {
			if connected && ctx.Err() == nil {
				r.log.Warn("control group lost", "revision", r.View().Revision, "code", fault.CodeOf(err), "error", err)
				connected = false
			}
			continue
		}
		if !connected {
			r.log.Info("control group regained", "revision", reply.Revision)
			connected = true
		}
		r.control.SetAddresses(r.appendSeeds(reply.Members))
		if !r.adopt(reply) {
			continue
		}
		r.confirmView(reply, began)
		r.adoptPeers(reply)
		r.adoptSuspects(reply)
	}
}

// adoptPeers applies the list of entry VMs that act as relays. A provisional reply does not contain one.
func (r *Router) adoptPeers(reply controlrpc.WatchReply) {
	if r.peers == nil || reply.Provisional {
		return
	}
	if reply.PeersDigest != r.peersDigest {
		r.relayList, r.peersDigest = reply.Peers, reply.PeersDigest
		r.log.Info("relay list adopted", "relays", len(reply.Peers), "revision", reply.Revision)
	}
	r.confirmQuotas()
	now := time.Now()
	r.peers.Update(r.relayList, now)
	if view := r.View(); view.Routes != nil {
		for _, shards := range view.Routes.ShardCounts() {
			r.peers.Connect(shards, len(view.connectionLimited) > 0, now)
		}
	}
}

// watchOnce returns the reply to one watch and when, on CLOCK_BOOTTIME, the call began that got it.
func (r *Router) watchOnce(ctx context.Context) (reply controlrpc.WatchReply, began time.Duration, err error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	args := controlrpc.WatchArgs{Known: r.View().Revision, WaitMillis: r.pollWait().Milliseconds(), Watcher: r.config.ID,
		RelayAddress: r.config.RelayAddress, FailureDomain: r.config.FailureDomain, PeersDigest: r.peersDigest,
		FollowsSuspects: true, SuspectsDigest: r.suspectsDigest, TableVersion: r.heldTableVersion()}
	began = r.keys.now()
	if args.Known > 0 {
		if r.needsConfirmation() {
			args = args.OnSend(func() { began = r.keys.now() })
		}
		reply, err = r.control.Watch(ctx, args)
		return reply, began, err
	}
	reply, err = r.control.WatchAny(ctx, args)
	if err != nil {
		pause := time.NewTimer(startupRetryDelay)
		defer pause.Stop()
		select {
		case <-pause.C:
		case <-ctx.Done():
		}
	}
	return reply, began, err
}

// appendSeeds appends the addresses from the settings to those of the known members, in case all members are replaced.
func (r *Router) appendSeeds(members []string) []string {
	known := map[string]bool{}
	for _, address := range members {
		known[address] = true
	}
	for _, address := range *r.seeds.Load() {
		if !known[address] {
			members = append(members, address)
		}
	}
	return members
}

// heldTableVersion returns the version of the table in the view, or 0 if there is none or the whole table is needed.
func (r *Router) heldTableVersion() uint64 {
	if view := r.View(); view.Routes != nil && !r.needsWholeTable {
		return view.Routes.Table.Version
	}
	return 0
}

// resolveTable replaces the change of the route table in a reply by the table that results from it. It returns an error if the change
// does not begin with the table in the view.
func resolveTable(reply controlrpc.WatchReply, view *View) (controlrpc.WatchReply, error) {
	change := reply.TableChange
	if change == nil {
		return reply, nil
	}
	reply.TableChange = nil
	var held route.Table
	if view.Routes != nil {
		held = view.Routes.Table
	}
	if reply.Provisional {
		return reply, fault.New(fault.Corrupt, "router.adopt", "a provisional reply contains a change of the route table")
	}
	if held.Version >= change.To {
		return reply, nil
	}
	table, err := change.Apply(held)
	reply.Table = &table
	return reply, err
}

// adopt applies a reply to the view. It returns false if it ignored the whole reply, because the reply changes another route table than
// the one in the view. The revision of the view stays below the change, so that the leader sends everything again, with the whole table.
func (r *Router) adopt(reply controlrpc.WatchReply) bool {
	if reply.Revision >= r.View().Revision {
		resolved, err := resolveTable(reply, r.View())
		r.needsWholeTable = err != nil
		if err != nil {
			r.log.Warn("route table change not applied", "revision", reply.Revision, "code", fault.CodeOf(err), "error", err)
			return false
		}
		reply = resolved
	}
	r.adoptResolved(reply)
	return true
}

func (r *Router) adoptResolved(reply controlrpc.WatchReply) {
	// The first reply of a leader may correct a provisional one, and does not show which upstreams are new either.
	defer func() { r.paceSettled = r.paceSettled || !reply.Provisional }()
	before := r.View()
	if reply.Revision < before.Revision || r.builder.unchanged(reply, before, time.Now()) {
		return
	}
	change := r.builder.apply(reply, time.Now())
	view := change.view
	r.view.Store(view)
	r.logEvacuation(before, view)
	r.paceStarts(before, view, reply.Instances.Changed)
	r.addContests(change.contested)
	for _, pool := range change.obsolete {
		pool.Close()
	}
	if view.watchers != before.watchers {
		r.resizeBudgets(view.watchers)
	}
	if reply.Revision == before.Revision {
		return
	}
	if change.dropped {
		r.pruneStats(view)
	}
	version := uint64(0)
	if view.Routes != nil {
		version = view.Routes.Table.Version
	}
	r.log.Info("view adopted", "revision", view.Revision, "from", before.Revision, "routes_version", version,
		"upstreams", view.UpstreamCount(), "provisional", reply.Provisional, "changed", len(reply.Instances.Changed), "removed", len(reply.Instances.Removed))
}

// pruneStats drops the statistics of upstreams, routes and services that no longer exist, so that memory stays bounded
// over any number of configurations.
func (r *Router) pruneStats(view *View) {
	live := map[string]bool{}
	for id := range view.byID {
		live[id] = true
	}
	for id := range view.withheld {
		live[id] = true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tracker.Retain(func(id string) bool { return live[id] })
	r.pace.Retain(func(id string) bool { return live[id] })
	registered := func(key registry.Process) bool {
		u, ok := view.registered(key.Instance)
		return ok && u.process() == key
	}
	r.links.Retain(func(id string) bool { return live[id] })
	located := func(l location) bool {
		u, ok := view.registered(l.process.Instance)
		return ok && u.location() == l
	}
	maps.DeleteFunc(r.taken, func(l location, _ bool) bool { return !located(l) })
	r.contests.retain(time.Now(), located)
	r.limits.Retain(registered)
	maps.DeleteFunc(r.coldFull, func(key registry.Process, _ time.Time) bool { return !registered(key) })
	r.notices.Retain(registered)
	r.issuer.Retain(registered)
	if view.Routes == nil {
		return
	}
	routes := map[string]bool{}
	for _, rt := range view.Routes.Table.Routes {
		routes[rt.Name] = true
	}
	maps.DeleteFunc(r.routes, func(name string, _ *routeStats) bool { return !routes[name] })
	// A service may return with the next table, and its budget must not start afresh within the window.
	maps.DeleteFunc(r.budgets, func(name string, b *serviceBudget) bool {
		_, listed := view.Routes.Service(name)
		return !listed && time.Since(b.lastRefill) > r.config.ExtraWindow
	})
	maps.DeleteFunc(r.overload, func(name string, _ *overload.Controller) bool {
		_, listed := view.Routes.Service(name)
		return !listed
	})
}

// SweepIdleConnections periodically closes expired idle connections until the context is cancelled.
func (r *Router) SweepIdleConnections(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			r.logPace(now)
			view := r.View()
			for _, u := range view.byID {
				u.pool.SweepIdleConnections(now)
			}
			for _, u := range view.withheld {
				u.pool.SweepIdleConnections(now)
			}
		}
	}
}
