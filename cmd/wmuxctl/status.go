package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
)

// statusOutput is the JSON form of the result of the status command.
type statusOutput struct {
	controlrpc.StatusReply
	Group []controlrpc.GroupMember `json:"group"`
}

func statusCommand(opts *options) *cobra.Command {
	return &cobra.Command{
		Use:     "status",
		Short:   "Show the control group, the version and revision in force, and the leases of the entry VMs",
		Example: "  wmuxctl status --control 10.0.0.1:7001,10.0.1.1:7001,10.0.2.1:7001",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return opts.withControl(cmd, func(s session) error {
				status, err := s.Status(s.ctx)
				if err != nil {
					return err
				}
				group, err := s.GroupMembers(s.ctx)
				if err != nil {
					return err
				}
				return opts.print(statusOutput{StatusReply: status, Group: group}, func(w io.Writer) {
					_, _ = fmt.Fprintf(w, "leader %s  version %d  revision %d  in force %d\n", status.Leader, status.Version, status.Revision, status.InForce)
					writeTable(w, groupHeader, groupRows(group))
					writeTable(w, memberHeader, memberRows(status.Members))
				})
			})
		},
	}
}

const memberHeader = "ENTRY VM|FAILURE DOMAIN|ADDRESS|INSTANCE|APPLIED|LEASE MS"

func memberRows(members []controlrpc.MemberStatus) [][]any {
	var rows [][]any
	for _, member := range members {
		rows = append(rows, []any{
			member.ID, member.FailureDomain, member.RPCAddress, member.Instance, member.Applied, max(member.LeaseMillis, 0),
		})
	}
	return rows
}

func membersCommand(opts *options) *cobra.Command {
	return &cobra.Command{
		Use:     "members",
		Short:   "List the entry VMs with their leases",
		Example: "  wmuxctl members --json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return opts.withControl(cmd, func(s session) error {
				status, err := s.Status(s.ctx)
				if err != nil {
					return err
				}
				return opts.printTable(status.Members, memberHeader, memberRows(status.Members))
			})
		},
	}
}
