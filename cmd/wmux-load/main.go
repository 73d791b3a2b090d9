// Command wmux-load generates load on entry VMs, runs the load experiment and measures how resource use grows with
// size.
package main

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"github.com/wisteriamux/wisteriamux/internal/cli"
	"github.com/wisteriamux/wisteriamux/internal/load"
)

func main() { cli.Main(command()) }

func command() *cobra.Command {
	root := &cobra.Command{Use: "wmux-load", Short: "Generate load and report latency and coverage", SilenceUsage: true}
	root.AddCommand(searchCommand(), bookingsCommand(), shapeCommand(), experimentCommand(), compareCommand(), slopesCommand())
	return root
}

func searchCommand() *cobra.Command {
	var config load.Config
	var services []string
	var rate float64
	var duration time.Duration
	var caller string
	command := &cobra.Command{
		Use:     "search",
		Short:   "Send searches at a fixed rate without waiting for responses (open loop)",
		Example: "  wmux-load search --target http://127.0.0.1:8001 --services 'clerk-*' --rate 100 --duration 5s",
		RunE: func(cmd *cobra.Command, _ []string) error {
			config.Profile = load.ConstantRate(rate, duration)
			config.Mix = load.Mix{{Name: "search", Share: 1, Services: services, Callers: []string{caller}}}
			config.RunID = "load"
			samples := load.Run(cmd.Context(), config)
			printReport(load.Summarize(samples, load.Window{To: duration}, config.Timeout))
			return nil
		},
	}
	flags := command.Flags()
	flags.StringSliceVar(&config.Targets, "target", []string{"http://127.0.0.1:8001"}, "URLs of entry VMs")
	flags.StringSliceVar(&services, "services", []string{"*"}, "service names or patterns")
	flags.Float64Var(&rate, "rate", 50, "searches per second")
	flags.DurationVar(&duration, "duration", 3*time.Second, "length of the run")
	flags.DurationVar(&config.Timeout, "timeout", 500*time.Millisecond, "deadline of each search")
	flags.BoolVar(&config.EvenlySpaced, "even", true, "space the searches evenly instead of at random intervals")
	flags.Uint64Var(&config.Seed, "seed", 1, "seed of the arrival times")
	flags.StringVar(&caller, "caller", "", "name of the caller")
	return command
}

func printReport(report *load.Report) {
	fmt.Printf("offered %d, accepted %d: %d answered, %d partial, %d failed; %d without a response\n",
		report.Offered, report.Accepted, report.Answered, report.Partial, report.FailedAfterAcceptance, report.Cut)
	for status, count := range report.Refusals {
		fmt.Printf("refused with %s: %d\n", status, count)
	}
	fmt.Printf("shards needed %d, missing %d, responses with incorrect coverage %d\n", report.Needed, report.ShardsMissing, report.FalseCoverage)
	fmt.Printf("p50 %.2f ms, p99 %.2f ms, p99.9 %.2f ms, within the deadline %.2f%%\n",
		report.P50Millis, report.P99Millis, report.P999Millis, 100*report.WithinDeadline)
}
