package router

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/pace"
	"github.com/wisteriamux/wisteriamux/internal/registry"
	"github.com/wisteriamux/wisteriamux/internal/relay"
	"github.com/wisteriamux/wisteriamux/internal/replica"
)

// maxPaceLines bounds the log lines about slow starts in one sweepInterval: after a change of many upstreams only their number matters.
const maxPaceLines = 20

// selectUpstream returns the index of the upstream of the service for a request, or -1 if there is none: one that is not contested if
// there is any, and one that leaves only as a last resort. It records nothing. The tracker is r.tracker or a reader of it. The caller
// must hold mu.
func (r *Router) selectUpstream(now time.Time, view *View, service string, tried []*upstream, tracker *replica.Tracker, draw func() float64) int {
	candidates, members := view.candidates[service], view.byService[service]
	choose := func(skipContested, lastResort bool) int {
		return pace.Choose(now, tracker, r.pace, candidates, func(id string) bool {
			u := members[slices.IndexFunc(members, func(u *upstream) bool { return u.instance.ID == id })]
			return wasTried(tried, id) || r.unavailable(u, now, lastResort) || skipContested && r.contests.demotes(u.location(), now, r.taken)
		}, draw)
	}
	index := -1
	if len(r.contests) > 0 {
		index = choose(true, false)
	}
	if index < 0 {
		index = choose(false, false)
	}
	if index < 0 && !r.notices.Empty() {
		index = choose(false, true)
	}
	return index
}

// observePace records the end of an attempt at an upstream. The caller must hold mu.
func (r *Router) observePace(a *attempt, result replica.Result, took time.Duration) {
	if !r.config.Pace {
		return
	}
	id, now := a.upstream.instance.ID, time.Now()
	switch result {
	case replica.Answered:
		r.pace.Observe(now, id, pace.Answered, took, a.expected)
	case replica.Failed, replica.Unreachable:
		r.pace.Observe(now, id, pace.Failed, took, a.expected)
	case replica.Refused:
		r.pace.Observe(now, id, pace.Refused, took, a.expected)
	case replica.Abandoned:
		if replica.Overdue(took, a.expected) {
			r.pace.Observe(now, id, pace.Silent, took, a.expected)
		}
	}
}

// adoptPace adopts the share that a relay reports with the end of an attempt which began then and took so long.
func (r *Router) adoptPace(a *attempt, reduction float64, took time.Duration) {
	if reduction <= 0 || !r.config.Pace {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	// The relay observed the end when the attempt had taken so long. A report may be held back for a while after that.
	r.pace.Adopt(now, earlier(now, a.sent.Add(took)), a.upstream.instance.ID, 1-reduction)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// reduction returns by how much this VM reduces the share of the upstream, 0 if it does not. The caller must hold mu.
func (r *Router) reduction(id string) float64 {
	if r.pace.Empty() {
		return 0
	}
	return 1 - r.pace.Share(time.Now(), id)
}

// Reduction returns by how much this VM reduces the share of the upstream. It implements relay.Pacer.
func (r *Router) Reduction(instance string) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reduction(instance)
}

// declinesForPace reports whether this VM, as a relay, does not send an optional attempt, because the upstream is to get a smaller share
// of its requests than the requesting VM knows. The caller must hold mu.
func (r *Router) declinesForPace(now time.Time, requested relay.Attempt) bool {
	if !requested.Optional || requested.Urgent || r.pace.Empty() {
		return false
	}
	return pace.Declines(pace.Allowed(now, r.tracker, r.pace, requested.Instance), 1-requested.Reduction, rand.Float64())
}

// paceStarts begins a slow start for the upstreams that are new in the view. What registered before this VM started is not new, except a
// process that is younger than the cold start that it expects.
func (r *Router) paceStarts(before, after *View, changed []registry.Instance) {
	if !r.config.Pace {
		return
	}
	candidates := map[string]*upstream{}
	if slices.Equal(before.evacuated, after.evacuated) {
		for _, instance := range changed {
			if u, ok := after.byID[instance.ID]; ok {
				candidates[instance.ID] = u
			}
		}
	} else {
		// The upstreams of a failure domain come back that are not among the changes.
		candidates = after.byID
	}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, u := range candidates {
		previous, known := before.byID[id]
		if known && previous.process() == u.process() {
			continue
		}
		cold := time.Duration(u.instance.ColdMillis) * time.Millisecond
		switch {
		case r.paceSettled:
			r.pace.Started(now, id, cold)
		case u.instance.Born > 0 && cold > 0:
			if left := time.UnixMilli(u.instance.Born).Add(cold).Sub(now); left > 0 {
				r.pace.Started(now, id, min(left, cold))
			}
		}
	}
}

// logPace logs the slow starts that have begun or ended.
func (r *Router) logPace(now time.Time) {
	r.mu.Lock()
	changes := r.pace.Changes(now)
	r.mu.Unlock()
	view := r.View()
	for n, change := range changes {
		if n == maxPaceLines {
			r.log.Info("more upstream slow starts", "count", len(changes)-n)
			return
		}
		service := ""
		if u, ok := view.registered(change.ID); ok {
			service = u.instance.Service
		}
		event := "upstream slow start began"
		if change.Ended {
			event = "upstream slow start ended"
		}
		r.log.Info(event, "upstream", change.ID, "service", service, "reason", string(change.Reason), "share", change.Share, "since", change.Since)
	}
}

// SlowStart is an upstream that gets less than its full share of requests from this VM.
type SlowStart struct {
	Upstream string `json:"upstream"`
	Service  string `json:"service"`
	// Share is the fraction of its usual requests that the upstream gets.
	Share  float64   `json:"share"`
	Reason string    `json:"reason"`
	Since  time.Time `json:"since"`
}

// SlowStarts returns the upstreams below their full share, ordered by upstream.
func (r *Router) SlowStarts() []SlowStart {
	view := r.View()
	r.mu.Lock()
	below := r.pace.Below(time.Now())
	r.mu.Unlock()
	all := []SlowStart{}
	for _, b := range below {
		entry := SlowStart{Upstream: b.ID, Share: b.Share, Reason: string(b.Reason), Since: b.Since}
		if u, ok := view.registered(b.ID); ok {
			entry.Service = u.instance.Service
		}
		all = append(all, entry)
	}
	slices.SortFunc(all, func(a, b SlowStart) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return all
}
