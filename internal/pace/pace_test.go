package pace_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/pace"
	"github.com/wisteriamux/wisteriamux/internal/replica"
)

func TestPace(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Pace")
}

const usual = 10 * time.Millisecond

func at(ms int) time.Time { return modelEpoch.Add(time.Duration(ms) * time.Millisecond) }

var _ = Describe("the share of an upstream", func() {
	var c *pace.Controller
	BeforeEach(func() { c = pace.New() })

	It("is full for an upstream of which nothing is known, and for one that always answers", func() {
		Expect(c.Share(at(0), "u")).To(Equal(1.0))
		c.Observe(at(0), "u", pace.Answered, 10*usual, usual)
		Expect(c.Empty()).To(BeTrue(), "choices stay as they are")
	})

	It("is small after a start and rises with time alone, so that no upstream stays idle", func() {
		c.Started(at(0), "u", 0)
		Expect(c.Share(at(0), "u")).To(BeNumerically("<", 0.3))
		previous := 0.0
		for ms := 0; ms <= 4000; ms += 250 {
			share := c.Share(at(ms), "u")
			Expect(share).To(BeNumerically(">=", previous))
			previous = share
		}
		Expect(previous).To(Equal(1.0))
	})

	It("rises over the cold start that the process expects, but not for ever", func() {
		c.Started(at(0), "u", 10*time.Second)
		Expect(c.Share(at(4000), "u")).To(BeNumerically("<", 0.7))
		c.Started(at(0), "v", time.Hour)
		Expect(c.Share(at(30_000), "v")).To(Equal(1.0))
	})

	It("rises at once with good responses, and falls at once with slow ones and failures", func() {
		c.Started(at(0), "u", 0)
		c.Observe(at(10), "u", pace.Answered, usual, usual)
		Expect(c.Share(at(10), "u")).To(Equal(1.0))
		c.Observe(at(20), "u", pace.Answered, 4*usual, usual)
		Expect(c.Share(at(20), "u")).To(BeNumerically("<=", 0.1))
		Expect(c.Share(at(10_000), "u")).To(Equal(1.0))
		c.Observe(at(10_000), "u", pace.Failed, 0, usual)
		Expect(c.Share(at(10_000), "u")).To(BeNumerically("<=", 0.1))
	})

	It("returns the lower the longer an outage was, as far as it was seen", func() {
		for n, id := range []string{"once", "twice"} {
			for range n + 1 {
				c.Observe(at(0), id, pace.Failed, 0, usual)
			}
			c.Observe(at(5000), id, pace.Answered, 2*usual, usual)
		}
		Expect(c.Share(at(5000), "once")).To(BeNumerically("<", 1))
		Expect(c.Share(at(5000), "twice")).To(BeNumerically("<", c.Share(at(5000), "once")))
	})

	It("does not fall because of single refusals of a busy upstream and single pauses", func() {
		for n := range 5 {
			c.Observe(at(n*100), "u", pace.Refused, 0, usual)
			c.Observe(at(n*100+10), "u", pace.Silent, 200*time.Millisecond, usual)
			c.Observe(at(n*100+20), "u", pace.Answered, usual, usual)
			Expect(c.Share(at(n*100+20), "u")).To(Equal(1.0))
		}
		for n := range 3 {
			c.Observe(at(1000+n), "u", pace.Refused, 0, usual)
		}
		Expect(c.Share(at(1003), "u")).To(BeNumerically("<", 1))
	})

	It("is adopted from another VM unless this VM has observed something later, by age and not by arrival", func() {
		c.Adopt(at(100), at(90), "u", 0.3)
		Expect(c.Share(at(100), "u")).To(BeNumerically("~", 0.3, 0.01))
		c.Observe(at(110), "u", pace.Failed, 0, usual)
		low := c.Share(at(120), "u")
		c.Adopt(at(120), at(100), "u", 0.8)
		Expect(c.Share(at(120), "u")).To(Equal(low), "an older report arrived late")
		c.Adopt(at(130), at(115), "u", 0.8)
		Expect(c.Share(at(130), "u")).To(BeNumerically("~", 0.8, 0.01))
		for _, share := range []float64{1, 0, -1, 2} {
			c.Adopt(at(140), at(140), "w", share)
			Expect(c.Share(at(140), "w")).To(Equal(1.0))
		}
	})

	It("reports each slow start once at its begin and once at its end, and forgets the upstream later", func() {
		c.Started(at(0), "u", 0)
		Expect(c.Changes(at(1))).To(HaveLen(1))
		Expect(c.Changes(at(2))).To(BeEmpty())
		ended := c.Changes(at(4000))
		Expect(ended).To(HaveLen(1))
		Expect(ended[0].Ended).To(BeTrue())
		Expect(c.Below(at(4000))).To(BeEmpty())
		Expect(c.Changes(at(20_000))).To(BeEmpty())
		Expect(c.Empty()).To(BeTrue(), "memory is bounded by the upstreams that have returned lately")
	})

	It("forgets what was observed over lost links, but not what has registered", func() {
		c.Started(at(0), "new", 0)
		c.Observe(at(0), "cut", pace.Failed, 0, usual)
		c.Forgive()
		Expect(c.Share(at(0), "cut")).To(Equal(1.0))
		Expect(c.Share(at(0), "new")).To(BeNumerically("<", 1))
	})
})

