package overload

import (
	"math"
	"slices"
	"time"
)

const (
	// mostRefused bounds the refused fraction of all requests, so that enough are served to detect the end of an overload.
	mostRefused = 0.95
	// leastServed is how often a rank or a team is served at least, relative to all requests together.
	leastServed = 0.25
	// lateShare and keepsUpShare are the shares of the available time above which the latency at the upstreams asks for more
	// refusals, and below which the upstreams keep up. Queues of which the latency is just below the available time are too long
	// already: the requests that are queued by then will be late.
	lateShare    = 0.8
	keepsUpShare = 0.6
	// attackTime and releaseTime are the time constants with which long queues raise the fraction and short ones lower it. They
	// depend on time and not on the number of samples: a VM with one request per second then reacts to a single one, and one with
	// hundreds is not thrown off by it. maxSampleGap bounds the time that one sample stands for. Full queues serve nobody in time,
	// so that the attack is much faster than the release: of those beside a team with seven times its load, 0.30 of the requests
	// were served in time with 400 ms for both on 5 VMs, and 0.82 with these.
	attackTime   = 100 * time.Millisecond
	releaseTime  = 4 * time.Second
	maxSampleGap = 2 * time.Second
	// fractionDecay is the time constant with which the fraction decays without evidence. It is several times the gap between two
	// requests of a VM that sees 0.7 requests/s: while it refuses most of them, it has little evidence.
	fractionDecay = 8 * time.Second
	// leastFraction is the fraction below which nothing is refused.
	leastFraction = 0.05
	// returnWindow is the time constant of the share of returning callers among the arrivals, and mostByReturns the fraction up
	// to which they raise the refused fraction. A returning caller shows that another VM refuses requests now.
	returnWindow  = 3 * time.Second
	mostByReturns = 0.95
	// lateMemory is how long after long queues of its own requests a VM takes returning callers as evidence. Callers with a shorter
	// time limit look like returning ones: without queues they must not lead to refusals.
	lateMemory = 10 * time.Second
	// ownEvidence is the time constant with which evidence of the VM's own requests gives way to that of returning callers.
	ownEvidence = 150 * time.Millisecond
	// demandWindow is the time constant of the decayed arrivals of a team: a VM that sees 0.7 requests/s sees about 14 in it.
	demandWindow = 20 * time.Second
	// historyWindow is the time constant with which recent arrivals count towards the mix of ranks, teams and ages, and
	// historySize the number that is kept.
	historyWindow = 5 * time.Second
	historySize   = 128
	// Callers that come back are ordered by their age in steps of seniorityStep objectives, up to maxSeniority.
	seniorityStep = 2
	maxSeniority  = 4
	// maxRetryAfter bounds Retry-After, minRetryShare is the smallest one relative to the largest. Room comes with the end of a
	// load spike, and a search that has been refused has missed its objective anyway, so that the wait is long.
	maxRetryAfter = 2 * time.Second
	minRetryShare = 0.5
)

// Arrival describes a request on its arrival.
type Arrival struct {
	// Rank is the priority of the request. 0 is the most urgent.
	Rank int
	// Team is the name of the team of its caller, empty if there are no teams: all callers are then one team.
	Team string
	// Returning is set if the caller was refused and has waited as it was told.
	Returning bool
	// Waited is how long the caller has waited since its first attempt, and Objective the latency objective of the route.
	Waited, Objective time.Duration
	// Patience is the longest Retry-After that the caller honors.
	Patience time.Duration
}

// Verdict is the decision on an arrival. RetryAfter is set if it is refused.
type Verdict struct {
	Admitted   bool
	RetryAfter time.Duration
}

// Door decides on the arrival of each request whether it is served while the upstreams cannot serve all in time. It refuses
// requests of the least urgent rank first, within a rank those of the teams with the highest demand, and within a team first
// attempts before callers that have come back as they were told. Its memory is bounded for any number of ranks and teams. It is
// not safe for concurrent use.
type Door struct {
	// fraction is the refused fraction of all requests at the time of updatedAt, from which it decays. sampledAt is the time of
	// the last evidence.
	fraction             float64
	updatedAt, sampledAt time.Time
	// lateAt is when queues of the VM's own requests were long, and returnedAt the last arrival of a returning caller.
	lateAt, returnedAt time.Time
	demand             demand
	// history holds recent arrivals, next is the index at which the next one is stored.
	history []arrivalRecord
	next    int
}

