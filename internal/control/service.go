package control

import (
	"context"
	"log/slog"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/controlstate"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/model"
)

const (
	proposeTimeout = 3 * time.Second
	callTimeout    = 2 * time.Second
	expireInterval = 500 * time.Millisecond
	// maxInForceWait keeps a waiting call well below the time after which clients try the next member.
	maxInForceWait = 500 * time.Millisecond
	inForcePeriod  = 20 * time.Millisecond
)

// Service implements the net/rpc control service on one control member.
type Service struct {
	id         string
	machine    *Machine
	replicator Replicator
	group      Group
	// formed is set when the group admits, replaces and removes members by itself.
	formed    bool
	barriers  *barrierGroup
	leases    *leaseTable
	loads     *loadTable
	instances *presence
	watchers  *presence
	relays    *relays
	now       func() time.Time
	log       *slog.Logger
}

// NewService returns the control service of the member.
func NewService(id string, machine *Machine, replicator Replicator, now func() time.Time) *Service {
	return &Service{
		id:         id,
		machine:    machine,
		replicator: replicator,
		group:      noGroup{},
		barriers:   &barrierGroup{barrier: replicator.ReadBarrier},
		leases:     newLeaseTable(),
		loads:      newLoadTable(),
		instances:  newPresence(),
		watchers:   newPresence(),
		relays:     newRelays(),
		now:        now,
		log:        slog.New(slog.DiscardHandler),
	}
}

// WithGroup sets the control group that operators can change.
func (s *Service) WithGroup(group Group) *Service {
	s.group = group
	if formed, ok := group.(RaftGroup); ok {
		s.formed = formed.formed
	}
	return s
}

// WithLog sets the logger.
func (s *Service) WithLog(log *slog.Logger) *Service {
	s.log = log
	return s
}

// Run expires members whose leases have ended and advances the current drain until the context ends.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.expire(ctx)
		}
	}
}

// leads returns nil if this member believes that it leads. It is enough before a proposal, which needs a quorum anyway.
func (s *Service) leads() error {
	if leader := s.replicator.Leader(); leader != s.id {
		return fault.New(fault.NotLeader, "control.lead", "%s does not lead; leader is %q", s.id, leader)
	}
	return nil
}

// lead returns nil if this member leads and its state reflects every change acknowledged before the call.
func (s *Service) lead(ctx context.Context) error {
	if err := s.leads(); err != nil {
		return err
	}
	if err := s.barriers.wait(ctx); err != nil {
		return err
	}
	s.leases.enterTerm(s.replicator.Term(), s.now())
	s.instances.enterTerm(s.replicator.Term(), s.now())
	return nil
}

// leadOnce is lead with the time limit of one call.
func (s *Service) leadOnce() error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return s.lead(ctx)
}

func (s *Service) expire(ctx context.Context) {
	if s.leadOnce() != nil {
		return
	}
	s.advancePlan(ctx)
	s.expireInstances(ctx)
	s.pruneGroup(ctx)
	view := s.machine.View()
	for _, member := range view.Members {
		if _, left := s.leases.remaining(member, s.now()); left <= 0 {
			s.expireMember(ctx, member)
		}
	}
	for _, quarantine := range view.Quarantines {
		if !s.now().Before(quarantine.Until) {
			_, _ = s.propose(ctx, controlstate.Command{Tick: &controlstate.Tick{}})
			return
		}
	}
}

func (s *Service) expireMember(ctx context.Context, member model.Member) {
	expire := controlstate.ExpireMember{ID: member.ID, Instance: member.Instance}
	if _, err := s.propose(ctx, controlstate.Command{ExpireMember: &expire}); err != nil {
		s.log.Warn("member not expired", "member", member.ID, "instance", member.Instance, "code", fault.CodeOf(err), "error", err)
		return
	}
	s.log.Info("member expired", "member", member.ID, "instance", member.Instance)
}

