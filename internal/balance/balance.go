// Package balance chooses replicas from what the tier observes: service times, requests in flight and queue lengths
// that owners return with each result.
package balance

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"
)

// Policy selects how a replica is chosen.
type Policy string

// The policies. Random and LeastOutstanding are baselines for comparison.
const (
	Random           Policy = "random"
	LeastOutstanding Policy = "least-outstanding"
	Observed         Policy = "observed"
)

// Valid reports whether the policy is known.
func (p Policy) Valid() bool { return p == Random || p == LeastOutstanding || p == Observed }

const (
	rampUp        = 10 * time.Second
	minRampWeight = 0.05
	// meanWindow is the time constant of the decaying mean, minMeanWeight the least weight of one observation in it.
	meanWindow    = time.Second
	minMeanWeight = 0.05
	// staleAfter and staleWindow let the mean of an upstream without observations return to the median of its peers.
	// Without that a replica that was slow for a moment would never be chosen, hence never be observed again.
	staleAfter    = time.Second
	staleWindow   = 3 * time.Second
	outlierFactor = 3.0
	// probeInterval is the time between probes of an outlier by its owner, whose observations reach all entry VMs. The
	// other entry VMs probe rarely, in case the owner gets no query for the service. Frequent probes by all of them used
	// up the hedge budget.
	probeInterval      = time.Second
	otherProbeInterval = 10 * time.Second
	failurePenalty     = time.Second
	// tieTolerance is the relative difference of two expected completion times below which the reported load decides.
	tieTolerance = 0.1
	// sameFactor is the ratio of two means below which two upstreams count as equally fast. All entry VMs share the
	// owners' observations, so that small differences would send all of them to the same replica.
	sameFactor     = 2.0
	defaultService = 5 * time.Millisecond
	medianMaxAge   = 50 * time.Millisecond
	slowQuantile   = 0.95
	minSamples     = 50
	minHedgeDelay  = time.Millisecond
)

// Candidate is a replica that can serve a shard.
type Candidate struct {
	Name          string
	Service       string
	FailureDomain string
	Slots         int
	// Owned is set if this entry VM sends to the upstream itself.
	Owned bool
	// ReportedLoad is the load that the upstream claims. It lags, so it only breaks ties.
	ReportedLoad float64
}

// Observation is what the result of a sub-request tells about its upstream.
type Observation struct {
	// Service is the time on the upstream; zero means that the request did not run there.
	Service time.Duration
	// Backlog is the number of requests running or queued at the owner when the result left it.
	Backlog int
	// Failed marks a failure of the upstream itself.
	Failed bool
}

type request struct {
	upstream string
	sent     time.Time
	// wait is the expected wait for a slot when the request was sent.
	wait time.Duration
}

type stats struct {
	service      string
	firstSeen    time.Time
	mean         float64
	observed     time.Time
	times        histogram
	reported     int
	reportedAt   time.Time
	inFlight     map[uint64]time.Time
	lastProbe    time.Time
	failingUntil time.Time
}

type group struct {
	members   []string
	latencies histogram
	p95       time.Duration
	samples   int
}

// Tracker holds the observations of one entry VM. It is not safe for concurrent use.
type Tracker struct {
	policy    Policy
	random    *rand.Rand
	upstreams map[string]*stats
	groups    map[string]*group
	requests  map[uint64]request
	medians   map[string]median
	// pauseProbes is set while the budget has no tokens to hedge probes.
	pauseProbes bool
}

type median struct {
	value float64
	at    time.Time
}

// New returns a tracker; the seed makes its choices reproducible.
func New(policy Policy, seed uint64) *Tracker {
	return &Tracker{
		policy:    policy,
		random:    rand.New(rand.NewPCG(seed, seed)),
		upstreams: map[string]*stats{},
		groups:    map[string]*group{},
		requests:  map[uint64]request{},
		medians:   map[string]median{},
	}
}

func (t *Tracker) stats(now time.Time, c Candidate) *stats {
	known, ok := t.upstreams[c.Name]
	if !ok {
		known = &stats{service: c.Service, firstSeen: now, inFlight: map[uint64]time.Time{}}
		t.upstreams[c.Name] = known
		g := t.group(c.Service)
		g.members = append(g.members, c.Name)
	}
	return known
}

