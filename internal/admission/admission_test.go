package admission_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/wisteriamux/wisteriamux/internal/admission"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	_ "github.com/wisteriamux/wisteriamux/internal/rapidseed"
)

func TestAdmission(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Admission")
}

const serviceTime = 10 * time.Millisecond

var epoch = time.Unix(1_000, 0)

func request(caller string, timeout time.Duration) *admission.Request[int] {
	return &admission.Request[int]{Caller: caller, Deadline: epoch.Add(timeout)}
}

// newQueue returns an empty queue that has already observed the service time.
func newQueue(slots int, weight admission.Weight) *admission.Queue[int] {
	q := admission.NewQueue[int](slots, weight)
	for range 100 {
		_, _ = q.Push(epoch, request("x", time.Hour))
		q.Next(epoch)
		q.Done(epoch, serviceTime)
	}
	return q
}

var _ = Describe("Queue", func() {
	It("serves backlogged callers by weight, however many requests they push, so that no caller starves another", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			weights := map[string]float64{}
			q := newQueue(1, func(c string) float64 { return max(weights[c], 1) })
			total := 0.0
			for i := range rapid.IntRange(2, 4).Draw(t, "callers") {
				name := fmt.Sprintf("c%d", i)
				weights[name] = float64(rapid.IntRange(1, 3).Draw(t, "weight"))
				total += weights[name]
				for range rapid.IntRange(12, 15).Draw(t, "pushed") {
					if _, err := q.Push(epoch, request(name, time.Hour)); err != nil {
						t.Fatalf("push: %v", err)
					}
				}
			}
			// While all callers are backlogged, each of them lags behind its share by at most its weight plus one request.
			served := map[string]int{}
			for n := 1; n <= 12; n++ {
				started, _ := q.Next(epoch)
				q.Done(epoch, serviceTime)
				served[started.Caller]++
				for name, weight := range weights {
					if lag := float64(n)*weight/total - float64(served[name]); lag > weight+1 {
						t.Fatalf("caller %s with weight %f was served %d of %d times", name, weight, served[name], n)
					}
				}
			}
		})
	})

	It("never starts a request after its deadline, and starts the requests of one caller by earliest deadline first", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			q := newQueue(2, admission.EqualWeight)
			now, accepted, dequeued := epoch, 0, 0
			lastDeadline := time.Time{}
			for _, ms := range rapid.SliceOfN(rapid.IntRange(1, 200), 1, 40).Draw(t, "deadlines") {
				if evicted, err := q.Push(now, request("a", time.Duration(ms)*time.Millisecond)); err == nil && evicted == nil {
					accepted++
				}
			}
			for q.Backlog() > 0 {
				started, dropped := q.Next(now)
				dequeued += len(dropped)
				if started != nil {
					dequeued++
					if !now.Before(started.Deadline) || started.Deadline.Before(lastDeadline) {
						t.Fatalf("started at %v a request with deadline %v, after one with deadline %v", now, started.Deadline, lastDeadline)
					}
					lastDeadline = started.Deadline
				}
				if q.Running() > 2 {
					t.Fatalf("%d requests run in 2 slots", q.Running())
				}
				if q.Running() == 2 || started == nil {
					for q.Running() > 0 {
						q.Done(now, serviceTime)
					}
					now = now.Add(serviceTime)
				}
			}
			if dequeued != accepted {
				t.Fatalf("accepted %d requests, but %d were started or dropped", accepted, dequeued)
			}
		})
	})

	It("refuses a request that cannot meet its deadline, but accepts one while nothing runs", func() {
		q := newQueue(1, admission.EqualWeight)
		_, err := q.Push(epoch, request("a", time.Millisecond))
		Expect(err).NotTo(HaveOccurred())
		q.Next(epoch)
		_, err = q.Push(epoch, request("a", time.Millisecond))
		Expect(fault.Is(err, fault.NotRun)).To(BeTrue())
	})

	It("evicts a request of the caller above its fair share from a full queue, and refuses its next one with OverShare", func() {
		q := newQueue(1, admission.EqualWeight)
		for range admission.MaxQueuedPerSlot {
			_, err := q.Push(epoch, request("greedy", time.Hour))
			Expect(err).NotTo(HaveOccurred())
		}
		evicted, err := q.Push(epoch, request("modest", time.Hour))
		Expect(err).NotTo(HaveOccurred())
		Expect(evicted.Caller).To(Equal("greedy"))
		_, err = q.Push(epoch, request("greedy", time.Hour))
		Expect(fault.Is(err, fault.OverShare)).To(BeTrue())
		Expect(q.Remove(evicted)).To(BeFalse(), "an evicted request is not queued any more")
	})
})

var _ = Describe("Gate", func() {
	It("refuses a query that would miss its deadline with NotRun, and a caller above its fair share with OverShare", func() {
		g := admission.NewGate(admission.EqualWeight)
		busy := admission.Estimate{Wait: 60 * time.Millisecond, Service: serviceTime}
		for range 5 {
			Expect(g.Admit("greedy", admission.Estimate{}, 100*time.Millisecond)).To(Succeed())
		}
		Expect(g.Admit("modest", busy, 100*time.Millisecond)).To(Succeed())
		Expect(fault.Is(g.Admit("greedy", busy, 100*time.Millisecond), fault.OverShare)).To(BeTrue())
		late := admission.Estimate{Wait: time.Second, Service: serviceTime}
		Expect(fault.Is(g.Admit("modest", late, 100*time.Millisecond), fault.NotRun)).To(BeTrue())
		for range 5 {
			g.Done("greedy")
		}
		g.Done("modest")
		Expect(g.Admit("modest", late, 100*time.Millisecond)).To(Succeed(), "a query is admitted while none is in flight, to correct the estimate")
	})
})
