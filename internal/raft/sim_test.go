package raft

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
)

// The invariants that the simulation checks.
const (
	electionSafety     = "election safety"
	logMatching        = "log matching"
	leaderCompleteness = "leader completeness"
	stateMachineSafety = "state machine safety"
	acknowledgedLost   = "acknowledged entry lost"
	staleRead          = "stale read"
	promotedUnsynced   = "learner promoted before sync"
	noProgress         = "no progress after healing"
	panicked           = "panic"
)

// violation is a broken invariant.
type violation struct {
	invariant string
	detail    string
}

func (v *violation) Error() string { return v.invariant + ": " + v.detail }

// driverFaults are deliberate errors of the driver, which owns disk and identity.
type driverFaults struct {
	acknowledgeBeforeSync bool
	keepIdentity          bool
}

// disk is what survives a crash.
type disk struct {
	state    HardState
	base     Position
	entries  []Entry
	snapshot Snapshot
}

func (d *disk) save(state HardState, entries []Entry) {
	d.state = state
	for _, entry := range entries {
		d.entries = append(slices.Clone(d.entries[:entry.Index-d.base.Index-1]), entry)
	}
}

func (d *disk) last() uint64 { return d.base.Index + uint64(len(d.entries)) }

type simNode struct {
	id uint64
	up bool
	// frozen stops the member as a whole, including its clock, as for a paused VM.
	frozen  bool
	machine *Machine
	disk    disk
	// pending holds unsynced saves, used by a faulty driver only.
	pending []Ready
	applied []uint64
	index   uint64
	waiting map[uint64]Position
	reads   map[uint64]uint64
}

// sim drives machines over a lossy network and checks the invariants after every step.
type sim struct {
	rng     *rand.Rand
	faults  faults
	driver  driverFaults
	nodes   []*simNode
	network []Message
	cut     map[[2]int]bool
	nextID  uint64
	nextOp  uint64

	leaders   map[uint64]uint64
	committed map[uint64]Entry
	// commitTerm is the lowest term in which a member was seen to hold the index as committed.
	commitTerm map[uint64]uint64
	written    map[Position]string
	acked      map[uint64]uint64
	ackedIndex uint64
	addedAt    map[uint64]uint64
	wiped      []uint64
	// calm stops crashes inside batches.
	calm bool
	// found is the first violation, and seen holds the invariants of all.
	found *violation
	seen  map[string]bool
}

func newSim(voters, slots int, f faults, d driverFaults) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(1, 2)), faults: f, driver: d, cut: map[[2]int]bool{}, nextID: 1, nextOp: 1,
		leaders: map[uint64]uint64{}, committed: map[uint64]Entry{}, commitTerm: map[uint64]uint64{},
		written: map[Position]string{}, acked: map[uint64]uint64{}, addedAt: map[uint64]uint64{},
		seen: map[string]bool{},
	}
	var group Membership
	for i := range slots {
		s.nodes = append(s.nodes, &simNode{id: s.nextID})
		if i < voters {
			group.Members = append(group.Members, Member{ID: s.nextID, Voter: true})
		}
		s.nextID++
	}
	first := Entry{Index: 1, Term: 1, Kind: EntryMembership, Data: EncodeMembership(group)}
	for i, node := range s.nodes {
		if i < voters {
			node.disk.save(HardState{Term: 1, Commit: 1}, []Entry{first})
		}
		s.start(node)
	}
	return s
}

func (s *sim) violate(invariant, format string, args ...any) {
	s.seen[invariant] = true
	if s.found == nil {
		s.found = &violation{invariant: invariant, detail: fmt.Sprintf(format, args...)}
	}
}

