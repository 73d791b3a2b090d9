package router

import (
	"errors"
	"sync/atomic"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/boottime"
	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/relay"
	"github.com/wisteriamux/wisteriamux/internal/route"
)

// keyState is what decides about keys besides the view.
type keyState struct {
	// now reads CLOCK_BOOTTIME, which also goes on while the VM is suspended.
	now func() time.Duration
	// revoke is the time within which a removed key must have stopped at all VMs, 0 if that is not required.
	revoke time.Duration
	// confirmed is the time at which the view was confirmed by a quorum, nil if it never was. The view was adopted before.
	confirmed atomic.Pointer[time.Duration]
	// pollFailed is set after a failed watch. Only WatchControl uses it.
	pollFailed bool
	// refusing is set from the first request that is refused because the view is too old until the next confirmation.
	refusing atomic.Bool
	// unknown and unsure count refused requests, and refusedSends the sends of accepted requests that were refused.
	unknown, unsure, refusedSends atomic.Int64
}

func newKeyState(config Config) *keyState {
	state := &keyState{now: config.BootTime, revoke: config.KeyRevoke}
	if state.now == nil {
		state.now = boottime.Now
	}
	return state
}

// age returns the age of the confirmed view. It must be read before the view that is used with it: a view is adopted before it
// is confirmed, so that the view is then as new as the age says, or newer.
func (k *keyState) age() viewAge {
	at := k.confirmed.Load()
	if at == nil {
		return viewAge{}
	}
	return viewAge{age: k.now() - *at, known: true}
}

// confirm records that the adopted view contains every change that was acknowledged before the time.
func (k *keyState) confirm(at time.Duration) {
	if last := k.confirmed.Load(); last == nil || *last < at {
		k.confirmed.Store(&at)
	}
}

// KeyCheck is the result of checking the key of a request.
type KeyCheck struct {
	Verdict KeyVerdict
	// Team is the team of an accepted key, nil if no key is needed any more. TableVersion is the version of the table that maps
	// the key to it.
	Team         *route.Team
	TableVersion uint64
}

// KeyCheck checks the key of a request that has just arrived. given is false if the request has no key, or none that can be one.
func (r *Router) KeyCheck(key route.KeyDigest, given bool) KeyCheck {
	age := r.keys.age()
	routes := r.View().Routes
	if routes != nil && !routes.HasTeams() {
		// A table without teams came into force after the caller of this function has read the one before.
		return KeyCheck{}
	}
	var check KeyCheck
	if routes != nil && given {
		check.Team, check.TableVersion = routes.Team(key), routes.Table.Version
	}
	check.Verdict = decideKey(check.Team, age, r.keys.revoke)
	switch check.Verdict {
	case KeyUnknown:
		r.keys.unknown.Add(1)
	case KeyUnsure:
		r.keys.unsure.Add(1)
		r.noteRefusal(age)
	}
	return check
}

// noteRefusal logs that requests with a key are refused, once until the view is confirmed again.
func (r *Router) noteRefusal(age viewAge) {
	if !r.keys.refusing.Swap(true) {
		r.log.Warn("requests with keys refused", "view_age_ms", age.millis(), "revision", r.View().Revision, "revoke_ms", r.keys.revoke.Milliseconds())
	}
}

// millis returns the age in ms, or -1 if no view was confirmed.
func (a viewAge) millis() int64 {
	if !a.known {
		return -1
	}
	return a.age.Milliseconds()
}

// claim returns what a VM needs to check the key of the request again, nil if the request has none.
func (r *Request) claim() *relay.KeyClaim {
	if r.Team == nil {
		return nil
	}
	return &relay.KeyClaim{Team: r.Team.Name, Digest: r.Key, TableVersion: r.TableVersion}
}

