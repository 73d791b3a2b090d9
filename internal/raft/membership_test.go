package raft

import (
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/fault"
)

// newLimitedScript returns a group of voters that admits no more of them by itself, with its leader.
func newLimitedScript(voters, nodeCount int) (*sim, *simNode) {
	s := newScript(voters, nodeCount, faults{})
	s.maxVoters = voters
	var all []int
	for i := range nodeCount {
		all = append(all, i)
	}
	s.connect(all...)
	leader := s.elect(0)
	s.deliverUntil(never)
	return s, leader
}

// settle lets the leader exchange heartbeats for some ticks.
func (s *sim) settle(leader *simNode) {
	for range 6 {
		leader.rawNode.Tick()
		s.processReadys(leader)
		s.deliverUntil(never)
	}
}

var _ = ginkgo.Describe("a group with a limited number of voters", func() {
	ginkgo.It("keeps a learner that has caught up as a standby, and promotes it once a voter is demoted", func() {
		s, leader := newLimitedScript(3, 4)
		s.repairMembership(leader)
		s.processReadys(leader)
		s.settle(leader)
		Expect(tolerance(leader)).To(Equal(Tolerance{Voters: 3, VotersInTouch: 3, Standbys: 1, Losses: 1}))
		_, err := leader.rawNode.Demote(s.nodes[2].id)
		Expect(err).NotTo(HaveOccurred())
		s.processReadys(leader)
		s.deliverUntil(never)
		s.settle(leader)
		Expect(tolerance(leader)).To(Equal(Tolerance{Voters: 3, VotersInTouch: 3, Standbys: 1, Losses: 1}))
	})

	ginkgo.It("promotes a standby beyond the limit on request, but no learner that lacks entries or is out of touch", func() {
		s, leader := newLimitedScript(3, 4)
		_, err := leader.rawNode.Promote(s.nodes[3].id)
		Expect(fault.CodeOf(err)).To(Equal(fault.Conflict), "it is not a member")
		s.repairMembership(leader)
		s.processReadys(leader)
		_, err = leader.rawNode.Promote(s.nodes[3].id)
		Expect(fault.CodeOf(err)).To(Equal(fault.Conflict), "it has not caught up")
		s.settle(leader)
		_, err = leader.rawNode.Promote(s.nodes[3].id)
		Expect(err).NotTo(HaveOccurred())
		s.processReadys(leader)
		s.deliverUntil(never)
		Expect(tolerance(leader).Voters).To(Equal(4))
	})

	ginkgo.It("does not demote its leader, a learner or a stranger", func() {
		s, leader := newLimitedScript(3, 4)
		for _, n := range []*simNode{leader, s.nodes[3]} {
			_, err := leader.rawNode.Demote(n.id)
			Expect(fault.CodeOf(err)).To(Equal(fault.Conflict))
		}
		_, err := s.nodes[1].rawNode.Demote(s.nodes[2].id)
		Expect(fault.CodeOf(err)).To(Equal(fault.NotLeader))
	})

	// Guards against a learner that was removed while it was cut off and waits for its former leader for good.
	ginkgo.It("lets a learner that misses its leader forget it, without an election", func() {
		s, leader := newLimitedScript(3, 4)
		s.repairMembership(leader)
		s.processReadys(leader)
		s.settle(leader)
		learner := s.nodes[3]
		Expect(learner.rawNode.Leader()).To(Equal(leader.id))
		for range 20 {
			learner.rawNode.Tick()
		}
		Expect(learner.rawNode.Leader()).To(BeZero())
		Expect(learner.rawNode.Role()).To(Equal(Follower))
	})
})