func (s *sim) start(n *simNode) {
	d := &n.disk
	info := SnapshotInfo{Position: d.snapshot.Position, Membership: d.snapshot.Membership, Size: uint64(len(d.snapshot.Data))}
	machine, err := New(Config{
		ID: n.id, HeartbeatTicks: 1, ElectionTicks: 5, Random: s.rng.IntN, faults: s.faults,
		Restored: Restored{State: d.state, Snapshot: info, Base: d.base, Entries: slices.Clone(d.entries)},
	})
	if err != nil {
		s.violate(stateMachineSafety, "restart of %d: %v", n.id, err)
		return
	}
	n.machine, n.up, n.frozen = machine, true, false
	n.waiting, n.reads = map[uint64]Position{}, map[uint64]uint64{}
	n.restore(d.snapshot)
	s.drain(n)
}

func (n *simNode) restore(snapshot Snapshot) {
	n.index = snapshot.Index
	n.applied = nil
	for i := 0; i < len(snapshot.Data); i += 8 {
		n.applied = append(n.applied, binary.LittleEndian.Uint64(snapshot.Data[i:]))
	}
}

func (s *sim) crash(n *simNode) {
	n.up = false
	n.pending = nil
}

// wipe empties the disk of a member; it comes back under a new identity, unless the driver is faulty.
func (s *sim) wipe(n *simNode) {
	s.crash(n)
	n.disk = disk{}
	if !s.driver.keepIdentity {
		s.wiped = append(s.wiped, n.id)
		n.id = s.nextID
		s.nextID++
	}
	s.start(n)
}

// drain does the work of the machine. With a small probability the member crashes between two steps of a batch.
func (s *sim) drain(n *simNode) {
	for n.up && n.machine.HasReady() {
		ready := n.machine.Ready()
		s.observe(n, ready)
		s.network = append(s.network, ready.Early...)
		if !s.calm && s.rng.IntN(400) == 0 {
			s.crash(n)
			return
		}
		s.persist(n, ready)
		s.network = append(s.network, ready.Messages...)
		s.apply(n, ready)
		n.machine.Advance(ready)
	}
}

func (s *sim) persist(n *simNode, ready Ready) {
	if ready.Installed != nil {
		n.disk = disk{state: ready.State, base: ready.Installed.Position, snapshot: *ready.Installed}
		n.pending = nil
	}
	if !ready.MustSave {
		return
	}
	if s.driver.acknowledgeBeforeSync {
		n.pending = append(n.pending, ready)
		return
	}
	n.disk.save(ready.State, ready.Entries)
}

func (n *simNode) sync() {
	for _, ready := range n.pending {
		n.disk.save(ready.State, ready.Entries)
	}
	n.pending = nil
}

func (s *sim) apply(n *simNode, ready Ready) {
	if ready.Installed != nil {
		n.restore(*ready.Installed)
	}
	for _, entry := range ready.Committed {
		s.commit(n, entry)
	}
	for _, read := range ready.Reads {
		if read.Index < n.reads[read.ID] {
			s.violate(staleRead, "read at %d misses index %d", read.Index, n.reads[read.ID])
		}
	}
}

func (s *sim) commit(n *simNode, entry Entry) {
	if entry.Index != n.index+1 {
		s.violate(stateMachineSafety, "node %d applied %d after %d", n.id, entry.Index, n.index)
	}
	n.index = entry.Index
	known, ok := s.committed[entry.Index]
	if ok && (known.Term != entry.Term || string(known.Data) != string(entry.Data)) {
		s.violate(stateMachineSafety, "two entries at %d: terms %d and %d", entry.Index, known.Term, entry.Term)
	}
	s.committed[entry.Index] = entry
	if term, ok := s.commitTerm[entry.Index]; !ok || n.machine.Term() < term {
		s.commitTerm[entry.Index] = n.machine.Term()
	}
	if entry.Kind != EntryCommand {
		return
	}
	op := binary.LittleEndian.Uint64(entry.Data)
	n.applied = append(n.applied, op)
	if n.waiting[op] == (Position{Index: entry.Index, Term: entry.Term}) {
		s.acked[op] = entry.Index
		s.ackedIndex = max(s.ackedIndex, entry.Index)
	}
}

