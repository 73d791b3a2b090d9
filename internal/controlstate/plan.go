package controlstate

import (
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/planner"
)

// StartPlan starts the execution of a drain plan. The ID makes resends idempotent.
type StartPlan struct {
	ID   string
	Plan planner.Plan
}

// PlanOrder is an operator's command for the current drain execution.
type PlanOrder string

// The commands of an operator.
const (
	OrderPause  PlanOrder = "pause"
	OrderResume PlanOrder = "resume"
	OrderUndo   PlanOrder = "undo"
)

// OrderPlan pauses, resumes or undoes the current drain execution.
type OrderPlan struct {
	ID    string
	Order PlanOrder
}

// AdvancePlan replaces the current execution with the next state that the leader computed. It is refused if the
// execution has changed since the leader read it, so that it never overwrites an operator's command.
type AdvancePlan struct {
	FromWave   int
	FromStatus planner.Status
	FromSince  int64
	Next       planner.Execution
}

// Execution returns the newest drain execution.
func (s *State) Execution() (planner.Execution, bool) {
	if s.execution == nil {
		return planner.Execution{}, false
	}
	return *s.execution, true
}

// finished reports whether an execution with the status has ended, so that another plan may start.
func finished(status planner.Status) bool {
	return status == planner.StatusDone || status == planner.StatusUndone
}

func (s *State) startPlan(start StartPlan) Result {
	if start.ID == "" {
		return s.refuse(fault.New(fault.BadRequest, "plan.start", "the drain plan has no ID"))
	}
	if s.execution != nil && s.execution.ID == start.ID {
		return s.currentResult()
	}
	if s.execution != nil && !finished(s.execution.Status) {
		return s.refuse(fault.New(fault.Conflict, "plan.start", "drain plan %q is still %s", s.execution.ID, s.execution.Status))
	}
	s.execution = &planner.Execution{ID: start.ID, Plan: start.Plan, Status: planner.StatusRunning, SinceMillis: s.nowMillis}
	return s.currentResult()
}

func (s *State) orderPlan(order OrderPlan) Result {
	if s.execution == nil || s.execution.ID != order.ID {
		return s.refuse(fault.New(fault.NotFound, "plan.order", "drain plan %q is not the current one", order.ID))
	}
	switch order.Order {
	case OrderPause:
		*s.execution = planner.Pause(*s.execution, s.nowMillis)
	case OrderResume:
		*s.execution = planner.Resume(*s.execution, s.nowMillis)
	case OrderUndo:
		*s.execution = planner.Undo(*s.execution, s.nowMillis)
	default:
		return s.refuse(fault.New(fault.BadRequest, "plan.order", "unknown command %q for a drain plan", order.Order))
	}
	return s.currentResult()
}

func (s *State) advancePlan(advance AdvancePlan) Result {
	current := s.execution
	if current == nil || current.ID != advance.Next.ID || current.Wave != advance.FromWave ||
		current.Status != advance.FromStatus || current.SinceMillis != advance.FromSince {
		return s.refuse(fault.New(fault.Conflict, "plan.advance", "the drain execution has changed since it was read"))
	}
	next := advance.Next
	// The plan itself does not change during its execution.
	next.Plan = current.Plan
	s.execution = &next
	return s.currentResult()
}
