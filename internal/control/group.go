package control

import (
	"context"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/fault"
)

// groupTimeout bounds a change of the control group, which queries the ID of an added member and commits a log entry.
const groupTimeout = 2 * proposeTimeout

// Group lists and changes the membership of the control group. Only the leader can change it.
type Group interface {
	Members() []controlrpc.GroupMember
	Add(ctx context.Context, name, address string) error
	Remove(ctx context.Context, member string) error
	Promote(ctx context.Context, member string) error
	Demote(ctx context.Context, member string) error
	Transfer(ctx context.Context, name string) error
}

// noGroup is the Group of a control member that runs without a control group.
type noGroup struct{}

func (noGroup) Members() []controlrpc.GroupMember { return nil }

func (noGroup) Add(context.Context, string, string) error {
	return fault.New(fault.BadRequest, "control.group", "this control member does not belong to a control group")
}

func (g noGroup) Remove(ctx context.Context, _ string) error { return g.Add(ctx, "", "") }

func (g noGroup) Promote(ctx context.Context, _ string) error { return g.Add(ctx, "", "") }

func (g noGroup) Demote(ctx context.Context, _ string) error { return g.Add(ctx, "", "") }

func (g noGroup) Transfer(ctx context.Context, _ string) error { return g.Add(ctx, "", "") }

// GroupMembers lists the members of the control group.
func (s *Service) GroupMembers(_ controlrpc.GroupArgs, reply *controlrpc.GroupReply) error {
	reply.Fault = fault.ToWire(s.confirmLeadership())
	reply.Members = s.group.Members()
	return nil
}

// GroupAdd adds a control member.
func (s *Service) GroupAdd(args controlrpc.GroupAddArgs, reply *controlrpc.GroupChangeReply) error {
	reply.Fault = fault.ToWire(s.runGroupChange(func(ctx context.Context) error {
		return s.group.Add(ctx, args.Name, args.Address)
	}))
	return nil
}

// GroupRemove removes a control member.
func (s *Service) GroupRemove(args controlrpc.GroupRemoveArgs, reply *controlrpc.GroupChangeReply) error {
	reply.Fault = fault.ToWire(s.runGroupChange(func(ctx context.Context) error {
		return s.group.Remove(ctx, args.Member)
	}))
	return nil
}

// GroupTransfer transfers leadership to another voter.
func (s *Service) GroupTransfer(args controlrpc.GroupTransferArgs, reply *controlrpc.GroupChangeReply) error {
	reply.Fault = fault.ToWire(s.runGroupChange(func(ctx context.Context) error {
		return s.group.Transfer(ctx, args.Name)
	}))
	return nil
}

// runGroupChange runs a change of the control group on the leader with a timeout.
func (s *Service) runGroupChange(change func(ctx context.Context) error) error {
	if err := s.checkLeader(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), groupTimeout)
	defer cancel()
	return change(ctx)
}
