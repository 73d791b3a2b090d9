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

var epoch = time.Unix(1000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func twoCandidates() []replica.Candidate {
	return []replica.Candidate{{ID: "near", Slots: 2, Local: true}, {ID: "far", Slots: 2}}
}

func choose(t *replica.Tracker, now time.Time, candidates []replica.Candidate) string {
	i := t.Choose(now, candidates, nil)
	Expect(i).To(BeNumerically(">=", 0))
	return candidates[i].ID
}

var _ = Describe("Tracker", func() {
	var tracker *replica.Tracker
	BeforeEach(func() { tracker = replica.New(1) })

	It("prefers an upstream of its own failure domain when the costs are equal otherwise", func() {
		Expect(choose(tracker, at(0), twoCandidates())).To(Equal("near"))
	})

	It("avoids a stalled upstream while the overdue request is still in flight", func() {
		tracker.Sent(at(0), "near", expected)
		Expect(choose(tracker, at(25), twoCandidates())).To(Equal("near"))
		Expect(choose(tracker, at(31), twoCandidates())).To(Equal("far"))
	})

	It("increases the stall backoff with each request in a row that gets no response", func() {
		now := 0
		for range 3 {
			requestID := tracker.Sent(at(now), "near", expected)
			now += 50
			tracker.Done(at(now), "near", requestID, replica.Abandoned)
		}
		Expect(choose(tracker, at(now+300), twoCandidates())).To(Equal("far"))
		Expect(tracker.Stalled(at(now+400), "near")).To(BeFalse(), "the upstream is tried again")
	})

	It("ends the stall backoff after one response", func() {
		requestID := tracker.Sent(at(0), "near", expected)
		tracker.Done(at(200), "near", requestID, replica.Abandoned)
		Expect(tracker.Stalled(at(201), "near")).To(BeTrue())
		requestID = tracker.Sent(at(210), "near", expected)
		tracker.Done(at(220), "near", requestID, replica.Answered)
		Expect(tracker.Stalled(at(221), "near")).To(BeFalse())
	})

	It("does not count a hedge that was cancelled early as a stall", func() {
		requestID := tracker.Sent(at(0), "near", expected)
		tracker.Done(at(5), "near", requestID, replica.Abandoned)
		Expect(choose(tracker, at(6), twoCandidates())).To(Equal("near"))
	})

	It("avoids a failing upstream while another one is healthy", func() {
		for i := range 3 {
			requestID := tracker.Sent(at(10*i), "near", expected)
			tracker.Done(at(10*i+5), "near", requestID, replica.Failed)
		}
		Expect(choose(tracker, at(40), twoCandidates())).To(Equal("far"))
		Expect(choose(tracker, at(20_000), twoCandidates())).To(Equal("near"), "the upstream is tried again")
	})

	It("avoids an upstream that refuses requests for longer than one backoff", func() {
		for i := range 4 {
			requestID := tracker.Sent(at(10*i), "near", expected)
			tracker.Done(at(10*i+1), "near", requestID, replica.Refused)
		}
		Expect(choose(tracker, at(200), twoCandidates())).To(Equal("far"))
	})

	It("does not exceed MaxInFlight while another upstream has free connections", func() {
		candidates := twoCandidates()
		candidates[0].MaxInFlight = 1
		tracker.Sent(at(0), "near", expected)
		Expect(choose(tracker, at(1), candidates)).To(Equal("far"))
	})

	It("chooses an unreachable upstream if there is no other", func() {
		candidates := twoCandidates()[:1]
		requestID := tracker.Sent(at(0), "near", expected)
		tracker.Done(at(1), "near", requestID, replica.Unreachable)
		Expect(choose(tracker, at(2), candidates)).To(Equal("near"))
		Expect(tracker.Choose(at(2), candidates, func(string) bool { return true })).To(Equal(-1))
	})

	It("reports a slow upstream once and its recovery once", func() {
		now := 0
		send := func(latency int) {
			requestID := tracker.Sent(at(now), "near", expected)
			now += latency
			tracker.Done(at(now), "near", requestID, replica.Answered)
		}
		var reported []replica.Condition
		recordChange := func() {
			if _, after, changed := tracker.UpdateCondition(at(now), "near"); changed {
				reported = append(reported, after)
			}
		}
		for range 30 {
			send(50)
			recordChange()
		}
		for range 30 {
			send(10)
			recordChange()
		}
		Expect(reported).To(Equal([]replica.Condition{replica.ConditionSlow, replica.ConditionHealthy}))
	})

	It("does not report an upstream as silent after a usual pause", func() {
		requestID := tracker.Sent(at(0), "near", expected)
		tracker.Done(at(200), "near", requestID, replica.Abandoned)
		_, after, _ := tracker.UpdateCondition(at(200), "near")
		Expect(after).To(Equal(replica.ConditionHealthy))
	})

	It("converges to the quantile of a shifted distribution within 400 samples", func() {
		quantile := replica.Quantile{Rank: 0.9}
		for _, minLatency := range []int{10, 40} {
			for i := range 400 {
				quantile.Add(time.Duration(minLatency+i%10) * time.Millisecond)
			}
			Expect(quantile.Value()).To(BeNumerically("~", time.Duration(minLatency+9)*time.Millisecond, 3*time.Millisecond))
		}
	})
})
