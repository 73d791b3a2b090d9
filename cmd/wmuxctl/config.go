package main

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/spf13/cobra"

	"github.com/wisteriamux/wisteriamux/internal/controlstate"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/model"
	"github.com/wisteriamux/wisteriamux/internal/settings"
)

// inForceTimeout is the bound of the design for a change to be in force, plus the time of an election.
const inForceTimeout = 15 * time.Second

// generatedChangeLength is the length of a generated change identifier.
const generatedChangeLength = 24

// applyFlags are the flags of apply.
type applyFlags struct {
	path, changeID string
	base           uint64
	dryRun, wait   bool
}

// applyOutput is the result of apply for programs.
type applyOutput struct {
	Change   string `json:"change"`
	Version  uint64 `json:"version"`
	Revision uint64 `json:"revision"`
	InForce  bool   `json:"in_force"`
}

func applyCommand(shared *options) *cobra.Command {
	var flags applyFlags
	command := &cobra.Command{
		Use:   "apply --file FILE --base VERSION",
		Short: "Apply an inventory with rules if the base version is current",
		Long: `Apply an inventory with rules if the base version is current.

A change has an identifier. Sending the same change again under the same identifier returns the first result, so repeat
the command when its answer was lost. Without --change the identifier is derived from the base version and the content.`,
		Example: `  wmuxctl apply --file inventory.toml --base 0
  wmuxctl apply --file inventory.toml --base 7 --dry-run
  wmuxctl apply --file inventory.toml --base 7 --change ticket-4711 --wait`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return apply(cmd, shared, flags) },
	}
	command.Flags().StringVar(&flags.path, "file", "inventory.toml", "inventory and rules")
	command.Flags().StringVar(&flags.changeID, "change", "", "change identifier; a resend with the same identifier gets the first result")
	command.Flags().Uint64Var(&flags.base, "base", 0, "version that the change is based on")
	command.Flags().BoolVar(&flags.dryRun, "dry-run", false, "check the file, print the differences and change nothing")
	command.Flags().BoolVar(&flags.wait, "wait", false, "wait until the change is in force on every entry VM")
	_ = command.MarkFlagRequired("base")
	return command
}

func apply(cmd *cobra.Command, shared *options, flags applyFlags) error {
	loaded, err := loadChecked(flags.path)
	if err != nil {
		return err
	}
	change := controlstate.ApplyConfig{
		ChangeID: flags.changeID, BaseVersion: flags.base, Inventory: loaded.Inventory, Rules: loaded.Rules,
	}
	if change.ChangeID == "" {
		change.ChangeID = "content-" + change.Digest()[:generatedChangeLength]
	}
	return shared.withControl(cmd, func(s session) error {
		if flags.dryRun {
			return dryRun(s, shared, change)
		}
		result, err := s.Propose(s.ctx, controlstate.Command{ApplyConfig: &change})
		if err != nil {
			return err
		}
		if flags.wait {
			if err := waitInForce(cmd.Context(), s, result.Revision); err != nil {
				return err
			}
		}
		output := applyOutput{Change: change.ChangeID, Version: result.Version, Revision: result.Revision, InForce: flags.wait}
		state := "accepted"
		if flags.wait {
			state = "accepted and in force:"
		}
		return shared.printLine(output, "%s version %d at revision %d", state, result.Version, result.Revision)
	})
}

func waitInForce(ctx context.Context, s session, revision uint64) error {
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	if err := s.WaitInForce(ctx, revision); err != nil {
		return notInForceError{err: err}
	}
	return nil
}

// loadChecked reads a file and returns all its problems in one error.
func loadChecked(path string) (settings.OperatorConfig, error) {
	loaded, err := settings.LoadOperatorConfig(path)
	if err != nil {
		return loaded, err
	}
	problems := model.Validate(loaded.Inventory, loaded.Rules)
	if len(problems) == 0 {
		return loaded, nil
	}
	lines := make([]string, 0, len(problems))
	for _, problem := range problems {
		lines = append(lines, "  "+problem.String())
	}
	return loaded, fault.New(fault.BadRequest, "config.check", "%s has %d problems:\n%s", path, len(problems), strings.Join(lines, "\n"))
}

// dryRun prints the differences, and fails like the change itself would when the base version is not current.
func dryRun(s session, shared *options, change controlstate.ApplyConfig) error {
	view, _, err := s.View(s.ctx, 0)
	if err != nil {
		return err
	}
	if err := printDiff(shared, view.Config, change.Inventory, change.Rules); err != nil {
		return err
	}
	if view.Config.Version != change.BaseVersion {
		return fault.New(fault.Conflict, "config.dry_run", "base version is %d, current version is %d", change.BaseVersion, view.Config.Version)
	}
	return nil
}

// diffOutput is a list of differences for programs.
type diffOutput struct {
	Version uint64         `json:"version"`
	Changes []model.Change `json:"changes"`
}

func printDiff(shared *options, current model.Configuration, inventory model.Inventory, rules []model.Rule) error {
	changes := model.DiffConfiguration(current, model.Configuration{Inventory: inventory, Rules: rules})
	return shared.print(diffOutput{Version: current.Version, Changes: changes}, func(w io.Writer) {
		if len(changes) == 0 {
			_, _ = fmt.Fprintf(w, "no differences from version %d\n", current.Version)
		}
		for _, change := range changes {
			_, _ = fmt.Fprintln(w, change)
		}
	})
}

func configCommand(shared *options) *cobra.Command {
	command := parentCommand("config", "Show the configuration and compare it with a file")
	command.AddCommand(configShowCommand(shared), configDiffCommand(shared))
	return command
}

func configShowCommand(shared *options) *cobra.Command {
	command := viewCommand(shared, func(view model.View) error {
		return shared.print(view.Config, func(w io.Writer) {
			_, _ = fmt.Fprintf(w, "# version %d\n", view.Config.Version)
			_ = toml.NewEncoder(w).Encode(settings.OperatorConfig{Inventory: view.Config.Inventory, Rules: view.Config.Rules})
		})
	})
	command.Use = "show"
	command.Short = "Print the current inventory with rules in the format of apply"
	command.Example = "  wmuxctl config show > inventory.toml"
	return command
}

func configDiffCommand(shared *options) *cobra.Command {
	var path string
	command := &cobra.Command{
		Use:     "diff --file FILE",
		Short:   "Print what the file would change in the current configuration",
		Example: "  wmuxctl config diff --file inventory.toml",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			loaded, err := loadChecked(path)
			if err != nil {
				return err
			}
			return shared.withControl(cmd, func(s session) error {
				view, _, err := s.View(s.ctx, 0)
				if err != nil {
					return err
				}
				return printDiff(shared, view.Config, loaded.Inventory, loaded.Rules)
			})
		},
	}
	command.Flags().StringVar(&path, "file", "inventory.toml", "inventory and rules")
	return command
}
