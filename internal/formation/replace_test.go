package formation_test

import (
	"math/rand/v2"
	"os"
	"strconv"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/raft"
)

const (
	// forever is a tick that no run reaches.
	forever = 1 << 30
	// defaultSeeds is the number of schedules that CI plays; WMUX_FORMATION_SEEDS sets another one.
	defaultSeeds = 150
)

func seeds() uint64 {
	if count, err := strconv.ParseUint(os.Getenv("WMUX_FORMATION_SEEDS"), 10, 64); err == nil {
		return count
	}
	return defaultSeeds
}

// members returns the VMs that run, are in touch and can be disturbed.
func (g *simGroup) members() []*simVM {
	var all []*simVM
	for _, vm := range g.vms {
		if vm.up && !vm.cut && !vm.removed && vm.departing == 0 && g.now >= vm.lostUntil {
			all = append(all, vm)
		}
	}
	return all
}

// startSuccessor starts a VM with an empty disk. Its predecessor no longer counts as lost once it has caught up.
func (g *simGroup) startSuccessor(predecessor *simVM) {
	successor := g.newVM()
	g.start(successor)
	predecessor.lostUntil = min(predecessor.lostUntil, g.now+catchUpTicks)
}

// disturb plays one event at a VM: a replacement, planned or not, a lost disk, a cut or a restart.
func (g *simGroup) disturb(vm *simVM) {
	delay := g.rng.IntN(40)
	vm.lostUntil = forever
	switch g.rng.IntN(6) {
	case 0:
		g.log("%s is gone for good, its successor starts %d ticks later", vm.name, delay)
		vm.removed = true
		g.stop(vm)
		g.after(delay, func() { g.startSuccessor(vm) })
	case 1:
		ahead := g.rng.IntN(catchUpTicks + 40)
		g.log("%s is replaced as planned, %d ticks after the start of its successor", vm.name, ahead)
		// The VM counts only once it is stopped, and only until its successor has caught up.
		vm.lostUntil = 0
		vm.removed = true
		g.startSuccessor(vm)
		since := g.now
		g.after(ahead, func() {
			vm.lostUntil = max(since+catchUpTicks, g.now)
			vm.departing = 1
		})
	case 2:
		g.log("%s stops for good as planned, its successor starts %d ticks later", vm.name, delay)
		vm.removed = true
		vm.departing = 1
		g.after(delay, func() { g.startSuccessor(vm) })
	case 3:
		g.log("%s loses its disk and is back %d ticks later", vm.name, delay)
		g.stop(vm)
		g.wipe(vm)
		g.after(delay, func() { g.start(vm); vm.lostUntil = g.now + catchUpTicks })
	case 4:
		length := g.rng.IntN(200)
		g.log("%s is cut off for %d ticks", vm.name, length)
		vm.cut = true
		g.after(length, func() { vm.cut = false; vm.lostUntil = g.now + catchUpTicks })
	case 5:
		g.log("%s restarts as planned and is back %d ticks after it has stopped", vm.name, delay)
		vm.departing = 1
		vm.afterStop = func() { g.after(delay, func() { g.start(vm); vm.lostUntil = g.now + catchUpTicks }) }
	}
}

// checkTolerance checks that the group tolerates all the losses that do not count at present.
func (g *simGroup) checkTolerance() {
	leader := g.leader()
	if leader == nil || g.lost() > losses {
		return
	}
	if tolerated, want := g.tolerated(leader), losses-g.lost(); tolerated < want {
		g.fail("the group of %s tolerates %d losses, want %d: %v", leader.name, tolerated, want, leader.node.Membership())
	}
}

// runReplacements plays events, two at a time at most, and then the loss of two members at any moment at which none counts
// as lost. Afterwards a leader must hold everything that was acknowledged and commit more.
func runReplacements(seed uint64, m mutant) *simGroup {
	g := newSimGroup(seed, m)
	for range 100 {
		g.step()
	}
	for range 3 + g.rng.IntN(6) {
		if vms := g.members(); g.lost() < losses && len(vms) > 0 && g.leader() != nil {
			g.disturb(vms[g.rng.IntN(len(vms))])
		}
		for range g.rng.IntN(120) {
			g.step()
			g.checkTolerance()
		}
	}
	for wait := 0; g.lost() > 0 || len(g.pending) > 0; wait++ {
		g.step()
		g.checkTolerance()
		if wait > 1000 {
			g.fail("events do not end")
			return g
		}
	}
	g.loseTwo()
	return g
}

func (g *simGroup) loseTwo() {
	vms := g.members()
	g.rng.Shuffle(len(vms), func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
	for _, vm := range vms[:min(losses, len(vms))] {
		g.log("%s is lost with its disk", vm.name)
		g.stop(vm)
		vm.removed = true
	}
	before := len(g.acknowledged)
	for range finalTicks {
		g.step()
	}
	leader := g.leader()
	if leader == nil {
		g.fail("no leader after the loss of %d members", losses)
		return
	}
	held := map[uint64]bool{}
	for _, entry := range leader.entries {
		if command, ok := g.proposed[raft.Position{Index: entry.Index, Term: entry.Term}]; ok {
			held[command] = true
		}
	}
	for command := range g.acknowledged {
		if !held[command] {
			g.fail("acknowledged command %d is lost", command)
		}
	}
	if len(g.acknowledged) <= before {
		g.fail("nothing was committed after the loss of %d members", losses)
	}
}

var _ = Describe("a self-managed group in a simulation", func() {
	// Guards against a group that cannot lose two more members some time after members were replaced.
	It("tolerates two losses once successors have had their time, and at once after planned departures", func() {
		for seed := range seeds() {
			g := runReplacements(seed, mutant{})
			Expect(g.err).NotTo(HaveOccurred(), "seed %d:\n%s", seed, strings.Join(g.trace, "\n"))
		}
	})

	DescribeTable("is found not to, with a fault", func(m mutant) {
		for seed := range seeds() {
			if g := runReplacements(seed, m); g.err != nil {
				GinkgoWriter.Println("seed", seed, g.err)
				return
			}
		}
		Fail("no schedule shows the fault")
	},
		Entry("in which each new member votes at once and a silent one is removed after 7 s", mutant{everyMemberVotes: true, keepsVoteAtStop: true}),
		Entry("in which a member that stops keeps its vote", mutant{keepsVoteAtStop: true}),
		Entry("in which silent voters are not replaced", mutant{ignoresSilence: true}),
		Entry("in which a VM with an empty disk keeps its identity", mutant{keepsIdentity: true}),
	)

	It("is deterministic, so that a seed that failed can be played again", func() {
		seed := rand.Uint64()
		Expect(runReplacements(seed, mutant{}).trace).To(Equal(runReplacements(seed, mutant{}).trace))
	})
})
