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
	inboxCapacity     = 64
	proposalQueueSize = 4096
	readQueueSize     = 4096
	// maxProposalBatch and batchCommands bound the number and the bytes of the proposals that share one disk write.
	maxProposalBatch      = 1024
	maxProposalBatchBytes = 8 << 20
	// maxStepBatches bounds the batches of messages that are handled before the disk is written and the clock is read.
	maxStepBatches = 64
	// maxWaiters bounds the proposals in the log that are not applied yet.
	maxWaiters = 1 << 16
	// maxLearnedAddresses bounds the addresses kept for members that are not in the membership yet.
	maxLearnedAddresses = 64
	// entryOverhead approximates the bytes of an entry on disk besides its data.
	entryOverhead = 32
	// compactLogBytes is the size of applied entries after which the log is compacted even if a snapshot is larger.
	compactLogBytes = 64 << 20
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
	rawNode *raft.RawNode
	disk    *storage
	applier *applier

	waiters map[uint64]waiter
	// activeReads holds the callers of the read in progress, number readID. Later callers wait in queuedReads for the next
	// one, so that any number of callers costs at most one round trip at a time.
	activeReads      []chan outcome
	queuedReads      []chan outcome
	readID           uint64
	learnedAddresses map[uint64]string
	// applying is the last entry given to the applier.
	applying uint64
	// bytesSinceSnapshot is the size of the entries handed out since the last snapshot or attempt, which was at snapshotAt.
	bytesSinceSnapshot uint64
	lastSnapshotIndex  uint64
	snapshotSize       uint64
	snapshotInProgress bool
	leaderTerm         uint64
	failure            error
}

func (l *loop) run() {
	ticker := time.NewTicker(l.node.config.Tick)
	defer ticker.Stop()
	var err error
	for err == nil {
		if !l.handleInput(ticker.C) {
			break
		}
		if err = l.processReady(); err == nil {
			l.publishStatus()
			l.maybeSnapshot()
		}
	}
	l.shutdown(err)
}

// handleInput takes at least one input and whatever else has arrived. It reports false when the node is closing.
func (l *loop) handleInput(tick <-chan time.Time) bool {
	n := l.node
	select {
	case <-n.closing:
		return false
	case <-tick:
		l.rawNode.Tick()
	case batch := <-n.inbox:
		l.stepBatches(batch)
	case p := <-n.proposals:
		l.propose(p)
	case done := <-n.reads:
		l.enqueueReads(done)
	case task := <-n.tasks:
		task()
	}
	return true
}

// stepBatches handles a batch of messages and those that have gathered behind it.
func (l *loop) stepBatches(batch StepArgs) {
	for range maxStepBatches {
		l.learnAddress(batch.From, batch.Address)
		for _, message := range batch.Messages {
			// A failure of the machine is permanent and is found by work.
			_ = l.rawNode.Step(message)
		}
		select {
		case batch = <-l.node.inbox:
		default:
			return
		}
	}
}

func (l *loop) learnAddress(id uint64, address string) {
	if _, ok := l.rawNode.Membership().Find(id); ok {
		delete(l.learnedAddresses, id)
		return
	}
	if len(l.learnedAddresses) >= maxLearnedAddresses {
		clear(l.learnedAddresses)
	}
	l.learnedAddresses[id] = address
}

// propose appends the proposal and those that wait behind it, so that they share one disk write.
func (l *loop) propose(first proposal) {
	batch := []proposal{first}
	size := len(first.data)
	for len(batch) < maxProposalBatch && size < maxProposalBatchBytes && len(l.node.proposals) > 0 {
		next := <-l.node.proposals
		batch = append(batch, next)
		size += len(next.data)
	}
	commands := make([][]byte, len(batch))
	for i, p := range batch {
		commands[i] = p.data
	}
	at, err := l.proposeCommands(commands)
	for i, p := range batch {
		if err != nil {
			p.done <- outcome{err: err}
			continue
		}
		l.waiters[at.Index+uint64(i)] = waiter{term: at.Term, done: p.done}
	}
}

func (l *loop) proposeCommands(commands [][]byte) (raft.Position, error) {
	if len(l.waiters) >= maxWaiters {
		return raft.Position{}, fault.New(fault.NotRun, "raftnode.propose", "%d proposals are in progress", len(l.waiters))
	}
	return l.rawNode.Propose(commands)
}

