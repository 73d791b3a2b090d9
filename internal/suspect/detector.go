package suspect

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/registry"
)

const (
	// minEnds and minTries are the evidence for a quarantine: so many upstream processes ended under so many tries of a
	// caller. The ends of a single try may have a common cause, such as the loss of a failure domain.
	minEnds  = 3
	minTries = 2
	// ConfirmDelay is how long a request is a candidate before it is quarantined. In this time the entry VMs report whether an upstream
	// has answered it.
	ConfirmDelay = 400 * time.Millisecond
	// retention is how long evidence is kept after the last end.
	retention = 10 * time.Minute
	// explainedFor is how long reports of an end that is explained may still arrive.
	explainedFor = time.Minute
	// maxRecords, maxEndsPerRecord and maxCandidates bound the memory of a detector and the size of a list of candidates.
	// Most requests have two records.
	maxRecords       = 2 * 4096
	maxEndsPerRecord = 64
	maxCandidates    = 2 * 64
	// maxNamedServices bounds the services that are named for a candidate.
	maxNamedServices = 8
)

// End is the end of an upstream process while a request ran there. It is sent between processes.
type End struct {
	// Fingerprint and CallerFingerprint are the Content and Caller of the request's Fingerprints, and Try is the try of its caller:
	// each has another ID. An entry VM of an earlier version sends no CallerFingerprint.
	Fingerprint       string
	CallerFingerprint string
	Try               string
	Service           string
	Upstream          registry.Process
	// Summary describes the request to operators, and Caller who sent it.
	Summary string
	Caller  string
}

func (e End) fingerprints() Fingerprints {
	return Fingerprints{Content: e.Fingerprint, Caller: e.CallerFingerprint}
}

// Answer states that upstreams of the services have answered a request. It is sent between processes.
type Answer struct {
	Fingerprint string
	Services    []string
}

// Candidate is a request that is about to be quarantined unless an upstream of the services has answered it.
type Candidate struct {
	Fingerprint string
	Services    []string
}

// Evidence is what a quarantine is based on.
type Evidence struct {
	// Ends is the number of upstream processes that ended, Tries that of the caller's tries under which they did, and VMs
	// that of the entry VMs that reported them.
	Ends  int `cbor:"1,keyasint" json:"upstreams_ended"`
	Tries int `cbor:"2,keyasint" json:"tries"`
	VMs   int `cbor:"3,keyasint" json:"entry_vms"`
	// Summary describes the request.
	Summary string `cbor:"4,keyasint" json:"request"`
}

// Decision is the decision to quarantine a request.
type Decision struct {
	Fingerprint string
	Duration    time.Duration
	Evidence    Evidence
}

// record is the evidence against all requests with one fingerprint.
type record struct {
	// content is the fingerprint of the content, which all records have in common whose requests differ in the caller only.
	content string
	summary string
	// ends maps the processes that ended to their services.
	ends  map[registry.Process]string
	tries map[string]bool
	vms   map[string]bool
	// candidateSince is when the evidence sufficed, zero before.
	candidateSince time.Time
	lastAt         time.Time
	// quarantinedUntil is the end of the last quarantine and quarantines the number of them.
	quarantinedUntil time.Time
	quarantines      int
	// callerQuarantined is set for a content if it was quarantined for a caller.
	callerQuarantined bool
}

// Detector finds the requests under which upstreams end, from the ends that entry VMs report. All requests that are at an
// upstream when it ends are in the same position. An upstream's answer clears a request, and an end counts only for the
// request that most ends have in common. Evidence is kept both by caller and content and by content alone: a request may be fatal
// for one caller only, or come from many callers. It is not safe for concurrent use.
type Detector struct {
	records map[string]*record
	// explained holds the processes whose end is explained by a quarantined request, and when they ended.
	explained map[registry.Process]time.Time
}

// NewDetector returns a detector without evidence.
func NewDetector() *Detector {
	return &Detector{records: map[string]*record{}, explained: map[registry.Process]time.Time{}}
}

// Observe adds an end that the entry VM has reported. It reports whether the request has become a candidate for a
// quarantine.
func (d *Detector) Observe(now time.Time, vm string, end End) (candidate bool) {
	for _, fingerprint := range end.fingerprints().each() {
		if r, known := d.records[fingerprint]; known && now.Before(r.quarantinedUntil) {
			d.explain(now, end.Upstream)
			return false
		}
	}
	if _, explained := d.explained[end.Upstream]; explained {
		return false
	}
	for _, fingerprint := range end.fingerprints().each() {
		becomes := d.recordFor(now, fingerprint, end).add(now, vm, end)
		candidate = candidate || becomes
	}
	return candidate
}

