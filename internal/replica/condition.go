package replica

import "time"

// Condition is the health of an upstream as one entry VM observes it. It is written to logs.
type Condition string

// The conditions of an upstream, from the worst to the best.
const (
	ConditionUnreachable Condition = "unreachable"
	ConditionSilent      Condition = "silent"
	ConditionFailing     Condition = "failing"
	ConditionSlow        Condition = "slow"
	ConditionHealthy     Condition = "sound"
)

const (
	// silentStallBackoff is the stall backoff from which an upstream is reported as silent. Shorter ones come from the
	// usual pauses.
	silentStallBackoff = 4 * minStallBackoff
	// unreachableBackoff is the backoff from which an upstream is reported as unreachable, so that a brief failure to
	// connect is not reported.
	unreachableBackoff = 4 * minBackoff
	// failingErrorRate is the error rate from which an upstream is reported as failing.
	failingErrorRate = 0.25
	// slowEnterRatio and slowExitRatio bound the latency ratio at which an upstream becomes slow and stops being slow.
	// They differ (hysteresis), so that the condition of an upstream near the limit does not flap.
	slowEnterRatio = 2.5
	slowExitRatio  = 1.5
)

// UpdateCondition evaluates the condition of an upstream. It returns the condition at the previous call, the current
// one, and whether they differ.
func (t *Tracker) UpdateCondition(now time.Time, id string) (before, after Condition, changed bool) {
	s := t.stats(id)
	before = s.condition
	if before == "" {
		before = ConditionHealthy
	}
	after = s.nextCondition(now, before)
	s.condition = after
	return before, after, before != after
}

func (s *stats) nextCondition(now time.Time, before Condition) Condition {
	slowRatio := slowEnterRatio
	if before == ConditionSlow {
		slowRatio = slowExitRatio
	}
	switch {
	case s.backoff >= unreachableBackoff && now.Before(s.backoffUntil):
		return ConditionUnreachable
	case s.stallBackoff >= silentStallBackoff:
		return ConditionSilent
	case s.errorRate(now) >= failingErrorRate:
		return ConditionFailing
	case s.stallBackoff == 0 && s.latencyRatio(now) >= slowRatio:
		// While the stall backoff is set, the latency comes from a pause and says nothing about the speed of the upstream.
		return ConditionSlow
	}
	return ConditionHealthy
}
