package main

import (
	"log/slog"

	"github.com/wisteriamux/wisteriamux/internal/callermem"
	"github.com/wisteriamux/wisteriamux/internal/settings"
)

// newCallerMemory returns what the connections of upstreams and operators share, also after the data directory was reopened.
func newCallerMemory(loaded settings.Control, log *slog.Logger) *callermem.Memory {
	callermem.LimitRuntime(loaded.RuntimeBytes())
	return callermem.New(callermem.Config{
		TotalBytes: loaded.CallerBytes(), ConnectionBytes: loaded.CallerConnectionBytes(),
		Connections: loaded.AllowedConnections(), BodyTimeout: loaded.BodyTimeout(), Log: log,
	})
}
