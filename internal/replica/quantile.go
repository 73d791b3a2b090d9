package replica

import "time"

// quantileStep is the relative change of an estimate for one sample.
const quantileStep = 0.05

// Quantile estimates a quantile of answer times from a stream of samples in constant memory. It follows a shift of the
// distribution within some tens of samples.
type Quantile struct {
	// Rank is the part of the samples that lies below the estimate.
	Rank  float64
	value float64
}

// Add records a sample.
func (q *Quantile) Add(sample time.Duration) {
	x := float64(sample)
	switch {
	case q.value == 0:
		q.value = x
	case x > q.value:
		q.value += q.value * quantileStep * q.Rank
	default:
		q.value -= q.value * quantileStep * (1 - q.Rank)
	}
}

// Value returns the estimate, 0 without samples.
func (q *Quantile) Value() time.Duration { return time.Duration(q.value) }
