package reach

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestReach(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Reach")
}

var _ = Describe("a monitor of a VM's links to upstreams", func() {
	const upstreams = 20
	var m *Monitor
	var now time.Time
	id := func(n int) string { return fmt.Sprintf("u%d", n) }
	// partition lets requests and a check fail.
	partition := func() {
		for range suspectFailures {
			m.Unanswered()
		}
		Expect(m.StartCheck(now, upstreams)).To(BeTrue())
		Expect(m.Checked(now, false)).To(BeTrue())
	}
	// check makes one check after the interval.
	check := func(connected bool) (changed bool) {
		now = now.Add(checkInterval)
		Expect(m.StartCheck(now, upstreams)).To(BeTrue())
		return m.Checked(now, connected)
	}

	BeforeEach(func() {
		m = New()
		now = time.Unix(1000, 0)
	})

	It("asks for no check while half of the upstreams fail, as long as the others respond", func() {
		for range 100 {
			for n := range upstreams {
				if n%2 == 0 {
					m.Unanswered()
				} else {
					m.Responded(now, id(n))
				}
			}
			now = now.Add(time.Second)
			Expect(m.StartCheck(now, upstreams)).To(BeFalse())
		}
	})

	It("does not count as partitioned after failures if a check connects, so that failed upstreams are not mistaken for lost links", func() {
		for range upstreams {
			m.Dialled(false)
		}
		Expect(m.StartCheck(now, upstreams)).To(BeTrue())
		Expect(m.Checked(now, true)).To(BeFalse())
		Expect(m.Partitioned()).To(BeFalse())
		Expect(m.StartCheck(now.Add(time.Second), upstreams)).To(BeFalse())
	})

	It("suspects the links when new connections fail although open ones still get responses", func() {
		for n := range suspectFailures {
			m.Dialled(false)
			m.Responded(now, id(n+5))
		}
		Expect(m.StartCheck(now, upstreams)).To(BeTrue())
	})

	It("makes one check at a time, and not more often than the interval", func() {
		partition()
		Expect(m.StartCheck(now.Add(checkInterval/2), upstreams)).To(BeFalse())
		Expect(m.StartCheck(now.Add(checkInterval), upstreams)).To(BeTrue())
		Expect(m.StartCheck(now.Add(5*checkInterval), upstreams)).To(BeFalse())
	})

	It("checks the upstreams that responded last", func() {
		for n := range upstreams {
			m.Responded(now.Add(time.Duration(n)), id(n))
		}
		Expect(m.Targets(3)).To(Equal([]string{"u19", "u18", "u17"}))
	})

	It("suspects the links when requests to the only upstream fail, and never without any upstream", func() {
		for range suspectFailures {
			Expect(m.StartCheck(now, 1)).To(BeFalse())
			m.Dialled(false)
		}
		Expect(m.StartCheck(now, 0)).To(BeFalse())
		Expect(m.StartCheck(now, 1)).To(BeTrue())
	})

	It("uses the links again after one successful check, little by little", func() {
		partition()
		Expect(m.Direct(now, 0)).To(BeFalse())
		Expect(check(true)).To(BeTrue())
		Expect(m.Direct(now.Add(rampUp/10), 0.5)).To(BeFalse())
		Expect(m.Direct(now.Add(rampUp*3/4), 0.5)).To(BeTrue())
		Expect(m.Direct(now.Add(rampUp), 0.999)).To(BeTrue())
	})

	It("stays away from links that are lost and restored each second", func() {
		changes := 0
		intact := func() bool { return now.Unix()%2 == 0 }
		for end := now.Add(flapWindow); now.Before(end); now = now.Add(checkInterval) {
			if !m.Partitioned() && !intact() {
				for range suspectFailures {
					m.Unanswered()
				}
			}
			if m.StartCheck(now, upstreams) && m.Checked(now, intact()) {
				changes++
			}
		}
		Expect(changes).To(BeNumerically("<=", 2*maxExtraChecks+1))
		Expect(m.Partitioned()).To(BeTrue())
	})

	It("forgets upstreams that have left", func() {
		m.Responded(now, "left")
		m.Unanswered()
		m.Retain(func(string) bool { return false })
		Expect(m.Targets(3)).To(BeEmpty())
		Expect(m.StartCheck(now, upstreams)).To(BeFalse())
	})
})
