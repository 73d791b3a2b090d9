package controlstate

import (
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/model"
)

// Member returns the registered instance of an entry VM.
func (s *State) Member(id string) (model.Member, bool) {
	member, ok := s.members[id]
	return member, ok
}

func (s *State) joinMember(index uint64, join JoinMember) Result {
	member := join.Member
	if member.ID == "" || len(member.ID) > maxIdentifierBytes || member.RPCAddress == "" {
		return s.refuse(fault.New(fault.BadRequest, "member.join", "an entry VM needs a valid ID and an RPC address"))
	}
	if _, known := s.members[member.ID]; !known && len(s.members) >= s.limits.members {
		return s.refuse(fault.New(fault.Unavailable, "member.join", "the maximum of %d entry VMs is already registered", len(s.members)))
	}
	member.Instance = index
	member.Leaving = false
	s.members[member.ID] = member
	result := s.advanceRevision(index)
	result.Instance = index
	return result
}

func (s *State) retireMember(index uint64, retire RetireMember) Result {
	member := s.members[retire.ID]
	if !s.isCurrentInstance(retire.ID, retire.Instance) || member.Leaving {
		return s.currentResult()
	}
	member.Leaving = true
	s.members[retire.ID] = member
	return s.advanceRevision(index)
}

// expireMember removes only the instance that the command names, because the entry VM may have joined again since.
func (s *State) expireMember(index uint64, expire ExpireMember) Result {
	if !s.isCurrentInstance(expire.ID, expire.Instance) {
		return s.currentResult()
	}
	delete(s.members, expire.ID)
	return s.advanceRevision(index)
}

// isCurrentInstance reports whether the instance is the registered one of the entry VM.
func (s *State) isCurrentInstance(id string, instance uint64) bool {
	member, ok := s.members[id]
	return ok && member.Instance == instance
}
