// Command wmux-load generates load on entry VMs and reports what callers saw.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"sort"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/wisteriamux/wisteriamux/internal/load"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := command().ExecuteContext(ctx); err != nil {
		os.Exit(1)
	}
}

func command() *cobra.Command {
	root := &cobra.Command{Use: "wmux-load", Short: "Generate load and report latency and coverage", SilenceUsage: true}
	root.AddCommand(searchCommand())
	return root
}

func searchCommand() *cobra.Command {
	var config load.Config
	command := &cobra.Command{
		Use:     "search",
		Short:   "Send searches at a fixed rate, independent of the answers",
		Example: "  wmux-load search --target http://127.0.0.1:8001 --services 'clerk-*' --rate 100 --duration 5s",
		RunE: func(cmd *cobra.Command, _ []string) error {
			printReport(load.Run(cmd.Context(), config))
			return nil
		},
	}
	flags := command.Flags()
	flags.StringSliceVar(&config.Targets, "target", []string{"http://127.0.0.1:8001"}, "URLs of entry VMs")
	flags.StringSliceVar(&config.Services, "services", []string{"*"}, "service names or patterns")
	flags.Float64Var(&config.Rate, "rate", 50, "searches per second")
	flags.DurationVar(&config.Duration, "duration", 3*time.Second, "length of the run")
	flags.DurationVar(&config.Timeout, "timeout", 500*time.Millisecond, "deadline of each search")
	return command
}

func printReport(report *load.Report) {
	statuses := make([]int, 0, len(report.Statuses))
	for status := range report.Statuses {
		statuses = append(statuses, status)
	}
	sort.Ints(statuses)
	for _, status := range statuses {
		fmt.Printf("status %d: %d\n", status, report.Statuses[status])
	}
	fmt.Printf("shards included %d, missing %d\n", report.Included, report.Missing)
	for _, quantile := range []float64{50, 99, 99.9} {
		fmt.Printf("p%g %.2f ms\n", quantile, float64(report.Latency.ValueAtQuantile(quantile))/1e3)
	}
}
