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

// termReplicator is a MemoryReplicator whose term the test increments to simulate an election.
type termReplicator struct {
	*MemoryReplicator
	term atomic.Uint64
}

func (r *termReplicator) Term() uint64 { return r.term.Load() }

// vm is an entry VM that follows the lease protocol.
type vm struct {
	id                string
	instance, applied uint64
	expires           time.Time
}

// harness is a control service with a test clock and some entry VMs.
type harness struct {
	clock      time.Time
	machine    *Machine
	replicator *termReplicator
	service    *Service
	vms        []*vm
	changes    uint64
	// reportedInForce is the highest revision that was reported to be in force.
	reportedInForce uint64
}

func newHarness() *harness {
	h := &harness{clock: time.Unix(1_000, 0)}
	now := func() time.Time { return h.clock }
	h.machine = NewMachineWithClock(now)
	h.replicator = &termReplicator{MemoryReplicator: NewMemoryReplicator("control-1", h.machine)}
	h.replicator.term.Store(1)
	h.service = NewService("control-1", h.machine, h.replicator, now)
	return h
}

func (h *harness) join(id string) *vm {
	var reply controlrpc.JoinReply
	_ = h.service.Join(controlrpc.JoinArgs{Member: model.Member{ID: id, RPCAddress: "127.0.0.1:1"}}, &reply)
	joined := &vm{id: id, instance: reply.Instance}
	h.vms = append(h.vms, joined)
	h.read(joined)
	return joined
}

func (h *harness) read(v *vm) { v.applied = max(v.applied, h.machine.View().Revision) }

func (h *harness) renew(v *vm) controlrpc.RenewReply {
	var reply controlrpc.RenewReply
	sent := h.clock
	_ = h.service.Renew(controlrpc.RenewArgs{ID: v.id, Instance: v.instance, Applied: v.applied, Served: v.applied}, &reply)
	if reply.Fault == nil {
		v.expires = sent.Add(time.Duration(reply.LeaseMillis) * time.Millisecond)
	}
	return reply
}

func (h *harness) change() uint64 {
	change := controlstate.ApplyConfig{ChangeID: fmt.Sprint(h.changes), BaseVersion: h.changes}
	h.changes++
	var reply controlrpc.ProposeReply
	_ = h.service.Propose(controlrpc.ProposeArgs{Command: controlstate.Command{ApplyConfig: &change}}, &reply)
	return reply.Result.Revision
}

func (h *harness) inForce() uint64 {
	var reply controlrpc.InForceReply
	_ = h.service.InForce(controlrpc.InForceArgs{}, &reply)
	h.reportedInForce = max(h.reportedInForce, reply.InForce)
	return reply.InForce
}

// violation returns an error if a VM serves a view that is older than a revision reported to be in force.
func (h *harness) violation() error {
	for _, v := range h.vms {
		if h.clock.Before(v.expires) && v.applied < h.reportedInForce {
			return fmt.Errorf("P8: %s instance %d serves revision %d, but %d is in force", v.id, v.instance, v.applied, h.reportedInForce)
		}
	}
	return nil
}

// action is one generated event. The numbers select the VM and the time that passes before it.
type action struct{ Kind, VM, Millis int }

var actions = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) action {
	return action{
		Kind:   rapid.IntRange(0, 9).Draw(t, "kind"),
		VM:     rapid.IntRange(0, 5).Draw(t, "vm"),
		Millis: rapid.SampledFrom([]int{0, 10, 900, 2_500, 4_100}).Draw(t, "millis"),
	}
}), 20, 80)

// simulate runs the actions and returns the first violation. The mutant corrupts the leases before each action.
func simulate(drawn []action, mutant func(h *harness, next action)) error {
	h := newHarness()
	h.join("entry-0")
	h.join("entry-1")
	for _, next := range drawn {
		h.clock = h.clock.Add(time.Duration(next.Millis) * time.Millisecond)
		if mutant != nil {
			mutant(h, next)
		}
		v := h.vms[next.VM%len(h.vms)]
		switch next.Kind {
		case 0, 1:
			h.renew(v)
		case 2, 3:
			h.read(v)
			h.renew(v)
		case 4:
			h.service.runMaintenance(context.Background())
		case 5, 6:
			h.change()
		case 7:
			h.replicator.term.Add(1)
		case 8:
			h.join(v.id)
		}
		h.inForce()
		if err := h.violation(); err != nil {
			return err
		}
	}
	return nil
}

var leaseMutants = map[string]func(h *harness, next action){
	"a new leader ignores the leases of its predecessor": func(h *harness, _ action) { h.service.leases.graceEnd = time.Time{} },
	"a newer instance hides the lease of the older one": func(h *harness, _ action) {
		for holder := range h.service.leases.leases {
			if member, _ := h.machine.Member(holder.id); member.Instance != holder.instance {
				delete(h.service.leases.leases, holder)
			}
		}
	},
	"an expired lease is renewed with an older view": func(h *harness, next action) {
		v := h.vms[next.VM%len(h.vms)]
		holder := leaseHolder{v.id, v.instance}
		if current := h.service.leases.leases[holder]; h.clock.After(current.expires) {
			h.service.leases.leases[holder] = lease{expires: h.clock.Add(time.Nanosecond), granted: true}
		}
	},
}

