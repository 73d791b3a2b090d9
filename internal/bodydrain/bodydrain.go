// Package bodydrain lets a caller read a refusal while it is still sending its body.
package bodydrain

import (
	"io"
	"net/http"
	"time"
)

const (
	// limit is how long the rest of a body is read: several round trips between regions.
	limit = 500 * time.Millisecond
	// maxBytes bounds what is read of it.
	maxBytes = 16 << 20
)

// FlushAndDrain sends the answer that was written and reads the rest of the body for a bounded time. Without it net/http
// closes a connection on which bytes are unread, if the caller asked for its end, and the caller sees a reset instead of
// the answer. The answer must name its length.
func FlushAndDrain(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	if control.Flush() != nil || control.SetReadDeadline(time.Now().Add(limit)) != nil {
		return
	}
	// Whatever ends the reading, the connection is of no more use.
	_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, maxBytes))
}
