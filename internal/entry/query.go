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

// query drives the state machine of one search. Only its own goroutine touches it; results reach it by the mailbox.
type query struct {
	server    *Server
	requestID string
	caller    string
	text      string
	services  []string
	policy    model.SnapshotPolicy
	machine   *fanout.Machine
	mailbox   *mailbox
	owners    map[uint64]model.Member
	timer     *time.Timer
	replan    bool
	outcome   *fanout.Outcome
}

// mailbox passes results to a query. It never blocks, so that one slow query holds up no other.
type mailbox struct {
	ready chan struct{}

	// mu guards results.
	mu      sync.Mutex
	results []ownerrpc.SubResult
}

func newMailbox() *mailbox { return &mailbox{ready: make(chan struct{}, 1)} }

func (m *mailbox) put(result ownerrpc.SubResult) {
	m.mu.Lock()
	m.results = append(m.results, result)
	m.mu.Unlock()
	select {
	case m.ready <- struct{}{}:
	default:
	}
}

func (m *mailbox) take() []ownerrpc.SubResult {
	m.mu.Lock()
	defer m.mu.Unlock()
	results := m.results
	m.results = nil
	return results
}

// run feeds events until the machine has finished. Every sub-request is then answered or cancelled.
func (q *query) run(ctx context.Context) fanout.Outcome {
	q.timer = time.NewTimer(time.Hour)
	defer q.timer.Stop()
	q.apply(q.machine.Start(time.Now()))
	for q.outcome == nil {
		select {
		case <-ctx.Done():
			q.feed(fanout.CallerGone{})
		case <-q.timer.C:
			q.feed(fanout.TimerFired{})
		case <-q.mailbox.ready:
			q.results()
		}
		if q.replan {
			q.replan = false
			q.feed(fanout.Replanned{Plan: q.newestPlan()})
		}
	}
	return *q.outcome
}

func (q *query) feed(event fanout.Event) { q.apply(q.machine.Handle(time.Now(), event)) }

func (q *query) results() {
	for _, result := range q.mailbox.take() {
		q.server.tier.done(time.Now(), result)
		delete(q.owners, result.ID)
		if result.Fault != nil && result.Fault.Code == fault.Moved {
			// The owner serves a newer view than this VM.
			q.server.session.Refresh()
		}
		q.feed(eventOf(result))
	}
}

func eventOf(result ownerrpc.SubResult) fanout.Event {
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

// apply carries out the actions; sub-requests to the same owner form one batch.
func (q *query) apply(actions []fanout.Action) {
	now := time.Now()
	batches := map[model.Member][]ownerrpc.SubRequest{}
	current := q.server.session.Latest()
	for _, action := range actions {
		switch a := action.(type) {
		case fanout.Send:
			member := current.Owners[a.Upstream.Name]
			q.owners[a.ID] = member
			q.server.tier.sent(now, a.ID, a.Upstream, a.Extra)
			batches[member] = append(batches[member], q.subRequest(a, current.View.Revision))
		case fanout.Cancel:
			q.server.tier.abandon(now, a.ID)
			q.server.peers.cancel(q.owners[a.ID], a.ID)
			delete(q.owners, a.ID)
		case fanout.ArmTimer:
			q.timer.Reset(time.Until(a.At))
		case fanout.Replan:
			q.replan = true
		case fanout.Finish:
			q.outcome = &a.Outcome
		}
	}
	for member, batch := range batches {
		q.server.peers.submit(member, batch, q.mailbox.put)
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

func (q *query) newestPlan() snapshot.Plan {
	return snapshot.Choose(q.server.session.Latest().View.Upstreams, q.services, q.policy)
}
