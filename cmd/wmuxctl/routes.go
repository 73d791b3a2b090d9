package main

import (
	"fmt"
	"io"

	"github.com/BurntSushi/toml"
	"github.com/spf13/cobra"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/route"
	"github.com/wisteriamux/wisteriamux/internal/settings"
)

func routesCommand(opts *options) *cobra.Command {
	command := parentCommand("routes", "Apply, show and compare the route table")
	command.AddCommand(routesApplyCommand(opts), routesShowCommand(opts), routesDiffCommand(opts), routesUpstreamsCommand(opts))
	return command
}

// routesOutput is the JSON form of the result of routes apply. Ordered is the version of the applied table.
type routesOutput struct {
	Ordered uint64 `json:"ordered"`
	InForce uint64 `json:"in_force"`
}

func routesApplyCommand(opts *options) *cobra.Command {
	var path string
	command := &cobra.Command{
		Use:   "apply --file FILE",
		Short: "Apply a route table; the table with the highest version is in force",
		Long: `Apply a route table. The table with the highest version is in force. A lower or equal version is acknowledged and
changes nothing, so the command can safely be repeated after its response was lost.`,
		Example: "  wmuxctl routes apply --file routes.toml",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			table, err := settings.LoadRoutes(path)
			if err != nil {
				return err
			}
			return opts.withControl(cmd, func(s session) error {
				version, err := s.PutRoutes(s.ctx, table, nil)
				if err != nil {
					return err
				}
				output := routesOutput{Ordered: table.Version, InForce: version}
				return opts.printLine(output, "version %d acknowledged, version %d is in force", table.Version, version)
			})
		},
	}
	command.Flags().StringVar(&path, "file", "routes.toml", "file with the route table")
	return command
}

func routesShowCommand(opts *options) *cobra.Command {
	return &cobra.Command{
		Use:     "show",
		Short:   "Print the route table in force in the file format of apply",
		Example: "  wmuxctl routes show > routes.toml",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return opts.withControl(cmd, func(s session) error {
				table, err := currentRoutes(s)
				if err != nil {
					return err
				}
				file := settings.RoutesFromTable(table)
				return opts.print(file, func(w io.Writer) { _ = toml.NewEncoder(w).Encode(file) })
			})
		},
	}
}

func currentRoutes(s session) (route.Table, error) {
	reply, err := s.ReadTable(s.ctx)
	if err != nil {
		return route.Table{}, err
	}
	if reply.Version == 0 {
		return route.Table{}, fault.New(fault.NotFound, "routes.show", "no route table has been applied yet")
	}
	return reply.Table, nil
}

func routesDiffCommand(opts *options) *cobra.Command {
	var path string
	command := &cobra.Command{
		Use:     "diff --file FILE",
		Short:   "Print what the file would change in the route table in force",
		Example: "  wmuxctl routes diff --file routes.toml",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			next, err := settings.LoadRoutes(path)
			if err != nil {
				return err
			}
			return opts.withControl(cmd, func(s session) error {
				current, err := currentRoutes(s)
				if err != nil {
					return err
				}
				changes := route.Diff(current, next)
				return opts.print(changes, func(w io.Writer) {
					for _, change := range changes {
						_, _ = fmt.Fprintln(w, change)
					}
					if next.Version <= current.Version {
						_, _ = fmt.Fprintf(w, "version %d would change nothing: version %d is in force\n", next.Version, current.Version)
					}
				})
			})
		},
	}
	command.Flags().StringVar(&path, "file", "routes.toml", "file with the route table")
	return command
}

func routesUpstreamsCommand(opts *options) *cobra.Command {
	return &cobra.Command{
		Use:     "upstreams",
		Short:   "List the registered upstreams of routes",
		Example: "  wmuxctl routes upstreams",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return opts.withControl(cmd, func(s session) error {
				reply, err := s.Watch(s.ctx, controlrpc.WatchArgs{})
				if err != nil {
					return err
				}
				rows := make([][]any, 0, len(reply.Instances.Changed))
				for _, i := range reply.Instances.Changed {
					rows = append(rows, []any{i.ID, i.Service, i.Address, i.FailureDomain, i.Slots, i.State, i.Since})
				}
				return opts.printTable(reply.Instances.Changed, "ID|SERVICE|ADDRESS|DOMAIN|SLOTS|STATE|SINCE", rows)
			})
		},
	}
}
