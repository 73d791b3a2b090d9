package raft

import (
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// connect lets only the given slots exchange messages, drops what is in flight and lets them forget their leader.
func (s *sim) connect(slots ...int) {
	s.network = nil
	s.cut = map[[2]int]bool{}
	allowed := map[int]bool{}
	for _, i := range slots {
		allowed[i] = true
		s.crash(s.nodes[i])
		s.start(s.nodes[i])
	}
	for i := range s.nodes {
		for j := range s.nodes {
			s.cut[[2]int{i, j}] = !allowed[i] || !allowed[j]
		}
	}
}

// elect makes the member lead the connected ones and stops as soon as it does.
func (s *sim) elect(i int) *simNode {
	Expect(s.tryElect(i)).To(BeTrue())
	return s.nodes[i]
}

func (s *sim) tryElect(i int) bool {
	n := s.nodes[i]
	for range 100 {
		if n.machine.Role() == Leader {
			return true
		}
		n.machine.Tick()
		s.drain(n)
		s.exchange(func() bool { return n.machine.Role() == Leader })
	}
	return n.machine.Role() == Leader
}

// exchange delivers messages in order until none is left or the condition holds.
func (s *sim) exchange(until func() bool) {
	for len(s.network) > 0 && !until() {
		message := s.network[0]
		s.network = s.network[1:]
		s.deliver(message)
	}
}

// exchangeOnly delivers the messages that match, and their matching answers, and keeps the others.
func (s *sim) exchangeOnly(match func(Message) bool) {
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

func script(voters, slots int, f faults) *sim {
	s := newSim(voters, slots, f, driverFaults{})
	s.calm = true
	return s
}

// twoVotes lets a voter restart between the vote requests of two candidates of one term.
func twoVotes(f faults) *sim {
	s := script(3, 3, f)
	for _, n := range s.nodes[:2] {
		for n.machine.Role() == Follower {
			n.machine.Tick()
		}
		s.drain(n)
	}
	third := s.nodes[2].id
	s.exchangeOnly(func(m Message) bool { return m.To == third && m.Kind == MessagePreVote || m.From == third })
	s.exchangeOnly(func(m Message) bool {
		return m.To == third && m.From == s.nodes[0].id && m.Kind == MessageVote || m.From == third
	})
	s.crash(s.nodes[2])
	s.start(s.nodes[2])
	s.exchangeOnly(func(m Message) bool { return m.To == third && m.Kind == MessageVote || m.From == third })
	return s
}

// earlierTerm is figure 8 of the Raft paper: an entry of an earlier term reaches a majority and is overwritten later.
// A command larger than a message keeps the leader from sending the entry of its own term along.
func earlierTerm(f faults) *sim {
	s := script(5, 5, f)
	s.connect(0, 1, 2)
	first := s.elect(0)
	s.cut[[2]int{0, 2}] = true
	_, err := first.machine.Propose([][]byte{make([]byte, maxMessageBytes+1)})
	Expect(err).NotTo(HaveOccurred())
	s.drain(first)
	s.exchange(never)
	s.connect(2, 3, 4)
	s.elect(4)
	s.connect(0, 1, 2)
	first = s.elect(0)
	s.exchange(func() bool { return first.machine.matchOf(s.nodes[2].id) == 2 })
	s.connect(2, 3, 4)
	s.elect(4)
	return s
}

// shortLog lets a candidate that lacks a committed entry ask for votes.
func shortLog(f faults) *sim {
	s := script(3, 3, f)
	s.connect(0, 1)
	s.elect(0)
	s.exchange(never)
	s.connect(1, 2)
	s.tryElect(2)
	s.exchange(never)
	return s
}

// twoChanges lets two leaders each change the membership without knowing the change of the other.
func twoChanges(f faults) *sim {
	s := script(4, 4, f)
	s.connect(0, 1, 2, 3)
	first := s.elect(0)
	s.exchange(never)
	s.cut = map[[2]int]bool{}
	for i := range s.nodes {
		s.cut[[2]int{0, i}] = true
	}
	_, err := first.machine.Remove(s.nodes[3].id)
	Expect(err).NotTo(HaveOccurred())
	s.drain(first)
	s.connect(1, 2, 3)
	second := s.elect(1)
	s.cut[[2]int{1, 2}] = true
	_, _ = second.machine.Remove(s.nodes[0].id)
	s.drain(second)
	s.exchange(never)
	s.connect(0, 2)
	s.elect(0)
	s.exchange(never)
	return s
}

// lostLearner acknowledges an entry with the help of a learner, which is then cut off together with the leader.
func lostLearner(f faults) *sim {
	s := script(3, 4, f)
	s.connect(0, 1, 2)
	first := s.elect(0)
	s.exchange(never)
	s.administer(first)
	s.drain(first)
	s.exchange(never)
	for i := 1; i < 3; i++ {
		s.cut[[2]int{0, i}] = true
	}
	s.cut[[2]int{0, 3}], s.cut[[2]int{3, 0}] = false, false
	s.propose(first)
	for range 4 {
		first.machine.Tick()
		s.drain(first)
		s.exchange(never)
	}
	s.connect(1, 2)
	second := s.elect(1)
	s.propose(second)
	s.drain(second)
	s.exchange(never)
	return s
}

var _ = ginkgo.DescribeTable("a scripted mutant breaks the invariant, and the same script without the mutant does not",
	func(invariant string, script func(faults) *sim, f faults) {
		Expect(script(faults{}).found).To(BeNil())
		Expect(script(f).seen).To(HaveKey(invariant))
	},
	ginkgo.Entry("a vote is not durable", electionSafety, twoVotes, faults{forgetVote: true}),
	ginkgo.Entry("entries of earlier terms are counted", leaderCompleteness, earlierTerm, faults{countEarlierTerms: true}),
	ginkgo.Entry("votes ignore the candidate's log", stateMachineSafety, shortLog, faults{skipLogCheck: true}),
	ginkgo.Entry("membership changes before a commit in the own term", leaderCompleteness, twoChanges, faults{changeBeforeCommit: true}),
	ginkgo.Entry("learners count for the quorum", leaderCompleteness, lostLearner, faults{countLearners: true}),
)
