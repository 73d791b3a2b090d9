package router

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/ratelimit"
	"github.com/wisteriamux/wisteriamux/internal/registry"
	"github.com/wisteriamux/wisteriamux/internal/relay"
	"github.com/wisteriamux/wisteriamux/internal/upstreamconn"
)

// allowedArrivals returns the users' bound on the requests that an upstream may get within a period: half as many again
// as its limit allows, and five.
func allowedArrivals(perSecond float64, period time.Duration) int {
	return int(1.5*perSecond*period.Seconds() + 5)
}

// keepSearching runs searches from all VMs until the duration has passed, and returns how many succeeded and failed.
func keepSearching(duration time.Duration, shard string, vms ...*relayVM) (succeeded, failed int) {
	const interval = 10 * time.Millisecond
	var mu sync.Mutex
	var wg sync.WaitGroup
	end := time.Now().Add(duration)
	for time.Now().Before(end) {
		for _, vm := range vms {
			wg.Go(func() {
				_, err := vm.search(searchRoute(shard))
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					failed++
					return
				}
				succeeded++
			})
		}
		time.Sleep(interval)
	}
	wg.Wait()
	return succeeded, failed
}

var _ = Describe("an upstream that names a rate limit to all entry VMs together", func() {
	const (
		limit = 20.0
		// settling is the time in which the VMs hear of the limit.
		settling = 500 * time.Millisecond
		measured = 2 * time.Second
	)
	var near1, near2, far *relayVM
	var limited, spare *fakeUpstream

	BeforeEach(func() {
		near1, near2, far = startVM("near1", "a"), startVM("near2", "a"), startVM("far", "b")
		limited = startFakeUpstream("limited", "s", "a", 5)
		spare = startFakeUpstream("spare", "s", "a", 5)
		limited.setRateLimit("20")
		vms := []*relayVM{near1, near2, far}
		var peers []controlrpc.Peer
		for _, vm := range vms {
			vm.adopt(limited, spare)
			peers = append(peers, vm.peer())
		}
		for _, vm := range vms {
			vm.router.peers.Update(peers, time.Now())
		}
		Eventually(func() bool { return far.canRelay("a") }).Should(BeTrue())
	})

	It("gets no more requests than that, from searches that VMs send directly and through each other", func() {
		keepSearching(settling, "s", near1, near2, far)
		before := limited.requests.Load()
		succeeded, failed := keepSearching(measured, "s", near1, near2, far)
		Expect(limited.requests.Load() - before).To(BeNumerically("<=", allowedArrivals(limit, measured)))
		Expect(succeeded).To(BeNumerically(">", 0))
		Expect(failed).To(BeZero(), "the other upstream takes all requests beyond the limit")
	})

	It("gets no more requests than that, from forwarded requests", func() {
		forward := func(duration time.Duration) {
			end := time.Now().Add(duration)
			for time.Now().Before(end) {
				for _, vm := range []*relayVM{near1, near2, far} {
					_, err := vm.forward("s")
					Expect(err).NotTo(HaveOccurred())
				}
				time.Sleep(time.Millisecond)
			}
		}
		forward(settling)
		before := limited.requests.Load()
		forward(measured)
		Expect(limited.requests.Load() - before).To(BeNumerically("<=", allowedArrivals(limit, measured)))
	})
})

