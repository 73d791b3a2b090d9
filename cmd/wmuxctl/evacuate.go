package main

import (
	"context"

	"github.com/spf13/cobra"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/controlstate"
	"github.com/wisteriamux/wisteriamux/internal/router"
)

func evacuateCommand(opts *options) *cobra.Command {
	command := parentCommand("evacuate", "Keep requests away from the upstreams of a failure domain, and show where this is in force")
	command.AddCommand(evacuateSetCommand(opts, true), evacuateSetCommand(opts, false), evacuateListCommand(opts))
	return command
}

// evacuationChange is the JSON form of the result of begin and finish.
type evacuationChange struct {
	FailureDomain string `json:"failure_domain"`
	Evacuated     bool   `json:"evacuated"`
}

func evacuateSetCommand(opts *options, active bool) *cobra.Command {
	use, short, text := "begin DOMAIN", "Send no more requests to the upstreams of a failure domain", "evacuation of %s is acknowledged"
	if !active {
		use, short, text = "finish DOMAIN", "Send requests to the upstreams of a failure domain again", "end of the evacuation of %s is acknowledged"
	}
	return &cobra.Command{
		Use:   use,
		Short: short,
		Long: short + ". The command can safely be repeated. Entry VMs follow with their next\n" +
			"reply from the control group; \"wmuxctl evacuate list\" shows which of them have.",
		Example: "  wmuxctl evacuate " + use,
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			domain := args[0]
			if err := controlstate.CheckEvacuation(domain); err != nil {
				return err
			}
			return opts.withControl(cmd, func(s session) error {
				if err := s.Evacuate(s.ctx, domain, active); err != nil {
					return err
				}
				return opts.printLine(evacuationChange{FailureDomain: domain, Evacuated: active}, text, domain)
			})
		},
	}
}

// evacuationOutput is one evacuated failure domain as one entry VM, or the control group, knows it.
type evacuationOutput struct {
	router.EvacuationInForce
	KnownAt string `json:"known_at"`
}

func evacuateListCommand(opts *options) *cobra.Command {
	var routers []string
	command := &cobra.Command{
		Use:   "list",
		Short: "List the evacuated failure domains",
		Long: "List the evacuated failure domains. With --router, also list those that the named entry VMs know: an evacuation is in\n" +
			"force at an entry VM once it is listed there. UPSTREAMS is the number of registered upstreams in the failure domain.",
		Example: `  wmuxctl evacuate list
  wmuxctl evacuate list --router http://10.1.0.9:9464,http://10.1.0.10:9464`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			all := []evacuationOutput{}
			if err := opts.withControl(cmd, func(s session) error {
				reply, err := s.Watch(s.ctx, controlrpc.WatchArgs{})
				all = append(all, evacuationsOf(reply)...)
				return err
			}); err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(cmd.Context(), opts.timeout)
			defer cancel()
			for _, address := range routers {
				known, err := fetchList[router.EvacuationInForce](ctx, address, "/evacuations")
				if err != nil {
					return err
				}
				for _, evacuation := range known {
					all = append(all, evacuationOutput{evacuation, address})
				}
			}
			var rows [][]any
			for _, e := range all {
				rows = append(rows, []any{e.FailureDomain, e.Upstreams, e.Revision, e.KnownAt})
			}
			return opts.printTable(all, "DOMAIN|UPSTREAMS|REVISION|KNOWN AT", rows)
		},
	}
	command.Flags().StringSliceVar(&routers, "router", nil, "URLs of the metrics addresses of entry VMs")
	return command
}

// evacuationsOf returns the evacuated failure domains that the control group knows.
func evacuationsOf(reply controlrpc.WatchReply) []evacuationOutput {
	var all []evacuationOutput
	for _, domain := range reply.Evacuated {
		evacuation := evacuationOutput{router.EvacuationInForce{FailureDomain: domain, Revision: reply.Revision}, "control group"}
		for _, i := range reply.Instances.Changed {
			if i.FailureDomain == domain {
				evacuation.Upstreams++
			}
		}
		all = append(all, evacuation)
	}
	return all
}
