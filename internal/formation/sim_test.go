package formation_test

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/formation"
	"github.com/wisteriamux/wisteriamux/internal/raft"
)

// The simulated group runs in ticks. The timing is that of the daemons, in ticks of 50 ms.
const (
	tick            = 50 * time.Millisecond
	losses          = 2
	catchUpTicks    = 80
	repairTicks     = 5
	admissionTicks  = 6
	noLeaderTicks   = 30
	departTicks     = 50
	stopTicks       = 20
	electionTicks   = 10
	heartbeatTicks  = 2
	finalTicks      = 200
	originalMembers = 5
)

// mutant is a deliberate fault that the simulation must find.
type mutant struct {
	// everyMemberVotes makes a voter of each new member at once and removes a silent one only after 7 s.
	everyMemberVotes bool
	keepsVoteAtStop  bool
	ignoresSilence   bool
	// keepsIdentity lets a VM whose disk was lost return under its old ID.
	keepsIdentity bool
}

// simVM is a VM of the simulated group.
type simVM struct {
	id   uint64
	name string
	node *raft.RawNode
	up   bool
	// cut is set while the VM is partitioned from all others.
	cut     bool
	state   raft.HardState
	entries []raft.Entry
	// leaderMissing counts the ticks without a leader, and departing those since the VM was told to stop.
	leaderMissing, departing int
	// afterStop runs when the VM has stopped as planned.
	afterStop func()
	// lostUntil is the tick from which the VM, or the one that it succeeds, no longer counts as lost.
	lostUntil int
	removed   bool
}

// simGroup runs the decisions of the package over Raft members that exchange messages.
type simGroup struct {
	rng     *rand.Rand
	mutant  mutant
	now     int
	vms     []*simVM
	network []raft.Message
	nextID  uint64
	// acknowledged holds the commands that were committed while their leader knew of them.
	proposed     map[raft.Position]uint64
	acknowledged map[uint64]bool
	nextCommand  uint64
	departures   map[string]int
	// pending are events that are due at a tick.
	pending map[int][]func()
	trace   []string
	err     error
}

func newSimGroup(seed uint64, m mutant) *simGroup {
	g := &simGroup{
		rng: rand.New(rand.NewPCG(seed, 11)), mutant: m, nextID: 1, proposed: map[raft.Position]uint64{}, acknowledged: map[uint64]bool{},
		departures: map[string]int{}, pending: map[int][]func(){},
	}
	var seeds raft.Membership
	for i := range originalMembers {
		vm := g.newVM()
		if i < 3 {
			seeds.Members = append(seeds.Members, raft.Member{ID: vm.id, Name: vm.name, Voter: true})
		}
	}
	for _, vm := range g.vms[:3] {
		vm.state = raft.HardState{Term: 1, Commit: 1}
		vm.entries = []raft.Entry{{Index: 1, Term: 1, Kind: raft.EntryMembership, Data: raft.EncodeMembership(seeds)}}
	}
	for _, vm := range g.vms {
		g.start(vm)
	}
	return g
}

func (g *simGroup) newVM() *simVM {
	vm := &simVM{id: g.nextID, name: fmt.Sprintf("vm-%d", g.nextID)}
	g.nextID++
	g.vms = append(g.vms, vm)
	return vm
}

func (g *simGroup) log(format string, args ...any) {
	g.trace = append(g.trace, fmt.Sprintf("%6.2f s ", (time.Duration(g.now)*tick).Seconds())+fmt.Sprintf(format, args...))
}

func (g *simGroup) fail(format string, args ...any) {
	if g.err == nil {
		g.log(format, args...)
		g.err = fmt.Errorf(format, args...)
	}
}

func (g *simGroup) after(ticks int, event func()) {
	g.pending[g.now+max(ticks, 1)] = append(g.pending[g.now+max(ticks, 1)], event)
}

func (g *simGroup) start(vm *simVM) {
	limit := formation.MaxVoters(losses)
	if g.mutant.everyMemberVotes {
		limit = 0
	}
	node, err := raft.New(raft.Config{
		ID: vm.id, HeartbeatTicks: heartbeatTicks, ElectionTicks: electionTicks, Random: g.rng.IntN, MaxVoters: limit,
		InitialState: raft.InitialState{State: vm.state, Entries: slices.Clone(vm.entries)},
	})
	if err != nil {
		g.fail("start of %s: %v", vm.name, err)
		return
	}
	vm.node, vm.up, vm.departing, vm.leaderMissing = node, true, 0, 0
	g.log("%s starts as %d", vm.name, vm.id)
}

