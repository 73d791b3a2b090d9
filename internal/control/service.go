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
	proposeTimeout      = 3 * time.Second
	callTimeout         = 2 * time.Second
	maintenanceInterval = 500 * time.Millisecond
	// maxInForceWait is well below the time after which a client tries the next member.
	maxInForceWait      = 500 * time.Millisecond
	inForcePollInterval = 20 * time.Millisecond
)

// Service implements the net/rpc control service of one control member. EntryAccess, OperatorAccess and MemberAccess
// restrict it by the role of the caller.
type Service struct {
	id         string
	machine    *Machine
	replicator Replicator
	group      Group
	// selfManaged is set if the group admits, replaces and removes members without an operator.
	selfManaged bool
	// maxVoters is the intended number of voters of a self-managed group, or 0 if every member votes.
	maxVoters  int
	departures departures
	barriers   *barrierGroup
	leases     *leaseTable
	loads      *loadTable
	// instances and watchers track when upstreams and entry VMs were last seen.
	instances *presence
	watchers  *presence
	// earlierMembers tracks control members that cannot apply reports by the newest rules.
	earlierMembers *presence
	relayTable     *relayTable
	suspects       *suspectTable
	now            func() time.Time
	log            *slog.Logger
}

// NewService returns the control service of the member.
func NewService(id string, machine *Machine, replicator Replicator, now func() time.Time) *Service {
	return &Service{
		id:             id,
		machine:        machine,
		replicator:     replicator,
		group:          noGroup{},
		barriers:       &barrierGroup{barrier: replicator.ReadBarrier},
		leases:         newLeaseTable(),
		loads:          newLoadTable(),
		instances:      newPresence(),
		watchers:       newPresence(),
		earlierMembers: newPresence(),
		relayTable:     newRelayTable(),
		suspects:       newSuspectTable(),
		now:            now,
		log:            slog.New(slog.DiscardHandler),
	}
}

// WithGroup sets the control group whose membership the service manages.
func (s *Service) WithGroup(group Group) *Service {
	s.group = group
	if selfManaged, ok := group.(RaftGroup); ok {
		s.selfManaged, s.maxVoters = selfManaged.selfManaged, selfManaged.maxVoters
	}
	return s
}

// WithLog sets the logger.
func (s *Service) WithLog(log *slog.Logger) *Service {
	s.log = log
	return s
}

// Run runs the periodic maintenance of the leader until the context ends.
func (s *Service) Run(ctx context.Context) {
	go every(ctx, repairInterval, s.repairGroup)
	every(ctx, maintenanceInterval, s.runMaintenance)
}

// every runs the task at the interval until the context ends.
func every(ctx context.Context, interval time.Duration, task func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			task(ctx)
		}
	}
}

// checkLeader returns nil if this member considers itself the leader. This is sufficient before a proposal, which needs
// a quorum anyway.
func (s *Service) checkLeader() error {
	if leader := s.replicator.Leader(); leader != s.id {
		return fault.New(fault.NotLeader, "control.lead", "%s is not the leader; the leader is %q", s.id, leader)
	}
	return nil
}

// confirmLeadershipContext returns nil if this member is the leader and its state reflects every change that was
// acknowledged before the call. After the read barrier, it starts a new term in the lease table and the upstreams'
// presence if needed.
func (s *Service) confirmLeadershipContext(ctx context.Context) error {
	if err := s.checkLeader(); err != nil {
		return err
	}
	if err := s.barriers.wait(ctx); err != nil {
		return err
	}
	s.leases.enterTerm(s.replicator.Term(), s.now())
	s.instances.enterTerm(s.replicator.Term(), s.now())
	s.watchers.enterTerm(s.replicator.Term(), s.now())
	s.suspects.enterTerm(s.replicator.Term())
	return nil
}

// confirmLeadership is confirmLeadershipContext with callTimeout.
func (s *Service) confirmLeadership() error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return s.confirmLeadershipContext(ctx)
}

// runMaintenance advances the drain plan, expires members and upstreams, and commits a tick if a quarantine has
// ended. It does nothing unless this member is the leader.
func (s *Service) runMaintenance(ctx context.Context) {
	if s.confirmLeadership() != nil {
		return
	}
	s.advancePlan(ctx)
	s.removeSilentInstances(ctx)
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
		s.log.Warn("entry VM not expired", "member", member.ID, "instance", member.Instance, "code", fault.CodeOf(err), "error", err)
		return
	}
	s.log.Info("entry VM expired", "member", member.ID, "instance", member.Instance)
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
	if err := s.confirmLeadership(); err != nil {
		return controlstate.Result{}, err
	}
	result, err := s.propose(context.Background(), controlstate.Command{JoinMember: &controlstate.JoinMember{Member: member}})
	if err == nil && result.Fault == nil {
		s.leases.join(leaseHolder{member.ID, result.Instance}, s.now())
		s.log.Info("entry VM joined", "member", member.ID, "instance", result.Instance)
	}
	return result, err
}

