package controlrpc

import (
	"context"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/planner"
)

// PlanArgs asks for a drain plan, which is also started if StartID is set.
type PlanArgs struct {
	Scope    planner.Scope
	Headroom float64
	WaveSize int
	// StartID is the ID of the plan to start, or empty to only compute the plan.
	StartID string
}

// PlanReply carries the plan.
type PlanReply struct {
	Fault *fault.WireError
	Plan  planner.Plan
	// Demand is the measured demand on which the plan is based.
	Demand planner.Demand
}

// ExecutionArgs asks for the newest drain execution.
type ExecutionArgs struct{}

// ExecutionReply carries the execution and the current burn rate, which can pause or undo it.
type ExecutionReply struct {
	Fault     *fault.WireError
	Execution planner.Execution
	Burn      float64
}

func (r PlanReply) failure() *fault.WireError { return r.Fault }

func (r ExecutionReply) failure() *fault.WireError { return r.Fault }

// Plan computes a drain plan, and starts it if the arguments contain a plan ID.
func (c *Client) Plan(ctx context.Context, args PlanArgs) (PlanReply, error) {
	return call[PlanReply](ctx, c, "Plan", args)
}

// Execution returns the newest drain execution.
func (c *Client) Execution(ctx context.Context) (ExecutionReply, error) {
	return call[ExecutionReply](ctx, c, "Execution", ExecutionArgs{})
}
