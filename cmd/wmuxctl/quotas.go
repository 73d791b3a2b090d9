package main

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"github.com/wisteriamux/wisteriamux/internal/router"
)

// vmQuota is the quota of a team as one entry VM knows it.
type vmQuota struct {
	Router string `json:"router"`
	router.Quota
}

func quotasCommand(opts *options) *cobra.Command {
	var routers []string
	command := &cobra.Command{
		Use:   "quotas",
		Short: "Show the quotas of teams as entry VMs of routes know them",
		Long: "Show the quotas of teams, in requests per second of all entry VMs together. HOLDER is the entry VM that holds the\n" +
			"bucket of the team; TOKENS, OUT (credits obtained in advance) and PART (of the rate that it may issue) are shown at\n" +
			"VMs that have a bucket.",
		Example: "  wmuxctl quotas --router http://10.1.0.9:9464,http://10.1.0.10:9464",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := context.WithTimeout(cmd.Context(), opts.timeout)
			defer cancel()
			all := []vmQuota{}
			var rows [][]any
			for _, address := range routers {
				quotas, err := fetchList[router.Quota](ctx, address, "/quotas")
				if err != nil {
					return err
				}
				for _, q := range quotas {
					all = append(all, vmQuota{address, q})
					row := []any{q.Team, q.PerSecond, q.Burst, q.Holder, "-", "-", "-", address}
					if q.Held {
						row[4], row[5], row[6] = fmt.Sprintf("%.1f", q.Tokens), q.Outstanding, fmt.Sprintf("%.2f", q.Part)
					}
					rows = append(rows, row)
				}
			}
			return opts.printTable(all, "TEAM|PER SECOND|BURST|HOLDER|TOKENS|OUT|PART|KNOWN AT", rows)
		},
	}
	command.Flags().StringSliceVar(&routers, "router", []string{"http://127.0.0.1:9464"}, "URLs of the metrics addresses of entry VMs")
	return command
}
