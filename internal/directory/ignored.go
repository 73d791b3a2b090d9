package directory

import (
	"log/slog"
	"sync"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/registry"
)

const (
	// ignoredLogInterval is the least time between two log lines about ignored reports of one upstream.
	ignoredLogInterval = time.Minute
	// maxIgnoredLogged bounds the number of upstreams whose last log line is remembered.
	maxIgnoredLogged = 1024
)

// ignoredReports counts reports that were acknowledged and ignored, and logs them at a limited rate. It is safe for concurrent use.
type ignoredReports struct {
	// mu guards the fields below.
	mu       sync.Mutex
	counts   map[string]int64
	loggedAt map[string]time.Time
}

func newIgnoredReports() *ignoredReports {
	return &ignoredReports{counts: map[string]int64{}, loggedAt: map[string]time.Time{}}
}

func (r *ignoredReports) record(i registry.Instance, reason string, log *slog.Logger, now time.Time) {
	r.mu.Lock()
	r.counts[reason]++
	last, logged := r.loggedAt[i.ID]
	due := !logged || now.Sub(last) >= ignoredLogInterval
	if due {
		if len(r.loggedAt) >= maxIgnoredLogged {
			clear(r.loggedAt)
		}
		r.loggedAt[i.ID] = now
	}
	r.mu.Unlock()
	if due {
		log.Info("upstream report ignored", "upstream", i.ID, "reason", reason, "service", i.Service, "address", i.Address,
			"state", i.State, "born", i.Born, "sequence", i.Sequence)
	}
}

func (r *ignoredReports) count(reason string) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[reason]
}
