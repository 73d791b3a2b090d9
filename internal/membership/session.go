// Package membership maintains the membership lease of one entry VM and the view that it serves from while it holds the
// lease.
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
	// handoverPeriod is how long the previous owner of an upstream still accepts work from entry VMs that have not
	// applied the change of owner. They apply it at their next renewal. Until then both owners may use the slots, so
	// that requests may queue at the upstream, which does no other harm.
	handoverPeriod = 2 * RenewInterval
	// CallTimeout limits one call to the control group.
	CallTimeout = 2 * time.Second
)

// Control is the part of the control group's API that the entry daemon uses.
type Control interface {
	// Join adds the member and returns its instance.
	Join(ctx context.Context, member model.Member) (uint64, error)
	// Renew renews the lease of an instance.
	Renew(ctx context.Context, args controlrpc.RenewArgs) (controlrpc.RenewReply, error)
	// View returns the newest view, or true if it still has the known revision.
	View(ctx context.Context, known uint64) (model.View, bool, error)
	// Propose commits a command and returns its result.
	Propose(ctx context.Context, command controlstate.Command) (controlstate.Result, error)
	// WaitInForce returns once the revision is in force: every entry VM that holds a lease has applied it.
	WaitInForce(ctx context.Context, revision uint64) error
}

// Clock reads the monotonic and the wall clock. Leases are checked against both: the monotonic clock stands still while
// the whole VM is paused, and the wall clock can be set back.
type Clock struct {
	// Mono returns the monotonic time, and Wall the wall clock time without a monotonic reading.
	Mono func() time.Duration
	Wall func() time.Time
}

// SystemClock returns a Clock that reads the clocks of this VM.
func SystemClock() Clock {
	start := time.Now()
	return Clock{
		Mono: func() time.Duration { return time.Since(start) },
		Wall: func() time.Time { return time.Now().Round(0) },
	}
}

// Instant is one reading of both clocks.
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

// ServedView is a view with the ownership and the indexes that are derived from it. It must not be modified.
type ServedView struct {
	View model.View
	// Owners holds the owner of each upstream by the upstream's name. Upstreams is by name, Members by ID.
	Owners    map[string]model.Member
	Upstreams map[string]model.Upstream
	Members   map[string]model.Member
	// releasedAt holds the upstreams that moved from this VM to another owner within the handover period, with the time
	// of the move.
	releasedAt map[string]time.Time
}

// IsFenced reports whether the view shows that the instance of the member has ended. Instances and revisions
// are log indexes, so that an instance above the view's revision joined later and is not fenced.
func (s *ServedView) IsFenced(id string, instance uint64) bool {
	return instance <= s.View.Revision && s.Members[id].Instance != instance
}

// Session maintains the lease and the served view of one entry VM.
type Session struct {
	control Control
	Member  model.Member
	Clock   Clock
	// Now returns the current time for handover periods.
	Now  func() time.Time
	log  *slog.Logger
	wake chan struct{}

	// Load returns the load that renewals report to the control group; nil reports none. It must be set before Run.
	Load func() controlrpc.Load

	// mu guards the fields below.
	mu sync.RWMutex
	// instance is the current instance, 0 without one.
	instance uint64
	// lastInstance is the last instance of this process. It stays set when the instance is fenced or leaves, because
	// the process still knows which booking attempts that instance received.
	lastInstance uint64
	leaseEnd     Instant
	current      *ServedView
	// refusingNew is set when new work is refused and only accepted work may still be sent.
	refusingNew bool
	// left is set once this VM has left the membership. It then never joins again.
	left bool
}

// New returns a session without a lease. Run acquires and renews the lease.
func New(control Control, member model.Member, clock Clock, log *slog.Logger) *Session {
	return &Session{
		control: control, Member: member, Clock: clock, Now: time.Now, log: log, wake: make(chan struct{}, 1),
		current: &ServedView{},
	}
}

