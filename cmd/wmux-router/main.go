// Command wmux-router runs the router of an entry VM, which sends callers' requests to upstreams by the route table.
package main

import (
	"github.com/spf13/cobra"

	"github.com/wisteriamux/wisteriamux/internal/cli"
	"github.com/wisteriamux/wisteriamux/internal/security"
	"github.com/wisteriamux/wisteriamux/internal/settings"
)

func main() { cli.Main(command()) }

func command() *cobra.Command {
	root := &cobra.Command{Use: "wmux-router", Short: "Run the router of an entry VM", SilenceUsage: true}
	path := root.PersistentFlags().String("settings", "router.toml", "settings file")
	root.AddCommand(&cobra.Command{
		Use: "run", Short: "Run the router until it receives SIGTERM or SIGINT", Example: "  wmux-router run --settings router.toml",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			loaded, err := settings.LoadRouter(*path)
			if err != nil {
				return err
			}
			return run(cmd.Context(), *path, loaded)
		},
	}, &cobra.Command{
		Use: "check", Short: "Check the settings file without starting", Example: "  wmux-router check --settings router.toml",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			loaded, err := settings.LoadRouter(*path)
			if err != nil {
				return err
			}
			if _, err := security.NewTransport(loaded.TLS); err != nil {
				return err
			}
			cmd.Printf("settings of %s are valid\n", loaded.ID)
			return nil
		},
	})
	return root
}
