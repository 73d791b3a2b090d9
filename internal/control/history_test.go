package control_test

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
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

// endpoint is one control member as a client sees it.
type endpoint interface {
	Propose(args controlrpc.ProposeArgs, reply *controlrpc.ProposeReply) error
	View(args controlrpc.ViewArgs, reply *controlrpc.ViewReply) error
}

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

// recorder collects the operations of all clients.
type recorder struct {
	begin time.Time

	// mu guards operations.
	mu         sync.Mutex
	operations []porcupine.Operation
}

// record runs an operation and keeps it. One that was surely not executed is left out; one without an answer may take
// effect at any later time.
func (r *recorder) record(client int, input any, run func() (any, error)) {
	call := time.Since(r.begin).Nanoseconds()
	output, err := run()
	operation := porcupine.Operation{ClientId: client, Input: input, Call: call, Output: output, Return: time.Since(r.begin).Nanoseconds()}
	switch {
	case fault.Is(err, fault.NotLeader):
		return
	case err != nil:
		operation.Output, operation.Return = noAnswer, math.MaxInt64
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.operations = append(r.operations, operation)
}

// propose makes one attempt, without the retries of the client.
func propose(at endpoint, command controlstate.Command) (controlstate.Result, error) {
	var reply controlrpc.ProposeReply
	if err := at.Propose(controlrpc.ProposeArgs{Command: command}, &reply); err != nil {
		return reply.Result, err
	}
	return reply.Result, reply.Fault.AsError()
}

// drive runs clients against the endpoints until each has made its steps; each sticks to one endpoint until it fails.
func drive(endpoints []endpoint, size load, step func(random *rand.Rand, client int, at endpoint) error) {
	var running sync.WaitGroup
	for client := range size.clients {
		running.Go(func() {
			random := rand.New(rand.NewPCG(uint64(client), 20261204))
			at := client
			for made := 0; made < size.steps; {
				if step(random, client, endpoints[at%len(endpoints)]) == nil {
					made++
				} else {
					at++
				}
				time.Sleep(size.pause)
			}
		})
	}
	running.Wait()
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

// configModel is a register with compare-and-set whose state lists the results of all changes so far.
var configModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{configState{}} },
	Step: func(state, input, output any) []any {
		s, in := state.(configState), input.(configInput)
		next, want := s.step(in)
		if output == noAnswer {
			return []any{s, next}
		}
		if output != want {
			return nil
		}
		return []any{next}
	},
	Equal: func(a, b any) bool { return a == b },
}

// configState is comparable; results is a list of "id=output".
type configState struct {
	version uint64
	content string
	results string
}

func (s configState) step(in configInput) (configState, configOutput) {
	if in.ID == "" {
		return s, configOutput{Version: s.version, Content: s.content}
	}
	var earlier configOutput
	if found := findResult(s.results, in.ID, &earlier); found {
		return s, earlier
	}
	output := configOutput{Conflict: true}
	if in.Base == s.version {
		s.version, s.content = s.version+1, in.Content
		output = configOutput{Version: s.version}
	}
	s.results += fmt.Sprintf("%s %d %t\n", in.ID, output.Version, output.Conflict)
	return s, output
}

func findResult(results, id string, into *configOutput) bool {
	for len(results) > 0 {
		var name string
		n, _ := fmt.Sscanf(results, "%s %d %t\n", &name, &into.Version, &into.Conflict)
		if n == 3 && name == id {
			return true
		}
		for i := range results {
			if results[i] == '\n' {
				results = results[i+1:]
				break
			}
		}
	}
	return false
}

// configHistory lets clients race with changes on the versions that they read, and resend each other's changes.
func configHistory(endpoints []endpoint, size load) []porcupine.Operation {
	r := &recorder{begin: time.Now()}
	var sent sync.Map
	drive(endpoints, size, func(random *rand.Rand, client int, at endpoint) error {
		var base uint64
		var failed error
		r.record(client, configInput{}, func() (any, error) {
			var reply controlrpc.ViewReply
			failed = errors.Join(at.View(controlrpc.ViewArgs{}, &reply), reply.Fault.AsError())
			base = reply.View.Config.Version
			return configOutput{Version: base, Content: contentOf(reply.View.Config.Inventory)}, failed
		})
		if failed != nil {
			return failed
		}
		id := fmt.Sprintf("change-%d", random.IntN(size.clients*size.steps/3))
		loaded, _ := sent.LoadOrStore(id, configInput{ID: id, Base: base, Content: fmt.Sprintf("by-%d", client)})
		input := loaded.(configInput)
		r.record(client, input, func() (any, error) {
			var result controlstate.Result
			result, failed = propose(at, controlstate.Command{ApplyConfig: &controlstate.ApplyConfig{
				ChangeID: input.ID, BaseVersion: input.Base, Inventory: inventoryOf(input.Content),
			}})
			if fault.Is(result.Fault.AsError(), fault.Conflict) {
				return configOutput{Conflict: true}, failed
			}
			return configOutput{Version: result.Version}, failed
		})
		return failed
	})
	return r.operations
}

func inventoryOf(content string) model.Inventory {
	return model.Inventory{Regions: []model.Region{{Name: content}}}
}

