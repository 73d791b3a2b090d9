package entry

import (
	"context"
	"sync"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/ownerrpc"
	"github.com/wisteriamux/wisteriamux/internal/rpcconn"
)

const (
	// sessionExpiry is how long a session is kept after the last call of its sender.
	sessionExpiry = 3 * ownerrpc.CollectPollTimeout
)

// OwnerService holds the net/rpc methods of the owner service for searches.
type OwnerService struct {
	owner *owner

	// mu guards the fields below.
	mu       sync.Mutex
	sessions map[ownerrpc.Session]*senderSession
	// lastExpiry is when expired sessions were last removed.
	lastExpiry time.Time
}

// senderSession holds the open sub-requests of one sender, and their results until the sender collects them.
type senderSession struct {
	ready chan struct{}

	// mu guards the fields below.
	mu sync.Mutex
	// jobs holds the open sub-requests by ID; the job is nil while it is being submitted.
	jobs     map[uint64]*job
	results  []ownerrpc.SubResult
	lastSeen time.Time
	// lastReport is when loads were last reported to the sender.
	lastReport time.Time
	// early holds cancellations of sub-requests that are not open.
	early rpcconn.EarlyCancels
}

// Submit accepts a batch of sub-requests.
func (s *OwnerService) Submit(args ownerrpc.SubmitArgs, _ *ownerrpc.SubmitReply) error {
	in := s.session(args.Session)
	for _, sub := range args.SubRequests {
		in.start(s.owner, sub)
	}
	return nil
}

// Collect is a long poll: it returns the results of a session as soon as there are any, and none after
// CollectPollTimeout.
func (s *OwnerService) Collect(args ownerrpc.CollectArgs, reply *ownerrpc.CollectReply) error {
	in := s.session(args.Session)
	timeout := time.NewTimer(ownerrpc.CollectPollTimeout)
	defer timeout.Stop()
	defer func() {
		if in.loadReportDue(time.Now()) {
			reply.Loads = s.owner.loads()
		}
	}()
	for {
		if reply.Results = in.takeResults(); len(reply.Results) > 0 {
			return nil
		}
		select {
		case <-in.ready:
		case <-timeout.C:
			return nil
		}
	}
}

// Cancel cancels sub-requests, including those that have not arrived yet.
func (s *OwnerService) Cancel(args ownerrpc.CancelArgs, _ *ownerrpc.CancelReply) error {
	in := s.session(args.Session)
	for _, id := range args.IDs {
		in.cancel(id)
	}
	return nil
}

// session returns the session of the key, which is created if needed, and ends expired sessions.
func (s *OwnerService) session(key ownerrpc.Session) *senderSession {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sessions == nil {
		s.sessions = map[ownerrpc.Session]*senderSession{}
	}
	in, ok := s.sessions[key]
	if !ok {
		in = &senderSession{ready: make(chan struct{}, 1), jobs: map[uint64]*job{}, lastSeen: now}
		s.sessions[key] = in
	}
	in.markSeen(now)
	if now.Sub(s.lastExpiry) > sessionExpiry {
		s.lastExpiry = now
		s.expire(now)
	}
	return in
}

func (s *OwnerService) expire(now time.Time) {
	for key, in := range s.sessions {
		if in.expired(now) {
			delete(s.sessions, key)
			in.cancelAll()
		}
	}
}

func (in *senderSession) markSeen(now time.Time) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.lastSeen = now
}

func (in *senderSession) expired(now time.Time) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return now.Sub(in.lastSeen) > sessionExpiry
}

func (in *senderSession) cancelAll() {
	in.mu.Lock()
	jobs := in.jobs
	in.jobs = map[uint64]*job{}
	in.mu.Unlock()
	for _, j := range jobs {
		if j != nil {
			j.stop()
		}
	}
}

func (in *senderSession) start(o *owner, sub ownerrpc.SubRequest) {
	in.mu.Lock()
	cancelled := in.early.Take(sub.ID).All
	if !cancelled {
		// The entry is added before submit, because the result can arrive before submit returns.
		in.jobs[sub.ID] = nil
	}
	in.mu.Unlock()
	if cancelled {
		return
	}
	j := o.submit(context.Background(), sub, in.addResult)
	in.mu.Lock()
	_, open := in.jobs[sub.ID]
	if open {
		in.jobs[sub.ID] = j
	}
	in.mu.Unlock()
	if !open {
		// The sub-request was cancelled meanwhile or already has its result. Stopping a finished job has no effect.
		j.stop()
	}
}

// addResult stores a result for the next Collect, unless the sender has cancelled the sub-request.
func (in *senderSession) addResult(result ownerrpc.SubResult) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if _, open := in.jobs[result.ID]; !open {
		return
	}
	delete(in.jobs, result.ID)
	in.results = append(in.results, result)
	select {
	case in.ready <- struct{}{}:
	default:
	}
}

func (in *senderSession) takeResults() []ownerrpc.SubResult {
	in.mu.Lock()
	defer in.mu.Unlock()
	results := in.results
	in.results = nil
	return results
}

func (in *senderSession) loadReportDue(now time.Time) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	if now.Sub(in.lastReport) < ownerrpc.LoadReportInterval {
		return false
	}
	in.lastReport = now
	return true
}

func (in *senderSession) cancel(id uint64) {
	in.mu.Lock()
	j, open := in.jobs[id]
	delete(in.jobs, id)
	if !open {
		in.early.Add(id, nil)
	}
	in.mu.Unlock()
	if j != nil {
		j.stop()
	}
}
