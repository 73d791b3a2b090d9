// Command wmux-replay replays the events of a trace file through the decision packages and compares the outcomes with
// the recorded ones.
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/trace"
)

func main() {
	if err := command().Execute(); err != nil {
		os.Exit(1)
	}
}

func command() *cobra.Command {
	return &cobra.Command{
		Use:          "wmux-replay FILE",
		Short:        "Replay a trace file and print the first difference",
		Example:      "  wmux-replay entry-1.trace",
		Args:         cobra.ExactArgs(1),
		SilenceUsage: true,
		RunE: func(cmd *cobra.Command, args []string) error {
			return replay(cmd.OutOrStdout(), args[0])
		},
	}
}

func replay(out io.Writer, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return fault.New(fault.NotFound, "replay", "%w", err)
	}
	defer func() { _ = file.Close() }()
	report, err := trace.Replay(bufio.NewReader(file), trace.NewMachines())
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(out, "process=%s records=%d skipped=%d truncated=%t\n",
		report.Header.Process, report.Records, report.Skipped, report.Truncated)
	if report.Difference != nil {
		_, _ = fmt.Fprintln(out, report.Difference)
		return fault.New(fault.Conflict, "replay", "the outcome of record %d differs from the recorded one", report.Difference.Index)
	}
	return nil
}
