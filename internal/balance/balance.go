// Package balance chooses replicas from what the entry VMs observe: service times, requests in flight, and the queue
// lengths that owners return with each result.
package balance

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"
)

// Policy selects how a replica is chosen.
type Policy string

// The policies. Observed chooses by the expected completion time; Random and LeastOutstanding are baselines to compare
// it with.
const (
	Random           Policy = "random"
	LeastOutstanding Policy = "least-outstanding"
	Observed         Policy = "observed"
)

// Valid reports whether p is one of the policies.
func (p Policy) Valid() bool { return p == Random || p == LeastOutstanding || p == Observed }

const (
	// rampUpDuration is the time during which a new upstream gets a growing share of the requests, beginning with
	// minRampUpWeight.
	rampUpDuration  = 10 * time.Second
	minRampUpWeight = 0.05
	// meanWindow is the time constant of the moving average of the service time, minMeanWeight the minimum weight of one
	// observation in it.
	meanWindow    = time.Second
	minMeanWeight = 0.05
	// staleAfter and staleWindow control how the mean of an upstream without observations returns to the median of its
	// peers. Otherwise a replica that was slow for a moment would never be chosen, and thus never be observed again.
	staleAfter  = time.Second
	staleWindow = 3 * time.Second
	// outlierFactor is the multiple of the peers' median above which the mean of an upstream makes it an outlier.
	outlierFactor = 3.0
	// ownerProbeInterval is the time between probes of an outlier by its owner, whose observations reach all entry VMs.
	// The other entry VMs probe rarely, in case the owner gets no query for the service. Frequent probes by all of them
	// used up the hedge budget.
	ownerProbeInterval = time.Second
	otherProbeInterval = 10 * time.Second
	// failureBackoff is how long an upstream counts as an outlier after a failure.
	failureBackoff = time.Second
	// tieTolerance is the relative difference of two expected completion times below which the reported load decides.
	tieTolerance = 0.1
	// similarFactor is the ratio of two means below which two upstreams count as equally fast. All entry VMs share the
	// owners' observations, so small differences would send all of them to the same replica.
	similarFactor = 2.0
	// defaultServiceTime is the expected service time before any observation of the service.
	defaultServiceTime = 5 * time.Millisecond
	// medianMaxAge is how long a computed median of the peers is reused.
	medianMaxAge = 50 * time.Millisecond
	tailQuantile = 0.95
	// p95Interval is the number of samples after which the p95 of a service is computed anew. Before that many samples it
	// has none.
	p95Interval   = 50
	minHedgeDelay = time.Millisecond
)

// Candidate is a replica that can serve a shard.
type Candidate struct {
	Name          string
	Service       string
	FailureDomain string
	Slots         int
	// Owned is set if this entry VM owns the upstream, that is, sends to it directly.
	Owned bool
	// ReportedLoad is the load that the upstream itself reports. It lags behind, so it only breaks ties.
	ReportedLoad float64
}

// Observation holds what the result of a sub-request tells about its upstream.
type Observation struct {
	// Service is the service time on the upstream; zero means that the request did not run there.
	Service time.Duration
	// Backlog is the number of requests running or queued at the owner when it returned the result.
	Backlog int
	// Failed is set if the upstream itself failed.
	Failed bool
}

// request is a sub-request in flight.
type request struct {
	upstream string
	sentAt   time.Time
	// wait is the expected wait for a slot when the request was sent.
	wait time.Duration
}

// stats holds the observations of one upstream.
type stats struct {
	service   string
	firstSeen time.Time
	// mean is the moving average of the service time in nanoseconds, zero before the first observation.
	mean         float64
	observedAt   time.Time
	serviceTimes histogram
	// reportedBacklog is the backlog that the owner reported last.
	reportedBacklog int
	reportedAt      time.Time
	// inFlight holds the send time of each request in flight.
	inFlight     map[uint64]time.Time
	lastProbe    time.Time
	failingUntil time.Time
}

// serviceStats holds the observations of all upstreams of one service.
type serviceStats struct {
	// members are the names of the upstreams.
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
	services  map[string]*serviceStats
	requests  map[uint64]request
	// medians caches the results of peerMedian by upstream.
	medians map[string]median
	// pauseProbes is set while the budget has no tokens to hedge probes.
	pauseProbes bool
}

type median struct {
	value      float64
	computedAt time.Time
}

