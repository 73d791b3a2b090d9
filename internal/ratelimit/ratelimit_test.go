package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/registry"
)

func TestRatelimit(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Ratelimit")
}

var start = time.Unix(1_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

var key = registry.Process{Instance: "u", Born: 1}

// window is the span of the users' rule, and allowed the number of requests that it allows in one.
const window = 4 * time.Second

func allowed(perSecond float64) int { return int(1.5*perSecond*window.Seconds() + 5) }

// most returns the highest number of sends in any window. The sends are in order.
func most(sends []time.Duration) int {
	highest, first := 0, 0
	for n, sent := range sends {
		for sends[first] < sent-window {
			first++
		}
		highest = max(highest, n-first+1)
	}
	return highest
}

var _ = Describe("a text that is no positive decimal number", func() {
	for _, values := range [][]string{
		{""}, {"-3"}, {"0"}, {"0.0"}, {"NaN"}, {"Inf"}, {"+Inf"}, {"1e3"}, {"0x10"}, {"1_000"}, {" "}, {"."}, {"3 requests"},
		{strings.Repeat("9", 400)}, {"5", "5"}, {"5", "7"},
	} {
		It(fmt.Sprintf("is a typed error: %.20q", values), func() {
			s := ParseStatement(values)
			Expect(fault.CodeOf(s.Err)).To(Equal(fault.BadRequest))
			Expect(s.PerSecond).To(BeZero())
		})
	}

	It("keeps the limit in force, and limits an upstream without one, so that it is neither flooded nor lost", func() {
		book := NewBook()
		bad := ParseStatement([]string{"NaN"})
		Expect(book.Observe(start, key, bad)).To(Equal(Change{After: UnreadablePerSecond, BecameUnreadable: true}))
		book.Observe(at(1), key, Statement{PerSecond: 40})
		Expect(book.Observe(at(2), key, bad)).To(Equal(Change{Before: 40, After: 40, BecameUnreadable: true}))
		Expect(book.Observe(at(3), key, bad).BecameUnreadable).To(BeFalse())
		Expect(book.Unreadable()).To(Equal(int64(3)))
		Expect(book.Observe(at(4), key, Statement{}).After).To(BeZero())
	})
})

var _ = Describe("a limit in force", func() {
	It("ends with a later response that names none, and an older response that arrives late does not bring it back", func() {
		book := NewBook()
		book.Observe(at(10), key, Statement{PerSecond: 20})
		book.Observe(at(30), key, Statement{})
		Expect(book.Observe(at(20), key, Statement{PerSecond: 20}).After).To(BeZero())
		Expect(book.InForce()).To(BeEmpty())
	})

	It("is not ended by an older response that arrives late", func() {
		book := NewBook()
		book.Observe(at(20), key, Statement{PerSecond: 20})
		book.Observe(at(10), key, Statement{})
		Expect(book.InForce()).To(Equal([]InForce{{Process: key, PerSecond: 20}}))
	})

	It("changes to a new value", func() {
		book := NewBook()
		book.Observe(at(10), key, Statement{PerSecond: 20})
		Expect(book.Observe(at(20), key, Statement{PerSecond: 7.5})).To(Equal(Change{Before: 20, After: 7.5}))
	})

	It("does not apply to the process that the upstream starts as next, and is dropped with it", func() {
		book := NewBook()
		book.Observe(at(10), key, Statement{PerSecond: 20})
		book.Full(key, at(time.Hour))
		restarted := registry.Process{Instance: "u", Born: 2}
		Expect(book.RoomAt(restarted)).To(BeZero())
		book.Retain(func(k registry.Process) bool { return k == restarted })
		Expect(book.Empty()).To(BeTrue())
	})
})

// demandOf plays VMs that all want to send all the time, and returns when they sent. Each asks the VM that holds the bucket
// by its own view, which holder returns.
func demandOf(random *rand.Rand, vms int, perSecond float64, duration time.Duration, holder func(vm int, now time.Duration) *Issuer) []time.Duration {
	const step = 10 * time.Millisecond
	var sends []time.Duration
	askAt := make([]time.Duration, vms)
	for now := time.Duration(0); now < duration; now += step {
		for _, vm := range random.Perm(vms) {
			if askAt[vm] > now {
				continue
			}
			grant := Grant{Granted: true}
			for grant.Granted {
				if grant = holder(vm, now).Take(at(now), key, Demand{PerSecond: perSecond}, random.Float64()); grant.Granted {
					sends = append(sends, now)
				}
			}
			askAt[vm] = now + grant.RetryAfter
		}
	}
	return sends
}

var _ = Describe("VMs that share the limit of one upstream", func() {
	const duration = 24 * time.Second
	for _, vms := range []int{1, 7, 88, 300} {
		for _, perSecond := range []float64{0.1, 1, 7.2, 18, 200} {
			name := fmt.Sprintf("%d VMs, %g requests/s", vms, perSecond)

			It("send no more than allowed in any window while one VM holds its bucket, and use most of it: "+name, func() {
				issuer := NewIssuer()
				sends := demandOf(rand.New(rand.NewPCG(1, 2)), vms, perSecond, duration, func(int, time.Duration) *Issuer { return issuer })
				Expect(most(sends)).To(BeNumerically("<=", allowed(perSecond)))
				Expect(float64(len(sends))).To(BeNumerically(">=", 0.8*perSecond*(duration-handOver).Seconds()-1))
			})

			It("send no more than allowed in any window while its bucket changes hands, which VMs notice within 2 s of each other: "+name, func() {
				for seed := range uint64(3) {
					random := rand.New(rand.NewPCG(seed, 3))
					issuers := []*Issuer{NewIssuer(), NewIssuer()}
					// Each VM switches to the other issuer every 10 s, with a lag of its own.
					lags := make([]time.Duration, vms)
					for vm := range lags {
						lags[vm] = time.Duration(random.Int64N(int64(2 * time.Second)))
					}
					sends := demandOf(random, vms, perSecond, duration, func(vm int, now time.Duration) *Issuer {
						return issuers[max(0, now-lags[vm])/(10*time.Second)%2]
					})
					Expect(most(sends)).To(BeNumerically("<=", allowed(perSecond)))
				}
			})

			It("send no more than allowed in any window while several of them hold its bucket, because they cannot reach each other: "+name, func() {
				issuers := []*Issuer{NewIssuer(), NewIssuer(), NewIssuer()}
				var sends []time.Duration
				for now := time.Duration(0); now < duration; now += 10 * time.Millisecond {
					for deputy, issuer := range issuers {
						if issuer.Take(at(now), key, Demand{PerSecond: perSecond, Deputy: deputy}, 0).Granted {
							sends = append(sends, now)
						}
					}
				}
				Expect(most(sends)).To(BeNumerically("<=", allowed(perSecond)))
			})

			It("send no more than allowed in nearly all windows without a VM that holds its bucket: "+name, func() {
				random := rand.New(rand.NewPCG(4, 5))
				issuers := make([]*Issuer, vms)
				for vm := range issuers {
					issuers[vm] = NewIssuer()
				}
				var sends []time.Duration
				for now := time.Duration(0); now < duration; now += 20 * time.Millisecond {
					for _, vm := range random.Perm(vms) {
						if issuers[vm].Take(at(now), key, Demand{PerSecond: perSecond, Issuers: vms}, random.Float64()).Granted {
							sends = append(sends, now)
						}
					}
				}
				Expect(most(sends)).To(BeNumerically("<=", allowed(perSecond)))
			})
		}
	}
})

var _ = Describe("a permit", func() {
	It("is granted at once to the first request after a while, however low the limit is", func() {
		issuer := NewIssuer()
		low := Demand{PerSecond: 0.01}
		Expect(issuer.Take(start, key, low, 0).Granted).To(BeTrue())
		Expect(issuer.Take(at(time.Second), key, low, 0).Granted).To(BeFalse())
		Expect(issuer.Take(at(10*time.Second), key, low, 0).Granted).To(BeTrue())
	})

	It("goes to the more urgent requests first when both kinds exceed the limit", func() {
		issuer := NewIssuer()
		granted := map[int]int{}
		random := rand.New(rand.NewPCG(6, 7))
		for now := time.Duration(0); now < 20*time.Second; now += 10 * time.Millisecond {
			ranks := []int{1, 2}
			random.Shuffle(2, func(i, j int) { ranks[i], ranks[j] = ranks[j], ranks[i] })
			for _, rank := range ranks {
				if issuer.Take(at(now), key, Demand{PerSecond: 10, Rank: rank}, 0).Granted {
					granted[rank]++
				}
			}
		}
		Expect(granted[1]).To(BeNumerically(">", 10*granted[2]))
	})

	It("is announced for when the bucket has a token again", func() {
		issuer := NewIssuer()
		d := Demand{PerSecond: 20}
		now := time.Duration(0)
		var waits []time.Duration
		for range 50 {
			grant := issuer.Take(at(now), key, d, 0)
			if grant.Granted {
				continue
			}
			waits = append(waits, grant.RetryAfter)
			now += grant.RetryAfter + time.Microsecond
			Expect(issuer.Take(at(now), key, d, 0).Granted).To(BeTrue())
		}
		Expect(slices.Max(waits)).To(BeNumerically("<=", 200*time.Millisecond))
	})
})
