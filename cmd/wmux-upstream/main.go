// Command wmux-upstream runs a stand-in upstream.
package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/wisteriamux/wisteriamux/internal/standin"
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
	var config standin.Config
	announcement := &config.Announcement
	command := &cobra.Command{
		Use:          "wmux-upstream",
		Short:        "Run a stand-in upstream that announces itself to entry VMs",
		Example:      "  wmux-upstream --name a1 --service clerk-01 --address 127.0.0.1:9001 --entry http://127.0.0.1:8001",
		SilenceUsage: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			announcement.Instance = fmt.Sprintf("%d-%d", os.Getpid(), time.Now().UnixNano())
			listener, err := net.Listen("tcp", announcement.Address)
			if err != nil {
				return err
			}
			log := telemetry.NewLogger(os.Stderr, "wmux-upstream", announcement.Name)
			return standin.New(config, log).Run(cmd.Context(), listener)
		},
	}
	flags := command.Flags()
	flags.StringVar(&announcement.Name, "name", "", "name of the upstream")
	flags.StringVar(&announcement.Service, "service", "", "service of the upstream")
	flags.StringVar(&announcement.FailureDomain, "failure-domain", "", "failure domain of the upstream")
	flags.StringVar(&announcement.Address, "address", "127.0.0.1:9001", "listen address")
	flags.IntVar(&announcement.Shard, "shard", 0, "shard that the upstream serves")
	flags.IntVar(&announcement.ShardCount, "shards", 1, "number of shards of the service")
	flags.Uint64Var(&announcement.Generation, "generation", 1, "shard-map generation")
	flags.Uint64Var(&announcement.MinVersion, "min-version", 1, "oldest index version served")
	flags.Uint64Var(&announcement.MaxVersion, "max-version", 1, "newest index version served")
	flags.IntVar(&announcement.Slots, "slots", 2, "requests that run at the same time")
	flags.IntVar(&announcement.Connections, "connections", 25, "connections accepted")
	flags.DurationVar(&config.ServiceTime, "service-time", 5*time.Millisecond, "time that a request holds a slot")
	flags.StringSliceVar(&config.EntryURLs, "entry", []string{"http://127.0.0.1:8001"}, "URLs of entry VMs")
	_ = command.MarkFlagRequired("name")
	_ = command.MarkFlagRequired("service")
	return command
}
