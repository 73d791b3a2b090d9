package standin

// Stats are the counters of one stand-in.
type Stats struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Shard   int    `json:"shard"`
	State   string `json:"state"`

	Received        uint64 `json:"received"`
	SearchesStarted uint64 `json:"searches_started"`
	BookingsStarted uint64 `json:"bookings_started"`
	Finished        uint64 `json:"finished"`
	// Cancelled counts requests whose stream the caller closed before they finished.
	Cancelled uint64 `json:"cancelled"`
	// Refused is the sum of the counters below, which count requests refused before they started: because the queue was
	// full, the timeout had passed, the grace period was over, or the snapshot is not served.
	Refused         uint64 `json:"refused"`
	RefusedShed     uint64 `json:"refused_shed"`
	RefusedExpired  uint64 `json:"refused_expired"`
	RefusedLeaving  uint64 `json:"refused_leaving"`
	RefusedSnapshot uint64 `json:"refused_snapshot"`
	// ReceivedAfterGrace counts requests that arrived after the grace period of the drain.
	ReceivedAfterGrace uint64 `json:"received_after_grace"`
	// ReceivedAfterDrained counts requests that arrived after an entry VM had reported the stand-in as drained.
	ReceivedAfterDrained uint64 `json:"received_after_drained"`

	// ToldDrained is set once an entry VM has reported the draining stand-in as drained.
	ToldDrained bool `json:"told_drained"`

	InFlight    int `json:"in_flight"`
	MaxInFlight int `json:"max_in_flight"`
	Queued      int `json:"queued"`
	// BusyMillis is how long the requests that have ended held their slots, in total.
	BusyMillis float64 `json:"busy_ms"`
	Slots      int     `json:"slots"`
	MaxQueued  int     `json:"max_queued"`

	ConnectionsAccepted uint64 `json:"connections_accepted"`
	ConnectionsOpen     int    `json:"connections_open"`
	MaxConnections      int    `json:"max_connections"`

	// DoubledBookings holds the booking keys that ran more than once and how often each ran.
	DoubledBookings map[string]int `json:"doubled_bookings"`
}

// Values of Stats.State. A stand-in is leaving from the start of its drain until an entry VM reports it as drained.
const (
	StateServing = "serving"
	StateLeaving = "leaving"
	StateDrained = "drained"
	StateEnded   = "ended"
)

// Stats returns the current counters.
func (u *Upstream) Stats() Stats {
	u.mu.Lock()
	defer u.mu.Unlock()
	stats := u.stats
	stats.Name = u.announcement.Name
	stats.Service = u.announcement.Service
	stats.Shard = u.announcement.Shard
	stats.State = u.state
	stats.Slots = cap(u.slots)
	stats.Refused = stats.RefusedShed + stats.RefusedExpired + stats.RefusedLeaving + stats.RefusedSnapshot
	stats.DoubledBookings = map[string]int{}
	for key, runs := range u.bookings {
		if runs > 1 {
			stats.DoubledBookings[key] = runs
		}
	}
	if u.listener != nil {
		stats.ConnectionsAccepted, stats.ConnectionsOpen, stats.MaxConnections = u.listener.counts()
	}
	return stats
}

// Bookings returns how often each booking key ran.
func (u *Upstream) Bookings() map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	runs := make(map[string]int, len(u.bookings))
	for key, count := range u.bookings {
		runs[key] = count
	}
	return runs
}
