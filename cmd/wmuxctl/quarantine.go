package main

import (
	"github.com/spf13/cobra"

	"github.com/wisteriamux/wisteriamux/internal/controlstate"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/model"
)

func quarantineCommand(opts *options) *cobra.Command {
	command := parentCommand("quarantine", "Show and clear quarantined request fingerprints")
	command.AddCommand(quarantineListCommand(opts), quarantineClearCommand(opts))
	return command
}

func quarantineListCommand(opts *options) *cobra.Command {
	command := viewCommand(opts, func(view model.View) error {
		var rows [][]any
		for _, quarantine := range view.Quarantines {
			evidence := quarantine.Evidence
			rows = append(rows, []any{
				quarantine.Fingerprint, formatTime(quarantine.Since), formatTime(quarantine.Until), evidence.Ends, evidence.Tries, evidence.VMs, evidence.Summary,
			})
		}
		return opts.printTable(view.Quarantines, "FINGERPRINT|SINCE|UNTIL|ENDED|TRIES|VMS|REQUEST", rows)
	})
	command.Use = "list"
	command.Short = "List the quarantined fingerprints, whose requests are rejected"
	command.Long = "List the quarantined fingerprints, whose requests are rejected. ENDED is the number of upstream processes that ended\n" +
		"under so many TRIES of the request, as reported by so many entry VMs. They are 0 if the entry VM that owns the upstream\n" +
		"ran the request alone."
	command.Example = "  wmuxctl quarantine list"
	return command
}

// quarantineChange is the JSON form of the result of the clear command.
type quarantineChange struct {
	Cleared  string `json:"cleared"`
	Revision uint64 `json:"revision"`
}

func quarantineClearCommand(opts *options) *cobra.Command {
	var all bool
	command := &cobra.Command{
		Use:   "clear FINGERPRINT | --all",
		Short: "End the quarantine of a fingerprint before it expires",
		Example: `  wmuxctl quarantine clear 5f1d3c
  wmuxctl quarantine clear --all`,
		Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if all == (len(args) == 1) {
				return fault.New(fault.BadRequest, "quarantine.clear", "specify either one fingerprint or --all")
			}
			clear := controlstate.ClearQuarantine{All: all}
			cleared := "every fingerprint"
			if !all {
				clear.Fingerprint, cleared = args[0], args[0]
			}
			return opts.withControl(cmd, func(s session) error {
				result, err := s.Propose(s.ctx, controlstate.Command{ClearQuarantine: &clear})
				if err != nil {
					return err
				}
				return opts.printLine(quarantineChange{Cleared: cleared, Revision: result.Revision}, "cleared %s at revision %d", cleared, result.Revision)
			})
		},
	}
	command.Flags().BoolVar(&all, "all", false, "clear every fingerprint")
	return command
}
