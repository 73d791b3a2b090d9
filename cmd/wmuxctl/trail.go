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

// trailBefore is how long before a request events may have caused its end: the longest that an upstream counts as failing
// after its last failure, and a control election.
const trailBefore = 10 * time.Second

func trailCommand(shared *options) *cobra.Command {
	var before time.Duration
	command := &cobra.Command{
		Use:   "trail REQUEST FILE...",
		Short: "Follow one request through the logs of several processes",
		Long: `Print the lines about a request and those that explain them, by time: what its entry VM, its relays and its
upstreams went through shortly before, and the view that it was decided on. A file named - is the standard input.`,
		Example: "  wmuxctl trail 5b135f6b2402f7c4 router-*.log control-*.log",
		Args:    cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			lines, err := readLogs(cmd, args[1:])
			if err != nil {
				return err
			}
			return printTrail(shared, args[0], logtrail.Follow(lines, args[0], before))
		},
	}
	command.Flags().DurationVar(&before, "before", trailBefore, "how long before the request events may explain it")
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
			cmd.PrintErrf("%s: %d lines are no events\n", name, skipped)
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

func printTrail(shared *options, request string, trail logtrail.Trail) error {
	if trail.Own == 0 {
		return fault.New(fault.NotFound, "wmuxctl.trail", "no line names request %q; it may have been dropped, see the metric wisteriamux_log_dropped", request)
	}
	return shared.print(trail, func(w io.Writer) {
		for _, line := range trail.Lines {
			_, _ = fmt.Fprintf(w, "%s: %s\n", line.Source, line.Text)
		}
	})
}
