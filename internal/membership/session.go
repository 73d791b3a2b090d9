// Package membership keeps the lease of one entry VM, and the view that it serves while the lease holds.
package membership

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
	// RenewInterval is the time between two renewals of the lease.
	RenewInterval = time.Second
	// handoverPeriod is how long a former owner takes work from entry VMs that have not applied the move yet. They apply
	// it at their next renewal; until then both owners may use the slots, which costs queueing at the upstream only.
	handoverPeriod = 2 * RenewInterval
	// CallTimeout bounds one call of the control group.
	CallTimeout = 2 * time.Second
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

// Clock reads the monotonic and the wall clock. The monotonic clock of a VM does not advance while the whole VM is
// paused, and the wall clock can be set back, so that a lease is judged by both.
type Clock struct {
	// Mono is the monotonic time, and Wall the time of day without it.
	Mono func() time.Duration
	Wall func() time.Time
}

// SystemClock returns the clocks of this VM.
func SystemClock() Clock {
	start := time.Now()
	return Clock{
		Mono: func() time.Duration { return time.Since(start) },
		Wall: func() time.Time { return time.Now().Round(0) },
	}
}

// Instant is one reading of a clock.
type Instant struct {
	Mono time.Duration
	Wall time.Time
}

// Read reads both clocks.
func (c Clock) Read() Instant { return Instant{Mono: c.Mono(), Wall: c.Wall()} }

func (i Instant) add(length time.Duration) Instant {
	return Instant{Mono: i.Mono + length, Wall: i.Wall.Add(length)}
}

// reached reports whether either clock has reached the deadline.
func (i Instant) reached(deadline Instant) bool {
	return i.Mono >= deadline.Mono || !i.Wall.Before(deadline.Wall)
}

// ServedView is a view with what is derived from it.
type ServedView struct {
	View model.View
	// Owners are the owners of upstreams by the name of the upstream; the other maps are by name and by ID.
	Owners    map[string]model.Member
	Upstreams map[string]model.Upstream
	Members   map[string]model.Member
	// releasedAt holds the upstreams that moved to another owner lately, with the time of the move.
	releasedAt map[string]time.Time
}

// IsFenced reports whether the view shows that the instance of the member has ended. An instance above the revision
// joined after the view and is not fenced.
func (s *ServedView) IsFenced(id string, instance uint64) bool {
	return instance <= s.View.Revision && s.Members[id].Instance != instance
}

// Session keeps the lease and the view of one entry VM.
type Session struct {
	control Control
	Member  model.Member
	Clock   Clock
	// Now reads the time at which upstreams moved.
	Now  func() time.Time
	log  *slog.Logger
	wake chan struct{}

	// Load returns what renewals report to control; nil reports nothing. It is set before run.
	Load func() controlrpc.Load

	// mu guards the fields below.
	mu       sync.RWMutex
	instance uint64
	// lastInstance is the last instance of this process. It stays set after a fence or a leave, because the process still
	// knows what that instance received.
	lastInstance uint64
	leaseEnd     Instant
	current      *ServedView
	// refusingNew refuses new work while accepted work may still be sent.
	refusingNew bool
	// left is set once this VM has left the membership for good.
	left bool
}

// New returns a session without a lease. Run keeps it.
func New(control Control, member model.Member, clock Clock, log *slog.Logger) *Session {
	return &Session{
		control: control, Member: member, Clock: clock, Now: time.Now, log: log, wake: make(chan struct{}, 1),
		current: &ServedView{},
	}
}

