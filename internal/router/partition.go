package router

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/relay"
	"github.com/wisteriamux/wisteriamux/internal/upstreamconn"
)

const (
	// unansweredAfter is the least age, and unansweredFactor the multiple of the usual response time, from which a request
	// without a response is evidence that this VM may have lost its links. Upstreams pause for up to 200 ms.
	unansweredAfter  = 200 * time.Millisecond
	unansweredFactor = 4
	// checkTargets is the number of upstreams to which a check connects, and checkTimeout how long it waits.
	checkTargets = 3
	checkTimeout = 250 * time.Millisecond
)

// linkEpoch is the time between two losses of this VM's links to upstreams. Its context is cancelled at the end.
type linkEpoch struct {
	ctx    context.Context
	cancel context.CancelFunc
}

func newLinkEpoch() *linkEpoch {
	ctx, cancel := context.WithCancel(context.Background())
	return &linkEpoch{ctx: ctx, cancel: cancel}
}

// exchange sends a request on this VM's own link to an upstream and records what that tells about the links. A request that
// waits while the links turn out to be lost ends with a relay.LinkLostError.
func (r *Router) exchange(ctx context.Context, u *upstream, expected time.Duration, request *upstreamconn.Request) (*upstreamconn.Response, error) {
	epoch := r.epoch.Load()
	outer := ctx
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(epoch.ctx, cancel)()
	overdue := time.AfterFunc(max(unansweredAfter, unansweredFactor*expected), r.recordUnanswered)
	response, err := u.pool.Do(ctx, request)
	overdue.Stop()
	var failed *upstreamconn.RequestError
	switch {
	case err == nil:
		r.recordResponse(u)
	case outer.Err() != nil:
	case epoch.ctx.Err() != nil:
		return nil, &relay.LinkLostError{Sent: errors.As(err, &failed) && failed.Sent}
	case errors.As(err, &failed) && failed.Sent:
		r.recordUnanswered()
		if failed.Closed {
			r.checkEnd(u, request)
		}
	}
	return response, err
}

func (r *Router) recordResponse(u *upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.links.Responded(time.Now(), u.instance.ID)
}

func (r *Router) recordUnanswered() {
	r.mu.Lock()
	r.links.Unanswered()
	r.mu.Unlock()
	r.checkLinks()
}

// recordDial records the result of connecting to an upstream.
func (r *Router) recordDial(err error) {
	r.mu.Lock()
	r.links.Dialled(err == nil)
	r.mu.Unlock()
	if err != nil {
		r.checkLinks()
	}
}

// checkLinks starts a check of this VM's links to upstreams if one is due.
func (r *Router) checkLinks() {
	view := r.View()
	r.mu.Lock()
	due := r.links.StartCheck(time.Now(), view.UpstreamCount())
	ids := r.links.Targets(checkTargets - 1)
	r.mu.Unlock()
	if due {
		go r.runCheck(view.addresses(ids, checkTargets))
	}
}

// addresses returns the addresses of the upstreams with the IDs, and of any others up to the limit.
func (v *View) addresses(ids []string, limit int) []string {
	chosen := map[string]bool{}
	for _, id := range ids {
		if u, ok := v.byID[id]; ok {
			chosen[u.instance.Address] = true
		}
	}
	for _, u := range v.byID {
		if len(chosen) >= limit {
			break
		}
		chosen[u.instance.Address] = true
	}
	var addresses []string
	for address := range chosen {
		addresses = append(addresses, address)
	}
	return addresses
}

// runCheck connects to the addresses and records whether any connection was made.
func (r *Router) runCheck(addresses []string) {
	connected := r.canConnect(addresses)
	now := time.Now()
	r.mu.Lock()
	changed := r.links.Checked(now, connected)
	partitioned, silent := r.links.Partitioned(), r.links.Silent()
	if changed {
		// What was observed of upstreams over lost links says nothing about them.
		r.tracker.Forgive()
		r.pace.Forgive()
	}
	r.mu.Unlock()
	if partitioned && silent {
		r.dropConnections()
	}
	switch {
	case changed && partitioned:
		r.log.Warn("links to upstreams lost", "checked", len(addresses), "silent", silent)
	case changed:
		r.log.Info("links to upstreams restored", "checked", len(addresses))
	}
}

// canConnect reports whether a connection to any of the addresses can be made within checkTimeout.
func (r *Router) canConnect(addresses []string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	results := make(chan bool, len(addresses))
	for _, address := range addresses {
		go func() {
			conn, err := r.config.DialUpstream(ctx, address)
			if err == nil {
				_ = conn.Close()
			}
			results <- err == nil
		}()
	}
	for range addresses {
		if <-results {
			return true
		}
	}
	return false
}

// dropConnections ends all exchanges with upstreams and closes the idle connections, which hang.
func (r *Router) dropConnections() {
	r.epoch.Swap(newLinkEpoch()).cancel()
	view := r.View()
	for _, u := range view.withheld {
		u.pool.CloseIdleConnections()
	}
	for _, u := range view.byID {
		u.pool.CloseIdleConnections()
	}
}

// avoidsOwnLink reports whether requests to the upstream should go through another VM, because this VM has lost its links
// to upstreams, or has just regained them. An open connection that still works is used.
func (r *Router) avoidsOwnLink(u *upstream) bool {
	r.mu.Lock()
	avoided := r.ownLinkAvoided(u, time.Now(), rand.Float64())
	partitioned := r.links.Partitioned()
	r.mu.Unlock()
	if partitioned {
		r.checkLinks()
	}
	return avoided
}

// ownLinkAvoided reports whether requests to the upstream go through another VM because this VM has lost its own links, or has had them
// back for a short time. The caller must hold mu.
func (r *Router) ownLinkAvoided(u *upstream, now time.Time, draw float64) bool {
	return !r.links.Direct(now, draw) && u.pool.IdleCount() == 0
}

// partitionedFrom reports whether this VM has lost its links to upstreams and has no open connection to this one.
func (r *Router) partitionedFrom(u *upstream) bool {
	r.mu.Lock()
	partitioned := r.links.Partitioned()
	r.mu.Unlock()
	if partitioned {
		r.checkLinks()
	}
	return partitioned && u.pool.IdleCount() == 0
}

// isUnsentForLinks reports whether a request was not sent because a VM has lost its links. The upstream may be tried again,
// through another VM.
func isUnsentForLinks(err error) bool {
	var linkLost *relay.LinkLostError
	return errors.As(err, &linkLost) && !linkLost.Sent
}

// without returns the upstreams except one.
func without(tried []*upstream, u *upstream) []*upstream {
	kept := make([]*upstream, 0, len(tried))
	for _, other := range tried {
		if other != u {
			kept = append(kept, other)
		}
	}
	return kept
}