func (g *simGroup) stop(vm *simVM) {
	vm.up, vm.departing = false, 0
	g.log("%s has stopped", vm.name)
	if vm.afterStop != nil {
		vm.afterStop()
		vm.afterStop = nil
	}
}

// wipe empties the disk of a stopped VM, which returns under a new ID.
func (g *simGroup) wipe(vm *simVM) {
	vm.state, vm.entries = raft.HardState{}, nil
	if !g.mutant.keepsIdentity {
		vm.id = g.nextID
		g.nextID++
	}
}

func (g *simGroup) leader() *simVM {
	var leader *simVM
	for _, vm := range g.vms {
		if vm.up && !vm.cut && vm.node.Role() == raft.Leader && (leader == nil || vm.node.Term() > leader.node.Term()) {
			leader = vm
		}
	}
	return leader
}

func (g *simGroup) find(id uint64) *simVM {
	for _, vm := range g.vms {
		if vm.id == id {
			return vm
		}
	}
	return nil
}

// process persists and sends what the member has ready.
func (g *simGroup) process(vm *simVM) {
	for vm.up && vm.node.HasReady() {
		ready := vm.node.Ready()
		if ready.MustSave {
			vm.state = ready.State
			for _, entry := range ready.Entries {
				vm.entries = append(slices.Clone(vm.entries[:entry.Index-1]), entry)
			}
		}
		g.network = append(g.network, ready.ImmediateMessages...)
		g.network = append(g.network, ready.DeferredMessages...)
		for _, entry := range ready.CommittedEntries {
			if command, ok := g.proposed[raft.Position{Index: entry.Index, Term: entry.Term}]; ok && vm.node.Role() == raft.Leader {
				g.acknowledged[command] = true
			}
		}
		vm.node.Advance(ready)
	}
}

// exchange delivers messages until the members have nothing more to say, or drops what is in flight to a VM that cannot be
// reached.
func (g *simGroup) exchange() {
	for range 12 {
		batch := g.network
		g.network = nil
		g.rng.Shuffle(len(batch), func(i, j int) { batch[i], batch[j] = batch[j], batch[i] })
		for _, message := range batch {
			from, to := g.find(message.From), g.find(message.To)
			if from == nil || to == nil || !to.up || to.cut || from.cut {
				continue
			}
			if g.rng.IntN(8) == 0 {
				g.network = append(g.network, message)
				continue
			}
			if err := to.node.Step(message); err != nil {
				g.fail("%s: %v", to.name, err)
			}
			g.process(to)
		}
	}
}

// group converts what the leader knows, as the daemon does.
func (g *simGroup) group(leader *simVM) formation.Group {
	group := formation.Group{MaxVoters: formation.MaxVoters(losses), Departing: map[string]bool{}}
	peers := leader.node.Peers()
	for _, member := range leader.node.Membership().Members {
		status := controlrpc.GroupMember{ID: strconv.FormatUint(member.ID, 16), Name: member.Name, Role: "learner"}
		if member.Voter {
			status.Role = "voter"
		}
		if member.ID == leader.id {
			status.Role = "leader"
		}
		if peer, ok := peers[member.ID]; ok {
			status.LastContactMillis = (time.Duration(peer.TicksSinceContact) * tick).Milliseconds()
			status.Standby = peer.Standby
		}
		group.Members = append(group.Members, status)
	}
	for id, until := range g.departures {
		group.Departing[id] = g.now < until
	}
	return group
}

func (g *simGroup) apply(leader *simVM, change formation.Change) bool {
	id := func(text string) uint64 {
		n, _ := strconv.ParseUint(text, 16, 64)
		return n
	}
	var err error
	switch {
	case change.Promote != "":
		_, err = leader.node.Promote(id(change.Promote))
	case change.Demote != "":
		_, err = leader.node.Demote(id(change.Demote))
	case change.Remove != "":
		_, err = leader.node.Remove(id(change.Remove))
	default:
		return false
	}
	if err == nil {
		g.log("%s changes the group: %+v", leader.name, change)
	}
	g.process(leader)
	return err == nil
}

