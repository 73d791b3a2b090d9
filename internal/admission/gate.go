package admission

import (
	"math"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/fault"
)

const (
	// overloadShare is the share of the remaining time above which the expected wait counts as overload.
	overloadShare = 0.25
	// waitMargin covers what the estimate does not include: requests that other entry VMs have sent since the last result,
	// and the different waits of a query's shards. Without it, thousands of admitted queries missed their deadlines.
	waitMargin = 2.0
)

// Estimate is the expected wait and service time at the most loaded shard of a query.
type Estimate struct {
	// Wait is the time until a slot is free.
	Wait    time.Duration
	Service time.Duration
}

// Gate admits whole queries at an entry VM before any sub-request is sent. It is not safe for concurrent use.
type Gate struct {
	weight Weight
	// inFlight counts the queries in flight by caller, total those of all callers.
	inFlight map[string]int
	total    int
}

// NewGate returns a gate without queries in flight.
func NewGate(weight Weight) *Gate {
	return &Gate{weight: weight, inFlight: map[string]int{}}
}

// Admit counts the query as in flight, or returns the error with which to refuse it before any sub-request is sent.
func (g *Gate) Admit(caller string, worst Estimate, remaining time.Duration) error {
	load := g.relativeLoad(caller)
	// A query is always admitted while none is in flight, so that a stale estimate is corrected.
	if g.total > 0 {
		if load > 1 && float64(worst.Wait) > overloadShare*float64(remaining) {
			return fault.New(fault.OverShare, "admission.admit", "caller %q is above its fair share during overload", caller)
		}
		wait := time.Duration(float64(worst.Wait) * math.Min(1, load))
		if time.Duration(waitMargin*float64(wait))+worst.Service > remaining {
			return fault.New(fault.NotRun, "admission.admit", "expected wait of %s exceeds the remaining %s", wait, remaining)
		}
	}
	g.inFlight[caller]++
	g.total++
	return nil
}

// relativeLoad returns the number of the caller's queries in flight, including one more, relative to its fair share of
// all. Owners serve callers by weight, so a caller below its fair share waits correspondingly less.
func (g *Gate) relativeLoad(caller string) float64 {
	ownWeight := g.weight(caller)
	totalWeight := ownWeight
	for other := range g.inFlight {
		if other != caller {
			totalWeight += g.weight(other)
		}
	}
	fairShare := float64(g.total+1) * ownWeight / totalWeight
	return float64(g.inFlight[caller]+1) / math.Max(1, fairShare)
}

// Done removes a finished query from those in flight.
func (g *Gate) Done(caller string) {
	g.total--
	g.inFlight[caller]--
	if g.inFlight[caller] <= 0 {
		delete(g.inFlight, caller)
	}
}
