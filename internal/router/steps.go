package router

import (
	"time"

	"github.com/wisteriamux/wisteriamux/internal/gather"
)

// Step is a step of a search or of an attempt at a relay.
type Step string

// The steps. Those of a search are measured from its arrival.
const (
	// StepAdmitted is the acceptance of a search, its quota included.
	StepAdmitted Step = "admitted"
	// StepSent is when the first attempts at all shards were handed to connections and relays.
	StepSent Step = "sent"
	// StepFirstPart is the arrival of the first part, and StepSufficient that of enough parts for a response.
	StepFirstPart  Step = "first_part"
	StepSufficient Step = "sufficient"
	// StepEnded is the end of a search, with or without a response.
	StepEnded Step = "ended"
	// StepRelayStart is the time from the arrival of a batch at a relay to the start of an attempt of it, StepRelayAttempt to its end.
	StepRelayStart   Step = "relay_start"
	StepRelayAttempt Step = "relay_attempt"
	// StepRelayOverhead is the part of the time until the first report of a batch that the relay added to the attempts in it.
	StepRelayOverhead Step = "relay_overhead"
)

// StepObserver records how long a step of a request took. The route is empty for steps at relays. It may be called concurrently.
type StepObserver func(route string, step Step, took time.Duration)

// observeRelayStep records a step at a relay.
func (r *Router) observeRelayStep(step Step, took time.Duration) {
	if r.config.ObserveStep != nil {
		r.config.ObserveStep("", step, took)
	}
}

// searchSteps records the steps of one search.
type searchSteps struct {
	route                    string
	received                 time.Time
	observe                  StepObserver
	hasPart, hasEnoughShards bool
}

func (s *searchSteps) reached(step Step) {
	if s.observe != nil {
		s.observe(s.route, step, time.Since(s.received))
	}
}

// observeParts records the arrival of the first part and of enough parts.
func (s *searchSteps) observeParts(state *gather.Search) {
	if !s.hasPart && state.AnsweredCount() > 0 {
		s.hasPart = true
		s.reached(StepFirstPart)
	}
	if !s.hasEnoughShards && state.Sufficient() {
		s.hasEnoughShards = true
		s.reached(StepSufficient)
	}
}
