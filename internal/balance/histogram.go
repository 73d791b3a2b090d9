package balance

import (
	"math"
	"time"
)

const (
	histogramFloor   = 50 * time.Microsecond
	histogramBase    = 1.1
	histogramBuckets = 150
	// histogramHalve is the number of observations after which all counts are halved, so that old ones fade.
	histogramHalve = 2_000
)

// histogram is a decaying histogram with buckets of 10% relative width.
type histogram struct {
	counts [histogramBuckets]float32
	total  float32
}

func (h *histogram) add(value time.Duration) {
	h.counts[bucketOf(value)]++
	h.total++
	if h.total < histogramHalve {
		return
	}
	for i := range h.counts {
		h.counts[i] /= 2
	}
	h.total /= 2
}

func bucketOf(value time.Duration) int {
	if value <= histogramFloor {
		return 0
	}
	index := int(math.Ceil(math.Log(float64(value)/float64(histogramFloor)) / math.Log(histogramBase)))
	return min(index, histogramBuckets-1)
}

// quantile returns the upper bound of the bucket that holds the quantile.
func (h *histogram) quantile(q float64) time.Duration {
	remaining := float32(q) * h.total
	for i, count := range h.counts {
		remaining -= count
		if remaining <= 0 && count > 0 {
			return time.Duration(float64(histogramFloor) * math.Pow(histogramBase, float64(i)))
		}
	}
	return 0
}
