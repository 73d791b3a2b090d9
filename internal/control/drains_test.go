package control

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/controlstate"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/model"
	"github.com/wisteriamux/wisteriamux/internal/planner"
)

// drainWorld is a service with a test clock, one entry VM, and ten services of two upstreams each.
type drainWorld struct {
	clock   time.Time
	service *Service
	burn    float64
}

func newDrainWorld() *drainWorld {
	w := &drainWorld{clock: time.Unix(1_000, 0)}
	now := func() time.Time { return w.clock }
	machine := NewMachineWithClock(now)
	w.service = NewService("control-1", machine, NewMemoryReplicator("control-1", machine), now)
	config := controlstate.ApplyConfig{ChangeID: "first"}
	for s := range 10 {
		name := fmt.Sprintf("s%d", s)
		config.Inventory.Services = append(config.Inventory.Services, model.Service{Name: name, Kind: model.ServiceSearch})
	}
	w.must(controlstate.Command{ApplyConfig: &config})
	for s := range 10 {
		for r := range 2 {
			w.must(controlstate.Command{AnnounceUpstream: &controlstate.AnnounceUpstream{Announcement: model.Announcement{
				Name: fmt.Sprintf("s%d-%d", s, r), Instance: "1", Service: fmt.Sprintf("s%d", s), Address: "127.0.0.1:1",
				ShardCount: 1, Generation: 1, MinVersion: 1, MaxVersion: 1, Slots: 2, Connections: 25,
			}}})
		}
	}
	return w
}

func (w *drainWorld) propose(command controlstate.Command) error {
	var reply controlrpc.ProposeReply
	Expect(w.service.Propose(controlrpc.ProposeArgs{Command: command}, &reply)).To(Succeed())
	Expect(reply.Fault).To(BeNil())
	return reply.Result.Fault.AsError()
}

func (w *drainWorld) must(command controlstate.Command) { Expect(w.propose(command)).To(Succeed()) }

// tick lets a second pass: the entry VM reports, owners finish drains, and the leader advances the plan.
func (w *drainWorld) tick() {
	w.clock = w.clock.Add(time.Second)
	w.service.loads.put("entry-1", controlrpc.Load{Burn: w.burn}, w.clock)
	w.service.advancePlan(context.Background())
	for _, upstream := range w.service.machine.View().Upstreams {
		if upstream.State == model.UpstreamDraining {
			w.must(controlstate.Command{SetUpstreamState: &controlstate.SetUpstreamState{Name: upstream.Name, State: model.UpstreamDrained}})
		}
	}
}

func (w *drainWorld) count(state model.UpstreamState) int {
	count := 0
	for _, upstream := range w.service.machine.View().Upstreams {
		if upstream.State == state {
			count++
		}
	}
	return count
}

func (w *drainWorld) start(id string) error {
	var reply controlrpc.PlanReply
	args := controlrpc.PlanArgs{Scope: planner.Scope{Fraction: 0.5}, Headroom: 1, WaveSize: 3, StartID: id}
	Expect(w.service.Plan(args, &reply)).To(Succeed())
	return reply.Fault.AsError()
}

func (w *drainWorld) status() planner.Status {
	execution, _ := w.service.machine.Execution()
	return execution.Status
}

var _ = Describe("drain plans", func() {
	var w *drainWorld
	BeforeEach(func() { w = newDrainWorld() })

	It("drain half of every service in waves and never the last replica", func() {
		Expect(w.start("half")).To(Succeed())
		Expect(w.start("half")).To(Succeed(), "a resend starts nothing new")
		Expect(fault.Is(w.start("other"), fault.Conflict)).To(BeTrue())
		for range 20 {
			before := w.count(model.UpstreamDrained)
			w.tick()
			Expect(w.count(model.UpstreamDrained)-before).To(BeNumerically("<=", 3), "a wave holds at most three upstreams")
		}
		Expect(w.status()).To(Equal(planner.StatusDone))
		Expect(w.count(model.UpstreamReady)).To(Equal(10))
		set := controlstate.SetUpstreamState{Name: "s0-1", State: model.UpstreamDraining}
		if w.service.machine.View().Upstreams[0].State == model.UpstreamReady {
			set.Name = "s0-0"
		}
		Expect(fault.Is(w.propose(controlstate.Command{SetUpstreamState: &set}), fault.Conflict)).To(BeTrue())
	})

	It("stop when burn rises and bring capacity back when it stays high", func() {
		Expect(w.start("half")).To(Succeed())
		w.tick()
		w.burn = 5
		w.tick()
		drained := w.count(model.UpstreamDrained)
		w.tick()
		Expect(w.status()).To(Equal(planner.StatusPaused))
		Expect(w.count(model.UpstreamDrained)).To(Equal(drained))
		for range 40 {
			w.tick()
		}
		Expect(w.status()).To(Equal(planner.StatusUndone))
		Expect(w.count(model.UpstreamReady)).To(Equal(20))
	})

	It("keep an operator's pause that arrives between the leader's read and its step", func() {
		Expect(w.start("half")).To(Succeed())
		execution, _ := w.service.machine.Execution()
		w.must(controlstate.Command{OrderPlan: &controlstate.OrderPlan{ID: "half", Order: controlstate.OrderPause}})
		next := execution
		next.Wave++
		stale := controlstate.AdvancePlan{FromWave: execution.Wave, FromStatus: execution.Status, FromSince: execution.SinceMillis, Next: next}
		Expect(w.service.proposed(context.Background(), controlstate.Command{AdvancePlan: &stale})).To(BeFalse())
		Expect(w.status()).To(Equal(planner.StatusPaused))
	})
})
