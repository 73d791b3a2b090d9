package controlrpc

import (
	"context"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/planner"
)

// PlanArgs asks for a drain plan. With an identifier the plan is started as well.
type PlanArgs struct {
	Scope    planner.Scope
	Headroom float64
	WaveSize int
	// StartID starts the plan under this identifier; empty only makes the plan.
	StartID string
}

// PlanReply carries the plan.
type PlanReply struct {
	Fault *fault.Wire
	Plan  planner.Plan
	// Demand is the measured demand that the plan is based on.
	Demand planner.Demand
}

// ExecutionArgs asks for the newest drain execution.
type ExecutionArgs struct{}

// ExecutionReply carries the execution and the burn rate that steers it.
type ExecutionReply struct {
	Fault     *fault.Wire
	Execution planner.Execution
	Burn      float64
}

func (r PlanReply) failure() *fault.Wire { return r.Fault }

func (r ExecutionReply) failure() *fault.Wire { return r.Fault }

// Plan makes a drain plan, and starts it when the arguments name an identifier.
func (c *Client) Plan(ctx context.Context, args PlanArgs) (PlanReply, error) {
	return call[PlanReply](ctx, c, "Plan", args)
}

// Execution returns the newest drain execution.
func (c *Client) Execution(ctx context.Context) (ExecutionReply, error) {
	return call[ExecutionReply](ctx, c, "Execution", ExecutionArgs{})
}
