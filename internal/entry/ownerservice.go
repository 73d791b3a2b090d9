package entry

import (
	"context"
	"sync"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/ownerrpc"
)

const (
	// inboundExpiry ends the session of a sender that no longer collects.
	inboundExpiry = 3 * ownerrpc.CollectHold
	// maxEarlyCancels bounds the cancellations that are kept for sub-requests that have not arrived.
	maxEarlyCancels = 1_000
)

// OwnerService is the net/rpc face of the owner.
type OwnerService struct {
	owner *owner

	// mu guards the fields below.
	mu       sync.Mutex
	sessions map[ownerrpc.Session]*inbound
	// expired is the time of the last look for senders that no longer collect.
	expired time.Time
}

// inbound holds the searches of one sender and their results until the sender collects them.
type inbound struct {
	ready chan struct{}

	// mu guards the fields below.
	mu      sync.Mutex
	jobs    map[uint64]*job
	results []ownerrpc.SubResult
	seen    time.Time
	// reported is the time of the last report of loads.
	reported time.Time
	// highest is the largest identifier that has arrived; early holds cancellations above it. net/rpc runs calls of one
	// connection concurrently, so that a cancellation can overtake its sub-request.
	highest uint64
	early   map[uint64]bool
}

// Submit accepts a batch of searches.
func (s *OwnerService) Submit(args ownerrpc.SubmitArgs, _ *ownerrpc.SubmitReply) error {
	in := s.session(args.Session)
	for _, sub := range args.SubRequests {
		in.start(s.owner, sub)
	}
	return nil
}

// Collect returns the results of a session as soon as there are some.
func (s *OwnerService) Collect(args ownerrpc.CollectArgs, reply *ownerrpc.CollectReply) error {
	in := s.session(args.Session)
	hold := time.NewTimer(ownerrpc.CollectHold)
	defer hold.Stop()
	defer func() {
		if in.reportDue(time.Now()) {
			reply.Loads = s.owner.loads()
		}
	}()
	for {
		if reply.Results = in.take(); len(reply.Results) > 0 {
			return nil
		}
		select {
		case <-in.ready:
		case <-hold.C:
			return nil
		}
	}
}

// Cancel stops sub-requests.
func (s *OwnerService) Cancel(args ownerrpc.CancelArgs, _ *ownerrpc.CancelReply) error {
	in := s.session(args.Session)
	for _, id := range args.IDs {
		in.cancel(id)
	}
	return nil
}

// session returns the session and ends those whose senders no longer collect.
func (s *OwnerService) session(key ownerrpc.Session) *inbound {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sessions == nil {
		s.sessions = map[ownerrpc.Session]*inbound{}
	}
	in, ok := s.sessions[key]
	if !ok {
		in = &inbound{ready: make(chan struct{}, 1), jobs: map[uint64]*job{}, early: map[uint64]bool{}, seen: now}
		s.sessions[key] = in
	}
	in.touch(now)
	if now.Sub(s.expired) > inboundExpiry {
		s.expired = now
		s.expire(now)
	}
	return in
}

func (s *OwnerService) expire(now time.Time) {
	for key, in := range s.sessions {
		if in.expired(now) {
			delete(s.sessions, key)
			in.end()
		}
	}
}

func (in *inbound) touch(now time.Time) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.seen = now
}

func (in *inbound) expired(now time.Time) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return now.Sub(in.seen) > inboundExpiry
}

func (in *inbound) end() {
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

func (in *inbound) start(o *owner, sub ownerrpc.SubRequest) {
	in.mu.Lock()
	cancelled := in.early[sub.ID]
	delete(in.early, sub.ID)
	in.highest = max(in.highest, sub.ID)
	if !cancelled {
		// The entry is made first, because the result can arrive before submit returns.
		in.jobs[sub.ID] = nil
	}
	in.mu.Unlock()
	if cancelled {
		return
	}
	j := o.submit(context.Background(), sub, in.add)
	in.mu.Lock()
	_, open := in.jobs[sub.ID]
	if open {
		in.jobs[sub.ID] = j
	}
	in.mu.Unlock()
	if !open {
		// The job was cancelled in between, or has its result; stopping a finished job has no effect.
		j.stop()
	}
}

// add keeps a result for the next Collect, unless the sender has cancelled the sub-request.
func (in *inbound) add(result ownerrpc.SubResult) {
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

func (in *inbound) take() []ownerrpc.SubResult {
	in.mu.Lock()
	defer in.mu.Unlock()
	results := in.results
	in.results = nil
	return results
}

func (in *inbound) reportDue(now time.Time) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	if now.Sub(in.reported) < ownerrpc.LoadInterval {
		return false
	}
	in.reported = now
	return true
}

func (in *inbound) cancel(id uint64) {
	in.mu.Lock()
	j, open := in.jobs[id]
	delete(in.jobs, id)
	if !open && id > in.highest && len(in.early) < maxEarlyCancels {
		in.early[id] = true
	}
	in.mu.Unlock()
	if j != nil {
		j.stop()
	}
}
