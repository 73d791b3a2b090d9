package router

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/ratelimit"
	"github.com/wisteriamux/wisteriamux/internal/registry"
	"github.com/wisteriamux/wisteriamux/internal/relay"
	"github.com/wisteriamux/wisteriamux/internal/route"
	"github.com/wisteriamux/wisteriamux/internal/upstreamconn"
)

// process returns the identity of the upstream process.
func (u *upstream) process() registry.Process { return u.instance.Process() }

// send sends a request of the rank, which usually takes the expected time, to an upstream. Every request of this VM to an
// upstream passes here, so that all of them count towards the upstream's rate limit. A NoRoomError means that nothing was
// sent, as does an error of request.Check, which is called before a permit is taken and again before the request is written.
func (r *Router) send(ctx context.Context, u *upstream, rank int, expected time.Duration, request *upstreamconn.Request) (*upstreamconn.Response, error) {
	if request.Check != nil {
		if err := request.Check(); err != nil {
			return nil, err
		}
	}
	if err := r.permit(ctx, u, rank); err != nil {
		return nil, err
	}
	if err := r.checkWithheld(u); err != nil {
		return nil, err
	}
	response, err := r.exchange(ctx, u, expected, request)
	if err == nil && !response.Misdirected {
		r.observeLimit(u, response.RateLimit)
		r.observeNotice(u, response.Notice)
	}
	return response, err
}

// observeLimit records what a response of the upstream that has just arrived says about its request rate.
func (r *Router) observeLimit(u *upstream, s ratelimit.Statement) { r.observeLimitAt(time.Now(), u, s) }

