package suspect

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

const (
	// MaxQuarantine is the maximum duration of a quarantine.
	MaxQuarantine = 24 * time.Hour
	// localQuarantine is the duration of a quarantine that an entry VM decides by itself, from its own evidence, in case that it
	// has lost the control group.
	localQuarantine = 30 * time.Second
	// reportDelay is how long a VM keeps an end to itself. Most innocent requests are answered by another upstream meanwhile.
	reportDelay = 200 * time.Millisecond
	// resendAge is the age up to which ends are reported again to a new leader of the control group.
	resendAge = 30 * time.Second
	// maxHeldEnds bounds the ends that a VM keeps for a report, and maxReport those in one report.
	maxHeldEnds = 1024
	maxReport   = 256
	// answerMemory is how long an answer counts for a request that becomes a candidate later.
	answerMemory = 10 * time.Second
	// maxAnswers bounds the fingerprints of answered requests that a VM remembers, in each of two generations. Most requests have two.
	maxAnswers = 2 * 2048
	// maxQuarantined bounds the quarantines that a VM holds.
	maxQuarantined = 16384
)

// QuarantinedError is returned for a request that was not sent because it is quarantined.
type QuarantinedError struct {
	// RetryAfter is the time until the quarantine ends.
	RetryAfter time.Duration
}

// Error implements the error interface.
func (e *QuarantinedError) Error() string {
	return fmt.Sprintf("upstreams ended under this request, it is refused for %s", e.RetryAfter.Round(time.Second))
}

// Quarantined is a quarantine in force. It is sent between processes, whose times of day may differ.
type Quarantined struct {
	Fingerprint string
	// Remaining is the time until it ends.
	Remaining time.Duration
}

// Report is what a VM tells the control group.
type Report struct {
	Ends    []End
	Answers []Answer
}

// Empty reports whether there is nothing to tell.
func (r Report) Empty() bool { return len(r.Ends) == 0 && len(r.Answers) == 0 }

// heldEnd is an end that is to be reported, or was.
type heldEnd struct {
	end End
	at  time.Time
	// contentAnswered is set once it was reported that an upstream has answered the same content for another caller.
	contentAnswered bool
}

// isOf reports whether the end was under a request of the same caller with the same content.
func (h heldEnd) isOf(f Fingerprints) bool { return h.end.fingerprints() == f }

// answered is a request that upstreams have answered lately.
type answered struct {
	at time.Time
	// services are those of the request, except those in missing.
	services, missing []string
}

func (a answered) includes(service string) bool {
	return slices.Contains(a.services, service) && !slices.Contains(a.missing, service)
}

// Guard holds what one entry VM knows about requests under which upstreams end. It is not safe for concurrent use.
type Guard struct {
	vm string
	// detector holds this VM's own evidence.
	detector *Detector
	// quarantined holds the ends of quarantines.
	quarantined map[string]time.Time
	// candidates holds the requests that the control group is about to quarantine, and their services.
	candidates map[string][]string
	// held are the ends to report, in order, and reported those that were reported lately.
	held, reported []heldEnd
	// answersToReport holds the answers to report, by fingerprint.
	answersToReport map[string]Answer
	// recent and older hold the answered requests. Both are replaced in turn, so that the memory is bounded.
	recent, older map[string]answered
	rotatedAt     time.Time
}

// NewGuard returns a guard of the VM that knows nothing.
func NewGuard(vm string) *Guard {
	return &Guard{
		vm: vm, detector: NewDetector(), quarantined: map[string]time.Time{}, candidates: map[string][]string{}, answersToReport: map[string]Answer{},
		recent: map[string]answered{}, older: map[string]answered{},
	}
}

// Refused returns how long the request is still quarantined, or 0 if it is not.
func (g *Guard) Refused(now time.Time, request Fingerprints) time.Duration {
	var longest time.Duration
	for _, fingerprint := range request.each() {
		longest = max(longest, g.refused(now, fingerprint))
	}
	return longest
}

