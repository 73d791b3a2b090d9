package router

import (
	"context"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/ratelimit"
	"github.com/wisteriamux/wisteriamux/internal/upstreamconn"
)

// limitKey returns the key of the upstream process in the book of limits.
func (u *upstream) limitKey() ratelimit.Key {
	return ratelimit.Key{Instance: u.instance.ID, Born: u.instance.Born}
}

// send sends a request to an upstream. Every request of this VM to an upstream passes here.
func (r *Router) send(ctx context.Context, u *upstream, request *upstreamconn.Request) (*upstreamconn.Response, error) {
	response, err := u.pool.Do(ctx, request)
	if err == nil && !response.Misdirected {
		r.observeLimit(u, response.RateLimit)
	}
	return response, err
}

// observeLimit records what a response of the upstream says about its request rate.
func (r *Router) observeLimit(u *upstream, s ratelimit.Statement) {
	r.mu.Lock()
	change := r.limits.Observe(time.Now(), u.limitKey(), s)
	r.mu.Unlock()
	if change.BecameUnreadable {
		r.log.Warn("upstream rate limit cannot be read", "upstream", u.instance.ID, "service", u.instance.Service,
			"in_force", change.After, "error", s.Err)
	}
	if change.Before != change.After {
		r.log.Info("upstream rate limit changed", "upstream", u.instance.ID, "service", u.instance.Service,
			"before", change.Before, "after", change.After)
	}
}
