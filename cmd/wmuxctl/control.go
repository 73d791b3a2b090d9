package main

import (
	"github.com/spf13/cobra"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
)

func controlCommand(shared *options) *cobra.Command {
	command := parentCommand("control", "Show and change the members of the control group")
	command.AddCommand(controlMembersCommand(shared), controlAddCommand(shared), controlRemoveCommand(shared), controlTransferCommand(shared))
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

func controlMembersCommand(shared *options) *cobra.Command {
	return &cobra.Command{
		Use:     "members",
		Short:   "List the members of the control group as its leader sees them",
		Example: "  wmuxctl control members",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return shared.withControl(cmd, func(s session) error {
				members, err := s.GroupMembers(s.ctx)
				if err != nil {
					return err
				}
				return shared.printTable(members, groupHeader, groupRows(members))
			})
		},
	}
}

// groupChange is the result of a change of the control group for programs.
type groupChange struct {
	Added   string `json:"added,omitempty"`
	Removed string `json:"removed,omitempty"`
	Leader  string `json:"leader,omitempty"`
}

func controlAddCommand(shared *options) *cobra.Command {
	return &cobra.Command{
		Use:   "add NAME ADDRESS",
		Short: "Add a running control member; it votes once it has synced the log",
		Example: `  wmuxctl control add control-2 10.0.1.1:7001

  A member whose disk was wiped comes back with a new identity, and its old one is removed first:
  wmuxctl control remove control-2
  wmuxctl control add control-2 10.0.1.1:7001`,
		Args: cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			return shared.withControl(cmd, func(s session) error {
				if err := s.GroupAdd(s.ctx, controlrpc.GroupAddArgs{Name: args[0], Address: args[1]}); err != nil {
					return err
				}
				return shared.printLine(groupChange{Added: args[0]}, "added %s as a learner", args[0])
			})
		},
	}
}

func controlRemoveCommand(shared *options) *cobra.Command {
	return &cobra.Command{
		Use:     "remove NAME|IDENTITY",
		Short:   "Remove a control member by its name or by the identity of its data directory",
		Long:    "Remove a control member. The leader does not remove itself; transfer leadership first.",
		Example: "  wmuxctl control remove control-2",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return shared.withControl(cmd, func(s session) error {
				if err := s.GroupRemove(s.ctx, controlrpc.GroupRemoveArgs{Member: args[0]}); err != nil {
					return err
				}
				return shared.printLine(groupChange{Removed: args[0]}, "removed %s", args[0])
			})
		},
	}
}

func controlTransferCommand(shared *options) *cobra.Command {
	return &cobra.Command{
		Use:     "transfer [NAME]",
		Short:   "Hand leadership to the named voter, or to the most advanced one",
		Example: "  wmuxctl control transfer control-2",
		Args:    cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var transfer controlrpc.GroupTransferArgs
			if len(args) == 1 {
				transfer.Name = args[0]
			}
			return shared.withControl(cmd, func(s session) error {
				if err := s.GroupTransfer(s.ctx, transfer); err != nil {
					return err
				}
				status, err := s.Status(s.ctx)
				if err != nil {
					return err
				}
				return shared.printLine(groupChange{Leader: status.Leader}, "%s leads", status.Leader)
			})
		},
	}
}
