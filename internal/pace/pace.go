// Package pace limits the share of requests that an upstream gets after it has started or recovered. Such an upstream may still be slow,
// and all entry VMs would return to it at once. It performs no I/O; time and random draws are arguments.
package pace

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Outcome is what a request says about an upstream.
type Outcome int

// The outcomes of a request.
const (
	// Answered means that a complete response arrived.
	Answered Outcome = iota
	// Failed means that the request failed or that no connection could be made.
	Failed
	// Refused means that the upstream did not run the request.
	Refused
	// Silent means that the request was given up long after the usual response time.
	Silent
)

// Reason is why a slow start began.
type Reason string

// The reasons for a slow start.
const (
	// ReasonStarted means that the process is new, ReasonRecovered that it answers again, and ReasonRelayed that another entry VM reported
	// its share.
	ReasonStarted   Reason = "started"
	ReasonRecovered Reason = "recovered"
	ReasonRelayed   Reason = "relayed"
)

const (
	// minShare is the share after a long outage and after a slow response. It lets one VM in ten observe the upstream with its next
	// request.
	minShare = 0.1
	// holdTime is how long the share stays as it is after an outage was last seen, and slowHoldTime after a slow response. riseTime is the
	// time in which it then rises from minShare to 1. An upstream must carry 0.9 of its share 5 s after it has its usual speed back.
	// With shorter holds VMs return to an upstream that is still slow, and lose as many requests as without slow start.
	holdTime     = time.Second
	slowHoldTime = 2500 * time.Millisecond
	riseTime     = 1200 * time.Millisecond
	// startShare and startRise apply to a new process, which mostly works, if slower. Less would overload the other upstreams.
	startShare = 0.2
	startRise  = 3500 * time.Millisecond
	// goodRatio and slowRatio are the multiples of the usual response time up to which a response raises the share, and from which it
	// lowers it. Responses in between change nothing.
	goodRatio = 1.5
	slowRatio = 2.5
	// goodFactor and slowFactor change the share after such a response. outageFactor is the share after a single failure; each further one
	// in a row multiplies it.
	goodFactor   = 10
	slowFactor   = 0.1
	outageFactor = 0.5
	// refusalsInRow and silencesInRow are the numbers of refusals and of silent requests without a response in between from which they
	// count as an outage. Busy upstreams refuse single requests, and upstreams pause for up to 200 ms.
	refusalsInRow = 3
	silencesInRow = 2
	// probation is how long after the last change of its share an upstream is observed as one that has just returned: slow responses
	// lower its share.
	probation = 10 * time.Second
	// persistentSlow is the number of slow responses in a row from which the tracker of latencies keeps its usual memory beside the share.
	persistentSlow = 2
	// maxColdRise bounds the rise time of an upstream that expects a long cold start.
	maxColdRise = 30 * time.Second
)

// state is what is known of one upstream.
type state struct {
	// value is the share at the time at. It stays for hold and then rises at a rate that takes rise from minShare to 1.
	value float64
	at    time.Time
	rise  time.Duration
	hold  time.Duration
	// evidenceAt is the time of the last observation that changed the share.
	evidenceAt time.Time
	// reason and since describe the slow start. active is set from its begin until the share was seen to be full.
	reason Reason
	since  time.Time
	active bool
	// outage is the number of bad results without a response in between, and refusals and silences those that do not count yet.
	outage, refusals, silences int
	// slow is the number of slow responses in a row.
	slow int
	// announced is set if Changes has reported the begin of the slow start.
	announced bool
}

// Controller holds the shares of upstreams. It is not safe for concurrent use.
type Controller struct {
	upstreams map[string]*state
}

// New returns a controller at which all upstreams have their full share.
func New() *Controller { return &Controller{upstreams: map[string]*state{}} }

// Empty reports whether every upstream has its full share.
func (c *Controller) Empty() bool { return len(c.upstreams) == 0 }

func (c *Controller) state(id string) *state {
	s, ok := c.upstreams[id]
	if !ok {
		s = &state{value: 1, rise: riseTime, hold: holdTime}
		c.upstreams[id] = s
	}
	return s
}

// Started records that a new process of the upstream has started, which expects to be cold for a time.
func (c *Controller) Started(now time.Time, id string, coldFor time.Duration) {
	s := c.state(id)
	*s = state{rise: min(max(startRise, coldFor), maxColdRise)}
	s.begin(now, startShare, ReasonStarted)
}

// begin starts a slow start, or begins it again with a lower share.
func (s *state) begin(now time.Time, share float64, reason Reason) {
	if !s.active {
		s.active, s.reason, s.since, s.announced = true, reason, now, false
	}
	s.set(now, share)
}

func (s *state) set(now time.Time, share float64) {
	s.value, s.at, s.evidenceAt = min(max(share, minShare), 1), now, now
}

// share returns the share at a time. It grows exponentially, so that the load of an upstream that is still slow rises gently.
func (s *state) share(now time.Time) float64 {
	if s.value >= 1 {
		return 1
	}
	elapsed := max(0, now.Sub(s.at)-s.hold)
	return min(1, s.value*math.Pow(1/minShare, float64(elapsed)/float64(s.rise)))
}

