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

// inForceTimeout is the designed maximum time until a change is in force, plus the duration of an election.
const inForceTimeout = 15 * time.Second

// generatedChangeLength is the length of a generated change ID, without its prefix.
const generatedChangeLength = 24

// applyFlags holds the flags of the apply command.
type applyFlags struct {
	path, changeID string
	base           uint64
	dryRun, wait   bool
}

// applyOutput is the JSON form of the result of the apply command.
type applyOutput struct {
	Change   string `json:"change"`
	Version  uint64 `json:"version"`
	Revision uint64 `json:"revision"`
	InForce  bool   `json:"in_force"`
}

func applyCommand(opts *options) *cobra.Command {
	var flags applyFlags
	command := &cobra.Command{
		Use:   "apply --file FILE --base VERSION",
		Short: "Apply an inventory and rules if the base version is current",
		Long: `Apply an inventory and rules if the base version is current.

Every change has an ID. Repeating a change with the same ID returns the result of the first attempt, so the command can
safely be repeated after its response was lost. Without --change the ID is derived from the base version and the
content.`,
		Example: `  wmuxctl apply --file inventory.toml --base 0
  wmuxctl apply --file inventory.toml --base 7 --dry-run
  wmuxctl apply --file inventory.toml --base 7 --change ticket-4711 --wait`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return apply(cmd, opts, flags) },
	}
	command.Flags().StringVar(&flags.path, "file", "inventory.toml", "file with the inventory and the rules")
	command.Flags().StringVar(&flags.changeID, "change", "", "change ID; repeating the command with the same ID returns the first result")
	command.Flags().Uint64Var(&flags.base, "base", 0, "version that the change is based on")
	command.Flags().BoolVar(&flags.dryRun, "dry-run", false, "check the file and print the differences without applying them")
	command.Flags().BoolVar(&flags.wait, "wait", false, "wait until the change is in force on every entry VM")
	_ = command.MarkFlagRequired("base")
	return command
}

func apply(cmd *cobra.Command, opts *options, flags applyFlags) error {
	loaded, err := loadValidated(flags.path)
	if err != nil {
		return err
	}
	change := controlstate.ApplyConfig{
		ChangeID: flags.changeID, BaseVersion: flags.base, Inventory: loaded.Inventory, Rules: loaded.Rules,
	}
	if change.ChangeID == "" {
		change.ChangeID = "content-" + change.Digest()[:generatedChangeLength]
	}
	return opts.withControl(cmd, func(s session) error {
		if flags.dryRun {
			return dryRun(s, opts, change)
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
		return opts.printLine(output, "%s version %d at revision %d", state, result.Version, result.Revision)
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

// loadValidated reads and validates a file, and returns all validation errors as one error.
func loadValidated(path string) (settings.OperatorConfig, error) {
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

// dryRun prints the differences. Like the change itself, it fails if the base version is not current.
func dryRun(s session, opts *options, change controlstate.ApplyConfig) error {
	view, _, err := s.View(s.ctx, 0)
	if err != nil {
		return err
	}
	if err := printDiff(opts, view.Config, change.Inventory, change.Rules); err != nil {
		return err
	}
	if view.Config.Version != change.BaseVersion {
		return fault.New(fault.Conflict, "config.dry_run", "base version is %d, current version is %d", change.BaseVersion, view.Config.Version)
	}
	return nil
}

// diffOutput is the JSON form of a list of differences.
type diffOutput struct {
	Version uint64         `json:"version"`
	Changes []model.Change `json:"changes"`
}

func printDiff(opts *options, current model.Configuration, inventory model.Inventory, rules []model.Rule) error {
	changes := model.DiffConfiguration(current, model.Configuration{Inventory: inventory, Rules: rules})
	return opts.print(diffOutput{Version: current.Version, Changes: changes}, func(w io.Writer) {
		if len(changes) == 0 {
			_, _ = fmt.Fprintf(w, "no differences from version %d\n", current.Version)
		}
		for _, change := range changes {
			_, _ = fmt.Fprintln(w, change)
		}
	})
}

func configCommand(opts *options) *cobra.Command {
	command := parentCommand("config", "Show the configuration and compare it with a file")
	command.AddCommand(configShowCommand(opts), configDiffCommand(opts))
	return command
}

func configShowCommand(opts *options) *cobra.Command {
	command := viewCommand(opts, func(view model.View) error {
		return opts.print(view.Config, func(w io.Writer) {
			_, _ = fmt.Fprintf(w, "# version %d\n", view.Config.Version)
			_ = toml.NewEncoder(w).Encode(settings.OperatorConfig{Inventory: view.Config.Inventory, Rules: view.Config.Rules})
		})
	})
	command.Use = "show"
	command.Short = "Print the current inventory and rules in the file format of apply"
	command.Example = "  wmuxctl config show > inventory.toml"
	return command
}

func configDiffCommand(opts *options) *cobra.Command {
	var path string
	command := &cobra.Command{
		Use:     "diff --file FILE",
		Short:   "Print what the file would change in the current configuration",
		Example: "  wmuxctl config diff --file inventory.toml",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			loaded, err := loadValidated(path)
			if err != nil {
				return err
			}
			return opts.withControl(cmd, func(s session) error {
				view, _, err := s.View(s.ctx, 0)
				if err != nil {
					return err
				}
				return printDiff(opts, view.Config, loaded.Inventory, loaded.Rules)
			})
		},
	}
	command.Flags().StringVar(&path, "file", "inventory.toml", "file with the inventory and the rules")
	return command
}
