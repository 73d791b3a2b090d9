package slopes

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/controlstate"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/model"
	"github.com/wisteriamux/wisteriamux/internal/ownership"
)

// Sizes at which the in-process measurements run.
var (
	upstreamSizes = []int{115, 500, 2_000, 5_000, 15_000}
	memberSizes   = []int{8, 100, 400, 1_000, 2_800}
	bookingSizes  = []int{10_000, 25_000, 50_000, 75_000, 100_000}
	logSizes      = []int{1_000, 2_000, 4_000, 8_000}
	shardSizes    = []int{50, 100, 200, 410}
)

const (
	// fixedMembers and fixedUpstreams are the sizes of a view that a measurement doesn't vary.
	fixedMembers   = 8
	fixedUpstreams = 115
	// timingRuns is the number of timings of which the shortest counts.
	timingRuns    = 9
	responseBytes = 64

	ownerInstance     = 17
	senderInstance    = 18
	firstBookingIndex = 100
	ownersSeed        = 1
	ownersQueries     = 200
)

// MeasureInProcess measures the slopes that need no running cluster.
func MeasureInProcess() ([]Slope, error) {
	var all []Slope
	for _, measure := range []func() (Slope, error){
		viewPerUpstream, viewPerMember, viewDecoding, viewMemory, ownershipPerUpstream, ownershipPerMember, ownersContacted,
		bookingMemory, bookingLog,
	} {
		slope, err := measure()
		if err != nil {
			return all, err
		}
		all = append(all, slope)
	}
	return all, nil
}

func syntheticView(members, upstreams int) model.View {
	view := model.View{Revision: 1_000}
	for n := range members {
		view.Members = append(view.Members, syntheticMember(n))
	}
	for n := range upstreams {
		view.Upstreams = append(view.Upstreams, model.Upstream{Announcement: syntheticAnnouncement(n), State: model.UpstreamReady, Since: 900})
	}
	return view
}

func syntheticMember(n int) model.Member {
	return model.Member{
		ID: fmt.Sprintf("entry-%04d", n), Instance: uint64(n + 1), FailureDomain: "halle-a",
		RPCAddress: fmt.Sprintf("10.0.%d.%d:7002", n/250, n%250),
	}
}

// syntheticAnnouncement returns the announcement of the n-th upstream. Each shard has two replicas and each service 410
// shards, the fan-out at the planned two-year size.
func syntheticAnnouncement(n int) model.Announcement {
	const shards = 410
	shard := n / 2
	service := fmt.Sprintf("service-%02d", shard/shards)
	return model.Announcement{
		Name: fmt.Sprintf("%s-s%03d-r%d", service, shard%shards, n%2), Instance: fmt.Sprintf("%d-%d", 4_000+n, 1_796_000_000+n),
		Service: service, FailureDomain: "halle-b", Address: fmt.Sprintf("10.1.%d.%d:9001", n/250, n%250),
		Shard: shard % shards, ShardCount: shards, Generation: 3, MinVersion: 41, MaxVersion: 42, Slots: 2, Connections: 25,
	}
}

// countingWriter counts the bytes written to it.
type countingWriter struct{ total int }

func (w *countingWriter) Write(data []byte) (int, error) {
	w.total += len(data)
	return len(data), nil
}

// viewBytes returns the size of a view in the gob encoding of net/rpc, without the type descriptions that are sent once
// per connection.
func viewBytes(view model.View) (float64, error) {
	var count countingWriter
	encoder := gob.NewEncoder(&count)
	if err := encoder.Encode(controlrpc.ViewReply{}); err != nil {
		return 0, fault.New(fault.Internal, "slopes.view", "%w", err)
	}
	before := count.total
	if err := encoder.Encode(controlrpc.ViewReply{View: view}); err != nil {
		return 0, fault.New(fault.Internal, "slopes.view", "%w", err)
	}
	return float64(count.total - before), nil
}

