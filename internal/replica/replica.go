// Package replica chooses an upstream for a request from what one entry VM observes: latencies relative to the usual
// one of the route, requests in flight and failures. It is designed for services with few replicas that pause briefly.
// It performs no I/O, and time is an argument.
package replica

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Result is how a request at an upstream ended.
type Result int

// The results of a request.
const (
	// Answered means that a complete response arrived, whatever its content.
	Answered Result = iota
	// Failed means that the upstream responded with a server error or that the connection broke.
	Failed
	// Unreachable means that no connection could be made.
	Unreachable
	// Refused means that the upstream is at capacity or draining and did not run the request.
	Refused
	// Misdirected means that another process listens on the address.
	Misdirected
	// Abandoned means that the caller stopped waiting for the response.
	Abandoned
	// Unknown means that the result was lost between two entry VMs. It says nothing about the upstream.
	Unknown
	// Declined means that another entry VM did not send the request because it considers the upstream degraded.
	Declined
)

// String returns the name of the result for logs.
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
	// latencyWeight is the weight of one observation in the moving average of the latency ratio.
	latencyWeight = 0.2
	// latencyDecay is the time constant with which the latency ratio of an upstream without observations returns to 1, so
	// that an upstream that was slow for a moment is chosen and observed again.
	latencyDecay = 2 * time.Second
	// pacedLatencyDecay replaces latencyDecay for upstreams whose share is limited, which takes the same observations into account. With
	// latencyDecay an upstream would carry 0.9 of its share only 6 s after it has its usual speed back.
	pacedLatencyDecay = 700 * time.Millisecond
	// crossDomainPenalty is the share of the usual latency by which an upstream in another failure domain must be faster
	// to be chosen: traffic between failure domains costs money and about a millisecond.
	crossDomainPenalty = 0.5
	// stallFactor and stallFloor set the age from which a request in flight shows that the upstream has stalled:
	// stallFactor is a multiple of the expected latency, stallFloor the minimum.
	stallFactor = 3.0
	stallFloor  = 15 * time.Millisecond
	// stallPenalty, errorPenalty and backoffPenalty rank stalled, failing and unreachable upstreams behind healthy ones,
	// whatever their latency.
	stallPenalty   = 10.0
	errorPenalty   = 20.0
	backoffPenalty = 100.0
	// errorWeight is the weight of one result in the error rate and in the refusal rate, errorDecay the time constant with
	// which both decay.
	errorWeight = 0.25
	// refusalPenalty is the cost of an upstream that refuses every request: a refusal takes a round trip and a token of
	// the retry budget.
	refusalPenalty = 4.0
	// maxInFlightPenalty ranks an upstream at which this VM has used up its share of the connections behind all others
	// that have not stalled.
	maxInFlightPenalty = 6.0
	errorDecay         = 4 * time.Second
	// coldPenalty is the extra latency of an upstream that reports that it is cold.
	coldPenalty = 0.6
	// refusedBackoff is shorter than the time that a queue takes to drain. The backoff of an unreachable upstream doubles
	// from minBackoff to maxBackoff, since a restart takes seconds.
	refusedBackoff     = 60 * time.Millisecond
	minBackoff         = 50 * time.Millisecond
	maxBackoff         = 2 * time.Second
	misdirectedBackoff = 2 * time.Second
	// degradedCost is the multiple of the usual latency from which a second round trip to another upstream pays off.
	degradedCost = 2.0
	// minStallBackoff and maxStallBackoff bound how long an upstream counts as stalled after a request to it was abandoned
	// without a response. The time doubles with each such request in a row. Pauses last up to 200 ms, outages seconds.
	minStallBackoff = 80 * time.Millisecond
	maxStallBackoff = time.Second
)

// Candidate is an upstream that may serve a request.
type Candidate struct {
	ID    string
	Slots int
	// Local is set if the upstream is in the failure domain of this VM.
	Local bool
	// MaxInFlight is the number of requests that this VM may have in flight there; 0 means no limit.
	MaxInFlight int
	// ColdUntil is the time until which the upstream reports itself as cold.
	ColdUntil time.Time
	// Paced is set if the share of requests that the upstream gets is limited by what it was observed to do.
	Paced bool
}

// request is a request in flight.
type request struct {
	id       uint64
	sentAt   time.Time
	expected time.Duration
}

// stats holds the observations of one upstream. The averages decay from the time of their last update.
type stats struct {
	// ratio is the moving average of the latency relative to the expected one.
	ratio      float64
	ratioAt    time.Time
	errors     float64
	errorsAt   time.Time
	refusals   float64
	refusalsAt time.Time
	backoff    time.Duration
	// backoffUntil is the end of the backoff after a request that was refused, misdirected or found no connection.
	backoffUntil time.Time
	stallBackoff time.Duration
	// stalledUntil is the time until which the upstream counts as stalled.
	stalledUntil time.Time
	// inFlight holds the requests in the order in which they were sent. There are few, and each choice reads them.
	inFlight []request
	// condition is the result of the last UpdateCondition.
	condition Condition
}

