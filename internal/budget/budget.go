// Package budget limits the extra load that hedges and retries put on upstreams.
package budget

import (
	"math"
	"time"
)

// The hedges and retries per first attempt, and the number of tokens that can accumulate in each bucket.
const (
	HedgeShare = 0.05
	RetryShare = 0.10
	HedgeBurst = 10
	RetryBurst = 20
)

// Bucket is a token bucket that is refilled by traffic instead of time, so that the extra load stays proportional to
// the load itself. Over any period it grants at most burst + share × deposits tokens, apart from those of Add.
type Bucket struct {
	// share is the number of tokens per deposit.
	share float64
	// burst is the capacity of the bucket.
	burst  float64
	tokens float64
}

// NewBucket returns a full bucket.
func NewBucket(share, burst float64) *Bucket {
	return &Bucket{share: share, burst: burst, tokens: burst}
}

// Deposit adds the share of a token that a first attempt earns.
func (b *Bucket) Deposit() {
	b.tokens = math.Min(b.burst, b.tokens+b.share)
}

// Add adds tokens independently of traffic; a negative number removes tokens.
func (b *Bucket) Add(tokens float64) { b.tokens = math.Max(0, math.Min(b.burst, b.tokens+tokens)) }

// SetBurst changes the number of tokens that the bucket can hold.
func (b *Bucket) SetBurst(burst float64) {
	b.burst = burst
	b.tokens = math.Min(b.tokens, burst)
}

// Take removes one token and reports whether there was one.
func (b *Bucket) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// TakeShare is Take for a bucket that is one of many for the same budget and holds less than one token most of the
// time: with a part of a token it takes that part and succeeds with the same probability. The draw is a random number
// from [0, 1). All buckets together grant as many tokens as they take on average, so that a budget that is divided among
// many buckets is neither left unused nor exceeded by one token for each bucket.
func (b *Bucket) TakeShare(draw float64) bool {
	granted := draw < b.tokens
	b.tokens = math.Max(0, b.tokens-1)
	return granted
}

// Budget holds the hedge and the retry budget of one entry VM. It is not safe for concurrent use.
type Budget struct {
	hedges     *Bucket
	retries    *Bucket
	queueTrend Trend
}

// New returns a budget with full buckets of the default shares and bursts.
func New() *Budget {
	return &Budget{hedges: NewBucket(HedgeShare, HedgeBurst), retries: NewBucket(RetryShare, RetryBurst)}
}

// Sent records a first attempt, which earns a share of a hedge and of a retry.
func (b *Budget) Sent() {
	b.hedges.Deposit()
	b.retries.Deposit()
}

// ObserveQueue records the queue length that an owner returned with a result.
func (b *Budget) ObserveQueue(now time.Time, length int) { b.queueTrend.Observe(now, length) }

// AllowHedge spends a token of the hedge budget if an upstream is idle, and reports whether the hedge may be sent. A
// hedge to a busy upstream would only lengthen its queue.
func (b *Budget) AllowHedge(idle bool) bool { return idle && b.hedges.Take() }

// AboveHedgeReserve reports whether at least half of the hedge tokens are left. The other half is reserved for requests
// that are far slower than usual: hedges at the p95 alone spend all that first attempts earn while nothing is wrong.
func (b *Budget) AboveHedgeReserve() bool { return b.hedges.tokens >= b.hedges.burst/2 }

// AllowRetry spends a token of the retry budget unless queues are growing, and reports whether the retry may be sent.
func (b *Budget) AllowRetry() bool { return !b.queueTrend.Growing() && b.retries.Take() }

const (
	// fastWindow and slowWindow are the time constants of the two averages of a Trend.
	fastWindow = 200 * time.Millisecond
	slowWindow = 2 * time.Second
	// growthMargin is the queue length by which the fast average must exceed the slow one, so that the noise of short
	// queues is ignored.
	growthMargin = 1.0
)

// Trend detects growing queues by comparing a fast and a slow exponential moving average of their length.
type Trend struct {
	observedAt time.Time
	fast       float64
	slow       float64
}

// Observe records a queue length.
func (t *Trend) Observe(now time.Time, length int) {
	elapsed := now.Sub(t.observedAt)
	t.observedAt = now
	t.fast = movingAverage(t.fast, float64(length), elapsed, fastWindow)
	t.slow = movingAverage(t.slow, float64(length), elapsed, slowWindow)
}

// Growing reports whether queues have become longer recently.
func (t *Trend) Growing() bool { return t.fast > t.slow+growthMargin }

func movingAverage(average, value float64, elapsed, window time.Duration) float64 {
	weight := math.Exp(-max(elapsed, 0).Seconds() / window.Seconds())
	return weight*average + (1-weight)*value
}
