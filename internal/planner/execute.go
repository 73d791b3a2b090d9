package planner

import (
	"fmt"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/model"
)

// Status is the status of an execution.
type Status string

// The statuses of an execution.
const (
	StatusRunning   Status = "running"
	StatusPaused    Status = "paused"
	StatusReversing Status = "reversing"
	StatusDone      Status = "done"
	StatusUndone    Status = "undone"
)

// Execution is the execution of a plan. It is part of the replicated state, so that a new leader continues it.
type Execution struct {
	ID     string `json:"id"`
	Plan   Plan   `json:"plan"`
	Wave   int    `json:"wave"`
	Status Status `json:"status"`
	// Reason states why the execution is paused, reversing or undone.
	Reason string `json:"reason,omitempty"`
	// PausedByBurn is set if the burn rate caused the pause, which then ends when the rate falls.
	PausedByBurn bool `json:"paused_by_burn,omitempty"`
	// SinceMillis is the time of the command that last changed Status, in Unix milliseconds.
	SinceMillis int64 `json:"since_ms"`
}

// Limits control an execution by the burn rate of the service-level objectives.
type Limits struct {
	// PauseBurnRate is the burn rate above which the execution is paused.
	PauseBurnRate float64
	// ResumeBurnRate is the burn rate below which it resumes. It is lower than PauseBurnRate (hysteresis), so that the
	// status does not change at every sample.
	ResumeBurnRate float64
	// ReverseAfter is how long the execution stays paused by the burn rate before the drained upstreams are made ready
	// again.
	ReverseAfter time.Duration
}

// DefaultLimits returns limits that pause a drain while the error budget is spent at more than twice the sustainable
// rate.
func DefaultLimits() Limits {
	return Limits{PauseBurnRate: 2, ResumeBurnRate: 1, ReverseAfter: 30 * time.Second}
}

// Action is a state transition of an upstream.
type Action struct {
	Upstream string
	State    model.UpstreamState
}

// Next evaluates the execution once. It returns the new execution and the transitions to propose. A transition that the
// view does not show yet is returned again by the next evaluation; proposing it twice has no effect.
func Next(current Execution, view model.View, burnRate float64, limits Limits, nowMillis int64) (Execution, []Action) {
	next := applyBurnRate(current, burnRate, limits, nowMillis)
	switch next.Status {
	case StatusRunning:
		return advance(next, view, nowMillis)
	case StatusReversing:
		return reverse(next, view, nowMillis)
	default:
		return next, nil
	}
}

// applyBurnRate pauses, resumes or reverses the execution according to the burn rate.
func applyBurnRate(e Execution, burnRate float64, limits Limits, nowMillis int64) Execution {
	switch {
	case e.Status == StatusRunning && burnRate > limits.PauseBurnRate:
		e = e.withStatus(StatusPaused, nowMillis, fmt.Sprintf("burn rate %.2f is above %.2f", burnRate, limits.PauseBurnRate))
		e.PausedByBurn = true
	case e.Status == StatusPaused && e.PausedByBurn && burnRate < limits.ResumeBurnRate:
		e = e.withStatus(StatusRunning, nowMillis, "")
	case e.Status == StatusPaused && e.PausedByBurn && nowMillis-e.SinceMillis >= limits.ReverseAfter.Milliseconds():
		e = e.withStatus(StatusReversing, nowMillis, fmt.Sprintf("burn rate stayed above %.2f for %s", limits.ResumeBurnRate, limits.ReverseAfter))
	}
	return e
}

func (e Execution) withStatus(status Status, nowMillis int64, reason string) Execution {
	e.Status = status
	e.Reason = reason
	e.PausedByBurn = false
	e.SinceMillis = nowMillis
	return e
}

// advance drains the current wave and moves on to the next one once all of its upstreams are drained. Each upstream is
// checked against the view again before it drains, because replicas may have been lost since the plan was made.
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
				return e.withStatus(StatusPaused, nowMillis, reason), nil
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
		return e.withStatus(StatusDone, nowMillis, ""), nil
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

// CoverageLossReason returns why draining the upstream now would leave its shard without a ready upstream. It returns
// "" if it would not, or if the rule of the service allows it.
func CoverageLossReason(view model.View, draining model.Upstream) string {
	if !view.Config.RuleFor(draining.Service).NeverLoseCoverage {
		return ""
	}
	for _, other := range view.Upstreams {
		if other.Name != draining.Name && other.State == model.UpstreamReady && canReplace(other, draining) {
			return ""
		}
	}
	return fmt.Sprintf("%s is the last ready upstream of shard %d of %s", draining.Name, draining.Shard, draining.Service)
}

// reverse makes every upstream of the plan ready again that is draining or drained.
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
		return e.withStatus(StatusUndone, nowMillis, e.Reason), nil
	}
	return e, actions
}

// Pause pauses an execution on behalf of an operator. Only Resume continues it.
func Pause(e Execution, nowMillis int64) Execution {
	if e.Status != StatusRunning && e.Status != StatusPaused {
		return e
	}
	return e.withStatus(StatusPaused, nowMillis, "paused by an operator")
}

// Resume continues a paused execution.
func Resume(e Execution, nowMillis int64) Execution {
	if e.Status != StatusPaused {
		return e
	}
	return e.withStatus(StatusRunning, nowMillis, "")
}

// Undo reverses an execution on behalf of an operator, even after it is done.
func Undo(e Execution, nowMillis int64) Execution {
	if e.Status == StatusUndone {
		return e
	}
	return e.withStatus(StatusReversing, nowMillis, "undone by an operator")
}
