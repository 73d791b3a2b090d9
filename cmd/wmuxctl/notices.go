package main

import (
	"context"
	"time"

	"github.com/spf13/cobra"

	"github.com/wisteriamux/wisteriamux/internal/router"
)

// vmNotice is what an upstream has said of itself to one entry VM.
type vmNotice struct {
	Router string `json:"router"`
	router.NoticeInForce
}

func noticesCommand(opts *options) *cobra.Command {
	var routers []string
	command := &cobra.Command{
		Use:   "notices",
		Short: "Show what upstreams have said of themselves to entry VMs of routes",
		Long: "Show which upstreams have said in their responses that they leave, or until when they want no requests. Each entry VM\n" +
			"keeps to what it has heard itself; its relays keep to it for others.",
		Example: "  wmuxctl notices --router http://10.1.0.9:9464,http://10.1.0.10:9464",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := context.WithTimeout(cmd.Context(), opts.timeout)
			defer cancel()
			all := []vmNotice{}
			var rows [][]any
			for _, address := range routers {
				notices, err := fetchList[router.NoticeInForce](ctx, address, "/notices")
				if err != nil {
					return err
				}
				for _, n := range notices {
					all = append(all, vmNotice{address, n})
					rows = append(rows, []any{n.Upstream, n.Service, formatTime(n.Since), formatTime(n.PausedUntil), address})
				}
			}
			return opts.printTable(all, "UPSTREAM|SERVICE|LEAVING SINCE|PAUSED UNTIL|TOLD TO", rows)
		},
	}
	command.Flags().StringSliceVar(&routers, "router", []string{"http://127.0.0.1:9464"}, "URLs of the metrics addresses of entry VMs")
	return command
}

// formatTime returns "-" for the zero time.
func formatTime(at time.Time) string {
	if at.IsZero() {
		return "-"
	}
	return at.Format(time.RFC3339)
}