// Run acquires and renews the lease until the context ends.
func (s *Session) Run(ctx context.Context) {
	ticker := time.NewTicker(RenewInterval)
	defer ticker.Stop()
	for {
		if err := s.RenewOnce(ctx); err != nil && ctx.Err() == nil {
			s.log.Warn("renewing the lease failed", "code", fault.CodeOf(err), "error", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		case <-ticker.C:
		}
	}
}

// TriggerRenewal makes Run renew the lease, and so fetch a newer view, before the next interval.
func (s *Session) TriggerRenewal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// RenewOnce joins if needed, renews the lease and, if there is a newer view, fetches it and renews again. A fenced
// instance joins again only in the next call, one interval later, so that two processes with the same ID do not fence
// each other in a tight loop.
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
	// The view is fetched after the join and before the first lease, so that a restarted VM never serves from an older
	// view than its previous instance did.
	if err := s.FetchView(ctx); err != nil {
		return err
	}
	if revision := s.Revision(); revision < instance {
		return fault.New(fault.Unavailable, "session.join", "fetched view of revision %d is older than the join at revision %d", revision, instance)
	}
	s.mu.Lock()
	s.instance = instance
	s.lastInstance = instance
	s.leaseEnd = Instant{}
	s.mu.Unlock()
	s.log.Info("joined the membership", "instance", instance, "revision", s.Revision())
	return nil
}

// renew renews the lease. The lease starts before the request is sent, so that it ends here no later than at the leader
// of the control group, which also decides how long a VM with an older view keeps its lease.
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

// FetchView fetches the newest view from the control group and serves from it if it has changed.
func (s *Session) FetchView(ctx context.Context) error {
	view, unchanged, err := s.control.View(ctx, s.Revision())
	if err != nil || unchanged {
		return err
	}
	return s.apply(view)
}

// apply makes the view the served one. It returns an error if the view is older than the served one.
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
		return fault.New(fault.Unavailable, "session.apply", "fetched view of revision %d is older than the served view of revision %d",
			view.Revision, s.current.View.Revision)
	}
	next.releasedAt = s.handovers(next)
	s.current = next
	return nil
}

// handovers returns the upstreams that this VM loses with the next view, and those lost earlier whose handover period
// has not ended, with the time of the move. The caller holds mu.
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

// InHandover reports whether the upstream moved from this VM to another owner less than handoverPeriod ago.
func (s *ServedView) InHandover(upstream string, now time.Time) bool {
	at, ok := s.releasedAt[upstream]
	return ok && now.Sub(at) < handoverPeriod
}

// dropLease forgets the current instance and its lease, so that RenewOnce joins again.
func (s *Session) dropLease() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instance = 0
	s.leaseEnd = Instant{}
}

// RefuseNew makes ViewForNewWork fail from now on.
func (s *Session) RefuseNew() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusingNew = true
}

// Retire marks this VM as leaving, which moves the ownership of its upstreams to other VMs while it keeps serving. It
// returns once the change is in force on every entry VM.
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

// Leave ends the membership at once, so that ownership moves without waiting for the lease to expire.
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

// InstanceID returns the current instance, 0 without one.
func (s *Session) InstanceID() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.instance
}

// LastInstance returns the last instance of this process, which may have ended.
func (s *Session) LastInstance() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.lastInstance
}

// Revision returns the revision of the served view.
func (s *Session) Revision() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.current.View.Revision
}

// LatestView returns the served view, even without a lease. This is safe for choosing an owner, because owners check
// their own lease before they use a slot.
func (s *Session) LatestView() *ServedView {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.current
}

// ViewForNewWork returns the served view if this VM holds its lease and accepts new work.
func (s *Session) ViewForNewWork() (*ServedView, error) {
	current, _, err := s.LeasedInstance()
	if err != nil {
		return nil, err
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.refusingNew {
		return nil, fault.New(fault.NotRun, "session.leased", "this entry VM is stopping and accepts no new work")
	}
	return current, nil
}

// ViewForAcceptedWork returns the served view if this VM holds its lease, even during a planned stop.
func (s *Session) ViewForAcceptedWork() (*ServedView, error) {
	current, _, err := s.LeasedInstance()
	return current, err
}

// LeasedInstance returns the served view and the current instance if this VM holds its lease. Accepted work is checked
// against both once more directly before it is sent.
func (s *Session) LeasedInstance() (*ServedView, uint64, error) {
	now := s.Clock.Read()
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.instance == 0 || now.reached(s.leaseEnd) {
		return nil, 0, fault.New(fault.NotRun, "session.held", "this entry VM holds no lease")
	}
	return s.current, s.instance, nil
}
