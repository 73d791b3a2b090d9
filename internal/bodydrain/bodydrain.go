// Package bodydrain makes sure that a caller receives an error response while it is still sending its request body.
package bodydrain

import (
	"io"
	"net/http"
	"time"
)

const (
	// drainTimeout is how long the rest of a body is read. It covers several round trips between regions.
	drainTimeout = 500 * time.Millisecond
	// maxDrainBytes limits how much of the rest is read.
	maxDrainBytes = 16 << 20
)

// FlushAndDrain flushes the response and reads the rest of the request body for a limited time. Otherwise, if the caller
// requested "Connection: close", net/http closes the connection with unread data, and the caller sees a reset instead of
// the response. The response must have a Content-Length.
func FlushAndDrain(w http.ResponseWriter, r *http.Request) {
	controller := http.NewResponseController(w)
	if controller.Flush() != nil || controller.SetReadDeadline(time.Now().Add(drainTimeout)) != nil {
		return
	}
	// Errors are ignored, since the connection is not reused.
	_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, maxDrainBytes))
}
