package control

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/controlstate"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/model"
	_ "github.com/wisteriamux/wisteriamux/internal/rapidseed"
)

func TestControl(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Control")
}

// termReplicator is a MemoryReplicator whose term the test moves, as an election does.
type termReplicator struct {
	*MemoryReplicator
	term atomic.Uint64
}

func (r *termReplicator) Term() uint64 { return r.term.Load() }

// vm is an entry VM as the protocol prescribes it.
type vm struct {
	id                string
	instance, applied uint64
	expires           time.Time
}

// world is a control service with a clock of the test and some entry VMs.
type world struct {
	clock      time.Time
	machine    *Machine
	replicator *termReplicator
	service    *Service
	vms        []*vm
	changes    uint64
	// declared is the highest revision that was reported in force.
	declared uint64
}

func newWorld() *world {
	w := &world{clock: time.Unix(1_000, 0)}
	now := func() time.Time { return w.clock }
	w.machine = NewMachineWithClock(now)
	w.replicator = &termReplicator{MemoryReplicator: NewMemoryReplicator("control-1", w.machine)}
	w.replicator.term.Store(1)
	w.service = NewService("control-1", w.machine, w.replicator, now)
	return w
}

func (w *world) join(id string) *vm {
	var reply controlrpc.JoinReply
	_ = w.service.Join(controlrpc.JoinArgs{Member: model.Member{ID: id, RPCAddress: "127.0.0.1:1"}}, &reply)
	joined := &vm{id: id, instance: reply.Instance}
	w.vms = append(w.vms, joined)
	w.read(joined)
	return joined
}

func (w *world) read(v *vm) { v.applied = max(v.applied, w.machine.View().Revision) }

func (w *world) renew(v *vm) controlrpc.RenewReply {
	var reply controlrpc.RenewReply
	sent := w.clock
	_ = w.service.Renew(controlrpc.RenewArgs{ID: v.id, Instance: v.instance, Applied: v.applied, Served: v.applied}, &reply)
	if reply.Fault == nil {
		v.expires = sent.Add(time.Duration(reply.LeaseMillis) * time.Millisecond)
	}
	return reply
}

func (w *world) change() uint64 {
	change := controlstate.ApplyConfig{ChangeID: fmt.Sprint(w.changes), BaseVersion: w.changes}
	w.changes++
	var reply controlrpc.ProposeReply
	_ = w.service.Propose(controlrpc.ProposeArgs{Command: controlstate.Command{ApplyConfig: &change}}, &reply)
	return reply.Result.Revision
}

func (w *world) inForce() uint64 {
	var reply controlrpc.InForceReply
	_ = w.service.InForce(controlrpc.InForceArgs{}, &reply)
	w.declared = max(w.declared, reply.InForce)
	return reply.InForce
}

// violation returns an error if a VM serves a view from before a revision that was reported in force.
func (w *world) violation() error {
	for _, v := range w.vms {
		if w.clock.Before(v.expires) && v.applied < w.declared {
			return fmt.Errorf("P8: %s instance %d serves revision %d, but %d is in force", v.id, v.instance, v.applied, w.declared)
		}
	}
	return nil
}

// action is one drawn event; the numbers choose the VM and the time that passes.
type action struct{ Kind, VM, Millis int }

var actions = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) action {
	return action{
		Kind:   rapid.IntRange(0, 9).Draw(t, "kind"),
		VM:     rapid.IntRange(0, 5).Draw(t, "vm"),
		Millis: rapid.SampledFrom([]int{0, 10, 900, 2_500, 4_100}).Draw(t, "millis"),
	}
}), 20, 80)

// play returns the first violation under the actions. The mutant tampers with the leases before each action.
func play(drawn []action, mutant func(w *world, next action)) error {
	w := newWorld()
	w.join("entry-0")
	w.join("entry-1")
	for _, next := range drawn {
		w.clock = w.clock.Add(time.Duration(next.Millis) * time.Millisecond)
		if mutant != nil {
			mutant(w, next)
		}
		v := w.vms[next.VM%len(w.vms)]
		switch next.Kind {
		case 0, 1:
			w.renew(v)
		case 2, 3:
			w.read(v)
			w.renew(v)
		case 4:
			w.service.expire(context.Background())
		case 5, 6:
			w.change()
		case 7:
			w.replicator.term.Add(1)
		case 8:
			w.join(v.id)
		}
		w.inForce()
		if err := w.violation(); err != nil {
			return err
		}
	}
	return nil
}

var leaseMutants = map[string]func(w *world, next action){
	"a new leader ignores the leases of its predecessor": func(w *world, _ action) { w.service.leases.grace = time.Time{} },
	"a newer instance hides the lease of the older one": func(w *world, _ action) {
		for who := range w.service.leases.leases {
			if member, _ := w.machine.Member(who.id); member.Instance != who.instance {
				delete(w.service.leases.leases, who)
			}
		}
	},
	"a lapsed lease is renewed with an older view": func(w *world, next action) {
		v := w.vms[next.VM%len(w.vms)]
		who := holder{v.id, v.instance}
		if held := w.service.leases.leases[who]; w.clock.After(held.expires) {
			w.service.leases.leases[who] = lease{expires: w.clock.Add(time.Nanosecond), granted: true}
		}
	},
}