// New returns a tracker whose random choices are reproducible from the seed.
func New(policy Policy, seed uint64) *Tracker {
	return &Tracker{
		policy:    policy,
		random:    rand.New(rand.NewPCG(seed, seed)),
		upstreams: map[string]*stats{},
		services:  map[string]*serviceStats{},
		requests:  map[uint64]request{},
		medians:   map[string]median{},
	}
}

func (t *Tracker) stats(now time.Time, c Candidate) *stats {
	s, ok := t.upstreams[c.Name]
	if !ok {
		s = &stats{service: c.Service, firstSeen: now, inFlight: map[uint64]time.Time{}}
		t.upstreams[c.Name] = s
		ss := t.serviceStats(c.Service)
		ss.members = append(ss.members, c.Name)
	}
	return s
}

func (t *Tracker) serviceStats(service string) *serviceStats {
	ss, ok := t.services[service]
	if !ok {
		ss = &serviceStats{}
		t.services[service] = ss
	}
	return ss
}

// Forget drops an upstream that was removed or restarted, so that a new instance ramps up again.
func (t *Tracker) Forget(name string) {
	s, ok := t.upstreams[name]
	if !ok {
		return
	}
	for id := range s.inFlight {
		delete(t.requests, id)
	}
	delete(t.upstreams, name)
	delete(t.medians, name)
	ss := t.serviceStats(s.service)
	for i, member := range ss.members {
		if member == name {
			ss.members = append(ss.members[:i], ss.members[i+1:]...)
			return
		}
	}
}

// Sent records a sub-request that is sent to an upstream.
func (t *Tracker) Sent(now time.Time, id uint64, c Candidate) {
	s := t.stats(now, c)
	t.requests[id] = request{upstream: c.Name, sentAt: now, wait: t.Wait(now, c)}
	s.inFlight[id] = now
}

// Done records the result of a sub-request. A second result for the same ID is ignored.
func (t *Tracker) Done(now time.Time, id uint64, o Observation) {
	s, r, ok := t.removeRequest(id)
	if !ok {
		return
	}
	s.reportedBacklog = o.Backlog
	s.reportedAt = now
	if o.Failed {
		s.failingUntil = now.Add(failureBackoff)
		return
	}
	if o.Service > 0 {
		s.observe(now, o.Service)
		t.serviceStats(s.service).add(now.Sub(r.sentAt))
	}
}

// Abandon records the cancellation of a sub-request. Its age is a lower bound of its service time, so a slow upstream
// is detected even if hedges always win against it.
func (t *Tracker) Abandon(now time.Time, id uint64) {
	s, r, ok := t.removeRequest(id)
	if !ok {
		return
	}
	age := now.Sub(r.sentAt)
	if running := age - r.wait; s.mean > 0 && float64(running) > s.mean {
		s.observe(now, running)
	}
	if ss := t.serviceStats(s.service); age > ss.p95 {
		ss.add(age)
	}
}

func (t *Tracker) removeRequest(id uint64) (*stats, request, bool) {
	r, ok := t.requests[id]
	if !ok {
		return nil, r, false
	}
	delete(t.requests, id)
	s := t.upstreams[r.upstream]
	delete(s.inFlight, id)
	return s, r, true
}

func (s *stats) observe(now time.Time, serviceTime time.Duration) {
	s.serviceTimes.add(serviceTime)
	weight := math.Max(minMeanWeight, 1-math.Exp(-now.Sub(s.observedAt).Seconds()/meanWindow.Seconds()))
	if s.mean == 0 {
		weight = 1
	}
	s.mean += weight * (float64(serviceTime) - s.mean)
	s.observedAt = now
}

func (ss *serviceStats) add(latency time.Duration) {
	ss.latencies.add(latency)
	ss.samples++
	if ss.samples%p95Interval == 0 {
		ss.p95 = ss.latencies.quantile(tailQuantile)
	}
}

// HedgeDelay returns how long a request to the upstream may take before a hedge: the p95 latency of the service, but at
// most three times the mean service time of its fastest upstream. The limit is needed because a slow replica dominates
// the p95, and a service with little traffic has no p95 yet. A probe of an outlier is hedged at once, so that no query
// is delayed by it. False means that there are no observations of the service.
//
// While the hedge budget is low, only the limit counts: the remaining tokens are for requests that are far slower than
// usual.
func (t *Tracker) HedgeDelay(now time.Time, c Candidate, lowBudget bool) (time.Duration, bool) {
	ss := t.serviceStats(c.Service)
	limit := time.Duration(outlierFactor * t.fastestMean(ss))
	if limit == 0 {
		return 0, false
	}
	if t.Outlier(now, c) {
		return minHedgeDelay, true
	}
	if ss.p95 > 0 && !lowBudget {
		limit = min(limit, ss.p95)
	}
	return max(limit, minHedgeDelay), true
}

