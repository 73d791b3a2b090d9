// Command wmux-control runs a control member.
package main

import (
	"context"
	"net"
	"net/rpc"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/wisteriamux/wisteriamux/internal/control"
	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/settings"
	"github.com/wisteriamux/wisteriamux/internal/telemetry"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := command().ExecuteContext(ctx); err != nil {
		os.Exit(1)
	}
}

func command() *cobra.Command {
	var path string
	command := &cobra.Command{
		Use:          "wmux-control",
		Short:        "Run a control member",
		Example:      "  wmux-control --settings control.toml",
		SilenceUsage: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			loaded, err := settings.LoadControl(path)
			if err != nil {
				return err
			}
			return run(cmd.Context(), loaded)
		},
	}
	command.Flags().StringVar(&path, "settings", "control.toml", "settings file")
	return command
}

func run(ctx context.Context, loaded settings.Control) error {
	log := telemetry.NewLogger(os.Stderr, "wmux-control", loaded.ID)
	listener, err := net.Listen("tcp", loaded.RPCAddress)
	if err != nil {
		return err
	}
	machine := control.NewMachine()
	service := control.NewService(loaded.ID, machine, control.NewMemoryReplicator(loaded.ID, machine), time.Now)
	server := rpc.NewServer()
	if err := server.RegisterName(controlrpc.ServiceName, service); err != nil {
		return err
	}
	go service.Run(ctx)
	go server.Accept(listener)
	log.Info("started", "rpc_address", loaded.RPCAddress)
	<-ctx.Done()
	log.Info("stopped")
	return listener.Close()
}
