package balance

import (
	"math"
	"time"
)

const (
	histogramFloor   = 50 * time.Microsecond
	histogramBase    = 1.1
	histogramBuckets = 150
	// histogramHalveAt is the number of observations at which all counts are halved, so that old ones lose weight.
	histogramHalveAt = 2_000
)

// histogram is a histogram with buckets of 10% relative width in which recent observations weigh more.
type histogram struct {
	counts [histogramBuckets]float32
	total  float32
}

func (h *histogram) add(value time.Duration) {
	h.counts[bucketIndex(value)]++
	h.total++
	if h.total < histogramHalveAt {
		return
	}
	for i := range h.counts {
		h.counts[i] /= 2
	}
	h.total /= 2
}

func bucketIndex(value time.Duration) int {
	if value <= histogramFloor {
		return 0
	}
	index := int(math.Ceil(math.Log(float64(value)/float64(histogramFloor)) / math.Log(histogramBase)))
	return min(index, histogramBuckets-1)
}

// quantile returns the upper bound of the bucket that contains the quantile, or zero without observations.
func (h *histogram) quantile(q float64) time.Duration {
	rank := float32(q) * h.total
	for i, count := range h.counts {
		rank -= count
		if rank <= 0 && count > 0 {
			return time.Duration(float64(histogramFloor) * math.Pow(histogramBase, float64(i)))
		}
	}
	return 0
}
