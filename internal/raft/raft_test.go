package raft

import (
	"errors"
	"math/rand/v2"
	"testing"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	_ "github.com/wisteriamux/wisteriamux/internal/rapidseed"
)

const (
	stepsPerRun = 60
	// mutantRuns is the number of schedules after which a mutant counts as undetected.
	mutantRuns = 200
)

func TestRaft(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "Raft")
}

// step is one operation of a schedule. The seed determines its random choices.
type step struct {
	op   int
	seed uint64
}

var schedules = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
	return step{op: rapid.IntRange(0, 19).Draw(t, "op"), seed: rapid.Uint64().Draw(t, "seed")}
}), stepsPerRun, stepsPerRun)

func (s *sim) step(st step) {
	s.rng = rand.New(rand.NewPCG(st.seed, 7))
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	switch st.op {
	case 0, 1, 2, 3, 4:
		s.runRounds(1+s.rng.IntN(20), s.rng.IntN(30), s.rng.IntN(20))
	case 5, 6:
		s.runRounds(1+s.rng.IntN(4), 0, 0)
	case 7, 8, 9:
		s.eachLeader(s.propose)
	case 10:
		s.freezeLeader()
	case 11:
		s.partition()
	case 12, 13:
		clear(s.blockedLinks)
	case 14:
		s.crash(n)
	case 15:
		s.crash(n)
		s.start(n)
	case 16, 17:
		s.recover(n)
	case 18:
		s.compact(n)
	case 19:
		s.disrupt(n)
	}
	s.eachLeader(s.read)
}

// freezeLeader pauses the leader for long enough that another one can be elected and commit a command, and then resumes
// it, so that the old leader serves a read before it receives any message.
func (s *sim) freezeLeader() {
	s.eachLeader(func(n *simNode) { n.frozen = true })
	s.runRounds(15, 0, 0)
	s.eachLeader(s.propose)
	s.runRounds(3, 0, 0)
	for _, n := range s.nodes {
		n.frozen = false
	}
}

// recover starts a stopped member and lets the leaders repair the membership.
func (s *sim) recover(n *simNode) {
	if !n.up {
		s.start(n)
	}
	s.eachLeader(s.repairMembership)
}

func (s *sim) partition() {
	side := s.rng.IntN(1 << len(s.nodes))
	for i := range s.nodes {
		for j := range s.nodes {
			if side>>i&1 != side>>j&1 {
				s.blockedLinks[[2]int{i, j}] = true
			}
		}
	}
}

func (s *sim) disrupt(n *simNode) {
	switch s.rng.IntN(4) {
	case 0:
		if s.canLoseDisk() {
			s.wipe(n)
		}
	case 1:
		s.eachLeader(func(n *simNode) { _ = n.rawNode.TransferLeader(0) })
	case 2:
		// Removing an intact voter while a wiped one is still a member would leave the group without a quorum for good.
		if s.canLoseDisk() {
			s.eachLeader(func(leader *simNode) { _, _ = leader.rawNode.Remove(n.id) })
		}
	case 3:
		// A demoted voter is promoted again once it has answered, or at once if the leader still takes it for caught up.
		if s.canLoseDisk() {
			s.eachLeader(func(leader *simNode) {
				_, _ = leader.rawNode.Demote(n.id)
				_, _ = leader.rawNode.Promote(n.id)
			})
		}
	}
}

func run(schedule []step, f faults, d driverFaults) (err error) {
	voters := 3 + 2*int(schedule[0].seed%2)
	s := newSim(voters, voters+1, f, d)
	defer func() {
		if cause := recover(); cause != nil {
			s.reportViolation(panicked, "%v", cause)
			err = s.firstViolation
		}
	}()
	for _, st := range schedule {
		s.step(st)
		if s.firstViolation != nil {
			return s.firstViolation
		}
	}
	s.finish()
	if s.firstViolation != nil {
		return s.firstViolation
	}
	return nil
}

func TestInvariantsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := run(schedules.Draw(t, "schedule"), faults{}, driverFaults{}); err != nil {
			t.Fatal(err)
		}
	})
}

// findViolation returns the seed of the first schedule that violates the invariant, and the violation.
func findViolation(invariant string, f faults, d driverFaults) (int, error) {
	for seed := range uint64(mutantRuns) {
		rng := rand.New(rand.NewPCG(seed, 3))
		var schedule []step
		for range stepsPerRun {
			schedule = append(schedule, step{op: rng.IntN(20), seed: rng.Uint64()})
		}
		err := run(schedule, f, d)
		var found *violation
		if errors.As(err, &found) && found.invariant == invariant {
			return int(seed), err
		}
	}
	return mutantRuns, nil
}

var _ = ginkgo.DescribeTable("a mutant violates its invariant in some random schedule, which shows that the checks detect it",
	func(invariant string, f faults, d driverFaults) {
		seed, err := findViolation(invariant, f, d)
		Expect(err).To(HaveOccurred())
		ginkgo.GinkgoWriter.Println("schedule", seed, err)
	},
	ginkgo.Entry("a follower accepts appends without checking the preceding entry", logMatching, faults{skipPrevEntryCheck: true}, driverFaults{}),
	ginkgo.Entry("voters ignore whether the candidate's log is up-to-date", leaderCompleteness, faults{skipUpToDateCheck: true}, driverFaults{}),
	ginkgo.Entry("entries are acknowledged before sync", acknowledgedLost, faults{}, driverFaults{acknowledgeBeforeSync: true}),
	ginkgo.Entry("a member with a wiped disk keeps its ID", acknowledgedLost, faults{}, driverFaults{keepIdentity: true}),
	ginkgo.Entry("reads are served without a heartbeat round to a quorum", staleRead, faults{readWithoutQuorum: true}, driverFaults{}),
	ginkgo.Entry("learners are promoted before they have caught up", promotedUnsynced, faults{promoteUnsynced: true}, driverFaults{}),
)
