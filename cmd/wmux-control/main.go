// Command wmux-control runs a member of the control group, a Raft group that replicates the configuration and the state
// of entry VMs, upstreams and bookings.
package main

import (
	"github.com/spf13/cobra"

	"github.com/wisteriamux/wisteriamux/internal/cli"
	"github.com/wisteriamux/wisteriamux/internal/formation"
	"github.com/wisteriamux/wisteriamux/internal/raftnode"
	"github.com/wisteriamux/wisteriamux/internal/settings"
)

func main() { cli.Main(command()) }

func command() *cobra.Command {
	root := &cobra.Command{
		Use:   "wmux-control",
		Short: "Run a member of the control group",
		Long: `Run a member of the control group.

A new group starts with one member, whose data directory "bootstrap" initializes. Every other member starts with an
empty data directory and waits until an operator adds it with "wmuxctl control add". To add a member whose disk was
wiped again, first remove its old identity.`,
		SilenceUsage: true,
	}
	path := root.PersistentFlags().String("settings", "control.toml", "settings file")
	root.AddCommand(
		settingsCommand(path, "run", "Run the control member until it receives SIGTERM or SIGINT", run),
		settingsCommand(path, "bootstrap", "Initialize the empty data directory of the first member of a new group", bootstrap),
		settingsCommand(path, "check", "Check the settings file and the data directory without starting", checkDataDir),
	)
	return root
}

// settingsCommand returns a subcommand that loads and checks the settings and passes them to the action.
func settingsCommand(path *string, name, short string, action func(*cobra.Command, settings.Control) error) *cobra.Command {
	return &cobra.Command{
		Use:     name,
		Short:   short,
		Example: "  wmux-control " + name + " --settings control.toml",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			loaded, err := settings.LoadControl(*path)
			if err != nil {
				return err
			}
			if err := checkSettings(loaded); err != nil {
				return err
			}
			return action(cmd, loaded)
		},
	}
}

func bootstrap(cmd *cobra.Command, loaded settings.Control) error {
	if err := raftnode.Bootstrap(nodeConfig(loaded)); err != nil {
		return err
	}
	cmd.Printf("data directory %s initialized for %s, the first member of a new group\n", loaded.DataDir, loaded.ID)
	return nil
}

func nodeConfig(loaded settings.Control) raftnode.Config {
	config := raftnode.Config{Name: loaded.ID, Address: loaded.RPCAddress, Dir: loaded.DataDir, SnapshotEntries: loaded.SnapshotEntries}
	if loaded.Formation == formationSeeds {
		config.MaxVoters = formation.MaxVoters(loaded.FaultTolerance)
	}
	return config
}
