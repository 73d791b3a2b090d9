package raft

import (
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func tolerance(n *simNode) Tolerance {
	t, ok := n.rawNode.Tolerance()
	Expect(ok).To(BeTrue(), "only the leader knows the fault tolerance")
	return t
}

var _ = ginkgo.Describe("the fault tolerance", func() {
	ginkgo.It("counts only voters that answered this leader, not those that a new leader has yet to hear from", func() {
		s := newScript(5, 5, faults{})
		s.connect(0, 1, 2)
		leader := s.elect(0)
		Expect(tolerance(leader)).To(Equal(Tolerance{Voters: 5, VotersInTouch: 1, Losses: -2}))
		s.deliverUntil(never)
		Expect(tolerance(leader)).To(Equal(Tolerance{Voters: 5, VotersInTouch: 3, Losses: 0}))
	})

	ginkgo.It("is lower with an even number of voters, one of which is gone, than after its removal", func() {
		s := newScript(6, 6, faults{})
		s.connect(0, 1, 2, 3, 4)
		leader := s.elect(0)
		s.deliverUntil(never)
		Expect(tolerance(leader).Losses).To(Equal(1))
		_, err := leader.rawNode.Remove(s.nodes[5].id)
		Expect(err).NotTo(HaveOccurred())
		s.processReadys(leader)
		s.deliverUntil(never)
		Expect(tolerance(leader)).To(Equal(Tolerance{Voters: 5, VotersInTouch: 5, Losses: 2}))
	})

	ginkgo.It("is unknown to a member that does not lead", func() {
		s := newScript(3, 3, faults{})
		s.connect(0, 1, 2)
		s.elect(0)
		_, ok := s.nodes[1].rawNode.Tolerance()
		Expect(ok).To(BeFalse())
	})
})
