package main

import (
	"log/slog"

	"github.com/wisteriamux/wisteriamux/internal/callermem"
	"github.com/wisteriamux/wisteriamux/internal/router"
	"github.com/wisteriamux/wisteriamux/internal/settings"
)

// defaultHeadBytes is the limit of a request header if the configuration has none, or before there is one.
const defaultHeadBytes = 1 << 20

// newCallerMemory returns what the connections of all HTTP listeners share.
func newCallerMemory(loaded settings.Router, log *slog.Logger) *callermem.Memory {
	return callermem.New(callermem.Config{
		TotalBytes: loaded.CallerBytes(), ConnectionBytes: loaded.CallerConnectionBytes(),
		Connections: loaded.AllowedConnections(), BodyTimeout: loaded.BodyTimeout(), Log: log,
	})
}

// headLimit returns the limit of a request header in the configuration in force.
func headLimit(r *router.Router) func() int64 {
	return func() int64 {
		if routes := r.View().Routes; routes != nil && routes.Table.Limits.MaxHeaderBytes > 0 {
			return int64(routes.Table.Limits.MaxHeaderBytes)
		}
		return defaultHeadBytes
	}
}

// systemHeadLimit is the limit of a request header at the health and metrics addresses.
func systemHeadLimit() int64 { return callermem.DefaultHeadBytes }
