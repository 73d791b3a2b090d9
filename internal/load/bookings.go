package load

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/controlstate"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/model"
)

// BookingCost is the cost of the durable part of bookings at one number of workers: intent and outcome, without the
// upstream.
type BookingCost struct {
	Workers  int           `json:"workers"`
	Bookings int           `json:"bookings"`
	Elapsed  time.Duration `json:"elapsed_ns"`
	P50      time.Duration `json:"p50_ns"`
	P99      time.Duration `json:"p99_ns"`
}

// PerSecond returns the bookings that the control group recorded per second.
func (c BookingCost) PerSecond() float64 { return float64(c.Bookings) / c.Elapsed.Seconds() }

// MeasureBookings records bookings in the control group with the number of workers, each one booking after another.
func MeasureBookings(ctx context.Context, dial controlrpc.Dialer, control []string, run string, workers, each int) (BookingCost, error) {
	owner, err := joinOwner(ctx, dial, control, run)
	if err != nil {
		return BookingCost{}, err
	}
	latency := hdrhistogram.New(1, maxLatencyMicros, significantFigures)
	var mu sync.Mutex
	var failure error
	var running sync.WaitGroup
	started := time.Now()
	for worker := range workers {
		running.Go(func() {
			client := controlrpc.NewClient(control, dial)
			defer client.Close()
			for n := range each {
				begin := time.Now()
				err := recordBooking(ctx, client, owner, fmt.Sprintf("%s-%d-%d-%d", run, workers, worker, n))
				mu.Lock()
				if err != nil {
					failure = err
				}
				_ = latency.RecordValue(time.Since(begin).Microseconds())
				mu.Unlock()
				if err != nil {
					return
				}
			}
		})
	}
	running.Wait()
	quantile := func(q float64) time.Duration { return time.Duration(latency.ValueAtQuantile(q)) * time.Microsecond }
	return BookingCost{
		Workers: workers, Bookings: int(latency.TotalCount()), Elapsed: time.Since(started), P50: quantile(50), P99: quantile(99),
	}, failure
}

// joinOwner registers the entry VM that the intents name as owner. Its lease is not renewed; it is removed a lease length
// later, so that one measurement must be shorter than that.
func joinOwner(ctx context.Context, dial controlrpc.Dialer, control []string, run string) (model.Member, error) {
	client := controlrpc.NewClient(control, dial)
	defer client.Close()
	owner := model.Member{ID: "measure-" + run, RPCAddress: "127.0.0.1:1", FailureDomain: "measure"}
	instance, err := client.Join(ctx, owner)
	owner.Instance = instance
	return owner, err
}

// recordBooking records the intent and the outcome of one booking.
func recordBooking(ctx context.Context, client *controlrpc.Client, owner model.Member, key string) error {
	intent := controlstate.BookingIntent{
		Key: key, Digest: "measure", Service: "settlement", Upstream: "measure",
		OwnerID: owner.ID, OwnerInstance: owner.Instance, SenderID: owner.ID, SenderInstance: owner.Instance,
	}
	granted, err := client.Propose(ctx, controlstate.Command{BookingIntent: &intent})
	if err != nil {
		return err
	}
	if !granted.Granted {
		return fault.New(fault.Conflict, "load.bookings", "key %q exists", key)
	}
	outcome := controlstate.BookingOutcome{
		Key: key, Attempt: granted.Booking.Attempt, State: controlstate.BookingDone, Response: make([]byte, 64),
	}
	_, err = client.Propose(ctx, controlstate.Command{BookingOutcome: &outcome})
	return err
}