func (t *Tracker) group(service string) *group {
	g, ok := t.groups[service]
	if !ok {
		g = &group{}
		t.groups[service] = g
	}
	return g
}

// Forget drops an upstream that left or restarted, so that a new instance ramps up again.
func (t *Tracker) Forget(name string) {
	known, ok := t.upstreams[name]
	if !ok {
		return
	}
	for id := range known.inFlight {
		delete(t.requests, id)
	}
	delete(t.upstreams, name)
	delete(t.medians, name)
	g := t.group(known.service)
	for i, member := range g.members {
		if member == name {
			g.members = append(g.members[:i], g.members[i+1:]...)
			return
		}
	}
}

// Sent records a sub-request to an upstream.
func (t *Tracker) Sent(now time.Time, id uint64, c Candidate) {
	s := t.stats(now, c)
	t.requests[id] = request{upstream: c.Name, sent: now, wait: t.Wait(now, c)}
	s.inFlight[id] = now
}

// Done records the result of a sub-request. A second result of the same one is ignored.
func (t *Tracker) Done(now time.Time, id uint64, o Observation) {
	s, r, ok := t.take(id)
	if !ok {
		return
	}
	s.reported = o.Backlog
	s.reportedAt = now
	if o.Failed {
		s.failingUntil = now.Add(failurePenalty)
		return
	}
	if o.Service > 0 {
		s.observe(now, o.Service)
		t.group(s.service).add(now.Sub(r.sent))
	}
}

// Abandon records the cancellation of a sub-request. Its age is a lower bound of its service time, which is how a slow
// upstream is noticed although hedges always win against it.
func (t *Tracker) Abandon(now time.Time, id uint64) {
	s, r, ok := t.take(id)
	if !ok {
		return
	}
	age := now.Sub(r.sent)
	if running := age - r.wait; s.mean > 0 && float64(running) > s.mean {
		s.observe(now, running)
	}
	if g := t.group(s.service); age > g.p95 {
		g.add(age)
	}
}

func (t *Tracker) take(id uint64) (*stats, request, bool) {
	r, ok := t.requests[id]
	if !ok {
		return nil, r, false
	}
	delete(t.requests, id)
	s := t.upstreams[r.upstream]
	delete(s.inFlight, id)
	return s, r, true
}

func (s *stats) observe(now time.Time, service time.Duration) {
	s.times.add(service)
	weight := math.Max(minMeanWeight, 1-math.Exp(-now.Sub(s.observed).Seconds()/meanWindow.Seconds()))
	if s.mean == 0 {
		weight = 1
	}
	s.mean += weight * (float64(service) - s.mean)
	s.observed = now
}

func (g *group) add(latency time.Duration) {
	g.latencies.add(latency)
	g.samples++
	if g.samples%minSamples == 0 {
		g.p95 = g.latencies.quantile(slowQuantile)
	}
}

// HedgeDelay returns how long a request to the upstream may take before a hedge: the p95 of the service's sub-requests,
// but no longer than three times the mean of its fastest upstream. While a replica is slow, the p95 is that of the slow
// replica, and a service with little traffic has no p95 yet. A probe of an outlier is hedged at once, so that no query
// pays for it. False means that nothing is known of the service.
//
// With a scarce budget, the p95 does not count: what is left is for requests that are far slower than usual.
func (t *Tracker) HedgeDelay(now time.Time, c Candidate, scarce bool) (time.Duration, bool) {
	g := t.group(c.Service)
	limit := time.Duration(outlierFactor * t.fastest(g))
	if limit == 0 {
		return 0, false
	}
	if t.Outlier(now, c) {
		return minHedgeDelay, true
	}
	if g.p95 > 0 && !scarce {
		limit = min(limit, g.p95)
	}
	return max(limit, minHedgeDelay), true
}

