// Command wmux-upstream runs fake upstreams for demos, tests and load experiments.
package main

import (
	"fmt"
	"net"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/wisteriamux/wisteriamux/internal/cli"
	"github.com/wisteriamux/wisteriamux/internal/standin"
	"github.com/wisteriamux/wisteriamux/internal/telemetry"
)

func main() { cli.Main(command()) }

func command() *cobra.Command {
	var config standin.Config
	announcement := &config.Announcement
	command := &cobra.Command{
		Use:          "wmux-upstream",
		Short:        "Run a fake upstream that announces itself to entry VMs",
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
	flags.Uint64Var(&announcement.Generation, "generation", 1, "generation of the shard map")
	flags.Uint64Var(&announcement.MinVersion, "min-version", 1, "oldest index version served")
	flags.Uint64Var(&announcement.MaxVersion, "max-version", 1, "newest index version served")
	flags.IntVar(&announcement.Slots, "slots", 2, "number of requests that run concurrently")
	flags.IntVar(&announcement.Connections, "connections", 25, "maximum number of connections")
	flags.DurationVar(&config.ServiceTime, "service-time", 5*time.Millisecond, "median time for which a request occupies a slot")
	flags.StringVar((*string)(&config.Distribution), "distribution", string(standin.Constant), "distribution of service times: constant, log-normal or exponential")
	flags.Float64Var(&config.Sigma, "sigma", 0.5, "standard deviation of the logarithm of a log-normal service time")
	flags.DurationVar(&config.ConnectCost, "connect-cost", 0, "delay of the first read on a new connection")
	flags.DurationVar(&config.OneWayDelay, "one-way", 0, "simulated one-way network delay, applied before a request is read and before its response is written")
	flags.IntVar(&config.QueueBound, "queue-bound", 0, "maximum number of requests that wait for a slot; 0 means no limit")
	flags.Float64Var(&config.SlowPeriods.Factor, "slow-factor", 10, "factor by which service times increase in a slow period")
	flags.DurationVar(&config.SlowPeriods.Length, "slow-length", time.Second, "length of a slow period")
	flags.DurationVar(&config.SlowPeriods.Interval, "slow-every", 0, "mean time between slow periods; 0 means none")
	flags.Float64Var(&config.ColdStart.Factor, "cold-factor", 1, "factor by which service times increase in the cold period after the start")
	flags.DurationVar(&config.ColdStart.Length, "cold-length", 0, "length of the cold period")
	flags.DurationVar(&config.LoadReport.Age, "load-age", 0, "age of the reported load")
	flags.Float64Var(&config.LoadReport.Factor, "load-factor", 1, "ratio of the reported load to the actual load")
	flags.DurationVar(&config.VersionSchedule.Interval, "version-every", 0, "interval between new index versions; 0 means that the range of versions is fixed")
	flags.Uint64Var(&config.VersionSchedule.Retained, "version-keep", 2, "number of index versions that are served at the same time")
	flags.DurationVar(&config.GracePeriod, "grace", standin.DefaultGracePeriod, "how long the upstream still accepts requests while it shuts down")
	flags.DurationVar(&config.DrainLimit, "drain-limit", standin.DefaultDrainLimit, "how long the upstream waits for confirmation that it is drained while it shuts down")
	flags.StringVar(&config.CrashMarker, "crash-marker", "", "exit on a request that contains this text; empty means never")
	flags.Uint64Var(&config.Seed, "seed", 1, "seed of service times and slow periods")
	flags.StringSliceVar(&config.EntryURLs, "entry", []string{"http://127.0.0.1:8001"}, "URLs of entry VMs")
	_ = command.MarkFlagRequired("name")
	_ = command.MarkFlagRequired("service")
	command.AddCommand(fleetCommand(), routesCommand())
	return command
}

func fleetCommand() *cobra.Command {
	var path string
	command := &cobra.Command{
		Use:     "fleet",
		Short:   "Run many fake upstreams in one process",
		Example: "  wmux-upstream fleet --file fleet.toml",
		RunE: func(cmd *cobra.Command, _ []string) error {
			file, err := standin.LoadFleet(path)
			if err != nil {
				return err
			}
			log := telemetry.NewLogger(os.Stderr, "wmux-upstream", path)
			return standin.NewFleet(file, log).Serve(cmd.Context())
		},
	}
	command.Flags().StringVar(&path, "file", "fleet.toml", "file that describes the upstreams")
	return command
}
