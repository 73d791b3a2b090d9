package main

import (
	"crypto/rand"
	"encoding/hex"

	"github.com/spf13/cobra"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/controlstate"
	"github.com/wisteriamux/wisteriamux/internal/planner"
)

func shrinkCommand(shared *options) *cobra.Command {
	parent := parentCommand("shrink", "Drain many upstreams by a plan that keeps coverage and pauses when burn rises")
	parent.AddCommand(
		shrinkPlanCommand(shared, "plan", "Show which upstreams would leave in which order, and why others may not", false),
		shrinkPlanCommand(shared, "apply", "Start the plan", true),
		shrinkStatusCommand(shared),
		shrinkOrderCommand(shared, controlstate.OrderPause, "Start no further wave until resumed"),
		shrinkOrderCommand(shared, controlstate.OrderResume, "Continue a paused plan"),
		shrinkOrderCommand(shared, controlstate.OrderUndo, "Bring the upstreams of the plan back"),
	)
	return parent
}

func shrinkPlanCommand(shared *options, verb, short string, start bool) *cobra.Command {
	var args controlrpc.PlanArgs
	command := &cobra.Command{
		Use:     verb,
		Short:   short,
		Example: "  wmuxctl shrink " + verb + " --services 'clerk-*' --fraction 0.5",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if start && args.StartID == "" {
				args.StartID = randomID()
			}
			return shared.withControl(cmd, func(s session) error {
				reply, err := s.Plan(s.ctx, args)
				if err != nil {
					return err
				}
				return printPlan(shared, args.StartID, reply)
			})
		},
	}
	flags := command.Flags()
	flags.StringSliceVar(&args.Scope.Upstreams, "upstreams", nil, "names or patterns of upstreams; all if empty")
	flags.StringSliceVar(&args.Scope.Services, "services", nil, "names or patterns of services; all if empty")
	flags.StringVar(&args.Scope.FailureDomain, "failure-domain", "", "only upstreams of this failure domain")
	flags.Float64Var(&args.Scope.Fraction, "fraction", 0, "share of each service's upstreams to drain, 0 to 1; 0 drains all selected")
	flags.Float64Var(&args.Headroom, "headroom", planner.DefaultHeadroom, "multiple of the measured demand that the remaining slots must carry")
	flags.IntVar(&args.WaveSize, "wave-size", planner.DefaultWaveSize, "largest number of upstreams that drain at the same time")
	if start {
		flags.StringVar(&args.StartID, "id", "", "identifier of the plan; a resend with the same identifier starts nothing new")
	}
	return command
}

func randomID() string {
	var random [6]byte
	_, _ = rand.Read(random[:])
	return hex.EncodeToString(random[:])
}

// planOutput is a plan for programs.
type planOutput struct {
	ID string `json:"id,omitempty"`
	planner.Plan
	Demand planner.Demand `json:"demand"`
}

func printPlan(shared *options, id string, reply controlrpc.PlanReply) error {
	var rows [][]any
	for _, step := range reply.Plan.Steps {
		rows = append(rows, []any{step.Upstream, step.Wave, "drain", ""})
	}
	for _, refusal := range reply.Plan.Refusals {
		rows = append(rows, []any{refusal.Upstream, "-", refusal.Reason, refusal.Detail})
	}
	if id != "" && !shared.json {
		if err := shared.printLine(nil, "plan %s started: %d upstreams in %d waves, %d refused", id,
			len(reply.Plan.Steps), reply.Plan.Waves(), len(reply.Plan.Refusals)); err != nil {
			return err
		}
	}
	return shared.printTable(planOutput{ID: id, Plan: reply.Plan, Demand: reply.Demand}, "UPSTREAM|WAVE|DECISION|DETAIL", rows)
}

func shrinkStatusCommand(shared *options) *cobra.Command {
	return &cobra.Command{
		Use:     "status",
		Short:   "Show the newest plan",
		Example: "  wmuxctl shrink status",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return shared.withControl(cmd, func(s session) error {
				reply, err := s.Execution(s.ctx)
				if err != nil {
					return err
				}
				execution := reply.Execution
				rows := [][]any{{
					execution.ID, execution.Status, execution.Wave, execution.Plan.Waves(), len(execution.Plan.Steps), reply.Burn, execution.Reason,
				}}
				return shared.printTable(reply, "PLAN|STATUS|WAVE|WAVES|UPSTREAMS|BURN|REASON", rows)
			})
		},
	}
}

func shrinkOrderCommand(shared *options, order controlstate.PlanOrder, short string) *cobra.Command {
	return &cobra.Command{
		Use:     string(order) + " PLAN",
		Short:   short,
		Example: "  wmuxctl shrink " + string(order) + " 1f0c2a",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return shared.withControl(cmd, func(s session) error {
				command := controlstate.OrderPlan{ID: args[0], Order: order}
				if _, err := s.Propose(s.ctx, controlstate.Command{OrderPlan: &command}); err != nil {
					return err
				}
				return shared.printLine(command, "plan %s: %s", args[0], order)
			})
		},
	}
}
