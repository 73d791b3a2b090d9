package router

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/overload"
	"github.com/wisteriamux/wisteriamux/internal/replica"
	"github.com/wisteriamux/wisteriamux/internal/route"
)

// Values of Config.Admission.
const (
	// AdmissionFraction refuses the same fraction of all searches of a set of shards.
	AdmissionFraction = "fraction"
	// AdmissionRanked refuses searches and forwarded requests by rank, team and age.
	AdmissionRanked = "ranked"
)

// OverloadedError is the cause of a request that was refused by AdmissionRanked.
type OverloadedError struct {
	// RetryAfter is when the caller should come back.
	RetryAfter time.Duration
}

// Error implements the error interface.
func (*OverloadedError) Error() string { return "queueing makes requests miss their latency objective" }

const (
	// patienceShare is the part of its remaining time that a caller waits at most as Retry-After tells it.
	patienceShare = 1.0 / 3
	// toldTolerance is the part of the shortest Retry-After after which a caller counts as one that has waited as it was told.
	toldTolerance = 0.9
	// drawSlot is how long all tries of a request have the same draw.
	drawSlot = time.Second
	// maxDoors is the number of doors from which idle ones are dropped, and idleDoor the time without a request after which a door
	// has forgotten all that matters.
	maxDoors = 512
	idleDoor = 2 * time.Minute
	// ratioWeight is the weight of one sample in the usual response time of a service relative to the objective. One slow response
	// is no overload: an upstream pauses for up to 200 ms. maxRatio bounds the effect of one sample.
	ratioWeight = 0.3
	maxRatio    = 1.5
	// refusalPause is how long nothing is refused before the refusals count as ended in the log.
	refusalPause = 5 * time.Second
)

// doorState is the door of a set of shards or of a service, with what is logged about it.
type doorState struct {
	door overload.Door
	// ratio is the usual response time relative to the objective. Forwarded requests use it.
	ratio  float64
	usedAt time.Time
	// refusing is set from the first refusal until refusalPause has passed without one. refused counts the refusals since then.
	refusing      bool
	refusedAt     time.Time
	refusingSince time.Time
	refused       int
}

// admissions holds the state of AdmissionRanked. Router.mu guards it.
type admissions struct {
	doors   map[string]*doorState
	repeats repeatDetector
}

// searchDoorKey and serviceDoorKey return the keys of the doors of searches and of forwarded requests.
func searchDoorKey(rt *route.Route) string { return "shards:" + rt.Shards[0] }

func serviceDoorKey(service string) string { return "service:" + service }

// get returns the door with the key.
func (a *admissions) get(key string, now time.Time) *doorState {
	d, ok := a.doors[key]
	if !ok {
		if len(a.doors) >= maxDoors {
			for k, other := range a.doors {
				if now.Sub(other.usedAt) > idleDoor {
					delete(a.doors, k)
				}
			}
		}
		if a.doors == nil {
			a.doors = map[string]*doorState{}
		}
		d = &doorState{}
		a.doors[key] = d
	}
	d.usedAt = now
	return d
}

// ranked reports whether requests are admitted by rank, team and age.
func (r *Router) ranked() bool { return r.config.Admission == AdmissionRanked }

// overloadController returns the controller of the route's set of shards. The caller must hold mu.
func (r *Router) overloadController(rt *route.Route) *overload.Controller {
	key := rt.Shards[0]
	c, ok := r.overload[key]
	if !ok {
		c = &overload.Controller{}
		r.overload[key] = c
	}
	return c
}

