package router

import (
	"errors"
	"slices"
	"strings"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/route"
	"github.com/wisteriamux/wisteriamux/internal/upstreamconn"
)

// registered returns the upstream with the ID, whether or not its failure domain is evacuated.
func (v *View) registered(id string) (*upstream, bool) {
	if u, ok := v.byID[id]; ok {
		return u, true
	}
	u, ok := v.withheld[id]
	return u, ok
}

// evacuatedDomains returns the evacuated failure domains in order.
func (b *viewBuilder) evacuatedDomains() []string {
	if len(b.maybeEvacuated) == 0 {
		return b.evacuated
	}
	all := slices.Concat(b.evacuated, b.maybeEvacuated)
	slices.Sort(all)
	return slices.Compact(all)
}

// errWithheld is the cause of a request that was not sent because the failure domain of its upstream is evacuated.
var errWithheld = fault.New(fault.Moved, "router.send", "the failure domain of the upstream is evacuated")

// checkWithheld returns an error if the failure domain of the upstream is evacuated. The upstream may have been chosen before: a
// request may wait for a permit in between.
func (r *Router) checkWithheld(u *upstream) error {
	if !slices.Contains(r.View().evacuated, u.instance.FailureDomain) {
		return nil
	}
	return &upstreamconn.RequestError{Err: errWithheld}
}

func isWithheld(err error) bool { return errors.Is(err, errWithheld) }

// refuseEvacuated returns an error if so many shards have upstreams in evacuated failure domains only that the search cannot reach
// its coverage, so that it is refused before any upstream runs it.
func (r *Router) refuseEvacuated(rt *route.Route) error {
	view := r.View()
	if len(view.withheld) == 0 {
		return nil
	}
	reachable := 0
	for _, service := range rt.Shards {
		if len(view.byService[service]) > 0 {
			reachable++
		}
	}
	if reachable >= minShards(len(rt.Shards), rt.Coverage) {
		return nil
	}
	return fault.New(fault.NotRun, "router.evacuate", "only %d of %d shards have an upstream outside the evacuated failure domains", reachable, len(rt.Shards))
}

// logEvacuation logs a change of the evacuated failure domains.
func (r *Router) logEvacuation(before, after *View) {
	if slices.Equal(before.evacuated, after.evacuated) {
		return
	}
	r.log.Info("evacuated failure domains changed", "domains", strings.Join(after.evacuated, ","), "before", strings.Join(before.evacuated, ","),
		"upstreams_withheld", len(after.withheld), "revision", after.Revision)
}

// EvacuationInForce is an evacuated failure domain as this VM knows it.
type EvacuationInForce struct {
	FailureDomain string `json:"failure_domain"`
	// Upstreams is the number of upstreams there that get no requests.
	Upstreams int `json:"upstreams"`
	// Revision is the revision of the view of this VM.
	Revision uint64 `json:"revision"`
}

// Evacuations returns the evacuated failure domains as this VM knows them, in order.
func (r *Router) Evacuations() []EvacuationInForce {
	view := r.View()
	all := []EvacuationInForce{}
	for _, domain := range view.evacuated {
		entry := EvacuationInForce{FailureDomain: domain, Revision: view.Revision}
		for _, u := range view.withheld {
			if u.instance.FailureDomain == domain {
				entry.Upstreams++
			}
		}
		all = append(all, entry)
	}
	return all
}
