package overload_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/overload"
)

func TestOverload(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Overload")
}

const (
	capacity     = 250.0
	softDeadline = 110 * time.Millisecond
	serviceTime  = 50 * time.Millisecond
	// retryDelay is the delay after which a refused caller retries once.
	retryDelay = 600 * time.Millisecond
)

type arrival struct {
	at    time.Duration
	retry bool
}

type arrivals []arrival

func (a arrivals) Len() int           { return len(a) }
func (a arrivals) Less(i, j int) bool { return a[i].at < a[j].at }
func (a arrivals) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *arrivals) Push(x any)        { *a = append(*a, x.(arrival)) }
func (a *arrivals) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// outcome counts the searches that were answered in time at the first attempt or at the retry, those that were late,
// and those that were refused twice.
type outcome struct{ onFirst, onRetry, late, refused int }

// score is the mean value of a search, where a response in time counts 1, one to a retry 0.55 and a late one 0.1.
func (o outcome) score() float64 {
	total := float64(o.onFirst + o.onRetry + o.late + o.refused)
	return (float64(o.onFirst) + 0.55*float64(o.onRetry) + 0.1*float64(o.late)) / total
}

// simulate sends searches at the rate, in searches per second, for 6 s into a FIFO queue that serves them at the
// capacity. Without a controller nothing is refused.
func simulate(rate float64, c *overload.Controller) outcome {
	random := rand.New(rand.NewPCG(1, 1))
	start := time.Unix(1000, 0)
	var queue arrivals
	for at := time.Duration(0); at < 6*time.Second; at += time.Duration(random.ExpFloat64() / rate * float64(time.Second)) {
		queue = append(queue, arrival{at: at})
	}
	heap.Init(&queue)
	var o outcome
	var freeAt time.Duration
	for queue.Len() > 0 {
		a := heap.Pop(&queue).(arrival)
		now := start.Add(a.at)
		if c != nil && !c.Admit(now, a.retry, random.Float64()) {
			if a.retry {
				o.refused++
			} else {
				heap.Push(&queue, arrival{at: a.at + retryDelay, retry: true})
			}
			continue
		}
		freeAt = max(freeAt, a.at) + time.Duration(float64(time.Second)/capacity)
		latency := freeAt - a.at + serviceTime
		switch {
		case latency > softDeadline:
			o.late++
			if c != nil {
				// A search is known to be late once it misses its soft deadline.
				c.RecordLate(now.Add(softDeadline), latency, softDeadline)
			}
		case a.retry:
			o.onRetry++
		default:
			o.onFirst++
		}
	}
	return o
}

var _ = Describe("Controller", func() {
	It("at least doubles the score in a spike of 1.6 times the capacity, in which nearly all searches would be late", func() {
		unprotected, shedding := simulate(1.6*capacity, nil), simulate(1.6*capacity, &overload.Controller{})
		Expect(unprotected.score()).To(BeNumerically("<", 0.2))
		Expect(shedding.score()).To(BeNumerically(">", 2*unprotected.score()))
	})

	It("refuses nothing at a load below the capacity", func() {
		o := simulate(0.7*capacity, &overload.Controller{})
		Expect(o.refused).To(BeZero())
		Expect(o.onRetry).To(BeZero())
	})

	It("refuses nothing when searches are late although shards respond fast, since shedding does not help a lost shard", func() {
		c := &overload.Controller{}
		for i := range 100 {
			c.RecordLate(time.Unix(1000, int64(i)), softDeadline/10, softDeadline)
		}
		Expect(c.ShedFraction(time.Unix(1000, 100))).To(BeZero())
	})

	It("stops refusing soon after the spike", func() {
		c := &overload.Controller{}
		at := time.Unix(1000, 0)
		for range 100 {
			c.RecordLate(at, softDeadline, softDeadline)
		}
		Expect(c.Admit(at, false, 0.5)).To(BeFalse())
		Expect(c.Admit(at.Add(4*time.Second), false, 0.05)).To(BeTrue())
	})

	// shedHeavily returns a controller whose shed fraction is close to its maximum.
	shedHeavily := func(at time.Time) *overload.Controller {
		c := &overload.Controller{}
		for range 100 {
			c.RecordLate(at, softDeadline, softDeadline)
		}
		return c
	}

	It("stops refusing after a few searches in time while queues are short, although lateness was high a moment ago", func() {
		at := time.Unix(1000, 0)
		c := shedHeavily(at)
		// All of it happens within 0.1 s: 25 searches at the capacity.
		for i := range 25 {
			c.RecordInTime(at.Add(time.Duration(i)*time.Duration(float64(time.Second)/capacity)), softDeadline/5, softDeadline)
		}
		Expect(c.Admit(at.Add(100*time.Millisecond), false, 0)).To(BeTrue())
	})

	It("goes on refusing while searches are in time only because others are refused", func() {
		at := time.Unix(1000, 0)
		c := shedHeavily(at)
		before := c.ShedFraction(at)
		for range 25 {
			c.RecordInTime(at, softDeadline/2, softDeadline)
		}
		Expect(c.ShedFraction(at)).To(Equal(before))
	})

	It("refuses retries more often, so that refused load does not return at once", func() {
		c := &overload.Controller{}
		at := time.Unix(1000, 0)
		for range 5 {
			c.RecordLate(at, softDeadline, softDeadline)
		}
		fraction := c.ShedFraction(at)
		Expect(c.Admit(at, false, fraction+0.01)).To(BeTrue())
		Expect(c.Admit(at, true, fraction+0.01)).To(BeFalse())
	})
})
