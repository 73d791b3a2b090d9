package main

import (
	"crypto/rand"
	"encoding/hex"

	"github.com/spf13/cobra"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/controlstate"
	"github.com/wisteriamux/wisteriamux/internal/planner"
)

func shrinkCommand(opts *options) *cobra.Command {
	parent := parentCommand("shrink", "Drain many upstreams in waves by a plan that keeps all shards covered and pauses when the burn rate rises")
	parent.AddCommand(
		shrinkPlanCommand(opts, "plan", "Show which upstreams would be drained in which order, and why others cannot be drained", false),
		shrinkPlanCommand(opts, "apply", "Compute a plan and start it", true),
		shrinkStatusCommand(opts),
		shrinkOrderCommand(opts, controlstate.OrderPause, "Pause a plan: start no further wave until it is resumed"),
		shrinkOrderCommand(opts, controlstate.OrderResume, "Resume a paused plan"),
		shrinkOrderCommand(opts, controlstate.OrderUndo, "Undo a plan: undrain its upstreams"),
	)
	return parent
}

func shrinkPlanCommand(opts *options, name, short string, start bool) *cobra.Command {
	var args controlrpc.PlanArgs
	command := &cobra.Command{
		Use:     name,
		Short:   short,
		Example: "  wmuxctl shrink " + name + " --services 'clerk-*' --fraction 0.5",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if start && args.StartID == "" {
				args.StartID = randomID()
			}
			return opts.withControl(cmd, func(s session) error {
				reply, err := s.Plan(s.ctx, args)
				if err != nil {
					return err
				}
				return printPlan(opts, args.StartID, reply)
			})
		},
	}
	flags := command.Flags()
	flags.StringSliceVar(&args.Scope.Upstreams, "upstreams", nil, "names or patterns of upstreams; all if empty")
	flags.StringSliceVar(&args.Scope.Services, "services", nil, "names or patterns of services; all if empty")
	flags.StringVar(&args.Scope.FailureDomain, "failure-domain", "", "only upstreams of this failure domain")
	flags.Float64Var(&args.Scope.Fraction, "fraction", 0, "fraction of each service's upstreams to drain, 0 to 1; 0 drains all selected upstreams")
	flags.Float64Var(&args.Headroom, "headroom", planner.DefaultHeadroom, "multiple of the measured demand that the remaining slots must cover")
	flags.IntVar(&args.WaveSize, "wave-size", planner.DefaultWaveSize, "maximum number of upstreams that drain at the same time")
	if start {
		flags.StringVar(&args.StartID, "id", "", "plan ID; repeating the command with the same ID starts no second plan")
	}
	return command
}

func randomID() string {
	var random [6]byte
	_, _ = rand.Read(random[:])
	return hex.EncodeToString(random[:])
}

// planOutput is the JSON form of a plan.
type planOutput struct {
	ID string `json:"id,omitempty"`
	planner.Plan
	Demand planner.Demand `json:"demand"`
}

func printPlan(opts *options, id string, reply controlrpc.PlanReply) error {
	var rows [][]any
	for _, step := range reply.Plan.Steps {
		rows = append(rows, []any{step.Upstream, step.Wave, "drain", ""})
	}
	for _, refusal := range reply.Plan.Refusals {
		rows = append(rows, []any{refusal.Upstream, "-", refusal.Reason, refusal.Detail})
	}
	if id != "" && !opts.json {
		if err := opts.printLine(nil, "plan %s started: %d upstreams in %d waves, %d refused", id,
			len(reply.Plan.Steps), reply.Plan.Waves(), len(reply.Plan.Refusals)); err != nil {
			return err
		}
	}
	return opts.printTable(planOutput{ID: id, Plan: reply.Plan, Demand: reply.Demand}, "UPSTREAM|WAVE|DECISION|DETAIL", rows)
}

func shrinkStatusCommand(opts *options) *cobra.Command {
	return &cobra.Command{
		Use:     "status",
		Short:   "Show the state of the newest plan",
		Example: "  wmuxctl shrink status",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return opts.withControl(cmd, func(s session) error {
				reply, err := s.Execution(s.ctx)
				if err != nil {
					return err
				}
				execution := reply.Execution
				rows := [][]any{{
					execution.ID, execution.Status, execution.Wave, execution.Plan.Waves(), len(execution.Plan.Steps), reply.Burn, execution.Reason,
				}}
				return opts.printTable(reply, "PLAN|STATUS|WAVE|WAVES|UPSTREAMS|BURN|REASON", rows)
			})
		},
	}
}

func shrinkOrderCommand(opts *options, order controlstate.PlanOrder, short string) *cobra.Command {
	return &cobra.Command{
		Use:     string(order) + " PLAN",
		Short:   short,
		Example: "  wmuxctl shrink " + string(order) + " 1f0c2a",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return opts.withControl(cmd, func(s session) error {
				command := controlstate.OrderPlan{ID: args[0], Order: order}
				if _, err := s.Propose(s.ctx, controlstate.Command{OrderPlan: &command}); err != nil {
					return err
				}
				return opts.printLine(command, "plan %s: %s", args[0], order)
			})
		},
	}
}
