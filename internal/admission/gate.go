package admission

import (
	"math"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/fault"
)

const (
	// overloadShare is the share of the remaining time that the expected wait must exceed to count as overload.
	overloadShare = 0.25
	// waitMargin covers what the estimate does not see: requests of other entry VMs since the last result, and the spread
	// of the waits of a query's shards. Without it, admitted queries ran into their deadlines by the thousand.
	waitMargin = 2.0
)

// Estimate is the expected wait and service time at the most loaded shard of a query.
type Estimate struct {
	Wait    time.Duration
	Service time.Duration
}

// Gate admits whole queries at an entry VM before any sub-request is sent. It is not safe for concurrent use.
type Gate struct {
	weight  Weight
	callers map[string]int
	total   int
}

// NewGate returns a gate without queries in flight.
func NewGate(weight Weight) *Gate {
	return &Gate{weight: weight, callers: map[string]int{}}
}

// Admit counts the query as in flight, or refuses it. A refused query has sent nothing.
func (g *Gate) Admit(caller string, worst Estimate, remaining time.Duration) error {
	load := g.relativeLoad(caller)
	// A query is always admitted while none is in flight, so that a stale estimate gets corrected.
	if g.total > 0 {
		if load > 1 && float64(worst.Wait) > overloadShare*float64(remaining) {
			return fault.New(fault.OverShare, "admission.admit", "caller %q is above its share during overload", caller)
		}
		wait := time.Duration(float64(worst.Wait) * math.Min(1, load))
		if time.Duration(waitMargin*float64(wait))+worst.Service > remaining {
			return fault.New(fault.NotRun, "admission.admit", "expected wait of %s exceeds the remaining %s", wait, remaining)
		}
	}
	g.callers[caller]++
	g.total++
	return nil
}

// relativeLoad returns the caller's queries in flight, with one more, relative to its fair share of all. Owners serve
// callers by share, so a caller below its share waits correspondingly less.
func (g *Gate) relativeLoad(caller string) float64 {
	own := g.weight(caller)
	weights := own
	for other := range g.callers {
		if other != caller {
			weights += g.weight(other)
		}
	}
	fair := float64(g.total+1) * own / weights
	return float64(g.callers[caller]+1) / math.Max(1, fair)
}

// Done ends an admitted query.
func (g *Gate) Done(caller string) {
	g.total--
	g.callers[caller]--
	if g.callers[caller] <= 0 {
		delete(g.callers, caller)
	}
}
