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
	capacity = 250.0
	goal     = 110 * time.Millisecond
	service  = 50 * time.Millisecond
	// comesBack is when a refused caller tries once more.
	comesBack = 600 * time.Millisecond
)

type arrival struct {
	at    time.Duration
	again bool
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

// outcome counts what callers got: an answer in time at the first or the second attempt, a late one, or none.
type outcome struct{ first, second, late, none int }

// worth is the share of the searches that were of use: a second attempt earns a bit more than half, a late answer a tenth.
func (o outcome) worth() float64 {
	all := float64(o.first + o.second + o.late + o.none)
	return (float64(o.first) + 0.55*float64(o.second) + 0.1*float64(o.late)) / all
}

// play sends searches at the rate for some seconds into a queue that serves them in order.
func play(rate float64, c *overload.Controller) outcome {
	random := rand.New(rand.NewPCG(1, 1))
	start := time.Unix(1000, 0)
	var queue arrivals
	for at := time.Duration(0); at < 6*time.Second; at += time.Duration(random.ExpFloat64() / rate * float64(time.Second)) {
		queue = append(queue, arrival{at: at})
	}
	heap.Init(&queue)
	var o outcome
	var free time.Duration
	for queue.Len() > 0 {
		a := heap.Pop(&queue).(arrival)
		now := start.Add(a.at)
		if c != nil && !c.Admit(now, a.again, random.Float64()) {
			if a.again {
				o.none++
			} else {
				heap.Push(&queue, arrival{at: a.at + comesBack, again: true})
			}
			continue
		}
		free = max(free, a.at) + time.Duration(float64(time.Second)/capacity)
		took := free - a.at + service
		switch {
		case took > goal:
			o.late++
			if c != nil {
				// The controller hears of a late search when it misses its goal.
				c.RecordLate(now.Add(goal), took, goal)
			}
		case a.again:
			o.second++
		default:
			o.first++
		}
	}
	return o
}

var _ = Describe("refusing under overload", func() {
	It("keeps most searches in time in a spike of 1.6 times the capacity, in which nearly all would be late", func() {
		without, with := play(1.6*capacity, nil), play(1.6*capacity, &overload.Controller{})
		Expect(without.worth()).To(BeNumerically("<", 0.2))
		Expect(with.worth()).To(BeNumerically(">", 2*without.worth()))
	})

	It("refuses nothing at a load that can be served", func() {
		o := play(0.7*capacity, &overload.Controller{})
		Expect(o.none).To(BeZero())
		Expect(o.second).To(BeZero())
	})

	It("refuses nothing when searches are late although shards answer fast, since refusals do not mend a lost shard", func() {
		c := &overload.Controller{}
		for i := range 100 {
			c.RecordLate(time.Unix(1000, int64(i)), goal/10, goal)
		}
		Expect(c.ShedFraction(time.Unix(1000, 100))).To(BeZero())
	})

	It("ends soon after the spike", func() {
		c := &overload.Controller{}
		at := time.Unix(1000, 0)
		for range 100 {
			c.RecordLate(at, goal, goal)
		}
		Expect(c.Admit(at, false, 0.5)).To(BeFalse())
		Expect(c.Admit(at.Add(4*time.Second), false, 0.05)).To(BeTrue())
	})

	It("refuses second attempts more often, so that refused load does not come back at once", func() {
		c := &overload.Controller{}
		at := time.Unix(1000, 0)
		for range 5 {
			c.RecordLate(at, goal, goal)
		}
		share := c.ShedFraction(at)
		Expect(c.Admit(at, false, share+0.01)).To(BeTrue())
		Expect(c.Admit(at, true, share+0.01)).To(BeFalse())
	})
})
