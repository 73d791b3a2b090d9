package sharedrate

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSharedrate(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Sharedrate")
}

const simEnd = 20 * time.Second

func constant(perSecond float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return perSecond }
}

// report prints the measured sum of a scenario in verbose runs, for the design note.
func report(name string, vms int, l Limit, w *simWorld, most int) {
	GinkgoWriter.Printf("%s: vms %d rate %g burst %g most %d exact %g allowed %g, share of allowed %.2f, calls per sent %.3f, denied %d, unavailable %d\n",
		name, vms, l.PerSecond, l.Burst, most, l.exact(), l.allowed(), float64(most)/l.allowed(), float64(w.calls)/float64(max(1, len(w.sent))), w.denied, w.unavailable)
}

// scenario is what happens to a fleet.
type scenario struct {
	name string
	// play schedules the events. The demand is a multiple of the limit, 2 if absent.
	play   func(w *simWorld, l Limit)
	demand func(now time.Duration) float64
}

// idleUntil is a demand that lets the bucket fill before it exceeds the limit tenfold.
func idleUntil(at time.Duration) func(time.Duration) float64 {
	return func(now time.Duration) float64 {
		if now < 2*time.Second || now >= at {
			return 10
		}
		return 0
	}
}

// between reports whether the time of the world lies in a span.
func (w *simWorld) between(from, to time.Duration) bool { return w.now >= from && w.now < to }

func half(vm int) int { return vm % 2 }

var scenarios = []scenario{
	{name: "one holder", play: func(*simWorld, Limit) {}},
	{name: "the holder is lost, and its successor", play: func(w *simWorld, _ Limit) {
		w.at(8*time.Second, func() { w.kill(0, 3*time.Second) })
		w.at(9*time.Second, func() { w.kill(1, 3*time.Second) })
	}},
	{name: "the holder is frozen and resumes", play: func(w *simWorld, _ Limit) {
		w.at(8*time.Second, func() { w.vms[0].frozenUntil = 11 * time.Second })
		w.at(14*time.Second, func() { w.vms[0].frozenUntil = 14*time.Second + 400*time.Millisecond })
	}},
	{name: "the holder is frozen and resumes with a full bucket", demand: idleUntil(11 * time.Second), play: func(w *simWorld, _ Limit) {
		w.at(5*time.Second, func() { w.vms[0].frozenUntil = 11*time.Second + 200*time.Millisecond })
	}},
	{name: "VMs that hold credits are frozen", play: func(w *simWorld, _ Limit) {
		w.at(8*time.Second, func() {
			for _, vm := range w.vms[simCandidates:] {
				vm.frozenUntil = 9 * time.Second
			}
		})
	}},
	{name: "the fleet is partitioned in two, one with the control group", play: partition(true, 15*time.Second)},
	{name: "the fleet is partitioned in two without the control group", play: partition(false, 15*time.Second)},
	{name: "the fleet is partitioned in two with full buckets", demand: idleUntil(12 * time.Second), play: partition(true, 14*time.Second)},
	{name: "the links between some VMs are lost", play: func(w *simWorld, _ Limit) {
		w.cut = func(a, b int) bool { return w.between(8*time.Second, 16*time.Second) && (a+b)%3 == 1 }
	}},
	{name: "the first two candidates cannot reach each other", play: func(w *simWorld, _ Limit) {
		w.cut = func(a, b int) bool {
			return w.between(8*time.Second, 16*time.Second) && (a == 0 && b%2 == 1 || b == 0 && a%2 == 1)
		}
	}},
	{name: "all VMs restart", play: func(w *simWorld, l Limit) {
		w.at(8*time.Second, func() {
			known := []int{}
			for _, vm := range w.vms {
				vm.down = true
				w.after(time.Second+time.Duration(w.random.Int64N(int64(time.Second))), func() {
					if vm.id < simCandidates {
						known = append(known, vm.id)
					}
					// The leader names the VMs that have watched so far, and the others up to 0.6 s later.
					vm.list = sorted(known)
					w.start(vm, l)
					w.after(600*time.Millisecond, func() { vm.list = sorted(known) })
					w.after(1200*time.Millisecond, func() { vm.list = w.candidates() })
				})
			}
		})
	}},
	{name: "candidates leave and join in quick succession", play: func(w *simWorld, _ Limit) {
		for n := range 30 {
			w.at(8*time.Second+time.Duration(n)*300*time.Millisecond, func() {
				id := w.random.IntN(4)
				if !w.vms[id].down {
					w.kill(id, 500*time.Millisecond)
				}
			})
		}
	}},
	{name: "candidates are replaced by others", play: func(w *simWorld, _ Limit) {
		for n := range 4 {
			w.at(6*time.Second+time.Duration(n)*2*time.Second, func() {
				w.kill(n, time.Hour)
				for _, vm := range w.vms {
					w.after(time.Duration(w.random.Int64N(int64(time.Second))), func() {
						vm.list = replaced(vm.list, n, simCandidates+n)
					})
				}
			})
		}
	}},
	{name: "calls arrive twice and replies are lost", play: func(w *simWorld, _ Limit) { w.duplicate, w.lose = 0.3, 0.02 }},
	{name: "all requests are refused for a while with nothing sent", play: func(w *simWorld, _ Limit) {
		w.refuse = func() bool {
			return w.between(6*time.Second, 10*time.Second) || w.between(16*time.Second, 16200*time.Millisecond)
		}
	}},
	{name: "the team is renamed", play: func(w *simWorld, l Limit) {
		for _, vm := range w.vms {
			at := 10*time.Second + time.Duration(w.random.Int64N(int64(600*time.Millisecond)))
			w.at(at, func() { vm.limit.Version++ })
		}
		w.team = func(vm *simVM) string { return fmt.Sprint("t", vm.limit.Version) }
	}},
}