func viewPerUpstream() (Slope, error) {
	var points []Point
	for _, size := range upstreamSizes {
		count, err := viewBytes(syntheticView(fixedMembers, size))
		if err != nil {
			return Slope{}, err
		}
		points = append(points, Point{float64(size), count})
	}
	return Fit("view bytes by upstreams", "bytes per upstream", "8 members, in process, gob", points), nil
}

func viewPerMember() (Slope, error) {
	var points []Point
	for _, size := range memberSizes {
		count, err := viewBytes(syntheticView(size, fixedUpstreams))
		if err != nil {
			return Slope{}, err
		}
		points = append(points, Point{float64(size), count})
	}
	return Fit("view bytes by members", "bytes per member", "115 upstreams, in process, gob", points), nil
}

// minMicros returns the shortest of several timings in microseconds. The minimum is the least distorted one, since
// other work on the machine only makes a timing longer.
func minMicros(work func()) float64 {
	best := time.Duration(1<<63 - 1)
	for range timingRuns {
		began := time.Now()
		work()
		best = min(best, time.Since(began))
	}
	return float64(best.Microseconds())
}

func ownershipPerUpstream() (Slope, error) {
	var points []Point
	for _, size := range upstreamSizes {
		view := syntheticView(fixedMembers, size)
		points = append(points, Point{float64(size), minMicros(func() { ownership.Assign(view) })})
	}
	return Fit("ownership time by upstreams", "us per upstream", "8 members, in process, shortest of 9", points), nil
}

func ownershipPerMember() (Slope, error) {
	var points []Point
	for _, size := range memberSizes {
		view := syntheticView(size, upstreamSizes[len(upstreamSizes)-1])
		points = append(points, Point{float64(size), minMicros(func() { ownership.Assign(view) })})
	}
	return Fit("ownership time by members", "us per member", "15,000 upstreams of 19 services, in process, shortest of 9", points), nil
}

// encodeView returns a view in the gob encoding of net/rpc, with its type descriptions.
func encodeView(view model.View) ([]byte, error) {
	var data bytes.Buffer
	if err := gob.NewEncoder(&data).Encode(controlrpc.ViewReply{View: view}); err != nil {
		return nil, fault.New(fault.Internal, "slopes.view", "%w", err)
	}
	return data.Bytes(), nil
}

func decodeView(data []byte) (controlrpc.ViewReply, error) {
	var reply controlrpc.ViewReply
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&reply); err != nil {
		return reply, fault.New(fault.Internal, "slopes.view", "%w", err)
	}
	return reply, nil
}

func viewDecoding() (Slope, error) {
	var points []Point
	for _, size := range upstreamSizes {
		data, err := encodeView(syntheticView(fixedMembers, size))
		if err != nil {
			return Slope{}, err
		}
		micros := minMicros(func() { _, err = decodeView(data) })
		if err != nil {
			return Slope{}, err
		}
		points = append(points, Point{float64(size), micros})
	}
	return Fit("view decoding by upstreams", "us per upstream", "8 members, in process, gob, shortest of 9", points), nil
}

// viewMemory measures the heap memory of a decoded view and its ownership assignment, which every entry VM holds.
func viewMemory() (Slope, error) {
	var points []Point
	for _, size := range upstreamSizes {
		data, err := encodeView(syntheticView(fixedMembers, size))
		if err != nil {
			return Slope{}, err
		}
		before := heapBytes()
		reply, err := decodeView(data)
		if err != nil {
			return Slope{}, err
		}
		owners := ownership.Assign(reply.View)
		points = append(points, Point{float64(size), (heapBytes() - before) / 1e3})
		runtime.KeepAlive(owners)
		runtime.KeepAlive(reply)
		runtime.KeepAlive(data)
	}
	return Fit("entry VM memory by upstreams", "KB of heap per upstream", "decoded view and owners, in process, after GC", points), nil
}