// admit sheds a share of the searches while queueing makes searches of the same shards miss their latency goals.
func (r *Router) admit(rt *route.Route, request *Request) error {
	if r.ranked() {
		if err := r.refuseHopeless(rt, request); err != nil {
			return err
		}
		return r.admitRanked(rt, request, searchDoorKey(rt))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.overloadController(rt)
	isRetry := r.stats(rt).limitEstimate.waited(request.Limit) > limitTolerance
	if c.Admit(request.Received, isRetry, rand.Float64()) {
		return nil
	}
	r.counts.Refused++
	return fault.New(fault.Overloaded, "router.admit", "queueing makes searches miss their latency objective, shedding a share of %.2f",
		c.ShedFraction(request.Received))
}

// admitForward decides on a forwarded request to the service. Nothing is refused unless the admission is ranked.
func (r *Router) admitForward(rt *route.Route, service string, request *Request) error {
	if !r.ranked() {
		return nil
	}
	if err := r.refuseHopeless(rt, request); err != nil {
		return err
	}
	return r.admitRanked(rt, request, serviceDoorKey(service))
}

// admitRanked decides on a request by its rank, team and age.
func (r *Router) admitRanked(rt *route.Route, request *Request, key string) error {
	now := request.Received
	r.mu.Lock()
	d := r.admissions.get(key, now)
	arrival := r.arrival(rt, request)
	verdict := d.door.Admit(now, arrival, r.admissions.repeats.draw(now, request, arrival, rt.Timeout))
	change := d.note(now, !verdict.Admitted)
	fraction := d.door.Fraction(now)
	usual := time.Duration(r.stats(rt).expected)
	if !verdict.Admitted {
		if !arrival.Returning {
			// Admitted requests are observed when their deadlines are set. Without refused ones, the limits of returning callers,
			// which are admitted first, would replace the estimate.
			r.stats(rt).limitEstimate.observe(request.Limit)
		}
		r.counts.Refused++
		r.counts.RefusedByRank[min(max(arrival.Rank, 0), RankClasses-1)]++
	}
	r.mu.Unlock()
	switch {
	case change.began:
		r.log.Info("refusing requests", "door", key, "fraction", fraction, "usual_ms", usual.Milliseconds(), "objective_ms", rt.Objective.Milliseconds(),
			"rank", arrival.Rank)
	case change.ended:
		r.log.Info("refusing no more requests", "door", key, "refused", change.refused, "for_ms", change.lasted.Milliseconds())
	}
	if verdict.Admitted {
		return nil
	}
	return fault.New(fault.Overloaded, "router.admit", "refusing a fraction of %.2f of %s: %w", fraction, key,
		&OverloadedError{RetryAfter: verdict.RetryAfter})
}

// refusalChange is the begin or the end of refusals.
type refusalChange struct {
	began, ended bool
	refused      int
	lasted       time.Duration
}

// note records a decision and returns whether refusals begin or have ended. They end after a pause, so that there is at most one
// pair of log lines of a door in each refusalPause.
func (d *doorState) note(now time.Time, refused bool) refusalChange {
	if refused {
		began := !d.refusing
		if began {
			d.refusing, d.refusingSince, d.refused = true, now, 0
		}
		d.refusedAt = now
		d.refused++
		return refusalChange{began: began}
	}
	if !d.refusing || now.Sub(d.refusedAt) < refusalPause {
		return refusalChange{}
	}
	d.refusing = false
	return refusalChange{ended: true, refused: d.refused, lasted: d.refusedAt.Sub(d.refusingSince)}
}

// arrival describes the request to its door. The caller must hold mu.
func (r *Router) arrival(rt *route.Route, request *Request) overload.Arrival {
	estimate := &r.peekStats(rt).limitEstimate
	waited := estimate.waited(request.Limit)
	a := overload.Arrival{
		Rank: request.Team.RankOn(rt), Waited: waited, Objective: rt.Objective,
		Patience: time.Duration(patienceShare * float64(request.end(rt).Sub(request.Received))),
	}
	if request.Team != nil {
		a.Team = request.Team.Name
	}
	// The first try of this caller was told to wait at least for told, which the time limit of first attempts determines.
	told := overload.ShortestRetryAfter(time.Duration(patienceShare * float64(estimate.limit)))
	a.Returning = waited > limitTolerance && float64(waited) >= toldTolerance*float64(told)
	return a
}

// refuseHopeless returns an error if it is known that the request cannot be served: because too little time is left for a
// response, or because too many shards, or the service of a forwarded request, have no upstream.
func (r *Router) refuseHopeless(rt *route.Route, request *Request) error {
	left := request.end(rt).Sub(request.Received)
	if least := r.leastTime(rt); left < least {
		return fault.New(fault.NotRun, "router.admit", "%d ms are left, a response usually takes %d ms", left.Milliseconds(), least.Milliseconds())
	}
	if len(rt.Shards) == 0 {
		// A forwarded request without an upstream is refused when it is sent.
		return nil
	}
	view := r.View()
	served := 0
	for _, service := range rt.Shards {
		if len(view.candidates[service]) > 0 {
			served++
		}
	}
	if wanted := minShards(len(rt.Shards), rt.Coverage); served < wanted {
		return fault.New(fault.NotRun, "router.admit", "%d of %d shards have an upstream, %d are needed", served, len(rt.Shards), wanted)
	}
	return nil
}

// leastTime returns the time below which a response is not to be expected. It is at most half of the objective, or a quarter of the
// time limit: a usual time that was measured while upstreams were slow must not refuse first attempts, since it would then never be
// measured again.
func (r *Router) leastTime(rt *route.Route) time.Duration {
	highest := rt.Timeout / 4
	if rt.Objective > 0 {
		highest = min(highest, rt.Objective/2)
	}
	return min(r.UsualResponseTime(rt), highest)
}

// late records that a search missed its goal, where available is the time from its receipt to the goal.
func (r *Router) late(rt *route.Route, now time.Time, available time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	latency := time.Duration(r.stats(rt).expected)
	if r.ranked() {
		r.admissions.get(searchDoorKey(rt), now).door.RecordLate(now, latency, byObjective(rt, available))
		return
	}
	r.overloadController(rt).RecordLate(now, latency, available)
}

// inTime records a search that met its goal, where available is the time from its receipt to the goal.
func (r *Router) inTime(rt *route.Route, now time.Time, available time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	latency := time.Duration(r.stats(rt).expected)
	if r.ranked() {
		r.admissions.get(searchDoorKey(rt), now).door.RecordInTime(now, latency, byObjective(rt, available))
		return
	}
	r.overloadController(rt).RecordInTime(now, latency, available)
}

// fullShare is the number of refused attempts, as a part of the number of shards, beyond which a search shows that upstreams are full.
// The attempts at a single shard are not counted.
const fullShare = 0.1

// failedEarly records a search that failed before its goal. It is evidence of full queues if upstreams of several shards refused it.
func (r *Router) failedEarly(rt *route.Route, now time.Time, refusals int) {
	if !r.ranked() || rt.Objective <= 0 || refusals-int(fullShare*float64(len(rt.Shards))) <= max(1, rt.Attempts) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.admissions.get(searchDoorKey(rt), now).door.RecordLate(now, rt.Objective, rt.Objective)
}

// byObjective returns the time by which the length of queues is judged. The goal of a returning caller is its time limit, since its
// objective has passed: a response within it says nothing about the queues.
func byObjective(rt *route.Route, available time.Duration) time.Duration {
	if rt.Objective <= 0 {
		return available
	}
	return min(max(available, rt.Objective/2), rt.Objective)
}

// recordForward records the end of an attempt of a forwarded request as evidence of its service.
func (r *Router) recordForward(rt *route.Route, service string, result replica.Result, took time.Duration) {
	if !r.ranked() || rt.Objective <= 0 {
		return
	}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	d := r.admissions.get(serviceDoorKey(service), now)
	switch result {
	case replica.Answered:
		sample := min(float64(took)/float64(rt.Objective), maxRatio)
		d.ratio += (sample - d.ratio) * ratioWeight
		latency := time.Duration(d.ratio * float64(rt.Objective))
		if took > rt.Objective {
			d.door.RecordLate(now, latency, rt.Objective)
		} else {
			d.door.RecordInTime(now, latency, rt.Objective)
		}
	case replica.Refused:
		// Another upstream may have room: only a service of which usual requests are refused is overloaded.
		d.ratio += (maxRatio - d.ratio) * ratioWeight
		d.door.RecordLate(now, time.Duration(d.ratio*float64(rt.Objective)), rt.Objective)
	}
}

// highestFraction returns the highest refused fraction of all doors. The caller must hold mu.
func (a *admissions) highestFraction(now time.Time) float64 {
	highest := 0.0
	for _, d := range a.doors {
		highest = max(highest, d.door.Fraction(now))
	}
	return highest
}

const (
	// repeatHistory is the number of recent requests of which a repeatDetector knows the fingerprints.
	repeatHistory = 128
	// maxRepeats is the number of recent requests with the same fingerprint up to which they count as tries of one request.
	maxRepeats = 4
)

// Callers that come back after different times, in steps of returnSteps, have different draws. returnShift keeps these apart from the
// slots of time.
const (
	returnSteps = 200 * time.Millisecond
	returnShift = 48
)

// repeatDetector draws the random numbers of requests. All tries of a request have the same draw for a while, at every VM, so that a
// caller gains nothing by repeating a refused request at once. Tries are known by their fingerprint. Requests of which the
// fingerprint says little, because the same one comes again and again, get random draws.
type repeatDetector struct {
	recent []fingerprintSeen
	next   int
}

type fingerprintSeen struct {
	hash uint64
	at   time.Time
}

// A caller that has waited as it was told gets another draw: it was refused because its first one was low.
func (d *repeatDetector) draw(now time.Time, request *Request, a overload.Arrival, timeLimit time.Duration) float64 {
	hash := xxhash.Sum64String(request.fingerprints.Narrowest())
	if request.fingerprints.Narrowest() == "" || d.isCommon(now, hash, timeLimit) {
		return rand.Float64()
	}
	// Slots of different requests begin at different times, so that draws do not change all at once.
	slot := uint64(now.UnixNano()+int64(hash%uint64(drawSlot))) / uint64(drawSlot)
	if step := a.Waited / returnSteps; a.Returning {
		slot += uint64(step+1) << returnShift
	}
	return rand.New(rand.NewPCG(hash, slot)).Float64()
}

// isCommon records the fingerprint and reports whether it has come more often than the tries of one request do, or longer ago.
func (d *repeatDetector) isCommon(now time.Time, hash uint64, timeLimit time.Duration) bool {
	seen, older := 0, false
	for _, r := range d.recent {
		if r.hash == hash {
			seen++
			older = older || now.Sub(r.at) > timeLimit
		}
	}
	entry := fingerprintSeen{hash: hash, at: now}
	if len(d.recent) < repeatHistory {
		d.recent = append(d.recent, entry)
	} else {
		d.recent[d.next] = entry
		d.next = (d.next + 1) % repeatHistory
	}
	return older || seen >= maxRepeats
}
