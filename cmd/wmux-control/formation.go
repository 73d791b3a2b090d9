package main

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/callermem"
	"github.com/wisteriamux/wisteriamux/internal/control"
	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/directory"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/raftnode"
	"github.com/wisteriamux/wisteriamux/internal/settings"
	"github.com/wisteriamux/wisteriamux/platform"
)

// formationSeeds is the value of the formation setting for a group that forms from its seeds.
const formationSeeds = "seeds"

const (
	// httpHeaderTimeout and httpIdleTimeout limit how long upstreams and operators can hold a connection without
	// sending a request.
	httpHeaderTimeout = 3 * time.Second
	httpIdleTimeout   = 15 * time.Second
)

// bootstrapSeed initializes the data directory of a seed at the first start of the whole system. Every other member
// starts with an empty directory and waits until the group admits it.
func bootstrapSeed(loaded settings.Control, log *slog.Logger) error {
	if loaded.Formation != formationSeeds || !loaded.FirstStart || !slices.Contains(loaded.Peers(), loaded.RPCAddress) {
		return nil
	}
	config := nodeConfig(loaded)
	exists, err := raftnode.HasLog(config)
	if err != nil || exists {
		return err
	}
	var seeds []raftnode.Seed
	for _, address := range loaded.Peers() {
		seeds = append(seeds, raftnode.Seed{Name: address, Address: address})
	}
	if err := raftnode.BootstrapGroup(config, seeds); err != nil {
		return err
	}
	log.Info("data directory bootstrapped from the seeds", "seeds", len(seeds))
	return nil
}

// clientAddresses returns the addresses at which this member first looks for the leader.
func clientAddresses(loaded settings.Control) []string {
	if peers := loaded.Peers(); len(peers) > 0 {
		return peers
	}
	return []string{loaded.RPCAddress}
}

// serveDirectory returns the directory of this member, and serves the registration and routing API for upstreams and operators if
// the settings contain an address for it.
func serveDirectory(ctx context.Context, loaded settings.Control, machine *control.Machine, client *controlrpc.Client, callers *callermem.Memory, log *slog.Logger) (*directory.Directory, error) {
	d := directory.New(machine, client, log)
	if loaded.DirectoryAddress == "" {
		return d, nil
	}
	go d.Run(ctx)
	return d, serveHTTP(ctx, loaded.DirectoryAddress, platform.NewControlHandler(d, log), callers, log)
}

// serveHTTP starts an HTTP server for the handler, which runs until the context is cancelled.
func serveHTTP(ctx context.Context, address string, handler http.Handler, callers *callermem.Memory, log *slog.Logger) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fault.New(fault.Unavailable, "control.listen", "%w", err)
	}
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: httpHeaderTimeout, IdleTimeout: httpIdleTimeout,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelWarn),
	}
	callers.Attach(server)
	listener = callers.Listener(listener, func() int64 { return callermem.DefaultHeadBytes })
	go func() {
		if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
			log.Error("listener failed", "address", address, "error", err)
		}
	}()
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	return nil
}
