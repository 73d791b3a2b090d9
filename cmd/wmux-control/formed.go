package main

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/control"
	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/directory"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/raftnode"
	"github.com/wisteriamux/wisteriamux/internal/settings"
	"github.com/wisteriamux/wisteriamux/platform"
)

// formationSeeds is the setting of a group that forms from its seeds.
const formationSeeds = "seeds"

const (
	// httpHeaderTimeout and httpIdleTimeout bound silent connections of upstreams and operators.
	httpHeaderTimeout = 3 * time.Second
	httpIdleTimeout   = 15 * time.Second
)

// found prepares the data directory of a seed at the first start of the whole system. Any other member waits to be
// admitted.
func found(loaded settings.Control, log *slog.Logger) error {
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
	log.Info("founding member prepared", "seeds", len(seeds))
	return nil
}

// clientAddresses are where this member looks for the leader first.
func clientAddresses(loaded settings.Control) []string {
	if peers := loaded.Peers(); len(peers) > 0 {
		return peers
	}
	return []string{loaded.RPCAddress}
}

// serveDirectory serves upstreams and operators of routes if the settings name an address for them.
func serveDirectory(ctx context.Context, loaded settings.Control, machine *control.Machine, client *controlrpc.Client, log *slog.Logger) error {
	if loaded.DirectoryAddress == "" {
		return nil
	}
	d := directory.New(machine, client, log)
	go d.Run(ctx)
	return serveHTTP(ctx, loaded.DirectoryAddress, platform.NewControlHandler(d, log), log)
}

// serveHTTP serves the handler until the context ends.
func serveHTTP(ctx context.Context, address string, handler http.Handler, log *slog.Logger) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fault.New(fault.Unavailable, "control.listen", "%w", err)
	}
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: httpHeaderTimeout, IdleTimeout: httpIdleTimeout,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelWarn),
	}
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