// recordFor returns the record of the fingerprint, creating it if needed.
func (d *Detector) recordFor(now time.Time, fingerprint string, end End) *record {
	r, known := d.records[fingerprint]
	if known {
		return r
	}
	d.makeRoom(now)
	r = &record{
		content: end.Fingerprint, summary: end.Summary, ends: map[registry.Process]string{}, tries: map[string]bool{}, vms: map[string]bool{},
	}
	if fingerprint != end.Fingerprint {
		r.summary += " from " + end.Caller
	}
	d.records[fingerprint] = r
	return r
}

// add adds an end, and reports whether the request has become a candidate.
func (r *record) add(now time.Time, vm string, end End) (candidate bool) {
	if now.Sub(r.lastAt) > retention {
		clear(r.ends)
		clear(r.tries)
		r.candidateSince = time.Time{}
	}
	r.lastAt = now
	r.vms[vm] = true
	if len(r.ends) < maxEndsPerRecord {
		r.ends[end.Upstream] = end.Service
	}
	if len(r.tries) < maxEndsPerRecord {
		r.tries[end.Try] = true
	}
	if r.candidateSince.IsZero() && len(r.ends) >= r.endsNeeded() {
		r.candidateSince = now
		return true
	}
	return false
}

// knownFatal reports whether the request was quarantined before, for a caller at least: the first try after that decides.
func (r *record) knownFatal() bool { return r.quarantines > 0 || r.callerQuarantined }

func (r *record) endsNeeded() int {
	if r.knownFatal() {
		return 1
	}
	return minEnds
}

func (r *record) triesNeeded() int {
	if r.knownFatal() {
		return 1
	}
	return minTries
}

// Cleared drops the evidence against a request at services whose upstreams have answered it. It reports whether the request
// was a candidate and is no longer.
func (d *Detector) Cleared(now time.Time, answer Answer) bool {
	r, known := d.records[answer.Fingerprint]
	if !known || now.Before(r.quarantinedUntil) {
		return false
	}
	maps.DeleteFunc(r.ends, func(_ registry.Process, service string) bool { return slices.Contains(answer.Services, service) })
	wasCandidate := !r.candidateSince.IsZero()
	d.review(answer.Fingerprint, r)
	return wasCandidate && r.candidateSince.IsZero()
}

// review withdraws a candidate whose evidence no longer suffices, and drops a record without evidence.
func (d *Detector) review(fingerprint string, r *record) {
	if len(r.ends) < r.endsNeeded() {
		r.candidateSince = time.Time{}
	}
	if len(r.ends) == 0 && !r.knownFatal() {
		delete(d.records, fingerprint)
	}
}

// Suspected reports whether an upstream has ended under the request that has not been explained otherwise.
func (d *Detector) Suspected(fingerprint string) bool {
	r, known := d.records[fingerprint]
	return known && len(r.ends) > 0
}

// SuspectedServices returns the services whose upstreams ended under the request, at most maxNamedServices, ordered.
func (d *Detector) SuspectedServices(fingerprint string) []string {
	r, known := d.records[fingerprint]
	if !known {
		return nil
	}
	services := slices.Compact(slices.Sorted(maps.Values(r.ends)))
	return services[:min(len(services), maxNamedServices)]
}

// Candidates returns the candidates for a quarantine, those with the strongest evidence first.
func (d *Detector) Candidates() []Candidate {
	var all []Candidate
	for _, fingerprint := range d.candidatesInOrder() {
		if len(all) == maxCandidates {
			break
		}
		all = append(all, Candidate{Fingerprint: fingerprint, Services: d.SuspectedServices(fingerprint)})
	}
	return all
}

// candidatesInOrder returns the fingerprints of the candidates, the ones with the strongest evidence first.
func (d *Detector) candidatesInOrder() []string {
	var all []string
	for fingerprint, r := range d.records {
		if !r.candidateSince.IsZero() {
			all = append(all, fingerprint)
		}
	}
	slices.SortFunc(all, func(a, b string) int {
		return cmp.Or(compareEvidence(d.records[b], d.records[a]), cmp.Compare(a, b))
	})
	return all
}

// compareEvidence compares the tries first: a single try of an innocent search may have been at the ends of many upstreams.
func compareEvidence(a, b *record) int {
	return cmp.Or(cmp.Compare(len(a.tries), len(b.tries)), cmp.Compare(len(a.ends), len(b.ends)))
}

