package raftnode

import (
	"context"
	"net/rpc"
	"strconv"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/raft"
	"github.com/wisteriamux/wisteriamux/internal/rpcconn"
)

// adminRetryInterval is the delay before a membership change that was temporarily rejected is retried, and the polling
// interval while a leadership transfer is in progress.
const adminRetryInterval = 20 * time.Millisecond

// AddMember asks the member at the address for its identity and adds it as a learner. The leader promotes it to a voter
// automatically once it has caught up. AddMember returns when the change is committed, or immediately if the identity
// is already a member. The previous identity of a wiped member must be removed first.
func (n *Node) AddMember(ctx context.Context, name, address string) error {
	return n.addMember(ctx, name, address, false)
}

// RejoinMember is like AddMember, but also accepts a former voter with its log. This is safe only if all members of the
// group come from the same formation: the former voter then still holds the entries that it acknowledged, and a
// conflicting tail of its log is overwritten as on any follower.
func (n *Node) RejoinMember(ctx context.Context, name, address string) error {
	return n.addMember(ctx, name, address, true)
}

func (n *Node) addMember(ctx context.Context, name, address string, formerVoter bool) error {
	identity, isVoter, err := n.identify(ctx, name, address)
	if err != nil {
		return err
	}
	learner := raft.Member{ID: identity, Name: name, Address: address}
	return n.changeMembership(ctx, "add", func(l *loop) (raft.Position, bool, error) {
		for _, member := range l.rawNode.Membership().Members {
			if member.ID == identity {
				return raft.Position{}, true, nil
			}
			if member.Name == name {
				return raft.Position{}, true, fault.New(fault.Conflict, "raftnode.add",
					"%s is already a member with identity %x; remove it first", name, member.ID)
			}
		}
		if isVoter && !formerVoter {
			// The member's log may conflict with this group's log.
			return raft.Position{}, true, fault.New(fault.Conflict, "raftnode.add",
				"%s is a voter of another group; empty its data directory first", name)
		}
		at, err := l.rawNode.AddLearner(learner)
		return at, false, err
	})
}

// identify asks the member at the address for its identity and whether it is already a voter, and checks its name.
func (n *Node) identify(ctx context.Context, name, address string) (id uint64, isVoter bool, err error) {
	conn, err := n.config.Dial(address)
	if err != nil {
		return 0, false, fault.New(fault.Unavailable, "raftnode.add", "identify the member at %s: %w", address, err)
	}
	client := rpcconn.NewClient(conn)
	defer func() { _ = client.Close() }()
	reply := new(IdentifyReply)
	call := client.Go(ServiceName+".Identify", IdentifyArgs{}, reply, make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		return 0, false, fault.New(fault.Unavailable, "raftnode.add", "identify the member at %s: %w", address, ctx.Err())
	case <-call.Done:
	}
	if call.Error != nil {
		return 0, false, fault.New(fault.Unavailable, "raftnode.add", "identify the member at %s: %w", address, call.Error)
	}
	if reply.Fault != nil {
		return 0, false, reply.Fault.AsError()
	}
	if reply.Name != name {
		return 0, false, fault.New(fault.Conflict, "raftnode.add", "%s is the address of %q, not of %q", address, reply.Name, name)
	}
	return reply.ID, reply.IsVoter, nil
}

// RemoveMember removes the member with the given identity (in hexadecimal) or name. It returns when the change is
// committed. The leader rejects its own removal and any change that leaves it without a reachable quorum. It detects an
// unreachable voter only after an election timeout, so an operator must not remove a healthy voter right after another
// one has failed.
func (n *Node) RemoveMember(ctx context.Context, idOrName string) error {
	return n.changeOther(ctx, "remove", idOrName, (*raft.RawNode).Remove)
}

// PromoteMember makes a voter of the learner with the given identity or name, which must be in touch and hold the log.
// It returns when the change is committed.
func (n *Node) PromoteMember(ctx context.Context, idOrName string) error {
	return n.changeOther(ctx, "promote", idOrName, (*raft.RawNode).Promote)
}

// DemoteMember makes a learner of the voter with the given identity or name. It returns when the change is committed.
func (n *Node) DemoteMember(ctx context.Context, idOrName string) error {
	return n.changeOther(ctx, "demote", idOrName, (*raft.RawNode).Demote)
}

