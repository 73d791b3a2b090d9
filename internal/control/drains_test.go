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

// drainTest is a control service with a test clock, one entry VM, and ten upstream services with two upstreams each.
type drainTest struct {
	clock   time.Time
	service *Service
	burn    float64
}

func newDrainTest() *drainTest {
	d := &drainTest{clock: time.Unix(1_000, 0)}
	now := func() time.Time { return d.clock }
	machine := NewMachineWithClock(now)
	d.service = NewService("control-1", machine, NewMemoryReplicator("control-1", machine), now)
	config := controlstate.ApplyConfig{ChangeID: "first"}
	for s := range 10 {
		name := fmt.Sprintf("s%d", s)
		config.Inventory.Services = append(config.Inventory.Services, model.Service{Name: name, Kind: model.ServiceSearch})
	}
	d.must(controlstate.Command{ApplyConfig: &config})
	for s := range 10 {
		for r := range 2 {
			d.must(controlstate.Command{AnnounceUpstream: &controlstate.AnnounceUpstream{Announcement: model.Announcement{
				Name: fmt.Sprintf("s%d-%d", s, r), Instance: "1", Service: fmt.Sprintf("s%d", s), Address: "127.0.0.1:1",
				ShardCount: 1, Generation: 1, MinVersion: 1, MaxVersion: 1, Slots: 2, Connections: 25,
			}}})
		}
	}
	return d
}

func (d *drainTest) propose(command controlstate.Command) error {
	var reply controlrpc.ProposeReply
	Expect(d.service.Propose(controlrpc.ProposeArgs{Command: command}, &reply)).To(Succeed())
	Expect(reply.Fault).To(BeNil())
	return reply.Result.Fault.AsError()
}

func (d *drainTest) must(command controlstate.Command) { Expect(d.propose(command)).To(Succeed()) }

// tick advances the clock by one second: the entry VM reports its load, the leader advances the plan, and the owners
// finish all drains.
func (d *drainTest) tick() {
	d.clock = d.clock.Add(time.Second)
	d.service.loads.put("entry-1", controlrpc.Load{Burn: d.burn}, d.clock)
	d.service.advancePlan(context.Background())
	for _, upstream := range d.service.machine.View().Upstreams {
		if upstream.State == model.UpstreamDraining {
			d.must(controlstate.Command{SetUpstreamState: &controlstate.SetUpstreamState{Name: upstream.Name, State: model.UpstreamDrained}})
		}
	}
}

func (d *drainTest) count(state model.UpstreamState) int {
	count := 0
	for _, upstream := range d.service.machine.View().Upstreams {
		if upstream.State == state {
			count++
		}
	}
	return count
}

func (d *drainTest) startPlan(id string) error {
	var reply controlrpc.PlanReply
	args := controlrpc.PlanArgs{Scope: planner.Scope{Fraction: 0.5}, Headroom: 1, WaveSize: 3, StartID: id}
	Expect(d.service.Plan(args, &reply)).To(Succeed())
	return reply.Fault.AsError()
}

func (d *drainTest) status() planner.Status {
	execution, _ := d.service.machine.Execution()
	return execution.Status
}

var _ = Describe("drain plans", func() {
	var d *drainTest
	BeforeEach(func() { d = newDrainTest() })

	It("drain half of every service in waves, but never the last replica", func() {
		Expect(d.startPlan("half")).To(Succeed())
		Expect(d.startPlan("half")).To(Succeed(), "a resend must not start a second plan")
		Expect(fault.Is(d.startPlan("other"), fault.Conflict)).To(BeTrue())
		for range 20 {
			before := d.count(model.UpstreamDrained)
			d.tick()
			Expect(d.count(model.UpstreamDrained)-before).To(BeNumerically("<=", 3), "a wave holds at most three upstreams")
		}
		Expect(d.status()).To(Equal(planner.StatusDone))
		Expect(d.count(model.UpstreamReady)).To(Equal(10))
		set := controlstate.SetUpstreamState{Name: "s0-1", State: model.UpstreamDraining}
		if d.service.machine.View().Upstreams[0].State == model.UpstreamReady {
			set.Name = "s0-0"
		}
		Expect(fault.Is(d.propose(controlstate.Command{SetUpstreamState: &set}), fault.Conflict)).To(BeTrue())
	})

	It("pause when the burn rate rises, and undo the drains when it stays high", func() {
		Expect(d.startPlan("half")).To(Succeed())
		d.tick()
		d.burn = 5
		d.tick()
		drained := d.count(model.UpstreamDrained)
		d.tick()
		Expect(d.status()).To(Equal(planner.StatusPaused))
		Expect(d.count(model.UpstreamDrained)).To(Equal(drained))
		for range 40 {
			d.tick()
		}
		Expect(d.status()).To(Equal(planner.StatusUndone))
		Expect(d.count(model.UpstreamReady)).To(Equal(20))
	})

	It("keep an operator's pause that is applied between the leader's read and its proposal", func() {
		Expect(d.startPlan("half")).To(Succeed())
		execution, _ := d.service.machine.Execution()
		d.must(controlstate.Command{OrderPlan: &controlstate.OrderPlan{ID: "half", Order: controlstate.OrderPause}})
		next := execution
		next.Wave++
		stale := controlstate.AdvancePlan{FromWave: execution.Wave, FromStatus: execution.Status, FromSince: execution.SinceMillis, Next: next}
		Expect(d.service.tryPropose(context.Background(), controlstate.Command{AdvancePlan: &stale})).To(BeFalse())
		Expect(d.status()).To(Equal(planner.StatusPaused))
	})
})
