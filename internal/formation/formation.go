// Package formation decides the membership of a control group that forms, repairs and replaces itself without an
// operator. It performs no I/O: the leader carries out its decisions through the replicated log, one change at a time.
package formation

import (
	"time"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/raftnode"
)

const (
	// replaceAfter is the silence after which a newcomer takes the place of a voter. A killed process is back within
	// about 3 s, and a replacement must count within 4 s of its start.
	replaceAfter = 2500 * time.Millisecond
	// doubtAfter is the silence from which a newcomer waits for the decision.
	doubtAfter = 500 * time.Millisecond
	// surplusAfter is the silence after which a voter that only raises the quorum is removed. It exceeds the outages
	// that a machine returns from by itself.
	surplusAfter = 7 * time.Second
	// smallestGroup is the number of voters below which none is removed for its silence.
	smallestGroup = 4
)

// Step is what the leader does with a process that asks for membership.
type Step struct {
	// Known is set if it is a member already.
	Known bool
	// Wait is set if it should ask again later.
	Wait bool
	// Remove is the identity of the member that leaves first, or empty.
	Remove string
}

// Admit decides about a process with the identity and name. A member of the same name has lost its disk: its identity
// can never return. Otherwise the newcomer takes the place of the voter that has been silent for longest.
func Admit(id, name string, members []controlrpc.GroupMember) Step {
	for _, member := range members {
		if member.ID == id {
			return Step{Known: true}
		}
	}
	for _, member := range members {
		if member.Name == name {
			return Step{Remove: member.ID}
		}
	}
	silent, since := mostSilent(members)
	switch {
	case since >= replaceAfter && voters(members) >= smallestGroup:
		return Step{Remove: silent}
	case since >= doubtAfter && voters(members) >= smallestGroup:
		return Step{Wait: true}
	}
	return Step{}
}

// Surplus returns a silent voter of an even number of voters: without it the group bears one loss more.
func Surplus(members []controlrpc.GroupMember) (id string, ok bool) {
	silent, since := mostSilent(members)
	count := voters(members)
	return silent, since >= surplusAfter && count >= smallestGroup && count%2 == 0
}

func voters(members []controlrpc.GroupMember) int {
	count := 0
	for _, member := range members {
		if member.Role != string(raftnode.RoleLearner) {
			count++
		}
	}
	return count
}

func mostSilent(members []controlrpc.GroupMember) (id string, since time.Duration) {
	for _, member := range members {
		contact := time.Duration(member.LastContactMillis) * time.Millisecond
		if member.Role == string(raftnode.RoleVoter) && contact > since {
			id, since = member.ID, contact
		}
	}
	return id, since
}
