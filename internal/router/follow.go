package router

import (
	"context"
	"maps"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/overload"
)

const (
	// watchTimeout ends one round of tries, so that a lost control group is logged.
	watchTimeout = 4 * time.Second
	// startPause is the time between two rounds of questions while no control member has answered since the start.
	startPause = 20 * time.Millisecond
	// sweepInterval is the time between two searches for idle connections that expire.
	sweepInterval = time.Second
)

// Control is the control group as the router sees it.
type Control interface {
	Watch(ctx context.Context, args controlrpc.WatchArgs) (controlrpc.WatchReply, error)
	WatchAny(ctx context.Context, args controlrpc.WatchArgs) (controlrpc.WatchReply, error)
	SetAddresses(addresses []string)
}

// WatchControl keeps the view current until the context ends. While the control group does not answer, the router serves on
// with the last view: a table of routes that was in force is better for callers than none, and upstreams that have left
// refuse by themselves.
func (r *Router) WatchControl(ctx context.Context) {
	connected := true
	for ctx.Err() == nil {
		reply, err := r.watchOnce(ctx)
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
		r.control.SetAddresses(r.withSeeds(reply.Members))
		r.adopt(reply)
		r.adoptPeers(reply)
	}
}

// adoptPeers follows the list of entry VMs that relay. A provisional answer holds none.
func (r *Router) adoptPeers(reply controlrpc.WatchReply) {
	if r.peers == nil || reply.Provisional {
		return
	}
	if reply.PeersDigest != r.peersDigest {
		r.listed, r.peersDigest = reply.Peers, reply.PeersDigest
		r.log.Info("relays adopted", "relays", len(reply.Peers), "revision", reply.Revision)
	}
	r.peers.Update(r.listed, time.Now())
}

func (r *Router) watchOnce(ctx context.Context) (controlrpc.WatchReply, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	args := controlrpc.WatchArgs{Known: r.View().Revision, WaitMillis: controlrpc.MaxWatchWait.Milliseconds(), Watcher: r.config.ID,
		RelayAddress: r.config.RelayAddress, FailureDomain: r.config.FailureDomain, PeersDigest: r.peersDigest}
	if args.Known > 0 {
		return r.control.Watch(ctx, args)
	}
	reply, err := r.control.WatchAny(ctx, args)
	if err != nil {
		pause := time.NewTimer(startPause)
		defer pause.Stop()
		select {
		case <-pause.C:
		case <-ctx.Done():
		}
	}
	return reply, err
}

// withSeeds keeps the addresses of the settings behind those of the members, in case all of those are replaced.
func (r *Router) withSeeds(members []string) []string {
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

func (r *Router) adopt(reply controlrpc.WatchReply) {
	before := r.View()
	if reply.Revision < before.Revision || r.builder.unchanged(reply, before, time.Now()) {
		return
	}
	view, obsolete := r.builder.apply(reply, time.Now())
	r.view.Store(view)
	for _, pool := range obsolete {
		pool.Close()
	}
	if view.watchers != before.watchers {
		r.shareBudgets(view.watchers)
	}
	if reply.Revision == before.Revision {
		return
	}
	r.forget(view)
	version := uint64(0)
	if view.Routes != nil {
		version = view.Routes.Table.Version
	}
	r.log.Info("view adopted", "revision", view.Revision, "from", before.Revision, "routes_version", version,
		"upstreams", view.UpstreamCount(), "provisional", reply.Provisional, "changed", len(reply.Instances.Changed), "removed", len(reply.Instances.Removed))
}

// forget drops the observations of upstreams, routes and services that are gone, so that their number stays bounded over
// any number of configurations.
func (r *Router) forget(view *View) {
	known := map[string]bool{}
	for _, members := range view.byService {
		for _, member := range members {
			known[member.instance.ID] = true
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tracker.Retain(func(id string) bool { return known[id] })
	if view.Routes == nil {
		return
	}
	routes := map[string]bool{}
	for _, rt := range view.Routes.Table.Routes {
		routes[rt.Name] = true
	}
	maps.DeleteFunc(r.routes, func(name string, _ *routeStats) bool { return !routes[name] })
	// A service may come back with the next table, and its budget must not begin anew within the window.
	maps.DeleteFunc(r.budgets, func(name string, b *serviceBudget) bool {
		_, listed := view.Routes.Service(name)
		return !listed && time.Since(b.filled) > r.config.ExtraWindow
	})
	maps.DeleteFunc(r.overload, func(name string, _ *overload.Controller) bool {
		_, listed := view.Routes.Service(name)
		return !listed
	})
}

// SweepIdleConnections closes idle connections that expire, until the context ends.
func (r *Router) SweepIdleConnections(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			for _, members := range r.View().byService {
				for _, member := range members {
					member.pool.SweepIdleConnections(now)
				}
			}
		}
	}
}
