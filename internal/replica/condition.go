package replica

import "time"

// Condition is what a VM believes of an upstream, in words for logs.
type Condition string

// The conditions of an upstream, from the worst on.
const (
	ConditionUnreachable Condition = "unreachable"
	ConditionSilent      Condition = "silent"
	ConditionFailing     Condition = "failing"
	ConditionSlow        Condition = "slow"
	ConditionHealthy     Condition = "sound"
)

const (
	// reportedSilence is the avoidance from which silence is more than one of the usual pauses.
	reportedSilence = 4 * minSilence
	// reportedBackoff is the backoff from which an upstream is more than briefly out of reach.
	reportedBackoff = 4 * minBackoff
	reportedErrors  = 0.25
	// reportedSlow and reportedFast differ, so that an upstream near the limit is not reported again and again.
	reportedSlow = 2.5
	reportedFast = 1.5
)

// UpdateCondition returns the condition of an upstream and the one before it, and whether they differ since the last call.
func (t *Tracker) UpdateCondition(now time.Time, id string) (before, after Condition, changed bool) {
	s := t.stats(id)
	before = s.condition
	if before == "" {
		before = ConditionHealthy
	}
	after = s.judge(now, before)
	s.condition = after
	return before, after, before != after
}

func (s *stats) judge(now time.Time, before Condition) Condition {
	slow := reportedSlow
	if before == ConditionSlow {
		slow = reportedFast
	}
	switch {
	case s.backoff >= reportedBackoff && now.Before(s.downUntil):
		return ConditionUnreachable
	case s.silence >= reportedSilence:
		return ConditionSilent
	case s.errorRate(now) >= reportedErrors:
		return ConditionFailing
	case s.silence == 0 && s.relativeTime(now) >= slow:
		// A request that a pause held up says nothing about the speed of the upstream.
		return ConditionSlow
	}
	return ConditionHealthy
}
