package relay

import (
	"math"
	"time"
)

const (
	// busyOverhead is the time that a relay adds to its attempts from which it counts as short of processor time. A round trip
	// between failure domains and the work of a batch on a fraction of a core take 3 to 6 ms.
	busyOverhead = 10 * time.Millisecond
	// overheadWeight is the weight of one report in the moving average, and overheadDecay the time constant with which the average
	// is forgotten, so that a relay that is avoided is tried again.
	overheadWeight = 0.3
	overheadDecay  = time.Second
)

// overhead is the moving average of the time that a relay adds to the attempts of a batch.
type overhead struct {
	mean float64
	at   time.Time
}

func (o *overhead) record(now time.Time, sample time.Duration) {
	o.mean = o.value(now)*(1-overheadWeight) + float64(sample)*overheadWeight
	o.at = now
}

func (o *overhead) value(now time.Time) float64 {
	return o.mean * math.Exp(-max(0, now.Sub(o.at).Seconds())/overheadDecay.Seconds())
}

// overhead returns the part of the time until the first report of a batch that the relay added to the attempts. The relay holds
// the report back until Quiet unless all attempts have ended before.
func (r *BatchReport) overhead(took, quiet time.Duration) time.Duration {
	var attempts time.Duration
	for _, ended := range r.Ended {
		attempts = max(attempts, ended.Took)
	}
	if r.Settled {
		attempts = max(attempts, quiet)
	}
	return max(0, took-attempts)
}

func (l *Link) recordOverhead(now time.Time, sample time.Duration) {
	if l.observeOverhead != nil {
		l.observeOverhead(sample)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.overhead.record(now, sample)
}

// isBusy reports whether the relay has lately been short of processor time.
func (l *Link) isBusy(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.overhead.value(now) > float64(busyOverhead)
}
