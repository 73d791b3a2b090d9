package main

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/spf13/cobra"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/router"
)

// vmLimit is a rate limit as one entry VM knows it.
type vmLimit struct {
	Router string `json:"router"`
	router.LimitInForce
}

func limitsCommand(opts *options) *cobra.Command {
	var routers []string
	command := &cobra.Command{
		Use:   "limits",
		Short: "Show the rate limits that upstreams have named to entry VMs of routes",
		Long: "Show the rate limits, in requests per second of all entry VMs together, that upstreams have named. An entry VM\n" +
			"that sends nothing to an upstream may not know its limit. HOLDER is the entry VM that grants permits for it.",
		Example: "  wmuxctl limits --router http://10.1.0.9:9464,http://10.1.0.10:9464",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := context.WithTimeout(cmd.Context(), opts.timeout)
			defer cancel()
			all := []vmLimit{}
			var rows [][]any
			for _, address := range routers {
				limits, err := fetchList[router.LimitInForce](ctx, address, "/limits")
				if err != nil {
					return err
				}
				for _, l := range limits {
					all = append(all, vmLimit{address, l})
					rows = append(rows, []any{l.Upstream, l.Service, l.PerSecond, l.Holder, address})
				}
			}
			return opts.printTable(all, "UPSTREAM|SERVICE|PER SECOND|HOLDER|KNOWN AT", rows)
		},
	}
	command.Flags().StringSliceVar(&routers, "router", []string{"http://127.0.0.1:9464"}, "URLs of the metrics addresses of entry VMs")
	return command
}

// fetchList returns the list at a path of the metrics address of an entry VM.
func fetchList[T any](ctx context.Context, address, path string) ([]T, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address+path, http.NoBody)
	if err != nil {
		return nil, fault.New(fault.BadRequest, "list.fetch", "%w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, fault.New(fault.Unavailable, "list.fetch", "%w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, fault.New(fault.Unavailable, "list.fetch", "%s%s returned status %d", address, path, response.StatusCode)
	}
	var list []T
	if err := json.NewDecoder(io.LimitReader(response.Body, maxReportBytes)).Decode(&list); err != nil {
		return nil, fault.New(fault.Unavailable, "list.fetch", "%s%s: %w", address, path, err)
	}
	return list, nil
}
