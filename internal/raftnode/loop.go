package raftnode

import (
	"time"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/raft"
	"github.com/wisteriamux/wisteriamux/internal/wal"
)

const (
	inboxBatches  = 256
	proposalQueue = 4096
	readQueue     = 4096
	// batchProposals bounds the proposals that share one disk write.
	batchProposals = 1024
	// maxWaiters bounds the proposals in the log that are not applied yet.
	maxWaiters = 1 << 16
	// learnedAddresses bounds the addresses kept for members that are not in the membership yet.
	learnedAddresses = 64
)

// outcome is the result of a proposal or read.
type outcome struct {
	data []byte
	err  error
}

// proposal waits for its entry to be applied.
type proposal struct {
	data []byte
	done chan outcome
}

// waiter is a proposal whose entry is in the log.
type waiter struct {
	term uint64
	done chan outcome
}

// loop owns the consensus machine, the log and the state machine. Only its goroutine touches them.
type loop struct {
	node    *Node
	machine *raft.Machine
	disk    *storage

	waiters map[uint64]waiter
	// reads holds the callers of each read that is in progress.
	reads     map[uint64][]chan outcome
	nextRead  uint64
	addresses map[uint64]string
	applied   uint64
	// snapshotting is set while a snapshot is written in the background, and skipUntil after one failed.
	snapshotting bool
	skipUntil    uint64
	ledTerm      uint64
	failure      error
}

func (l *loop) run() {
	ticker := time.NewTicker(l.node.config.Tick)
	defer ticker.Stop()
	var err error
	for err == nil {
		if !l.next(ticker.C) {
			break
		}
		if err = l.work(); err == nil {
			l.publish()
			l.maybeSnapshot()
		}
	}
	l.finish(err)
}

// next takes at least one input and whatever else has arrived. It reports false when the node is closing.
func (l *loop) next(tick <-chan time.Time) bool {
	n := l.node
	select {
	case <-n.closing:
		return false
	case <-tick:
		l.machine.Tick()
	case batch := <-n.inbox:
		l.receive(batch)
	case p := <-n.proposals:
		l.propose(p)
	case done := <-n.reads:
		l.read(done)
	case task := <-n.tasks:
		task()
	}
	return true
}

// receive handles a batch of messages and those that have gathered behind it.
func (l *loop) receive(batch StepArgs) {
	for {
		l.learn(batch.From, batch.Address)
		for _, message := range batch.Messages {
			// A failure of the machine is permanent and is found by work.
			_ = l.machine.Step(message)
		}
		select {
		case batch = <-l.node.inbox:
		default:
			return
		}
	}
}

func (l *loop) learn(id uint64, address string) {
	if _, ok := l.machine.Membership().Find(id); ok {
		delete(l.addresses, id)
		return
	}
	if len(l.addresses) >= learnedAddresses {
		clear(l.addresses)
	}
	l.addresses[id] = address
}

// propose appends the proposal and those that wait behind it, so that they share one disk write.
func (l *loop) propose(first proposal) {
	batch := []proposal{first}
	for len(batch) < batchProposals && len(l.node.proposals) > 0 {
		batch = append(batch, <-l.node.proposals)
	}
	commands := make([][]byte, len(batch))
	for i, p := range batch {
		commands[i] = p.data
	}
	at, err := l.admit(commands)
	for i, p := range batch {
		if err != nil {
			p.done <- outcome{err: err}
			continue
		}
		l.waiters[at.Index+uint64(i)] = waiter{term: at.Term, done: p.done}
	}
}

func (l *loop) admit(commands [][]byte) (raft.Position, error) {
	if len(l.waiters) >= maxWaiters {
		return raft.Position{}, fault.New(fault.NotRun, "raftnode.propose", "%d proposals are in progress", len(l.waiters))
	}
	return l.machine.Propose(commands)
}

// read starts one confirmed read for all callers that wait.
func (l *loop) read(first chan outcome) {
	callers := []chan outcome{first}
	for len(l.node.reads) > 0 {
		callers = append(callers, <-l.node.reads)
	}
	l.nextRead++
	if err := l.machine.Read(l.nextRead); err != nil {
		answer(callers, err)
		return
	}
	l.reads[l.nextRead] = callers
}

func answer(callers []chan outcome, err error) {
	for _, done := range callers {
		done <- outcome{err: err}
	}
}

// work carries out what the machine asks for. An error is permanent: the member must stop without acknowledging.
func (l *loop) work() error {
	if l.failure != nil {
		return l.failure
	}
	if err := l.machine.Failure(); err != nil {
		return err
	}
	for l.machine.HasReady() {
		ready := l.machine.Ready()
		l.send(ready.Early)
		if err := l.persist(ready); err != nil {
			return err
		}
		l.send(ready.Messages)
		if err := l.apply(ready); err != nil {
			return err
		}
		l.machine.Advance(ready)
	}
	l.abandonWaiters()
	return l.machine.Failure()
}

func (l *loop) persist(ready raft.Ready) error {
	if ready.Installed != nil {
		if err := l.disk.install(*ready.Installed, ready.State); err != nil {
			return err
		}
	}
	if !ready.MustSave {
		return nil
	}
	return l.disk.log.Save(ready.State, ready.Entries)
}

func (l *loop) apply(ready raft.Ready) error {
	if ready.Installed != nil {
		if err := l.restore(*ready.Installed); err != nil {
			return err
		}
	}
	for _, entry := range ready.Committed {
		l.applyEntry(entry)
	}
	for _, read := range ready.Reads {
		answer(l.reads[read.ID], nil)
		delete(l.reads, read.ID)
	}
	for _, id := range ready.FailedReads {
		answer(l.reads[id], l.node.notLeader("read"))
		delete(l.reads, id)
	}
	return nil
}

