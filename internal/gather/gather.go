// Package gather is the state machine of one scatter-gather search: it decides when to hedge a shard, and whether to
// respond with the shard results so far or to wait for more. It performs no I/O, and time is an argument.
package gather

import "time"

// Config holds the limits of a search.
type Config struct {
	Shards int
	// MinShards is the number of shard results that a response needs at least.
	MinShards int
	// Attempts is the maximum number of attempts per shard.
	Attempts int
	// SoftDeadline is the time after which a response is worth little to the caller. At Deadline the caller stops waiting.
	SoftDeadline time.Time
	Deadline     time.Time
	// HedgeDelay is how long the first attempt at a shard may take before a hedge is sent.
	HedgeDelay time.Duration
}

// Outcome is how an attempt at a shard ended.
type Outcome int

// The outcomes of an attempt.
const (
	// Success means that the attempt returned the complete result of the shard.
	Success Outcome = iota
	// NotSent means that no upstream received the attempt. It does not count towards Config.Attempts.
	NotSent
	// Failure is any other outcome.
	Failure
)

// Decision is the next step of a search.
type Decision int

// The decisions.
const (
	// Wait means to wait for more shard results.
	Wait Decision = iota
	// Finish means to respond with the shard results so far.
	Finish
	// Abort means to fail the search.
	Abort
)

type shard struct {
	sentAt time.Time
	// reportUntil is the time until which a hedge waits for the report of a relay, zero if no report is due.
	reportUntil time.Time
	// attempts counts the attempts so far. It is -1 once the shard has failed.
	attempts int
	pending  int
	answered bool
	// exhausted is set when no further attempt can be made.
	exhausted bool
}

// Search is the state of one search. It is not safe for concurrent use.
type Search struct {
	config Config
	shards []shard
	// answered counts the shards with a result, open those that have neither a result nor failed.
	answered int
	open     int
}

// New returns a search without any attempts.
func New(config Config) *Search {
	return &Search{config: config, shards: make([]shard, config.Shards), open: config.Shards}
}

// Sent records an attempt at a shard.
func (s *Search) Sent(now time.Time, index int) {
	sh := &s.shards[index]
	sh.sentAt = now
	sh.reportUntil = time.Time{}
	sh.attempts++
	sh.pending++
}

// AwaitReport delays the hedge of a shard until Reported or the given time, because the result of its latest attempt may
// be held back by a relay.
func (s *Search) AwaitReport(index int, until time.Time) { s.shards[index].reportUntil = until }

// Reported records that the relay of the latest attempt at a shard has reported everything that has ended.
func (s *Search) Reported(index int) { s.shards[index].reportUntil = time.Time{} }

// MarkExhausted records that no further attempt at the shard is possible.
func (s *Search) MarkExhausted(index int) {
	s.shards[index].exhausted = true
	s.failIfDone(index)
}

// Reopen records that another attempt at the shard is possible after all, unless the shard has failed for good.
func (s *Search) Reopen(index int) {
	if sh := &s.shards[index]; sh.attempts >= 0 {
		sh.exhausted = false
	}
}

// Ended records the outcome of an attempt and reports whether the shard should be retried at once.
func (s *Search) Ended(index int, outcome Outcome) (retry bool) {
	sh := &s.shards[index]
	sh.pending--
	if sh.answered {
		return false
	}
	if outcome == Success {
		sh.answered = true
		s.answered++
		s.open--
		return false
	}
	if outcome == NotSent && !sh.exhausted {
		sh.attempts--
		return true
	}
	if !sh.exhausted && sh.attempts < s.config.Attempts {
		return sh.pending == 0
	}
	s.failIfDone(index)
	return false
}

// failIfDone marks the shard as failed if it has no result and no pending attempt.
func (s *Search) failIfDone(index int) {
	sh := &s.shards[index]
	if sh.answered || sh.pending > 0 || sh.attempts < 0 {
		return
	}
	sh.exhausted = true
	sh.attempts = -1
	s.open--
}

// Answered reports whether the shard has returned its result.
func (s *Search) Answered(index int) bool { return s.shards[index].answered }

// AnsweredCount returns the number of shards that have returned their result.
func (s *Search) AnsweredCount() int { return s.answered }

// Sufficient reports whether enough shards have returned their result for a response.
func (s *Search) Sufficient() bool { return s.answered > 0 && s.answered >= s.config.MinShards }

// HedgesDue returns the shards whose latest attempt is older than the hedge delay, that wait for no report and that may
// have another attempt.
func (s *Search) HedgesDue(now time.Time) []int {
	var due []int
	for i := range s.shards {
		if s.canHedge(i) && !now.Before(s.hedgeAt(i)) {
			due = append(due, i)
		}
	}
	return due
}

// hedgeAt returns the time at which the shard is hedged unless it answers before.
func (s *Search) hedgeAt(index int) time.Time {
	sh := &s.shards[index]
	at := sh.sentAt.Add(s.config.HedgeDelay)
	if sh.reportUntil.After(at) {
		return sh.reportUntil
	}
	return at
}

func (s *Search) canHedge(index int) bool {
	sh := &s.shards[index]
	return !sh.answered && !sh.exhausted && sh.pending > 0 && sh.attempts < s.config.Attempts
}

// Decide returns the next step. Before the soft deadline it waits for every shard, since the value of a response grows
// with the square of its coverage. After it, a response is worth a small fraction whatever its coverage, so the search
// finishes as soon as MinShards is reached and frees the upstreams.
func (s *Search) Decide(now time.Time) Decision {
	sufficient := s.Sufficient()
	switch {
	case s.open == 0 && sufficient:
		return Finish
	case s.answered+s.open < max(1, s.config.MinShards):
		return Abort
	case !now.Before(s.config.SoftDeadline) && sufficient:
		return Finish
	case !now.Before(s.config.Deadline):
		return Abort
	}
	return Wait
}

// NextWakeup returns the time at which Decide and HedgesDue must be called again if no attempt ends before.
func (s *Search) NextWakeup(now time.Time) time.Time {
	wakeup := s.config.Deadline
	if now.Before(s.config.SoftDeadline) {
		wakeup = s.config.SoftDeadline
	}
	for i := range s.shards {
		if !s.canHedge(i) {
			continue
		}
		if hedgeAt := s.hedgeAt(i); hedgeAt.After(now) && hedgeAt.Before(wakeup) {
			wakeup = hedgeAt
		}
	}
	return wakeup
}