// Run keeps the lease until the context ends.
func (s *Session) Run(ctx context.Context) {
	ticker := time.NewTicker(RenewInterval)
	defer ticker.Stop()
	for {
		if err := s.RenewOnce(ctx); err != nil && ctx.Err() == nil {
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

// TriggerRenewal asks for a renewal before the next tick.
func (s *Session) TriggerRenewal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// RenewOnce joins if needed, applies a newer view, and renews the lease. A fenced instance joins again at the next step,
// one tick later, so that two processes with the same identity do not fence each other in a tight loop.
func (s *Session) RenewOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	if s.hasLeft() {
		return nil
	}
	if s.InstanceID() == 0 {
		if err := s.join(ctx); err != nil {
			return err
		}
	}
	reply, err := s.renew(ctx)
	if fault.Is(err, fault.Fenced) {
		s.dropLease()
		return err
	}
	if err != nil || reply.Revision <= s.Revision() {
		return err
	}
	if err := s.FetchView(ctx); err != nil {
		return err
	}
	_, err = s.renew(ctx)
	return err
}

func (s *Session) join(ctx context.Context) error {
	instance, err := s.control.Join(ctx, s.Member)
	if err != nil {
		return err
	}
	// The view is read after the join and before the first lease, so that a restarted VM never serves an older view
	// than an earlier instance did.
	if err := s.FetchView(ctx); err != nil {
		return err
	}
	if revision := s.Revision(); revision < instance {
		return fault.New(fault.Unavailable, "session.join", "view of revision %d is older than the join at %d", revision, instance)
	}
	s.mu.Lock()
	s.instance = instance
	s.lastInstance = instance
	s.leaseEnd = Instant{}
	s.mu.Unlock()
	s.log.Info("joined", "instance", instance, "revision", s.Revision())
	return nil
}

// renew counts the lease from before the request is sent, so that it ends here no later than at the leader. Control
// decides how long a VM that serves from an older view keeps its lease.
func (s *Session) renew(ctx context.Context) (controlrpc.RenewReply, error) {
	sent := s.Clock.Read()
	args := s.renewArgs()
	if s.Load != nil {
		args.Load = s.Load()
	}
	reply, err := s.control.Renew(ctx, args)
	if err != nil {
		return reply, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.instance == args.Instance {
		s.leaseEnd = sent.add(time.Duration(reply.LeaseMillis) * time.Millisecond)
	}
	return reply, nil
}

func (s *Session) renewArgs() controlrpc.RenewArgs {
	s.mu.RLock()
	defer s.mu.RUnlock()
	revision := s.current.View.Revision
	return controlrpc.RenewArgs{ID: s.Member.ID, Instance: s.instance, Applied: revision, Served: revision}
}

// FetchView reads the view of the control group and serves it if it is newer.
func (s *Session) FetchView(ctx context.Context) error {
	view, unchanged, err := s.control.View(ctx, s.Revision())
	if err != nil || unchanged {
		return err
	}
	return s.apply(view)
}

// apply publishes the view unless it is older than the served one.
func (s *Session) apply(view model.View) error {
	next := &ServedView{
		View: view, Owners: ownership.Assign(view),
		Upstreams: make(map[string]model.Upstream, len(view.Upstreams)),
		Members:   make(map[string]model.Member, len(view.Members)),
	}
	for _, upstream := range view.Upstreams {
		next.Upstreams[upstream.Name] = upstream
	}
	for _, member := range view.Members {
		next.Members[member.ID] = member
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if view.Revision < s.current.View.Revision {
		return fault.New(fault.Unavailable, "session.apply", "view of revision %d is older than the served revision %d",
			view.Revision, s.current.View.Revision)
	}
	next.releasedAt = s.handovers(next)
	s.current = next
	return nil
}

// handovers returns the upstreams that this VM owns no more under the next view, with those of the handover period.
// The caller holds mu.
func (s *Session) handovers(next *ServedView) map[string]time.Time {
	now := s.Now()
	releasedAt := map[string]time.Time{}
	for name, at := range s.current.releasedAt {
		if now.Sub(at) < handoverPeriod {
			releasedAt[name] = at
		}
	}
	for name, owner := range s.current.Owners {
		if owner.ID == s.Member.ID && next.Owners[name].ID != s.Member.ID {
			releasedAt[name] = now
		}
	}
	return releasedAt
}

// InHandover reports whether the upstream moved away from this VM less than a handover period ago.
func (s *ServedView) InHandover(upstream string, now time.Time) bool {
	at, ok := s.releasedAt[upstream]
	return ok && now.Sub(at) < handoverPeriod
}

func (s *Session) dropLease() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instance = 0
	s.leaseEnd = Instant{}
}

// RefuseNew refuses new work from now on.
func (s *Session) RefuseNew() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusingNew = true
}

// Retire moves the ownership of this VM's upstreams to others while it serves on, and returns once every entry VM
// knows.
func (s *Session) Retire(ctx context.Context) error {
	instance := s.InstanceID()
	if instance == 0 {
		return nil
	}
	retire := controlstate.RetireMember{ID: s.Member.ID, Instance: instance}
	result, err := s.control.Propose(ctx, controlstate.Command{RetireMember: &retire})
	if err != nil {
		return err
	}
	s.TriggerRenewal()
	return s.control.WaitInForce(ctx, result.Revision)
}

// Leave ends the membership at once, so that ownership moves without waiting for the lease to end.
func (s *Session) Leave(ctx context.Context) error {
	s.mu.Lock()
	instance := s.instance
	s.instance = 0
	s.leaseEnd = Instant{}
	s.refusingNew = true
	s.left = true
	s.mu.Unlock()
	if instance == 0 {
		return nil
	}
	expire := controlstate.ExpireMember{ID: s.Member.ID, Instance: instance}
	_, err := s.control.Propose(ctx, controlstate.Command{ExpireMember: &expire})
	return err
}

func (s *Session) hasLeft() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.left
}

// InstanceID is the instance of the membership, 0 without one.
func (s *Session) InstanceID() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.instance
}

// LastInstance is the last instance of this process, which may have ended.
func (s *Session) LastInstance() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.lastInstance
}

// Revision is that of the served view.
func (s *Session) Revision() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.current.View.Revision
}

// LatestView returns the served view whether or not the lease holds. Owners check their own lease before they use a slot.
func (s *Session) LatestView() *ServedView {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.current
}

// ViewForNewWork returns the served view while the lease holds and new work is accepted.
func (s *Session) ViewForNewWork() (*ServedView, error) {
	current, _, err := s.LeasedInstance()
	if err != nil {
		return nil, err
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.refusingNew {
		return nil, fault.New(fault.NotRun, "session.leased", "this entry VM is stopping")
	}
	return current, nil
}

// ViewForAcceptedWork returns the served view while the lease holds, for work that was accepted before a planned stop.
func (s *Session) ViewForAcceptedWork() (*ServedView, error) {
	current, _, err := s.LeasedInstance()
	return current, err
}

// LeasedInstance returns the served view and the instance while the lease holds. Work that was accepted is checked against it
// again directly before it is sent.
func (s *Session) LeasedInstance() (*ServedView, uint64, error) {
	now := s.Clock.Read()
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.instance == 0 || now.reached(s.leaseEnd) {
		return nil, 0, fault.New(fault.NotRun, "session.held", "this entry VM holds no lease")
	}
	return s.current, s.instance, nil
}