// fastest returns the smallest mean service time among the upstreams of a service.
func (t *Tracker) fastest(g *group) float64 {
	smallest := 0.0
	for _, member := range g.members {
		if mean := t.upstreams[member].mean; mean > 0 && (smallest == 0 || mean < smallest) {
			smallest = mean
		}
	}
	return smallest
}

// Report records what the owner of an upstream knows of it from the requests of all entry VMs. A zero service time means
// that the owner has not observed one.
func (t *Tracker) Report(now time.Time, name string, backlog int, service, age time.Duration) {
	s, ok := t.upstreams[name]
	if !ok {
		return
	}
	s.reported = backlog
	s.reportedAt = now
	if service > 0 {
		s.mean = float64(service)
		s.observed = now.Add(-age)
	}
}

// peerMedian returns the median of the means of the other upstreams of the service; zero without observations.
func (t *Tracker) peerMedian(now time.Time, name string, s *stats) float64 {
	if cached, ok := t.medians[name]; ok && now.Sub(cached.at) < medianMaxAge {
		return cached.value
	}
	var means []float64
	for _, member := range t.group(s.service).members {
		if peer := t.upstreams[member]; member != name && peer.mean > 0 {
			means = append(means, peer.mean)
		}
	}
	value := 0.0
	if len(means) > 0 {
		sort.Float64s(means)
		value = means[(len(means)-1)/2]
	}
	t.medians[name] = median{value: value, at: now}
	return value
}

// ServiceTime returns the expected service time of an upstream.
func (t *Tracker) ServiceTime(now time.Time, c Candidate) time.Duration {
	s := t.stats(now, c)
	peers := t.peerMedian(now, c.Name, s)
	mean := s.mean
	if mean == 0 {
		mean = peers
	}
	if mean == 0 {
		mean = float64(defaultService)
	}
	if idle := now.Sub(s.observed) - staleAfter; idle > 0 && peers > 0 && s.mean > 0 {
		mean = peers + (mean-peers)*math.Exp(-idle.Seconds()/staleWindow.Seconds())
	}
	if peers > 0 && mean < sameFactor*peers && peers < sameFactor*mean {
		mean = (mean + peers) / 2
	}
	return time.Duration(mean)
}

// Backlog estimates the requests running or queued at an upstream: the owner's last report, which drains over time, or
// the own requests in flight if these are more.
func (t *Tracker) Backlog(now time.Time, c Candidate) float64 {
	s := t.stats(now, c)
	drained := float64(now.Sub(s.reportedAt)) / float64(t.ServiceTime(now, c)) * float64(max(c.Slots, 1))
	return math.Max(float64(len(s.inFlight)), float64(s.reported)-drained)
}

// Wait returns the expected time until a slot is free.
func (t *Tracker) Wait(now time.Time, c Candidate) time.Duration {
	slots := float64(max(c.Slots, 1))
	ahead := t.Backlog(now, c) - slots + 1
	return time.Duration(math.Max(0, ahead) / slots * float64(t.ServiceTime(now, c)))
}

// Idle reports whether the upstream is expected to have a free slot.
func (t *Tracker) Idle(now time.Time, c Candidate) bool {
	return t.Backlog(now, c) < float64(c.Slots)
}

// completion returns the expected completion time of one more request. A request in flight for longer than the wait and
// the upstream's p95 shows a slow upstream before its result does.
func (t *Tracker) completion(now time.Time, c Candidate) float64 {
	s := t.stats(now, c)
	wait := t.Wait(now, c)
	service := t.ServiceTime(now, c)
	if age := s.oldest(now) - wait; age > max(service, s.times.quantile(slowQuantile)) {
		service = age
	}
	return float64(wait + service)
}

func (s *stats) oldest(now time.Time) time.Duration {
	var oldest time.Duration
	for _, sent := range s.inFlight {
		oldest = max(oldest, now.Sub(sent))
	}
	return oldest
}

// Outlier reports whether the upstream fails or is slower than three times the median of its peers.
func (t *Tracker) Outlier(now time.Time, c Candidate) bool {
	s := t.stats(now, c)
	if now.Before(s.failingUntil) {
		return true
	}
	peers := t.peerMedian(now, c.Name, s)
	return peers > 0 && s.mean > outlierFactor*peers
}

