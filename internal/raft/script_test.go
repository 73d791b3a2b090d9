package raft

import (
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// connect lets only the nodes at the given indexes exchange messages. It drops the messages in flight and restarts
// these nodes, so that they know no leader.
func (s *sim) connect(indexes ...int) {
	s.network = nil
	s.blockedLinks = map[[2]int]bool{}
	allowed := map[int]bool{}
	for _, i := range indexes {
		allowed[i] = true
		s.crash(s.nodes[i])
		s.start(s.nodes[i])
	}
	for i := range s.nodes {
		for j := range s.nodes {
			s.blockedLinks[[2]int{i, j}] = !allowed[i] || !allowed[j]
		}
	}
}

// elect ticks node i until it becomes the leader of the connected nodes, and stops as soon as it does.
func (s *sim) elect(i int) *simNode {
	Expect(s.tryElect(i)).To(BeTrue())
	return s.nodes[i]
}

func (s *sim) tryElect(i int) bool {
	n := s.nodes[i]
	for range 100 {
		if n.rawNode.Role() == Leader {
			return true
		}
		n.rawNode.Tick()
		s.processReadys(n)
		s.deliverUntil(func() bool { return n.rawNode.Role() == Leader })
	}
	return n.rawNode.Role() == Leader
}

// deliverUntil delivers messages in order until none are left or the condition holds.
func (s *sim) deliverUntil(until func() bool) {
	for len(s.network) > 0 && !until() {
		message := s.network[0]
		s.network = s.network[1:]
		s.deliver(message)
	}
}

// deliverMatching delivers the matching messages, including replies that match, and leaves the others in flight.
func (s *sim) deliverMatching(match func(Message) bool) {
	var kept []Message
	for len(s.network) > 0 {
		message := s.network[0]
		s.network = s.network[1:]
		if match(message) {
			s.deliver(message)
		} else {
			kept = append(kept, message)
		}
	}
	s.network = kept
}

func never() bool { return false }

func newScript(voters, nodeCount int, f faults) *sim {
	s := newSim(voters, nodeCount, f, driverFaults{})
	s.noCrashes = true
	return s
}

// restartBetweenVotes restarts a voter between the vote requests of two candidates of the same term.
func restartBetweenVotes(f faults) *sim {
	s := newScript(3, 3, f)
	for _, n := range s.nodes[:2] {
		for n.rawNode.Role() == Follower {
			n.rawNode.Tick()
		}
		s.processReadys(n)
	}
	third := s.nodes[2].id
	s.deliverMatching(func(m Message) bool { return m.To == third && m.Kind == MessagePreVote || m.From == third })
	s.deliverMatching(func(m Message) bool {
		return m.To == third && m.From == s.nodes[0].id && m.Kind == MessageVote || m.From == third
	})
	s.crash(s.nodes[2])
	s.start(s.nodes[2])
	s.deliverMatching(func(m Message) bool { return m.To == third && m.Kind == MessageVote || m.From == third })
	return s
}

// overwriteEarlierTerm is figure 8 of the Raft paper: an entry of an earlier term is replicated to a majority and
// overwritten later. The command exceeds maxMessageBytes, so that the leader cannot send the entry of its own term in
// the same append.
func overwriteEarlierTerm(f faults) *sim {
	s := newScript(5, 5, f)
	s.connect(0, 1, 2)
	first := s.elect(0)
	s.blockedLinks[[2]int{0, 2}] = true
	_, err := first.rawNode.Propose([][]byte{make([]byte, maxMessageBytes+1)})
	Expect(err).NotTo(HaveOccurred())
	s.processReadys(first)
	s.deliverUntil(never)
	s.connect(2, 3, 4)
	s.elect(4)
	s.connect(0, 1, 2)
	first = s.elect(0)
	s.deliverUntil(func() bool { return first.rawNode.matchIndex(s.nodes[2].id) == 2 })
	s.connect(2, 3, 4)
	s.elect(4)
	return s
}

// outdatedCandidate makes a candidate whose log lacks a committed entry request votes.
func outdatedCandidate(f faults) *sim {
	s := newScript(3, 3, f)
	s.connect(0, 1)
	s.elect(0)
	s.deliverUntil(never)
	s.connect(1, 2)
	s.tryElect(2)
	s.deliverUntil(never)
	return s
}

// concurrentChanges makes two leaders each change the membership without knowing about the other's change.
func concurrentChanges(f faults) *sim {
	s := newScript(4, 4, f)
	s.connect(0, 1, 2, 3)
	first := s.elect(0)
	s.deliverUntil(never)
	s.blockedLinks = map[[2]int]bool{}
	for i := range s.nodes {
		s.blockedLinks[[2]int{0, i}] = true
	}
	_, err := first.rawNode.Remove(s.nodes[3].id)
	Expect(err).NotTo(HaveOccurred())
	s.processReadys(first)
	s.connect(1, 2, 3)
	second := s.elect(1)
	s.blockedLinks[[2]int{1, 2}] = true
	_, _ = second.rawNode.Remove(s.nodes[0].id)
	s.processReadys(second)
	s.deliverUntil(never)
	s.connect(0, 2)
	s.elect(0)
	s.deliverUntil(never)
	return s
}

// partitionedLearner proposes a command that reaches only the leader and a learner, and then partitions these two from
// the other voters, which elect a new leader.
func partitionedLearner(f faults) *sim {
	s := newScript(3, 4, f)
	s.connect(0, 1, 2)
	first := s.elect(0)
	s.deliverUntil(never)
	s.repairMembership(first)
	s.processReadys(first)
	s.deliverUntil(never)
	for i := 1; i < 3; i++ {
		s.blockedLinks[[2]int{0, i}] = true
	}
	s.blockedLinks[[2]int{0, 3}], s.blockedLinks[[2]int{3, 0}] = false, false
	s.propose(first)
	for range 4 {
		first.rawNode.Tick()
		s.processReadys(first)
		s.deliverUntil(never)
	}
	s.connect(1, 2)
	second := s.elect(1)
	s.propose(second)
	s.processReadys(second)
	s.deliverUntil(never)
	return s
}

var _ = ginkgo.DescribeTable("a mutant violates its invariant in a scripted scenario, and the scenario without the mutant does not",
	func(invariant string, script func(faults) *sim, f faults) {
		Expect(script(faults{}).firstViolation).To(BeNil())
		Expect(script(f).violatedInvariants).To(HaveKey(invariant))
	},
	ginkgo.Entry("votes are not persisted", electionSafety, restartBetweenVotes, faults{forgetVote: true}),
	ginkgo.Entry("entries of earlier terms are committed by counting replicas", leaderCompleteness, overwriteEarlierTerm, faults{countEarlierTerms: true}),
	ginkgo.Entry("voters ignore whether the candidate's log is up-to-date", stateMachineSafety, outdatedCandidate, faults{skipUpToDateCheck: true}),
	ginkgo.Entry("the membership is changed before the leader commits an entry of its own term", leaderCompleteness, concurrentChanges, faults{changeBeforeTermCommit: true}),
	ginkgo.Entry("learners count toward the quorum", leaderCompleteness, partitionedLearner, faults{countLearners: true}),
)
