package router

import (
	"context"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
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
		Expect(limited.requests.Load()-before).To(BeNumerically("<=", allowedArrivals(limit, measured)))
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
		Expect(limited.requests.Load()-before).To(BeNumerically("<=", allowedArrivals(limit, measured)))
	})
})

func (vm *relayVM) forward(service string) (*upstreamconn.Response, error) {
	rt := searchRoute()
	rt.Service = service
	request := &Request{
		Request: upstreamconn.Request{ID: "1", Method: "GET", Target: "/x", Host: "x"}, Received: time.Now(), Limit: rt.Timeout,
	}
	return vm.router.Forward(context.Background(), vm.router.View(), rt, request)
}
