// Command wmux-entry runs the entry daemon, which serves the searches and bookings of callers on an entry VM.
package main

import (
	"context"
	"net"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/wisteriamux/wisteriamux/internal/balance"
	"github.com/wisteriamux/wisteriamux/internal/callermem"
	"github.com/wisteriamux/wisteriamux/internal/cli"
	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/entry"
	"github.com/wisteriamux/wisteriamux/internal/netcut"
	"github.com/wisteriamux/wisteriamux/internal/security"
	"github.com/wisteriamux/wisteriamux/internal/settings"
	"github.com/wisteriamux/wisteriamux/internal/telemetry"
	"github.com/wisteriamux/wisteriamux/internal/trace"
)

func main() { cli.Main(command()) }

func command() *cobra.Command {
	var path string
	command := &cobra.Command{
		Use:          "wmux-entry",
		Short:        "Run the entry daemon",
		Example:      "  wmux-entry --settings entry.toml",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			loaded, err := settings.LoadEntry(path)
			if err != nil {
				return err
			}
			return run(cmd.Context(), loaded)
		},
	}
	command.PersistentFlags().StringVar(&path, "settings", "entry.toml", "settings file")
	command.AddCommand(&cobra.Command{
		Use:     "check",
		Short:   "Check the settings file without starting",
		Example: "  wmux-entry check --settings entry.toml",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			loaded, err := settings.LoadEntry(path)
			if err != nil {
				return err
			}
			if _, err := security.NewTransport(loaded.TLS); err != nil {
				return err
			}
			cmd.Printf("settings of %s are valid\n", loaded.ID)
			return nil
		},
	})
	return command
}

func run(ctx context.Context, loaded settings.Entry) error {
	log := telemetry.NewLogger(os.Stdout, "wmux-entry", loaded.ID)
	callerListener, err := net.Listen("tcp", loaded.CallerAddress)
	if err != nil {
		return err
	}
	peerListener, err := net.Listen("tcp", loaded.RPCAddress)
	if err != nil {
		return err
	}
	transport, err := security.NewTransport(loaded.TLS)
	if err != nil {
		return err
	}
	faultRules, err := netcut.Open(loaded.FaultRulesFile, log)
	if err != nil {
		return err
	}
	go faultRules.Run(ctx)
	dial := faultRules.Dialer(controlrpc.PlainDialer)
	control := controlrpc.NewClient(loaded.ControlAddresses, transport.Dialer(dial, security.RoleControl))
	defer control.Close()
	recorder, err := openTrace(loaded)
	if err != nil {
		return err
	}
	defer func() { _ = recorder.Close() }()
	metrics, err := telemetry.NewMetrics("wmux-entry")
	if err != nil {
		return err
	}
	callers := callermem.New(callermem.Config{
		TotalBytes: loaded.CallerBytes(), ConnectionBytes: loaded.CallerConnectionBytes(),
		Connections: loaded.AllowedConnections(), BodyTimeout: loaded.BodyTimeout(), Log: log,
	})
	if err := callers.RegisterMetrics(metrics); err != nil {
		return err
	}
	callermem.LimitRuntime(loaded.RuntimeBytes())
	config := entry.Config{
		Callers:       callers,
		Metrics:       metrics,
		Recorder:      recorder,
		ID:            loaded.ID,
		FailureDomain: loaded.FailureDomain,
		LameDuck:      time.Duration(loaded.LameDuckMillis) * time.Millisecond,
		DrainTimeout:  time.Duration(loaded.DrainMillis) * time.Millisecond,
		Ownership:     entry.Ownership(loaded.Ownership),
		Balance:       balance.Policy(loaded.Balance),
		Hedging:       loaded.Hedging,

		ResponseMemoryBytes: loaded.ResponseMemoryKB << 10,
	}
	server := entry.New(config, control, loaded.RPCAddress, transport.Dialer(dial, security.RoleEntry), log)
	log.Info("started", "caller_address", loaded.CallerAddress, "rpc_address", loaded.RPCAddress)
	return server.Run(ctx, callerListener, transport.Listener(faultRules.Listener(peerListener), security.RoleEntry))
}

// openTrace returns a nil recorder, which records nothing, if the settings contain no trace file.
func openTrace(loaded settings.Entry) (*trace.Recorder, error) {
	if loaded.TraceFile == "" {
		return nil, nil
	}
	return trace.Create(loaded.TraceFile, loaded.ID, trace.DefaultMaxBytes)
}
