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

// violation is an error that describes a violated invariant.
type violation struct {
	invariant string
	detail    string
}

func (v *violation) Error() string { return v.invariant + ": " + v.detail }

// driverFaults are deliberate bugs of the driver, which owns the disk and the member ID.
type driverFaults struct {
	acknowledgeBeforeSync bool
	keepIdentity          bool
}

// disk is the state that survives a crash.
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
	// frozen pauses the member, including its clock, like a paused VM.
	frozen  bool
	rawNode *RawNode
	disk    disk
	// pending holds the saves that are not synced yet. Only a driver with acknowledgeBeforeSync has any.
	pending []Ready
	applied []uint64
	index   uint64
	// waiting holds the positions of proposed commands, and reads the ackedIndex at the time of each read request.
	waiting map[uint64]Position
	reads   map[uint64]uint64
}

// sim runs RawNodes over an unreliable simulated network and checks the invariants after every step.
type sim struct {
	rng          *rand.Rand
	faults       faults
	driver       driverFaults
	nodes        []*simNode
	network      []Message
	blockedLinks map[[2]int]bool
	nextID       uint64
	nextOp       uint64

	// leaders holds the leader of each term.
	leaders   map[uint64]uint64
	committed map[uint64]Entry
	// commitTerm holds, by index, the lowest term that a member had when it applied the entry.
	commitTerm     map[uint64]uint64
	writtenEntries map[Position]string
	// acked holds the index of each acknowledged command, and ackedIndex the highest of them.
	acked      map[uint64]uint64
	ackedIndex uint64
	// addedAt holds the commit index at which each learner was added.
	addedAt map[uint64]uint64
	wiped   []uint64
	// noCrashes disables random crashes during the processing of a Ready.
	noCrashes          bool
	maxVoters          int
	firstViolation     *violation
	violatedInvariants map[string]bool
}