// changeOther makes a change of the membership that concerns one member other than the leader.
func (n *Node) changeOther(ctx context.Context, op, idOrName string, change func(*raft.RawNode, uint64) (raft.Position, error)) error {
	return n.changeMembership(ctx, op, func(l *loop) (raft.Position, bool, error) {
		member, err := findMember(l.rawNode.Membership(), idOrName)
		if err != nil {
			return raft.Position{}, true, err
		}
		if member.ID == n.identity {
			return raft.Position{}, true, fault.New(fault.Conflict, "raftnode."+op, "the leader cannot %s itself; transfer leadership first", op)
		}
		at, err := change(l.rawNode, member.ID)
		return at, false, err
	})
}

// formatID formats an identity in the form that RemoveMember accepts.
func formatID(id uint64) string { return strconv.FormatUint(id, 16) }

func findMember(group raft.Membership, idOrName string) (raft.Member, error) {
	if id, err := strconv.ParseUint(idOrName, 16, 64); err == nil {
		if member, ok := group.Find(id); ok {
			return member, nil
		}
	}
	for _, member := range group.Members {
		if member.Name == idOrName {
			return member, nil
		}
	}
	return raft.Member{}, fault.New(fault.NotFound, "raftnode.find", "no member has the name or identity %q", idOrName)
}

// changeMembership calls attempt on the loop's goroutine until it reports that its result is final, or until the entry
// that it appended is applied. A conflict that is not final is temporary, for example because another change is not
// committed yet, and is retried.
func (n *Node) changeMembership(ctx context.Context, op string, attempt func(*loop) (raft.Position, bool, error)) error {
	for {
		var settled bool
		done := make(chan outcome, 1)
		err := n.runOnLeader(ctx, op, func(l *loop) error {
			at, final, err := attempt(l)
			settled = final
			if err == nil && !final {
				l.waiters[at.Index] = waiter{term: at.Term, done: done}
			}
			return err
		})
		switch {
		case err == nil && settled:
			return nil
		case err == nil:
			_, err = n.awaitOutcome(ctx, op, done)
			return err
		case settled || !fault.Is(err, fault.Conflict):
			return err
		}
		if !sleepContext(ctx, adminRetryInterval) {
			return err
		}
	}
}

// runOnLeader runs the task on the loop's goroutine if this member is the leader, and returns the error of the task.
func (n *Node) runOnLeader(ctx context.Context, op string, task func(*loop) error) error {
	result := make(chan error, 1)
	run := func() {
		if n.state().role != RoleLeader {
			result <- n.notLeader(op)
			return
		}
		result <- task(n.loop)
	}
	select {
	case n.tasks <- run:
		return <-result
	case <-n.loopStopped:
		return n.notLeader(op)
	case <-ctx.Done():
		return fault.New(fault.NotRun, "raftnode."+op, "request not started: %w", ctx.Err())
	}
}

// TransferLeadership transfers leadership to the named voter, or to the most up-to-date one if name is empty. It
// returns once this member is no longer the leader, or fault.Unavailable if the transfer takes longer than an election
// timeout.
func (n *Node) TransferLeadership(ctx context.Context, name string) error {
	err := n.runOnLeader(ctx, "transfer", func(l *loop) error {
		if name == "" {
			return l.rawNode.TransferLeader(0)
		}
		member, err := findMember(l.rawNode.Membership(), name)
		if err != nil {
			return err
		}
		return l.rawNode.TransferLeader(member.ID)
	})
	if err != nil {
		return err
	}
	deadline := time.Duration(n.config.ElectionTicks+n.config.HeartbeatTicks) * n.config.Tick
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	for n.state().role == RoleLeader {
		if !sleepContext(ctx, adminRetryInterval) {
			return fault.New(fault.Unavailable, "raftnode.transfer", "%s is still the leader: %w", n.config.Name, ctx.Err())
		}
	}
	return nil
}

// sleepContext sleeps for the duration. It returns false if the context ends first.
func sleepContext(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// reportSnapshotFailure is the onSnapshotFailure callback of the transport.
func (n *Node) reportSnapshotFailure(to uint64) {
	n.submitTask(func() { n.loop.rawNode.ReportSnapshotFailure(to) })
}
