package entry

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/controlstate"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/model"
	"github.com/wisteriamux/wisteriamux/internal/ownership"
)

const (
	renewInterval = time.Second
	callTimeout   = 2 * time.Second
)

// Control is what the entry daemon needs of the control group.
type Control interface {
	Join(ctx context.Context, member model.Member) (uint64, error)
	Renew(ctx context.Context, args controlrpc.RenewArgs) (controlrpc.RenewReply, error)
	View(ctx context.Context, known uint64) (model.View, bool, error)
	Propose(ctx context.Context, command controlstate.Command) (controlstate.Result, error)
}

// served is a view with what is derived from it.
type served struct {
	view      model.View
	owners    map[string]model.Member
	upstreams map[string]model.Upstream
}

// session keeps the lease and the view of one entry VM.
type session struct {
	control Control
	member  model.Member
	now     func() time.Time
	log     *slog.Logger
	wake    chan struct{}

	// mu guards the fields below.
	mu       sync.RWMutex
	instance uint64
	expires  time.Time
	current  *served
}

func newSession(control Control, member model.Member, now func() time.Time, log *slog.Logger) *session {
	return &session{control: control, member: member, now: now, log: log, wake: make(chan struct{}, 1), current: &served{}}
}

// run keeps the lease until the context ends.
func (s *session) run(ctx context.Context) {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		if err := s.step(ctx); err != nil && ctx.Err() == nil {
			s.log.Warn("lease not renewed", "code", fault.CodeOf(err), "error", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		case <-ticker.C:
		}
	}
}

// refresh asks for a renewal before the next tick.
func (s *session) refresh() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// step joins if needed, renews the lease, and applies a newer view.
func (s *session) step(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if s.instanceID() == 0 {
		if err := s.join(ctx); err != nil {
			return err
		}
	}
	reply, err := s.renew(ctx)
	if fault.Is(err, fault.Fenced) {
		s.reset()
		return err
	}
	if err != nil || reply.Revision <= s.revision() {
		return err
	}
	if err := s.fetch(ctx); err != nil {
		return err
	}
	_, err = s.renew(ctx)
	return err
}

func (s *session) join(ctx context.Context) error {
	instance, err := s.control.Join(ctx, s.member)
	if err != nil {
		return err
	}
	// The view is read after the join and before the first lease, so that a restarted VM never serves an older view
	// than an earlier instance did.
	if err := s.fetch(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	s.instance = instance
	s.mu.Unlock()
	s.log.Info("joined", "instance", instance, "revision", s.revision())
	return nil
}

// renew counts the lease from before the request is sent, so that it ends here no later than at the leader.
func (s *session) renew(ctx context.Context) (controlrpc.RenewReply, error) {
	sent := s.now()
	args := controlrpc.RenewArgs{ID: s.member.ID, Instance: s.instanceID(), Applied: s.revision()}
	reply, err := s.control.Renew(ctx, args)
	if err != nil {
		return reply, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expires = sent.Add(time.Duration(reply.LeaseMillis) * time.Millisecond)
	return reply, nil
}

func (s *session) fetch(ctx context.Context) error {
	view, unchanged, err := s.control.View(ctx, s.revision())
	if err != nil || unchanged {
		return err
	}
	s.apply(view)
	return nil
}

// apply publishes the view unless it is older than the served one.
func (s *session) apply(view model.View) {
	next := &served{view: view, owners: ownership.Assign(view), upstreams: make(map[string]model.Upstream, len(view.Upstreams))}
	for _, upstream := range view.Upstreams {
		next.upstreams[upstream.Name] = upstream
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if view.Revision < s.current.view.Revision {
		return
	}
	s.current = next
}

func (s *session) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instance = 0
	s.expires = time.Time{}
}

func (s *session) instanceID() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.instance
}

func (s *session) revision() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.current.view.Revision
}

// leased returns the served view while the lease holds.
func (s *session) leased() (*served, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.instance == 0 || !s.now().Before(s.expires) {
		return nil, fault.New(fault.NotRun, "session.leased", "this entry VM holds no lease")
	}
	return s.current, nil
}

// latest returns the served view whether or not the lease holds. Owners check their own lease before they use a slot.
func (s *session) latest() *served {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.current
}
