package router

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/notice"
)

// observeNotice records what a response of the upstream that has just arrived says of it.
func (r *Router) observeNotice(u *upstream, n notice.Notice) {
	if !n.Leaving && n.Pause == 0 && n.Err == nil {
		return
	}
	r.mu.Lock()
	change := r.notices.Observe(time.Now(), u.process(), n, rand.Float64())
	r.mu.Unlock()
	if change.Left || change.Paused || n.Err != nil {
		r.log.Info("upstream notice", "upstream", u.instance.ID, "born", u.instance.Born, "service", u.instance.Service, "leaving", n.Leaving,
			"pause_ms", n.Pause.Milliseconds(), "error", n.Err)
	}
}

// NoticeInForce is what an upstream has said of itself to this VM.
type NoticeInForce struct {
	Upstream string `json:"upstream"`
	Service  string `json:"service"`
	// Since is when the upstream first said that it leaves, PausedUntil the time until which it gets no requests from this VM. Both
	// are zero if they do not apply.
	Since       time.Time `json:"leaving_since,omitzero"`
	PausedUntil time.Time `json:"paused_until,omitzero"`
}

// Notices returns what upstreams have said of themselves to this VM, as far as it holds now, ordered by upstream.
func (r *Router) Notices() []NoticeInForce {
	view := r.View()
	now := time.Now()
	r.mu.Lock()
	inForce := r.notices.InForce(now)
	r.mu.Unlock()
	all := []NoticeInForce{}
	for _, n := range inForce {
		entry := NoticeInForce{Upstream: n.Process.Instance, Since: n.LeavingSince}
		if n.PausedUntil.After(now) {
			entry.PausedUntil = n.PausedUntil
		}
		if u, ok := view.registered(n.Process.Instance); ok {
			entry.Service = u.instance.Service
		}
		all = append(all, entry)
	}
	slices.SortFunc(all, func(a, b NoticeInForce) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return all
}
