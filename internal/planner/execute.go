package planner

import (
	"fmt"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/model"
)

// Status is the state of an execution.
type Status string

// The states of an execution.
const (
	StatusRunning   Status = "running"
	StatusPaused    Status = "paused"
	StatusReversing Status = "reversing"
	StatusDone      Status = "done"
	StatusUndone    Status = "undone"
)

// Execution is a plan in progress. It is part of the replicated state, so that a new leader continues it.
type Execution struct {
	ID     string `json:"id"`
	Plan   Plan   `json:"plan"`
	Wave   int    `json:"wave"`
	Status Status `json:"status"`
	// Reason says why the execution is paused or reversing.
	Reason string `json:"reason,omitempty"`
	// PausedByBurn is set when the pause may end by itself.
	PausedByBurn bool `json:"paused_by_burn,omitempty"`
	// SinceMillis is the command time of the last change of Status.
	SinceMillis int64 `json:"since_ms"`
}

// Limits steer an execution by the service-level burn rate.
type Limits struct {
	// PauseBurn is the burn rate above which no further wave starts.
	PauseBurn float64
	// ResumeBurn is the burn rate below which a pause ends. The gap to PauseBurn prevents a change at every sample.
	ResumeBurn float64
	// ReverseAfter is how long a pause by burn lasts before capacity is brought back.
	ReverseAfter time.Duration
}

// DefaultLimits stop a drain that would spend the error budget faster than twice its rate.
func DefaultLimits() Limits {
	return Limits{PauseBurn: 2, ResumeBurn: 1, ReverseAfter: 30 * time.Second}
}

// Action is one transition of an upstream.
type Action struct {
	Upstream string
	State    model.UpstreamState
}

// Next returns the execution after one evaluation and the transitions to propose. Transitions that are not confirmed
// by the view are returned again at the next evaluation; proposing them twice has no effect.
func Next(current Execution, view model.View, burn float64, limits Limits, nowMillis int64) (Execution, []Action) {
	next := steer(current, burn, limits, nowMillis)
	switch next.Status {
	case StatusRunning:
		return advance(next, view, nowMillis)
	case StatusReversing:
		return reverse(next, view, nowMillis)
	default:
		return next, nil
	}
}

// steer pauses, resumes or reverses by the burn rate.
func steer(e Execution, burn float64, limits Limits, nowMillis int64) Execution {
	switch {
	case e.Status == StatusRunning && burn > limits.PauseBurn:
		e = e.enter(StatusPaused, nowMillis, fmt.Sprintf("burn rate %.2f is above %.2f", burn, limits.PauseBurn))
		e.PausedByBurn = true
	case e.Status == StatusPaused && e.PausedByBurn && burn < limits.ResumeBurn:
		e = e.enter(StatusRunning, nowMillis, "")
	case e.Status == StatusPaused && e.PausedByBurn && nowMillis-e.SinceMillis >= limits.ReverseAfter.Milliseconds():
		e = e.enter(StatusReversing, nowMillis, fmt.Sprintf("burn rate stayed above %.2f for %s", limits.ResumeBurn, limits.ReverseAfter))
	}
	return e
}

func (e Execution) enter(status Status, nowMillis int64, reason string) Execution {
	e.Status = status
	e.Reason = reason
	e.PausedByBurn = false
	e.SinceMillis = nowMillis
	return e
}

// advance drains the current wave and moves on once all of it has left. A wave is checked against the view again
// before it starts, because replicas may have been lost since the plan was made.
func advance(e Execution, view model.View, nowMillis int64) (Execution, []Action) {
	upstreams := upstreamsByName(view)
	var actions []Action
	pending := false
	for _, step := range e.Plan.Steps {
		if step.Wave != e.Wave {
			continue
		}
		switch upstreams[step.Upstream].State {
		case model.UpstreamReady:
			if reason := CoverageLossReason(view, upstreams[step.Upstream]); reason != "" {
				return e.enter(StatusPaused, nowMillis, reason), nil
			}
			actions = append(actions, Action{step.Upstream, model.UpstreamDraining})
			pending = true
		case model.UpstreamDraining:
			pending = true
		}
	}
	if pending {
		return e, actions
	}
	e.Wave++
	if e.Wave >= e.Plan.Waves() {
		return e.enter(StatusDone, nowMillis, ""), nil
	}
	return e, nil
}

func upstreamsByName(view model.View) map[string]model.Upstream {
	upstreams := make(map[string]model.Upstream, len(view.Upstreams))
	for _, upstream := range view.Upstreams {
		upstreams[upstream.Name] = upstream
	}
	return upstreams
}

// CoverageLossReason says why draining the upstream now would end the coverage of its shard, or returns "" if it would not or
// the rule of its service permits it.
func CoverageLossReason(view model.View, leaving model.Upstream) string {
	if !view.Config.RuleFor(leaving.Service).NeverLoseCoverage {
		return ""
	}
	for _, other := range view.Upstreams {
		if other.Name != leaving.Name && other.State == model.UpstreamReady && serves(other, leaving) {
			return ""
		}
	}
	return fmt.Sprintf("%s is the last ready upstream of shard %d of %s", leaving.Name, leaving.Shard, leaving.Service)
}

// reverse brings every upstream of the plan back that is still announced as draining or drained.
func reverse(e Execution, view model.View, nowMillis int64) (Execution, []Action) {
	upstreams := upstreamsByName(view)
	var actions []Action
	for _, step := range e.Plan.Steps {
		state := upstreams[step.Upstream].State
		if state == model.UpstreamDraining || state == model.UpstreamDrained {
			actions = append(actions, Action{step.Upstream, model.UpstreamReady})
		}
	}
	if len(actions) == 0 {
		return e.enter(StatusUndone, nowMillis, e.Reason), nil
	}
	return e, actions
}

// Pause stops a running execution on an operator's order; it does not resume by itself.
func Pause(e Execution, nowMillis int64) Execution {
	if e.Status != StatusRunning && e.Status != StatusPaused {
		return e
	}
	return e.enter(StatusPaused, nowMillis, "paused by an operator")
}

// Resume continues a paused execution.
func Resume(e Execution, nowMillis int64) Execution {
	if e.Status != StatusPaused {
		return e
	}
	return e.enter(StatusRunning, nowMillis, "")
}

// Undo brings the capacity of an execution back.
func Undo(e Execution, nowMillis int64) Execution {
	if e.Status == StatusUndone {
		return e
	}
	return e.enter(StatusReversing, nowMillis, "undone by an operator")
}
