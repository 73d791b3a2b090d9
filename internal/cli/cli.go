// Package cli runs a command with the signal handling that the long-running binaries share.
package cli

import (
	"context"
	"os"
	"os/signal"
	"sync"
	"syscall"

	"github.com/spf13/cobra"
)

// Main runs the command and exits with status 1 if it fails. The first SIGTERM or SIGINT cancels the command's context,
// which starts a graceful shutdown; the second one terminates the process immediately. SIGHUP calls the function that
// was registered with OnReload.
func Main(command *cobra.Command) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	go handleReloads(reloads)
	go func() {
		<-ctx.Done()
		stop()
	}()
	if err := command.ExecuteContext(ctx); err != nil {
		os.Exit(1)
	}
}

// reload holds the function that was registered with OnReload.
var reload struct {
	// mu guards run.
	mu  sync.Mutex
	run func()
}

// OnReload registers the function that reloads a changed settings file on SIGHUP. If none is registered, the signal is
// ignored.
func OnReload(run func()) {
	reload.mu.Lock()
	defer reload.mu.Unlock()
	reload.run = run
}

func handleReloads(signals <-chan os.Signal) {
	for range signals {
		reload.mu.Lock()
		run := reload.run
		reload.mu.Unlock()
		if run != nil {
			run()
		}
	}
}
