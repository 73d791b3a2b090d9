package replica

import "time"

// quantileStep is the largest relative change of the estimate per sample.
const quantileStep = 0.05

// Quantile estimates a quantile of latencies from a stream of samples in constant memory. It adapts to a shift of the
// distribution within some tens of samples.
type Quantile struct {
	// Rank is the quantile to estimate, between 0 and 1: the share of samples that lie below the estimate.
	Rank     float64
	estimate float64
	count    int
}

// Add records a sample.
func (q *Quantile) Add(sample time.Duration) {
	x := float64(sample)
	q.count++
	switch {
	case q.estimate == 0:
		q.estimate = x
	case x > q.estimate:
		q.estimate += q.estimate * quantileStep * q.Rank
	default:
		q.estimate -= q.estimate * quantileStep * (1 - q.Rank)
	}
}

// Count returns the number of samples.
func (q *Quantile) Count() int { return q.count }

// Value returns the estimate, or 0 before the first sample.
func (q *Quantile) Value() time.Duration { return time.Duration(q.estimate) }
