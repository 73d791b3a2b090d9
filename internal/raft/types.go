// Package raft implements the Raft consensus algorithm for the control group as a deterministic state machine. It
// performs no I/O, reads no clock and starts no goroutines: the driver feeds it ticks, messages and proposals, and
// carries out the Ready batches that it returns.
package raft

import "slices"

// EntryKind is the type of a log entry.
type EntryKind uint8

// Entry kinds.
const (
	// EntryEmpty is the no-op entry that a new leader appends in order to commit the entries of earlier terms.
	EntryEmpty EntryKind = iota
	// EntryCommand carries a command for the replicated state machine.
	EntryCommand
	// EntryMembership carries the complete membership that takes effect with this entry.
	EntryMembership
)

// Entry is one entry of the replicated log.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  EntryKind
	Data  []byte
}

// HardState is the state that must be persisted before the DeferredMessages of the same Ready are sent.
type HardState struct {
	Term   uint64
	Vote   uint64
	Commit uint64
}

// Position identifies a log entry by its index and term.
type Position struct {
	Index uint64
	Term  uint64
}

// Member is a voter or a learner of the group. Its ID belongs to one data directory and is never reused.
type Member struct {
	ID      uint64
	Name    string
	Address string
	Voter   bool
}

// Membership is the set of members of the group.
type Membership struct {
	Members []Member
}

// Find returns the member with the given ID.
func (m Membership) Find(id uint64) (Member, bool) {
	i := slices.IndexFunc(m.Members, func(member Member) bool { return member.ID == id })
	if i < 0 {
		return Member{}, false
	}
	return m.Members[i], true
}

// Equal reports whether both memberships hold the same members in the same order.
func (m Membership) Equal(other Membership) bool { return slices.Equal(m.Members, other.Members) }

// IsVoter reports whether the ID belongs to a voter.
func (m Membership) IsVoter(id uint64) bool {
	member, ok := m.Find(id)
	return ok && member.Voter
}

// Voters returns the number of voters.
func (m Membership) Voters() int {
	voters := 0
	for _, member := range m.Members {
		if member.Voter {
			voters++
		}
	}
	return voters
}

// Quorum returns the number of voters that form a majority.
func (m Membership) Quorum() int { return m.Voters()/2 + 1 }

// With returns a copy in which the member is added, or replaces the member with the same ID.
func (m Membership) With(member Member) Membership {
	next := m.Without(member.ID)
	next.Members = append(next.Members, member)
	return next
}

// Without returns a copy without the member with the given ID.
func (m Membership) Without(id uint64) Membership {
	var next Membership
	for _, member := range m.Members {
		if member.ID != id {
			next.Members = append(next.Members, member)
		}
	}
	return next
}

// Snapshot is the state of the replicated state machine after applying the entry at Position, together with the
// membership in effect at that position.
type Snapshot struct {
	Position
	Membership Membership
	Data       []byte
}