func (g *Guard) refused(now time.Time, fingerprint string) time.Duration {
	until, ok := g.quarantined[fingerprint]
	if !ok {
		return 0
	}
	if !now.Before(until) {
		delete(g.quarantined, fingerprint)
		return 0
	}
	return until.Sub(now)
}

// AnyQuarantined reports whether any request is quarantined.
func (g *Guard) AnyQuarantined() bool { return len(g.quarantined) > 0 }

// Suspected returns whether the request must be tried with caution, and the services whose upstreams have ended under it.
func (g *Guard) Suspected(request Fingerprints) (suspected bool, services []string) {
	for _, fingerprint := range request.each() {
		if services, ok := g.candidates[fingerprint]; ok {
			return true, services
		}
		if g.detector.Suspected(fingerprint) {
			return true, g.detector.SuspectedServices(fingerprint)
		}
	}
	return false, nil
}

// Ended records that an upstream ended while it ran a request.
func (g *Guard) Ended(now time.Time, end End) {
	g.detector.Observe(now, g.vm, end)
	if len(g.held) < maxHeldEnds {
		g.held = append(g.held, heldEnd{end: end, at: now})
	}
}

// Answered records that upstreams of the services, except the missing ones, have answered a request. It reports whether the
// request was suspected.
func (g *Guard) Answered(now time.Time, request Fingerprints, services, missing []string) (wasSuspected bool) {
	a := answered{at: now, services: services, missing: missing}
	for _, fingerprint := range request.each() {
		g.remember(now, fingerprint, a)
		_, isCandidate := g.candidates[fingerprint]
		wasSuspected = wasSuspected || isCandidate || g.detector.Suspected(fingerprint)
	}
	if !wasSuspected {
		return false
	}
	g.held = slices.DeleteFunc(g.held, func(h heldEnd) bool { return h.isOf(request) && a.includes(h.end.Service) })
	cleared := slices.DeleteFunc(slices.Clone(services), func(s string) bool { return !a.includes(s) })
	for _, fingerprint := range request.each() {
		g.detector.Cleared(now, Answer{Fingerprint: fingerprint, Services: cleared})
		g.reportAnswer(fingerprint, g.takeAnsweredEnds(request, fingerprint, a), a)
	}
	return true
}

// takeAnsweredEnds returns the services of the ends reported under the fingerprint that the answer clears and that no answer has
// been reported for. Ends under requests of the same caller are dropped; those of other callers count on for these.
func (g *Guard) takeAnsweredEnds(request Fingerprints, fingerprint string, a answered) []string {
	var services []string
	kept := g.reported[:0]
	for _, h := range g.reported {
		under := slices.Contains(h.end.fingerprints().each(), fingerprint) && a.includes(h.end.Service)
		if under && (h.isOf(request) || !h.contentAnswered) && !slices.Contains(services, h.end.Service) {
			services = append(services, h.end.Service)
		}
		switch {
		case !under:
		case !h.isOf(request):
			h.contentAnswered = true
		case fingerprint == request.Content:
			continue
		}
		kept = append(kept, h)
	}
	g.reported = kept
	return services
}

// reportAnswer reports that a request was answered at the services, and at those of a candidate that the answer includes.
func (g *Guard) reportAnswer(fingerprint string, services []string, a answered) {
	for _, service := range g.candidates[fingerprint] {
		if a.includes(service) && !slices.Contains(services, service) {
			services = append(services, service)
		}
	}
	if len(services) > 0 && len(g.answersToReport) < maxReport {
		g.answersToReport[fingerprint] = Answer{Fingerprint: fingerprint, Services: services}
	}
}

// remember keeps an answered request for answerMemory to twice that.
func (g *Guard) remember(now time.Time, fingerprint string, a answered) {
	if now.Sub(g.rotatedAt) > answerMemory || len(g.recent) >= maxAnswers {
		g.recent, g.older, g.rotatedAt = map[string]answered{}, g.recent, now
	}
	g.recent[fingerprint] = a
}

