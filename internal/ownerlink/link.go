// Package ownerlink connects an entry VM to the owners of upstreams. A Link carries the sub-requests of searches in
// batches, and a Client the calls for bookings and renewals. They use separate connections, so that a booking never
// waits behind a large batch.
package ownerlink

import (
	"math/rand/v2"
	"net/rpc"
	"sync"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/ownerrpc"
	"github.com/wisteriamux/wisteriamux/internal/rpcconn"
)

const (
	// concurrentCollects is the number of Collect calls kept open at an owner. With only one, results would wait at the
	// owner for a round trip between its reply and the next call.
	concurrentCollects = 2
	// collectTimeout is how long a Collect call may take before the link fails, for example because the owner is
	// frozen.
	collectTimeout = 2 * ownerrpc.CollectPollTimeout
	// redialDelay is how long after the failure of a link its owner is not dialled again.
	redialDelay = 200 * time.Millisecond
)

// ResultFunc is called with the result of a sub-request.
type ResultFunc func(ownerrpc.SubResult)

// Link sends batches of sub-requests from this entry VM to one owner and receives batches of results. The open Collect
// calls detect a lost connection at once. A link that has failed is not reused: the caller creates a new one, with a
// new session.
type Link struct {
	address     string
	session     ownerrpc.Session
	wake        chan struct{}
	reportLoads func([]ownerrpc.SearchLoad)

	// mu guards the fields below.
	mu      sync.Mutex
	queued  []ownerrpc.SubRequest
	cancels []uint64
	// callbacks holds the function for the result of each open sub-request by ID.
	callbacks map[uint64]ResultFunc
	// unsent holds the IDs of sub-requests that were not written to the connection yet.
	unsent map[uint64]bool
	// failedAt is when the link failed, zero before.
	failedAt time.Time
}

// New returns a link to the owner at the address and starts to connect. reportLoads is called with the loads that the
// owner sends.
func New(selfID, address string, dial controlrpc.Dialer, reportLoads func([]ownerrpc.SearchLoad)) *Link {
	l := &Link{
		address:     address,
		session:     ownerrpc.Session{Member: selfID, Nonce: rand.Uint64()},
		wake:        make(chan struct{}, 1),
		reportLoads: reportLoads,
		callbacks:   map[uint64]ResultFunc{},
		unsent:      map[uint64]bool{},
	}
	go l.run(dial)
	return l
}

// Submit queues the sub-requests for the next batch, and calls done with the result of each. It returns false if the
// link has failed; done is then never called.
func (l *Link) Submit(subs []ownerrpc.SubRequest, done ResultFunc) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.failedAt.IsZero() {
		return false
	}
	for _, sub := range subs {
		l.callbacks[sub.ID] = done
		l.unsent[sub.ID] = true
	}
	l.queued = append(l.queued, subs...)
	l.wakeSender()
	return true
}

// Cancel cancels a sub-request, whose result is then not delivered.
func (l *Link) Cancel(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, open := l.callbacks[id]; !open {
		return
	}
	delete(l.callbacks, id)
	l.cancels = append(l.cancels, id)
	l.wakeSender()
}

func (l *Link) wakeSender() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// run connects and then sends batches until the link fails. Sub-requests that are queued while a batch is being written
// form the next batch.
func (l *Link) run(dial controlrpc.Dialer) {
	raw, err := dial(l.address)
	if err != nil {
		l.fail(err)
		return
	}
	conn := rpcconn.NewClient(raw)
	defer func() { _ = conn.Close() }()
	errs := make(chan error, concurrentCollects+1)
	for range concurrentCollects {
		go l.collect(conn, errs)
	}
	replies := make(chan *rpc.Call, 1_000)
	for {
		select {
		case err := <-errs:
			l.fail(err)
			return
		case reply := <-replies:
			if reply.Error != nil {
				l.fail(reply.Error)
				return
			}
		case <-l.wake:
			l.flush(conn, replies)
		}
	}
}

func (l *Link) flush(conn *rpc.Client, replies chan *rpc.Call) {
	l.mu.Lock()
	subs, cancels := l.queued, l.cancels
	l.queued, l.cancels = nil, nil
	clear(l.unsent)
	l.mu.Unlock()
	if len(subs) > 0 {
		args := ownerrpc.SubmitArgs{Session: l.session, SubRequests: subs}
		conn.Go(ownerrpc.ServiceName+".Submit", args, &ownerrpc.SubmitReply{}, replies)
	}
	if len(cancels) > 0 {
		args := ownerrpc.CancelArgs{Session: l.session, IDs: cancels}
		conn.Go(ownerrpc.ServiceName+".Cancel", args, &ownerrpc.CancelReply{}, replies)
	}
}

// collect fetches results until a call fails or takes longer than collectTimeout. It then closes the connection,
// because the goroutine that writes batches may be blocked by an owner that does not read.
func (l *Link) collect(conn *rpc.Client, errs chan<- error) {
	defer func() { _ = conn.Close() }()
	timeout := time.NewTimer(collectTimeout)
	defer timeout.Stop()
	for {
		var reply ownerrpc.CollectReply
		call := conn.Go(ownerrpc.ServiceName+".Collect", ownerrpc.CollectArgs{Session: l.session}, &reply, make(chan *rpc.Call, 1))
		timeout.Reset(collectTimeout)
		select {
		case <-timeout.C:
			errs <- fault.New(fault.Unavailable, "link.collect", "owner at %s did not reply to Collect within %s", l.address, collectTimeout)
			return
		case <-call.Done:
		}
		if call.Error != nil {
			errs <- call.Error
			return
		}
		if len(reply.Loads) > 0 {
			l.reportLoads(reply.Loads)
		}
		for _, result := range reply.Results {
			l.deliver(result)
		}
	}
}

func (l *Link) deliver(result ownerrpc.SubResult) {
	l.mu.Lock()
	done, open := l.callbacks[result.ID]
	delete(l.callbacks, result.ID)
	l.mu.Unlock()
	if open {
		done(result)
	}
}

// fail ends every open sub-request with an error. Those that were not sent get the code NotRun, because only they
// cannot have run.
func (l *Link) fail(err error) {
	l.mu.Lock()
	l.failedAt = time.Now()
	callbacks, unsent := l.callbacks, l.unsent
	l.callbacks, l.unsent, l.queued, l.cancels = nil, nil, nil, nil
	l.mu.Unlock()
	for id, done := range callbacks {
		code := fault.Unavailable
		if unsent[id] {
			code = fault.NotRun
		}
		done(ownerrpc.SubResult{ID: id, Fault: fault.ToWire(fault.New(code, "link", "link to owner at %s failed: %w", l.address, err))})
	}
}

// CanRedial reports whether the link failed more than redialDelay ago, so that a new link may be created.
func (l *Link) CanRedial(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.failedAt.IsZero() && now.Sub(l.failedAt) > redialDelay
}