// Tracker holds the observations of one entry VM. It is not safe for concurrent use.
type Tracker struct {
	random    *rand.Rand
	upstreams map[string]*stats
	nextID    uint64
}

// New returns a tracker whose random choices are reproducible from the seed.
func New(seed uint64) *Tracker {
	return &Tracker{random: rand.New(rand.NewPCG(seed, seed)), upstreams: map[string]*stats{}}
}

func (t *Tracker) stats(id string) *stats {
	s, ok := t.upstreams[id]
	if !ok {
		s = &stats{ratio: 1}
		t.upstreams[id] = s
	}
	return s
}

// unobserved are the observations of an upstream without any. They are not changed.
var unobserved = &stats{ratio: 1}

// peek returns the observations of the upstream without recording that it exists.
func (t *Tracker) peek(id string) *stats {
	if s, ok := t.upstreams[id]; ok {
		return s
	}
	return unobserved
}

// Reader returns a tracker with the same observations and random choices of its own. Choices and costs that are read from it
// change neither the observations nor later choices.
func (t *Tracker) Reader() *Tracker {
	return &Tracker{random: rand.New(rand.NewPCG(0, 0)), upstreams: t.upstreams}
}

// Retain drops every upstream for which keep returns false and that has no request in flight.
func (t *Tracker) Retain(keep func(id string) bool) {
	for id, s := range t.upstreams {
		if !keep(id) && len(s.inFlight) == 0 {
			delete(t.upstreams, id)
		}
	}
}

// Sent records a request and returns its ID for Done. The expected latency is the usual one of the route.
func (t *Tracker) Sent(now time.Time, id string, expected time.Duration) uint64 {
	t.nextID++
	s := t.stats(id)
	s.inFlight = append(s.inFlight, request{id: t.nextID, sentAt: now, expected: expected})
	return t.nextID
}

// Done records the result of a request. A second result for the same ID is ignored.
func (t *Tracker) Done(now time.Time, id string, requestID uint64, result Result) {
	s := t.stats(id)
	index := slices.IndexFunc(s.inFlight, func(r request) bool { return r.id == requestID })
	if index < 0 {
		return
	}
	r := s.inFlight[index]
	s.inFlight = slices.Delete(s.inFlight, index, index+1)
	switch result {
	case Answered:
		s.recordOutcome(now, r, 1)
		s.backoff, s.stallBackoff = 0, 0
		s.backoffUntil, s.stalledUntil = time.Time{}, time.Time{}
	case Failed:
		s.recordOutcome(now, r, 0)
	case Unreachable:
		s.backoff = min(max(2*s.backoff, minBackoff), maxBackoff)
		s.backoffUntil = now.Add(s.backoff)
	case Refused:
		s.recordRefusal(now, 1)
		s.backoffUntil = now.Add(refusedBackoff)
	case Misdirected:
		s.backoffUntil = now.Add(misdirectedBackoff)
	case Abandoned:
		s.recordAbandoned(now, r)
	}
}

// recordRefusal updates the refusal rate: refused is 1 for a refusal and 0 for a request that the upstream accepted.
func (s *stats) recordRefusal(now time.Time, refused float64) {
	s.refusals = s.refusalRate(now)*(1-errorWeight) + refused*errorWeight
	s.refusalsAt = now
}

func (s *stats) refusalRate(now time.Time) float64 {
	if s.refusals == 0 {
		return 0
	}
	return s.refusals * math.Exp(-float64(now.Sub(s.refusalsAt))/float64(errorDecay))
}

func (s *stats) recordOutcome(now time.Time, r request, success float64) {
	s.recordRefusal(now, 0)
	s.errors = s.errorRate(now)*(1-errorWeight) + (1-success)*errorWeight
	s.errorsAt = now
	if success > 0 {
		s.recordLatency(now, now.Sub(r.sentAt), r.expected)
	}
}

// recordAbandoned updates the latency from an abandoned request if it had already taken longer than expected, since its
// age is a lower bound of the latency. An overdue request starts the stall backoff or doubles it.
func (s *stats) recordAbandoned(now time.Time, r request) {
	age := now.Sub(r.sentAt)
	if age > r.expected {
		s.recordLatency(now, age, r.expected)
	}
	if r.overdue(now) {
		s.stallBackoff = min(max(2*s.stallBackoff, minStallBackoff), maxStallBackoff)
		s.stalledUntil = now.Add(s.stallBackoff)
	}
}

