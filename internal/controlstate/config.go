package controlstate

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/model"
)

const (
	maxIdentifierBytes = 200
	// maxReportedProblems bounds the size of a refusal, which is kept in the state for resends.
	maxReportedProblems = 100
)

// configChange is the recorded result of a configuration change, which resends get again.
type configChange struct {
	ID       string           `cbor:"1,keyasint"`
	Digest   string           `cbor:"2,keyasint"`
	Version  uint64           `cbor:"3,keyasint"`
	Revision uint64           `cbor:"4,keyasint"`
	Fault    *fault.WireError `cbor:"5,keyasint,omitempty"`
}

// changeLog holds the results of the latest configuration changes in log order, so that all members evict the same
// ones.
type changeLog struct {
	byID  map[string]configChange
	order []string
}

func newChangeLog() changeLog { return changeLog{byID: map[string]configChange{}} }

func (l *changeLog) add(change configChange, bound int) {
	l.byID[change.ID] = change
	l.order = append(l.order, change.ID)
	for len(l.order) > bound {
		delete(l.byID, l.order[0])
		l.order = l.order[1:]
	}
}

// Digest returns a hash of the base version and the content of the change.
func (c ApplyConfig) Digest() string {
	options := cbor.CanonicalEncOptions()
	// gob does not distinguish nil and empty slices, so a resend may differ in this respect.
	options.NilContainers = cbor.NilContainerAsEmpty
	mode, err := options.EncMode()
	if err != nil {
		panic(err) // The options are constant.
	}
	data, err := mode.Marshal(ApplyConfig{BaseVersion: c.BaseVersion, Inventory: c.Inventory, Rules: c.Rules})
	if err != nil {
		panic(err) // The type consists only of strings, numbers and slices of them.
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

func (s *State) applyConfig(index uint64, change ApplyConfig) Result {
	if change.ChangeID == "" || len(change.ChangeID) > maxIdentifierBytes {
		return s.refuse(fault.New(fault.BadRequest, "config.apply", "change ID must have 1 to %d bytes", maxIdentifierBytes))
	}
	digest := change.Digest()
	if earlier, ok := s.changes.byID[change.ChangeID]; ok {
		return s.firstResult(earlier, digest)
	}
	if err := s.checkChange(change); err != nil {
		refused := s.refuse(err)
		s.recordChange(change.ChangeID, digest, refused)
		return refused
	}
	s.config = model.Configuration{Version: s.config.Version + 1, Inventory: change.Inventory, Rules: change.Rules}
	result := s.advanceRevision(index)
	result.Version = s.config.Version
	s.recordChange(change.ChangeID, digest, result)
	return result
}

// firstResult returns the recorded result of a resent change.
func (s *State) firstResult(earlier configChange, digest string) Result {
	if earlier.Digest != digest {
		return s.refuse(fault.New(fault.Conflict, "config.apply",
			"change ID %q was already used with a different base version or content", earlier.ID))
	}
	return Result{Revision: earlier.Revision, Version: earlier.Version, Fault: earlier.Fault}
}

func (s *State) recordChange(id, digest string, result Result) {
	s.changes.add(configChange{
		ID: id, Digest: digest, Version: result.Version, Revision: result.Revision, Fault: result.Fault,
	}, s.limits.changes)
}

func (s *State) checkChange(change ApplyConfig) error {
	if change.BaseVersion != s.config.Version {
		return fault.New(fault.Conflict, "config.apply", "base version is %d, current version is %d",
			change.BaseVersion, s.config.Version)
	}
	if problems := model.Validate(change.Inventory, change.Rules); len(problems) > 0 {
		return invalidConfig(problems)
	}
	return nil
}

func invalidConfig(problems []model.Problem) error {
	reported := problems[:min(len(problems), maxReportedProblems)]
	lines := make([]string, 0, len(reported))
	for _, problem := range reported {
		lines = append(lines, problem.String())
	}
	return fault.New(fault.BadRequest, "config.apply", "%d problems: %s", len(problems), strings.Join(lines, "; "))
}
