package raftnode

import (
	"sync"
	"sync/atomic"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/raft"
)

// applier owns the state machine and runs on its own goroutine, so that a slow Apply, Snapshot or Restore does not
// delay heartbeats. Its queue has no limit of its own, but shares its entries with the in-memory log, whose size the
// loop limits.
type applier struct {
	fsm StateMachine
	// onSnapshot is called with a snapshot that was requested or the error of taking it, and onError with an error
	// after which the member must stop.
	onSnapshot func(raft.Snapshot, error)
	onError    func(error)
	applied    atomic.Uint64
	finished   chan struct{}

	// mu protects the fields below; wake is signaled when they change.
	mu      sync.Mutex
	wake    *sync.Cond
	queue   []applyJob
	stopped bool
}

// applyJob is a unit of work for the applier, whose parts are done in the order of the fields.
type applyJob struct {
	restore *raft.Snapshot
	entries []committedEntry
	reads   []chan outcome
	// snapshotRequest requests a snapshot. It holds the position and membership of the snapshot, without data.
	snapshotRequest *raft.Snapshot
}

// committedEntry is a committed entry. done receives the result of applying it and is nil if no local caller waits.
type committedEntry struct {
	entry raft.Entry
	done  chan outcome
}

func newApplier(fsm StateMachine, onSnapshot func(raft.Snapshot, error), onError func(error)) *applier {
	a := &applier{fsm: fsm, onSnapshot: onSnapshot, onError: onError, finished: make(chan struct{})}
	a.wake = sync.NewCond(&a.mu)
	return a
}

func (a *applier) submit(j applyJob) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue = append(a.queue, j)
	a.wake.Signal()
}

// stop stops the applier after the current job and replies to the callers of the remaining jobs with the error.
func (a *applier) stop(err error) {
	a.mu.Lock()
	a.stopped = true
	remaining := a.queue
	a.queue = nil
	a.wake.Signal()
	a.mu.Unlock()
	<-a.finished
	for _, j := range remaining {
		for _, applied := range j.entries {
			applied.reply(outcome{err: err})
		}
		reply(j.reads, err)
	}
}

func (e committedEntry) reply(o outcome) {
	if e.done != nil {
		e.done <- o
	}
}

func (a *applier) run() {
	defer close(a.finished)
	for {
		j, ok := a.nextJob()
		if !ok {
			return
		}
		if err := a.runJob(j); err != nil {
			a.onError(err)
		}
	}
}

func (a *applier) nextJob() (applyJob, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for len(a.queue) == 0 && !a.stopped {
		a.wake.Wait()
	}
	if a.stopped {
		return applyJob{}, false
	}
	j := a.queue[0]
	a.queue = a.queue[1:]
	return j, true
}

func (a *applier) runJob(j applyJob) error {
	if j.restore != nil {
		if err := a.restore(*j.restore); err != nil {
			return err
		}
	}
	for _, applied := range j.entries {
		a.apply(applied)
	}
	reply(j.reads, nil)
	if j.snapshotRequest != nil {
		data, err := a.fsm.Snapshot()
		snapshot := *j.snapshotRequest
		snapshot.Data = data
		a.onSnapshot(snapshot, err)
	}
	return nil
}

func (a *applier) restore(snapshot raft.Snapshot) error {
	if err := a.fsm.Restore(snapshot.Data); err != nil {
		return fault.New(fault.Corrupt, "raftnode.restore", "restore snapshot at index %d: %w", snapshot.Index, err)
	}
	a.applied.Store(snapshot.Index)
	return nil
}

func (a *applier) apply(e committedEntry) {
	var result []byte
	if e.entry.Kind == raft.EntryCommand {
		result = a.fsm.Apply(e.entry.Index, e.entry.Data)
	}
	a.applied.Store(e.entry.Index)
	e.reply(outcome{data: result})
}
