package main

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/logtrail"
)

// defaultTrailLookback is how long before a request events can affect its result. It covers the longest time for which
// an upstream counts as failing after its last failure, and the duration of an election in the control group.
const defaultTrailLookback = 10 * time.Second

func trailCommand(opts *options) *cobra.Command {
	var lookback time.Duration
	command := &cobra.Command{
		Use:   "trail REQUEST FILE...",
		Short: "Print the log lines of several processes that concern one request",
		Long: `Print the log lines of a request and those that explain them, sorted by time: the events of its entry VM, its relays
and its upstreams shortly before the request, and the view that its entry VM used. Use - as FILE to read standard input.`,
		Example: "  wmuxctl trail 5b135f6b2402f7c4 router-*.log control-*.log",
		Args:    cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			lines, err := readLogs(cmd, args[1:])
			if err != nil {
				return err
			}
			return printTrail(opts, args[0], logtrail.BuildTrail(lines, args[0], lookback))
		},
	}
	command.Flags().DurationVar(&lookback, "before", defaultTrailLookback, "how long before the request to look for events that explain it")
	return command
}

func readLogs(cmd *cobra.Command, names []string) ([]logtrail.Line, error) {
	var all []logtrail.Line
	for _, name := range names {
		lines, skipped, err := readLog(cmd.InOrStdin(), name)
		if err != nil {
			return nil, err
		}
		if skipped > 0 {
			cmd.PrintErrf("%s: skipped %d lines that are not log events\n", name, skipped)
		}
		all = append(all, lines...)
	}
	return all, nil
}

func readLog(stdin io.Reader, name string) ([]logtrail.Line, int, error) {
	if name == "-" {
		return logtrail.Read(name, stdin)
	}
	file, err := os.Open(name)
	if err != nil {
		return nil, 0, fault.New(fault.BadRequest, "wmuxctl.trail", "%w", err)
	}
	defer func() { _ = file.Close() }()
	return logtrail.Read(name, file)
}

func printTrail(opts *options, request string, trail logtrail.Trail) error {
	if trail.Own == 0 {
		return fault.New(fault.NotFound, "wmuxctl.trail", "no log line has request %q; its lines may have been dropped, see the metric wisteriamux_log_dropped", request)
	}
	return opts.print(trail, func(w io.Writer) {
		for _, line := range trail.Lines {
			_, _ = fmt.Fprintf(w, "%s: %s\n", line.Source, line.Text)
		}
	})
}
