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
		return s.refuse(fault.New(fault.BadRequest, "member.join", "a member needs an identity and an address"))
	}
	if _, known := s.members[member.ID]; !known && len(s.members) >= s.limits.members {
		return s.refuse(fault.New(fault.Unavailable, "member.join", "%d members are registered already", len(s.members)))
	}
	member.Instance = index
	member.Leaving = false
	s.members[member.ID] = member
	result := s.changed(index)
	result.Instance = index
	return result
}

func (s *State) retireMember(index uint64, retire RetireMember) Result {
	member := s.members[retire.ID]
	if !s.isCurrentInstance(retire.ID, retire.Instance) || member.Leaving {
		return s.unchanged()
	}
	member.Leaving = true
	s.members[retire.ID] = member
	return s.changed(index)
}

// expireMember removes exactly the instance that the command names, because the member may have joined again since.
func (s *State) expireMember(index uint64, expire ExpireMember) Result {
	if !s.isCurrentInstance(expire.ID, expire.Instance) {
		return s.unchanged()
	}
	delete(s.members, expire.ID)
	return s.changed(index)
}

func (s *State) isCurrentInstance(id string, instance uint64) bool {
	member, ok := s.members[id]
	return ok && member.Instance == instance
}
