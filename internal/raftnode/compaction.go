package raftnode

import (
	"github.com/wisteriamux/wisteriamux/internal/raft"
	"github.com/wisteriamux/wisteriamux/internal/wal"
)

const (
	// compactLogBytes is the size of applied entries after which the log is compacted even if the last snapshot is
	// larger.
	compactLogBytes = 64 << 20
	// maxLogBytes is the size of applied entries after which the log is compacted however few they are, unless the last snapshot is
	// larger. Members keep up to three times as much, on disk and in memory: since the snapshot before the last one, and while the
	// next one is written.
	maxLogBytes = 12 << 20
)

// snapshotDue reports whether enough has been applied since the last snapshot. Waiting until the size of the entries reaches that of
// the last snapshot keeps the cost of snapshots proportional to that of the log if the state is large.
func snapshotDue(entries, minEntries, entryBytes, snapshotBytes uint64) bool {
	if entries > 0 && entryBytes >= max(maxLogBytes, min(snapshotBytes, compactLogBytes)) {
		return true
	}
	return entries >= minEntries && entryBytes >= min(snapshotBytes, compactLogBytes)
}

// maybeSnapshot takes a snapshot if one is due.
func (l *loop) maybeSnapshot() {
	// A snapshot that was received may be ahead of what is being applied.
	entries := l.applying - min(l.applying, l.lastSnapshotIndex)
	if l.snapshotInProgress || !snapshotDue(entries, l.node.config.SnapshotEntries, l.bytesSinceSnapshot, l.snapshotSize) {
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

// onSnapshot is a callback of the applier. It writes the snapshot in the background, so that the applier continues.
func (n *Node) onSnapshot(snapshot raft.Snapshot, err error) {
	if err == nil {
		n.loop.writeSnapshot(snapshot)
		return
	}
	n.config.Log.Error("failed to take a snapshot of the state machine", "index", snapshot.Index, "error", err)
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

// compact discards the log up to the previous snapshot, so that a member can still recover from that one and the log if
// the new one is corrupt.
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