func contentOf(inventory model.Inventory) string {
	if len(inventory.Regions) == 0 {
		return ""
	}
	return inventory.Regions[0].Name
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

// bookingModel grants an attempt only to a new key or after a recorded not run.
var bookingModel = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, operation := range history {
			key := operation.Input.(bookingInput).Key
			byKey[key] = append(byKey[key], operation)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() []any { return []any{bookingOutput{}} },
	Step: func(state, input, output any) []any {
		s, in := state.(bookingOutput), input.(bookingInput)
		next, want := stepBooking(s, in)
		if output == noAnswer {
			return []any{s, next}
		}
		if output != want {
			return nil
		}
		return []any{next}
	},
	Equal: func(a, b any) bool { return a == b },
}

func stepBooking(s bookingOutput, in bookingInput) (next, output bookingOutput) {
	if in.State == "" {
		granted := s.State == "" || s.State == controlstate.BookingNotRun
		if granted {
			s = bookingOutput{Attempt: s.Attempt + 1, State: controlstate.BookingOpen}
		}
		return s, bookingOutput{Granted: granted, Attempt: s.Attempt, State: s.State}
	}
	if s.State == controlstate.BookingOpen && s.Attempt == in.Attempt {
		s.State = in.State
	}
	return s, s
}

// bookingHistory lets clients resend the same few keys and report outcomes of their own and of others' attempts.
func bookingHistory(endpoints []endpoint, size load, ownerInstance uint64) []porcupine.Operation {
	r := &recorder{begin: time.Now()}
	drive(endpoints, size, func(random *rand.Rand, client int, at endpoint) error {
		var failed error
		ask := func(input bookingInput, command controlstate.Command) bookingOutput {
			var output bookingOutput
			r.record(client, input, func() (any, error) {
				var result controlstate.Result
				result, failed = propose(at, command)
				if failed == nil && result.Booking != nil {
					output = bookingOutput{Granted: result.Granted, Attempt: result.Booking.Attempt, State: result.Booking.State}
				}
				return output, failed
			})
			return output
		}
		key := fmt.Sprintf("key-%d", random.IntN(3*size.clients))
		intent := controlstate.BookingIntent{Key: key, OwnerID: joinedOwner, OwnerInstance: ownerInstance}
		held := ask(bookingInput{Key: key}, controlstate.Command{BookingIntent: &intent})
		if failed != nil || held.State != controlstate.BookingOpen {
			return failed
		}
		states := []controlstate.BookingState{
			controlstate.BookingNotRun, controlstate.BookingNotRun, controlstate.BookingNotRun, controlstate.BookingDone, controlstate.BookingUnknown,
		}
		outcome := controlstate.BookingOutcome{Key: key, Attempt: held.Attempt, State: states[random.IntN(len(states))]}
		ask(bookingInput{Key: key, Attempt: outcome.Attempt, State: outcome.State}, controlstate.Command{BookingOutcome: &outcome})
		return failed
	})
	return r.operations
}

func check(described porcupine.NondeterministicModel, history []porcupine.Operation) porcupine.CheckResult {
	return porcupine.CheckOperationsTimeout(described.ToModel(), history, checkTimeout)
}

// memoryEndpoint serves a replicator in memory; rewrite changes each command, as a fault in the control service would.
func memoryEndpoint(rewrite func(command *controlstate.Command)) (endpoint, uint64) {
	machine := control.NewMachine()
	replicator := &rewritingReplicator{MemoryReplicator: control.NewMemoryReplicator("control-1", machine), rewrite: rewrite}
	service := control.NewService("control-1", machine, replicator, time.Now)
	return service, join(service)
}

func join(service *control.Service) uint64 {
	var reply controlrpc.JoinReply
	Expect(service.Join(controlrpc.JoinArgs{Member: model.Member{ID: joinedOwner, RPCAddress: "127.0.0.1:1"}}, &reply)).To(Succeed())
	Expect(reply.Fault.AsError()).NotTo(HaveOccurred())
	return reply.Instance
}

type rewritingReplicator struct {
	*control.MemoryReplicator
	rewrite func(command *controlstate.Command)
}

func (r *rewritingReplicator) Propose(ctx context.Context, data []byte) ([]byte, error) {
	command, err := controlstate.DecodeCommand(data)
	if err != nil {
		return nil, err
	}
	r.rewrite(&command)
	if data, err = command.Encode(); err != nil {
		return nil, err
	}
	return r.MemoryReplicator.Propose(ctx, data)
}

// forgetIdentity gives every proposal a new identity, so that resends run again.
func forgetIdentity(command *controlstate.Command) {
	if command.ApplyConfig != nil {
		command.ApplyConfig.ChangeID = fmt.Sprint(rand.Uint64())
	}
	if command.BookingIntent != nil {
		command.BookingIntent.Key = fmt.Sprint(rand.Uint64())
	}
}

var _ = Describe("concurrent histories against one member", func() {
	It("are linearizable for configuration changes with resends and for bookings", func() {
		member, owner := memoryEndpoint(func(*controlstate.Command) {})
		Expect(check(configModel, configHistory([]endpoint{member}, wide))).To(Equal(porcupine.Ok))
		Expect(check(bookingModel, bookingHistory([]endpoint{member}, wide, owner))).To(Equal(porcupine.Ok))
	})

	It("are refused by the checker when resends run again", func() {
		member, owner := memoryEndpoint(forgetIdentity)
		Expect(check(configModel, configHistory([]endpoint{member}, small))).To(Equal(porcupine.Illegal))
		Expect(check(bookingModel, bookingHistory([]endpoint{member}, small, owner))).To(Equal(porcupine.Illegal))
	})
})
