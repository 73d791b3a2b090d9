package raftnode

import (
	"fmt"
	"strings"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/raft"
	"github.com/wisteriamux/wisteriamux/internal/wal"
)

const (
	inboxBatches  = 64
	proposalQueue = 4096
	readQueue     = 4096
	// batchProposals and batchCommands bound the number and the bytes of the proposals that share one disk write.
	batchProposals = 1024
	batchCommands  = 8 << 20
	// stepBatches bounds the batches of messages that are handled before the disk is written and the clock is read.
	stepBatches = 64
	// maxWaiters bounds the proposals in the log that are not applied yet.
	maxWaiters = 1 << 16
	// learnedAddresses bounds the addresses kept for members that are not in the membership yet.
	learnedAddresses = 64
	// entryOverhead approximates the bytes of an entry on disk besides its data.
	entryOverhead = 32
	// maxLogBytes is the size of applied entries after which the log is compacted even if a snapshot is larger.
	maxLogBytes = 64 << 20
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

// loop owns the consensus machine and the log. Only its goroutine touches them.
type loop struct {
	node    *Node
	machine *raft.Machine
	disk    *storage
	applier *applier

	waiters map[uint64]waiter
	// reading holds the callers of the read in progress, number readID. Later callers wait in queuedReads for the next
	// one, so that any number of callers costs at most one round trip at a time.
	reading     []chan outcome
	queuedReads []chan outcome
	readID      uint64
	addresses   map[uint64]string
	// handed is the last entry given to the applier.
	handed uint64
	// sinceSnapshot is the size of the entries handed out since the last snapshot or attempt, which was at snapshotAt.
	sinceSnapshot uint64
	snapshotAt    uint64
	snapshotSize  uint64
	snapshotting  bool
	ledTerm       uint64
	failure       error
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
	for range stepBatches {
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
	size := len(first.data)
	for len(batch) < batchProposals && size < batchCommands && len(l.node.proposals) > 0 {
		next := <-l.node.proposals
		batch = append(batch, next)
		size += len(next.data)
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

// read queues the callers that wait and starts a confirmed read unless one is in progress.
func (l *loop) read(first chan outcome) {
	l.queuedReads = append(l.queuedReads, first)
	for len(l.node.reads) > 0 {
		l.queuedReads = append(l.queuedReads, <-l.node.reads)
	}
	l.startRead()
}

func (l *loop) startRead() {
	if len(l.reading) > 0 || len(l.queuedReads) == 0 {
		return
	}
	l.reading, l.queuedReads = l.queuedReads, nil
	l.readID++
	if err := l.machine.Read(l.readID); err != nil {
		answer(l.reading, err)
		l.reading = nil
	}
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
		l.handOut(ready)
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

// handOut gives the applier what is committed, and the reads that it satisfies.
func (l *loop) handOut(ready raft.Ready) {
	var j job
	if ready.Installed != nil {
		j.restore = ready.Installed
		l.noteSnapshot(*ready.Installed)
		l.handed = ready.Installed.Index
	}
	for _, entry := range ready.Committed {
		j.entries = append(j.entries, applyEntry{entry: entry, done: l.takeWaiter(entry)})
		l.handed = entry.Index
		l.sinceSnapshot += uint64(len(entry.Data)) + entryOverhead
	}
	if len(ready.Reads) > 0 {
		j.reads, l.reading = l.reading, nil
	}
	if j.restore != nil || len(j.entries) > 0 || len(j.reads) > 0 {
		l.applier.submit(j)
	}
	if len(ready.FailedReads) > 0 {
		answer(l.reading, l.node.notLeader("read"))
		l.reading = nil
	}
	l.startRead()
}

// takeWaiter returns the channel of the proposer of a committed entry. A proposer whose entry was replaced learns that
// it was not accepted.
func (l *loop) takeWaiter(entry raft.Entry) chan outcome {
	waiting, ok := l.waiters[entry.Index]
	if !ok {
		return nil
	}
	delete(l.waiters, entry.Index)
	if waiting.term != entry.Term {
		waiting.done <- outcome{err: l.node.notLeader("propose")}
		return nil
	}
	return waiting.done
}

// noteSnapshot records the newest durable snapshot.
func (l *loop) noteSnapshot(snapshot raft.Snapshot) {
	l.disk.snapshot = raft.Snapshot{Position: snapshot.Position, Membership: snapshot.Membership}
	l.snapshotSize = uint64(len(snapshot.Data))
	if snapshot.Index > l.snapshotAt {
		l.snapshotAt = snapshot.Index
		l.sinceSnapshot = 0
	}
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

// maybeSnapshot starts a snapshot after enough entries. Waiting for as many bytes of entries as a snapshot has keeps
// the cost of snapshots in proportion to that of the log when the state is large.
func (l *loop) maybeSnapshot() {
	isDue := l.handed >= l.snapshotAt+l.node.config.SnapshotEntries && l.sinceSnapshot >= min(l.snapshotSize, maxLogBytes)
	if l.snapshotting || !isDue {
		return
	}
	term, ok := l.machine.TermAt(l.handed)
	if !ok {
		return
	}
	at := raft.Position{Index: l.handed, Term: term}
	l.snapshotting = true
	l.snapshotAt = at.Index
	l.sinceSnapshot = 0
	l.applier.submit(job{capture: &raft.Snapshot{Position: at, Membership: l.machine.MembershipAt(at.Index)}})
}

// captured is called by the applier. The state is written in the background, so that further entries are applied.
func (n *Node) captured(snapshot raft.Snapshot, err error) {
	if err == nil {
		n.loop.writeSnapshot(snapshot)
		return
	}
	n.config.Log.Error("snapshot failed", "index", snapshot.Index, "error", err)
	n.submit(func() { n.loop.snapshotting = false })
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
	l.noteSnapshot(snapshot)
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
	v.term, v.commit, v.last, v.applied = m.Term(), m.Commit(), m.Last().Index, l.applier.applied.Load()
	if member, ok := group.Find(m.Leader()); ok {
		v.leader = member.ID
		v.leaderName = member.Name
	}
	if member, ok := group.Find(l.node.identity); ok {
		v.role = roleOf(member, v.leader)
	}
	l.logChange(v)
	l.node.setView(v)
	l.node.transport.retain(func(id uint64) bool { return l.addressOf(id) != "" })
}

// logChange reports a new leader and a new membership.
func (l *loop) logChange(v view) {
	before := l.node.current()
	if v.leader != before.leader {
		l.node.config.Log.Info("leader changed", "term", v.term, "leader", v.leaderName)
	}
	if !v.group.Equal(before.group) {
		l.node.config.Log.Info("membership changed", "members", describe(v.group))
	}
}

func describe(group raft.Membership) string {
	var out []string
	for _, member := range group.Members {
		role := RoleLearner
		if member.Voter {
			role = RoleVoter
		}
		out = append(out, fmt.Sprintf("%s/%s/%s", member.Name, formatID(member.ID), role))
	}
	return strings.Join(out, ",")
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
	answer(l.reading, stopped)
	answer(l.queuedReads, stopped)
	l.applier.stop(stopped)
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
