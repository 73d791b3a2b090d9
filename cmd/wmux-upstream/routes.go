package main

import (
	"time"

	"github.com/spf13/cobra"

	"github.com/wisteriamux/wisteriamux/platform/standin"
)

// heartbeatInterval is the heartbeat interval of the users' real upstreams.
const heartbeatInterval = 1200 * time.Millisecond

func routesCommand() *cobra.Command {
	var config standin.Config
	var delay time.Duration
	command := &cobra.Command{
		Use:     "routes",
		Short:   "Run a fake upstream for routes that registers with control members",
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
	flags.StringVar(&config.ID, "id", "", "unique identifier of the process")
	flags.StringVar(&config.Service, "service", "", "service of the upstream")
	flags.StringVar(&config.FailureDomain, "failure-domain", "", "failure domain of the upstream")
	flags.StringVar(&config.Address, "address", "127.0.0.1:9001", "listen address")
	flags.IntVar(&config.Slots, "slots", 2, "number of requests that run concurrently")
	flags.DurationVar(&delay, "service-time", 5*time.Millisecond, "time for which a request occupies a slot")
	flags.StringSliceVar(&config.ControlAddresses, "directory", []string{"127.0.0.1:7101"}, "HTTP addresses of the control members")
	_ = command.MarkFlagRequired("id")
	_ = command.MarkFlagRequired("service")
	return command
}
