// Package cli runs the command of a binary with the handling of signals that all binaries share.
package cli

import (
	"context"
	"os"
	"os/signal"
	"sync"
	"syscall"

	"github.com/spf13/cobra"
)

// Main runs the command and ends the process with status 1 if it fails. The first SIGTERM or interrupt cancels the
// command's context, which begins a planned stop; a second one ends the process at once. SIGHUP reloads the settings.
func Main(command *cobra.Command) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	go notifyReload(reloads)
	go func() {
		<-ctx.Done()
		stop()
	}()
	if err := command.ExecuteContext(ctx); err != nil {
		os.Exit(1)
	}
}

// reload holds what OnReload registered.
var reload struct {
	// mu guards run.
	mu  sync.Mutex
	run func()
}

// OnReload registers what to do when SIGHUP tells that the settings file has changed. Without it the signal is ignored.
func OnReload(run func()) {
	reload.mu.Lock()
	defer reload.mu.Unlock()
	reload.run = run
}

func notifyReload(signals <-chan os.Signal) {
	for range signals {
		reload.mu.Lock()
		run := reload.run
		reload.mu.Unlock()
		if run != nil {
			run()
		}
	}
}