// Share returns the share of its usual requests that the upstream should get, from above 0 to 1.
func (c *Controller) Share(now time.Time, id string) float64 {
	s, ok := c.upstreams[id]
	if !ok {
		return 1
	}
	return s.share(now)
}

// limits reports whether the share of the upstream is below 1 or has changed within probation.
func (c *Controller) limits(now time.Time, id string) bool {
	s, ok := c.upstreams[id]
	return ok && !s.at.IsZero() && (now.Sub(s.at) < probation || s.share(now) < 1)
}

// replacesMemory reports whether the share takes the place of older latencies of the upstream.
func (c *Controller) replacesMemory(now time.Time, id string) bool {
	return c.limits(now, id) && c.upstreams[id].slow < persistentSlow
}

// Observe records the end of a request to the upstream: the time that it took, and the usual time, 0 if that is not known.
func (c *Controller) Observe(now time.Time, id string, outcome Outcome, took, expected time.Duration) {
	s, known := c.upstreams[id]
	if outcome == Answered {
		if known {
			s.answered(now, took, expected)
		}
		return
	}
	if !known {
		s = c.state(id)
	}
	s.bad(now, outcome)
}

// bad lowers the share at once. After an outage the share starts the lower the longer the outage was, as far as this VM has seen it.
func (s *state) bad(now time.Time, outcome Outcome) {
	s.evidenceAt = now
	switch outcome {
	case Refused:
		if s.refusals++; s.refusals < refusalsInRow && s.outage == 0 {
			return
		}
	case Silent:
		if s.silences++; s.silences < silencesInRow && s.outage == 0 {
			return
		}
	}
	s.outage++
	s.hold = holdTime
	s.begin(now, min(s.share(now)*slowFactor, s.shareAfterOutage()), ReasonRecovered)
}

// shareAfterOutage returns the share with which an upstream returns.
func (s *state) shareAfterOutage() float64 {
	return max(minShare, math.Pow(outageFactor, float64(s.outage)))
}

func (s *state) answered(now time.Time, took, expected time.Duration) {
	if s.outage > 0 {
		s.hold = holdTime
		s.begin(now, min(s.shareAfterOutage(), s.share(now)), ReasonRecovered)
	}
	s.outage, s.refusals, s.silences = 0, 0, 0
	if s.at.IsZero() || expected <= 0 {
		return
	}
	switch ratio := float64(took) / float64(expected); {
	case ratio >= slowRatio:
		s.slow++
		s.hold = slowHoldTime
		s.begin(now, s.share(now)*slowFactor, cmp.Or(s.reason, ReasonRecovered))
	case ratio <= goodRatio && s.share(now) < 1:
		s.hold, s.slow = 0, 0
		s.set(now, s.share(now)*goodFactor)
	}
}

// Adopt takes over the share that another entry VM, which sends more requests to the upstream, had at a time. It is ignored if this VM
// has observed something later.
func (c *Controller) Adopt(now, at time.Time, id string, share float64) {
	if share >= 1 || share <= 0 || math.IsNaN(share) || at.After(now) {
		return
	}
	s := c.state(id)
	if at.Before(s.evidenceAt) {
		return
	}
	s.begin(at, share, ReasonRelayed)
}

// Forgive ends all slow starts that began with observations, because those were due to this VM's own links.
func (c *Controller) Forgive() {
	for id, s := range c.upstreams {
		if s.reason != ReasonStarted {
			delete(c.upstreams, id)
		}
	}
}

// Retain drops every upstream for which keep returns false.
func (c *Controller) Retain(keep func(id string) bool) {
	for id := range c.upstreams {
		if !keep(id) {
			delete(c.upstreams, id)
		}
	}
}

// Below is an upstream whose share is below 1.
type Below struct {
	ID     string
	Share  float64
	Reason Reason
	Since  time.Time
}

// Below returns the upstreams whose share is below 1, ordered by ID.
func (c *Controller) Below(now time.Time) []Below {
	var all []Below
	for id, s := range c.upstreams {
		if share := s.share(now); share < 1 {
			all = append(all, Below{ID: id, Share: share, Reason: s.reason, Since: s.since})
		}
	}
	slices.SortFunc(all, func(a, b Below) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// Change is the begin or the end of a slow start.
type Change struct {
	Below
	Ended bool
}

// Changes returns the slow starts that began or ended since the last call, and forgets upstreams of which nothing matters any more.
func (c *Controller) Changes(now time.Time) []Change {
	var all []Change
	for id, s := range c.upstreams {
		share := s.share(now)
		if s.active && !s.announced {
			s.announced = true
			all = append(all, Change{Below: Below{ID: id, Share: share, Reason: s.reason, Since: s.since}})
		}
		if s.active && share >= 1 {
			s.active = false
			all = append(all, Change{Below: Below{ID: id, Share: 1, Reason: s.reason, Since: s.since}, Ended: true})
		}
		if !s.active && now.Sub(s.evidenceAt) > probation+s.rise {
			delete(c.upstreams, id)
		}
	}
	slices.SortFunc(all, func(a, b Change) int { return cmp.Compare(a.ID, b.ID) })
	return all
}
