package router

import (
	"time"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/route"
)

const (
	// sureFor is how old the confirmed view may be for a key that it does not contain to count as unknown.
	sureFor = 2 * time.Second
	// revokeMargin is subtracted from the time within which a removed key must have stopped. It covers the difference between
	// the rates of the clocks of two VMs, and the time between the check of a key and the write to the connection.
	revokeMargin = 250 * time.Millisecond
	// overdueAge is the age of the confirmed view from which the next watch asks for an immediate reply. A watch that is held
	// for its full time stays below.
	overdueAge = controlrpc.CallTimeout
	// electionTime bounds how long the control group is without a leader after the loss of one: two rounds of an election.
	electionTime = 2 * time.Second
	// MinKeyRevoke is the shortest Config.KeyRevoke with which the loss of a leader makes no VM refuse requests: a watch that is
	// held for its full time, a call that the lost leader does not answer, an election and the margin.
	MinKeyRevoke = controlrpc.MaxWatchWait + controlrpc.CallTimeout + electionTime + revokeMargin
)

// viewAge is the age of the view as confirmed by a quorum. Known is false if no leader has confirmed a view since the start of
// the process.
type viewAge struct {
	age   time.Duration
	known bool
}

// sure reports whether a key that the view does not contain is in no configuration.
func (a viewAge) sure() bool { return a.known && a.age <= sureFor }

// fresh reports whether requests with a key may run, where revoke is the time within which a removed key must have stopped. If it
// is 0, they may run at any age.
func (a viewAge) fresh(revoke time.Duration) bool {
	return revoke <= 0 || (a.known && a.age < revoke-revokeMargin)
}

// KeyVerdict is the decision about a key.
type KeyVerdict int

// The verdicts about a key.
const (
	// KeyAccepted means that the request may run.
	KeyAccepted KeyVerdict = iota
	// KeyUnknown means that no configuration contains the key.
	KeyUnknown
	// KeyUnsure means that this VM cannot tell, because its view is too old or was never confirmed.
	KeyUnsure
)

// decideKey decides whether a request may run whose key belongs to the team, nil if the view does not contain the key.
func decideKey(team *route.Team, age viewAge, revoke time.Duration) KeyVerdict {
	switch {
	case team != nil && age.fresh(revoke):
		return KeyAccepted
	case team == nil && age.sure():
		return KeyUnknown
	}
	return KeyUnsure
}

// decideSend decides whether an accepted request may still be sent. now is the table in force and team the team to which it maps
// the key, nil for none.
func decideSend(claimed string, version uint64, now *route.Index, team *route.Team, age viewAge, revoke time.Duration) KeyVerdict {
	switch {
	case revoke <= 0:
		return KeyAccepted
	case !age.fresh(revoke):
		return KeyUnsure
	case now == nil || now.Table.Version < version:
		// The key was checked against a newer table than this one, which says nothing about it.
		return KeyAccepted
	case team == nil:
		return KeyUnknown
	case team.Name != claimed:
		// The key has moved to another team. The caller gets its new team with the next try.
		return KeyUnsure
	}
	return KeyAccepted
}

// heldFor returns the part of the duration of a watch for which the reply shows that the leader held it, so that the view is
// confirmed from that time after the start of the watch. The leader's clock cannot make it longer than a leader holds a watch, or than
// the watch itself.
func heldFor(held, took time.Duration) time.Duration {
	return max(0, min(held, took, controlrpc.MaxWatchWait))
}
