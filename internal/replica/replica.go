// Package replica chooses an upstream for a request from what one entry VM observes: answer times relative to other
// upstreams, requests in flight and failures. It is made for services of few replicas that pause for moments. It
// performs no I/O, and time is an argument.
package replica

import (
	"math"
	"math/rand/v2"
	"time"
)

// Result is how a request at an upstream ended.
type Result int

// The results of a request.
const (
	// Answered is a complete answer, whatever it says.
	Answered Result = iota
	// Failed is an answer that tells of a fault of the upstream, or a broken connection.
	Failed
	// Unreachable means that no connection could be made.
	Unreachable
	// Refused means that the upstream is full or leaving and did not run the request.
	Refused
	// Misdirected means that another process has the address.
	Misdirected
	// Abandoned means that the answer was not awaited.
	Abandoned
	// Unknown means that the result was lost between two entry VMs. It says nothing about the upstream.
	Unknown
	// Declined means that another VM did not send the request, because it knows the upstream to be in a bad condition.
	Declined
)

// String returns the result as it is logged.
func (r Result) String() string {
	switch r {
	case Answered:
		return "answered"
	case Failed:
		return "failed"
	case Unreachable:
		return "unreachable"
	case Refused:
		return "refused"
	case Misdirected:
		return "misdirected"
	case Unknown:
		return "unknown"
	case Declined:
		return "declined"
	default:
		return "abandoned"
	}
}

const (
	// speedShare is the weight of one observation in the decaying mean of the relative answer time.
	speedShare = 0.2
	// speedMemory is the time after which an upstream without observations counts as average again, so that one that was
	// slow for a moment is chosen and observed again.
	speedMemory = 2 * time.Second
	// crossDomainPenalty is the share by which an upstream of another failure domain must be faster to be chosen:
	// traffic between failure domains costs money and about a millisecond.
	crossDomainPenalty = 0.5
	// stuckFactor and stuckFloor tell from which age, as a multiple of the expected answer time, a request in flight shows
	// that the upstream stands still.
	stuckFactor = 3.0
	stuckFloor  = 15 * time.Millisecond
	// stuckPenalty, errorPenalty and backoffPenalty order upstreams that stand still, fail and cannot be reached behind
	// sound ones, whatever their speed.
	stuckPenalty   = 10.0
	errorPenalty   = 20.0
	backoffPenalty = 100.0
	errorShare     = 0.25
	// refusalPenalty is the cost of an upstream that refuses every request: a refusal takes a round trip and a token of
	// the retry budget.
	refusalPenalty = 4.0
	// crowdedPenalty orders an upstream at which this VM has as many requests as its part of the connections behind
	// others that do not stand still.
	crowdedPenalty = 6.0
	errorMemory    = 4 * time.Second
	// coldPenalty is the extra answer time of an upstream that says it is cold.
	coldPenalty = 0.6
	// refusedBackoff is shorter than a queue takes to empty. A restart takes seconds: the backoff of an unreachable
	// upstream doubles from minBackoff to maxBackoff.
	refusedBackoff     = 60 * time.Millisecond
	minBackoff         = 50 * time.Millisecond
	maxBackoff         = 2 * time.Second
	misdirectedBackoff = 2 * time.Second
	// badCost is the multiple of the usual answer time from which a second round trip to find another upstream pays.
	badCost = 2.0
	// minSilence and maxSilence bound how long an upstream counts as standing still after a request to it was given up
	// without an answer; the time doubles with each such request in a row. Pauses last up to 200 ms, losses seconds.
	minSilence = 80 * time.Millisecond
	maxSilence = time.Second
)

// Candidate is an upstream that may serve a request.
type Candidate struct {
	ID    string
	Slots int
	// Local is set if the upstream is in the failure domain of this VM.
	Local bool
	// MaxInFlight is how many requests this VM may have there at once, 0 for any number.
	MaxInFlight int
	// ColdUntil is when the upstream said that it becomes warm.
	ColdUntil time.Time
}

type flight struct {
	sent     time.Time
	expected time.Duration
}

type stats struct {
	speed     float64
	observed  time.Time
	errors    float64
	failedAt  time.Time
	refusals  float64
	refusedAt time.Time
	backoff   time.Duration
	downUntil time.Time
	silence   time.Duration
	// silentUntil is until when the upstream counts as standing still.
	silentUntil time.Time
	inFlight    map[uint64]flight
	// condition is the one that was reported last.
	condition Condition
}

// Tracker holds the observations of one VM. It is not safe for concurrent use.
type Tracker struct {
	random    *rand.Rand
	upstreams map[string]*stats
	nextID    uint64
}

// New returns a tracker; the seed makes its choices reproducible.
func New(seed uint64) *Tracker {
	return &Tracker{random: rand.New(rand.NewPCG(seed, seed)), upstreams: map[string]*stats{}}
}

func (t *Tracker) stats(id string) *stats {
	s, ok := t.upstreams[id]
	if !ok {
		s = &stats{speed: 1, inFlight: map[uint64]flight{}}
		t.upstreams[id] = s
	}
	return s
}

// Retain forgets every upstream that is not kept and has no request in flight.
func (t *Tracker) Retain(keep func(id string) bool) {
	for id, s := range t.upstreams {
		if !keep(id) && len(s.inFlight) == 0 {
			delete(t.upstreams, id)
		}
	}
}

// Sent records a request and returns its ticket for Done. Expected is the usual answer time of its route.
func (t *Tracker) Sent(now time.Time, id string, expected time.Duration) uint64 {
	t.nextID++
	t.stats(id).inFlight[t.nextID] = flight{sent: now, expected: expected}
	return t.nextID
}

