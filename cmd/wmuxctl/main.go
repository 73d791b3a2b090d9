// Command wmuxctl is the operators' command line.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/controlstate"
	"github.com/wisteriamux/wisteriamux/internal/settings"
)

const callTimeout = 10 * time.Second

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := command().ExecuteContext(ctx); err != nil {
		os.Exit(1)
	}
}

type options struct {
	control []string
	json    bool
}

func (o *options) client() *controlrpc.Client {
	return controlrpc.NewClient(o.control, controlrpc.PlainDialer)
}

func command() *cobra.Command {
	var shared options
	root := &cobra.Command{Use: "wmuxctl", Short: "Operate wisteriamux", SilenceUsage: true}
	root.PersistentFlags().StringSliceVar(&shared.control, "control", []string{"127.0.0.1:7001"}, "addresses of the control members")
	root.PersistentFlags().BoolVar(&shared.json, "json", false, "print JSON")
	root.AddCommand(applyCommand(&shared), statusCommand(&shared), upstreamsCommand(&shared))
	return root
}

func applyCommand(shared *options) *cobra.Command {
	var path, changeID string
	var base uint64
	command := &cobra.Command{
		Use:     "apply",
		Short:   "Apply an inventory with rules if the base version is current",
		Example: "  wmuxctl apply --file inventory.toml --base 0 --change first-inventory",
		RunE: func(cmd *cobra.Command, _ []string) error {
			loaded, err := settings.LoadOperator(path)
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(cmd.Context(), callTimeout)
			defer cancel()
			apply := controlstate.ApplyConfig{ChangeID: changeID, BaseVersion: base, Inventory: loaded.Inventory, Rules: loaded.Rules}
			result, err := shared.client().Propose(ctx, controlstate.Command{ApplyConfig: &apply})
			if err != nil {
				return err
			}
			fmt.Printf("accepted version %d at revision %d\n", result.Version, result.Revision)
			return nil
		},
	}
	command.Flags().StringVar(&path, "file", "inventory.toml", "inventory and rules")
	command.Flags().StringVar(&changeID, "change", "", "change identifier; a resend with the same identifier gets the first result")
	command.Flags().Uint64Var(&base, "base", 0, "version that the change is based on")
	_ = command.MarkFlagRequired("change")
	return command
}

func statusCommand(shared *options) *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show the control group and the leases of the entry VMs",
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := context.WithTimeout(cmd.Context(), callTimeout)
			defer cancel()
			status, err := shared.client().Status(ctx)
			if err != nil {
				return err
			}
			if shared.json {
				return printJSON(status)
			}
			fmt.Printf("leader %s  version %d  revision %d  in force %d\n", status.Leader, status.Version, status.Revision, status.InForce)
			table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
			_, _ = fmt.Fprintln(table, "VM\tFAILURE DOMAIN\tINSTANCE\tAPPLIED\tLEASE MS")
			for _, member := range status.Members {
				_, _ = fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\n", member.ID, member.FailureDomain, member.Instance, member.Applied, member.LeaseMillis)
			}
			return table.Flush()
		},
	}
}

func upstreamsCommand(shared *options) *cobra.Command {
	return &cobra.Command{
		Use:   "upstreams",
		Short: "List the announced upstreams",
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := context.WithTimeout(cmd.Context(), callTimeout)
			defer cancel()
			view, _, err := shared.client().View(ctx, 0)
			if err != nil {
				return err
			}
			if shared.json {
				return printJSON(view.Upstreams)
			}
			table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
			_, _ = fmt.Fprintln(table, "UPSTREAM\tSERVICE\tSHARD\tVERSIONS\tSLOTS\tSTATE")
			for _, upstream := range view.Upstreams {
				_, _ = fmt.Fprintf(table, "%s\t%s\t%d/%d\t%d-%d\t%d\t%s\n", upstream.Name, upstream.Service, upstream.Shard,
					upstream.ShardCount, upstream.MinVersion, upstream.MaxVersion, upstream.Slots, upstream.State)
			}
			return table.Flush()
		},
	}
}

func printJSON(value any) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
