package main

import (
	"context"
	"math"

	"github.com/spf13/cobra"

	"github.com/wisteriamux/wisteriamux/internal/router"
)

// vmSlowStart is an upstream below its full share at one entry VM.
type vmSlowStart struct {
	Router string `json:"router"`
	router.SlowStart
}

func paceCommand(opts *options) *cobra.Command {
	var routers []string
	command := &cobra.Command{
		Use:   "pace",
		Short: "Show the upstreams that entry VMs send less than their usual share of requests",
		Long: "Show the upstreams that entry VMs of routes send less than their usual share of requests, because they have started or\n" +
			"recovered. REASON is started (new process), recovered (answers again, or was slow afterwards) or relayed (a relay says so).",
		Example: "  wmuxctl pace --router http://10.1.0.9:9464,http://10.1.0.10:9464",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := context.WithTimeout(cmd.Context(), opts.timeout)
			defer cancel()
			all := []vmSlowStart{}
			var rows [][]any
			for _, address := range routers {
				below, err := fetchList[router.SlowStart](ctx, address, "/pace")
				if err != nil {
					return err
				}
				for _, b := range below {
					all = append(all, vmSlowStart{address, b})
					rows = append(rows, []any{b.Upstream, b.Service, math.Round(100*b.Share) / 100, b.Reason, formatTime(b.Since), address})
				}
			}
			return opts.printTable(all, "UPSTREAM|SERVICE|SHARE|REASON|SINCE|AT", rows)
		},
	}
	command.Flags().StringSliceVar(&routers, "router", []string{"http://127.0.0.1:9464"}, "URLs of the metrics addresses of entry VMs")
	return command
}