func replaced(list []int, old, next int) []int {
	out := []int{}
	for _, id := range list {
		if id == old {
			id = next
		}
		out = append(out, id)
	}
	return sorted(out)
}

// partition cuts the VMs with odd numbers off the others. The lists of the VMs that reach the control group replace the
// candidates of the other side after some time.
func partition(control bool, end time.Duration) func(w *simWorld, l Limit) {
	return func(w *simWorld, _ Limit) {
		const begin = 6 * time.Second
		w.cut = func(a, b int) bool { return w.between(begin, end) && half(a) != half(b) }
		w.confirms = func(vm int) bool { return !w.between(begin, end) || (control && half(vm) == 0) }
		if !control {
			return
		}
		w.at(begin+5*time.Second, func() {
			for _, vm := range w.vms {
				if half(vm.id) == 0 {
					vm.list = nil
					for n := range simCandidates {
						vm.list = append(vm.list, 2*n)
					}
				}
			}
		})
		w.at(end+500*time.Millisecond, func() {
			for _, vm := range w.vms {
				vm.list = w.candidates()
			}
		})
	}
}

var _ = Describe("VMs that share the quota of a team", func() {
	// The sums for other limits were measured once and are in docs/design/shared-rates.md; these keep the run short.
	limits := map[int][]Limit{
		85:   {{PerSecond: 40, Burst: 20, Version: 1}},
		300:  {{PerSecond: 60, Burst: 60, Version: 1}},
		2800: {{PerSecond: 10, Burst: 5, Version: 1}},
	}
	for _, vms := range []int{85, 300, 2800} {
		for _, l := range limits[vms] {
			for _, s := range scenarios {
				It(fmt.Sprintf("send no more than allowed in any window: %s, %d VMs, %g requests/s", s.name, vms, l.PerSecond), func() {
					w := newWorld(1, vms, l)
					s.play(w, l)
					demand := s.demand
					if demand == nil {
						demand = constant(2)
					}
					w.run(simEnd, func(now time.Duration) float64 { return l.PerSecond * demand(now) })
					most := w.most(0)
					report(s.name, vms, l, w, most)
					Expect(float64(most)).To(BeNumerically("<=", l.allowed()))
				})
			}

			It(fmt.Sprintf("use the quota while demand exceeds it: %d VMs, %g requests/s", vms, l.PerSecond), func() {
				w := newWorld(2, vms, l)
				w.run(simEnd, constant(3*l.PerSecond))
				Expect(float64(w.served(4*time.Second, simEnd))).To(BeNumerically(">=", 0.97*l.PerSecond*(simEnd-4*time.Second).Seconds()-1))
				Expect(w.unavailable).To(BeZero())
			})
		}

		It(fmt.Sprintf("refuse nothing at 0.6 of the limit while the VMs restart one after the other: %d VMs", vms), func() {
			l := Limit{PerSecond: 40, Burst: 20, Version: 1}
			w := newWorld(3, vms, l)
			w.every(2500*time.Millisecond, func() {
				id := int(w.now/(2500*time.Millisecond)) - 1
				w.stop(id%simCandidates, time.Second)
			})
			w.run(25*time.Second, constant(0.6*l.PerSecond))
			report("rolling restart", vms, l, w, w.most(0))
			Expect(w.denied).To(BeZero())
			Expect(w.unavailable).To(BeZero())
			Expect(float64(w.most(0))).To(BeNumerically("<=", l.allowed()))
		})

		It(fmt.Sprintf("keep a lowered limit from one window after all of them have it: %d VMs", vms), func() {
			before, after := Limit{PerSecond: 300, Burst: 300, Version: 1}, Limit{PerSecond: 20, Burst: 10, Version: 2}
			w := newWorld(4, vms, before)
			w.adoptLater(8*time.Second, after)
			w.run(simEnd, constant(600))
			report("lowered limit", vms, after, w, w.most(9*time.Second))
			Expect(float64(w.most(9 * time.Second))).To(BeNumerically("<=", after.allowed()))
		})

		It(fmt.Sprintf("use a raised limit, and none once it is removed: %d VMs", vms), func() {
			before, after := Limit{PerSecond: 20, Burst: 10, Version: 1}, Limit{PerSecond: 200, Burst: 100, Version: 2}
			w := newWorld(5, vms, before)
			w.adoptLater(6*time.Second, after)
			w.adoptLater(16*time.Second, Limit{Version: 3})
			w.run(24*time.Second, constant(400))
			Expect(float64(w.served(8*time.Second, 16*time.Second))).To(BeNumerically(">=", 0.97*200*8-1))
			Expect(float64(w.served(17*time.Second, 23*time.Second))).To(BeNumerically("~", 400*6, 200))
			w.sent = slices.DeleteFunc(w.sent, func(at time.Duration) bool { return at >= 16*time.Second })
			Expect(float64(w.most(0))).To(BeNumerically("<=", after.allowed()))
		})
	}

	It("need fewer than 0.1 messages for each request of a team of which each VM sends more than 10 requests/s", func() {
		l := Limit{PerSecond: 2000, Burst: 2000, Version: 1}
		w := newWorld(6, 85, l)
		w.run(8*time.Second, constant(85*12))
		report("busy VMs", 85, l, w, w.most(0))
		w.calls = 0
		sent := len(w.sent)
		w.run(simEnd, constant(0))
		GinkgoWriter.Printf("calls per request of busy VMs: %.3f\n", float64(w.calls)/float64(len(w.sent)-sent))
		Expect(w.denied + w.unavailable).To(BeZero())
		Expect(float64(w.calls) / float64(len(w.sent)-sent)).To(BeNumerically("<", 0.1))
	})

	It("need about one message for each request of a team of which each VM sends few", func() {
		l := Limit{PerSecond: 40, Burst: 20, Version: 1}
		w := newWorld(7, 85, l)
		w.run(simEnd, constant(20))
		report("occasional requests", 85, l, w, w.most(0))
		Expect(w.denied + w.unavailable).To(BeZero())
		Expect(float64(w.calls) / float64(len(w.sent))).To(BeNumerically("<=", 1.01))
	})

	It("name a time to each refused caller at which there is room, and different ones to different callers", func() {
		l := Limit{PerSecond: 20, Burst: 5, Version: 1}
		w := newWorld(8, 85, l)
		w.run(4*time.Second, func(now time.Duration) float64 {
			if now < 2*time.Second {
				return 100
			}
			return 0
		})
		perSecond := map[time.Duration]int{}
		for _, at := range w.retryAt {
			perSecond[at/time.Second]++
		}
		for second, n := range perSecond {
			if second >= 2 && second < 9 {
				Expect(n).To(BeNumerically("<=", 2*l.PerSecond), "second %d", second)
			}
		}
	})
})