// enqueueReads queues the callers that wait and starts a confirmed enqueueReads unless one is in progress.
func (l *loop) enqueueReads(first chan outcome) {
	l.queuedReads = append(l.queuedReads, first)
	for len(l.node.reads) > 0 {
		l.queuedReads = append(l.queuedReads, <-l.node.reads)
	}
	l.startRead()
}

func (l *loop) startRead() {
	if len(l.activeReads) > 0 || len(l.queuedReads) == 0 {
		return
	}
	l.activeReads, l.queuedReads = l.queuedReads, nil
	l.readID++
	if err := l.rawNode.ReadIndex(l.readID); err != nil {
		reply(l.activeReads, err)
		l.activeReads = nil
	}
}

func reply(callers []chan outcome, err error) {
	for _, done := range callers {
		done <- outcome{err: err}
	}
}

// processReady carries out what the machine asks for. An error is permanent: the member must stop without acknowledging.
func (l *loop) processReady() error {
	if l.failure != nil {
		return l.failure
	}
	if err := l.rawNode.Err(); err != nil {
		return err
	}
	for l.rawNode.HasReady() {
		ready := l.rawNode.Ready()
		l.send(ready.ImmediateMessages)
		if err := l.persist(ready); err != nil {
			return err
		}
		l.send(ready.DeferredMessages)
		l.submitApply(ready)
		l.rawNode.Advance(ready)
	}
	l.failStaleWaiters()
	return l.rawNode.Err()
}

func (l *loop) persist(ready raft.Ready) error {
	if ready.InstalledSnapshot != nil {
		if err := l.disk.install(*ready.InstalledSnapshot, ready.State); err != nil {
			return err
		}
	}
	if !ready.MustSave {
		return nil
	}
	return l.disk.log.Save(ready.State, ready.Entries)
}