var _ = Describe("upstreams that are all at their rate limit", func() {
	var vm *relayVM
	var limited, free *fakeUpstream

	BeforeEach(func() {
		vm = startVM("alone", "a")
		limited = startFakeUpstream("limited", "s", "a", 5)
		free = startFakeUpstream("free", "f", "a", 5)
		limited.setRateLimit("0.5")
		vm.adopt(limited, free)
		vm.router.peers.Update(nil, time.Now())
	})

	It("make a forwarded request fail at once as not run, with the time at which there is room", func() {
		// The first request hears of the limit, and the second takes the permit that a new bucket holds.
		for range 2 {
			_, err := vm.forward("s")
			Expect(err).NotTo(HaveOccurred())
		}
		var lastErr error
		for range 5 {
			sent := time.Now()
			_, lastErr = vm.forward("s")
			Expect(fault.CodeOf(lastErr)).To(Equal(fault.RateLimited))
			Expect(time.Since(sent)).To(BeNumerically("<", 200*time.Millisecond))
		}
		var noRoom *ratelimit.NoRoomError
		Expect(errors.As(lastErr, &noRoom)).To(BeTrue())
		Expect(noRoom.RetryAfter).To(BeNumerically("~", 2*time.Second, 3*time.Second))
		Expect(limited.requests.Load()).To(Equal(int64(2)))
	})

	It("make a search whose coverage they rule out fail at once, before any other shard runs it", func() {
		rt := searchRoute("s", "f")
		for range 2 {
			_, err := vm.search(rt)
			Expect(err).NotTo(HaveOccurred())
		}
		// This search still finds out that there is no room. Its request to the other shard may arrive after its end.
		_, _ = vm.search(rt)
		time.Sleep(100 * time.Millisecond)
		before := free.requests.Load()
		_, err := vm.search(rt)
		Expect(fault.CodeOf(err)).To(Equal(fault.RateLimited))
		Expect(free.requests.Load()).To(Equal(before))
	})

	It("leave a search whose coverage allows it with the parts of the other shards", func() {
		rt := searchRoute("s", "f")
		rt.Coverage = 0.5
		for range 6 {
			g, err := vm.search(rt)
			Expect(err).NotTo(HaveOccurred())
			Expect(g.Stamps).To(ContainElement("stamp-free"))
		}
		Expect(limited.requests.Load()).To(Equal(int64(2)))
	})

	It("are listed with the VM that grants permits", func() {
		_, err := vm.forward("s")
		Expect(err).NotTo(HaveOccurred())
		Expect(vm.router.Limits()).To(Equal([]LimitInForce{{Upstream: "limited", Service: "s", PerSecond: 0.5, Holder: "alone"}}))
	})

	It("take requests again as soon as one of their responses names no limit", func() {
		_, err := vm.forward("s")
		Expect(err).NotTo(HaveOccurred())
		limited.rateLimit.Store(nil)
		for range 5 {
			_, err := vm.forward("s")
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(vm.router.Counts().Limited).To(BeZero())
	})
})

var _ = Describe("the VM that holds the bucket of a limited upstream", func() {
	It("is replaced when it is lost", func() {
		asking, holder := startVM("asking", "a"), startVM("holder", "b")
		name := upstreamHeldBy("holder", "asking")
		u := startFakeUpstream(name, "s", "a", 5)
		u.setRateLimit("1000")
		asking.adopt(u)
		holder.adopt(u)
		asking.router.peers.Update([]controlrpc.Peer{holder.peer()}, time.Now())
		holder.router.peers.Update([]controlrpc.Peer{asking.peer()}, time.Now())
		heldBySelf := func() bool {
			return asking.router.peers.Holder(name, time.Now()).Self
		}
		Eventually(func() bool { return asking.canRelay("b") }).Should(BeTrue())
		Expect(heldBySelf()).To(BeFalse())
		Expect(holder.listener.Close()).To(Succeed())
		Expect((<-holder.conns).Close()).To(Succeed())
		Eventually(heldBySelf).Should(BeTrue())
		Eventually(func() error {
			_, err := asking.forward("s")
			return err
		}).Should(Succeed())
	})

	It("is another one while it stops, and it asks that one itself", func() {
		leaving, next := startVM("leaving", "a"), startVM("next", "a")
		name := upstreamHeldBy("leaving", "next")
		leaving.router.peers.Update([]controlrpc.Peer{next.peer()}, time.Now())
		Expect(leaving.router.peers.Holder(name, time.Now()).Self).To(BeTrue())
		leaving.router.Leave()
		Eventually(func() bool {
			holder := leaving.router.peers.Holder(name, time.Now())
			return holder.Link != nil && !holder.Self
		}).Should(BeTrue())
	})

	It("denies permits for upstreams whose bucket another VM holds", func() {
		asked, holder := startVM("asked", "a"), startVM("holder", "a")
		name := upstreamHeldBy("holder", "asked")
		asked.router.peers.Update([]controlrpc.Peer{holder.peer()}, time.Now())
		Eventually(func() *relay.Link {
			return asked.router.peers.Holder(name, time.Now()).Link
		}).ShouldNot(BeNil())
		reply := asked.router.Permit(relay.PermitArgs{Upstream: registry.Process{Instance: name}, PerSecond: 1000})
		Expect(reply.Grant.Granted).To(BeFalse())
	})

	It("is not known before the control group has sent the list of VMs, so that after a restart no VM holds every bucket", func() {
		vm := startVM("restarted", "a")
		Expect(vm.router.peers.Holder("u", time.Now())).To(Equal(relay.Holder{}))
	})
})

// upstreamHeldBy returns the ID of an upstream whose bucket the first VM holds rather than the second.
func upstreamHeldBy(holder, other string) string {
	// A dial that failed at once would let the other VM count as lost, so that this one would hold every bucket.
	found := make(chan struct{})
	defer close(found)
	dial := func(string) (net.Conn, error) {
		<-found
		return nil, net.ErrClosed
	}
	for n := 0; ; n++ {
		id := fmt.Sprintf("u-%d", n)
		peers := relay.NewPeers(holder, "a", dial, slog.New(slog.DiscardHandler))
		peers.Update([]controlrpc.Peer{{ID: other, FailureDomain: "a"}}, time.Now())
		if peers.Holder(id, time.Now()).Self {
			return id
		}
	}
}

func (vm *relayVM) forward(service string) (*upstreamconn.Response, error) {
	rt := searchRoute()
	rt.Service = service
	request := &Request{
		Request: upstreamconn.Request{ID: "1", Method: "GET", Target: "/x", Host: "x"}, Received: time.Now(), Limit: rt.Timeout,
	}
	return vm.router.Forward(context.Background(), rt, request)
}