var _ = Describe("a holder", func() {
	l := Limit{PerSecond: 10, Burst: 10, Version: 1}
	alone := func(now time.Time) *Holder {
		h := NewHolder("a", now.Add(-time.Minute), simOverage)
		h.Confirm(now)
		h.SeeCandidates(now, 1)
		h.Begin(now, now, "t", l, nil)
		return h
	}
	start := simTime(0)

	It("counts a call that arrives twice once, and answers it alike", func() {
		h := alone(start)
		a := Ask{Team: "t", VM: "v", Process: 1, Sequence: 1, Limit: l, Waiting: 3}
		first := h.Credits(start, a, 0)
		Expect(first.Granted).To(Equal(3))
		Expect(h.Credits(start, a, 0)).To(Equal(first))
		Expect(h.States(start)[0].Tokens).To(BeNumerically("~", 7, 0.01))
	})

	It("takes unused credits and refunds back, but not beyond the burst", func() {
		h := alone(start)
		got := h.Credits(start, Ask{Team: "t", VM: "v", Process: 1, Sequence: 1, Limit: l, Waiting: 2, Extra: 4}, 0)
		Expect(got.Granted).To(Equal(6))
		Expect(h.States(start)[0].Outstanding).To(Equal(4.0))
		h.Credits(start, Ask{Team: "t", VM: "v", Process: 1, Sequence: 2, Limit: l, Unused: 3, Refunded: 1}, 0)
		Expect(h.States(start)[0].Tokens).To(BeNumerically("~", 8, 0.01))
		h.Credits(start, Ask{Team: "t", VM: "v", Process: 1, Sequence: 3, Limit: l, Unused: 50, Refunded: 50}, 0)
		Expect(h.States(start)[0].Tokens).To(BeNumerically("<=", 10))
	})

	It("keeps the sum of tokens and outstanding credits within the burst, also if a reply is lost", func() {
		h := alone(start)
		h.Credits(start, Ask{Team: "t", VM: "v", Process: 1, Sequence: 1, Limit: l, Extra: 5}, 0)
		s := h.States(start.Add(CreditLife))[0]
		Expect(s.Tokens + s.Outstanding).To(BeNumerically("<=", 10))
		s = h.States(start.Add(time.Minute))[0]
		Expect(s).To(Equal(State{Team: "t", Limit: l, Tokens: 10, Part: 1}))
	})

	It("takes the limit of the newer table version and ignores an older one", func() {
		h := alone(start)
		h.Credits(start, Ask{Team: "t", VM: "v", Process: 1, Sequence: 1, Limit: Limit{PerSecond: 1, Burst: 2, Version: 2}, Waiting: 1}, 0)
		h.Credits(start, Ask{Team: "t", VM: "w", Process: 1, Sequence: 1, Limit: l, Waiting: 1}, 0)
		Expect(h.States(start)[0].Limit).To(Equal(Limit{PerSecond: 1, Burst: 2, Version: 2}))
		Expect(h.States(start)[0].Tokens).To(BeZero())
	})

	It("hands its bucket over to one that comes before it, and not to one that comes after it", func() {
		h := alone(start)
		Expect(h.Yield(start, Claim{Team: "t", Holder: "b", Candidates: 2}, false)).To(Equal(Yield{LentTo: "a"}))
		y := h.Yield(start, Claim{Team: "t", Holder: "b", Candidates: 2}, true)
		Expect(y.Released).To(BeTrue())
		Expect(y.Tokens).To(BeNumerically("~", 10, 0.01))
		Expect(h.Credits(start, Ask{Team: "t", VM: "v", Sequence: 1}, 0).NotHolder).To(BeTrue())
	})

	It("lends its part to one holder at a time, unless that one has released it", func() {
		h := NewHolder("a", start.Add(-time.Minute), simOverage)
		h.Confirm(start)
		Expect(h.Yield(start, Claim{Team: "t", Holder: "b", Candidates: 4}, true).Share).To(Equal(0.25))
		Expect(h.Yield(start, Claim{Team: "t", Holder: "c", Candidates: 4}, true)).To(Equal(Yield{LentTo: "b"}))
		Expect(h.Yield(start, Claim{Team: "t", Holder: "c", Candidates: 4, ReleasedBy: "b"}, true).Share).To(Equal(0.25))
		Expect(h.Yield(start.Add(LoanLife), Claim{Team: "t", Holder: "d", Candidates: 4}, true).Share).To(Equal(0.25))
	})

	It("lends nothing right after its start, since it may have lent its part before", func() {
		h := NewHolder("a", start, simOverage)
		h.Confirm(start)
		Expect(h.Yield(start, Claim{Team: "t", Holder: "b", Candidates: 4}, true).Share).To(BeZero())
	})

	It("ignores the tokens of a bucket that was handed over before it was frozen", func() {
		h := NewHolder("a", start.Add(-time.Minute), simOverage)
		h.Confirm(start.Add(time.Minute))
		h.SeeCandidates(start, 2)
		h.Begin(start, start.Add(time.Minute), "t", l, map[string]Yield{"b": {Share: 0.5, Released: true, Tokens: 10}})
		Expect(h.States(start.Add(time.Minute))[0].Tokens).To(BeNumerically("<=", 2))
	})
})