// Due returns the requests to quarantine now. The caller reports each quarantine that is in force with Quarantined.
func (d *Detector) Due(now time.Time) []Decision {
	var decisions []Decision
	for _, fingerprint := range d.candidatesInOrder() {
		r := d.records[fingerprint]
		if now.Sub(r.candidateSince) < ConfirmDelay || !d.suffices(fingerprint, r) {
			continue
		}
		decisions = append(decisions, Decision{Fingerprint: fingerprint, Duration: r.nextDuration(), Evidence: Evidence{
			Ends: len(r.ends), Tries: len(r.tries), VMs: len(r.vms), Summary: r.summary,
		}})
	}
	return decisions
}

// NextDecision returns when Due may have decisions next, or the zero time if the evidence suffices against no request. Requests that need
// further evidence are left out.
func (d *Detector) NextDecision() time.Time {
	var next time.Time
	for fingerprint, r := range d.records {
		if r.candidateSince.IsZero() || !d.suffices(fingerprint, r) {
			continue
		}
		if at := r.candidateSince.Add(ConfirmDelay); next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next
}

// suffices reports whether the evidence against a candidate is enough. That against one of several callers goes before that against the
// content: the others lose nothing then.
func (d *Detector) suffices(fingerprint string, r *record) bool {
	if len(r.tries) < r.triesNeeded() || d.isAmbiguous(fingerprint, r) {
		return false
	}
	if fingerprint != r.content {
		return true
	}
	for other, o := range d.records {
		if other != fingerprint && o.content == r.content && !o.candidateSince.IsZero() && d.suffices(other, o) {
			return false
		}
	}
	return true
}

// nextDuration doubles with each quarantine of the same request.
func (r *record) nextDuration() time.Duration {
	duration := Quarantine
	for range r.quarantines {
		duration = min(2*duration, MaxQuarantine)
	}
	return duration
}

// isAmbiguous reports whether another request that was at one of the same ends has at least as much evidence against it, so that
// either of them may be the cause. The next end tells them apart. The evidence against one caller is part of that against the content,
// which does not speak for another cause.
func (d *Detector) isAmbiguous(fingerprint string, r *record) bool {
	for other, o := range d.records {
		partOfOther := o.content == r.content && (other == o.content || fingerprint == r.content)
		if other == fingerprint || partOfOther || compareEvidence(o, r) < 0 {
			continue
		}
		for process := range r.ends {
			if _, shared := o.ends[process]; shared {
				return true
			}
		}
	}
	return false
}

// Quarantined records that a request is quarantined. It explains the ends that the request was at, which no longer count
// against others.
func (d *Detector) Quarantined(now time.Time, v Decision) {
	r, known := d.records[v.Fingerprint]
	if !known {
		return
	}
	processes := slices.Collect(maps.Keys(r.ends))
	clear(r.ends)
	clear(r.tries)
	r.candidateSince = time.Time{}
	r.quarantinedUntil = now.Add(v.Duration)
	r.quarantines++
	r.lastAt = now
	if content, ok := d.records[r.content]; ok && content != r {
		content.callerQuarantined = true
	}
	for _, process := range processes {
		d.explain(now, process)
	}
}

// explain removes an end from the evidence against all requests.
func (d *Detector) explain(now time.Time, process registry.Process) {
	if len(d.explained) >= maxRecords {
		maps.DeleteFunc(d.explained, func(_ registry.Process, at time.Time) bool { return now.Sub(at) > explainedFor })
	}
	d.explained[process] = now
	for fingerprint, r := range d.records {
		if _, shared := r.ends[process]; shared {
			delete(r.ends, process)
			d.review(fingerprint, r)
		}
	}
}

// makeRoom drops old evidence, and the weakest eighth if there is still too much: requests that were quarantined or are
// candidates stay longest, so that many other requests do not help one to be forgotten.
func (d *Detector) makeRoom(now time.Time) {
	if len(d.records) < maxRecords {
		return
	}
	maps.DeleteFunc(d.records, func(_ string, r *record) bool { return now.Sub(r.lastAt) > retention && now.After(r.quarantinedUntil) })
	if len(d.records) < maxRecords {
		return
	}
	weakestFirst := slices.SortedFunc(maps.Keys(d.records), func(a, b string) int { return compareStrength(d.records[a], d.records[b]) })
	for _, fingerprint := range weakestFirst[:maxRecords/8] {
		delete(d.records, fingerprint)
	}
}

func compareStrength(a, b *record) int {
	return cmp.Or(cmp.Compare(a.quarantines, b.quarantines), compareEvidence(a, b), a.lastAt.Compare(b.lastAt))
}
