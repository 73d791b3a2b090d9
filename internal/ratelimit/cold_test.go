package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// mostInSecond returns the highest number of sends in any second. The sends are in order.
func mostInSecond(sends []time.Duration) int {
	highest, first := 0, 0
	for n, sent := range sends {
		for sends[first] < sent-time.Second {
			first++
		}
		highest = max(highest, n-first+1)
	}
	return highest
}

// coldAllowed is the users' bound for the requests to a cold upstream in any second.
func coldAllowed(perSecond float64) float64 { return 1.5*perSecond + 5 }

// coldDemand plays VMs that all want to send to a cold upstream all the time. The holder returns the issuer that a VM asks, and
// the number of VMs that would grant the permits if that one could reach them.
func coldDemand(random *rand.Rand, vms int, perSecond float64, holder func(vm int, now time.Duration) (*Issuer, int)) []time.Duration {
	const step, duration = 10 * time.Millisecond, 15 * time.Second
	var sends []time.Duration
	askAt := make([]time.Duration, vms)
	for now := time.Duration(0); now < duration; now += step {
		for _, vm := range random.Perm(vms) {
			if askAt[vm] > now {
				continue
			}
			grant := Grant{Granted: true}
			for grant.Granted {
				issuer, deputy := holder(vm, now)
				grant = issuer.Take(at(now), key, Demand{PerSecond: perSecond, ColdOverage: 1.5, Deputy: deputy}, random.Float64())
				if grant.Granted {
					sends = append(sends, now)
				}
			}
			askAt[vm] = now + grant.RetryAfter
		}
	}
	return sends
}

var _ = Describe("VMs that send to a cold upstream", func() {
	for _, vms := range []int{7, 85, 300} {
		for _, perSecond := range []float64{0.5, 5, 20, 100} {
			name := fmt.Sprintf("%d VMs, %g requests/s", vms, perSecond)

			It("exceed its rate in no second by more than is allowed while one VM holds its bucket: "+name, func() {
				issuer := NewIssuer()
				sends := coldDemand(rand.New(rand.NewPCG(1, 2)), vms, perSecond, func(int, time.Duration) (*Issuer, int) { return issuer, 0 })
				GinkgoWriter.Printf("one holder: %s: most %d allowed %g\n", name, mostInSecond(sends), coldAllowed(perSecond))
				Expect(float64(mostInSecond(sends))).To(BeNumerically("<=", coldAllowed(perSecond)))
				Expect(float64(len(sends))).To(BeNumerically(">=", 0.6*perSecond*11-1))
			})

			It("exceed its rate in no second by more than is allowed while its bucket changes hands: "+name, func() {
				random := rand.New(rand.NewPCG(3, 4))
				issuers := []*Issuer{NewIssuer(), NewIssuer()}
				lags := make([]time.Duration, vms)
				for vm := range lags {
					lags[vm] = time.Duration(random.Int64N(int64(2 * time.Second)))
				}
				sends := coldDemand(random, vms, perSecond, func(vm int, now time.Duration) (*Issuer, int) {
					return issuers[max(0, now-lags[vm])/(5*time.Second)%2], 0
				})
				GinkgoWriter.Printf("hand-over: %s: most %d allowed %g\n", name, mostInSecond(sends), coldAllowed(perSecond))
				Expect(float64(mostInSecond(sends))).To(BeNumerically("<=", coldAllowed(perSecond)))
			})

			It("exceed its rate in no second by more than is allowed while three VMs hold its bucket: "+name, func() {
				issuers := []*Issuer{NewIssuer(), NewIssuer(), NewIssuer()}
				sends := coldDemand(rand.New(rand.NewPCG(5, 6)), vms, perSecond, func(vm int, _ time.Duration) (*Issuer, int) {
					return issuers[vm%3], vm % 3
				})
				GinkgoWriter.Printf("three holders: %s: most %d allowed %g\n", name, mostInSecond(sends), coldAllowed(perSecond))
				Expect(float64(mostInSecond(sends))).To(BeNumerically("<=", coldAllowed(perSecond)))
			})
		}
	}
})
