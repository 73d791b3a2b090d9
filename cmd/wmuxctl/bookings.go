package main

import (
	"encoding/json"
	"time"

	"github.com/spf13/cobra"

	"github.com/wisteriamux/wisteriamux/internal/controlstate"
)

// bookingOutput is the JSON form of a booking record.
type bookingOutput struct {
	Key           string                    `json:"key"`
	State         controlstate.BookingState `json:"state"`
	Attempt       uint64                    `json:"attempt"`
	Service       string                    `json:"service"`
	Upstream      string                    `json:"upstream"`
	Owner         string                    `json:"owner"`
	OwnerInstance uint64                    `json:"owner_instance"`
	Sender        string                    `json:"sender"`
	Updated       time.Time                 `json:"updated"`
	Response      json.RawMessage           `json:"response,omitempty"`
}

func bookingsCommand(opts *options) *cobra.Command {
	command := parentCommand("bookings", "Show booking records")
	command.AddCommand(&cobra.Command{
		Use:     "show KEY",
		Short:   "Show the booking record of a key",
		Example: "  wmuxctl bookings show order-4711",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return opts.withControl(cmd, func(s session) error {
				record, err := s.Booking(s.ctx, args[0])
				if err != nil {
					return err
				}
				output := bookingOutputOf(record)
				rows := [][]any{{output.Key, output.State, output.Attempt, output.Service, output.Upstream, output.Owner, output.Updated.Format(time.RFC3339)}}
				return opts.printTable(output, "KEY|STATE|ATTEMPT|SERVICE|UPSTREAM|OWNER|UPDATED", rows)
			})
		},
	})
	return command
}

func bookingOutputOf(record controlstate.Booking) bookingOutput {
	output := bookingOutput{
		Key:           record.Intent.Key,
		State:         record.State,
		Attempt:       record.Attempt,
		Service:       record.Intent.Service,
		Upstream:      record.Intent.Upstream,
		Owner:         record.Intent.OwnerID,
		OwnerInstance: record.Intent.OwnerInstance,
		Sender:        record.Intent.SenderID,
		Updated:       time.UnixMilli(record.UpdatedMillis).UTC(),
	}
	if json.Valid(record.Response) {
		output.Response = record.Response
	}
	return output
}
