package formation

import (
	"context"
	"log/slog"
	"strconv"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/raftnode"
)

const (
	joinInterval = 300 * time.Millisecond
	// lostAfter is how long a member may know no leader before it asks whether it is a member still. It exceeds an
	// election.
	lostAfter   = 1500 * time.Millisecond
	joinTimeout = 3 * time.Second
)

// Node is the consensus member of this process.
type Node interface {
	Status() raftnode.Status
	Members() []raftnode.MemberStatus
}

// Joiner asks for membership for as long as the node belongs to no group with a leader.
type Joiner struct {
	Node    Node
	Client  *controlrpc.Client
	Name    string
	Address string
	// Seeds are the addresses that the settings name.
	Seeds []string
	Log   *slog.Logger
	// OperatorManaged is set if an operator adds members: the client then only follows the members of the group.
	OperatorManaged bool
}

// Run asks until the context ends.
func (j *Joiner) Run(ctx context.Context) {
	ticker := time.NewTicker(joinInterval)
	defer ticker.Stop()
	lost := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		status := j.Node.Status()
		j.follow()
		if j.OperatorManaged {
			continue
		}
		if status.Role != raftnode.RoleNotMember && status.Leader != "" {
			lost = time.Now()
			continue
		}
		if status.Role == raftnode.RoleNotMember || time.Since(lost) >= lostAfter {
			j.ask(ctx, status.ID)
		}
	}
}

// follow points the client at the members that this node knows, and at the seeds.
func (j *Joiner) follow() {
	addresses := append([]string(nil), j.Seeds...)
	known := map[string]bool{}
	for _, seed := range j.Seeds {
		known[seed] = true
	}
	for _, member := range j.Node.Members() {
		if !known[member.Address] {
			known[member.Address] = true
			addresses = append(addresses, member.Address)
		}
	}
	if len(addresses) != len(j.Client.Addresses()) {
		j.Client.SetAddresses(addresses)
	}
}

func (j *Joiner) ask(ctx context.Context, id uint64) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	args := controlrpc.AdmitArgs{ID: strconv.FormatUint(id, 16), Name: j.Name, Address: j.Address}
	if err := j.Client.Admit(ctx, args); err != nil {
		j.Log.Info("not admitted to the control group", "code", fault.CodeOf(err), "error", err)
		return
	}
	j.Log.Info("admitted to the control group", "member", args.ID)
}
