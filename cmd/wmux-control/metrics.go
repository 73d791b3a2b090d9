package main

import (
	"context"
	"log/slog"
	"net/http"

	"github.com/gorilla/mux"

	"github.com/wisteriamux/wisteriamux/internal/callermem"
	"github.com/wisteriamux/wisteriamux/internal/control"
	"github.com/wisteriamux/wisteriamux/internal/directory"
	"github.com/wisteriamux/wisteriamux/internal/raftnode"
	"github.com/wisteriamux/wisteriamux/internal/registry"
	"github.com/wisteriamux/wisteriamux/internal/settings"
	"github.com/wisteriamux/wisteriamux/internal/telemetry"
)

// serveMetrics serves the metrics of this member over HTTP if the settings contain an address for them.
func serveMetrics(ctx context.Context, loaded settings.Control, node *raftnode.Node, machine *control.Machine, served *directory.Directory, callers *callermem.Memory, log *slog.Logger) error {
	if loaded.MetricsAddress == "" {
		return nil
	}
	metrics, err := telemetry.NewMetrics("wmux-control")
	if err != nil {
		return err
	}
	gauges := map[string]func() int64{
		"wisteriamux.control.term":      func() int64 { return int64(node.Status().Term) },
		"wisteriamux.control.commit":    func() int64 { return int64(node.Status().Commit) },
		"wisteriamux.control.applied":   func() int64 { return int64(node.Status().Applied) },
		"wisteriamux.control.leads":     func() int64 { return boolToInt(node.Status().Role == raftnode.RoleLeader) },
		"wisteriamux.control.members":   func() int64 { return int64(len(node.Members())) },
		"wisteriamux.control.voters":    func() int64 { return int64(node.Status().Tolerance.Voters) },
		"wisteriamux.control.in_touch":  func() int64 { return int64(node.Status().Tolerance.VotersInTouch) },
		"wisteriamux.control.standbys":  func() int64 { return int64(node.Status().Tolerance.Standbys) },
		"wisteriamux.control.tolerated": func() int64 { return int64(node.Status().Tolerance.Losses) },
		"wisteriamux.control.revision":  func() int64 { return int64(machine.Revision()) },
		"wisteriamux.routes.version":    func() int64 { return int64(machine.RoutesVersion()) },
		"wisteriamux.registry.upstream": func() int64 { return int64(machine.InstanceCount()) },
		"wisteriamux.registry.unused":   func() int64 { return int64(machine.UnusedCount()) },
		"wisteriamux.evacuations":       func() int64 { return int64(machine.EvacuationCount()) },
	}
	for _, reason := range []registry.Effect{registry.Stale, registry.Departed, registry.Conflict} {
		gauges["wisteriamux.reports.ignored."+reason.String()] = func() int64 { return served.IgnoredCount(reason) }
	}
	for name, read := range gauges {
		if err := metrics.RegisterGauge(name, "state of the control member", read); err != nil {
			return err
		}
	}
	if err := callers.RegisterMetrics(metrics); err != nil {
		return err
	}
	paths := mux.NewRouter()
	paths.Handle("/metrics", metrics.Handler()).Methods(http.MethodGet)
	return serveHTTP(ctx, loaded.MetricsAddress, paths, callers, log)
}

func boolToInt(value bool) int64 {
	if value {
		return 1
	}
	return 0
}
