package control

import (
	"context"
	"sync"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/controlstate"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/planner"
)

// loadTable holds the latest load report of each entry VM. It is not replicated: a new leader receives a report from
// every VM within one renewal interval.
type loadTable struct {
	// mu guards loads.
	mu    sync.Mutex
	loads map[string]loadSample
}

type loadSample struct {
	controlrpc.Load
	at time.Time
}

func newLoadTable() *loadTable { return &loadTable{loads: map[string]loadSample{}} }

func (t *loadTable) put(id string, load controlrpc.Load, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.loads[id] = loadSample{Load: load, at: now}
}

// aggregate returns the highest burn rate and the total demand of the VMs that reported within the last LeaseDuration.
// It drops older reports.
func (t *loadTable) aggregate(now time.Time) (float64, planner.Demand) {
	t.mu.Lock()
	defer t.mu.Unlock()
	burn, demand := 0.0, planner.Demand{}
	for id, load := range t.loads {
		if now.Sub(load.at) > LeaseDuration {
			delete(t.loads, id)
			continue
		}
		burn = max(burn, load.Burn)
		for service, busy := range load.Demand {
			demand[service] += busy
		}
	}
	return burn, demand
}

// Plan computes a drain plan from the current view and the measured demand, and starts it if a plan ID is given.
func (s *Service) Plan(args controlrpc.PlanArgs, reply *controlrpc.PlanReply) error {
	reply.Fault = fault.ToWire(s.plan(args, reply))
	return nil
}

func (s *Service) plan(args controlrpc.PlanArgs, reply *controlrpc.PlanReply) error {
	if err := s.confirmLeadership(); err != nil {
		return err
	}
	if args.Headroom < 1 || args.WaveSize < 1 || args.Scope.Fraction < 0 || args.Scope.Fraction > 1 {
		return fault.New(fault.BadRequest, "control.plan", "headroom and wave size must be at least 1, fraction must be from 0 to 1")
	}
	_, reply.Demand = s.loads.aggregate(s.now())
	policy := planner.Policy{Headroom: args.Headroom, WaveSize: args.WaveSize}
	reply.Plan = planner.PlanDrain(*s.machine.View(), args.Scope, reply.Demand, policy)
	if args.StartID == "" {
		return nil
	}
	if len(reply.Plan.Steps) == 0 {
		return fault.New(fault.Conflict, "control.plan", "the plan drains no upstream; %d were refused", len(reply.Plan.Refusals))
	}
	start := controlstate.StartPlan{ID: args.StartID, Plan: reply.Plan}
	result, err := s.propose(context.Background(), controlstate.Command{StartPlan: &start})
	if err != nil {
		return err
	}
	return result.Fault.AsError()
}

// Execution returns the newest drain execution.
func (s *Service) Execution(_ controlrpc.ExecutionArgs, reply *controlrpc.ExecutionReply) error {
	if err := s.confirmLeadership(); err != nil {
		reply.Fault = fault.ToWire(err)
		return nil
	}
	execution, ok := s.machine.Execution()
	if !ok {
		reply.Fault = fault.ToWire(fault.New(fault.NotFound, "control.execution", "no drain plan has been started"))
		return nil
	}
	reply.Execution = execution
	reply.Burn, _ = s.loads.aggregate(s.now())
	return nil
}

// advancePlan evaluates the current drain execution once and proposes the resulting upstream transitions one by one.
// The state machine refuses a transition that would remove the last replica of a shard, so the decision is safe even if
// this leader evaluated an outdated view.
func (s *Service) advancePlan(ctx context.Context) {
	execution, ok := s.machine.Execution()
	if !ok {
		return
	}
	burn, _ := s.loads.aggregate(s.now())
	next, actions := planner.Next(execution, *s.machine.View(), burn, planner.DefaultLimits(), s.now().UnixMilli())
	if next.Status != execution.Status || next.Wave != execution.Wave {
		advance := controlstate.AdvancePlan{
			FromWave: execution.Wave, FromStatus: execution.Status, FromSince: execution.SinceMillis, Next: next,
		}
		if !s.tryPropose(ctx, controlstate.Command{AdvancePlan: &advance}) {
			return
		}
		s.log.Info("drain plan advanced", "plan", next.ID, "wave", next.Wave, "status", next.Status, "reason", next.Reason, "burn", burn)
	}
	for _, action := range actions {
		set := controlstate.SetUpstreamState{Name: action.Upstream, State: action.State}
		s.tryPropose(ctx, controlstate.Command{SetUpstreamState: &set})
	}
}

// tryPropose proposes a step of the drain plan and reports whether it was accepted. A refusal or failure is logged, and
// the step is evaluated again at the next tick.
func (s *Service) tryPropose(ctx context.Context, command controlstate.Command) bool {
	result, err := s.propose(ctx, command)
	if err == nil {
		err = result.Fault.AsError()
	}
	if err != nil {
		s.log.Warn("drain plan step not accepted", "code", fault.CodeOf(err), "error", err)
	}
	return err == nil
}
