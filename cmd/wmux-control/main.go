// Command wmux-control runs a control member.
package main

import (
	"github.com/spf13/cobra"

	"github.com/wisteriamux/wisteriamux/internal/cli"
	"github.com/wisteriamux/wisteriamux/internal/raftnode"
	"github.com/wisteriamux/wisteriamux/internal/settings"
)

func main() { cli.Main(command()) }

func command() *cobra.Command {
	root := &cobra.Command{
		Use:   "wmux-control",
		Short: "Run a member of the control group",
		Long: `Run a member of the control group.

A new group begins with one member, which "bootstrap" prepares. Every other member starts with an empty data directory
and waits until an operator adds it with "wmuxctl control add". A member whose disk was wiped is added again in the same
way, after its old identity was removed.`,
		SilenceUsage: true,
	}
	path := root.PersistentFlags().String("settings", "control.toml", "settings file")
	root.AddCommand(
		settingsCommand(path, "run", "Run the control member until it is told to stop", run),
		settingsCommand(path, "bootstrap", "Prepare the empty data directory of the first member of a new group", bootstrap),
		settingsCommand(path, "check", "Check the settings file and the data directory without starting", check),
	)
	return root
}

// settingsCommand returns a subcommand that works on checked settings.
func settingsCommand(path *string, name, short string, work func(*cobra.Command, settings.Control) error) *cobra.Command {
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
			return work(cmd, loaded)
		},
	}
}

func bootstrap(cmd *cobra.Command, loaded settings.Control) error {
	if err := raftnode.Bootstrap(nodeConfig(loaded)); err != nil {
		return err
	}
	cmd.Printf("%s prepared as the first member %s\n", loaded.DataDir, loaded.ID)
	return nil
}

func nodeConfig(loaded settings.Control) raftnode.Config {
	return raftnode.Config{Name: loaded.ID, Address: loaded.RPCAddress, Dir: loaded.DataDir, SnapshotEntries: loaded.SnapshotEntries}
}
