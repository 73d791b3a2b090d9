package formation_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/formation"
)

func TestFormation(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Formation")
}

// group returns a group of at most five voters with a leader and one voter for each given time since its last contact.
func group(silences ...time.Duration) formation.Group {
	g := formation.Group{MaxVoters: formation.MaxVoters(2), Departing: map[string]bool{}}
	g.Members = []controlrpc.GroupMember{{ID: "0", Name: "vm-0", Role: "leader"}}
	for i, silence := range silences {
		id := string(rune('1' + i))
		g.Members = append(g.Members, controlrpc.GroupMember{ID: id, Name: "vm-" + id, Role: "voter", LastContactMillis: silence.Milliseconds()})
	}
	return g
}

// withLearner adds a learner to the group.
func withLearner(g formation.Group, id string, standby bool, silence time.Duration) formation.Group {
	g.Members = append(g.Members, controlrpc.GroupMember{ID: id, Name: "vm-" + id, Role: "learner", Standby: standby, LastContactMillis: silence.Milliseconds()})
	return g
}

var _ = Describe("the number of losses that a group tolerates", func() {
	DescribeTable("is the number of voters in touch beyond the quorum", func(g formation.Group, tolerated int) {
		Expect(formation.Tolerated(g.Members)).To(Equal(tolerated))
	},
		Entry("five voters", group(0, 0, 0, 0), 2),
		Entry("five voters, one silent", group(0, 0, 0, time.Second), 1),
		Entry("six voters, one silent", group(0, 0, 0, 0, time.Second), 1),
		Entry("seven voters, two silent", group(0, 0, 0, 0, time.Second, time.Second), 1),
		Entry("three voters, two silent", group(time.Second, time.Second), -1),
		Entry("five voters, one silent, and a standby, which has no vote", withLearner(group(0, 0, 0, time.Second), "9", true, 0), 1),
	)
})

var _ = Describe("admission", func() {
	It("recognizes a process that is already a member", func() {
		Expect(formation.DecideAdmission("2", "vm-2", group(0, 0).Members).AlreadyMember).To(BeTrue())
	})

	It("adds a new process, which is a learner at first, also while a voter is unresponsive", func() {
		Expect(formation.DecideAdmission("9", "vm-9", group(0, 0).Members)).To(Equal(formation.Admission{}))
		Expect(formation.DecideAdmission("9", "vm-9", group(0, 3*time.Second, 0, 4*time.Second).Members)).To(Equal(formation.Admission{}))
	})

	It("replaces the member of a VM whose disk was wiped, even if that member had contact a moment ago", func() {
		Expect(formation.DecideAdmission("9", "vm-2", group(0, 0, 0, 0).Members)).To(Equal(formation.Admission{Remove: "2"}))
	})
})

