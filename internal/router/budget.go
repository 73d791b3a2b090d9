package router

import (
	"time"

	"github.com/wisteriamux/wisteriamux/internal/budget"
)

// floorShare is the part of the retry floor that the VMs together may save up, and also the part that they get anew in
// each window: in any window at most both are spent, and the rest is a reserve.
const floorShare = 0.4

// serviceBudget bounds the extra attempts at one service.
type serviceBudget struct {
	bucket *budget.Bucket
	// filled is until when the tokens due to time have been added.
	filled time.Time
}

// floor is this VM's part of the extra requests that all VMs together get in a window beyond the share.
func (r *Router) floor(watchers int) float64 {
	return floorShare * r.config.ExtraFloor / float64(max(1, watchers))
}

// burst is what this VM may save up; with less than one token it could never send an extra request.
func (r *Router) burst(watchers int) float64 { return max(1, r.floor(watchers)) }

// shareBudgets bounds the saved tokens after the number of VMs has changed.
func (r *Router) shareBudgets(watchers int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, b := range r.budgets {
		b.bucket.SetBurst(r.burst(watchers))
	}
}

// budget returns the budget of the service with the tokens that are due. A process begins without tokens: the window
// still holds what its predecessor spent. It requires mu.
func (r *Router) budget(service string, now time.Time) *budget.Bucket {
	burst := r.burst(r.View().watchers)
	b, ok := r.budgets[service]
	if !ok {
		b = &serviceBudget{bucket: budget.NewBucket(r.config.ExtraShare, burst), filled: r.started}
		b.bucket.Add(-burst)
		r.budgets[service] = b
	}
	if r.config.ExtraWindow > 0 {
		b.bucket.Add(r.floor(r.View().watchers) * float64(now.Sub(b.filled)) / float64(r.config.ExtraWindow))
	}
	b.filled = now
	return b.bucket
}