// observe checks what can be seen before the batch is carried out.
func (s *sim) observe(n *simNode, ready Ready) {
	m := n.machine
	for _, entry := range ready.Entries {
		previous, _ := m.log.term(entry.Index - 1)
		content := fmt.Sprint(previous, entry.Kind, string(entry.Data))
		at := Position{Index: entry.Index, Term: entry.Term}
		if known, ok := s.written[at]; ok && known != content {
			s.violate(logMatching, "two entries or predecessors at %v", at)
		}
		s.written[at] = content
		if entry.Kind == EntryMembership && m.role == Leader {
			s.observePromotion(m, entry)
		}
	}
	if m.role == Leader {
		s.observeLeader(n)
	}
}

func (s *sim) observeLeader(n *simNode) {
	term := n.machine.term
	leader, ok := s.leaders[term]
	if ok && leader != n.id {
		s.violate(electionSafety, "%d and %d lead term %d", leader, n.id, term)
	}
	if ok {
		return
	}
	s.leaders[term] = n.id
	for index, entry := range s.committed {
		held, inLog := n.machine.log.term(index)
		if s.commitTerm[index] < term && index > n.machine.log.base.Index && (!inLog || held != entry.Term) {
			s.violate(leaderCompleteness, "leader %d of term %d lacks committed entry %d", n.id, term, index)
		}
	}
}

func (s *sim) observePromotion(m *Machine, entry Entry) {
	before := m.log.membershipAt(entry.Index - 1)
	for _, member := range m.log.membershipAt(entry.Index).Members {
		if !member.Voter || before.IsVoter(member.ID) {
			continue
		}
		i := slices.IndexFunc(s.nodes, func(n *simNode) bool { return n.id == member.ID })
		if i >= 0 && s.nodes[i].disk.last() < s.addedAt[member.ID] {
			s.violate(promotedUnsynced, "%d holds %d of %d", member.ID, s.nodes[i].disk.last(), s.addedAt[member.ID])
		}
	}
}

func (s *sim) slot(id uint64) int {
	return slices.IndexFunc(s.nodes, func(n *simNode) bool { return n.id == id })
}

func (s *sim) deliver(message Message) {
	from, to := s.slot(message.From), s.slot(message.To)
	if to < 0 || !s.nodes[to].up || s.cut[[2]int{from, to}] {
		return
	}
	if message.Kind == MessageSnapshot && !s.fillChunk(&message) {
		return
	}
	n := s.nodes[to]
	if n.frozen {
		s.network = append(s.network, message)
		return
	}
	if err := n.machine.Step(message); err != nil {
		s.violate(stateMachineSafety, "%v", err)
	}
	s.drain(n)
}

// fillChunk splits snapshots into chunks of three commands.
func (s *sim) fillChunk(message *Message) bool {
	i := s.slot(message.From)
	if i < 0 || s.nodes[i].disk.snapshot.Position != message.Log {
		if i >= 0 && s.nodes[i].up {
			s.nodes[i].machine.SnapshotLost(message.To)
		}
		return false
	}
	data := s.nodes[i].disk.snapshot.Data
	end := min(message.Chunk.Offset+24, uint64(len(data)))
	message.Chunk.Data = data[message.Chunk.Offset:end]
	return true
}

// rounds ticks the members and delivers messages in random order with delays, and with losses and duplicates in percent.
func (s *sim) rounds(count, loss, duplicates int) {
	for range count {
		for _, n := range s.nodes {
			if n.up && !n.frozen && s.rng.IntN(10) > 0 {
				n.machine.Tick()
				s.drain(n)
			}
			if s.rng.IntN(4) == 0 {
				n.sync()
			}
		}
		batch := s.network
		s.network = nil
		s.rng.Shuffle(len(batch), func(i, j int) { batch[i], batch[j] = batch[j], batch[i] })
		for _, message := range batch {
			if s.found != nil {
				return
			}
			if s.rng.IntN(100) < loss {
				continue
			}
			if s.rng.IntN(6) == 0 {
				s.network = append(s.network, message)
				continue
			}
			s.deliver(message)
			if s.rng.IntN(100) < duplicates {
				s.network = append(s.network, message)
			}
		}
	}
}

