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

const service = 10 * time.Millisecond

var epoch = time.Unix(1_000, 0)

func request(caller string, in time.Duration) *admission.Request[int] {
	return &admission.Request[int]{Caller: caller, Deadline: epoch.Add(in)}
}

// learned returns a queue that has observed the service time.
func learned(slots int, weight admission.Weight) *admission.Queue[int] {
	q := admission.NewQueue[int](slots, weight)
	for range 100 {
		_, _ = q.Push(epoch, request("x", time.Hour))
		q.Next(epoch)
		q.Done(epoch, service)
	}
	return q
}

var _ = Describe("Queue", func() {
	It("serves backlogged callers by weight, whatever they push, so that none starves another", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			weights := map[string]float64{}
			q := learned(1, func(c string) float64 { return max(weights[c], 1) })
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
			// While all callers are backlogged, each one's served count is within one turn of its share.
			served := map[string]int{}
			for n := 1; n <= 12; n++ {
				start, _ := q.Next(epoch)
				q.Done(epoch, service)
				served[start.Caller]++
				for name, weight := range weights {
					if lag := float64(n)*weight/total - float64(served[name]); lag > weight+1 {
						t.Fatalf("%s with weight %f got %d of %d", name, weight, served[name], n)
					}
				}
			}
		})
	})

	It("never starts a request after its deadline, and starts those of one caller by deadline", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			q := learned(2, admission.EqualWeight)
			now, accepted, ended := epoch, 0, 0
			last := time.Time{}
			for _, ms := range rapid.SliceOfN(rapid.IntRange(1, 200), 1, 40).Draw(t, "deadlines") {
				if evicted, err := q.Push(now, request("a", time.Duration(ms)*time.Millisecond)); err == nil && evicted == nil {
					accepted++
				}
			}
			for q.Backlog() > 0 {
				start, dropped := q.Next(now)
				ended += len(dropped)
				if start != nil {
					ended++
					if !now.Before(start.Deadline) || start.Deadline.Before(last) {
						t.Fatalf("started at %v with deadline %v after %v", now, start.Deadline, last)
					}
					last = start.Deadline
				}
				if q.Running() > 2 {
					t.Fatalf("%d requests in 2 slots", q.Running())
				}
				if q.Running() == 2 || start == nil {
					for q.Running() > 0 {
						q.Done(now, service)
					}
					now = now.Add(service)
				}
			}
			if ended != accepted {
				t.Fatalf("accepted %d, ended %d", accepted, ended)
			}
		})
	})

	It("refuses a request before it waits in vain, but lets one through while nothing runs", func() {
		q := learned(1, admission.EqualWeight)
		_, err := q.Push(epoch, request("a", time.Millisecond))
		Expect(err).NotTo(HaveOccurred())
		q.Next(epoch)
		_, err = q.Push(epoch, request("a", time.Millisecond))
		Expect(fault.Is(err, fault.NotRun)).To(BeTrue())
	})

	It("evicts the caller above its share from a full queue, and refuses it with a code of its own", func() {
		q := learned(1, admission.EqualWeight)
		for range admission.MaxQueuedPerSlot {
			_, err := q.Push(epoch, request("greedy", time.Hour))
			Expect(err).NotTo(HaveOccurred())
		}
		evicted, err := q.Push(epoch, request("modest", time.Hour))
		Expect(err).NotTo(HaveOccurred())
		Expect(evicted.Caller).To(Equal("greedy"))
		_, err = q.Push(epoch, request("greedy", time.Hour))
		Expect(fault.Is(err, fault.OverShare)).To(BeTrue())
		Expect(q.Remove(evicted)).To(BeFalse(), "an evicted request is removed once")
	})
})

var _ = Describe("Gate", func() {
	It("refuses by estimated wait as not run, and a caller above its share as over share", func() {
		g := admission.NewGate(admission.EqualWeight)
		busy := admission.Estimate{Wait: 60 * time.Millisecond, Service: service}
		for range 5 {
			Expect(g.Admit("greedy", admission.Estimate{}, 100*time.Millisecond)).To(Succeed())
		}
		Expect(g.Admit("modest", busy, 100*time.Millisecond)).To(Succeed())
		Expect(fault.Is(g.Admit("greedy", busy, 100*time.Millisecond), fault.OverShare)).To(BeTrue())
		late := admission.Estimate{Wait: time.Second, Service: service}
		Expect(fault.Is(g.Admit("modest", late, 100*time.Millisecond), fault.NotRun)).To(BeTrue())
		for range 5 {
			g.Done("greedy")
		}
		g.Done("modest")
		Expect(g.Admit("modest", late, 100*time.Millisecond)).To(Succeed(), "an idle gate admits, to correct the estimate")
	})
})