// fastestMean returns the smallest mean service time of the upstreams of a service, or zero without observations.
func (t *Tracker) fastestMean(ss *serviceStats) float64 {
	smallest := 0.0
	for _, member := range ss.members {
		if mean := t.upstreams[member].mean; mean > 0 && (smallest == 0 || mean < smallest) {
			smallest = mean
		}
	}
	return smallest
}

// Report records what the owner of an upstream has observed from the requests of all entry VMs. A zero service time
// means that the owner has not observed one.
func (t *Tracker) Report(now time.Time, name string, backlog int, serviceTime, serviceTimeAge time.Duration) {
	s, ok := t.upstreams[name]
	if !ok {
		return
	}
	s.reportedBacklog = backlog
	s.reportedAt = now
	if serviceTime > 0 {
		s.mean = float64(serviceTime)
		s.observedAt = now.Add(-serviceTimeAge)
	}
}

// peerMedian returns the median of the mean service times of the other upstreams of the service, or zero without
// observations.
func (t *Tracker) peerMedian(now time.Time, name string, s *stats) float64 {
	if cached, ok := t.medians[name]; ok && now.Sub(cached.computedAt) < medianMaxAge {
		return cached.value
	}
	var means []float64
	for _, member := range t.serviceStats(s.service).members {
		if peer := t.upstreams[member]; member != name && peer.mean > 0 {
			means = append(means, peer.mean)
		}
	}
	value := 0.0
	if len(means) > 0 {
		sort.Float64s(means)
		value = means[(len(means)-1)/2]
	}
	t.medians[name] = median{value: value, computedAt: now}
	return value
}

// ServiceTime returns the expected service time of an upstream: its mean, which returns to the median of its peers
// without observations and is averaged with that median if both are similar.
func (t *Tracker) ServiceTime(now time.Time, c Candidate) time.Duration {
	s := t.stats(now, c)
	medianOfPeers := t.peerMedian(now, c.Name, s)
	mean := s.mean
	if mean == 0 {
		mean = medianOfPeers
	}
	if mean == 0 {
		mean = float64(defaultServiceTime)
	}
	if staleFor := now.Sub(s.observedAt) - staleAfter; staleFor > 0 && medianOfPeers > 0 && s.mean > 0 {
		mean = medianOfPeers + (mean-medianOfPeers)*math.Exp(-staleFor.Seconds()/staleWindow.Seconds())
	}
	if medianOfPeers > 0 && mean < similarFactor*medianOfPeers && medianOfPeers < similarFactor*mean {
		mean = (mean + medianOfPeers) / 2
	}
	return time.Duration(mean)
}

// Backlog estimates the number of requests running or queued at an upstream: the last one that the owner reported, less
// those completed since, or this VM's requests in flight if these are more.
func (t *Tracker) Backlog(now time.Time, c Candidate) float64 {
	s := t.stats(now, c)
	drained := float64(now.Sub(s.reportedAt)) / float64(t.ServiceTime(now, c)) * float64(max(c.Slots, 1))
	return math.Max(float64(len(s.inFlight)), float64(s.reportedBacklog)-drained)
}

// Wait returns the expected time until a slot of the upstream is free.
func (t *Tracker) Wait(now time.Time, c Candidate) time.Duration {
	slots := float64(max(c.Slots, 1))
	ahead := t.Backlog(now, c) - slots + 1
	return time.Duration(math.Max(0, ahead) / slots * float64(t.ServiceTime(now, c)))
}

// Idle reports whether the upstream is expected to have a free slot.
func (t *Tracker) Idle(now time.Time, c Candidate) bool {
	return t.Backlog(now, c) < float64(c.Slots)
}

// expectedCompletion returns the expected time to complete one more request. A request that is in flight for longer
// than the expected wait plus the upstream's p95 reveals a slow upstream before its result arrives.
func (t *Tracker) expectedCompletion(now time.Time, c Candidate) float64 {
	s := t.stats(now, c)
	wait := t.Wait(now, c)
	serviceTime := t.ServiceTime(now, c)
	if age := s.oldestAge(now) - wait; age > max(serviceTime, s.serviceTimes.quantile(tailQuantile)) {
		serviceTime = age
	}
	return float64(wait + serviceTime)
}

func (s *stats) oldestAge(now time.Time) time.Duration {
	var oldestAge time.Duration
	for _, sentAt := range s.inFlight {
		oldestAge = max(oldestAge, now.Sub(sentAt))
	}
	return oldestAge
}

