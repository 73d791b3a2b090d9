package formation

import (
	"context"
	"log/slog"
	"slices"
	"strconv"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/raftnode"
)

const (
	statusInterval = 300 * time.Millisecond
	// noLeaderTimeout is how long a member knows no leader before it requests admission again, in case it was removed
	// from the group. It is longer than an election.
	noLeaderTimeout = 1500 * time.Millisecond
	admitTimeout    = 3 * time.Second
)

// Node is the Raft node of this process.
type Node interface {
	Status() raftnode.Status
	Members() []raftnode.MemberStatus
}

// Joiner requests membership while the node is not a member of a group with a leader. It also keeps the addresses of
// the control client up to date.
type Joiner struct {
	Node    Node
	Client  *controlrpc.Client
	Name    string
	Address string
	// Seeds are the configured addresses of control members.
	Seeds []string
	Log   *slog.Logger
	// OperatorManaged is set if an operator adds members. The joiner then only updates the client's addresses.
	OperatorManaged bool
}

// Run checks the state of the node until the context ends, and requests admission when needed.
func (j *Joiner) Run(ctx context.Context) {
	ticker := time.NewTicker(statusInterval)
	defer ticker.Stop()
	leaderSeen := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		status := j.Node.Status()
		j.updateAddresses()
		if j.OperatorManaged {
			continue
		}
		if status.Role != raftnode.RoleNotMember && status.Leader != "" {
			leaderSeen = time.Now()
			continue
		}
		if status.Role == raftnode.RoleNotMember || time.Since(leaderSeen) >= noLeaderTimeout {
			j.requestAdmission(ctx, status.ID)
		}
	}
}

// updateAddresses makes the client use the seeds and the members that this node knows.
func (j *Joiner) updateAddresses() {
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
	if !slices.Equal(addresses, j.Client.Addresses()) {
		j.Client.SetAddresses(addresses)
	}
}

func (j *Joiner) requestAdmission(ctx context.Context, id uint64) {
	ctx, cancel := context.WithTimeout(ctx, admitTimeout)
	defer cancel()
	args := controlrpc.AdmitArgs{ID: strconv.FormatUint(id, 16), Name: j.Name, Address: j.Address}
	if err := j.Client.Admit(ctx, args); err != nil {
		j.Log.Info("admission to the control group failed", "code", fault.CodeOf(err), "error", err)
		return
	}
	j.Log.Info("admitted to the control group", "member", args.ID)
}
