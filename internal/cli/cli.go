// Package cli runs the command of a binary with the handling of signals that all binaries share.
package cli

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// Main runs the command and ends the process with status 1 if it fails. The first SIGTERM or interrupt cancels the
// command's context, which begins a planned stop; a second one ends the process at once.
func Main(command *cobra.Command) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	go func() {
		<-ctx.Done()
		stop()
	}()
	if err := command.ExecuteContext(ctx); err != nil {
		os.Exit(1)
	}
}
