package control

import (
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/controlstate"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/suspect"
)

const (
	// decideDelay is the time between reports and the decision whether to quarantine a request that they make a candidate.
	decideDelay = suspect.ConfirmDelay + 10*time.Millisecond
	// decideRetry is the time after which a quarantine that could not be recorded is tried again.
	decideRetry = 300 * time.Millisecond
)

// suspectTable holds the evidence that entry VMs have reported to this leader. It is safe for concurrent use.
type suspectTable struct {
	// deciding is held while quarantines are recorded, so that each is recorded once.
	deciding sync.Mutex

	// mu guards the fields below.
	mu       sync.Mutex
	term     uint64
	detector *suspect.Detector
	// candidates is the list of candidates and digest its digest, 0 for an empty list. changed is closed and replaced when
	// they change.
	candidates []suspect.Candidate
	digest     uint64
	changed    chan struct{}
}

func newSuspectTable() *suspectTable {
	return &suspectTable{detector: suspect.NewDetector(), changed: make(chan struct{})}
}

// enterTerm drops the evidence in a new term. The entry VMs report theirs again to a new leader.
func (t *suspectTable) enterTerm(term uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.term == term {
		return
	}
	t.term = term
	t.detector = suspect.NewDetector()
	t.refresh()
}

// watch returns the digest of the candidates and a channel that is closed when they change.
func (t *suspectTable) watch() (uint64, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.digest, t.changed
}

func (t *suspectTable) list() ([]suspect.Candidate, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.candidates, t.digest
}

// refresh rebuilds the list of candidates. The caller holds mu.
func (t *suspectTable) refresh() {
	t.candidates = t.detector.Candidates()
	digest := candidatesDigest(t.candidates)
	if digest == t.digest {
		return
	}
	t.digest = digest
	close(t.changed)
	t.changed = make(chan struct{})
}

func candidatesDigest(candidates []suspect.Candidate) uint64 {
	if len(candidates) == 0 {
		return 0
	}
	hash := xxhash.New()
	for _, candidate := range candidates {
		_, _ = hash.WriteString(candidate.Fingerprint + "\x00")
		for _, service := range candidate.Services {
			_, _ = hash.WriteString(service + "\x00")
		}
	}
	return hash.Sum64()
}

// observe adds what an entry VM reports. It returns the number of requests that may have to be quarantined, and the answers
// after which one no longer is among them.
func (t *suspectTable) observe(now time.Time, vm string, report suspect.Report) (candidates int, clearing []suspect.Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, end := range report.Ends {
		t.detector.Observe(now, vm, end)
	}
	for _, answer := range report.Answers {
		if t.detector.Cleared(now, answer) {
			clearing = append(clearing, answer)
		}
	}
	t.refresh()
	return len(t.candidates), clearing
}

func (t *suspectTable) due(now time.Time) []suspect.Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.detector.Due(now)
}

func (t *suspectTable) quarantined(now time.Time, decision suspect.Decision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.detector.Quarantined(now, decision)
	t.refresh()
}

// ReportSuspects takes what an entry VM knows about requests under which upstreams ended.
func (s *Service) ReportSuspects(args controlrpc.ReportSuspectsArgs, reply *controlrpc.Ack) error {
	reply.Members, reply.Leader = s.knownMembers()
	reply.Fault = fault.ToWire(s.reportSuspects(args))
	return nil
}

func (s *Service) reportSuspects(args controlrpc.ReportSuspectsArgs) error {
	if err := s.checkLeader(); err != nil {
		return err
	}
	s.suspects.enterTerm(s.replicator.Term())
	candidates, clearing := s.suspects.observe(s.now(), args.Watcher, args.Report)
	s.log.Info("ends of upstreams reported", "vm", args.Watcher, "ends", len(args.Report.Ends), "answers", len(args.Report.Answers),
		"candidates", candidates)
	for _, answer := range clearing {
		s.log.Info("suspected request cleared", "vm", args.Watcher, "fingerprint", answer.Fingerprint, "services", strings.Join(answer.Services, ","))
	}
	if candidates > 0 {
		time.AfterFunc(decideDelay, s.decideQuarantines)
	}
	return nil
}

// decideQuarantines quarantines the requests for which the evidence suffices.
func (s *Service) decideQuarantines() {
	s.suspects.deciding.Lock()
	defer s.suspects.deciding.Unlock()
	if s.checkLeader() != nil {
		return
	}
	decisions := s.suspects.due(s.now())
	for _, decision := range decisions {
		if err := s.quarantine(decision); err != nil {
			s.log.Warn("quarantine not recorded", "fingerprint", decision.Fingerprint, "retry_ms", decideRetry.Milliseconds(),
				"code", fault.CodeOf(err), "error", err)
			time.AfterFunc(decideRetry, s.decideQuarantines)
			return
		}
	}
	if len(decisions) > 0 {
		// Without the ends that are explained now, the evidence against another request may have become unambiguous.
		time.AfterFunc(decideDelay, s.decideQuarantines)
	}
}

func (s *Service) quarantine(decision suspect.Decision) error {
	add := controlstate.AddQuarantine{
		Fingerprint: decision.Fingerprint, DurationMillis: decision.Duration.Milliseconds(), Evidence: decision.Evidence,
	}
	result, err := s.proposeOnLeader(controlstate.Command{AddQuarantine: &add})
	if err != nil {
		return err
	}
	s.suspects.quarantined(s.now(), decision)
	s.log.Warn("request quarantined", "fingerprint", decision.Fingerprint, "duration", decision.Duration, "summary", decision.Evidence.Summary,
		"upstreams_ended", decision.Evidence.Ends, "tries", decision.Evidence.Tries, "entry_vms", decision.Evidence.VMs, "revision", result.Revision)
	return nil
}

// fillSuspects adds the candidates for a quarantine to the reply unless the watcher already knows them.
func (s *Service) fillSuspects(args controlrpc.WatchArgs, reply *controlrpc.WatchReply) {
	if !args.FollowsSuspects {
		return
	}
	candidates, digest := s.suspects.list()
	reply.SuspectsDigest = digest
	if digest != args.SuspectsDigest {
		reply.Suspects = candidates
	}
}