func (r *Router) observeLimitAt(at time.Time, u *upstream, s ratelimit.Statement) {
	r.mu.Lock()
	change := r.limits.Observe(at, u.process(), s)
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

// holderRetry is how long an upstream counts as full while the VM that holds its bucket is not known or does not answer.
const holderRetry = 50 * time.Millisecond

// isNoRoom reports whether a request was not sent because of a rate limit.
func isNoRoom(err error) bool {
	var noRoom *ratelimit.NoRoomError
	return errors.As(err, &noRoom)
}

// permit returns a NoRoomError unless the upstream has no rate limit or a permit was granted.
func (r *Router) permit(ctx context.Context, u *upstream, rank int) error {
	now := time.Now()
	key := u.process()
	r.mu.Lock()
	perSecond, statedAt := r.limits.Known(key)
	r.mu.Unlock()
	cold := r.coldPerSecond(u, now)
	if perSecond == 0 && cold == 0 {
		return nil
	}
	args := relay.PermitArgs{Upstream: key, PerSecond: perSecond, Age: now.Sub(statedAt), Rank: rank, ColdPerSecond: cold}
	grant := r.askHolder(ctx, u, args)
	if grant.Granted {
		return nil
	}
	r.recordFull(u, grant.RetryAfter)
	return &ratelimit.NoRoomError{RetryAfter: grant.RetryAfter}
}

// askHolder asks the VM that holds the bucket of the upstream for a permit, and adopts newer knowledge of the limit.
func (r *Router) askHolder(ctx context.Context, u *upstream, args relay.PermitArgs) ratelimit.Grant {
	if r.peers == nil {
		return r.issue(args, ratelimit.Demand{Issuers: r.View().watchers})
	}
	holder := r.peers.Holder(args.Upstream.Instance, time.Now())
	if holder.Self {
		return r.issue(args, ratelimit.Demand{Deputy: holder.Deputy})
	}
	if holder.Link == nil {
		return ratelimit.Grant{RetryAfter: holderRetry}
	}
	reply, err := holder.Link.Permit(ctx, args)
	if err != nil {
		if ctx.Err() == nil {
			r.log.Warn("permit not obtained", "upstream", args.Upstream.Instance, "holder", holder.Link.PeerID(), "code", fault.CodeOf(err), "error", err)
		}
		return ratelimit.Grant{RetryAfter: holderRetry}
	}
	r.observeLimitAt(time.Now().Add(-reply.Age), u, ratelimit.Statement{PerSecond: reply.PerSecond})
	return reply.Grant
}

// issue takes a permit from the bucket that this VM holds.
func (r *Router) issue(args relay.PermitArgs, demand ratelimit.Demand) ratelimit.Grant {
	demand.PerSecond, demand.Rank = args.PerSecond, args.Rank
	if args.ColdPerSecond > 0 && (args.PerSecond == 0 || args.ColdPerSecond < args.PerSecond) {
		demand.PerSecond, demand.ColdOverage = args.ColdPerSecond, max(1, r.config.ColdOverage)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.issuer.Take(time.Now(), args.Upstream, demand, rand.Float64())
}

// Permit grants or denies a permit to another entry VM. It implements relay.Executor. Only the VM that holds the bucket of
// the upstream grants permits, so that two VMs do not grant the whole limit at the same time.
func (r *Router) Permit(args relay.PermitArgs) relay.PermitReply {
	now := time.Now()
	reply := relay.PermitReply{Grant: ratelimit.Grant{RetryAfter: holderRetry}, PerSecond: args.PerSecond, Age: args.Age}
	if u, ok := r.View().byID[args.Upstream.Instance]; ok && u.process() == args.Upstream {
		r.observeLimitAt(now.Add(-args.Age), u, ratelimit.Statement{PerSecond: args.PerSecond})
		r.mu.Lock()
		perSecond, statedAt := r.limits.Known(args.Upstream)
		r.mu.Unlock()
		reply.PerSecond, reply.Age = perSecond, now.Sub(statedAt)
		args.ColdPerSecond = lowerLimit(args.ColdPerSecond, r.coldPerSecond(u, now))
	}
	if reply.PerSecond == 0 && args.ColdPerSecond == 0 {
		reply.Grant = ratelimit.Grant{Granted: true}
		return reply
	}
	if holder := r.peers.Holder(args.Upstream.Instance, now); holder.Self {
		args.PerSecond = reply.PerSecond
		reply.Grant = r.issue(args, ratelimit.Demand{Deputy: holder.Deputy})
	}
	return reply
}

// recordFull records that the upstream is at its rate limit.
func (r *Router) recordFull(u *upstream, retryAfter time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.NoRoom++
	until := time.Now().Add(retryAfter)
	r.limits.Full(u.process(), until)
	if r.coldPerSecond(u, time.Now()) > 0 {
		r.coldFull[u.process()] = until
	}
}

// Leave hands the buckets of this VM over to others, because it is about to stop.
func (r *Router) Leave() {
	if r.peers != nil {
		r.peers.Leave()
	}
}

// refuseLimited returns an error if so many shards are at their rate limit that the search cannot reach its coverage, so
// that it is refused before any upstream runs it.
func (r *Router) refuseLimited(rt *route.Route, now time.Time) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.limits.Empty() && r.notices.Empty() && len(r.coldFull) == 0 {
		return nil
	}
	waits := make([]time.Duration, len(rt.Shards))
	for shard, service := range rt.Shards {
		waits[shard] = r.waitForRoom(service, now)
	}
	slices.Sort(waits)
	if wait := waits[minShards(len(waits), rt.Coverage)-1]; wait > 0 {
		return fault.New(fault.RateLimited, "router.admit", "too few of %d shards have room: %w", len(waits), noRoomError(wait))
	}
	return nil
}

// returnSpread is the part of the wait, and maxReturnSpread the time, by which callers are told to wait longer at most, so that
// they do not return all at once.
const (
	returnSpread    = 0.2
	maxReturnSpread = 300 * time.Millisecond
)

// noRoomError returns the error for a request that is refused because there is no room before the wait is over.
func noRoomError(wait time.Duration) *ratelimit.NoRoomError {
	return &ratelimit.NoRoomError{RetryAfter: wait + time.Duration(rand.Float64()*min(returnSpread*float64(wait), float64(maxReturnSpread)))}
}

// waitForRoom returns how long all upstreams of the service stay at their rate limits or want no requests. It is 0 if one of them has room, or
// if there is none, since that is not a matter of limits. The caller must hold mu.
func (r *Router) waitForRoom(service string, now time.Time) time.Duration {
	var earliest time.Duration
	for n, u := range r.View().byService[service] {
		wait := max(0, r.roomAt(u).Sub(now), r.notices.PausedUntil(u.process()).Sub(now))
		if n == 0 || wait < earliest {
			earliest = wait
		}
	}
	return earliest
}

// LimitInForce is a rate limit that an upstream has named.
type LimitInForce struct {
	Upstream string `json:"upstream"`
	Service  string `json:"service"`
	// PerSecond is the number of requests per second that the upstream takes from all entry VMs together.
	PerSecond float64 `json:"per_second"`
	// Holder is the ID of the entry VM that grants permits, empty if it is not known.
	Holder string `json:"holder"`
}

// Limits returns the rate limits in force, as far as this VM knows, ordered by upstream.
func (r *Router) Limits() []LimitInForce {
	view := r.View()
	r.mu.Lock()
	inForce := r.limits.InForce()
	r.mu.Unlock()
	all := []LimitInForce{}
	for _, l := range inForce {
		limit := LimitInForce{Upstream: l.Process.Instance, PerSecond: l.PerSecond}
		if u, ok := view.registered(l.Process.Instance); ok {
			limit.Service = u.instance.Service
		}
		if r.peers != nil {
			limit.Holder = r.peers.FirstHolder(l.Process.Instance)
		}
		all = append(all, limit)
	}
	return all
}
