// Package raft is the consensus state machine of the control group. It performs no I/O, reads no clock and starts no
// goroutine: ticks, messages and proposals are inputs, and a Ready batch is the output.
package raft

import "slices"

// EntryKind distinguishes what a log entry carries.
type EntryKind uint8

// The kinds of entries.
const (
	// EntryEmpty is the entry that a new leader appends to commit its predecessors' entries.
	EntryEmpty EntryKind = iota
	// EntryCommand carries a command of the replicated state machine.
	EntryCommand
	// EntryMembership carries the whole membership that is in force from this entry on.
	EntryMembership
)

// Entry is one position of the log.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  EntryKind
	Data  []byte
}

// HardState must be durable before any message of the same Ready is sent.
type HardState struct {
	Term   uint64
	Vote   uint64
	Commit uint64
}

// Position identifies an entry by its index and term.
type Position struct {
	Index uint64
	Term  uint64
}

// Member is one member of the group. Its ID belongs to one data directory and is never reused.
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

// Find returns the member with the identity.
func (m Membership) Find(id uint64) (Member, bool) {
	i := slices.IndexFunc(m.Members, func(member Member) bool { return member.ID == id })
	if i < 0 {
		return Member{}, false
	}
	return m.Members[i], true
}

// Equal reports whether both hold the same members in the same order.
func (m Membership) Equal(other Membership) bool { return slices.Equal(m.Members, other.Members) }

// IsVoter reports whether the identity belongs to a voter.
func (m Membership) IsVoter(id uint64) bool {
	member, ok := m.Find(id)
	return ok && member.Voter
}

// Quorum returns the number of voters that form a majority.
func (m Membership) Quorum() int {
	voters := 0
	for _, member := range m.Members {
		if member.Voter {
			voters++
		}
	}
	return voters/2 + 1
}

// With returns a copy in which the member replaces the one with the same identity, or is added.
func (m Membership) With(member Member) Membership {
	next := m.Without(member.ID)
	next.Members = append(next.Members, member)
	return next
}

// Without returns a copy that lacks the identity.
func (m Membership) Without(id uint64) Membership {
	var next Membership
	for _, member := range m.Members {
		if member.ID != id {
			next.Members = append(next.Members, member)
		}
	}
	return next
}

// Snapshot is the state after the entry at Position, with the membership in force there.
type Snapshot struct {
	Position
	Membership Membership
	Data       []byte
}
