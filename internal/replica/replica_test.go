package replica_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/replica"
)

func TestReplica(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Replica")
}

const expected = 10 * time.Millisecond

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func pair() []replica.Candidate {
	return []replica.Candidate{{ID: "near", Slots: 2, Local: true}, {ID: "far", Slots: 2}}
}

func chosen(t *replica.Tracker, now time.Time, all []replica.Candidate) string {
	i := t.Choose(now, all, nil)
	Expect(i).To(BeNumerically(">=", 0))
	return all[i].ID
}

var _ = Describe("the choice of a replica", func() {
	var tracker *replica.Tracker
	BeforeEach(func() { tracker = replica.New(1) })

	It("prefers the own failure domain among equals", func() {
		Expect(chosen(tracker, at(0), pair())).To(Equal("near"))
	})

	It("leaves an upstream at which a request has stood still, before that request ends", func() {
		tracker.Sent(at(0), "near", expected)
		Expect(chosen(tracker, at(25), pair())).To(Equal("near"))
		Expect(chosen(tracker, at(31), pair())).To(Equal("far"))
	})

	It("remembers a dark upstream for longer with each request that it leaves unanswered", func() {
		now := 0
		for range 3 {
			ticket := tracker.Sent(at(now), "near", expected)
			now += 50
			tracker.Done(at(now), "near", ticket, replica.Abandoned)
		}
		Expect(chosen(tracker, at(now+300), pair())).To(Equal("far"))
		Expect(tracker.Stalled(at(now+400), "near")).To(BeFalse(), "it is tried again")
	})

	It("returns to an upstream after one answer", func() {
		ticket := tracker.Sent(at(0), "near", expected)
		tracker.Done(at(200), "near", ticket, replica.Abandoned)
		Expect(tracker.Stalled(at(201), "near")).To(BeTrue())
		ticket = tracker.Sent(at(210), "near", expected)
		tracker.Done(at(220), "near", ticket, replica.Answered)
		Expect(tracker.Stalled(at(221), "near")).To(BeFalse())
	})

	It("does not take a hedge that lost early for a pause", func() {
		ticket := tracker.Sent(at(0), "near", expected)
		tracker.Done(at(5), "near", ticket, replica.Abandoned)
		Expect(chosen(tracker, at(6), pair())).To(Equal("near"))
	})

	It("avoids an upstream that fails requests while others are sound", func() {
		for i := range 3 {
			ticket := tracker.Sent(at(10*i), "near", expected)
			tracker.Done(at(10*i+5), "near", ticket, replica.Failed)
		}
		Expect(chosen(tracker, at(40), pair())).To(Equal("far"))
		Expect(chosen(tracker, at(20_000), pair())).To(Equal("near"), "it is tried again")
	})

	It("avoids an upstream that sheds part of its requests for longer than one backoff", func() {
		for i := range 4 {
			ticket := tracker.Sent(at(10*i), "near", expected)
			tracker.Done(at(10*i+1), "near", ticket, replica.Refused)
		}
		Expect(chosen(tracker, at(200), pair())).To(Equal("far"))
	})

	It("does not exceed its part of the connections while another upstream has room", func() {
		all := pair()
		all[0].MaxInFlight = 1
		tracker.Sent(at(0), "near", expected)
		Expect(chosen(tracker, at(1), all)).To(Equal("far"))
	})

	It("prefers an unreachable upstream to none", func() {
		all := pair()[:1]
		ticket := tracker.Sent(at(0), "near", expected)
		tracker.Done(at(1), "near", ticket, replica.Unreachable)
		Expect(chosen(tracker, at(2), all)).To(Equal("near"))
		Expect(tracker.Choose(at(2), all, func(string) bool { return true })).To(Equal(-1))
	})

	It("reports a slow upstream once, and its recovery once", func() {
		now := 0
		send := func(took int) {
			ticket := tracker.Sent(at(now), "near", expected)
			now += took
			tracker.Done(at(now), "near", ticket, replica.Answered)
		}
		var seen []replica.Condition
		note := func() {
			if _, after, changed := tracker.UpdateCondition(at(now), "near"); changed {
				seen = append(seen, after)
			}
		}
		for range 30 {
			send(50)
			note()
		}
		for range 30 {
			send(10)
			note()
		}
		Expect(seen).To(Equal([]replica.Condition{replica.ConditionSlow, replica.ConditionHealthy}))
	})

	It("does not report the usual pauses", func() {
		ticket := tracker.Sent(at(0), "near", expected)
		tracker.Done(at(200), "near", ticket, replica.Abandoned)
		_, after, _ := tracker.UpdateCondition(at(200), "near")
		Expect(after).To(Equal(replica.ConditionHealthy))
	})

	It("finds a quantile of a shifted distribution within some hundred samples", func() {
		q := replica.Quantile{Rank: 0.9}
		for _, base := range []int{10, 40} {
			for i := range 400 {
				q.Add(time.Duration(base+i%10) * time.Millisecond)
			}
			Expect(q.Value()).To(BeNumerically("~", time.Duration(base+9)*time.Millisecond, 3*time.Millisecond))
		}
	})
})