// Choose returns one of the candidates, false when there is none.
func (t *Tracker) Choose(now time.Time, candidates []Candidate) (Candidate, bool) {
	if len(candidates) == 0 {
		return Candidate{}, false
	}
	switch t.policy {
	case Random:
		return candidates[t.random.IntN(len(candidates))], true
	case LeastOutstanding:
		return t.leastOutstanding(now, candidates), true
	default:
		return t.observed(now, candidates), true
	}
}

func (t *Tracker) leastOutstanding(now time.Time, candidates []Candidate) Candidate {
	offset := t.random.IntN(len(candidates))
	best := candidates[offset]
	for i := range candidates {
		c := candidates[(offset+i)%len(candidates)]
		if len(t.stats(now, c).inFlight) < len(t.stats(now, best).inFlight) {
			best = c
		}
	}
	return best
}

func (t *Tracker) observed(now time.Time, candidates []Candidate) Candidate {
	var regular, outliers []Candidate
	for _, c := range candidates {
		if t.Outlier(now, c) {
			outliers = append(outliers, c)
			continue
		}
		regular = append(regular, c)
	}
	if len(regular) == 0 {
		return t.powerOfTwo(now, outliers)
	}
	for _, c := range outliers {
		if t.takeProbe(now, c) {
			return c
		}
	}
	return t.powerOfTwo(now, regular)
}

// PauseProbes stops or resumes probes of outliers.
func (t *Tracker) PauseProbes(pause bool) { t.pauseProbes = pause }

// takeProbe grants one request at a time to an outlier, so that its recovery is observed.
func (t *Tracker) takeProbe(now time.Time, c Candidate) bool {
	s := t.stats(now, c)
	interval := otherProbeInterval
	if c.Owned {
		interval = probeInterval
	}
	if t.pauseProbes || len(s.inFlight) > 0 || now.Sub(s.lastProbe) < interval {
		return false
	}
	s.lastProbe = now
	return true
}

func (t *Tracker) powerOfTwo(now time.Time, candidates []Candidate) Candidate {
	first := t.draw(now, candidates)
	if len(candidates) == 1 {
		return candidates[first]
	}
	rest := make([]Candidate, 0, len(candidates)-1)
	rest = append(rest, candidates[:first]...)
	rest = append(rest, candidates[first+1:]...)
	a := candidates[first]
	// A cold upstream is compared only as often as its weight permits, even when it is one of two replicas.
	if t.random.Float64() > t.ramp(now, rest, candidates) {
		return a
	}
	return t.better(now, a, rest[t.draw(now, rest)])
}

// ramp returns the largest weight among the rest relative to the largest among all candidates.
func (t *Tracker) ramp(now time.Time, rest, all []Candidate) float64 {
	largest := func(candidates []Candidate) float64 {
		most := 0.0
		for _, c := range candidates {
			most = math.Max(most, t.weight(now, c))
		}
		return most
	}
	return largest(rest) / largest(all)
}

// draw returns the index of a candidate, drawn by weight.
func (t *Tracker) draw(now time.Time, candidates []Candidate) int {
	total := 0.0
	for _, c := range candidates {
		total += t.weight(now, c)
	}
	left := t.random.Float64() * total
	for i, c := range candidates {
		left -= t.weight(now, c)
		if left <= 0 {
			return i
		}
	}
	return len(candidates) - 1
}

// weight grows from minRampWeight to 1 while a cold upstream warms up.
func (t *Tracker) weight(now time.Time, c Candidate) float64 {
	age := now.Sub(t.stats(now, c).firstSeen)
	return math.Min(1, math.Max(minRampWeight, float64(age)/float64(rampUp)))
}

func (t *Tracker) better(now time.Time, a, b Candidate) Candidate {
	x, y := t.completion(now, a), t.completion(now, b)
	if math.Abs(x-y) <= tieTolerance*math.Min(x, y) {
		if b.ReportedLoad < a.ReportedLoad {
			return b
		}
		return a
	}
	if y < x {
		return b
	}
	return a
}
