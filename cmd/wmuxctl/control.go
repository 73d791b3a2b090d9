package main

import (
	"fmt"
	"io"
	"slices"

	"github.com/spf13/cobra"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/formation"
)

func controlCommand(opts *options) *cobra.Command {
	command := parentCommand("control", "Show and change the members of the control group")
	command.AddCommand(controlMembersCommand(opts), controlAddCommand(opts), controlRemoveCommand(opts), controlTransferCommand(opts))
	return command
}

const groupHeader = "CONTROL MEMBER|IDENTITY|ADDRESS|ROLE|LOG INDEX|LAST CONTACT MS"

func groupRows(members []controlrpc.GroupMember) [][]any {
	var rows [][]any
	for _, member := range members {
		rows = append(rows, []any{member.Name, member.ID, member.Address, member.Role, member.Match, member.LastContactMillis})
	}
	return rows
}

func controlMembersCommand(opts *options) *cobra.Command {
	return &cobra.Command{
		Use:     "members",
		Short:   "List the members of the control group as known to its leader",
		Example: "  wmuxctl control members",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return opts.withControl(cmd, func(s session) error {
				members, err := s.GroupMembers(s.ctx)
				if err != nil {
					return err
				}
				return opts.print(members, func(w io.Writer) {
					writeTable(w, groupHeader, groupRows(members))
					_, _ = fmt.Fprintln(w, describeTolerance(formation.Tolerated(members)))
				})
			})
		},
	}
}

// describeTolerance says how many losses the group tolerates.
func describeTolerance(losses int) string {
	if losses < 0 {
		return "the group has no quorum"
	}
	return fmt.Sprintf("the group can lose %d more members", losses)
}

// warnOfRemoval warns if the group tolerates fewer losses without the member.
func warnOfRemoval(cmd *cobra.Command, members []controlrpc.GroupMember, nameOrID string) {
	rest := slices.DeleteFunc(slices.Clone(members), func(m controlrpc.GroupMember) bool { return m.Name == nameOrID || m.ID == nameOrID })
	if after := formation.Tolerated(rest); after < formation.Tolerated(members) {
		cmd.PrintErrf("warning: after the removal of %s, %s\n", nameOrID, describeTolerance(after))
	}
}

// groupChange is the JSON form of a change of the control group.
type groupChange struct {
	Added   string `json:"added,omitempty"`
	Removed string `json:"removed,omitempty"`
	Leader  string `json:"leader,omitempty"`
}

func controlAddCommand(opts *options) *cobra.Command {
	return &cobra.Command{
		Use:   "add NAME ADDRESS",
		Short: "Add a running control member as a learner; it becomes a voter once its log has caught up",
		Example: `  wmuxctl control add control-2 10.0.1.1:7001

  A member whose disk was wiped has a new identity. Remove its old one first:
  wmuxctl control remove control-2
  wmuxctl control add control-2 10.0.1.1:7001`,
		Args: cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			return opts.withControl(cmd, func(s session) error {
				if err := s.GroupAdd(s.ctx, controlrpc.GroupAddArgs{Name: args[0], Address: args[1]}); err != nil {
					return err
				}
				return opts.printLine(groupChange{Added: args[0]}, "added %s as a learner", args[0])
			})
		},
	}
}

func controlRemoveCommand(opts *options) *cobra.Command {
	return &cobra.Command{
		Use:   "remove NAME|IDENTITY",
		Short: "Remove a control member by its name or by the identity of its data directory",
		Long: "Remove a control member. The leader cannot remove itself: transfer leadership first. A removal after which the\n" +
			"group tolerates fewer losses is made with a warning.",
		Example: "  wmuxctl control remove control-2",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return opts.withControl(cmd, func(s session) error {
				members, err := s.GroupMembers(s.ctx)
				if err != nil {
					return err
				}
				warnOfRemoval(cmd, members, args[0])
				if err := s.GroupRemove(s.ctx, controlrpc.GroupRemoveArgs{Member: args[0]}); err != nil {
					return err
				}
				return opts.printLine(groupChange{Removed: args[0]}, "removed %s", args[0])
			})
		},
	}
}

func controlTransferCommand(opts *options) *cobra.Command {
	return &cobra.Command{
		Use:     "transfer [NAME]",
		Short:   "Transfer leadership to the named voter, or to the voter with the most up-to-date log",
		Example: "  wmuxctl control transfer control-2",
		Args:    cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var transfer controlrpc.GroupTransferArgs
			if len(args) == 1 {
				transfer.Name = args[0]
			}
			return opts.withControl(cmd, func(s session) error {
				if err := s.GroupTransfer(s.ctx, transfer); err != nil {
					return err
				}
				status, err := s.Status(s.ctx)
				if err != nil {
					return err
				}
				return opts.printLine(groupChange{Leader: status.Leader}, "%s is the leader", status.Leader)
			})
		},
	}
}