// submitApply gives the applier what is committed, and the reads that it satisfies.
func (l *loop) submitApply(ready raft.Ready) {
	var j applyJob
	if ready.InstalledSnapshot != nil {
		j.restore = ready.InstalledSnapshot
		l.recordSnapshot(*ready.InstalledSnapshot)
		l.applying = ready.InstalledSnapshot.Index
	}
	for _, entry := range ready.CommittedEntries {
		j.entries = append(j.entries, committedEntry{entry: entry, done: l.takeWaiter(entry)})
		l.applying = entry.Index
		l.bytesSinceSnapshot += uint64(len(entry.Data)) + entryOverhead
	}
	if len(ready.ReadIndexes) > 0 {
		j.reads, l.activeReads = l.activeReads, nil
	}
	if j.restore != nil || len(j.entries) > 0 || len(j.reads) > 0 {
		l.applier.submit(j)
	}
	if len(ready.FailedReads) > 0 {
		reply(l.activeReads, l.node.notLeader("read"))
		l.activeReads = nil
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

// recordSnapshot records the newest durable snapshot.
func (l *loop) recordSnapshot(snapshot raft.Snapshot) {
	l.disk.snapshot = raft.Snapshot{Position: snapshot.Position, Membership: snapshot.Membership}
	l.snapshotSize = uint64(len(snapshot.Data))
	if snapshot.Index > l.lastSnapshotIndex {
		l.lastSnapshotIndex = snapshot.Index
		l.bytesSinceSnapshot = 0
	}
}

// failStaleWaiters answers the proposals of a lost leadership. Their entries may still be committed by the next leader.
func (l *loop) failStaleWaiters() {
	leads := l.rawNode.Role() == raft.Leader
	if leads && l.rawNode.Term() == l.leaderTerm {
		return
	}
	if leads {
		l.leaderTerm = l.rawNode.Term()
	}
	for index, waiting := range l.waiters {
		if leads && waiting.term == l.leaderTerm {
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
	if member, ok := l.rawNode.Membership().Find(id); ok {
		return member.Address
	}
	return l.learnedAddresses[id]
}

// maybeSnapshot starts a snapshot after enough entries. Waiting for as many bytes of entries as a snapshot has keeps
// the cost of snapshots in proportion to that of the log when the state is large.
func (l *loop) maybeSnapshot() {
	isDue := l.applying >= l.lastSnapshotIndex+l.node.config.SnapshotEntries && l.bytesSinceSnapshot >= min(l.snapshotSize, compactLogBytes)
	if l.snapshotInProgress || !isDue {
		return
	}
	term, ok := l.rawNode.TermAt(l.applying)
	if !ok {
		return
	}
	at := raft.Position{Index: l.applying, Term: term}
	l.snapshotInProgress = true
	l.lastSnapshotIndex = at.Index
	l.bytesSinceSnapshot = 0
	l.applier.submit(applyJob{snapshotRequest: &raft.Snapshot{Position: at, Membership: l.rawNode.MembershipAt(at.Index)}})
}

// onSnapshot is called by the applier. The state is written in the background, so that further entries are applied.
func (n *Node) onSnapshot(snapshot raft.Snapshot, err error) {
	if err == nil {
		n.loop.writeSnapshot(snapshot)
		return
	}
	n.config.Log.Error("snapshot failed", "index", snapshot.Index, "error", err)
	n.submitTask(func() { n.loop.snapshotInProgress = false })
}

func (l *loop) writeSnapshot(snapshot raft.Snapshot) {
	l.node.background.Add(1)
	go func() {
		defer l.node.background.Done()
		err := l.disk.snapshots.Save(snapshot)
		l.node.submitTask(func() { l.compact(snapshot, err) })
	}()
}

// compact drops the log up to the previous snapshot, so that the log still reaches that one if the new one is damaged.
func (l *loop) compact(snapshot raft.Snapshot, err error) {
	l.snapshotInProgress = false
	previous := l.disk.snapshot.Index
	if err == nil && snapshot.Index > previous {
		err = l.compactTo(snapshot, previous)
	}
	if err != nil && l.failure == nil {
		l.failure = err
	}
}

func (l *loop) compactTo(snapshot raft.Snapshot, keepAfter uint64) error {
	l.rawNode.Compact(metadataOf(snapshot), keepAfter)
	l.recordSnapshot(snapshot)
	base, entries := l.rawNode.StableLog()
	checkpoint := wal.Checkpoint{Compacted: base, State: l.rawNode.HardState(), Entries: entries}
	if err := l.disk.log.Compact(checkpoint); err != nil {
		return err
	}
	return l.disk.snapshots.Prune()
}

// publishStatus makes the state of the member visible to other goroutines.
func (l *loop) publishStatus() {
	m := l.rawNode
	group := m.Membership()
	v := nodeState{group: group, peers: m.Peers(), role: RoleNotMember, snapshot: l.disk.snapshot.Index}
	v.term, v.commit, v.last, v.applied = m.Term(), m.Commit(), m.LastPosition().Index, l.applier.applied.Load()
	if member, ok := group.Find(m.Leader()); ok {
		v.leader = member.ID
		v.leaderName = member.Name
	}
	if member, ok := group.Find(l.node.identity); ok {
		v.role = roleOf(member, v.leader)
	}
	l.logChange(v)
	l.node.setState(v)
	l.node.transport.retainPeers(func(id uint64) bool { return l.addressOf(id) != "" })
}

// logChange reports a new leader and a new membership.
func (l *loop) logChange(v nodeState) {
	before := l.node.state()
	if v.leader != before.leader {
		l.node.config.Log.Info("leader changed", "term", v.term, "leader", v.leaderName)
	}
	if !v.group.Equal(before.group) {
		l.node.config.Log.Info("membership changed", "members", formatMembership(v.group))
	}
}

func formatMembership(group raft.Membership) string {
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

// shutdown answers everyone who waits and releases all resources.
func (l *loop) shutdown(err error) {
	n := l.node
	stopped := fault.New(fault.Unavailable, "raftnode.stop", "%s has stopped", n.config.Name)
	n.setState(nodeState{role: RoleNotMember, term: l.rawNode.Term()})
	n.setErr(err)
	close(n.loopStopped)
	for _, waiting := range l.waiters {
		waiting.done <- outcome{err: stopped}
	}
	reply(l.activeReads, stopped)
	reply(l.queuedReads, stopped)
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
