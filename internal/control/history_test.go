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
	joinedOwner  = "entry-1"
	noAnswer     = "no answer"
)

// load is the size of a history.
type load struct {
	clients, steps int
	pause          time.Duration
}

var (
	wide = load{clients: 6, steps: 40}
	// small keeps the search short that proves a history illegal.
	small = load{clients: 3, steps: 8}
)

// history collects the operations of all clients.
type history struct {
	begin time.Time
	sent  sync.Map

	// mu guards operations.
	mu         sync.Mutex
	operations []porcupine.Operation
}

// client is one client of a history and the member that it asks, until that one fails.
type client struct {
	*history
	id     int
	random *rand.Rand
	at     *control.Service
}

// record runs one attempt and keeps it. One that was surely not executed is left out; one without an answer may take
// effect at any later time.
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
	err := c.at.Propose(controlrpc.ProposeArgs{Command: command}, &reply)
	return reply.Result, errors.Join(err, reply.Fault.AsError())
}

// drive runs clients against the members until each has made its steps.
func drive(members []*control.Service, size load, step func(c *client) error) []porcupine.Operation {
	all := &history{begin: time.Now()}
	var running sync.WaitGroup
	for id := range size.clients {
		running.Go(func() {
			at := id
			for made := 0; made < size.steps; time.Sleep(size.pause) {
				c := &client{history: all, id: id, random: rand.New(rand.NewPCG(uint64(id), uint64(made))), at: members[at%len(members)]}
				if step(c) == nil {
					made++
				} else {
					at++
				}
			}
		})
	}
	running.Wait()
	return all.operations
}

// describe builds the checker's model from a step function. An operation without an answer may have run or not.
func describe(initial any, step func(state, input any) (next, output any)) porcupine.NondeterministicModel {
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

// configOutput is the accepted version or a conflict; for a read it is what was read.
type configOutput struct {
	Version  uint64
	Content  string
	Conflict bool
}

// configState is the configuration with the results of all changes so far, as lines of identifier and version.
type configState struct {
	version uint64
	content string
	results string
}

// configModel is a register with compare-and-set that gives a resent change its first result.
var configModel = describe(configState{}, func(state, input any) (any, any) {
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

// configHistory lets clients race with changes on the versions that they read, and resend each other's changes.
func configHistory(members []*control.Service, size load) []porcupine.Operation {
	return drive(members, size, func(c *client) error {
		var read configOutput
		err := c.record(configInput{}, func() (any, error) {
			var reply controlrpc.ViewReply
			err := errors.Join(c.at.View(controlrpc.ViewArgs{}, &reply), reply.Fault.AsError())
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
		loaded, _ := c.sent.LoadOrStore(id, configInput{ID: id, Base: read.Version, Content: fmt.Sprintf("by-%d", c.id)})
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

// bookingModel grants an attempt only to a new key or after a recorded not run, and keeps the first outcome.
var bookingModel = describe(bookingOutput{}, func(state, input any) (any, any) {
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

// bookingHistory lets clients resend the same few keys and report outcomes of their own and of others' attempts.
func bookingHistory(members []*control.Service, size load, ownerInstance uint64) []porcupine.Operation {
	outcomes := []controlstate.BookingState{
		controlstate.BookingNotRun, controlstate.BookingNotRun, controlstate.BookingNotRun, controlstate.BookingDone, controlstate.BookingUnknown,
	}
	return drive(members, size, func(c *client) error {
		var held bookingOutput
		ask := func(input bookingInput, command controlstate.Command) error {
			return c.record(input, func() (any, error) {
				result, err := c.propose(command)
				if result.Booking != nil {
					held = bookingOutput{Granted: result.Granted, Attempt: result.Booking.Attempt, State: result.Booking.State}
				}
				return held, err
			})
		}
		key := fmt.Sprintf("key-%d", c.random.IntN(3*size.clients))
		intent := controlstate.BookingIntent{Key: key, OwnerID: joinedOwner, OwnerInstance: ownerInstance}
		if err := ask(bookingInput{Key: key}, controlstate.Command{BookingIntent: &intent}); err != nil || held.State != controlstate.BookingOpen {
			return err
		}
		outcome := controlstate.BookingOutcome{Key: key, Attempt: held.Attempt, State: outcomes[c.random.IntN(len(outcomes))]}
		held = bookingOutput{}
		return ask(bookingInput{Key: key, Attempt: outcome.Attempt, State: outcome.State}, controlstate.Command{BookingOutcome: &outcome})
	})
}

func checkConfig(operations []porcupine.Operation) porcupine.CheckResult {
	return porcupine.CheckOperationsTimeout(configModel.ToModel(), operations, checkTimeout)
}

// checkBookings checks each key by itself.
func checkBookings(operations []porcupine.Operation) porcupine.CheckResult {
	byKey := map[string][]porcupine.Operation{}
	for _, operation := range operations {
		key := operation.Input.(bookingInput).Key
		byKey[key] = append(byKey[key], operation)
	}
	for _, part := range byKey {
		if result := porcupine.CheckOperationsTimeout(bookingModel.ToModel(), part, checkTimeout); result != porcupine.Ok {
			return result
		}
	}
	return porcupine.Ok
}

func join(service *control.Service) uint64 {
	var reply controlrpc.JoinReply
	Expect(service.Join(controlrpc.JoinArgs{Member: model.Member{ID: joinedOwner, RPCAddress: "127.0.0.1:1"}}, &reply)).To(Succeed())
	Expect(reply.Fault.AsError()).NotTo(HaveOccurred())
	return reply.Instance
}

// forgetfulReplicator gives every proposal a new identity, so that resends run again.
type forgetfulReplicator struct{ *control.MemoryReplicator }

func (r forgetfulReplicator) Propose(ctx context.Context, data []byte) ([]byte, error) {
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

var _ = DescribeTable("concurrent histories against one member", func(forgetful bool, size load, want porcupine.CheckResult) {
	machine := control.NewMachine()
	memory := control.NewMemoryReplicator("control-1", machine)
	var replicator control.Replicator = memory
	if forgetful {
		replicator = forgetfulReplicator{memory}
	}
	members := []*control.Service{control.NewService("control-1", machine, replicator, time.Now)}
	owner := join(members[0])
	Expect(checkConfig(configHistory(members, size))).To(Equal(want))
	Expect(checkBookings(bookingHistory(members, size, owner))).To(Equal(want))
},
	Entry("are linearizable for configuration changes with resends and for bookings", false, wide, porcupine.Ok),
	Entry("are refused by the checker when resends run again", true, small, porcupine.Illegal),
)