func (s *Service) propose(ctx context.Context, command controlstate.Command) (controlstate.Result, error) {
	command.UnixMillis = s.now().UnixMilli()
	data, err := command.Encode()
	if err != nil {
		return controlstate.Result{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	encoded, err := s.replicator.Propose(ctx, data)
	if err != nil {
		return controlstate.Result{}, err
	}
	return DecodeResult(encoded)
}

// Join registers an entry VM.
func (s *Service) Join(args controlrpc.JoinArgs, reply *controlrpc.JoinReply) error {
	result, err := s.join(args.Member)
	reply.Instance = result.Instance
	reply.Fault = result.Fault
	if err != nil {
		reply.Fault = fault.ToWire(err)
	}
	return nil
}

func (s *Service) join(member model.Member) (controlstate.Result, error) {
	if err := s.leadOnce(); err != nil {
		return controlstate.Result{}, err
	}
	result, err := s.propose(context.Background(), controlstate.Command{JoinMember: &controlstate.JoinMember{Member: member}})
	if err == nil && result.Fault == nil {
		s.leases.join(holder{member.ID, result.Instance}, s.now())
		s.log.Info("member joined", "member", member.ID, "instance", result.Instance)
	}
	return result, err
}

// Renew renews the lease of an entry VM.
func (s *Service) Renew(args controlrpc.RenewArgs, reply *controlrpc.RenewReply) error {
	reply.Fault = fault.ToWire(s.renew(args, reply))
	return nil
}

func (s *Service) renew(args controlrpc.RenewArgs, reply *controlrpc.RenewReply) error {
	if err := s.leadOnce(); err != nil {
		return err
	}
	if err := s.checkNotBehind(max(args.Served, args.Applied)); err != nil {
		return err
	}
	if member, ok := s.machine.Member(args.ID); !ok || member.Instance != args.Instance {
		return fault.New(fault.Fenced, "control.renew", "instance %d of %s is not current", args.Instance, args.ID)
	}
	now := s.now()
	s.loads.put(args.ID, args.Load, now)
	left := s.leases.renew(holder{args.ID, args.Instance}, args.Applied, s.machine.FirstChangeAfter, now)
	reply.LeaseMillis = left.Milliseconds()
	reply.Revision = s.machine.Revision()
	return nil
}

// checkNotBehind refuses to answer a VM that has served a newer revision than this member holds. That happens only if
// the group lost acknowledged entries, and an older view would then revert accepted changes.
func (s *Service) checkNotBehind(served uint64) error {
	if revision := s.machine.Revision(); revision < served {
		return fault.New(fault.Unavailable, "control.revision", "revision %d is behind the served revision %d", revision, served)
	}
	return nil
}

// View returns the current view.
func (s *Service) View(args controlrpc.ViewArgs, reply *controlrpc.ViewReply) error {
	reply.Fault = fault.ToWire(s.view(args, reply))
	return nil
}

func (s *Service) view(args controlrpc.ViewArgs, reply *controlrpc.ViewReply) error {
	if err := s.leadOnce(); err != nil {
		return err
	}
	if err := s.checkNotBehind(args.Known); err != nil {
		return err
	}
	if args.Known != 0 && args.Known == s.machine.Revision() {
		reply.Unchanged = true
		return nil
	}
	reply.View = *s.machine.View()
	return nil
}

// Propose appends a command to the log.
func (s *Service) Propose(args controlrpc.ProposeArgs, reply *controlrpc.ProposeReply) error {
	result, err := s.proposeFor(args.Command)
	reply.Result = result
	reply.Fault = fault.ToWire(err)
	return nil
}

func (s *Service) proposeFor(command controlstate.Command) (controlstate.Result, error) {
	if command.JoinMember != nil || command.AdvancePlan != nil || command.StartPlan != nil || command.Tick != nil {
		return controlstate.Result{}, fault.New(fault.Forbidden, "control.propose", "only the leader itself proposes this command")
	}
	if err := s.leads(); err != nil {
		return controlstate.Result{}, err
	}
	result, err := s.propose(context.Background(), command)
	if err == nil && command.ExpireMember != nil {
		s.leases.leave(holder{command.ExpireMember.ID, command.ExpireMember.Instance})
	}
	if err == nil && command.ApplyConfig != nil {
		s.log.Info("configuration change", "change", command.ApplyConfig.ChangeID, "base", command.ApplyConfig.BaseVersion,
			"version", result.Version, "revision", result.Revision, "refused", result.Fault != nil)
	}
	return result, err
}

// InForce returns the highest revision in force, after waiting for the asked one for a bounded time.
func (s *Service) InForce(args controlrpc.InForceArgs, reply *controlrpc.InForceReply) error {
	wait := min(time.Duration(args.WaitMillis)*time.Millisecond, maxInForceWait)
	deadline := time.Now().Add(wait)
	for {
		if err := s.leadOnce(); err != nil {
			reply.Fault = fault.ToWire(err)
			return nil
		}
		reply.InForce = s.leases.inForce(s.machine.Revision(), s.now())
		if reply.InForce >= args.Revision || !time.Now().Before(deadline) {
			return nil
		}
		time.Sleep(inForcePeriod)
	}
}

// Booking returns the record of a key.
func (s *Service) Booking(args controlrpc.BookingArgs, reply *controlrpc.BookingReply) error {
	if err := s.leadOnce(); err != nil {
		reply.Fault = fault.ToWire(err)
		return nil
	}
	record, ok := s.machine.Booking(args.Key)
	if !ok {
		reply.Fault = fault.ToWire(fault.New(fault.NotFound, "control.booking", "key %q is unknown", args.Key))
		return nil
	}
	reply.Booking = record
	return nil
}

// Status describes the control group and the leases.
func (s *Service) Status(_ controlrpc.StatusArgs, reply *controlrpc.StatusReply) error {
	if err := s.leadOnce(); err != nil {
		reply.Fault = fault.ToWire(err)
		return nil
	}
	view := s.machine.View()
	reply.ID = s.id
	reply.Leader = s.replicator.Leader()
	reply.Revision = view.Revision
	reply.Version = view.Config.Version
	reply.InForce = s.leases.inForce(view.Revision, s.now())
	for _, member := range view.Members {
		applied, left := s.leases.remaining(member, s.now())
		reply.Members = append(reply.Members, controlrpc.MemberStatus{Member: member, Applied: applied, LeaseMillis: left.Milliseconds()})
	}
	return nil
}

func unavailable(op string, err error) error {
	return fault.New(fault.Unavailable, op, "%w", err)
}
