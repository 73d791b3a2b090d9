// Package formation manages the membership of a self-managed control group, which admits new members and replaces lost
// ones without an operator. The decisions perform no I/O: the leader executes them through the replicated log, one
// membership change at a time. Joiner requests admission for a process that is not a member yet.
//
// The group has a limited number of voters. Further members are learners that hold the log, so that one of them can take
// the place of a voter that stops or falls silent. No decision lowers the number of losses that the group tolerates: a
// learner becomes a voter before the voter that it replaces loses its vote.
package formation

import (
	"time"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/raftnode"
)

const (
	// outOfTouchAfter is the time without contact after which a voter loses its vote if the group has more voters than
	// its limit. The leader also counts it as lost after this time.
	outOfTouchAfter = 500 * time.Millisecond
	// replaceVoterAfter is the time without contact after which a voter is replaced. It is short because a replaced voter
	// that only restarts becomes a learner, and because a successor must vote within 4 s of its start, also if there is
	// an election meanwhile.
	replaceVoterAfter = time.Second
	// removeLearnerAfter is the time without contact after which a learner is removed. It is longer than the outages from
	// which a machine recovers by itself.
	removeLearnerAfter = 7 * time.Second
	// minVotersForDemotion is the smallest number of voters at which a voter that is not replaced loses its vote.
	minVotersForDemotion = 4
)

// MaxVoters returns the number of voters of a group that tolerates the given number of losses at the same time.
func MaxVoters(losses int) int {
	if losses <= 0 {
		return 0
	}
	return 2*losses + 1
}

// Tolerated returns how many more of the members the group can lose before it stops: the voters in touch with the leader
// beyond the quorum. It is negative without a quorum.
func Tolerated(members []controlrpc.GroupMember) int {
	voters, inTouch := 0, 0
	for _, member := range members {
		if member.Role == string(raftnode.RoleLearner) {
			continue
		}
		voters++
		if lastContact(member) <= outOfTouchAfter {
			inTouch++
		}
	}
	return inTouch - (voters/2 + 1)
}

// Admission tells the leader how to handle a process that requests membership. The zero value adds it.
type Admission struct {
	// AlreadyMember is set if the process is already a member.
	AlreadyMember bool
	// Remove is the ID of the member to remove before the process is added, or empty.
	Remove string
}

// DecideAdmission decides whether the process with the ID and name is added to the group. A member with the same name but
// another ID has lost its disk, so its ID can never return and it is removed.
func DecideAdmission(id, name string, members []controlrpc.GroupMember) Admission {
	for _, member := range members {
		if member.ID == id {
			return Admission{AlreadyMember: true}
		}
	}
	for _, member := range members {
		if member.Name == name {
			return Admission{Remove: member.ID}
		}
	}
	return Admission{}
}

// Change is one change of the membership. At most one field, the ID of a member, is set. The zero value changes nothing.
type Change struct {
	Promote string
	Demote  string
	Remove  string
}

// Group is what the leader knows of the membership.
type Group struct {
	Members []controlrpc.GroupMember
	// MaxVoters is the intended number of voters. 0 means that every member votes.
	MaxVoters int
	// Departing holds the IDs of members that are about to stop. They are not promoted.
	Departing map[string]bool
}

// NextChange returns the next change that repairs the group after voters fell silent, if any.
func (g Group) NextChange() Change {
	voters := g.countVoters()
	silent, silence := g.longestSilent(raftnode.RoleVoter)
	if silence >= outOfTouchAfter && g.MaxVoters > 0 && voters > g.MaxVoters {
		return Change{Demote: silent}
	}
	if silence >= replaceVoterAfter {
		if standby := g.standby(); standby != "" {
			return Change{Promote: standby}
		}
		// With an even number of voters, the quorum is lower without the silent one.
		if voters >= minVotersForDemotion && voters%2 == 0 {
			return Change{Demote: silent}
		}
	}
	if learner, silence := g.longestSilent(raftnode.RoleLearner); silence >= removeLearnerAfter {
		return Change{Remove: learner}
	}
	return Change{}
}

// Departure tells the leader how a member that is about to stop hands over its vote. The zero value lets it stop with its
// vote, which it needs when it returns.
type Departure struct {
	// Change is made before the member stops. After a promotion, the leader decides again.
	Change Change
	// Wait is set if a learner may be able to take over soon.
	Wait bool
}

// DecideDeparture decides how the member with the ID hands over its vote.
func (g Group) DecideDeparture(id string) Departure {
	i := g.find(id)
	if i < 0 || g.Members[i].Role != string(raftnode.RoleVoter) {
		return Departure{}
	}
	if g.MaxVoters > 0 && g.countVoters() > g.MaxVoters {
		return Departure{Change: Change{Demote: id}}
	}
	if standby := g.standby(); standby != "" {
		return Departure{Change: Change{Promote: standby}}
	}
	return Departure{Wait: g.hasLearnerInTouch()}
}

func (g Group) find(id string) int {
	for i, member := range g.Members {
		if member.ID == id {
			return i
		}
	}
	return -1
}

func (g Group) countVoters() int {
	count := 0
	for _, member := range g.Members {
		if member.Role != string(raftnode.RoleLearner) {
			count++
		}
	}
	return count
}

// standby returns the ID of a learner that can take a voter's place at once, or "".
func (g Group) standby() string {
	for _, member := range g.Members {
		if member.Standby && !g.Departing[member.ID] {
			return member.ID
		}
	}
	return ""
}

func (g Group) hasLearnerInTouch() bool {
	for _, member := range g.Members {
		isLearner := member.Role == string(raftnode.RoleLearner)
		if isLearner && !g.Departing[member.ID] && lastContact(member) < outOfTouchAfter {
			return true
		}
	}
	return false
}

// longestSilent returns the member with the role that has the longest time since its last contact with the leader.
func (g Group) longestSilent(role raftnode.Role) (id string, silence time.Duration) {
	for _, member := range g.Members {
		if member.Role == string(role) && lastContact(member) > silence {
			id, silence = member.ID, lastContact(member)
		}
	}
	return id, silence
}

func lastContact(member controlrpc.GroupMember) time.Duration {
	return time.Duration(member.LastContactMillis) * time.Millisecond
}