var _ = Describe("P8 ConfigInForce under generated renewals, joins, changes and elections", func() {
	It("never lets a VM serve an older view than the one reported to be in force", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			if err := simulate(actions.Draw(t, "actions"), nil); err != nil {
				t.Fatal(err)
			}
		})
	})

	for _, name := range slices.Sorted(maps.Keys(leaseMutants)) {
		It("fails with the mutant "+name, func() {
			const seeds = 500
			for seed := range seeds {
				if err := simulate(actions.Example(seed), leaseMutants[name]); err != nil {
					AddReportEntry("found", fmt.Sprintf("seed %d: %v", seed, err))
					return
				}
			}
			Fail(fmt.Sprintf("%d generated histories did not detect the mutant", seeds))
		})
	}
})

var _ = Describe("the leases", func() {
	It("bring a change into force within 4 s although one VM renews without ever reading it", func() {
		h := newHarness()
		stuck, healthy := h.join("stuck"), h.join("healthy")
		for range 6 {
			h.read(stuck)
			h.read(healthy)
			h.renew(stuck)
			h.renew(healthy)
			h.clock = h.clock.Add(time.Second)
		}
		revision := h.change()
		accepted := h.clock
		for h.inForce() < revision {
			h.clock = h.clock.Add(500 * time.Millisecond)
			h.renew(stuck)
			h.read(healthy)
			h.renew(healthy)
			h.service.runMaintenance(context.Background())
			Expect(h.clock.Sub(accepted)).To(BeNumerically("<", 10*time.Second))
		}
		AddReportEntry("time to in force", h.clock.Sub(accepted).String())
		Expect(h.clock.Sub(accepted)).To(BeNumerically("<=", LeaseDuration))
		Expect(h.machine.View().Members).To(HaveLen(1), "the VM that is behind has lost its lease and its membership")
		Expect(h.renew(stuck).Fault.Code).To(Equal(fault.Fenced))
	})

	It("stay valid for a VM that reads a change late", func() {
		h := newHarness()
		v := h.join("entry-1")
		h.renew(v)
		h.clock = h.clock.Add(LeaseDuration)
		h.renew(v)
		h.change()
		h.clock = h.clock.Add(3 * time.Second)
		Expect(h.renew(v).LeaseMillis).To(Equal((LeaseDuration - 3*time.Second).Milliseconds()), "the lease ends 4 s after the change")
		h.read(v)
		Expect(h.renew(v).LeaseMillis).To(Equal(LeaseDuration.Milliseconds()))
	})

	It("do not expire for an instance that has joined and not renewed yet", func() {
		h := newHarness()
		h.join("entry-1")
		h.clock = h.clock.Add(2 * LeaseDuration)
		h.join("entry-2")
		h.service.runMaintenance(context.Background())
		Expect(h.machine.View().Members).To(HaveLen(1))
		Expect(h.machine.View().Members[0].ID).To(Equal("entry-2"))
	})

	It("are not renewed, and no view is returned, for a VM that has served a newer revision", func() {
		h := newHarness()
		v := h.join("entry-1")
		v.applied = 99
		Expect(h.renew(v).Fault.Code).To(Equal(fault.Unavailable))
		var reply controlrpc.ViewReply
		Expect(h.service.View(controlrpc.ViewArgs{Known: 99}, &reply)).To(Succeed())
		Expect(reply.Fault.Code).To(Equal(fault.Unavailable))
	})

	It("do not delay a change when a VM has removed itself", func() {
		h := newHarness()
		h.join("entry-1")
		v := h.join("entry-2")
		h.clock = h.clock.Add(LeaseDuration)
		h.read(v)
		h.renew(v)
		_, err := h.service.proposeForClient(controlstate.Command{ExpireMember: &controlstate.ExpireMember{ID: v.id, Instance: v.instance}})
		Expect(err).NotTo(HaveOccurred())
		Expect(h.inForce()).To(Equal(h.machine.Revision()))
		Expect(h.renew(v).Fault.Code).To(Equal(fault.Fenced))
	})

	It("expire in the same maintenance run that ends quarantines on an idle group", func() {
		h := newHarness()
		add := controlstate.AddQuarantine{Fingerprint: "f", DurationMillis: 1_000}
		_, err := h.service.proposeForClient(controlstate.Command{AddQuarantine: &add})
		Expect(err).NotTo(HaveOccurred())
		h.clock = h.clock.Add(time.Second)
		h.service.runMaintenance(context.Background())
		Expect(h.machine.View().Quarantines).To(BeEmpty())
	})
})

var _ = Describe("shared read barriers", func() {
	It("never serve a caller with a barrier that started before its call", func() {
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
		Expect(count).To(BeNumerically("<", 20), "100 concurrent callers must share barriers")
	})
})
