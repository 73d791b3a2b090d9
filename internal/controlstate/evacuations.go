package controlstate

import (
	"maps"
	"slices"
	"unicode"
	"unicode/utf8"

	"github.com/wisteriamux/wisteriamux/internal/fault"
)

const (
	// MaxEvacuations is the number of failure domains that may be evacuated at the same time.
	MaxEvacuations = 64
	// maxDomainCharacters bounds the name of a failure domain.
	maxDomainCharacters = 64
)

// SetEvacuation evacuates a failure domain, or ends its evacuation if Active is not set. A command that changes nothing does not fail,
// so that a resend succeeds like the first one. The failure domain need not have any upstreams.
type SetEvacuation struct {
	FailureDomain string `cbor:"1,keyasint"`
	Active        bool   `cbor:"2,keyasint,omitempty"`
}

// CheckEvacuation returns an error if the name cannot be that of a failure domain.
func CheckEvacuation(domain string) error {
	if !utf8.ValidString(domain) || domain == "" || utf8.RuneCountInString(domain) > maxDomainCharacters {
		return fault.New(fault.BadRequest, "evacuation.set", "the name of a failure domain must have 1 to %d characters", maxDomainCharacters)
	}
	for _, character := range domain {
		if !unicode.IsGraphic(character) || unicode.IsSpace(character) {
			return fault.New(fault.BadRequest, "evacuation.set", "the name of a failure domain must consist of visible characters, but %q contains %q",
				domain, character)
		}
	}
	return nil
}

func (s *State) setEvacuation(index uint64, set SetEvacuation) Result {
	if err := CheckEvacuation(set.FailureDomain); err != nil {
		return s.refuse(err)
	}
	switch {
	case s.evacuated[set.FailureDomain] == set.Active:
		return s.currentResult()
	case !set.Active:
		delete(s.evacuated, set.FailureDomain)
	case len(s.evacuated) >= MaxEvacuations:
		return s.refuse(fault.New(fault.BadRequest, "evacuation.set", "%d failure domains are evacuated, which is the limit", MaxEvacuations))
	default:
		s.evacuated[set.FailureDomain] = true
	}
	s.evacuationsChanged = index
	return s.advanceRevision(index)
}

// Evacuated returns the evacuated failure domains in order.
func (s *State) Evacuated() []string { return slices.Sorted(maps.Keys(s.evacuated)) }

// EvacuatedSince returns the evacuated failure domains if they changed after the revision.
func (s *State) EvacuatedSince(revision uint64) (domains []string, changed bool) {
	if s.evacuationsChanged <= revision {
		return nil, false
	}
	return s.Evacuated(), true
}
