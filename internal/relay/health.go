package relay

import "time"

const (
	// minRedial and maxRedial bound the pause before a peer that cannot be reached is dialled again; it doubles with each
	// failure. A restart takes about a second.
	minRedial = 100 * time.Millisecond
	maxRedial = 2 * time.Second
	// silentAfter is how long a report may be missing before the peer gets no further batch. It leaves reportHold a
	// round trip and a scheduling pause.
	silentAfter = reportHold + 60*time.Millisecond
	// lostAfter is how long a report may be missing before the connection counts as lost.
	lostAfter = time.Second
)

// condition is what is known of the connection to a peer.
type condition int

const (
	// unconnected peers were not needed so far.
	unconnected condition = iota
	connecting
	connected
	// down peers failed, and are dialled again after a pause.
	down
)

// health decides when a peer gets batches and when it is dialled. It performs no I/O, time is an argument, and it is not
// safe for concurrent use.
type health struct {
	condition condition
	// silent is set while a report is missing.
	silent  bool
	leaving bool
	pause   time.Duration
	dialAt  time.Time
}

// usable reports whether the peer gets a batch.
func (h *health) usable() bool { return h.condition == connected && !h.silent && !h.leaving }

// dial reports whether to open a connection, which is then under way.
func (h *health) dial(now time.Time) bool {
	switch h.condition {
	case connecting, connected:
		return false
	case down:
		if now.Before(h.dialAt) {
			return false
		}
	}
	h.condition = connecting
	return true
}

func (h *health) up() {
	h.condition = connected
	h.silent, h.leaving = false, false
}

func (h *health) failed(now time.Time) {
	h.condition = down
	h.pause = min(max(2*h.pause, minRedial), maxRedial)
	h.dialAt = now.Add(h.pause)
}

// answered records a report, after which the peer counts as sound again.
func (h *health) answered() {
	h.silent = false
	h.pause = 0
}

// leave records that the relay stops soon. Its successor is connected anew.
func (h *health) leave() { h.leaving = true }

// missing records that a report is overdue.
func (h *health) missing() { h.silent = true }
