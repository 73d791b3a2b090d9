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
	// handoverPeriod is how long a former owner takes work from entry VMs that have not applied the move yet. They apply
	// it at their next renewal; until then both owners may use the slots, which costs queueing at the upstream only.
	handoverPeriod = 2 * renewInterval
	callTimeout    = 2 * time.Second
)

// Control is what the entry daemon needs of the control group.
type Control interface {
	Join(ctx context.Context, member model.Member) (uint64, error)
	Renew(ctx context.Context, args controlrpc.RenewArgs) (controlrpc.RenewReply, error)
	View(ctx context.Context, known uint64) (model.View, bool, error)
	Propose(ctx context.Context, command controlstate.Command) (controlstate.Result, error)
	// WaitInForce returns once the revision is in force on every entry VM.
	WaitInForce(ctx context.Context, revision uint64) error
}

// clock reads the monotonic and the wall clock. The monotonic clock of a VM does not advance while the whole VM is
// paused, and the wall clock can be set back, so that a lease is judged by both.
type clock struct {
	mono func() time.Duration
	wall func() time.Time
}

func systemClock() clock {
	start := time.Now()
	return clock{
		mono: func() time.Duration { return time.Since(start) },
		wall: func() time.Time { return time.Now().Round(0) },
	}
}

// instant is one reading of a clock.
type instant struct {
	mono time.Duration
	wall time.Time
}

func (c clock) read() instant { return instant{mono: c.mono(), wall: c.wall()} }

func (i instant) add(length time.Duration) instant {
	return instant{mono: i.mono + length, wall: i.wall.Add(length)}
}

// reached reports whether either clock has reached the deadline.
func (i instant) reached(deadline instant) bool {
	return i.mono >= deadline.mono || !i.wall.Before(deadline.wall)
}

// served is a view with what is derived from it.
type served struct {
	view      model.View
	owners    map[string]model.Member
	upstreams map[string]model.Upstream
	members   map[string]model.Member
	// released holds the upstreams that moved to another owner lately, with the time of the move.
	released map[string]time.Time
}

// isFenced reports whether the view shows that the instance of the member has ended. An instance above the revision
// joined after the view and is not fenced.
func (s *served) isFenced(id string, instance uint64) bool {
	return instance <= s.view.Revision && s.members[id].Instance != instance
}

// session keeps the lease and the view of one entry VM.
type session struct {
	control Control
	member  model.Member
	clock   clock
	now     func() time.Time
	log     *slog.Logger
	wake    chan struct{}

	// load returns what renewals report to control; nil reports nothing. It is set before run.
	load func() controlrpc.Load

	// mu guards the fields below.
	mu       sync.RWMutex
	instance uint64
	// joined is the last instance of this process. It stays set after a fence or a leave, because the process still
	// knows what that instance received.
	joined  uint64
	expires instant
	current *served
	// closing refuses new work while accepted work may still be sent.
	closing bool
	// left is set once this VM has left the membership for good.
	left bool
}

