package router

import "time"

const (
	// limitTolerance is how much the time limits of first attempts differ, because callers count from before they have a
	// connection.
	limitTolerance = 40 * time.Millisecond
	// limitVotes bounds how many unusual limits in a row make another one usual.
	limitVotes = 12
)

// usualLimit finds the time limit that callers of a route name at their first attempt. Second attempts name what is
// left of it, and thereby tell how long the caller has waited. The limit of most requests wins, because tests and
// earlier configurations bring other limits.
type usualLimit struct {
	limit time.Duration
	votes int
}

func (u *usualLimit) observe(limit time.Duration) {
	switch {
	case limit >= u.limit-limitTolerance && limit <= u.limit+limitTolerance:
		u.limit = max(u.limit, limit)
		u.votes = min(u.votes+1, limitVotes)
	case u.votes > 0:
		u.votes--
	default:
		u.limit = limit
		u.votes = 1
	}
}

// waited returns how long the caller of a request with the limit has waited already, for a connection or for earlier
// attempts.
func (u *usualLimit) waited(limit time.Duration) time.Duration { return max(0, u.limit-limit) }

const (
	// roundTripShare is the weight of one observation in the decaying mean of the round trip.
	roundTripShare = 0.05
	// usualRoundTrip is assumed before the first observation: a link of 3 ms each way and some time to accept.
	usualRoundTrip = 8 * time.Millisecond
	// maxRoundTrip bounds the effect of callers whose connections take long for another reason.
	maxRoundTrip = 30 * time.Millisecond
)

// roundTrip estimates the round trip to callers. Callers count their time limit from before they connect, so that
// the first request on a connection names a limit that is short by one round trip.
type roundTrip struct {
	mean     float64
	observed bool
}

func (r *roundTrip) observe(waited time.Duration) {
	if waited <= 0 || waited > limitTolerance {
		return
	}
	if !r.observed {
		r.observed = true
		r.mean = float64(waited)
	}
	r.mean += (float64(waited) - r.mean) * roundTripShare
}

func (r *roundTrip) value() time.Duration {
	if !r.observed {
		return usualRoundTrip
	}
	return min(time.Duration(r.mean), maxRoundTrip)
}
