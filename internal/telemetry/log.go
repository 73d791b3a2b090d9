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