var _ = Describe("P8 ConfigInForce under drawn renewals, joins, changes and elections", func() {
	It("never lets a VM serve an older view than the one reported in force", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			if err := play(actions.Draw(t, "actions"), nil); err != nil {
				t.Fatal(err)
			}
		})
	})

	for _, name := range slices.Sorted(maps.Keys(leaseMutants)) {
		It("fails with the mutant "+name, func() {
			const seeds = 500
			for seed := range seeds {
				if err := play(actions.Example(seed), leaseMutants[name]); err != nil {
					AddReportEntry("found", fmt.Sprintf("seed %d: %v", seed, err))
					return
				}
			}
			Fail(fmt.Sprintf("%d drawn histories did not find the fault", seeds))
		})
	}
})

var _ = Describe("the leases", func() {
	It("bring a change into force within 4 s although one VM renews and never reads it", func() {
		w := newWorld()
		stuck, healthy := w.join("stuck"), w.join("healthy")
		for range 6 {
			w.read(stuck)
			w.read(healthy)
			w.renew(stuck)
			w.renew(healthy)
			w.clock = w.clock.Add(time.Second)
		}
		revision := w.change()
		accepted := w.clock
		for w.inForce() < revision {
			w.clock = w.clock.Add(500 * time.Millisecond)
			w.renew(stuck)
			w.read(healthy)
			w.renew(healthy)
			w.service.expire(context.Background())
			Expect(w.clock.Sub(accepted)).To(BeNumerically("<", 10*time.Second))
		}
		AddReportEntry("time to in force", w.clock.Sub(accepted).String())
		Expect(w.clock.Sub(accepted)).To(BeNumerically("<=", LeaseLength))
		Expect(w.machine.View().Members).To(HaveLen(1), "the VM that is behind has lost its lease and its place")
		Expect(w.renew(stuck).Fault.Code).To(Equal(fault.Fenced))
	})

	It("do not interrupt a VM that reads a change late", func() {
		w := newWorld()
		v := w.join("entry-1")
		w.renew(v)
		w.clock = w.clock.Add(LeaseLength)
		w.renew(v)
		w.change()
		w.clock = w.clock.Add(3 * time.Second)
		Expect(w.renew(v).LeaseMillis).To(Equal((LeaseLength - 3*time.Second).Milliseconds()), "the lease ends 4 s after the change")
		w.read(v)
		Expect(w.renew(v).LeaseMillis).To(Equal(LeaseLength.Milliseconds()))
	})

	It("do not expire an instance that has joined and not renewed yet", func() {
		w := newWorld()
		w.join("entry-1")
		w.clock = w.clock.Add(2 * LeaseLength)
		w.join("entry-2")
		w.service.expire(context.Background())
		Expect(w.machine.View().Members).To(HaveLen(1))
		Expect(w.machine.View().Members[0].ID).To(Equal("entry-2"))
	})

	It("refuse to answer a VM that has served a newer revision", func() {
		w := newWorld()
		v := w.join("entry-1")
		v.applied = 99
		Expect(w.renew(v).Fault.Code).To(Equal(fault.Unavailable))
		var reply controlrpc.ViewReply
		Expect(w.service.View(controlrpc.ViewArgs{Known: 99}, &reply)).To(Succeed())
		Expect(reply.Fault.Code).To(Equal(fault.Unavailable))
	})

	It("do not delay a change when a VM has left by itself", func() {
		w := newWorld()
		w.join("entry-1")
		v := w.join("entry-2")
		w.clock = w.clock.Add(LeaseLength)
		w.read(v)
		w.renew(v)
		_, err := w.service.proposeFor(controlstate.Command{ExpireMember: &controlstate.ExpireMember{ID: v.id, Instance: v.instance}})
		Expect(err).NotTo(HaveOccurred())
		Expect(w.inForce()).To(Equal(w.machine.Revision()))
		Expect(w.renew(v).Fault.Code).To(Equal(fault.Fenced))
	})

	It("end quarantines on an idle group", func() {
		w := newWorld()
		add := controlstate.AddQuarantine{Fingerprint: "f", DurationMillis: 1_000}
		_, err := w.service.proposeFor(controlstate.Command{AddQuarantine: &add})
		Expect(err).NotTo(HaveOccurred())
		w.clock = w.clock.Add(time.Second)
		w.service.expire(context.Background())
		Expect(w.machine.View().Quarantines).To(BeEmpty())
	})
})

var _ = Describe("shared read barriers", func() {
	It("never answer a caller with a barrier that started before its call", func() {
		started, release := make(chan int, 10), make(chan struct{})
		count := 0
		group := &barrierGroup{barrier: func(context.Context) error {
			count++
			started <- count
			<-release
			return nil
		}}
		var callers sync.WaitGroup
		call := func() { callers.Go(func() { _ = group.wait(context.Background()) }) }
		call()
		Eventually(started).Should(Receive(Equal(1)))
		for range 100 {
			call()
		}
		Eventually(func() bool { group.mu.Lock(); defer group.mu.Unlock(); return group.next != nil }).Should(BeTrue())
		release <- struct{}{}
		Eventually(started).Should(Receive(Equal(2)))
		close(release)
		callers.Wait()
		Expect(count).To(BeNumerically("<", 20), "100 concurrent callers share barriers")
	})
})
