package relay

import (
	"time"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/route"
)

// KeyClaim tells a relay which team a request was accepted for. Messages leave it out if the request needs no key.
type KeyClaim struct {
	Team string
	// Digest is the digest of the key, and TableVersion the version of the route table that maps it to the team.
	Digest       route.KeyDigest
	TableVersion uint64
}

// KeyError is returned for an attempt that was not sent because of the key of its request.
type KeyError struct {
	// Removed is set if a table maps the key to no team or to another one. Otherwise the view of the VM was too old to tell, and
	// another VM may send the request.
	Removed bool
	Err     error
}

// Error implements the error interface.
func (e *KeyError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *KeyError) Unwrap() error { return e.Err }

// keyCheck returns the check to make before each send of a request with the claim, nil if it needs none.
func (s *Server) keyCheck(claim *KeyClaim) func() error {
	if claim == nil {
		return nil
	}
	return func() error { return s.executor.CheckKey(claim) }
}

// RemovedKeyError is the error of a request whose key a relay with a newer table does not assign to the team. This VM has yet to
// receive that table, so that it cannot tell whether the key belongs to another team now.
func RemovedKeyError() *KeyError {
	return &KeyError{Removed: true, Err: fault.New(fault.Unconfirmed, "relay.key", "a relay has a newer table, in which the key does not belong to the team")}
}

// MarkUnconfirmed records that the view of the relay is too old for requests with keys, so that it gets none for a while.
func (l *Link) MarkUnconfirmed(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !now.Before(l.health.partitionedUntil) {
		l.log.Info("relay without a confirmed view", "relay", l.peer.ID, "avoided_ms", partitionedFor.Milliseconds())
	}
	l.health.partitionedUntil = now.Add(partitionedFor)
}