func newSim(voters, nodeCount int, f faults, d driverFaults) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(1, 2)), faults: f, driver: d, blockedLinks: map[[2]int]bool{}, nextID: 1, nextOp: 1,
		leaders: map[uint64]uint64{}, committed: map[uint64]Entry{}, commitTerm: map[uint64]uint64{},
		writtenEntries: map[Position]string{}, acked: map[uint64]uint64{}, addedAt: map[uint64]uint64{},
		violatedInvariants: map[string]bool{},
	}
	var group Membership
	for i := range nodeCount {
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

func (s *sim) reportViolation(invariant, format string, args ...any) {
	s.violatedInvariants[invariant] = true
	if s.firstViolation == nil {
		s.firstViolation = &violation{invariant: invariant, detail: fmt.Sprintf(format, args...)}
	}
}

func (s *sim) start(n *simNode) {
	d := &n.disk
	info := SnapshotMetadata{Position: d.snapshot.Position, Membership: d.snapshot.Membership, Size: uint64(len(d.snapshot.Data))}
	rawNode, err := New(Config{
		ID: n.id, HeartbeatTicks: 1, ElectionTicks: 5, Random: s.rng.IntN, MaxVoters: s.maxVoters, faults: s.faults,
		InitialState: InitialState{State: d.state, Snapshot: info, Base: d.base, Entries: slices.Clone(d.entries)},
	})
	if err != nil {
		s.reportViolation(stateMachineSafety, "restart of %d: %v", n.id, err)
		return
	}
	n.rawNode, n.up, n.frozen = rawNode, true, false
	n.waiting, n.reads = map[uint64]Position{}, map[uint64]uint64{}
	n.restore(d.snapshot)
	s.processReadys(n)
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

// wipe empties the disk of a member and restarts it with a new ID, or with the old one if the driver has keepIdentity.
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

// processReadys processes the Readys of the member. Unless noCrashes is set, the member may crash in between, with a
// small probability.
func (s *sim) processReadys(n *simNode) {
	for n.up && n.rawNode.HasReady() {
		ready := n.rawNode.Ready()
		s.checkReady(n, ready)
		s.network = append(s.network, ready.ImmediateMessages...)
		if !s.noCrashes && s.rng.IntN(400) == 0 {
			s.crash(n)
			return
		}
		s.persist(n, ready)
		s.network = append(s.network, ready.DeferredMessages...)
		s.apply(n, ready)
		n.rawNode.Advance(ready)
	}
}

func (s *sim) persist(n *simNode, ready Ready) {
	if ready.InstalledSnapshot != nil {
		n.disk = disk{state: ready.State, base: ready.InstalledSnapshot.Position, snapshot: *ready.InstalledSnapshot}
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
	if ready.InstalledSnapshot != nil {
		n.restore(*ready.InstalledSnapshot)
	}
	for _, entry := range ready.CommittedEntries {
		s.commit(n, entry)
	}
	for _, read := range ready.ReadIndexes {
		if read.Index < n.reads[read.ID] {
			s.reportViolation(staleRead, "read at index %d does not reflect index %d", read.Index, n.reads[read.ID])
		}
	}
}

func (s *sim) commit(n *simNode, entry Entry) {
	if entry.Index != n.index+1 {
		s.reportViolation(stateMachineSafety, "node %d applied index %d after index %d", n.id, entry.Index, n.index)
	}
	n.index = entry.Index
	known, ok := s.committed[entry.Index]
	if ok && (known.Term != entry.Term || string(known.Data) != string(entry.Data)) {
		s.reportViolation(stateMachineSafety, "different entries committed at index %d: terms %d and %d", entry.Index, known.Term, entry.Term)
	}
	s.committed[entry.Index] = entry
	if term, ok := s.commitTerm[entry.Index]; !ok || n.rawNode.Term() < term {
		s.commitTerm[entry.Index] = n.rawNode.Term()
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

// checkReady checks the invariants that can be checked before the Ready is processed.
func (s *sim) checkReady(n *simNode, ready Ready) {
	m := n.rawNode
	for _, entry := range ready.Entries {
		previous, _ := m.log.term(entry.Index - 1)
		content := fmt.Sprint(previous, entry.Kind, string(entry.Data))
		at := Position{Index: entry.Index, Term: entry.Term}
		if known, ok := s.writtenEntries[at]; ok && known != content {
			s.reportViolation(logMatching, "different entries, or different preceding terms, at %v", at)
		}
		s.writtenEntries[at] = content
		if entry.Kind == EntryMembership && m.role == Leader {
			s.checkPromotion(m, entry)
		}
	}
	if m.role == Leader {
		s.checkLeader(n)
	}
}

func (s *sim) checkLeader(n *simNode) {
	term := n.rawNode.term
	leader, ok := s.leaders[term]
	if ok && leader != n.id {
		s.reportViolation(electionSafety, "nodes %d and %d are both leaders of term %d", leader, n.id, term)
	}
	if ok {
		return
	}
	s.leaders[term] = n.id
	for index, entry := range s.committed {
		held, inLog := n.rawNode.log.term(index)
		if s.commitTerm[index] < term && index > n.rawNode.log.base.Index && (!inLog || held != entry.Term) {
			s.reportViolation(leaderCompleteness, "leader %d of term %d lacks committed entry %d", n.id, term, index)
		}
	}
}

func (s *sim) checkPromotion(m *RawNode, entry Entry) {
	before := m.log.membershipAt(entry.Index - 1)
	for _, member := range m.log.membershipAt(entry.Index).Members {
		if !member.Voter || before.IsVoter(member.ID) {
			continue
		}
		i := slices.IndexFunc(s.nodes, func(n *simNode) bool { return n.id == member.ID })
		if i >= 0 && s.nodes[i].disk.last() < s.addedAt[member.ID] {
			s.reportViolation(promotedUnsynced, "promoted learner %d has persisted index %d, want at least %d", member.ID, s.nodes[i].disk.last(), s.addedAt[member.ID])
		}
	}
}

func (s *sim) nodeIndex(id uint64) int {
	return slices.IndexFunc(s.nodes, func(n *simNode) bool { return n.id == id })
}

func (s *sim) deliver(message Message) {
	from, to := s.nodeIndex(message.From), s.nodeIndex(message.To)
	if to < 0 || !s.nodes[to].up || s.blockedLinks[[2]int{from, to}] {
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
	if err := n.rawNode.Step(message); err != nil {
		s.reportViolation(stateMachineSafety, "%v", err)
	}
	s.processReadys(n)
}

// fillChunk fills in the data of a snapshot chunk of up to three commands. It returns false if the sender cannot read
// the snapshot.
func (s *sim) fillChunk(message *Message) bool {
	i := s.nodeIndex(message.From)
	if i < 0 || s.nodes[i].disk.snapshot.Position != message.Log {
		if i >= 0 && s.nodes[i].up {
			s.nodes[i].rawNode.ReportSnapshotFailure(message.To)
		}
		return false
	}
	data := s.nodes[i].disk.snapshot.Data
	end := min(message.Chunk.Offset+24, uint64(len(data)))
	message.Chunk.Data = data[message.Chunk.Offset:end]
	return true
}

// runRounds runs count rounds. Each round ticks the members and delivers the messages in random order and with random
// delays. loss and duplicates are the percentages of messages to drop and to duplicate.
func (s *sim) runRounds(count, loss, duplicates int) {
	for range count {
		for _, n := range s.nodes {
			if n.up && !n.frozen && s.rng.IntN(10) > 0 {
				n.rawNode.Tick()
				s.processReadys(n)
			}
			if s.rng.IntN(4) == 0 {
				n.sync()
			}
		}
		batch := s.network
		s.network = nil
		s.rng.Shuffle(len(batch), func(i, j int) { batch[i], batch[j] = batch[j], batch[i] })
		for _, message := range batch {
			if s.firstViolation != nil {
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
		if n.up && !n.frozen && n.rawNode.Role() == Leader {
			do(n)
			s.processReadys(n)
		}
	}
}

func (s *sim) propose(n *simNode) {
	op := s.nextOp
	s.nextOp++
	at, err := n.rawNode.Propose([][]byte{binary.LittleEndian.AppendUint64(nil, op)})
	if err == nil {
		n.waiting[op] = at
	}
}

func (s *sim) read(n *simNode) {
	id := s.nextOp
	s.nextOp++
	n.reads[id] = s.ackedIndex
	_ = n.rawNode.ReadIndex(id)
}

// repairMembership makes the leader remove the IDs of wiped members and add the nodes that are not members.
func (s *sim) repairMembership(n *simNode) {
	for _, id := range s.wiped {
		_, _ = n.rawNode.Remove(id)
	}
	for _, other := range s.nodes {
		if _, ok := n.rawNode.Membership().Find(other.id); !ok {
			if _, err := n.rawNode.AddLearner(Member{ID: other.id}); err == nil {
				s.addedAt[other.id] = n.rawNode.Commit()
			}
		}
	}
}

// canLoseDisk reports whether another disk may be lost: only one at a time, and only while every member knows of at
// least three intact voters. Losing the disks of a majority loses data under any algorithm.
func (s *sim) canLoseDisk() bool {
	for _, n := range s.nodes {
		members := n.rawNode.Membership()
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
	term, ok := n.rawNode.TermAt(n.index)
	if !ok {
		return
	}
	var data []byte
	for _, op := range n.applied {
		data = binary.LittleEndian.AppendUint64(data, op)
	}
	membership := n.rawNode.MembershipAt(n.index)
	n.disk.snapshot = Snapshot{Position: Position{Index: n.index, Term: term}, Membership: membership, Data: data}
	info := SnapshotMetadata{Position: n.disk.snapshot.Position, Membership: membership, Size: uint64(len(data))}
	n.rawNode.Compact(info, n.index-min(n.index, 2))
	base, entries := n.rawNode.StableLog()
	n.disk.base, n.disk.entries = base, slices.Clone(entries)
}

// finish ends all partitions, pauses and crashes, and checks that the group makes progress and that every member holds
// each acknowledged command exactly once.
func (s *sim) finish() {
	s.blockedLinks = map[[2]int]bool{}
	s.noCrashes = true
	for range 30 {
		for _, n := range s.nodes {
			n.frozen = false
			if !n.up && s.firstViolation == nil {
				s.start(n)
			}
		}
		s.runRounds(10, 0, 0)
		s.eachLeader(s.repairMembership)
		s.eachLeader(s.propose)
	}
	s.runRounds(20, 0, 0)
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
			s.reportViolation(acknowledgedLost, "node %d applied command %d %d times; it has applied index %d of %d", n.id, op, count[op], n.index, len(s.committed))
		}
	}
	if len(s.acked) == 0 || !n.rawNode.Membership().IsVoter(n.id) {
		s.reportViolation(noProgress, "%d commands acknowledged; node %d has role %d in membership %v", len(s.acked), n.id, n.rawNode.Role(), n.rawNode.Membership())
	}
}
