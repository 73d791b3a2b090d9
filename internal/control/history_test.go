package control_test

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/control"
	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/controlstate"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/model"
)

const (
	checkTimeout = 30 * time.Second
	ownerID      = "entry-1"
	noAnswer     = "no answer"
)

// historySize sets how many clients run how many steps each, with a pause between the steps.
type historySize struct {
	clients, steps int
	pause          time.Duration
}

var (
	largeHistory = historySize{clients: 6, steps: 40}
	// smallHistory bounds the search that the checker needs to prove a history illegal.
	smallHistory = historySize{clients: 3, steps: 8}
)

// history collects the operations of all clients.
type history struct {
	begin       time.Time
	sentChanges sync.Map

	// mu guards operations.
	mu         sync.Mutex
	operations []porcupine.Operation
}

// client is one client of a history and the member that it calls.
type client struct {
	*history
	id     int
	random *rand.Rand
	target *control.Service
}

// record runs one operation and adds it to the history. An operation that was certainly not executed is left out. One
// without an answer may take effect at any later time.
func (c *client) record(input any, run func() (any, error)) error {
	call := time.Since(c.begin).Nanoseconds()
	output, err := run()
	operation := porcupine.Operation{ClientId: c.id, Input: input, Call: call, Output: output, Return: time.Since(c.begin).Nanoseconds()}
	switch {
	case fault.Is(err, fault.NotLeader):
		return err
	case err != nil:
		operation.Output, operation.Return = noAnswer, math.MaxInt64
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.operations = append(c.operations, operation)
	return err
}

func (c *client) propose(command controlstate.Command) (controlstate.Result, error) {
	var reply controlrpc.ProposeReply
	err := c.target.Propose(controlrpc.ProposeArgs{Command: command}, &reply)
	return reply.Result, errors.Join(err, reply.Fault.AsError())
}

// runClients runs clients against the members until each has completed its steps. A client switches to the next member
// when a step fails.
func runClients(members []*control.Service, size historySize, step func(c *client) error) []porcupine.Operation {
	collected := &history{begin: time.Now()}
	var wg sync.WaitGroup
	for id := range size.clients {
		wg.Go(func() {
			target := id
			for completed := 0; completed < size.steps; time.Sleep(size.pause) {
				c := &client{history: collected, id: id, random: rand.New(rand.NewPCG(uint64(id), uint64(completed))), target: members[target%len(members)]}
				if step(c) == nil {
					completed++
				} else {
					target++
				}
			}
		})
	}
	wg.Wait()
	return collected.operations
}

// newModel builds the checker's model from a step function. An operation without an answer may or may not have run.
func newModel(initial any, step func(state, input any) (next, output any)) porcupine.NondeterministicModel {
	return porcupine.NondeterministicModel{
		Init: func() []any { return []any{initial} },
		Step: func(state, input, output any) []any {
			next, want := step(state, input)
			switch output {
			case noAnswer:
				return []any{state, next}
			case want:
				return []any{next}
			}
			return nil
		},
		Equal: func(a, b any) bool { return a == b },
	}
}

// configInput is a change, or a read when ID is empty.
type configInput struct {
	ID      string
	Base    uint64
	Content string
}

// configOutput is the accepted version or a conflict, or the result of a read.
type configOutput struct {
	Version  uint64
	Content  string
	Conflict bool
}

// configState is the configuration with the results of all changes so far, as lines of change ID and version.
type configState struct {
	version uint64
	content string
	results string
}

// configModel is a compare-and-set register that returns the first result for a resent change.
var configModel = newModel(configState{}, func(state, input any) (any, any) {
	s, in := state.(configState), input.(configInput)
	if in.ID == "" {
		return s, configOutput{Version: s.version, Content: s.content}
	}
	if _, after, ok := strings.Cut(s.results, "\n"+in.ID+" "); ok {
		var earlier uint64
		_, _ = fmt.Sscan(after, &earlier)
		return s, configOutput{Version: earlier, Conflict: earlier == 0}
	}
	output := configOutput{Conflict: true}
	if in.Base == s.version {
		s.version, s.content = s.version+1, in.Content
		output = configOutput{Version: s.version}
	}
	s.results += fmt.Sprintf("\n%s %d ", in.ID, output.Version)
	return s, output
})

// configHistory runs clients that concurrently change the version that they have read, and resend each other's changes.
func configHistory(members []*control.Service, size historySize) []porcupine.Operation {
	return runClients(members, size, func(c *client) error {
		var read configOutput
		err := c.record(configInput{}, func() (any, error) {
			var reply controlrpc.ViewReply
			err := errors.Join(c.target.View(controlrpc.ViewArgs{}, &reply), reply.Fault.AsError())
			read.Version = reply.View.Config.Version
			for _, region := range reply.View.Config.Inventory.Regions {
				read.Content = region.Name
			}
			return read, err
		})
		if err != nil {
			return err
		}
		id := fmt.Sprintf("change-%d", c.random.IntN(size.clients*size.steps/3))
		loaded, _ := c.sentChanges.LoadOrStore(id, configInput{ID: id, Base: read.Version, Content: fmt.Sprintf("by-%d", c.id)})
		in := loaded.(configInput)
		return c.record(in, func() (any, error) {
			result, err := c.propose(controlstate.Command{ApplyConfig: &controlstate.ApplyConfig{
				ChangeID: in.ID, BaseVersion: in.Base, Inventory: model.Inventory{Regions: []model.Region{{Name: in.Content}}},
			}})
			return configOutput{Version: result.Version, Conflict: fault.Is(result.Fault.AsError(), fault.Conflict)}, err
		})
	})
}

// bookingInput is an intent, or the outcome of an attempt when State is set.
type bookingInput struct {
	Key     string
	Attempt uint64
	State   controlstate.BookingState
}

// bookingOutput is the record after the operation.
type bookingOutput struct {
	Granted bool
	Attempt uint64
	State   controlstate.BookingState
}

// bookingModel grants an attempt only for a new key or after the recorded outcome not_run, and keeps the first outcome.
var bookingModel = newModel(bookingOutput{}, func(state, input any) (any, any) {
	s, in := state.(bookingOutput), input.(bookingInput)
	granted := in.State == "" && (s.State == "" || s.State == controlstate.BookingNotRun)
	switch {
	case granted:
		s = bookingOutput{Attempt: s.Attempt + 1, State: controlstate.BookingOpen}
	case in.State != "" && s.State == controlstate.BookingOpen && s.Attempt == in.Attempt:
		s.State = in.State
	}
	return s, bookingOutput{Granted: granted, Attempt: s.Attempt, State: s.State}
})

// bookingHistory runs clients that resend the same few keys and report outcomes of their own and of others' attempts.
func bookingHistory(members []*control.Service, size historySize, ownerInstance uint64) []porcupine.Operation {
	outcomes := []controlstate.BookingState{
		controlstate.BookingNotRun, controlstate.BookingNotRun, controlstate.BookingNotRun, controlstate.BookingDone, controlstate.BookingUnknown,
	}
	return runClients(members, size, func(c *client) error {
		var latest bookingOutput
		send := func(input bookingInput, command controlstate.Command) error {
			return c.record(input, func() (any, error) {
				result, err := c.propose(command)
				if result.Booking != nil {
					latest = bookingOutput{Granted: result.Granted, Attempt: result.Booking.Attempt, State: result.Booking.State}
				}
				return latest, err
			})
		}
		key := fmt.Sprintf("key-%d", c.random.IntN(3*size.clients))
		intent := controlstate.BookingIntent{Key: key, OwnerID: ownerID, OwnerInstance: ownerInstance}
		if err := send(bookingInput{Key: key}, controlstate.Command{BookingIntent: &intent}); err != nil || latest.State != controlstate.BookingOpen {
			return err
		}
		outcome := controlstate.BookingOutcome{Key: key, Attempt: latest.Attempt, State: outcomes[c.random.IntN(len(outcomes))]}
		latest = bookingOutput{}
		return send(bookingInput{Key: key, Attempt: outcome.Attempt, State: outcome.State}, controlstate.Command{BookingOutcome: &outcome})
	})
}

func checkConfig(operations []porcupine.Operation) porcupine.CheckResult {
	return porcupine.CheckOperationsTimeout(configModel.ToModel(), operations, checkTimeout)
}

// checkBookings checks the history of each key separately.
func checkBookings(operations []porcupine.Operation) porcupine.CheckResult {
	byKey := map[string][]porcupine.Operation{}
	for _, operation := range operations {
		key := operation.Input.(bookingInput).Key
		byKey[key] = append(byKey[key], operation)
	}
	for _, keyOperations := range byKey {
		if result := porcupine.CheckOperationsTimeout(bookingModel.ToModel(), keyOperations, checkTimeout); result != porcupine.Ok {
			return result
		}
	}
	return porcupine.Ok
}

func join(service *control.Service) uint64 {
	var reply controlrpc.JoinReply
	Expect(service.Join(controlrpc.JoinArgs{Member: model.Member{ID: ownerID, RPCAddress: "127.0.0.1:1"}}, &reply)).To(Succeed())
	Expect(reply.Fault.AsError()).NotTo(HaveOccurred())
	return reply.Instance
}

// nonIdempotentReplicator gives every proposal a new ID or key, so that the state machine does not recognize resends.
type nonIdempotentReplicator struct{ *control.MemoryReplicator }

func (r nonIdempotentReplicator) Propose(ctx context.Context, data []byte) ([]byte, error) {
	command, err := controlstate.DecodeCommand(data)
	if err != nil {
		return nil, err
	}
	if command.ApplyConfig != nil {
		command.ApplyConfig.ChangeID = fmt.Sprint(rand.Uint64())
	}
	if command.BookingIntent != nil {
		command.BookingIntent.Key = fmt.Sprint(rand.Uint64())
	}
	if data, err = command.Encode(); err != nil {
		return nil, err
	}
	return r.MemoryReplicator.Propose(ctx, data)
}

var _ = DescribeTable("concurrent histories against one member", func(resendsRunAgain bool, size historySize, want porcupine.CheckResult) {
	machine := control.NewMachine()
	memory := control.NewMemoryReplicator("control-1", machine)
	var replicator control.Replicator = memory
	if resendsRunAgain {
		replicator = nonIdempotentReplicator{memory}
	}
	members := []*control.Service{control.NewService("control-1", machine, replicator, time.Now)}
	owner := join(members[0])
	Expect(checkConfig(configHistory(members, size))).To(Equal(want))
	Expect(checkBookings(bookingHistory(members, size, owner))).To(Equal(want))
},
	Entry("are linearizable for configuration changes with resends and for bookings", false, largeHistory, porcupine.Ok),
	Entry("are rejected by the checker when resends run again", true, smallHistory, porcupine.Illegal),
)