// AdoptCandidates replaces the list of candidates by the control group's. Those that upstreams have answered
// lately are reported.
func (g *Guard) AdoptCandidates(now time.Time, candidates []Candidate) {
	g.candidates = map[string][]string{}
	for _, request := range candidates {
		g.candidates[request.Fingerprint] = request.Services
		a, ok := g.recent[request.Fingerprint]
		if !ok {
			a, ok = g.older[request.Fingerprint]
		}
		if ok && now.Sub(a.at) <= answerMemory {
			g.reportAnswer(request.Fingerprint, nil, a)
		}
	}
}

// AdoptQuarantined adds quarantines of the control group, or replaces all if the list is whole.
func (g *Guard) AdoptQuarantined(now time.Time, list []Quarantined, whole bool) {
	if whole {
		clear(g.quarantined)
	}
	for _, q := range list {
		g.quarantine(now, q.Fingerprint, q.Remaining)
	}
}

func (g *Guard) quarantine(now time.Time, fingerprint string, duration time.Duration) {
	if len(g.quarantined) >= maxQuarantined {
		maps.DeleteFunc(g.quarantined, func(_ string, until time.Time) bool { return !now.Before(until) })
	}
	until := now.Add(duration)
	if _, ok := g.quarantined[fingerprint]; !ok && len(g.quarantined) >= maxQuarantined {
		return
	}
	if until.After(g.quarantined[fingerprint]) {
		g.quarantined[fingerprint] = until
	}
	g.detector.Quarantined(now, Decision{Fingerprint: fingerprint, Duration: duration})
}

// DecideLocally quarantines the requests for which this VM's own evidence suffices, and returns them.
func (g *Guard) DecideLocally(now time.Time) []Decision {
	decisions := g.detector.Due(now)
	for n := range decisions {
		decisions[n].Duration = localQuarantine
		g.quarantine(now, decisions[n].Fingerprint, localQuarantine)
	}
	return decisions
}

// NextWakeup returns when TakeReport and DecideLocally must be called next, or the zero time if there is nothing to do.
func (g *Guard) NextWakeup(now time.Time) time.Time {
	if len(g.answersToReport) > 0 {
		return now
	}
	next := g.detector.NextDecision()
	if len(g.held) > 0 {
		if due := g.held[0].at.Add(reportDelay); next.IsZero() || due.Before(next) {
			next = due
		}
	}
	return next
}

// TakeReport returns the report that is due now. The caller passes it to PutBack if it could not be delivered.
func (g *Guard) TakeReport(now time.Time) Report {
	report := Report{Answers: slices.Collect(maps.Values(g.answersToReport))}
	clear(g.answersToReport)
	g.reported = slices.DeleteFunc(g.reported, func(h heldEnd) bool { return now.Sub(h.at) > resendAge })
	for len(g.held) > 0 && len(report.Ends) < maxReport && now.Sub(g.held[0].at) >= reportDelay {
		report.Ends = append(report.Ends, g.held[0].end)
		if len(g.reported) < maxHeldEnds {
			g.reported = append(g.reported, g.held[0])
		}
		g.held = g.held[1:]
	}
	return report
}

// PutBack takes a report back that could not be delivered.
func (g *Guard) PutBack(report Report) {
	for _, answer := range report.Answers {
		if _, newer := g.answersToReport[answer.Fingerprint]; !newer {
			g.answersToReport[answer.Fingerprint] = answer
		}
	}
	var again []heldEnd
	for _, h := range g.reported {
		if slices.Contains(report.Ends, h.end) {
			again = append(again, h)
		}
	}
	g.held = append(again, g.held...)
	g.reported = slices.DeleteFunc(g.reported, func(h heldEnd) bool { return slices.Contains(report.Ends, h.end) })
}

// ResendAll makes this VM report its evidence again, because the control group has a new leader that does not have it.
func (g *Guard) ResendAll() {
	g.held = append(g.reported, g.held...)
	g.reported = nil
}