func (s *sim) eachLeader(do func(n *simNode)) {
	for _, n := range s.nodes {
		if n.up && !n.frozen && n.machine.Role() == Leader {
			do(n)
			s.drain(n)
		}
	}
}

func (s *sim) propose(n *simNode) {
	op := s.nextOp
	s.nextOp++
	at, err := n.machine.Propose([][]byte{binary.LittleEndian.AppendUint64(nil, op)})
	if err == nil {
		n.waiting[op] = at
	}
}

func (s *sim) read(n *simNode) {
	id := s.nextOp
	s.nextOp++
	n.reads[id] = s.ackedIndex
	_ = n.machine.Read(id)
}

// administer lets a leader remove wiped identities and add members that are missing.
func (s *sim) administer(n *simNode) {
	for _, id := range s.wiped {
		_, _ = n.machine.Remove(id)
	}
	for _, other := range s.nodes {
		if _, ok := n.machine.Membership().Find(other.id); !ok {
			if _, err := n.machine.AddLearner(Member{ID: other.id}); err == nil {
				s.addedAt[other.id] = n.machine.Commit()
			}
		}
	}
}

// mayWipe allows one lost disk at a time, and only while every member knows a group of at least three intact voters.
// The loss of more than a minority destroys data under any algorithm.
func (s *sim) mayWipe() bool {
	for _, n := range s.nodes {
		members := n.machine.Membership()
		voters := 0
		for _, member := range members.Members {
			if member.Voter && slices.Contains(s.wiped, member.ID) {
				return false
			}
			if member.Voter {
				voters++
			}
		}
		if len(members.Members) > 0 && voters < 3 {
			return false
		}
	}
	return true
}

func (s *sim) compact(n *simNode) {
	if n.index <= n.disk.snapshot.Index || n.index > n.disk.last() {
		return
	}
	term, ok := n.machine.TermAt(n.index)
	if !ok {
		return
	}
	var data []byte
	for _, op := range n.applied {
		data = binary.LittleEndian.AppendUint64(data, op)
	}
	membership := n.machine.MembershipAt(n.index)
	n.disk.snapshot = Snapshot{Position: Position{Index: n.index, Term: term}, Membership: membership, Data: data}
	info := SnapshotInfo{Position: n.disk.snapshot.Position, Membership: membership, Size: uint64(len(data))}
	n.machine.Compact(info, n.index-min(n.index, 2))
	base, entries := n.machine.Log()
	n.disk.base, n.disk.entries = base, slices.Clone(entries)
}

// finish heals everything and checks that the group works and holds every acknowledged command once.
func (s *sim) finish() {
	s.cut = map[[2]int]bool{}
	s.calm = true
	for range 30 {
		for _, n := range s.nodes {
			n.frozen = false
			if !n.up && s.found == nil {
				s.start(n)
			}
		}
		s.rounds(10, 0, 0)
		s.eachLeader(s.administer)
		s.eachLeader(s.propose)
	}
	s.rounds(20, 0, 0)
	for _, n := range s.nodes {
		s.checkApplied(n)
	}
}

func (s *sim) checkApplied(n *simNode) {
	count := map[uint64]int{}
	for _, op := range n.applied {
		count[op]++
	}
	for op := range s.acked {
		if count[op] != 1 {
			s.violate(acknowledgedLost, "node %d holds command %d %d times, applied %d of %d", n.id, op, count[op], n.index, len(s.committed))
		}
	}
	if len(s.acked) == 0 || !n.machine.Membership().IsVoter(n.id) {
		s.violate(noProgress, "%d acknowledged; node %d of role %d in %v", len(s.acked), n.id, n.machine.Role(), n.machine.Membership())
	}
}