func (l *loop) restore(snapshot raft.Snapshot) error {
	if err := l.node.config.Machine.Restore(snapshot.Data); err != nil {
		return fault.New(fault.Corrupt, "raftnode.restore", "snapshot at %d: %w", snapshot.Index, err)
	}
	l.disk.snapshot = raft.Snapshot{Position: snapshot.Position, Membership: snapshot.Membership}
	l.applied = snapshot.Index
	return nil
}

func (l *loop) applyEntry(entry raft.Entry) {
	var result []byte
	if entry.Kind == raft.EntryCommand {
		result = l.node.config.Machine.Apply(entry.Index, entry.Data)
	}
	l.applied = entry.Index
	waiting, ok := l.waiters[entry.Index]
	if !ok {
		return
	}
	delete(l.waiters, entry.Index)
	if waiting.term != entry.Term {
		waiting.done <- outcome{err: l.node.notLeader("propose")}
		return
	}
	waiting.done <- outcome{data: result}
}

// abandonWaiters answers the proposals of a lost leadership. Their entries may still be committed by the next leader.
func (l *loop) abandonWaiters() {
	leads := l.machine.Role() == raft.Leader
	if leads && l.machine.Term() == l.ledTerm {
		return
	}
	if leads {
		l.ledTerm = l.machine.Term()
	}
	for index, waiting := range l.waiters {
		if leads && waiting.term == l.ledTerm {
			continue
		}
		waiting.done <- outcome{err: fault.New(fault.Unavailable, "raftnode.propose", "leadership was lost before the entry was committed")}
		delete(l.waiters, index)
	}
}

func (l *loop) send(messages []raft.Message) {
	for _, message := range messages {
		l.node.transport.send(message, l.addressOf(message.To))
	}
}

func (l *loop) addressOf(id uint64) string {
	if member, ok := l.machine.Membership().Find(id); ok {
		return member.Address
	}
	return l.addresses[id]
}

// maybeSnapshot compacts the log after enough entries. The state is copied here and written in the background, since a
// slow write would delay heartbeats.
func (l *loop) maybeSnapshot() {
	due := max(l.disk.snapshot.Index, l.skipUntil) + l.node.config.SnapshotEntries
	if l.snapshotting || l.applied < due {
		return
	}
	data, err := l.node.config.Machine.Snapshot()
	term, ok := l.machine.TermAt(l.applied)
	if err != nil || !ok {
		l.node.config.Log.Error("snapshot failed", "index", l.applied, "error", err)
		l.skipUntil = l.applied
		return
	}
	at := raft.Position{Index: l.applied, Term: term}
	l.snapshotting = true
	l.writeSnapshot(raft.Snapshot{Position: at, Membership: l.machine.MembershipAt(at.Index), Data: data})
}

func (l *loop) writeSnapshot(snapshot raft.Snapshot) {
	l.node.background.Add(1)
	go func() {
		defer l.node.background.Done()
		err := l.disk.snapshots.Save(snapshot)
		l.node.submit(func() { l.compact(snapshot, err) })
	}()
}

// compact drops the log up to the previous snapshot, so that the log still reaches that one if the new one is damaged.
func (l *loop) compact(snapshot raft.Snapshot, err error) {
	l.snapshotting = false
	previous := l.disk.snapshot.Index
	if err == nil && snapshot.Index > previous {
		err = l.compactTo(snapshot, previous)
	}
	if err != nil && l.failure == nil {
		l.failure = err
	}
}

func (l *loop) compactTo(snapshot raft.Snapshot, keepAfter uint64) error {
	l.machine.Compact(infoOf(snapshot), keepAfter)
	l.disk.snapshot = raft.Snapshot{Position: snapshot.Position, Membership: snapshot.Membership}
	base, entries := l.machine.Log()
	checkpoint := wal.Checkpoint{Mark: base, State: l.machine.HardState(), Entries: entries}
	if err := l.disk.log.Compact(checkpoint); err != nil {
		return err
	}
	return l.disk.snapshots.Prune()
}

// publish makes the state of the member visible to other goroutines.
func (l *loop) publish() {
	m := l.machine
	group := m.Membership()
	v := view{group: group, peers: m.Peers(), role: RoleNotMember, snapshot: l.disk.snapshot.Index}
	v.term, v.commit, v.last, v.applied = m.Term(), m.Commit(), m.Last().Index, l.applied
	if member, ok := group.Find(m.Leader()); ok {
		v.leader = member.ID
		v.leaderName = member.Name
	}
	if member, ok := group.Find(l.node.identity); ok {
		v.role = roleOf(member, v.leader)
	}
	l.node.setView(v)
	l.node.transport.retain(func(id uint64) bool { return l.addressOf(id) != "" })
}

// finish answers everyone who waits and releases all resources.
func (l *loop) finish(err error) {
	n := l.node
	stopped := fault.New(fault.Unavailable, "raftnode.stop", "%s has stopped", n.config.Name)
	n.setView(view{role: RoleNotMember, term: l.machine.Term()})
	n.setErr(err)
	close(n.halted)
	for _, waiting := range l.waiters {
		waiting.done <- outcome{err: stopped}
	}
	for _, callers := range l.reads {
		answer(callers, stopped)
	}
	n.transport.close()
	n.background.Wait()
	if closeErr := l.disk.close(); closeErr != nil && err == nil {
		n.setErr(closeErr)
	}
	if err != nil {
		n.config.Log.Error("stopped", "error", err)
	}
	close(n.done)
}