// CheckKey returns a KeyError if a request with the claim must not be sent any more. It implements relay.Executor.
func (r *Router) CheckKey(claim *relay.KeyClaim) error {
	if claim == nil || r.keys.revoke <= 0 {
		return nil
	}
	age := r.keys.age()
	routes := r.View().Routes
	var team *route.Team
	if routes != nil {
		team = routes.Team(claim.Digest)
	}
	verdict := decideSend(claim.Team, claim.TableVersion, routes, team, age, r.keys.revoke)
	if verdict == KeyAccepted {
		return nil
	}
	r.keys.refusedSends.Add(1)
	switch {
	case verdict == KeyUnknown:
		return &relay.KeyError{Removed: true, Err: fault.New(fault.Unauthenticated, "router.key", "the key no longer belongs to a team")}
	case !age.fresh(r.keys.revoke):
		r.noteRefusal(age)
		return &relay.KeyError{Err: fault.New(fault.Unconfirmed, "router.key", "no quorum has confirmed the view for %d ms", age.millis())}
	}
	return &relay.KeyError{Removed: true, Err: fault.New(fault.Unconfirmed, "router.key", "the key belongs to another team now")}
}

// sendCheck returns the check to make immediately before each send of the request, nil if there is none.
func (r *Router) sendCheck(request *Request) func() error {
	claim := request.claim()
	if claim == nil || r.keys.revoke <= 0 {
		return nil
	}
	return func() error { return r.CheckKey(claim) }
}

// keyRefusal returns the error because of which a request was not sent if that is its key, or nil.
func keyRefusal(err error) *relay.KeyError {
	var refused *relay.KeyError
	if errors.As(err, &refused) {
		return refused
	}
	return nil
}

// ServesKeys reports whether requests with keys are not refused because of the age of the view. It is true if no route needs a key.
func (r *Router) ServesKeys() bool {
	age := r.keys.age()
	routes := r.View().Routes
	return routes == nil || !routes.HasTeams() || age.fresh(r.keys.revoke)
}

// ViewAgeMillis returns the age of the view as confirmed by a quorum in ms, or -1 if none has confirmed it.
func (r *Router) ViewAgeMillis() int64 { return r.keys.age().millis() }

// pollWait returns how long the leader may hold the next watch. It is 0 if a table with teams is in force and its confirmation is
// overdue, since requests with keys are refused without it.
func (r *Router) pollWait() time.Duration {
	if !r.needsConfirmation() {
		return controlrpc.MaxWatchWait
	}
	if age := r.keys.age(); r.keys.pollFailed || !age.known || age.age >= overdueAge {
		return 0
	}
	return controlrpc.MaxWatchWait
}

// needsConfirmation reports whether the table in force has teams, so that the age of the view matters.
func (r *Router) needsConfirmation() bool {
	routes := r.View().Routes
	return routes != nil && routes.HasTeams()
}

// confirmView records that the leader has confirmed the adopted view in reply to a watch that began at the time.
func (r *Router) confirmView(reply controlrpc.WatchReply, began time.Duration) {
	if reply.Provisional || r.View().Revision != reply.Revision {
		return
	}
	r.keys.confirm(began + heldFor(reply.Held, r.keys.now()-began))
	if age := r.keys.age(); age.fresh(r.keys.revoke) && age.sure() && r.keys.refusing.Swap(false) {
		r.log.Info("requests with keys accepted again", "view_age_ms", age.millis(), "revision", reply.Revision)
	}
}

// keyAllowsSend reports whether the key of the request allows another send.
func (s *search) keyAllowsSend() bool {
	if s.keyRefused == nil {
		if refused := keyRefusal(s.router.CheckKey(s.request.claim())); refused != nil {
			s.refuseKey(refused)
		}
	}
	return s.keyRefused == nil
}

// refuseKey records that nothing more may be sent. Attempts that have been sent go on.
func (s *search) refuseKey(refused *relay.KeyError) {
	s.keyRefused = refused
	s.giveUp(allShards(len(s.parts)))
}

// reopenAfterUnconfirmed makes another attempt at a shard possible whose attempt a relay did not send because of the age of its
// view. A hedge may have found no other upstream meanwhile, and the one of the attempt can be used on another way.
func (s *search) reopenAfterUnconfirmed(shard int) {
	if s.keyRefused == nil {
		s.state.Reopen(shard)
	}
}

// keyAllowsSend reports whether the key of the request allows another send.
func (f *forwardCall) keyAllowsSend() bool {
	if f.keyRefused == nil {
		f.keyRefused = keyRefusal(f.router.CheckKey(f.request.claim()))
	}
	return f.keyRefused == nil
}

// isUnlogged reports whether attempts with the outcome are counted and not logged, since there may be one for each request.
func isUnlogged(outcome relay.Outcome) bool {
	return outcome == relay.Limited || outcome == relay.Unconfirmed || outcome == relay.KeyRemoved
}
