// Package gather decides about one search over many shards: when a shard is asked a second time, and whether to answer
// with the shards that are in or to wait for the others. It performs no I/O, and time is an argument.
package gather

import "time"

// Config is what a search is allowed.
type Config struct {
	Shards int
	// MinShards is the number of shards that an answer needs.
	MinShards int
	// Attempts is the number of upstreams that each shard may be asked at.
	Attempts int
	// SoftDeadline is until when an answer counts in full, End when the caller stops waiting.
	SoftDeadline time.Time
	Deadline     time.Time
	// HedgeDelay is how long the first attempt at a shard may take before a second one is sent.
	HedgeDelay time.Duration
}

// Outcome is how an attempt at a shard ended.
type Outcome int

// The outcomes of an attempt.
const (
	// Success is a complete part of the answer.
	Success Outcome = iota
	// NotSent means that no upstream saw the attempt, so that it does not count as one.
	NotSent
	// Failure is any other end of an attempt.
	Failure
)

// Decision is what to do with the search.
type Decision int

// The verdicts.
const (
	// Wait for more parts.
	Wait Decision = iota
	// Finish answers with the parts that are in.
	Finish
	// Abort answers with a failure.
	Abort
)

type shard struct {
	sentAt   time.Time
	attempts int
	pending  int
	in       bool
	// closed is set when no further attempt can be made.
	closed bool
}

// Search is the state of one search. It is not safe for concurrent use.
type Search struct {
	plan   Config
	shards []shard
	in     int
	open   int
}

// New returns a search with all shards open.
func New(plan Config) *Search {
	return &Search{plan: plan, shards: make([]shard, plan.Shards), open: plan.Shards}
}

// Sent records an attempt at a shard.
func (s *Search) Sent(now time.Time, at int) {
	sh := &s.shards[at]
	sh.sentAt = now
	sh.attempts++
	sh.pending++
}

// MarkExhausted records that no further attempt at the shard is possible.
func (s *Search) MarkExhausted(at int) {
	s.shards[at].closed = true
	s.settle(at)
}

// Ended records the end of an attempt and tells whether another one should be sent at once.
func (s *Search) Ended(at int, outcome Outcome) (again bool) {
	sh := &s.shards[at]
	sh.pending--
	if sh.in {
		return false
	}
	if outcome == Success {
		sh.in = true
		s.in++
		s.open--
		return false
	}
	if outcome == NotSent && !sh.closed {
		sh.attempts--
		return true
	}
	if !sh.closed && sh.attempts < s.plan.Attempts {
		return sh.pending == 0
	}
	s.settle(at)
	return false
}

// settle closes the shard when nothing is pending there.
func (s *Search) settle(at int) {
	sh := &s.shards[at]
	if sh.in || sh.pending > 0 || sh.attempts < 0 {
		return
	}
	sh.closed = true
	sh.attempts = -1
	s.open--
}

// Answered reports whether the part of the shard is in.
func (s *Search) Answered(at int) bool { return s.shards[at].in }

// AnsweredCount returns the number of parts that are in.
func (s *Search) AnsweredCount() int { return s.in }

// HedgesDue returns the shards whose first attempt has taken too long.
func (s *Search) HedgesDue(now time.Time) []int {
	var due []int
	for i := range s.shards {
		if s.hedgeable(i) && !now.Before(s.shards[i].sentAt.Add(s.plan.HedgeDelay)) {
			due = append(due, i)
		}
	}
	return due
}

func (s *Search) hedgeable(at int) bool {
	sh := &s.shards[at]
	return !sh.in && !sh.closed && sh.pending > 0 && sh.attempts < s.plan.Attempts
}

// Decide decides whether to answer. Until the goal every further part raises the worth of the answer, which grows with
// the square of the coverage. After the goal an answer is worth a small fraction whatever its coverage, so that it
// leaves as soon as the coverage suffices, and frees the upstreams.
func (s *Search) Decide(now time.Time) Decision {
	enough := s.in > 0 && s.in >= s.plan.MinShards
	switch {
	case s.open == 0 && enough:
		return Finish
	case s.in+s.open < max(1, s.plan.MinShards):
		return Abort
	case !now.Before(s.plan.SoftDeadline) && enough:
		return Finish
	case !now.Before(s.plan.Deadline):
		return Abort
	}
	return Wait
}

// NextWakeup returns when the search must be judged again at the latest.
func (s *Search) NextWakeup(now time.Time) time.Time {
	wake := s.plan.Deadline
	if now.Before(s.plan.SoftDeadline) {
		wake = s.plan.SoftDeadline
	}
	for i := range s.shards {
		if !s.hedgeable(i) {
			continue
		}
		if at := s.shards[i].sentAt.Add(s.plan.HedgeDelay); at.After(now) && at.Before(wake) {
			wake = at
		}
	}
	return wake
}
