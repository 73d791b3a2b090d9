package router

import (
	"time"

	"github.com/wisteriamux/wisteriamux/internal/registry"
)

// reportedColdUntil returns when the cold start ends that the upstream has reported. Without the time of the report it is taken
// as made now.
func reportedColdUntil(i registry.Instance, now time.Time) time.Time {
	latest := now.Add(time.Duration(i.ColdMillis) * time.Millisecond)
	if i.ColdUntil == 0 {
		return latest
	}
	if until := time.UnixMilli(i.ColdUntil); until.Before(latest) {
		return until
	}
	return latest
}

// coldPerSecond returns the number of requests per second that the upstream takes from all VMs together because it is cold, 0 if
// it is warm or its service has no such limit. An upstream is cold for the cold start of its service, and as long as it reports.
func (r *Router) coldPerSecond(u *upstream, now time.Time) float64 {
	index := r.View().Routes
	if index == nil {
		return 0
	}
	service, ok := index.Service(u.instance.Service)
	if !ok || service.ColdPerSecond <= 0 {
		return 0
	}
	born := time.UnixMilli(u.instance.Born)
	if now.Before(u.candidate.ColdUntil) || (u.instance.Born > 0 && now.Before(born.Add(service.ColdStart))) {
		return service.ColdPerSecond
	}
	return 0
}

// lowerLimit returns the lower of two limits, where 0 means none.
func lowerLimit(a, b float64) float64 {
	if a == 0 || (b > 0 && b < a) {
		return b
	}
	return a
}

// roomAt returns the time from which a permit for the upstream is expected, which is not after now if it has no limit. The caller
// must hold mu.
func (r *Router) roomAt(u *upstream) time.Time {
	var at time.Time
	if !r.limits.Empty() {
		at = r.limits.RoomAt(u.process())
	}
	if len(r.coldFull) > 0 {
		if until := r.coldFull[u.process()]; until.After(at) {
			return until
		}
	}
	return at
}
