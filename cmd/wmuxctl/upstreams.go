package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/wisteriamux/wisteriamux/internal/controlstate"
	"github.com/wisteriamux/wisteriamux/internal/model"
)

func upstreamsCommand(opts *options) *cobra.Command {
	command := viewCommand(opts, func(view model.View) error {
		var rows [][]any
		for _, u := range view.Upstreams {
			rows = append(rows, []any{
				u.Name, u.Service, fmt.Sprintf("%d/%d", u.Shard, u.ShardCount), u.FailureDomain,
				fmt.Sprintf("%d-%d", u.MinVersion, u.MaxVersion), u.Slots, u.State,
			})
		}
		return opts.printTable(view.Upstreams, "UPSTREAM|SERVICE|SHARD|FAILURE DOMAIN|VERSIONS|SLOTS|STATE", rows)
	})
	command.Use = "upstreams"
	command.Short = "List the announced upstreams"
	command.Example = "  wmuxctl upstreams --json"
	return command
}

func drainCommand(opts *options) *cobra.Command {
	command := parentCommand("drain", "Drain an upstream")
	command.AddCommand(upstreamStateCommand(opts, "drain",
		"Send an upstream no new requests and let its requests in flight finish", model.UpstreamDraining))
	return command
}

func undrainCommand(opts *options) *cobra.Command {
	command := parentCommand("undrain", "Undrain an upstream")
	command.AddCommand(upstreamStateCommand(opts, "undrain",
		"Send requests to a draining or drained upstream again", model.UpstreamReady))
	return command
}

// upstreamChange is the JSON form of a change of an upstream's state.
type upstreamChange struct {
	Upstream string              `json:"upstream"`
	State    model.UpstreamState `json:"state"`
	Revision uint64              `json:"revision"`
	InForce  bool                `json:"in_force"`
}

func upstreamStateCommand(opts *options, parentName, short string, state model.UpstreamState) *cobra.Command {
	var wait bool
	command := &cobra.Command{
		Use:     "upstream NAME",
		Short:   short,
		Example: "  wmuxctl " + parentName + " upstream clerk-01-0 --wait",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return opts.withControl(cmd, func(s session) error {
				set := controlstate.SetUpstreamState{Name: args[0], State: state}
				result, err := s.Propose(s.ctx, controlstate.Command{SetUpstreamState: &set})
				if err != nil {
					return err
				}
				if wait {
					if err := waitInForce(cmd.Context(), s, result.Revision); err != nil {
						return err
					}
				}
				output := upstreamChange{Upstream: args[0], State: state, Revision: result.Revision, InForce: wait}
				return opts.printLine(output, "%s is %s at revision %d", args[0], state, result.Revision)
			})
		},
	}
	command.Flags().BoolVar(&wait, "wait", false, "wait until the change is in force on every entry VM")
	return command
}