// Done records the result of a request.
func (t *Tracker) Done(now time.Time, id string, ticket uint64, result Result) {
	s := t.stats(id)
	f, ok := s.inFlight[ticket]
	if !ok {
		return
	}
	delete(s.inFlight, ticket)
	switch result {
	case Answered:
		s.observe(now, f, 1)
		s.backoff, s.silence = 0, 0
		s.downUntil, s.silentUntil = time.Time{}, time.Time{}
	case Failed:
		s.observe(now, f, 0)
	case Unreachable:
		s.backoff = min(max(2*s.backoff, minBackoff), maxBackoff)
		s.downUntil = now.Add(s.backoff)
	case Refused:
		s.noteRefusal(now, 1)
		s.downUntil = now.Add(refusedBackoff)
	case Misdirected:
		s.downUntil = now.Add(misdirectedBackoff)
	case Abandoned:
		s.abandon(now, f)
	}
}

// noteRefusal records whether the upstream took a request, 1 for a refusal.
func (s *stats) noteRefusal(now time.Time, refused float64) {
	s.refusals = s.refusalRate(now)*(1-errorShare) + refused*errorShare
	s.refusedAt = now
}

func (s *stats) refusalRate(now time.Time) float64 {
	return s.refusals * math.Exp(-float64(now.Sub(s.refusedAt))/float64(errorMemory))
}

func (s *stats) observe(now time.Time, f flight, success float64) {
	s.noteRefusal(now, 0)
	s.errors = s.errorRate(now)*(1-errorShare) + (1-success)*errorShare
	s.failedAt = now
	if success > 0 {
		s.learn(now, now.Sub(f.sent), f.expected)
	}
}

// abandon learns from a request that was given up only if it had taken longer than expected.
func (s *stats) abandon(now time.Time, f flight) {
	age := now.Sub(f.sent)
	if age > f.expected {
		s.learn(now, age, f.expected)
	}
	if f.overdue(now) {
		s.silence = min(max(2*s.silence, minSilence), maxSilence)
		s.silentUntil = now.Add(s.silence)
	}
}

// overdue reports whether a request takes so long that its upstream probably stands still.
func (f flight) overdue(now time.Time) bool {
	age := now.Sub(f.sent)
	return age > stuckFloor && float64(age) > stuckFactor*float64(f.expected)
}

func (s *stats) learn(now time.Time, took, expected time.Duration) {
	if expected <= 0 {
		return
	}
	ratio := math.Min(float64(took)/float64(expected), stuckPenalty)
	s.speed = s.relativeTime(now)*(1-speedShare) + ratio*speedShare
	s.observed = now
}

// relativeTime returns the answer time relative to the route's usual one, drifting back to 1 without observations.
func (s *stats) relativeTime(now time.Time) float64 {
	fade := math.Exp(-float64(now.Sub(s.observed)) / float64(speedMemory))
	return 1 + (s.speed-1)*fade
}

func (s *stats) errorRate(now time.Time) float64 {
	return s.errors * math.Exp(-float64(now.Sub(s.failedAt))/float64(errorMemory))
}

func (s *stats) stuck(now time.Time) bool {
	if now.Before(s.silentUntil) {
		return true
	}
	for _, f := range s.inFlight {
		if f.overdue(now) {
			return true
		}
	}
	return false
}

// RecordPeerCost records that another VM expects the upstream to take a multiple of the usual time.
func (t *Tracker) RecordPeerCost(now time.Time, id string, cost float64) {
	s := t.stats(id)
	s.speed = math.Max(s.relativeTime(now), math.Min(cost, stuckPenalty))
	s.observed = now
}

// Degraded reports whether an upstream is in so bad a condition that another one should be asked, and its cost.
func (t *Tracker) Degraded(now time.Time, id string) (cost float64, bad bool) {
	cost = t.condition(now, id)
	return cost, cost >= badCost
}

// condition is the cost of an upstream without what depends on the one who asks.
func (t *Tracker) condition(now time.Time, id string) float64 {
	s := t.stats(id)
	cost := s.relativeTime(now) + errorPenalty*s.errorRate(now)
	if s.stuck(now) {
		cost += stuckPenalty
	}
	if now.Before(s.downUntil) {
		cost += backoffPenalty
	}
	return cost
}

// cost estimates the answer time of one more request, in multiples of the route's usual one.
func (t *Tracker) cost(now time.Time, c Candidate) float64 {
	s := t.stats(c.ID)
	slots := math.Max(1, float64(c.Slots))
	waiting := math.Max(0, float64(len(s.inFlight))+1-slots) / slots
	cost := t.condition(now, c.ID) + s.relativeTime(now)*waiting + refusalPenalty*s.refusalRate(now)
	if c.MaxInFlight > 0 && len(s.inFlight) >= c.MaxInFlight {
		cost += crowdedPenalty
	}
	if !c.Local {
		cost += crossDomainPenalty
	}
	if now.Before(c.ColdUntil) {
		cost += coldPenalty
	}
	return cost
}

// Choose returns the index of the best candidate that is not excluded, -1 if there is none. Equal ones are drawn.
func (t *Tracker) Choose(now time.Time, candidates []Candidate, excluded func(id string) bool) int {
	best, bestCost := -1, 0.0
	if len(candidates) == 0 {
		return best
	}
	offset := t.random.IntN(len(candidates))
	for i := range candidates {
		at := (offset + i) % len(candidates)
		if excluded != nil && excluded(candidates[at].ID) {
			continue
		}
		if cost := t.cost(now, candidates[at]); best < 0 || cost < bestCost {
			best, bestCost = at, cost
		}
	}
	return best
}

// Stalled reports whether a request in flight shows that the upstream stands still or cannot be reached.
func (t *Tracker) Stalled(now time.Time, id string) bool {
	s := t.stats(id)
	return s.stuck(now) || now.Before(s.downUntil)
}
