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

// BookingCost is the measured cost of recording bookings in the control group with a number of concurrent workers. It
// covers the intent and the outcome of each booking, but no request to an upstream.
type BookingCost struct {
	Workers  int           `json:"workers"`
	Bookings int           `json:"bookings"`
	Elapsed  time.Duration `json:"elapsed_ns"`
	P50      time.Duration `json:"p50_ns"`
	P99      time.Duration `json:"p99_ns"`
}

// PerSecond returns the number of bookings recorded per second.
func (c BookingCost) PerSecond() float64 { return float64(c.Bookings) / c.Elapsed.Seconds() }

// MeasureBookings records bookings in the control group with concurrent workers. Each worker records its bookings one
// after the other. The run ID makes the booking keys unique among runs.
func MeasureBookings(ctx context.Context, dial controlrpc.Dialer, control []string, runID string, workers, bookingsPerWorker int) (BookingCost, error) {
	owner, err := registerOwner(ctx, dial, control, runID)
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
			for n := range bookingsPerWorker {
				begin := time.Now()
				err := recordBooking(ctx, client, owner, fmt.Sprintf("%s-%d-%d-%d", runID, workers, worker, n))
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

// registerOwner registers the entry VM that the intents name as owner. Its lease is not renewed, so a measurement must
// be shorter than the lease, after which the control group removes the entry VM.
func registerOwner(ctx context.Context, dial controlrpc.Dialer, control []string, runID string) (model.Member, error) {
	client := controlrpc.NewClient(control, dial)
	defer client.Close()
	owner := model.Member{ID: "measure-" + runID, RPCAddress: "127.0.0.1:1", FailureDomain: "measure"}
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
		return fault.New(fault.Conflict, "load.bookings", "booking key %q already exists", key)
	}
	outcome := controlstate.BookingOutcome{
		Key: key, Attempt: granted.Booking.Attempt, State: controlstate.BookingDone, Response: make([]byte, 64),
	}
	_, err = client.Propose(ctx, controlstate.Command{BookingOutcome: &outcome})
	return err
}
