package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"time"

	"github.com/spf13/cobra"

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
	// storageRetry is the time between two tries to open a data directory whose disk has failed.
	storageRetry = 500 * time.Millisecond
	// transferTimeout bounds a planned stop when no other voter can take over.
	transferTimeout = 3 * time.Second
)

// run serves until the context ends. After a failure of the disk the member stops and opens its data directory again
// until that works: what it acknowledged is on the disk, and a full disk may have space again at any moment.
func run(cmd *cobra.Command, loaded settings.Control) error {
	ctx := cmd.Context()
	output := telemetry.NewBoundedWriter(os.Stderr)
	defer output.Close()
	log := telemetry.NewLogger(output, "wmux-control", loaded.ID)
	rules, err := netcut.Open(loaded.FaultRulesFile, log)
	if err != nil {
		return err
	}
	go rules.Run(ctx)
	transport, err := security.NewTransport(loaded.TLS)
	if err != nil {
		return err
	}
	opened := false
	for {
		err := runMember(ctx, loaded, rules, transport, log, func() { opened = true })
		if ctx.Err() != nil || !opened || !fault.Is(err, fault.StorageFailed) {
			return err
		}
		log.Warn("disk failed, member opens again", "after_ms", storageRetry.Milliseconds(), "code", fault.CodeOf(err), "error", err)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(storageRetry):
		}
	}
}

// runMember runs the member until the context ends or the node stops by itself. It calls opened once the data directory
// is open.
func runMember(ctx context.Context, loaded settings.Control, rules *netcut.Rules, transport *security.Transport,
	log *slog.Logger, opened func(),
) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	listener, err := net.Listen("tcp", loaded.ListenAddress())
	if err != nil {
		return fault.New(fault.Unavailable, "control.listen", "%w", err)
	}
	defer func() { _ = listener.Close() }()
	if err := found(loaded, log); err != nil {
		return err
	}
	machine := control.NewMachine()
	node, err := openNode(loaded, machine, rules, transport, log)
	if err != nil {
		return err
	}
	opened()
	group := control.NewRaftGroup(node)
	if loaded.Formation == formationSeeds {
		group = group.SelfManaged()
	}
	service := control.NewService(loaded.ID, machine, node, time.Now).WithGroup(group).WithLog(log)
	secured := transport.Listener(rules.Listener(listener), security.RoleControl, security.RoleEntry, security.RoleOperator)
	peers := &endpoint{service: service, raft: node.Service(), log: log}
	defer peers.close()
	go peers.accept(secured)
	go service.Run(ctx)
	client := controlrpc.NewClient(clientAddresses(loaded), transport.Dialer(rules.Dialer(dialFrom(loaded, rules != nil)), security.RoleControl))
	defer client.Close()
	joiner := formation.Joiner{
		Node: node, Client: client, Name: loaded.ID, Address: loaded.RPCAddress, Seeds: clientAddresses(loaded), Log: log,
		OperatorManaged: loaded.Formation != formationSeeds,
	}
	go joiner.Run(ctx)
	if err := serveDirectory(ctx, loaded, machine, client, log); err != nil {
		_ = node.Close()
		return err
	}
	if err := serveMetrics(ctx, loaded, node, machine, log); err != nil {
		_ = node.Close()
		return err
	}
	log.Info("started", "rpc_address", loaded.RPCAddress, "identity", fmt.Sprintf("%016x", node.Status().ID))
	select {
	case <-ctx.Done():
		return stop(node, loaded.ID, log)
	case <-node.Done():
		log.Error("node stopped", "code", fault.CodeOf(node.Err()), "error", node.Err())
		return node.Err()
	}
}

func openNode(loaded settings.Control, machine *control.Machine, rules *netcut.Rules, transport *security.Transport,
	log *slog.Logger,
) (*raftnode.Node, error) {
	config := nodeConfig(loaded)
	config.Machine = machine
	config.Log = log
	config.Dial = transport.Dialer(rules.Dialer(dialFrom(loaded, rules != nil)), security.RoleControl)
	return raftnode.Open(config)
}

// dialFrom returns the dialer of the transport. Fault rules for one peer need connections from that peer's address.
func dialFrom(loaded settings.Control, ownAddress bool) func(address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	if host, _, err := net.SplitHostPort(loaded.RPCAddress); err == nil && ownAddress {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(host)}
	}
	return func(address string) (net.Conn, error) { return dialer.Dial("tcp", address) }
}

// stop hands leadership over first, so that a planned stop costs no election timeout.
func stop(node *raftnode.Node, id string, log *slog.Logger) error {
	if node.Leader() == id && len(node.Members()) > 1 {
		ctx, cancel := context.WithTimeout(context.Background(), transferTimeout)
		defer cancel()
		if err := node.TransferLeadership(ctx, ""); err != nil {
			log.Warn("leadership not transferred", "code", fault.CodeOf(err), "error", err)
		} else {
			log.Info("leadership transferred")
		}
	}
	err := node.Close()
	log.Info("stopped")
	return err
}
