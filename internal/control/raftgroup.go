package control

import (
	"context"
	"strconv"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/raftnode"
)

// RaftGroup is the Group of a raftnode.Node.
type RaftGroup struct {
	node *raftnode.Node
	// selfManaged is set if the group manages its own membership, in which case removed voters may rejoin.
	selfManaged bool
	maxVoters   int
}

// NewRaftGroup returns the Group of the node.
func NewRaftGroup(node *raftnode.Node) RaftGroup { return RaftGroup{node: node} }

// SelfManaged returns the Group with the rules of a group that manages its own membership and has at most maxVoters
// voters, or any number if it is 0.
func (g RaftGroup) SelfManaged(maxVoters int) RaftGroup {
	g.selfManaged, g.maxVoters = true, maxVoters
	return g
}

// Members implements Group.
func (g RaftGroup) Members() []controlrpc.GroupMember {
	var members []controlrpc.GroupMember
	for _, member := range g.node.Members() {
		members = append(members, controlrpc.GroupMember{
			ID:                strconv.FormatUint(member.ID, 16),
			Name:              member.Name,
			Address:           member.Address,
			Role:              string(member.Role),
			Match:             member.Match,
			LastContactMillis: member.LastContact.Milliseconds(),
			Standby:           member.Standby,
		})
	}
	return members
}

// Add implements Group.
func (g RaftGroup) Add(ctx context.Context, name, address string) error {
	if g.selfManaged {
		return g.node.RejoinMember(ctx, name, address)
	}
	return g.node.AddMember(ctx, name, address)
}

// Remove implements Group.
func (g RaftGroup) Remove(ctx context.Context, member string) error {
	return g.node.RemoveMember(ctx, member)
}

// Promote implements Group.
func (g RaftGroup) Promote(ctx context.Context, member string) error {
	return g.node.PromoteMember(ctx, member)
}

// Demote implements Group.
func (g RaftGroup) Demote(ctx context.Context, member string) error {
	return g.node.DemoteMember(ctx, member)
}

// Transfer implements Group.
func (g RaftGroup) Transfer(ctx context.Context, name string) error {
	return g.node.TransferLeadership(ctx, name)
}