func newSession(control Control, member model.Member, clock clock, log *slog.Logger) *session {
	return &session{
		control: control, member: member, clock: clock, now: time.Now, log: log, wake: make(chan struct{}, 1),
		current: &served{},
	}
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

// step joins if needed, applies a newer view, and renews the lease. A fenced instance joins again at the next step,
// one tick later, so that two processes with the same identity do not fence each other in a tight loop.
func (s *session) step(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if s.hasLeft() {
		return nil
	}
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
	if revision := s.revision(); revision < instance {
		return fault.New(fault.Unavailable, "session.join", "view of revision %d is older than the join at %d", revision, instance)
	}
	s.mu.Lock()
	s.instance = instance
	s.joined = instance
	s.expires = instant{}
	s.mu.Unlock()
	s.log.Info("joined", "instance", instance, "revision", s.revision())
	return nil
}

// renew counts the lease from before the request is sent, so that it ends here no later than at the leader. Control
// decides how long a VM that serves from an older view keeps its lease.
func (s *session) renew(ctx context.Context) (controlrpc.RenewReply, error) {
	sent := s.clock.read()
	args := s.renewArgs()
	if s.load != nil {
		args.Load = s.load()
	}
	reply, err := s.control.Renew(ctx, args)
	if err != nil {
		return reply, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.instance == args.Instance {
		s.expires = sent.add(time.Duration(reply.LeaseMillis) * time.Millisecond)
	}
	return reply, nil
}

func (s *session) renewArgs() controlrpc.RenewArgs {
	s.mu.RLock()
	defer s.mu.RUnlock()
	revision := s.current.view.Revision
	return controlrpc.RenewArgs{ID: s.member.ID, Instance: s.instance, Applied: revision, Served: revision}
}

func (s *session) fetch(ctx context.Context) error {
	view, unchanged, err := s.control.View(ctx, s.revision())
	if err != nil || unchanged {
		return err
	}
	return s.apply(view)
}

// apply publishes the view unless it is older than the served one.
func (s *session) apply(view model.View) error {
	next := &served{
		view: view, owners: ownership.Assign(view),
		upstreams: make(map[string]model.Upstream, len(view.Upstreams)),
		members:   make(map[string]model.Member, len(view.Members)),
	}
	for _, upstream := range view.Upstreams {
		next.upstreams[upstream.Name] = upstream
	}
	for _, member := range view.Members {
		next.members[member.ID] = member
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if view.Revision < s.current.view.Revision {
		return fault.New(fault.Unavailable, "session.apply", "view of revision %d is older than the served revision %d",
			view.Revision, s.current.view.Revision)
	}
	next.released = s.releasedBy(next)
	s.current = next
	return nil
}

// releasedBy returns the upstreams that this VM owns no more under the next view, with those of the handover period.
// The caller holds mu.
func (s *session) releasedBy(next *served) map[string]time.Time {
	now := s.now()
	released := map[string]time.Time{}
	for name, at := range s.current.released {
		if now.Sub(at) < handoverPeriod {
			released[name] = at
		}
	}
	for name, owner := range s.current.owners {
		if owner.ID == s.member.ID && next.owners[name].ID != s.member.ID {
			released[name] = now
		}
	}
	return released
}

// handsOver reports whether the upstream moved away from this VM less than a handover period ago.
func (s *served) handsOver(upstream string, now time.Time) bool {
	at, ok := s.released[upstream]
	return ok && now.Sub(at) < handoverPeriod
}

func (s *session) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instance = 0
	s.expires = instant{}
}

// refuseNew refuses new work from now on.
func (s *session) refuseNew() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
}

// retire moves the ownership of this VM's upstreams to others while it serves on, and returns once every entry VM
// knows.
func (s *session) retire(ctx context.Context) error {
	instance := s.instanceID()
	if instance == 0 {
		return nil
	}
	retire := controlstate.RetireMember{ID: s.member.ID, Instance: instance}
	result, err := s.control.Propose(ctx, controlstate.Command{RetireMember: &retire})
	if err != nil {
		return err
	}
	s.refresh()
	return s.control.WaitInForce(ctx, result.Revision)
}

// leave ends the membership at once, so that ownership moves without waiting for the lease to end.
func (s *session) leave(ctx context.Context) error {
	s.mu.Lock()
	instance := s.instance
	s.instance = 0
	s.expires = instant{}
	s.closing = true
	s.left = true
	s.mu.Unlock()
	if instance == 0 {
		return nil
	}
	expire := controlstate.ExpireMember{ID: s.member.ID, Instance: instance}
	_, err := s.control.Propose(ctx, controlstate.Command{ExpireMember: &expire})
	return err
}

func (s *session) hasLeft() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.left
}

func (s *session) instanceID() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.instance
}

// lastInstance is the last instance of this process, which may have ended.
func (s *session) lastInstance() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.joined
}

func (s *session) revision() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.current.view.Revision
}

// latest returns the served view whether or not the lease holds. Owners check their own lease before they use a slot.
func (s *session) latest() *served {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.current
}

// leased returns the served view while the lease holds and new work is accepted.
func (s *session) leased() (*served, error) {
	current, _, err := s.held()
	if err != nil {
		return nil, err
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.closing {
		return nil, fault.New(fault.NotRun, "session.leased", "this entry VM is stopping")
	}
	return current, nil
}

// accepted returns the served view while the lease holds, for work that was accepted before a planned stop.
func (s *session) accepted() (*served, error) {
	current, _, err := s.held()
	return current, err
}

// held returns the served view and the instance while the lease holds. Work that was accepted is checked against it
// again directly before it is sent.
func (s *session) held() (*served, uint64, error) {
	now := s.clock.read()
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.instance == 0 || now.reached(s.expires) {
		return nil, 0, fault.New(fault.NotRun, "session.held", "this entry VM holds no lease")
	}
	return s.current, s.instance, nil
}
