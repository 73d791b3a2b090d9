package router

import "time"

const (
	// limitTolerance is how much the time limits of first attempts vary, because callers start their timer before they
	// have a connection.
	limitTolerance = 40 * time.Millisecond
	// maxLimitVotes bounds how many deviating limits in a row replace the estimate.
	maxLimitVotes = 12
)

// limitEstimator estimates the time limit that callers of a route send with their first attempt. A retry sends the rest
// of it, which shows how long its caller has waited already. The limit is found by majority vote, since tests and
// callers with an earlier configuration send other limits.
type limitEstimator struct {
	limit time.Duration
	votes int
}

func (e *limitEstimator) observe(limit time.Duration) {
	switch {
	case limit >= e.limit-limitTolerance && limit <= e.limit+limitTolerance:
		e.limit = max(e.limit, limit)
		e.votes = min(e.votes+1, maxLimitVotes)
	case e.votes > 0:
		e.votes--
	default:
		e.limit = limit
		e.votes = 1
	}
}

// waited returns how long the caller of a request with this limit has waited already, for a connection or for earlier
// attempts.
func (e *limitEstimator) waited(limit time.Duration) time.Duration { return max(0, e.limit-limit) }

const (
	// roundTripWeight is the weight of one sample in the exponentially weighted moving average of the round trip.
	roundTripWeight = 0.05
	// defaultRoundTrip is assumed before the first sample: 3 ms each way and some time to accept the connection.
	defaultRoundTrip = 8 * time.Millisecond
	// maxRoundTrip bounds the effect of callers whose connections are slow for other reasons.
	maxRoundTrip = 30 * time.Millisecond
)

// roundTrip estimates the round-trip time to callers. Callers start their timer before they connect, so the first
// request on a connection carries a time limit that is shorter by one round trip.
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
	r.mean += (float64(waited) - r.mean) * roundTripWeight
}

func (r *roundTrip) estimate() time.Duration {
	if !r.observed {
		return defaultRoundTrip
	}
	return min(time.Duration(r.mean), maxRoundTrip)
}