// ownersContacted measures how many distinct owners a search of the first shards of one service contacts when it picks
// a random replica of each shard.
func ownersContacted() (Slope, error) {
	view := syntheticView(memberSizes[len(memberSizes)-1], upstreamSizes[len(upstreamSizes)-1])
	owners := ownership.Assign(view)
	random := rand.New(rand.NewPCG(ownersSeed, 0))
	var points []Point
	for _, size := range shardSizes {
		contacted := 0
		for range ownersQueries {
			distinct := map[string]bool{}
			for shard := range size {
				distinct[owners[view.Upstreams[2*shard+random.IntN(2)].Name].ID] = true
			}
			contacted += len(distinct)
		}
		points = append(points, Point{float64(size), float64(contacted) / ownersQueries})
	}
	return Fit("owners contacted by shards", "owners per shard of a query", "2,800 members, 15,000 upstreams, 2 replicas, in process", points), nil
}

// bookingCommands returns the commands that record the intent and the outcome of the n-th booking.
func bookingCommands(n int) (intent, outcome controlstate.Command) {
	key := fmt.Sprintf("lot-2026-12-04-%08d", n)
	intent.UnixMillis = 1_796_000_000_000 + int64(n)
	intent.BookingIntent = &controlstate.BookingIntent{
		Key: key, Digest: fmt.Sprintf("%064x", n), Service: "settlement", Upstream: "settlement-s0-r1",
		OwnerID: "entry-0001", OwnerInstance: ownerInstance, SenderID: "entry-0002", SenderInstance: senderInstance,
	}
	outcome.UnixMillis = intent.UnixMillis
	outcome.BookingOutcome = &controlstate.BookingOutcome{
		Key: key, Attempt: 1, State: controlstate.BookingDone, Response: make([]byte, responseBytes),
	}
	return intent, outcome
}

// heapBytes returns the size of the live heap after garbage collection.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// bookingMemory measures the heap memory of the control state by bookings. It encodes and decodes each command before
// it applies it, so that the state shares no memory with the caller.
func bookingMemory() (Slope, error) {
	state := controlstate.New()
	registerBookingMembers(state)
	before := heapBytes()
	var points []Point
	applied := 0
	for _, size := range bookingSizes {
		for ; applied < size; applied++ {
			if err := applyBooking(state, applied); err != nil {
				return Slope{}, err
			}
		}
		points = append(points, Point{float64(size) / 1_000, (heapBytes() - before) / 1e6})
	}
	runtime.KeepAlive(state)
	return Fit("control memory by bookings", "MB of heap per 1,000 bookings", "64-byte responses, in process, after GC", points), nil
}

// registerBookingMembers registers the entry VMs that the booking commands name. The instance of a member is the log
// index of its join.
func registerBookingMembers(state *controlstate.State) {
	for id, index := range map[string]uint64{"entry-0001": ownerInstance, "entry-0002": senderInstance} {
		member := model.Member{ID: id, RPCAddress: "10.0.0.1:7002"}
		state.Apply(index, controlstate.Command{JoinMember: &controlstate.JoinMember{Member: member}})
	}
}

func applyBooking(state *controlstate.State, n int) error {
	intent, outcome := bookingCommands(n)
	for step, command := range []controlstate.Command{intent, outcome} {
		data, err := command.Encode()
		if err != nil {
			return err
		}
		decoded, err := controlstate.DecodeCommand(data)
		if err != nil {
			return err
		}
		if result := state.Apply(uint64(firstBookingIndex+2*n+step), decoded); result.Fault != nil {
			return result.Fault.AsError()
		}
	}
	return nil
}

// bookingLog measures the size of the log entries of a booking.
func bookingLog() (Slope, error) {
	var points []Point
	for _, size := range logSizes {
		total := 0
		for n := range size {
			intent, outcome := bookingCommands(n)
			for _, command := range []controlstate.Command{intent, outcome} {
				data, err := command.Encode()
				if err != nil {
					return Slope{}, err
				}
				total += len(data)
			}
		}
		points = append(points, Point{float64(size), float64(total)})
	}
	return Fit("log bytes by bookings", "bytes per booking", "intent and outcome, 64-byte responses, without record headers", points), nil
}
