package router

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/registry"
	"github.com/wisteriamux/wisteriamux/internal/route"
)

// cutControl reaches the control group until it is cut off, and then gets no replies, not even to watches that have begun.
type cutControl struct {
	*inProcessControl
	cut atomic.Bool
}

func (c *cutControl) Watch(ctx context.Context, args controlrpc.WatchArgs) (controlrpc.WatchReply, error) {
	if !c.cut.Load() {
		reply, err := c.inProcessControl.Watch(ctx, args)
		if !c.cut.Load() {
			return reply, err
		}
	}
	select {
	case <-time.After(controlrpc.CallTimeout):
	case <-ctx.Done():
	}
	return controlrpc.WatchReply{}, fault.New(fault.Unavailable, "test", "cut off")
}

func (c *cutControl) WatchAny(ctx context.Context, args controlrpc.WatchArgs) (controlrpc.WatchReply, error) {
	return c.Watch(ctx, args)
}

// keyLoad is what callers with one key got from one VM.
type keyLoad struct {
	// served and failed hold when requests were sent that were answered, and that failed after a part may have run. The others
	// were refused.
	served, failed []time.Time
	refused        int
}

var _ = Describe("a key that is taken away while one VM is cut off from the control group", Label("slow"), func() {
	const revoke = 3 * time.Second

	It("stops within the bound at all VMs, and callers of the others lose nothing", func() {
		group := startControl()
		put := func(table *route.Table) time.Time {
			var reply controlrpc.PutRoutesReply
			Expect(group.service.PutRoutes(controlrpc.PutRoutesArgs{Table: *table}, &reply)).To(Succeed())
			Expect(reply.Fault).To(BeNil())
			return time.Now()
		}
		put(keyTable(1, map[string]string{"a": testKey, "b": otherKey}))
		var vms []*relayVM
		var controls []*cutControl
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		for n, domain := range []string{"a", "b", "b"} {
			vm := startVM(fmt.Sprintf("vm-%d", n), domain)
			vm.router.keys.revoke = revoke
			access := &cutControl{inProcessControl: group}
			vm.router.control = access
			vms, controls = append(vms, vm), append(controls, access)
		}
		for _, u := range []*fakeUpstream{startFakeUpstream("s-0", "s", "a", 5), startFakeUpstream("t-0", "t", "b", 6)} {
			var ack controlrpc.Ack
			Expect(group.service.Report(controlrpc.ReportArgs{Report: registry.Report{Instance: u.instance}}, &ack)).To(Succeed())
			Expect(ack.Fault).To(BeNil())
			go func() {
				for ctx.Err() == nil {
					_ = group.service.Heard(controlrpc.HeardArgs{IDs: []string{u.instance.ID}}, &controlrpc.Ack{})
					time.Sleep(200 * time.Millisecond)
				}
			}()
		}
		for _, vm := range vms {
			go vm.router.WatchControl(ctx)
		}
		for _, vm := range vms {
			Eventually(func() bool {
				return vm.router.View().Ready() && vm.router.View().UpstreamCount() == 2 && vm.router.ServesKeys()
			}).Should(BeTrue())
		}
		Eventually(func() bool { return vms[0].canRelay("b") }, 5*time.Second).Should(BeTrue())

		loads := map[string][]*keyLoad{}
		var wg sync.WaitGroup
		stop := make(chan struct{})
		for _, key := range []string{testKey, otherKey} {
			for n, vm := range vms {
				load := &keyLoad{}
				loads[key] = append(loads[key], load)
				wg.Add(1)
				go func() {
					defer wg.Done()
					load.run(vm, key, stop, n)
				}()
			}
		}
		time.Sleep(300 * time.Millisecond)
		controls[0].cut.Store(true)
		cutAt := time.Now()
		time.Sleep(300 * time.Millisecond)
		acknowledged := put(keyTable(2, map[string]string{"b": otherKey}))
		time.Sleep(revoke + time.Second)
		close(stop)
		wg.Wait()

		for n := range vms {
			removed, kept := loads[testKey][n], loads[otherKey][n]
			last := lastOf(removed.served)
			GinkgoWriter.Printf("vm %d: removed key served %d, last %s after the acknowledgement, failed %d, refused %d; kept key served %d, failed %d, refused %d\n",
				n, len(removed.served), last.Sub(acknowledged), len(removed.failed), removed.refused, len(kept.served), len(kept.failed), kept.refused)
			Expect(kept.failed).To(BeEmpty())
			Expect(removed.served).NotTo(BeEmpty())
			Expect(last).To(BeTemporally("<=", acknowledged.Add(revoke)))
			// The VM that is cut off still runs parts at its own upstreams while relays refuse theirs.
			Expect(lastOf(removed.failed)).To(BeTemporally("<=", acknowledged.Add(revoke)))
			if n > 0 {
				Expect(kept.refused).To(BeZero(), "VMs in touch lose no request")
				// A search with the removed key that is in progress when the table comes into force may have run in part, and fails.
				Expect(lastOf(removed.failed)).To(BeTemporally("<", acknowledged.Add(500*time.Millisecond)))
				Expect(len(removed.failed)).To(BeNumerically("<=", 1), "each load has one request in progress")
				Expect(last).To(BeTemporally("<", acknowledged.Add(500*time.Millisecond)), "VMs in touch learn of the table at once")
			}
		}
		cutOff := loads[otherKey][0]
		Expect(cutOff.refused).To(BeNumerically(">", 0))
		Expect(lastOf(cutOff.served)).To(BeTemporally(">", cutAt.Add(revoke-revokeMargin-controlrpc.MaxWatchWait-300*time.Millisecond)),
			"the VM that is cut off serves until its view is too old")
		Expect(vms[0].router.ServesKeys()).To(BeFalse())
		controls[0].cut.Store(false)
		Eventually(vms[0].router.ServesKeys, 5*time.Second).Should(BeTrue())
	})
})

func lastOf(times []time.Time) time.Time {
	if len(times) == 0 {
		return time.Time{}
	}
	return times[len(times)-1]
}

// run sends requests with the key to the VM, searches and forwards in turn, until it is stopped.
func (l *keyLoad) run(vm *relayVM, key string, stop <-chan struct{}, first int) {
	searched := searchRoute("s", "t")
	for n := first; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		rt := searched
		if n%2 == 0 {
			rt = forwardRoute("t")
		}
		sent := time.Now()
		request, verdict := vm.accept(rt, key)
		if verdict != KeyAccepted {
			l.refused++
			continue
		}
		var err error
		if n%2 == 0 {
			_, err = vm.router.Forward(context.Background(), rt, request)
		} else {
			_, err = vm.router.Search(context.Background(), rt, request)
		}
		switch fault.CodeOf(err) {
		case fault.Unconfirmed, fault.Unauthenticated:
			l.refused++
		default:
			if err != nil {
				GinkgoWriter.Printf("%s: %v\n", vm.router.config.ID, err)
				l.failed = append(l.failed, sent)
				continue
			}
			l.served = append(l.served, sent)
		}
	}
}
