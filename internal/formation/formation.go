// Package formation manages the membership of a self-managed control group, which admits new members and replaces lost
// ones without an operator. The decisions perform no I/O: the leader executes them through the replicated log, one
// membership change at a time. Joiner requests admission for a process that is not a member yet.
package formation

import (
	"time"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/raftnode"
)

const (
	// replaceVoterAfter is the time without contact after which a joining process replaces a voter. A killed process
	// restarts within about 3 s, and a replacement must be a member within 4 s of its start.
	replaceVoterAfter = 2500 * time.Millisecond
	// deferAdmissionAfter is the time without contact to a voter after which admissions are deferred until that voter
	// either answers again or is replaced.
	deferAdmissionAfter = 500 * time.Millisecond
	// removeRedundantAfter is the time without contact after which a redundant voter is removed. It is longer than the
	// outages from which a machine recovers by itself.
	removeRedundantAfter = 7 * time.Second
	// minVotersForRemoval is the smallest number of voters at which an unresponsive voter may be removed.
	minVotersForRemoval = 4
)

// Decision tells the leader how to handle a process that requests membership. The zero value adds it.
type Decision struct {
	// AlreadyMember is set if the process is already a member.
	AlreadyMember bool
	// RetryLater is set if the process must repeat its request later.
	RetryLater bool
	// Remove is the ID of the member to remove before the process is added, or empty.
	Remove string
}

// DecideAdmission decides whether the process with the ID and name is added to the group, and which member it replaces.
// A member with the same name but another ID has lost its disk, so its ID can never return and it is removed. Otherwise
// the process replaces the voter that has been unresponsive for longest, if any, or is added to the group.
func DecideAdmission(id, name string, members []controlrpc.GroupMember) Decision {
	for _, member := range members {
		if member.ID == id {
			return Decision{AlreadyMember: true}
		}
	}
	for _, member := range members {
		if member.Name == name {
			return Decision{Remove: member.ID}
		}
	}
	voterID, silence := longestSilentVoter(members)
	switch {
	case silence >= replaceVoterAfter && countVoters(members) >= minVotersForRemoval:
		return Decision{Remove: voterID}
	case silence >= deferAdmissionAfter && countVoters(members) >= minVotersForRemoval:
		return Decision{RetryLater: true}
	}
	return Decision{}
}

// RedundantVoter returns the voter that has been unresponsive for longest, and whether to remove it. Removing an
// unresponsive voter from an even number of voters lowers the quorum, so the group tolerates one more failure.
func RedundantVoter(members []controlrpc.GroupMember) (id string, ok bool) {
	voterID, silence := longestSilentVoter(members)
	count := countVoters(members)
	return voterID, silence >= removeRedundantAfter && count >= minVotersForRemoval && count%2 == 0
}

func countVoters(members []controlrpc.GroupMember) int {
	count := 0
	for _, member := range members {
		if member.Role != string(raftnode.RoleLearner) {
			count++
		}
	}
	return count
}

// longestSilentVoter returns the voter with the longest time since its last contact with the leader.
func longestSilentVoter(members []controlrpc.GroupMember) (id string, silence time.Duration) {
	for _, member := range members {
		lastContact := time.Duration(member.LastContactMillis) * time.Millisecond
		if member.Role == string(raftnode.RoleVoter) && lastContact > silence {
			id, silence = member.ID, lastContact
		}
	}
	return id, silence
}
