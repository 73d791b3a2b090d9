package controlstate

import (
	"time"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/suspect"
)

// maxSummaryBytes bounds the description of a quarantined request.
const maxSummaryBytes = 256

// quarantine refuses the requests with a fingerprint.
type quarantine struct {
	untilMillis, sinceMillis int64
	// revision is the log index of the last change.
	revision uint64
	evidence suspect.Evidence
}

func (s *State) addQuarantine(index uint64, add AddQuarantine) Result {
	if add.Fingerprint == "" || len(add.Fingerprint) > maxIdentifierBytes {
		return s.refuse(fault.New(fault.BadRequest, "quarantine.add", "fingerprint must have 1 to %d bytes", maxIdentifierBytes))
	}
	if add.DurationMillis <= 0 || add.DurationMillis > suspect.MaxQuarantine.Milliseconds() {
		return s.refuse(fault.New(fault.BadRequest, "quarantine.add", "duration must be greater than 0 and at most %s", suspect.MaxQuarantine))
	}
	until := s.nowMillis + add.DurationMillis
	known, extends := s.quarantines[add.Fingerprint]
	if until <= known.untilMillis {
		return s.currentResult()
	}
	next := quarantine{untilMillis: until, sinceMillis: s.nowMillis, revision: index, evidence: add.Evidence}
	if extends {
		next.sinceMillis = known.sinceMillis
	}
	next.evidence.Summary = next.evidence.Summary[:min(len(next.evidence.Summary), maxSummaryBytes)]
	s.quarantines[add.Fingerprint] = next
	if len(s.quarantines) > s.limits.quarantines {
		s.evictQuarantine()
	}
	return s.advanceRevision(index)
}

// evictQuarantine removes the quarantine that would end first. The fingerprint breaks ties, so that all members remove
// the same one.
func (s *State) evictQuarantine() {
	var first string
	for fingerprint, q := range s.quarantines {
		until := s.quarantines[first].untilMillis
		if first == "" || q.untilMillis < until || (q.untilMillis == until && fingerprint < first) {
			first = fingerprint
		}
	}
	delete(s.quarantines, first)
}

func (s *State) clearQuarantine(index uint64, clear ClearQuarantine) Result {
	if clear.All {
		if len(s.quarantines) == 0 {
			return s.currentResult()
		}
		s.quarantines = map[string]quarantine{}
		s.quarantinesCleared = index
		return s.advanceRevision(index)
	}
	if _, ok := s.quarantines[clear.Fingerprint]; !ok {
		return s.refuse(fault.New(fault.NotFound, "quarantine.clear", "fingerprint %q is not quarantined", clear.Fingerprint))
	}
	delete(s.quarantines, clear.Fingerprint)
	s.quarantinesCleared = index
	return s.advanceRevision(index)
}

// expireQuarantines removes the quarantines that have ended, and reports whether there were any.
func (s *State) expireQuarantines() bool {
	expired := false
	for fingerprint, q := range s.quarantines {
		if q.untilMillis <= s.nowMillis {
			delete(s.quarantines, fingerprint)
			expired = true
		}
	}
	return expired
}

// QuarantinesSince returns the quarantines that were added or extended after the revision, with the time that they last from
// now on. The list is whole if quarantines were ended early after the revision.
func (s *State) QuarantinesSince(revision uint64, now time.Time) (list []suspect.Quarantined, whole bool) {
	whole = revision < s.quarantinesCleared
	for fingerprint, q := range s.quarantines {
		remaining := time.UnixMilli(q.untilMillis).Sub(now)
		if remaining > 0 && (whole || q.revision > revision) {
			list = append(list, suspect.Quarantined{Fingerprint: fingerprint, Remaining: remaining})
		}
	}
	return list, whole
}
