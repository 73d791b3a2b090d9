package router

import (
	"time"

	"github.com/wisteriamux/wisteriamux/internal/budget"
)

// floorShare is the part of the retry floor that all VMs together may accumulate, and also the part that is refilled in
// each window. At most both parts are spent in any window; the rest is a reserve.
const floorShare = 0.4

// serviceBudget limits the extra attempts at one service.
type serviceBudget struct {
	bucket *budget.Bucket
	// lastRefill is when time-based tokens were last added.
	lastRefill time.Time
}

// floorPerVM returns this VM's part of the extra requests that all VMs together may send in a window on top of
// ExtraShare. While the number of VMs is not known, it is none: after a restart of all VMs each of them would otherwise
// take the whole.
func (r *Router) floorPerVM(watchers int) float64 {
	if watchers == 0 {
		return 0
	}
	return floorShare * r.config.ExtraFloor / float64(watchers)
}

// burst returns how many tokens this VM may accumulate: its part of the floor and what one request earns, so that a
// request can use its own share however small the floor is. If each VM sends a request in a window, all VMs together
// spend at most twice floorShare of the floor and the share of their requests.
func (r *Router) burst(watchers int) float64 { return r.floorPerVM(watchers) + r.config.ExtraShare }

// resizeBudgets adjusts the bucket sizes after the number of VMs has changed.
func (r *Router) resizeBudgets(watchers int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, b := range r.budgets {
		b.bucket.SetBurst(r.burst(watchers))
	}
}

// budget returns the token bucket of the service after adding the tokens that are due. A process starts without tokens,
// since the current window may still include what its predecessor spent. The caller must hold mu.
func (r *Router) budget(service string, now time.Time) *budget.Bucket {
	burst := r.burst(r.View().watchers)
	b, ok := r.budgets[service]
	if !ok {
		b = &serviceBudget{bucket: budget.NewBucket(r.config.ExtraShare, burst), lastRefill: r.started}
		b.bucket.Add(-burst)
		r.budgets[service] = b
	}
	if r.config.ExtraWindow > 0 {
		b.bucket.Add(r.floorPerVM(r.View().watchers) * float64(now.Sub(b.lastRefill)) / float64(r.config.ExtraWindow))
	}
	b.lastRefill = now
	return b.bucket
}
