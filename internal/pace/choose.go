package pace

import (
	"slices"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/replica"
)

// maxExtraCost is how much more than an upstream below its full share another one may cost, in multiples of the usual response time, to
// be taken instead. It covers the way to another failure domain and a request that waits; it is below the cost of an upstream that is
// stalled, failing, in backoff or full.
const maxExtraCost = 1.0

// Choose returns the index of the candidate to which a request is sent, or -1 if there is none. It is the cheapest one, unless the draw,
// a random number below 1 that is drawn when needed, is not below its share and another one costs little more.
func Choose(now time.Time, tracker *replica.Tracker, shares *Controller, candidates []replica.Candidate, excluded func(id string) bool, draw func() float64) int {
	if shares.Empty() || !slices.ContainsFunc(candidates, func(c replica.Candidate) bool { return shares.limits(now, c.ID) }) {
		return tracker.Choose(now, candidates, excluded)
	}
	candidates = Mark(now, shares, candidates)
	best := tracker.Choose(now, candidates, excluded)
	if best < 0 || shares.Share(now, candidates[best].ID) >= 1 {
		return best
	}
	limit := tracker.Cost(now, candidates[best]) + maxExtraCost
	drawn := draw()
	var passed []string
	for next := best; next >= 0 && tracker.Cost(now, candidates[next]) <= limit; {
		id := candidates[next].ID
		if drawn < Allowed(now, tracker, shares, id) {
			return next
		}
		passed = append(passed, id)
		next = tracker.Choose(now, candidates, func(id string) bool {
			return slices.Contains(passed, id) || (excluded != nil && excluded(id))
		})
	}
	return best
}

// Mark returns the candidates with Paced set as Choose compares them.
func Mark(now time.Time, shares *Controller, candidates []replica.Candidate) []replica.Candidate {
	candidates = slices.Clone(candidates)
	for n := range candidates {
		candidates[n].Paced = shares.replacesMemory(now, candidates[n].ID)
	}
	return candidates
}

// Declines reports whether a relay with a share for the upstream does not send a request of a VM that has already applied its own
// share, so that both together let the lower of the two shares pass.
func Declines(share, applied, draw float64) bool {
	return share < applied && draw >= share/applied
}

// Allowed returns the share of the upstream, or the least share while a request is in flight there whose answer will tell more.
func Allowed(now time.Time, tracker *replica.Tracker, shares *Controller, id string) float64 {
	share := shares.Share(now, id)
	if share < 1 && tracker.InFlight(id) > 0 {
		return minShare
	}
	return share
}
