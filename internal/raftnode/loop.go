package raftnode

import (
	"fmt"
	"strings"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/raft"
)

const (
	inboxCapacity     = 64
	proposalQueueSize = 4096
	readQueueSize     = 4096
	// maxProposalBatch and maxProposalBatchBytes limit the number and total size of the proposals that share a disk
	// write.
	maxProposalBatch      = 1024
	maxProposalBatchBytes = 8 << 20
	// maxStepBatches limits the batches of messages that are processed before the next Ready and the next tick.
	maxStepBatches = 64
	// maxWaiters limits the proposals that are appended to the log but not applied yet.
	maxWaiters = 1 << 16
	// maxLearnedAddresses limits the addresses that are kept for senders that are not in the membership.
	maxLearnedAddresses = 64
	// entryOverhead is the approximate size of an entry on disk without its data.
	entryOverhead = 32
)

// outcome is the result of a proposal or read.
type outcome struct {
	data []byte
	err  error
}

// proposal is a command to propose. done receives its outcome.
type proposal struct {
	data []byte
	done chan outcome
}

// waiter is the caller of a proposal whose entry has been appended to the log in the given term.
type waiter struct {
	term uint64
	done chan outcome
}

// loop owns the RawNode and the storage. Only its goroutine accesses them.
type loop struct {
	node    *Node
	rawNode *raft.RawNode
	disk    *storage
	applier *applier

	// waiters holds the callers of proposals by log index.
	waiters map[uint64]waiter
	// activeReads holds the callers that share the read in progress, which has the ID readID. Later callers wait in
	// queuedReads for the next read, so that at most one read is in progress regardless of the number of callers.
	activeReads      []chan outcome
	queuedReads      []chan outcome
	readID           uint64
	learnedAddresses map[uint64]string
	// applying is the index of the last entry submitted to the applier.
	applying uint64
	// bytesSinceSnapshot is the size of the entries submitted since the last snapshot or attempt to take one, which was
	// at lastSnapshotIndex.
	bytesSinceSnapshot uint64
	lastSnapshotIndex  uint64
	snapshotSize       uint64
	snapshotInProgress bool
	// leaderTerm is the last term in which this member was the leader.
	leaderTerm uint64
	failure    error
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

// handleInput waits for an input and processes it, together with other inputs of the same kind that are queued. It
// returns false when the node is closing.
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

// stepBatches processes a batch of messages and those queued behind it.
func (l *loop) stepBatches(batch StepArgs) {
	for range maxStepBatches {
		l.learnAddress(batch.From, batch.Address)
		for _, message := range batch.Messages {
			// An error of the RawNode is permanent, and processReady returns it.
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

// propose appends the proposal and those queued behind it to the log, so that they share one disk write.
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
		return raft.Position{}, fault.New(fault.NotRun, "raftnode.propose", "too many proposals in progress: %d", len(l.waiters))
	}
	return l.rawNode.Propose(commands)
}

// enqueueReads queues the caller and those queued behind it, and starts a read for them unless one is in progress.
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

// processReady processes the Readys of the RawNode. An error is permanent: the member must stop and acknowledge nothing
// more.
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

// submitApply submits the committed entries and the confirmed reads to the applier.
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

// takeWaiter removes the waiter of a committed entry and returns its channel. If the waiter's own entry was
// overwritten, it replies that the proposal was not accepted and returns nil.
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

// recordSnapshot records the metadata of the latest persisted snapshot.
func (l *loop) recordSnapshot(snapshot raft.Snapshot) {
	l.disk.snapshot = raft.Snapshot{Position: snapshot.Position, Membership: snapshot.Membership}
	l.snapshotSize = uint64(len(snapshot.Data))
	if snapshot.Index > l.lastSnapshotIndex {
		l.lastSnapshotIndex = snapshot.Index
		l.bytesSinceSnapshot = 0
	}
}

// failStaleWaiters fails the proposals that were appended during an earlier leadership of this member. A later leader
// may still commit their entries.
func (l *loop) failStaleWaiters() {
	isLeader := l.rawNode.Role() == raft.Leader
	if isLeader && l.rawNode.Term() == l.leaderTerm {
		return
	}
	if isLeader {
		l.leaderTerm = l.rawNode.Term()
	}
	for index, waiting := range l.waiters {
		if isLeader && waiting.term == l.leaderTerm {
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

// publishStatus publishes the state of the member to other goroutines.
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
	v.tolerance, _ = m.Tolerance()
	l.logChange(v)
	l.node.setState(v)
	l.node.transport.retainPeers(func(id uint64) bool { return l.addressOf(id) != "" })
}

// logChange logs changes of the leader and of the membership.
func (l *loop) logChange(v nodeState) {
	before := l.node.state()
	if v.leader != before.leader {
		l.node.config.Log.Info("leader changed", "term", v.term, "leader", v.leaderName)
	}
	if !v.group.Equal(before.group) {
		l.node.config.Log.Info("membership changed", "members", formatMembership(v.group))
	}
	if v.role == RoleLeader && v.tolerance != before.tolerance {
		t := v.tolerance
		l.node.config.Log.Info("fault tolerance changed", "term", v.term, "voters", t.Voters, "voters_in_touch", t.VotersInTouch,
			"standbys", t.Standbys, "losses_tolerated", t.Losses)
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

// shutdown replies to all waiting callers and releases all resources.
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
		n.config.Log.Error("raft node stopped after a failure", "error", err)
	}
	close(n.done)
}
