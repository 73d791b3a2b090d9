package raftnode

import (
	"sync"
	"sync/atomic"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/raft"
)

// applier owns the state machine. It runs beside the loop, so that a long Apply, Snapshot or Restore delays no
// heartbeat. Its queue is unbounded, but its entries are those of the log in memory, which the loop bounds.
type applier struct {
	machine StateMachine
	// captured receives a snapshot with its data, and failed an error after which the member must stop.
	captured func(raft.Snapshot, error)
	failed   func(error)
	applied  atomic.Uint64
	finished chan struct{}

	// mu guards the fields below; wake is signalled when they change.
	mu      sync.Mutex
	wake    *sync.Cond
	queue   []job
	stopped bool
}

// job is work on the state machine, in this order.
type job struct {
	restore *raft.Snapshot
	entries []applyEntry
	reads   []chan outcome
	// capture asks for a snapshot at this position.
	capture *raft.Snapshot
}

// applyEntry is a committed entry; done is nil unless its proposer waits here.
type applyEntry struct {
	entry raft.Entry
	done  chan outcome
}

func newApplier(machine StateMachine, captured func(raft.Snapshot, error), failed func(error)) *applier {
	a := &applier{machine: machine, captured: captured, failed: failed, finished: make(chan struct{})}
	a.wake = sync.NewCond(&a.mu)
	return a
}

func (a *applier) submit(j job) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue = append(a.queue, j)
	a.wake.Signal()
}

// stop ends the applier after the current job and answers the proposals and reads of the others.
func (a *applier) stop(err error) {
	a.mu.Lock()
	a.stopped = true
	left := a.queue
	a.queue = nil
	a.wake.Signal()
	a.mu.Unlock()
	<-a.finished
	for _, j := range left {
		for _, applied := range j.entries {
			applied.answer(outcome{err: err})
		}
		answer(j.reads, err)
	}
}

func (e applyEntry) answer(o outcome) {
	if e.done != nil {
		e.done <- o
	}
}

func (a *applier) run() {
	defer close(a.finished)
	for {
		j, ok := a.take()
		if !ok {
			return
		}
		if err := a.do(j); err != nil {
			a.failed(err)
		}
	}
}

func (a *applier) take() (job, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for len(a.queue) == 0 && !a.stopped {
		a.wake.Wait()
	}
	if a.stopped {
		return job{}, false
	}
	j := a.queue[0]
	a.queue = a.queue[1:]
	return j, true
}

func (a *applier) do(j job) error {
	if j.restore != nil {
		if err := a.restore(*j.restore); err != nil {
			return err
		}
	}
	for _, applied := range j.entries {
		a.apply(applied)
	}
	answer(j.reads, nil)
	if j.capture != nil {
		data, err := a.machine.Snapshot()
		snapshot := *j.capture
		snapshot.Data = data
		a.captured(snapshot, err)
	}
	return nil
}

func (a *applier) restore(snapshot raft.Snapshot) error {
	if err := a.machine.Restore(snapshot.Data); err != nil {
		return fault.New(fault.Corrupt, "raftnode.restore", "snapshot at %d: %w", snapshot.Index, err)
	}
	a.applied.Store(snapshot.Index)
	return nil
}

func (a *applier) apply(e applyEntry) {
	var result []byte
	if e.entry.Kind == raft.EntryCommand {
		result = a.machine.Apply(e.entry.Index, e.entry.Data)
	}
	a.applied.Store(e.entry.Index)
	e.answer(outcome{data: result})
}
