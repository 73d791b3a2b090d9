package controlstate

import (
	"time"

	"github.com/wisteriamux/wisteriamux/internal/fault"
)

// MaxQuarantine is the maximum duration of a quarantine.
const MaxQuarantine = 24 * time.Hour

func (s *State) addQuarantine(index uint64, add AddQuarantine) Result {
	if add.Fingerprint == "" || len(add.Fingerprint) > maxIdentifierBytes {
		return s.refuse(fault.New(fault.BadRequest, "quarantine.add", "fingerprint must have 1 to %d bytes", maxIdentifierBytes))
	}
	if add.DurationMillis <= 0 || add.DurationMillis > MaxQuarantine.Milliseconds() {
		return s.refuse(fault.New(fault.BadRequest, "quarantine.add", "duration must be greater than 0 and at most %s", MaxQuarantine))
	}
	until := s.nowMillis + add.DurationMillis
	if until <= s.quarantines[add.Fingerprint] {
		return s.currentResult()
	}
	s.quarantines[add.Fingerprint] = until
	if len(s.quarantines) > s.limits.quarantines {
		s.evictQuarantine()
	}
	return s.advanceRevision(index)
}

// evictQuarantine removes the quarantine that would end first. The fingerprint breaks ties, so that all members remove
// the same one.
func (s *State) evictQuarantine() {
	var first string
	for fingerprint, until := range s.quarantines {
		if first == "" || until < s.quarantines[first] || (until == s.quarantines[first] && fingerprint < first) {
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
		s.quarantines = map[string]int64{}
		return s.advanceRevision(index)
	}
	if _, ok := s.quarantines[clear.Fingerprint]; !ok {
		return s.refuse(fault.New(fault.NotFound, "quarantine.clear", "fingerprint %q is not quarantined", clear.Fingerprint))
	}
	delete(s.quarantines, clear.Fingerprint)
	return s.advanceRevision(index)
}

// expireQuarantines removes the quarantines that have ended, and reports whether there were any.
func (s *State) expireQuarantines() bool {
	expired := false
	for fingerprint, until := range s.quarantines {
		if until <= s.nowMillis {
			delete(s.quarantines, fingerprint)
			expired = true
		}
	}
	return expired
}
