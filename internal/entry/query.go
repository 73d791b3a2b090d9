package entry

import (
	"context"
	"sync"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/fanout"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/model"
	"github.com/wisteriamux/wisteriamux/internal/ownerrpc"
	"github.com/wisteriamux/wisteriamux/internal/snapshot"
)

// query drives the state machine of one search. It is used by a single goroutine; results arrive through resultQueue.
type query struct {
	server      *Server
	requestID   string
	caller      string
	text        string
	services    []string
	policy      model.SnapshotPolicy
	machine     *fanout.Machine
	resultQueue *resultQueue
	// owners holds the owner of each open sub-request by its ID.
	owners map[uint64]model.Member
	timer  *time.Timer
	// replanNeeded is set when the state machine asks for a plan from the newest view.
	replanNeeded bool
	// outcome is nil until the query has finished.
	outcome *fanout.Outcome
}

// resultQueue passes results to a query. It is unbounded, so that push never blocks and a slow query delays no other.
type resultQueue struct {
	ready chan struct{}

	// mu guards results.
	mu      sync.Mutex
	results []ownerrpc.SubResult
}

func newResultQueue() *resultQueue { return &resultQueue{ready: make(chan struct{}, 1)} }

func (q *resultQueue) push(result ownerrpc.SubResult) {
	q.mu.Lock()
	q.results = append(q.results, result)
	q.mu.Unlock()
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

// popAll empties the queue and returns its results in order of arrival.
func (q *resultQueue) popAll() []ownerrpc.SubResult {
	q.mu.Lock()
	defer q.mu.Unlock()
	results := q.results
	q.results = nil
	return results
}

// run passes events to the state machine until it has finished. By then every sub-request has its result or is
// cancelled.
func (q *query) run(ctx context.Context) fanout.Outcome {
	q.timer = time.NewTimer(time.Hour)
	defer q.timer.Stop()
	q.execute(q.machine.Start(time.Now()))
	for q.outcome == nil {
		select {
		case <-ctx.Done():
			q.handleEvent(fanout.CallerGone{})
		case <-q.timer.C:
			q.handleEvent(fanout.TimerFired{})
		case <-q.resultQueue.ready:
			q.handleResults()
		}
		if q.replanNeeded {
			q.replanNeeded = false
			q.handleEvent(fanout.Replanned{Plan: q.latestPlan()})
		}
	}
	return *q.outcome
}

func (q *query) handleEvent(event fanout.Event) { q.execute(q.machine.Handle(time.Now(), event)) }

func (q *query) handleResults() {
	for _, result := range q.resultQueue.popAll() {
		q.server.searchPolicy.recordResult(time.Now(), result)
		delete(q.owners, result.ID)
		if result.Fault != nil && result.Fault.Code == fault.Moved {
			// The owner serves from a newer view than this VM.
			q.server.session.TriggerRenewal()
		}
		q.handleEvent(resultEvent(result))
	}
}

func resultEvent(result ownerrpc.SubResult) fanout.Event {
	event := fanout.Result{ID: result.ID, Version: result.Version, Generation: result.Generation, Items: result.Items}
	if result.Fault == nil {
		return event
	}
	if result.Fault.Code == fault.Unavailable {
		return fanout.OwnerLost{IDs: []uint64{result.ID}}
	}
	event.Code = result.Fault.Code
	event.Items = nil
	return event
}

// execute executes the actions of the state machine. Sub-requests to the same owner are sent as one batch.
func (q *query) execute(actions []fanout.Action) {
	now := time.Now()
	batches := map[model.Member][]ownerrpc.SubRequest{}
	current := q.server.session.LatestView()
	for _, action := range actions {
		switch a := action.(type) {
		case fanout.Send:
			member := current.Owners[a.Upstream.Name]
			q.owners[a.ID] = member
			q.server.searchPolicy.recordSent(now, a.ID, a.Upstream, a.Extra)
			batches[member] = append(batches[member], q.subRequest(a, current.View.Revision))
		case fanout.Cancel:
			q.server.searchPolicy.recordAbandoned(now, a.ID)
			q.server.peers.cancel(q.owners[a.ID], a.ID)
			delete(q.owners, a.ID)
		case fanout.ArmTimer:
			q.timer.Reset(time.Until(a.At))
		case fanout.Replan:
			q.replanNeeded = true
		case fanout.Finish:
			q.outcome = &a.Outcome
		}
	}
	for member, batch := range batches {
		q.server.peers.submit(member, batch, q.resultQueue.push)
	}
}

func (q *query) subRequest(send fanout.Send, revision uint64) ownerrpc.SubRequest {
	return ownerrpc.SubRequest{
		ID:         send.ID,
		RequestID:  q.requestID,
		Caller:     q.caller,
		Upstream:   send.Upstream.Name,
		Revision:   revision,
		Timeout:    send.Timeout,
		Version:    send.Version,
		Generation: send.Generation,
		Service:    send.Shard.Service,
		Query:      q.text,
		Shard:      send.Shard.Shard,
		AfterCrash: send.AfterCrash,
	}
}

func (q *query) latestPlan() snapshot.Plan {
	return snapshot.Choose(q.server.session.LatestView().View.Upstreams, q.services, q.policy)
}
