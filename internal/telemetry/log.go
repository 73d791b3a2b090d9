// Package telemetry sets up logs and metrics.
package telemetry

import (
	"io"
	"log/slog"
)

// NewLogger returns a logger that writes one line of key=value pairs per event, with the name and the identifier of the
// process.
func NewLogger(w io.Writer, process, id string) *slog.Logger {
	return slog.New(slog.NewTextHandler(w, nil)).With("process", process, "id", id)
}

// NewLeveledLogger is like NewLogger, but drops events below the level, which is debug, info, warn or error.
func NewLeveledLogger(w io.Writer, process, id, level string) *slog.Logger {
	var minLevel slog.Level
	// The level is validated when the settings are loaded. An unknown level results in info.
	_ = minLevel.UnmarshalText([]byte(level))
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: minLevel})).With("process", process, "id", id)
}
