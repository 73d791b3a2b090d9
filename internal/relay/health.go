package relay

import "time"

const (
	// minRedial and maxRedial bound the backoff before an unreachable peer is dialled again. It doubles with each failure.
	// A restart of a peer takes about a second.
	minRedial = 100 * time.Millisecond
	maxRedial = 2 * time.Second
	// silentAfter is how long a call waits for a report before the peer gets no further batches. It allows for a round
	// trip and a scheduling pause on top of maxReportDelay.
	silentAfter = maxReportDelay + 60*time.Millisecond
	// lostAfter is how long a call waits for a report before the connection is considered lost.
	lostAfter = time.Second
	// shutdownLimit is how long a connection is kept after the relay has announced its shutdown. Planned stops take up to
	// 6 s, and batches in progress are reported until then.
	shutdownLimit = 8 * time.Second
)

// condition is the state of the connection to a peer.
type condition int

const (
	// unconnected means that the peer has not been dialled, because it was not needed so far.
	unconnected condition = iota
	connecting
	connected
	// down means that the connection failed and is dialled again after a backoff.
	down
)

// health decides when a peer is dialled and when it gets batches. It performs no I/O, takes the time as an argument, and
// is not safe for concurrent use.
type health struct {
	condition condition
	// silent is set while a report is overdue.
	silent       bool
	shuttingDown bool
	backoff      time.Duration
	dialAt       time.Time
	// partitionedUntil is the time until which the peer counts as cut off from the upstreams.
	partitionedUntil time.Time
}

// partitionedFor is how long a relay gets no attempts after it has reported that it lost its links to the upstreams.
const partitionedFor = 500 * time.Millisecond

// usable reports whether batches may be sent to the peer.
func (h *health) usable() bool { return h.condition == connected && !h.silent && !h.shuttingDown }

// overdue reports whether the peer is connected and a report of it is overdue.
func (h *health) overdue() bool { return h.condition == connected && h.silent && !h.shuttingDown }

// firstDial reports whether the peer is being dialled and no dial has failed since the last report from it.
func (h *health) firstDial() bool { return h.condition == connecting && h.backoff == 0 }

// dial reports whether the caller must open a connection now, and marks the peer as connecting if so.
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

func (h *health) onConnected() {
	h.condition = connected
	h.silent, h.shuttingDown = false, false
}

func (h *health) onFailure(now time.Time) {
	h.condition = down
	h.backoff = min(max(2*h.backoff, minRedial), maxRedial)
	h.dialAt = now.Add(h.backoff)
}

// onReport records a report, after which the peer is considered healthy again.
func (h *health) onReport() {
	h.silent = false
	h.backoff = 0
}

// onShutdown records that the relay is about to stop. Its restarted process gets a new connection.
func (h *health) onShutdown() { h.shuttingDown = true }

// onOverdue records that a report is overdue.
func (h *health) onOverdue() { h.silent = true }