// Outlier reports whether the upstream failed recently or its mean service time is more than three times the median of
// its peers.
func (t *Tracker) Outlier(now time.Time, c Candidate) bool {
	s := t.stats(now, c)
	if now.Before(s.failingUntil) {
		return true
	}
	medianOfPeers := t.peerMedian(now, c.Name, s)
	return medianOfPeers > 0 && s.mean > outlierFactor*medianOfPeers
}

// Choose returns one of the candidates, or false if there is none.
func (t *Tracker) Choose(now time.Time, candidates []Candidate) (Candidate, bool) {
	if len(candidates) == 0 {
		return Candidate{}, false
	}
	switch t.policy {
	case Random:
		return candidates[t.random.IntN(len(candidates))], true
	case LeastOutstanding:
		return t.chooseLeastOutstanding(now, candidates), true
	default:
		return t.chooseObserved(now, candidates), true
	}
}

func (t *Tracker) chooseLeastOutstanding(now time.Time, candidates []Candidate) Candidate {
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

// chooseObserved returns an outlier for which a probe is due, and otherwise one of the candidates that are no outliers,
// or of all if every one is an outlier.
func (t *Tracker) chooseObserved(now time.Time, candidates []Candidate) Candidate {
	var regular, outliers []Candidate
	for _, c := range candidates {
		if t.Outlier(now, c) {
			outliers = append(outliers, c)
			continue
		}
		regular = append(regular, c)
	}
	if len(regular) == 0 {
		return t.powerOfTwoChoices(now, outliers)
	}
	for _, c := range outliers {
		if t.allowProbe(now, c) {
			return c
		}
	}
	return t.powerOfTwoChoices(now, regular)
}

// PauseProbes stops or resumes probes of outliers.
func (t *Tracker) PauseProbes(pause bool) { t.pauseProbes = pause }

// allowProbe allows one request at a time to an outlier, so that its recovery is observed.
func (t *Tracker) allowProbe(now time.Time, c Candidate) bool {
	s := t.stats(now, c)
	interval := otherProbeInterval
	if c.Owned {
		interval = ownerProbeInterval
	}
	if t.pauseProbes || len(s.inFlight) > 0 || now.Sub(s.lastProbe) < interval {
		return false
	}
	s.lastProbe = now
	return true
}

// powerOfTwoChoices draws two candidates by weight and returns the one that is expected to complete a request first.
func (t *Tracker) powerOfTwoChoices(now time.Time, candidates []Candidate) Candidate {
	first := t.weightedIndex(now, candidates)
	if len(candidates) == 1 {
		return candidates[first]
	}
	rest := make([]Candidate, 0, len(candidates)-1)
	rest = append(rest, candidates[:first]...)
	rest = append(rest, candidates[first+1:]...)
	a := candidates[first]
	// A cold upstream is compared only as often as its weight allows, even if it is one of two replicas.
	if t.random.Float64() > t.relativeWeight(now, rest, candidates) {
		return a
	}
	return t.fasterOf(now, a, rest[t.weightedIndex(now, rest)])
}

// relativeWeight returns the largest weight among rest relative to the largest among all candidates.
func (t *Tracker) relativeWeight(now time.Time, rest, all []Candidate) float64 {
	largestWeight := func(candidates []Candidate) float64 {
		maxWeight := 0.0
		for _, c := range candidates {
			maxWeight = math.Max(maxWeight, t.weight(now, c))
		}
		return maxWeight
	}
	return largestWeight(rest) / largestWeight(all)
}

// weightedIndex returns the index of a random candidate, drawn by weight.
func (t *Tracker) weightedIndex(now time.Time, candidates []Candidate) int {
	total := 0.0
	for _, c := range candidates {
		total += t.weight(now, c)
	}
	remaining := t.random.Float64() * total
	for i, c := range candidates {
		remaining -= t.weight(now, c)
		if remaining <= 0 {
			return i
		}
	}
	return len(candidates) - 1
}

// weight grows from minRampUpWeight to 1 while a cold upstream warms up.
func (t *Tracker) weight(now time.Time, c Candidate) float64 {
	age := now.Sub(t.stats(now, c).firstSeen)
	return math.Min(1, math.Max(minRampUpWeight, float64(age)/float64(rampUpDuration)))
}

func (t *Tracker) fasterOf(now time.Time, a, b Candidate) Candidate {
	x, y := t.expectedCompletion(now, a), t.expectedCompletion(now, b)
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