var _ = Describe("repair of the group", func() {
	It("changes nothing while every member responds, with a standby or without", func() {
		Expect(group(0, 0, 0, 0).NextChange()).To(Equal(formation.Change{}))
		Expect(withLearner(group(0, 0, 0, 0), "9", true, 0).NextChange()).To(Equal(formation.Change{}))
	})

	// The group tolerates one loss less while the successor of a lost voter is no voter, or the lost one still counts.
	It("promotes a standby in place of the voter that has been unresponsive for longest, and only then demotes that one", func() {
		g := withLearner(group(0, 3*time.Second, 0, 4*time.Second), "9", true, 0)
		Expect(g.NextChange()).To(Equal(formation.Change{Promote: "9"}))
		g.Members[5].Role, g.Members[5].Standby = "voter", false
		Expect(g.NextChange()).To(Equal(formation.Change{Demote: "4"}))
	})

	It("keeps a voter that may only be slow, and one for which there is no standby", func() {
		Expect(withLearner(group(0, 900*time.Millisecond, 0, 0), "9", true, 0).NextChange()).To(Equal(formation.Change{}))
		Expect(group(0, 10*time.Second, 0, 0).NextChange()).To(Equal(formation.Change{}))
		Expect(withLearner(group(0, 10*time.Second, 0, 0), "9", false, 0).NextChange()).To(Equal(formation.Change{}), "the learner has not caught up")
	})

	It("does not promote a standby that is about to stop", func() {
		g := withLearner(group(0, 3*time.Second, 0, 0), "9", true, 0)
		g.Departing["9"] = true
		Expect(g.NextChange()).To(Equal(formation.Change{}))
	})

	It("demotes an unresponsive voter beyond the limit, as after a change that was interrupted", func() {
		Expect(group(0, 600*time.Millisecond, 0, 0, 0).NextChange()).To(Equal(formation.Change{Demote: "2"}))
		Expect(group(0, 600*time.Millisecond, 0, 0, 0, 0).NextChange()).To(Equal(formation.Change{Demote: "2"}), "also with an odd number of voters")
		Expect(group(0, 0, 0, 0, 0).NextChange()).To(Equal(formation.Change{}))
	})

	It("demotes an unresponsive voter of an even number, where that lowers the quorum", func() {
		Expect(group(0, 0, 8*time.Second).NextChange()).To(Equal(formation.Change{Demote: "3"}))
		unlimited := group(0, 0, 0, 0, 8*time.Second)
		unlimited.MaxVoters = 0
		Expect(unlimited.NextChange()).To(Equal(formation.Change{Demote: "5"}))
	})

	DescribeTable("keeps an unresponsive voter", func(g formation.Group) {
		g.MaxVoters = 0
		Expect(g.NextChange()).To(Equal(formation.Change{}))
	},
		Entry("of an odd number, where a removal would not raise the failure tolerance", group(0, 0, 0, 8*time.Second)),
		Entry("shortly after the last contact", group(0, 0, 0, 0, 900*time.Millisecond)),
		Entry("of three voters", group(0, 10*time.Second)),
		Entry("of two voters", group(8*time.Second)),
	)

	It("removes a learner that has been unresponsive for long", func() {
		Expect(withLearner(group(0, 0, 0, 0), "9", false, 6*time.Second).NextChange()).To(Equal(formation.Change{}))
		Expect(withLearner(group(0, 0, 0, 0), "9", false, 8*time.Second).NextChange()).To(Equal(formation.Change{Remove: "9"}))
	})
})

var _ = Describe("the departure of a member", func() {
	It("hands its vote over to a standby first", func() {
		g := withLearner(group(0, 0, 0, 0), "9", true, 0)
		Expect(g.DecideDeparture("2")).To(Equal(formation.Departure{Change: formation.Change{Promote: "9"}}))
		g.Members[5].Role, g.Members[5].Standby = "voter", false
		Expect(g.DecideDeparture("2")).To(Equal(formation.Departure{Change: formation.Change{Demote: "2"}}))
	})

	It("waits for a learner in touch to catch up, unless that one departs, too", func() {
		g := withLearner(group(0, 0, 0, 0), "9", false, 0)
		Expect(g.DecideDeparture("2")).To(Equal(formation.Departure{Wait: true}))
		g.Departing["9"] = true
		Expect(g.DecideDeparture("2")).To(Equal(formation.Departure{}))
		Expect(withLearner(group(0, 0, 0, 0), "9", false, time.Second).DecideDeparture("2")).To(Equal(formation.Departure{}))
	})

	// A member that restarts alone must keep its vote: its disk counts for what was acknowledged.
	It("leaves the vote with a member that nobody can replace, and needs nothing for one without a vote", func() {
		Expect(group(0, 0, 0, 0).DecideDeparture("2")).To(Equal(formation.Departure{}))
		Expect(withLearner(group(0, 0, 0, 0), "9", true, 0).DecideDeparture("9")).To(Equal(formation.Departure{}))
		Expect(group(0, 0, 0, 0).DecideDeparture("8")).To(Equal(formation.Departure{}))
	})
})