// Renew renews the lease of an entry VM.
func (s *Service) Renew(args controlrpc.RenewArgs, reply *controlrpc.RenewReply) error {
	reply.Fault = fault.ToWire(s.renew(args, reply))
	return nil
}

func (s *Service) renew(args controlrpc.RenewArgs, reply *controlrpc.RenewReply) error {
	if err := s.confirmLeadership(); err != nil {
		return err
	}
	if err := s.checkNotBehind(max(args.Served, args.Applied)); err != nil {
		return err
	}
	if member, ok := s.machine.Member(args.ID); !ok || member.Instance != args.Instance {
		return fault.New(fault.Fenced, "control.renew", "instance %d of entry VM %s is not its current instance", args.Instance, args.ID)
	}
	now := s.now()
	s.loads.put(args.ID, args.Load, now)
	remaining := s.leases.renew(leaseHolder{args.ID, args.Instance}, args.Applied, s.machine.FirstChangeAfter, now)
	reply.LeaseMillis = remaining.Milliseconds()
	reply.Revision = s.machine.Revision()
	return nil
}

// checkNotBehind returns an error if a VM has served a newer revision than this member holds. This happens only if the
// group has lost acknowledged entries, in which case serving the older view would revert accepted changes.
func (s *Service) checkNotBehind(served uint64) error {
	if revision := s.machine.Revision(); revision < served {
		return fault.New(fault.Unavailable, "control.revision", "revision %d of the control group is behind revision %d, which has been served", revision, served)
	}
	return nil
}

// View returns the current view.
func (s *Service) View(args controlrpc.ViewArgs, reply *controlrpc.ViewReply) error {
	reply.Fault = fault.ToWire(s.view(args, reply))
	return nil
}

func (s *Service) view(args controlrpc.ViewArgs, reply *controlrpc.ViewReply) error {
	if err := s.confirmLeadership(); err != nil {
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

// Propose appends a command to the log and returns its result.
func (s *Service) Propose(args controlrpc.ProposeArgs, reply *controlrpc.ProposeReply) error {
	result, err := s.proposeForClient(args.Command)
	reply.Result = result
	reply.Fault = fault.ToWire(err)
	return nil
}

// proposeForClient proposes a command of a client, unless only the leader itself may propose it.
func (s *Service) proposeForClient(command controlstate.Command) (controlstate.Result, error) {
	if command.JoinMember != nil || command.AdvancePlan != nil || command.StartPlan != nil || command.Tick != nil {
		return controlstate.Result{}, fault.New(fault.Forbidden, "control.propose", "only the leader itself may propose this command")
	}
	if err := s.checkLeader(); err != nil {
		return controlstate.Result{}, err
	}
	result, err := s.propose(context.Background(), command)
	if err == nil && command.ExpireMember != nil {
		s.leases.release(leaseHolder{command.ExpireMember.ID, command.ExpireMember.Instance})
	}
	if err == nil && command.ApplyConfig != nil {
		s.log.Info("configuration change proposed", "change", command.ApplyConfig.ChangeID, "base", command.ApplyConfig.BaseVersion,
			"version", result.Version, "revision", result.Revision, "refused", result.Fault != nil)
	}
	return result, err
}

// InForce returns the highest revision in force, after waiting a bounded time for the requested one.
func (s *Service) InForce(args controlrpc.InForceArgs, reply *controlrpc.InForceReply) error {
	wait := min(time.Duration(args.WaitMillis)*time.Millisecond, maxInForceWait)
	deadline := time.Now().Add(wait)
	for {
		if err := s.confirmLeadership(); err != nil {
			reply.Fault = fault.ToWire(err)
			return nil
		}
		reply.InForce = s.leases.inForce(s.machine.Revision(), s.now())
		if reply.InForce >= args.Revision || !time.Now().Before(deadline) {
			return nil
		}
		time.Sleep(inForcePollInterval)
	}
}

// Booking returns the record of a booking key.
func (s *Service) Booking(args controlrpc.BookingArgs, reply *controlrpc.BookingReply) error {
	if err := s.confirmLeadership(); err != nil {
		reply.Fault = fault.ToWire(err)
		return nil
	}
	record, ok := s.machine.Booking(args.Key)
	if !ok {
		reply.Fault = fault.ToWire(fault.New(fault.NotFound, "control.booking", "booking key %q does not exist", args.Key))
		return nil
	}
	reply.Booking = record
	return nil
}

// Status describes the control group and the leases.
func (s *Service) Status(_ controlrpc.StatusArgs, reply *controlrpc.StatusReply) error {
	if err := s.confirmLeadership(); err != nil {
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
		applied, timeLeft := s.leases.remaining(member, s.now())
		reply.Members = append(reply.Members, controlrpc.MemberStatus{Member: member, Applied: applied, LeaseMillis: timeLeft.Milliseconds()})
	}
	return nil
}

func unavailable(op string, err error) error {
	return fault.New(fault.Unavailable, op, "%w", err)
}
