// Package sharedrate divides a request rate among many VMs. One VM, the holder, keeps the token bucket of a rate and issues
// credits to all VMs; every candidate for that role lends its part of the rate to one holder at a time, so that several holders
// together never issue more than the rate. The package performs no I/O; the time and the random draws are arguments. Times
// are readings of a clock that also advances while a VM is suspended.
package sharedrate

import "time"

// Bucket is a token bucket whose rate and capacity may differ from call to call.
type Bucket struct {
	tokens     float64
	refilledAt time.Time
}

// NewBucket returns a bucket that holds the tokens.
func NewBucket(now time.Time, tokens float64) Bucket {
	return Bucket{tokens: tokens, refilledAt: now}
}

// Refill adds the tokens of the time since the last refill, up to the capacity. Tokens beyond the capacity are dropped.
func (b *Bucket) Refill(now time.Time, perSecond, capacity float64) {
	elapsed := max(0, now.Sub(b.refilledAt).Seconds())
	b.tokens = max(0, min(capacity, b.tokens+perSecond*elapsed))
	if now.After(b.refilledAt) {
		b.refilledAt = now
	}
}

// Take removes one token if the bucket holds at least the needed number.
func (b *Bucket) Take(needed float64) bool {
	if b.tokens < needed {
		return false
	}
	b.tokens--
	return true
}

// TakeAll empties the bucket and returns what it held.
func (b *Bucket) TakeAll() float64 {
	tokens := b.tokens
	b.tokens = 0
	return tokens
}

// Tokens returns the number of tokens at the last refill.
func (b *Bucket) Tokens() float64 { return b.tokens }

// RefilledAt returns the time of the last refill.
func (b *Bucket) RefilledAt() time.Time { return b.refilledAt }

// add adds tokens up to the capacity.
func (b *Bucket) add(tokens, capacity float64) {
	b.tokens = max(b.tokens, min(capacity, b.tokens+tokens))
}

// takeWhole removes up to n whole tokens and returns how many.
func (b *Bucket) takeWhole(n int) int {
	taken := min(n, wholeTokens(b.tokens))
	b.tokens -= float64(taken)
	return taken
}

// wholeTokens returns the number of whole tokens. The tolerance allows for rounding errors of repeated refills.
func wholeTokens(tokens float64) int {
	const tolerance = 1e-9
	return int(max(0, tokens+tolerance))
}