// arrivalRecord is what the decision on later arrivals depends on.
type arrivalRecord struct {
	at   time.Time
	rank int
	// demand is that of the team on arrival.
	demand float64
	// seniority is 0 for a first attempt and for a caller that has come back too early, and grows with the age of a caller that
	// has waited as it was told.
	seniority int
	// weight is what the arrival counts towards the mix in the decision that is being taken.
	weight float64
}

// RecordLate records a request that missed its latency objective. The latency is the usual one at its upstreams, and available
// is the time from its arrival to its goal. A late request whose upstreams respond fast is no evidence of overload: it lacks single
// shards.
func (d *Door) RecordLate(now time.Time, latency, available time.Duration) {
	if float64(latency) >= lateShare*float64(available) {
		d.record(now, latency, available)
	}
}

// RecordInTime records a request that met its latency objective.
func (d *Door) RecordInTime(now time.Time, latency, available time.Duration) {
	d.record(now, latency, available)
}

// record moves the fraction by the length of the queues that a latency shows.
func (d *Door) record(now time.Time, latency, available time.Duration) {
	gap := min(max(now.Sub(d.sampledAt), 0), maxSampleGap)
	d.sampledAt = now
	if available <= 0 {
		return
	}
	fraction := d.Fraction(now)
	switch ratio := float64(latency) / float64(available); {
	case ratio >= lateShare:
		d.lateAt = now
		d.setFraction(now, fraction+max(mostRefused-fraction, 0)*(1-decayed(gap, attackTime)))
	case ratio < keepsUpShare:
		d.setFraction(now, fraction*decayed(gap, releaseTime))
	}
}

// recordReturn raises the fraction after the arrival of a returning caller, the more the larger the share of such callers is. The
// latest arrival does not count towards that share: a single caller shows little.
func (d *Door) recordReturn(now time.Time) {
	total, returning := 0.0, -1.0
	for _, r := range d.history {
		weight := decayed(now.Sub(r.at), returnWindow)
		total += weight
		if r.seniority > 0 {
			returning += weight
		}
	}
	// Evidence of its own is worth more, and several returning callers at once show no more than one.
	weight := (1 - decayed(now.Sub(d.sampledAt), ownEvidence)) * (1 - decayed(now.Sub(d.returnedAt), attackTime))
	d.returnedAt = now
	fraction := d.Fraction(now)
	d.setFraction(now, fraction+weight*max(mostByReturns-fraction, 0)*max(returning, 0)/total)
}

func (d *Door) setFraction(now time.Time, fraction float64) {
	d.fraction = fraction
	d.updatedAt = now
}

// Fraction returns the fraction of all requests that is too much.
func (d *Door) Fraction(now time.Time) float64 {
	if d.fraction == 0 {
		return 0
	}
	return d.fraction * decayed(now.Sub(d.updatedAt), fractionDecay)
}

// Refusing reports whether a part of the requests is refused.
func (d *Door) Refusing(now time.Time) bool { return d.Fraction(now) >= leastFraction }

// Admit counts an arrival towards the demand of its team and decides on it. The draw is a number from [0, 1). Callers that repeat
// a request at once gain nothing if all its tries have the same draw.
func (d *Door) Admit(now time.Time, a Arrival, draw float64) Verdict {
	refused := d.arrive(now, a)
	if draw >= refused {
		return Verdict{Admitted: true}
	}
	// Among refused arrivals, draw/refused is uniform in [0, 1).
	return Verdict{RetryAfter: retryAfter(a.Patience, draw/refused)}
}

// Preview returns the probability with which an arrival would be refused now, without counting it.
func (d *Door) Preview(now time.Time, a Arrival) float64 {
	preview := *d
	preview.history = slices.Clone(d.history)
	preview.demand = d.demand.clone()
	return preview.arrive(now, a)
}

// EvidenceAt returns the time of the last evidence, zero if there was none.
func (d *Door) EvidenceAt() time.Time { return d.sampledAt }

