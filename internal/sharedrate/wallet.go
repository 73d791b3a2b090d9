package sharedrate

import (
	"math"
	"time"
)

const (
	// CreditLife is how long a credit may be spent, counted from the start of the call that obtained it.
	CreditLife = time.Second
	// MaxExtra is the highest number of credits that a VM obtains in advance with one call.
	MaxExtra = 64
	// demandSpan is the time constant of the demand estimate.
	demandSpan = time.Second
	// demandMargin is the multiple of the estimated demand that is asked for. Credits that run out within their life cost
	// another call, while unused ones are returned.
	demandMargin = 1.5
	// minDemand is the number of requests in a demandSpan below which no credit is obtained in advance.
	minDemand = 2.0
	// minSpread is the least range from which the retry times of requests that were denied without a call are drawn.
	minSpread = 200 * time.Millisecond
)

// Wallet holds the credits of one VM for one team. The zero value is an empty wallet.
type Wallet struct {
	credits int
	// until is the time at which the credits end.
	until time.Time
	// demand is the number of requests in the last demandSpan, exponentially weighted.
	demand   float64
	demandAt time.Time
	// Until quietUntil, requests are denied without a call. Their retry times are drawn between the two places.
	quietUntil           time.Time
	firstPlace, endPlace time.Time
	// refunds is the number of spent credits that are given back, and refundsUntil the time until which the first of them may be.
	refunds      int
	refundsUntil time.Time
}

// Arrived records a request of the team.
func (w *Wallet) Arrived(now time.Time) {
	w.demand = w.demandNow(now) + 1
	w.demandAt = now
}

func (w *Wallet) demandNow(now time.Time) float64 {
	return w.demand * math.Exp(-max(0, now.Sub(w.demandAt).Seconds())/demandSpan.Seconds())
}

// Take spends a credit if there is one.
func (w *Wallet) Take(now time.Time) bool {
	if w.credits == 0 || !now.Before(w.until) {
		return false
	}
	w.credits--
	return true
}

// Denied returns the time after which to try again if requests are denied now without asking the holder.
func (w *Wallet) Denied(now time.Time, draw float64) (retryAfter time.Duration, denied bool) {
	if !now.Before(w.quietUntil) {
		return 0, false
	}
	first := max(w.firstPlace.Sub(now), w.quietUntil.Sub(now))
	spread := max(w.endPlace.Sub(now)-first, minSpread)
	return first + time.Duration(draw*float64(spread)), true
}

// Ask fills in what the wallet asks for and returns. The wallet is empty afterwards.
func (w *Wallet) Ask(now time.Time, ask *Ask) {
	ask.Extra, ask.Unused, ask.Refunded = 0, w.credits, 0
	if demand := w.demandNow(now) - 1; demand >= minDemand {
		ask.Extra = min(MaxExtra, int(demandMargin*demand))
	}
	if now.Before(w.refundsUntil) {
		ask.Refunded = w.refunds
	}
	w.credits, w.refunds = 0, 0
}

// Answered records the answer to a call that began at start, and returns how many of the waiting requests may be sent.
func (w *Wallet) Answered(start, now time.Time, waiting int, answer Answer) (granted int) {
	granted = min(waiting, answer.Granted)
	w.credits, w.until = answer.Granted-granted, start.Add(CreditLife)
	if !now.Before(w.until) {
		// The answer took longer than credits live.
		w.credits = 0
		return 0
	}
	if granted < waiting {
		w.quietUntil = now.Add(answer.Quiet)
		w.firstPlace, w.endPlace = now.Add(answer.RetryAfter), now.Add(answer.QueueEnd)
	}
	return granted
}

// Refund gives back the credit of a request that was counted at the given time and not sent. It returns false if that is too
// long ago.
func (w *Wallet) Refund(now, counted time.Time, life time.Duration) bool {
	until := counted.Add(life)
	if !now.Before(until) {
		return false
	}
	if w.refunds == 0 || until.Before(w.refundsUntil) {
		w.refundsUntil = until
	}
	w.refunds++
	return true
}

// HasRefunds reports whether credits wait to be given back.
func (w *Wallet) HasRefunds() bool { return w.refunds > 0 }

// LastUsed returns the time of the last request.
func (w *Wallet) LastUsed() time.Time { return w.demandAt }
