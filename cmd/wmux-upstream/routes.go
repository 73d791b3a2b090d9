package main

import (
	"time"

	"github.com/spf13/cobra"

	"github.com/wisteriamux/wisteriamux/platform/standin"
)

// heartbeatInterval is that of the users' upstreams.
const heartbeatInterval = 1200 * time.Millisecond

func routesCommand() *cobra.Command {
	var config standin.Config
	var delay time.Duration
	command := &cobra.Command{
		Use:     "routes",
		Short:   "Run a stand-in upstream of routes that announces itself to control members",
		Example: "  wmux-upstream routes --id i-1 --service clerk-01 --address 127.0.0.1:9001 --directory 127.0.0.1:7101",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			config.Heartbeat = heartbeatInterval
			upstream, err := standin.Start(config)
			if err != nil {
				return err
			}
			defer upstream.Close()
			upstream.Delay.Store(int64(delay))
			upstream.Run(cmd.Context())
			return nil
		},
	}
	flags := command.Flags()
	flags.StringVar(&config.ID, "id", "", "identity of the process")
	flags.StringVar(&config.Service, "service", "", "service of the upstream")
	flags.StringVar(&config.FailureDomain, "failure-domain", "", "failure domain of the upstream")
	flags.StringVar(&config.Address, "address", "127.0.0.1:9001", "listen address")
	flags.IntVar(&config.Slots, "slots", 2, "requests that run at the same time")
	flags.DurationVar(&delay, "service-time", 5*time.Millisecond, "time that a request holds a slot")
	flags.StringSliceVar(&config.ControlAddresses, "directory", []string{"127.0.0.1:7101"}, "HTTP addresses of control members")
	_ = command.MarkFlagRequired("id")
	_ = command.MarkFlagRequired("service")
	return command
}
