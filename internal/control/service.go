package control

import (
	"context"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/controlstate"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/model"
)

const (
	proposeTimeout = 3 * time.Second
	expireInterval = 500 * time.Millisecond
)

// Service implements the net/rpc control service on one control member.
type Service struct {
	id         string
	machine    *Machine
	replicator Replicator
	leases     *leaseTable
	now        func() time.Time
}

// NewService returns the control service of the member.
func NewService(id string, machine *Machine, replicator Replicator, now func() time.Time) *Service {
	return &Service{id: id, machine: machine, replicator: replicator, leases: newLeaseTable(), now: now}
}

// Run expires members whose leases have ended until the context ends.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.expireMembers(ctx)
		}
	}
}

// lead returns nil if this member leads and its state is current.
func (s *Service) lead(ctx context.Context) error {
	if s.replicator.Leader() != s.id {
		return fault.New(fault.NotLeader, "control.lead", "%s does not lead; leader is %q", s.id, s.replicator.Leader())
	}
	if err := s.replicator.ReadBarrier(ctx); err != nil {
		return err
	}
	s.leases.enterTerm(s.replicator.Term(), s.now())
	return nil
}

func (s *Service) expireMembers(ctx context.Context) {
	if s.lead(ctx) != nil {
		return
	}
	for _, member := range s.machine.View().Members {
		if _, left := s.leases.remaining(member, s.now()); left <= 0 {
			expire := controlstate.ExpireMember{ID: member.ID, Instance: member.Instance}
			_, _ = s.propose(ctx, controlstate.Command{ExpireMember: &expire})
		}
	}
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
	ctx := context.Background()
	if err := s.lead(ctx); err != nil {
		reply.Fault = fault.ToWire(err)
		return nil
	}
	result, err := s.propose(ctx, controlstate.Command{JoinMember: &controlstate.JoinMember{Member: args.Member}})
	if err != nil {
		reply.Fault = fault.ToWire(err)
		return nil
	}
	reply.Fault = result.Fault
	reply.Instance = result.Instance
	return nil
}

// Renew renews the lease of an entry VM.
func (s *Service) Renew(args controlrpc.RenewArgs, reply *controlrpc.RenewReply) error {
	if err := s.lead(context.Background()); err != nil {
		reply.Fault = fault.ToWire(err)
		return nil
	}
	if !s.isCurrent(args.ID, args.Instance) {
		err := fault.New(fault.Fenced, "control.renew", "instance %d of %s is not current", args.Instance, args.ID)
		reply.Fault = fault.ToWire(err)
		return nil
	}
	s.leases.renew(args.ID, args.Instance, args.Applied, s.now())
	reply.LeaseMillis = LeaseLength.Milliseconds()
	reply.Revision = s.machine.Revision()
	return nil
}

func (s *Service) isCurrent(id string, instance uint64) bool {
	for _, member := range s.machine.View().Members {
		if member.ID == id {
			return member.Instance == instance
		}
	}
	return false
}

// View returns the current view.
func (s *Service) View(args controlrpc.ViewArgs, reply *controlrpc.ViewReply) error {
	if err := s.lead(context.Background()); err != nil {
		reply.Fault = fault.ToWire(err)
		return nil
	}
	if args.Known != 0 && args.Known == s.machine.Revision() {
		reply.Unchanged = true
		return nil
	}
	reply.View = s.machine.View()
	return nil
}

// Propose appends a command to the log.
func (s *Service) Propose(args controlrpc.ProposeArgs, reply *controlrpc.ProposeReply) error {
	ctx := context.Background()
	if err := s.lead(ctx); err != nil {
		reply.Fault = fault.ToWire(err)
		return nil
	}
	result, err := s.propose(ctx, args.Command)
	reply.Result = result
	reply.Fault = fault.ToWire(err)
	return nil
}

// Status describes the control group and the leases.
func (s *Service) Status(_ controlrpc.StatusArgs, reply *controlrpc.StatusReply) error {
	if err := s.lead(context.Background()); err != nil {
		reply.Fault = fault.ToWire(err)
		return nil
	}
	view := s.machine.View()
	reply.ID = s.id
	reply.Leader = s.replicator.Leader()
	reply.Revision = view.Revision
	reply.Version = view.Config.Version
	reply.Members, reply.InForce = s.memberStatus(view)
	return nil
}

func (s *Service) memberStatus(view model.View) ([]controlrpc.MemberStatus, uint64) {
	inForce := view.Revision
	var members []controlrpc.MemberStatus
	for _, member := range view.Members {
		applied, left := s.leases.remaining(member, s.now())
		members = append(members, controlrpc.MemberStatus{Member: member, Applied: applied, LeaseMillis: left.Milliseconds()})
		// A lapsed lease still counts: an instance whose removal is not in the log could renew at this or at a later
		// leader with an old view. Once ExpireMember is applied, every leader refuses that instance.
		inForce = min(inForce, applied)
	}
	return members, inForce
}