// Overdue reports whether a request that has taken so long shows that its upstream has probably stalled.
func Overdue(age, expected time.Duration) bool {
	return age > stallFloor && float64(age) > stallFactor*float64(expected)
}

// overdue reports whether the request has taken so long that its upstream has probably stalled.
func (r request) overdue(now time.Time) bool {
	return Overdue(now.Sub(r.sentAt), r.expected)
}

func (s *stats) recordLatency(now time.Time, latency, expected time.Duration) {
	if expected <= 0 {
		return
	}
	sample := math.Min(float64(latency)/float64(expected), stallPenalty)
	s.ratio = s.latencyRatio(now)*(1-latencyWeight) + sample*latencyWeight
	s.ratioAt = now
}

// latencyRatio returns the latency relative to the usual one of the route. It decays to 1 without observations.
func (s *stats) latencyRatio(now time.Time) float64 { return s.latencyRatioAfter(now, latencyDecay) }

func (s *stats) latencyRatioAfter(now time.Time, constant time.Duration) float64 {
	if s.ratio == 1 {
		return 1
	}
	decay := math.Exp(-float64(now.Sub(s.ratioAt)) / float64(constant))
	return 1 + (s.ratio-1)*decay
}

func (s *stats) errorRate(now time.Time) float64 {
	if s.errors == 0 {
		return 0
	}
	return s.errors * math.Exp(-float64(now.Sub(s.errorsAt))/float64(errorDecay))
}

func (s *stats) stalled(now time.Time) bool {
	if now.Before(s.stalledUntil) {
		return true
	}
	for _, r := range s.inFlight {
		if r.overdue(now) {
			return true
		}
	}
	return false
}

// Forgive ends all backoffs and forgets failures and stalls. Latencies are kept.
func (t *Tracker) Forgive() {
	for _, s := range t.upstreams {
		s.errors, s.refusals, s.backoff, s.stallBackoff = 0, 0, 0, 0
		s.backoffUntil, s.stalledUntil = time.Time{}, time.Time{}
	}
}

// RecordPeerCost records the cost of an upstream as another entry VM observes it, in multiples of the usual latency.
func (t *Tracker) RecordPeerCost(now time.Time, id string, cost float64) {
	s := t.stats(id)
	s.ratio = math.Max(s.latencyRatio(now), math.Min(cost, stallPenalty))
	s.ratioAt = now
}

// Degraded returns the cost of an upstream and whether it is so high that another upstream should be tried instead.
func (t *Tracker) Degraded(now time.Time, id string) (cost float64, bad bool) {
	cost = t.peek(id).healthCost(now)
	return cost, cost >= degradedCost
}

// healthCost returns the part of the cost that is the same for every entry VM that sends to the upstream.
func (s *stats) healthCost(now time.Time) float64 {
	cost := s.latencyRatio(now) + errorPenalty*s.errorRate(now)
	if s.stalled(now) {
		cost += stallPenalty
	}
	if now.Before(s.backoffUntil) {
		cost += backoffPenalty
	}
	return cost
}

// InFlight returns the number of requests in flight at the upstream.
func (t *Tracker) InFlight(id string) int { return len(t.peek(id).inFlight) }

// Cost estimates the latency of one more request, in multiples of the usual latency of the route.
func (t *Tracker) Cost(now time.Time, c Candidate) float64 { return t.cost(now, c) }

// cost estimates the latency of one more request, in multiples of the usual latency of the route.
func (t *Tracker) cost(now time.Time, c Candidate) float64 {
	s := t.peek(c.ID)
	slots := math.Max(1, float64(c.Slots))
	waiting := math.Max(0, float64(len(s.inFlight))+1-slots) / slots
	cost := s.healthCost(now)
	if waiting > 0 {
		cost += s.latencyRatio(now) * waiting
	}
	cost += refusalPenalty * s.refusalRate(now)
	if c.Paced {
		cost += (s.latencyRatioAfter(now, pacedLatencyDecay) - s.latencyRatio(now)) * (1 + waiting)
	}
	if c.MaxInFlight > 0 && len(s.inFlight) >= c.MaxInFlight {
		cost += maxInFlightPenalty
	}
	if !c.Local {
		cost += crossDomainPenalty
	}
	if now.Before(c.ColdUntil) {
		cost += coldPenalty
	}
	return cost
}

// Choose returns the index of the candidate with the lowest cost that is not excluded, or -1 if there is none. Ties are
// broken at random.
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

// Stalled reports whether the upstream has stalled or is in backoff.
func (t *Tracker) Stalled(now time.Time, id string) bool {
	s := t.peek(id)
	return s.stalled(now) || now.Before(s.backoffUntil)
}
