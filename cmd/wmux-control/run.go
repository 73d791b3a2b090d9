package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"github.com/wisteriamux/wisteriamux/internal/callermem"
	"github.com/wisteriamux/wisteriamux/internal/control"
	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/formation"
	"github.com/wisteriamux/wisteriamux/internal/netcut"
	"github.com/wisteriamux/wisteriamux/internal/raftnode"
	"github.com/wisteriamux/wisteriamux/internal/security"
	"github.com/wisteriamux/wisteriamux/internal/settings"
	"github.com/wisteriamux/wisteriamux/internal/telemetry"
)

const (
	dialTimeout = 500 * time.Millisecond
	// storageRetry is the delay before the data directory is reopened after a storage failure.
	storageRetry = 500 * time.Millisecond
	// transferTimeout limits how long a graceful shutdown waits for the leadership transfer, in case no other voter can
	// take over.
	transferTimeout = 3 * time.Second
	// handOverTimeout limits how long a graceful shutdown waits until another member has taken the vote of this one.
	handOverTimeout = 2500 * time.Millisecond
)

// run runs the member until the context is cancelled. After a storage failure the member stops and reopens its data
// directory until this succeeds: everything that it acknowledged is on the disk, and a full disk may have free space
// again at any time. A failure before the data directory was opened for the first time is returned.
func run(cmd *cobra.Command, loaded settings.Control) error {
	ctx := cmd.Context()
	output := telemetry.NewBoundedWriter(os.Stdout)
	defer output.Close()
	log := telemetry.NewLogger(output, "wmux-control", loaded.ID)
	faultRules, err := netcut.Open(loaded.FaultRulesFile, log)
	if err != nil {
		return err
	}
	go faultRules.Run(ctx)
	transport, err := security.NewTransport(loaded.TLS)
	if err != nil {
		return err
	}
	callers := newCallerMemory(loaded, log)
	opened := false
	for {
		err := runMember(ctx, loaded, faultRules, transport, callers, log, func() { opened = true })
		if ctx.Err() != nil || !opened || !fault.Is(err, fault.StorageFailed) {
			return err
		}
		log.Warn("storage failed, reopening the data directory", "after_ms", storageRetry.Milliseconds(), "code", fault.CodeOf(err), "error", err)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(storageRetry):
		}
	}
}

// runMember runs the member until the context is cancelled or the Raft node fails. It calls onOpen once the data
// directory is open.
func runMember(ctx context.Context, loaded settings.Control, faultRules *netcut.Rules, transport *security.Transport,
	callers *callermem.Memory, log *slog.Logger, onOpen func(),
) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	listener, err := net.Listen("tcp", loaded.ListenAddress())
	if err != nil {
		return fault.New(fault.Unavailable, "control.listen", "%w", err)
	}
	defer func() { _ = listener.Close() }()
	if err := bootstrapSeed(loaded, log); err != nil {
		return err
	}
	machine := control.NewMachine()
	node, err := openNode(loaded, machine, faultRules, transport, log)
	if err != nil {
		return err
	}
	onOpen()
	group := control.NewRaftGroup(node)
	if loaded.Formation == formationSeeds {
		group = group.SelfManaged(formation.MaxVoters(loaded.FaultTolerance))
	}
	service := control.NewService(loaded.ID, machine, node, time.Now).WithGroup(group).WithLog(log)
	tlsListener := transport.Listener(faultRules.Listener(listener), security.RoleControl, security.RoleEntry, security.RoleOperator)
	rpcEndpoint := &endpoint{service: service, raft: node.Service(), log: log}
	defer rpcEndpoint.close()
	go rpcEndpoint.accept(tlsListener)
	go service.Run(ctx)
	client := controlrpc.NewClient(clientAddresses(loaded), transport.Dialer(faultRules.Dialer(newDialer(loaded, faultRules != nil)), security.RoleControl))
	defer client.Close()
	joiner := formation.Joiner{
		Node: node, Client: client, Name: loaded.ID, Address: loaded.RPCAddress, Seeds: clientAddresses(loaded), Log: log,
		OperatorManaged: loaded.Formation != formationSeeds,
	}
	go joiner.Run(ctx)
	served, err := serveDirectory(ctx, loaded, machine, client, callers, log)
	if err != nil {
		_ = node.Close()
		return err
	}
	if err := serveMetrics(ctx, loaded, node, machine, served, callers, log); err != nil {
		_ = node.Close()
		return err
	}
	log.Info("started", "rpc_address", loaded.RPCAddress, "identity", fmt.Sprintf("%016x", node.Status().ID))
	select {
	case <-ctx.Done():
		return stop(node, client, loaded.ID, log)
	case <-node.Done():
		log.Error("raft node failed", "code", fault.CodeOf(node.Err()), "error", node.Err())
		return node.Err()
	}
}

func openNode(loaded settings.Control, machine *control.Machine, faultRules *netcut.Rules, transport *security.Transport,
	log *slog.Logger,
) (*raftnode.Node, error) {
	config := nodeConfig(loaded)
	config.Machine = machine
	config.Log = log
	config.Dial = transport.Dialer(faultRules.Dialer(newDialer(loaded, faultRules != nil)), security.RoleControl)
	return raftnode.Open(config)
}

// newDialer returns the function that dials other members. With bindLocal, connections originate from the IP address of
// rpc_address, because a fault rule recognizes a peer by the address that it connects from.
func newDialer(loaded settings.Control, bindLocal bool) func(address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	if host, _, err := net.SplitHostPort(loaded.RPCAddress); err == nil && bindLocal {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(host)}
	}
	return func(address string) (net.Conn, error) { return dialer.Dial("tcp", address) }
}

// stop transfers leadership and the vote of this member before it closes the node, so that a graceful shutdown does not
// cost the group an election timeout, or a tolerated loss if another member can take the vote.
func stop(node *raftnode.Node, client *controlrpc.Client, id string, log *slog.Logger) error {
	if node.Leader() == id && len(node.Members()) > 1 {
		ctx, cancel := context.WithTimeout(context.Background(), transferTimeout)
		defer cancel()
		if err := node.TransferLeadership(ctx, ""); err != nil {
			log.Warn("leadership not transferred", "code", fault.CodeOf(err), "error", err)
		} else {
			log.Info("leadership transferred")
		}
	}
	handOverVote(node, client, log)
	err := node.Close()
	log.Info("stopped")
	return err
}

// handOverVote asks the leader to give the vote of this member to a learner, if there is one.
func handOverVote(node *raftnode.Node, client *controlrpc.Client, log *slog.Logger) {
	status := node.Status()
	hasLearner := slices.ContainsFunc(node.Members(), func(m raftnode.MemberStatus) bool { return m.Role == raftnode.RoleLearner })
	if status.Role != raftnode.RoleVoter || !hasLearner {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	replaced, err := client.Depart(ctx, controlrpc.DepartArgs{ID: strconv.FormatUint(status.ID, 16)})
	if err != nil {
		log.Warn("vote not handed over", "code", fault.CodeOf(err), "error", err)
		return
	}
	log.Info("departure announced", "replaced", replaced)
}
