// Package budget bounds the extra load that hedges and retries put on upstreams.
package budget

import (
	"math"
	"time"
)

// Shares of the sub-requests that may be sent in addition, and the tokens that an idle period can save up.
const (
	HedgeShare = 0.05
	RetryShare = 0.10
	HedgeBurst = 10
	RetryBurst = 20
)

// Bucket is a token bucket that is filled by traffic instead of time, so that the extra load stays in proportion to the
// load itself. Over any period it grants at most burst + share × earned tokens.
type Bucket struct {
	share  float64
	burst  float64
	tokens float64
}

// NewBucket returns a full bucket.
func NewBucket(share, burst float64) *Bucket {
	return &Bucket{share: share, burst: burst, tokens: burst}
}

// Deposit credits one sub-request that was sent as a first attempt.
func (b *Bucket) Deposit() {
	b.tokens = math.Min(b.burst, b.tokens+b.share)
}

// Add adds tokens that are due to time instead of traffic; a negative number takes some away.
func (b *Bucket) Add(tokens float64) { b.tokens = math.Max(0, math.Min(b.burst, b.tokens+tokens)) }

// SetBurst changes the number of tokens that can be saved up.
func (b *Bucket) SetBurst(burst float64) {
	b.burst = burst
	b.tokens = math.Min(b.tokens, burst)
}

// Take spends one token if there is one.
func (b *Bucket) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Budget holds the budgets of one entry VM.
type Budget struct {
	hedges  *Bucket
	retries *Bucket
	trend   Trend
}

// New returns the budgets with the shares of the design.
func New() *Budget {
	return &Budget{hedges: NewBucket(HedgeShare, HedgeBurst), retries: NewBucket(RetryShare, RetryBurst)}
}

// Sent credits a first attempt.
func (b *Budget) Sent() {
	b.hedges.Deposit()
	b.retries.Deposit()
}

// ObserveQueue records the queue length that came with a result.
func (b *Budget) ObserveQueue(now time.Time, length int) { b.trend.Observe(now, length) }

// AllowHedge grants a hedge to an upstream with an idle slot. A hedge to a busy upstream would only lengthen its queue.
func (b *Budget) AllowHedge(idle bool) bool { return idle && b.hedges.Take() }

// AboveHedgeReserve reports whether at least half of the hedge tokens are left. The other half is kept for requests that are far
// slower than usual: hedges at the p95 alone spend all that is earned while nothing is wrong.
func (b *Budget) AboveHedgeReserve() bool { return b.hedges.tokens >= b.hedges.burst/2 }

// AllowRetry grants a retry unless queues are growing.
func (b *Budget) AllowRetry() bool { return !b.trend.Growing() && b.retries.Take() }

const (
	fastWindow = 200 * time.Millisecond
	slowWindow = 2 * time.Second
	// growthMargin is the queue length by which the fast mean must exceed the slow one; it hides the noise of short
	// queues.
	growthMargin = 1.0
)

// Trend tells whether queues grow, by comparing a fast with a slow decaying mean of their length.
type Trend struct {
	last time.Time
	fast float64
	slow float64
}

// Observe records a queue length.
func (t *Trend) Observe(now time.Time, length int) {
	elapsed := now.Sub(t.last)
	t.last = now
	t.fast = decay(t.fast, float64(length), elapsed, fastWindow)
	t.slow = decay(t.slow, float64(length), elapsed, slowWindow)
}

// Growing reports whether queues have become longer lately.
func (t *Trend) Growing() bool { return t.fast > t.slow+growthMargin }

func decay(mean, value float64, elapsed, window time.Duration) float64 {
	keep := math.Exp(-max(elapsed, 0).Seconds() / window.Seconds())
	return keep*mean + (1-keep)*value
}
