package control

import (
	"context"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/fault"
)

// groupTimeout bounds a change of the control group, which asks the added member and commits a log entry.
const groupTimeout = 2 * proposeTimeout

// Group is the control group as operators see and change it. Changes are made on the leader.
type Group interface {
	Members() []controlrpc.GroupMember
	Add(ctx context.Context, name, address string) error
	Remove(ctx context.Context, member string) error
	Transfer(ctx context.Context, name string) error
}

// noGroup is the Group of a replicator without members.
type noGroup struct{}

func (noGroup) Members() []controlrpc.GroupMember { return nil }

func (noGroup) Add(context.Context, string, string) error {
	return fault.New(fault.BadRequest, "control.group", "this control member has no group")
}

func (g noGroup) Remove(ctx context.Context, _ string) error { return g.Add(ctx, "", "") }

func (g noGroup) Transfer(ctx context.Context, _ string) error { return g.Add(ctx, "", "") }

// GroupMembers lists the members of the control group.
func (s *Service) GroupMembers(_ controlrpc.GroupArgs, reply *controlrpc.GroupReply) error {
	reply.Fault = fault.ToWire(s.leadOnce())
	reply.Members = s.group.Members()
	return nil
}

// GroupAdd adds a control member.
func (s *Service) GroupAdd(args controlrpc.GroupAddArgs, reply *controlrpc.GroupChangeReply) error {
	reply.Fault = fault.ToWire(s.changeGroup(func(ctx context.Context) error {
		return s.group.Add(ctx, args.Name, args.Address)
	}))
	return nil
}

// GroupRemove removes a control member.
func (s *Service) GroupRemove(args controlrpc.GroupRemoveArgs, reply *controlrpc.GroupChangeReply) error {
	reply.Fault = fault.ToWire(s.changeGroup(func(ctx context.Context) error {
		return s.group.Remove(ctx, args.Member)
	}))
	return nil
}

// GroupTransfer hands leadership over.
func (s *Service) GroupTransfer(args controlrpc.GroupTransferArgs, reply *controlrpc.GroupChangeReply) error {
	reply.Fault = fault.ToWire(s.changeGroup(func(ctx context.Context) error {
		return s.group.Transfer(ctx, args.Name)
	}))
	return nil
}

func (s *Service) changeGroup(change func(ctx context.Context) error) error {
	if err := s.leads(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), groupTimeout)
	defer cancel()
	return change(ctx)
}
