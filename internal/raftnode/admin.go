package raftnode

import (
	"context"
	"net/rpc"
	"strconv"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/raft"
)

// adminRetryInterval is the wait before a membership change is tried again that was refused for the moment.
const adminRetryInterval = 20 * time.Millisecond

// AddMember asks the address for its identity and adds it as a learner. It becomes a voter by itself once its log is
// synced. AddMember returns when the change is committed; a member that belongs to the group already is no error. The
// earlier identity of a wiped member must be removed first.
func (n *Node) AddMember(ctx context.Context, name, address string) error {
	return n.addMember(ctx, name, address, false)
}

// RejoinMember is AddMember for a group whose members all come from one formation. A former voter may then return with
// its log: what it acknowledged as a voter is still there, and a conflicting tail is replaced like on any follower.
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
					"%s is a member with identity %x; remove it first", name, member.ID)
			}
		}
		if isVoter && !formerVoter {
			// Its log may contradict this group's log.
			return raft.Position{}, true, fault.New(fault.Conflict, "raftnode.add",
				"%s votes in another group; empty its data directory first", name)
		}
		at, err := l.rawNode.AddLearner(learner)
		return at, false, err
	})
}

// identify asks the member at the address for its identity and whether it votes in a group already, and checks its name.
func (n *Node) identify(ctx context.Context, name, address string) (id uint64, isVoter bool, err error) {
	conn, err := n.config.Dial(address)
	if err != nil {
		return 0, false, fault.New(fault.Unavailable, "raftnode.add", "%s: %w", address, err)
	}
	client := rpc.NewClient(conn)
	defer func() { _ = client.Close() }()
	reply := new(IdentifyReply)
	call := client.Go(ServiceName+".Identify", IdentifyArgs{}, reply, make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		return 0, false, fault.New(fault.Unavailable, "raftnode.add", "%s: %w", address, ctx.Err())
	case <-call.Done:
	}
	if call.Error != nil {
		return 0, false, fault.New(fault.Unavailable, "raftnode.add", "%s: %w", address, call.Error)
	}
	if reply.Fault != nil {
		return 0, false, reply.Fault.AsError()
	}
	if reply.Name != name {
		return 0, false, fault.New(fault.Conflict, "raftnode.add", "%s is served by %q instead of %q", address, reply.Name, name)
	}
	return reply.ID, reply.IsVoter, nil
}

// RemoveMember removes the member with the identity (in hexadecimal) or the name. It returns when the change is
// committed. The leader refuses to remove itself, and refuses a change after which it would not hear a quorum. It
// notices a silent voter only after an election timeout, so that an operator must not remove an intact voter while
// another one has just failed.
func (n *Node) RemoveMember(ctx context.Context, idOrName string) error {
	return n.changeMembership(ctx, "remove", func(l *loop) (raft.Position, bool, error) {
		member, err := findMember(l.rawNode.Membership(), idOrName)
		if err != nil {
			return raft.Position{}, true, err
		}
		if member.ID == n.identity {
			return raft.Position{}, true, fault.New(fault.Conflict, "raftnode.remove", "transfer leadership first")
		}
		at, err := l.rawNode.Remove(member.ID)
		return at, false, err
	})
}

// formatID returns the form in which RemoveMember accepts an identity.
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
	return raft.Member{}, fault.New(fault.NotFound, "raftnode.find", "no member %q", idOrName)
}

// changeMembership runs attempt on the loop until it is settled or its entry is applied. A conflict that attempt does not settle
// passes by itself, for example while another changeMembership is not committed yet.
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

// runOnLeader runs the task on the loop's goroutine of a leader and returns its error.
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
		return fault.New(fault.NotRun, "raftnode."+op, "%w", ctx.Err())
	}
}

// TransferLeadership hands leadership to the named voter, or to the most advanced one when name is empty. It returns
// when this member no longer leads, and fault.Unavailable when the transfer did not happen within an election timeout.
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
			return fault.New(fault.Unavailable, "raftnode.transfer", "%s still leads: %w", n.config.Name, ctx.Err())
		}
	}
	return nil
}

// sleepContext reports false when the context ended first.
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

// reportSnapshotFailure is called by the transport.
func (n *Node) reportSnapshotFailure(to uint64) {
	n.submitTask(func() { n.loop.rawNode.ReportSnapshotFailure(to) })
}
