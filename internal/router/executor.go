package router

import (
	"context"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/relay"
	"github.com/wisteriamux/wisteriamux/internal/upstreamconn"
)

// Accept decides whether an attempt is made on behalf of another entry VM. It implements relay.Executor.
func (r *Router) Accept(requested relay.Attempt, request *upstreamconn.Request) error {
	u, ok := r.View().byID[requested.Instance]
	if !ok {
		return unknownUpstream(requested.Instance)
	}
	if r.partitionedFrom(u) {
		return &relay.LinkLostError{}
	}
	if err := r.refuseQuarantined(request); err != nil {
		return err
	}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.refusesWork(u, now) {
		return fault.New(fault.Moved, "router.attempt", "upstream %q leaves, wants no requests or has lost its address", requested.Instance)
	}
	cost, bad := r.tracker.Degraded(now, requested.Instance)
	if (bad && requested.Optional) || r.declinesForPace(now, requested) {
		return &relay.DeclinedError{Cost: cost}
	}
	return nil
}

func unknownUpstream(id string) error {
	return fault.New(fault.Moved, "router.attempt", "upstream %q is unknown or does not accept requests", id)
}

// Attempt makes an attempt on behalf of another entry VM. It implements relay.Executor.
func (r *Router) Attempt(ctx context.Context, requested relay.Attempt, expected time.Duration, request *upstreamconn.Request) (*upstreamconn.Response, error) {
	u, ok := r.View().byID[requested.Instance]
	if !ok {
		return nil, unknownUpstream(requested.Instance)
	}
	now := time.Now()
	r.mu.Lock()
	r.counts.Executed++
	a := &attempt{upstream: u, sent: now, expected: expected, ticket: r.tracker.Sent(now, requested.Instance, expected)}
	r.mu.Unlock()
	response, err := r.send(ctx, u, requested.Rank, expected, request)
	r.updateTracker(a, directResult(response, err, ctx.Err() != nil), time.Since(now))
	return response, err
}

// ObserveAttempt implements relay.Executor.
func (r *Router) ObserveAttempt(start, end time.Duration) {
	r.observeRelayStep(StepRelayStart, start)
	r.observeRelayStep(StepRelayAttempt, end)
}

// refusesWork reports whether the upstream has told this VM to send nothing, which other VMs may not know. The caller must hold mu.
func (r *Router) refusesWork(u *upstream, now time.Time) bool {
	return r.taken[u.location()] || r.notices.PausedUntil(u.process()).After(now) || r.notices.Leaving(now, u.process(), true)
}