var _ = Describe("a wallet", func() {
	start := simTime(0)

	It("spends no credit at or after its end, counted from the start of the call", func() {
		w := &Wallet{}
		Expect(w.Answered(start, start.Add(10*time.Millisecond), 1, Answer{Granted: 3})).To(Equal(1))
		Expect(w.Take(start.Add(CreditLife - 1))).To(BeTrue())
		Expect(w.Take(start.Add(CreditLife))).To(BeFalse())
	})

	It("uses no answer that arrives after the end of its credits", func() {
		w := &Wallet{}
		Expect(w.Answered(start, start.Add(CreditLife), 1, Answer{Granted: 3})).To(BeZero())
		Expect(w.Take(start.Add(CreditLife))).To(BeFalse())
	})

	It("gives back a credit only for a short time", func() {
		w := &Wallet{}
		Expect(w.Refund(start.Add(simRefundLife), start, simRefundLife)).To(BeFalse())
		Expect(w.Refund(start.Add(time.Millisecond), start, simRefundLife)).To(BeTrue())
		ask := Ask{}
		w.Ask(start.Add(2*time.Millisecond), &ask)
		Expect(ask.Refunded).To(Equal(1))
	})
})

// adoptLater makes the VMs adopt a limit within the time that a watch reply takes.
func (w *simWorld) adoptLater(at time.Duration, l Limit) {
	for _, vm := range w.vms {
		w.at(at+time.Duration(w.random.Int64N(int64(600*time.Millisecond))), func() {
			vm.limit = l
			vm.holder.Adopt(w.clock(), map[string]Limit{"t": l})
		})
	}
}

func sorted(ids []int) []int { return slices.Sorted(slices.Values(ids)) }
