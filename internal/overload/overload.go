// Package overload implements load shedding: it decides which searches to refuse while the upstreams cannot serve all
// of them in time. It performs no I/O; the time and the random draws are arguments.
//
// It is designed for load spikes well above the capacity of the slots. Without shedding, the queues grow until every
// search is late. Refusing a fraction at once keeps the others in time. A caller whose search was refused retries. If
// retries were always served, shedding would only postpone the load, so retries are refused more often.
package overload

import (
	"math"
	"time"
)

const (
	// lateStep is the weight with which one late search moves the shed fraction towards maxFraction.
	lateStep = 0.08
	// maxFraction bounds the shed fraction, so that enough searches are served to detect the end of a spike.
	maxFraction = 0.8
	// decayTime is the time constant with which the shed fraction decays. It is below the length of a spike and above the
	// latency of a search.
	decayTime = 1500 * time.Millisecond
	// minFraction is the fraction below which nothing is refused: single late searches are no overload.
	minFraction = 0.08
	// retryFactor is how much more often a retry is refused than a first attempt.
	retryFactor = 3.0
	// queueingShare is the share of the available time above which the usual latency of one shard indicates long queues.
	// The slowest of some twenty shards takes about three times the usual latency. Searches that are late although the
	// shards respond fast lack single shards, which shedding does not help.
	queueingShare = 0.6
	// shortQueueShare is the share of the available time below which the usual latency of one shard indicates that the
	// slots keep up, and releaseStep the weight with which a search that is in time then lowers the shed fraction.
	shortQueueShare = 0.4
	releaseStep     = 0.1
)

// Controller holds the shed fraction of one set of shards at one entry VM. It is not safe for concurrent use.
type Controller struct {
	// fraction is the shed fraction at the time of updatedAt, from which it decays.
	fraction  float64
	updatedAt time.Time
}

// RecordLate records a search that missed its soft deadline. The latency is the usual one of its shards, and available
// is the time from the start of the search to its soft deadline.
func (c *Controller) RecordLate(now time.Time, latency, available time.Duration) {
	if float64(latency) < queueingShare*float64(available) {
		return
	}
	fraction := c.ShedFraction(now)
	c.fraction = fraction + lateStep*(maxFraction-fraction)
	c.updatedAt = now
}

// RecordInTime records a search that met its soft deadline. While the usual latency of its shards shows that queues are
// short, the spike is over or smaller than assumed, and the shed fraction is lowered faster than by its decay.
func (c *Controller) RecordInTime(now time.Time, latency, available time.Duration) {
	if c.fraction == 0 || float64(latency) >= shortQueueShare*float64(available) {
		return
	}
	c.fraction = c.ShedFraction(now) * (1 - releaseStep)
	c.updatedAt = now
}

// ShedFraction returns the fraction of first attempts that is refused.
func (c *Controller) ShedFraction(now time.Time) float64 {
	if c.fraction == 0 {
		return 0
	}
	return c.fraction * math.Exp(-float64(now.Sub(c.updatedAt))/float64(decayTime))
}

// Preview returns the probability with which a search would be refused now.
func (c *Controller) Preview(now time.Time, retry bool) float64 {
	fraction := c.ShedFraction(now)
	if fraction < minFraction {
		return 0
	}
	if retry {
		fraction *= retryFactor
	}
	return fraction
}

// EvidenceAt returns the time of the last evidence, zero if there was none.
func (c *Controller) EvidenceAt() time.Time { return c.updatedAt }

// Admit reports whether to serve a search. The draw is a random number from [0, 1).
func (c *Controller) Admit(now time.Time, retry bool, draw float64) bool {
	return draw >= c.Preview(now, retry)
}