var _ = Describe("the choice of an upstream", func() {
	var c *pace.Controller
	var tracker *replica.Tracker
	candidates := []replica.Candidate{{ID: "new", Slots: 2, Local: true}, {ID: "old", Slots: 2}}
	BeforeEach(func() {
		c, tracker = pace.New(), replica.New(1)
		c.Started(at(0), "new", 0)
	})
	choose := func(draw float64, candidates []replica.Candidate, excluded func(string) bool) string {
		n := pace.Choose(at(0), tracker, c, candidates, excluded, func() float64 { return draw })
		Expect(n).To(BeNumerically(">=", 0))
		return candidates[n].ID
	}

	It("passes an upstream below its full share unless the draw is below the share", func() {
		Expect(choose(0.9, candidates, nil)).To(Equal("old"))
		Expect(choose(0.1, candidates, nil)).To(Equal("new"))
	})

	It("takes it if there is no other one, or all others are in a slow start as well", func() {
		Expect(choose(0.9, candidates[:1], nil)).To(Equal("new"))
		Expect(choose(0.9, candidates, func(id string) bool { return id == "old" })).To(Equal("new"))
		c.Started(at(0), "old", 0)
		Expect(choose(0.9, candidates, nil)).To(Equal("new"))
	})

	It("takes it if the others are stalled, failing, in backoff or full", func() {
		ticket := tracker.Sent(at(0), "old", usual)
		tracker.Done(at(0), "old", ticket, replica.Failed)
		Expect(choose(0.9, candidates, nil)).To(Equal("new"))
		tracker = replica.New(1)
		tracker.Sent(at(-1000), "old", usual)
		Expect(choose(0.9, candidates, nil)).To(Equal("new"), "stalled")
		tracker = replica.New(1)
		tracker.Done(at(0), "old", tracker.Sent(at(0), "old", usual), replica.Unreachable)
		Expect(choose(0.9, candidates, nil)).To(Equal("new"), "backoff")
		tracker = replica.New(1)
		tracker.Sent(at(0), "old", usual)
		full := []replica.Candidate{candidates[0], {ID: "old", Slots: 2, MaxInFlight: 1}}
		Expect(choose(0.9, full, nil)).To(Equal("new"), "full")
	})

	It("draws nothing while no upstream is below its full share", func() {
		c = pace.New()
		drawn := false
		pace.Choose(at(0), tracker, c, candidates, nil, func() float64 { drawn = true; return 0 })
		Expect(drawn).To(BeFalse())
	})

	It("lets the lower of the shares of a VM and of its relay pass, not their product", func() {
		Expect(pace.Declines(0.2, 0.2, 0.99)).To(BeFalse())
		Expect(pace.Declines(0.5, 0.2, 0.99)).To(BeFalse())
		Expect(pace.Declines(0.1, 0.2, 0.51)).To(BeTrue())
		Expect(pace.Declines(0.1, 0.2, 0.49)).To(BeFalse())
	})
})