// repair lets the leader replace silent voters.
func (g *simGroup) repair(leader *simVM) {
	if g.mutant.ignoresSilence {
		return
	}
	group := g.group(leader)
	if !g.mutant.everyMemberVotes {
		g.apply(leader, group.NextChange())
		return
	}
	voters := 0
	var silent controlrpc.GroupMember
	for _, member := range group.Members {
		if member.Role != "learner" {
			voters++
		}
		if member.Role == "voter" && member.LastContactMillis > silent.LastContactMillis {
			silent = member
		}
	}
	if silent.LastContactMillis >= 7000 && voters >= 4 && voters%2 == 0 {
		g.apply(leader, formation.Change{Remove: silent.ID})
	}
}

// admit lets a VM ask the leader for membership if it is not a member or knows no leader.
func (g *simGroup) admit(vm, leader *simVM) {
	_, isMember := vm.node.Membership().Find(vm.id)
	if isMember && vm.node.Leader() != 0 {
		vm.leaderMissing = 0
		return
	}
	vm.leaderMissing++
	if vm.leaderMissing%admissionTicks != 0 || (isMember && vm.leaderMissing < noLeaderTicks) || leader == nil || vm.cut {
		return
	}
	decision := formation.DecideAdmission(strconv.FormatUint(vm.id, 16), vm.name, g.group(leader).Members)
	if decision.AlreadyMember {
		return
	}
	if decision.Remove != "" {
		g.apply(leader, formation.Change{Remove: decision.Remove})
		return
	}
	if _, err := leader.node.AddLearner(raft.Member{ID: vm.id, Name: vm.name}); err == nil {
		g.log("%s admits %s", leader.name, vm.name)
	}
	g.process(leader)
}

// depart lets a VM that was told to stop hand over its leadership and its vote.
func (g *simGroup) depart(vm, leader *simVM) {
	vm.departing++
	if vm.departing > departTicks || g.mutant.keepsVoteAtStop {
		g.stop(vm)
		return
	}
	if vm.cut || leader == nil {
		return
	}
	if leader == vm {
		if vm.departing%12 == 2 {
			_ = vm.node.TransferLeader(0)
			g.process(vm)
		}
		return
	}
	g.departures[strconv.FormatUint(vm.id, 16)] = g.now + stopTicks
	departure := g.group(leader).DecideDeparture(strconv.FormatUint(vm.id, 16))
	switch {
	case departure.Wait:
	case departure.Change == (formation.Change{}):
		// The group may hold the change that answers this only in the leader's log yet.
		if leader.node.Commit() == leader.node.LastPosition().Index {
			g.stop(vm)
		}
	default:
		g.apply(leader, departure.Change)
	}
}

// step advances the simulation by one tick.
func (g *simGroup) step() {
	g.now++
	for _, event := range g.pending[g.now] {
		event()
	}
	delete(g.pending, g.now)
	for _, vm := range g.vms {
		if vm.up {
			vm.node.Tick()
			g.process(vm)
		}
	}
	g.exchange()
	leader := g.leader()
	for _, vm := range g.vms {
		if vm.up {
			g.admit(vm, leader)
		}
		if vm.up && vm.departing > 0 {
			g.depart(vm, leader)
		}
	}
	if leader = g.leader(); leader == nil {
		return
	}
	if g.now%repairTicks == 0 {
		g.repair(leader)
	}
	g.propose(leader)
}

func (g *simGroup) propose(leader *simVM) {
	command := g.nextCommand
	g.nextCommand++
	if at, err := leader.node.Propose([][]byte{binary.LittleEndian.AppendUint64(nil, command)}); err == nil {
		g.proposed[at] = command
	}
	g.process(leader)
}

// lost returns the number of VMs that count as lost.
func (g *simGroup) lost() int {
	count := 0
	for _, vm := range g.vms {
		if g.now < vm.lostUntil {
			count++
		}
	}
	return count
}

// tolerated returns how many voters more than the quorum run and are in touch, according to the leader's membership.
func (g *simGroup) tolerated(leader *simVM) int {
	running := 0
	for _, member := range leader.node.Membership().Members {
		if vm := g.find(member.ID); member.Voter && vm != nil && vm.up && !vm.cut {
			running++
		}
	}
	return running - leader.node.Membership().Quorum()
}