// arrive counts an arrival and returns the probability with which it is refused.
func (d *Door) arrive(now time.Time, a Arrival) float64 {
	record := arrivalRecord{at: now, rank: a.Rank, demand: d.demand.add(now, a.Rank, a.Team), seniority: a.seniority()}
	d.remember(record)
	if a.Returning && now.Sub(d.lateAt) < lateMemory {
		d.recordReturn(now)
	}
	if !d.Refusing(now) {
		return 0
	}
	return d.refusedPart(now, record)
}

// seniority returns the order in which requests of one team are served: the highest first.
func (a Arrival) seniority() int {
	if !a.Returning {
		return 0
	}
	if a.Objective <= 0 {
		return 1
	}
	return 1 + min(int(max(0, a.Waited)/(seniorityStep*a.Objective)), maxSeniority-1)
}

// retryAfter returns when to come back. The spread is a number from [0, 1).
func retryAfter(patience time.Duration, spread float64) time.Duration {
	longest := min(patience, maxRetryAfter)
	if longest <= 0 {
		longest = maxRetryAfter
	}
	return time.Duration((minRetryShare + (1-minRetryShare)*spread) * float64(longest))
}

// ShortestRetryAfter returns the shortest Retry-After for a caller with this patience. A caller that comes back earlier has not
// waited as it was told.
func ShortestRetryAfter(patience time.Duration) time.Duration { return retryAfter(patience, 0) }

func (d *Door) remember(r arrivalRecord) {
	if len(d.history) < historySize {
		d.history = append(d.history, r)
		return
	}
	d.history[d.next] = r
	d.next = (d.next + 1) % historySize
}

// refusedPart returns the probability with which an arrival is refused.
func (d *Door) refusedPart(now time.Time, a arrivalRecord) float64 {
	total, lessUrgent, sameRank, lessSenior, sameSeniority := 0.0, 0.0, 0.0, 0.0, 0.0
	for n := range d.history {
		r := &d.history[n]
		r.weight = decayed(now.Sub(r.at), historyWindow)
		weight := r.weight
		total += weight
		switch {
		case r.rank > a.rank:
			lessUrgent += weight
		case r.rank < a.rank:
		case r.seniority < a.seniority:
			sameRank += weight
			lessSenior += weight
		case r.seniority == a.seniority:
			sameRank += weight
			sameSeniority += weight
		default:
			sameRank += weight
		}
	}
	fraction := d.Fraction(now)
	most := 1 - leastServed*(1-fraction)
	part := refuseLast(fraction*total, lessUrgent, sameRank, most)
	if part <= 0 {
		return 0
	}
	part = refusedAt(d.level(a.rank, part, most), a.demand, most)
	return refuseLast(part*sameRank, lessSenior, sameSeniority, most)
}

// refuseLast returns the part of a group that is refused if the excess is taken from the requests behind the group first, and
// from no group more than most of it.
func refuseLast(excess, behind, group, most float64) float64 {
	return min(max((excess-most*behind)/group, 0), most)
}

// level returns the demand that a team of the rank may have without being refused, so that the part of all its arrivals is
// refused on average (max-min fairness). The average is taken over arrivals rather than over teams: most teams of a VM with few
// requests have sent a single one, and the team of an arrival has just sent one more.
func (d *Door) level(rank int, part, most float64) float64 {
	low, high := 0.0, 0.0
	for _, r := range d.history {
		if r.rank == rank {
			high = max(high, r.demand)
		}
	}
	const steps = 20
	for range steps {
		middle := (low + high) / 2
		if d.averageRefused(rank, middle, most) > part {
			low = middle
		} else {
			high = middle
		}
	}
	return high
}

// averageRefused returns the part of the arrivals of a rank that is refused at a level.
func (d *Door) averageRefused(rank int, level, most float64) float64 {
	total, refused := 0.0, 0.0
	for _, r := range d.history {
		if r.rank != rank {
			continue
		}
		total += r.weight
		refused += r.weight * refusedAt(level, r.demand, most)
	}
	return refused / total
}

// refusedAt returns the part of a team's requests that is refused if teams may have the demand of level.
func refusedAt(level, demand, most float64) float64 { return min(max(1-level/demand, 0), most) }

// decayed returns what is left of a quantity after an age.
func decayed(age, timeConstant time.Duration) float64 {
	return math.Exp(-float64(max(age, 0)) / float64(timeConstant))
}
