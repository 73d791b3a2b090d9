package main

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"

	"github.com/spf13/cobra"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/load"
)

func bookingsCommand() *cobra.Command {
	var control []string
	var workers []int
	var perWorker int
	command := &cobra.Command{
		Use:     "bookings",
		Short:   "Measure the throughput and latency of recording bookings in the control group",
		Example: "  wmux-load bookings --control 127.0.0.1:7001,127.0.0.1:7002 --workers 1,8,64 --each 200",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var random [4]byte
			_, _ = rand.Read(random[:])
			fmt.Println("workers  bookings  bookings/s  p50 ms  p99 ms")
			for _, count := range workers {
				cost, err := load.MeasureBookings(cmd.Context(), controlrpc.PlainDialer, control, hex.EncodeToString(random[:]), count, perWorker)
				if err != nil {
					return err
				}
				fmt.Printf("%7d  %8d  %10.0f  %6.2f  %6.2f\n", cost.Workers, cost.Bookings, cost.PerSecond(),
					cost.P50.Seconds()*1e3, cost.P99.Seconds()*1e3)
			}
			return nil
		},
	}
	flags := command.Flags()
	flags.StringSliceVar(&control, "control", []string{"127.0.0.1:7001"}, "addresses of the control members")
	flags.IntSliceVar(&workers, "workers", []int{1, 4, 16, 64}, "numbers of concurrent workers; each number is measured in a separate run")
	flags.IntVar(&perWorker, "each", 200, "bookings per worker")
	return command
}
