// Package overload decides which searches are refused when the upstreams cannot serve all of them in time. It performs no
// I/O; time and random draws are arguments.
//
// The load that it answers is a spike well above the capacity of the slots. Without refusals queues grow until every search
// is late. Refusing a part at once keeps the others in time. A caller whose search was refused comes again; if it were
// then served in any case, a refusal would only move the load, so that second attempts are refused more often.
package overload

import (
	"math"
	"time"
)

const (
	// lateStep is how far one late search moves the refused share towards maxShare.
	lateStep = 0.08
	// maxShare bounds the share that is refused, so that the end of a spike is noticed.
	maxShare = 0.8
	// memory is the time constant with which the refused share falls. It is below the length of a spike and above the time
	// that a search takes.
	memory = 1500 * time.Millisecond
	// minShare is the share below which nothing is refused: single late searches are no overload.
	minShare = 0.08
	// againFactor is how much more often a second attempt is refused.
	againFactor = 3.0
	// queueingShare is the part of the time to the goal that the usual answer of one shard takes when queues are long. The
	// slowest of some twenty shards takes about three times the usual one. Searches that are late although shards answer
	// fast miss single shards, which no refusal helps.
	queueingShare = 0.6
)

// Controller holds the refused share of one set of shards at one VM. It is not safe for concurrent use.
type Controller struct {
	share float64
	at    time.Time
}

// RecordLate records a search that missed its goal, with the usual answer time of its shards and the time that it had.
func (c *Controller) RecordLate(now time.Time, answer, had time.Duration) {
	if float64(answer) < queueingShare*float64(had) {
		return
	}
	share := c.ShedFraction(now)
	c.share = share + lateStep*(maxShare-share)
	c.at = now
}

// ShedFraction returns the share of first attempts that is refused.
func (c *Controller) ShedFraction(now time.Time) float64 {
	if c.share == 0 {
		return 0
	}
	return c.share * math.Exp(-float64(now.Sub(c.at))/float64(memory))
}

// Admit decides about a search with a draw from [0, 1). Again marks a second attempt.
func (c *Controller) Admit(now time.Time, again bool, draw float64) bool {
	share := c.ShedFraction(now)
	if share < minShare {
		return true
	}
	if again {
		share *= againFactor
	}
	return draw >= share
}
