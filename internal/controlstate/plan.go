package controlstate

import (
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/planner"
)

// StartPlan begins the execution of a drain plan. The identifier makes a resend idempotent.
type StartPlan struct {
	ID   string
	Plan planner.Plan
}

// PlanOrder is an operator's order on the current execution.
type PlanOrder string

// The orders.
const (
	OrderPause  PlanOrder = "pause"
	OrderResume PlanOrder = "resume"
	OrderUndo   PlanOrder = "undo"
)

// OrderPlan pauses, resumes or undoes the current execution.
type OrderPlan struct {
	ID    string
	Order PlanOrder
}

// AdvancePlan is the leader's step of the current execution. It is refused if the execution has changed since the
// leader read it, so that an operator's order is never overwritten.
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

func finished(status planner.Status) bool {
	return status == planner.StatusDone || status == planner.StatusUndone
}

func (s *State) startPlan(start StartPlan) Result {
	if start.ID == "" {
		return s.refuse(fault.New(fault.BadRequest, "plan.start", "the plan has no identifier"))
	}
	if s.execution != nil && s.execution.ID == start.ID {
		return s.unchanged()
	}
	if s.execution != nil && !finished(s.execution.Status) {
		return s.refuse(fault.New(fault.Conflict, "plan.start", "plan %q is %s", s.execution.ID, s.execution.Status))
	}
	s.execution = &planner.Execution{ID: start.ID, Plan: start.Plan, Status: planner.StatusRunning, SinceMillis: s.nowMillis}
	return s.unchanged()
}

func (s *State) orderPlan(order OrderPlan) Result {
	if s.execution == nil || s.execution.ID != order.ID {
		return s.refuse(fault.New(fault.NotFound, "plan.order", "plan %q is not the current one", order.ID))
	}
	switch order.Order {
	case OrderPause:
		*s.execution = planner.Pause(*s.execution, s.nowMillis)
	case OrderResume:
		*s.execution = planner.Resume(*s.execution, s.nowMillis)
	case OrderUndo:
		*s.execution = planner.Undo(*s.execution, s.nowMillis)
	default:
		return s.refuse(fault.New(fault.BadRequest, "plan.order", "order %q is unknown", order.Order))
	}
	return s.unchanged()
}

func (s *State) advancePlan(advance AdvancePlan) Result {
	current := s.execution
	if current == nil || current.ID != advance.Next.ID || current.Wave != advance.FromWave ||
		current.Status != advance.FromStatus || current.SinceMillis != advance.FromSince {
		return s.refuse(fault.New(fault.Conflict, "plan.advance", "the execution has changed"))
	}
	next := advance.Next
	// The plan itself never changes once it runs.
	next.Plan = current.Plan
	s.execution = &next
	return s.unchanged()
}
