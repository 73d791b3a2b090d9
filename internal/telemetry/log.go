// Package telemetry sets up logs and metrics.
package telemetry

import (
	"io"
	"log/slog"
)

// NewLogger returns a logger that writes one line of key=value pairs for each event.
func NewLogger(w io.Writer, process, id string) *slog.Logger {
	return slog.New(slog.NewTextHandler(w, nil)).With("process", process, "id", id)
}

// NewLeveledLogger is NewLogger for events of at least the level, which is one of debug, info, warn and error.
func NewLeveledLogger(w io.Writer, process, id, level string) *slog.Logger {
	var least slog.Level
	// Settings are checked before; an unknown level leaves info.
	_ = least.UnmarshalText([]byte(level))
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: least})).With("process", process, "id", id)
}
