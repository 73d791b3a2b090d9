package router

import (
	"context"
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/ratelimit"
	"github.com/wisteriamux/wisteriamux/internal/relay"
	"github.com/wisteriamux/wisteriamux/internal/route"
	"github.com/wisteriamux/wisteriamux/internal/upstreamconn"
)

var _ = Describe("what an upstream says of itself", func() {
	var requester, other, relaying *relayVM
	var near, nearSpare, far, farSpare *fakeUpstream
	var all []*fakeUpstream

	BeforeEach(func() {
		requester, other, relaying = startVM("requester", "a"), startVM("other", "a"), startVM("relaying", "b")
		near, nearSpare = startFakeUpstream("near-0", "near", "a", 5), startFakeUpstream("near-1", "near", "a", 5)
		far, farSpare = startFakeUpstream("far-0", "far", "b", 9), startFakeUpstream("far-1", "far", "b", 9)
		all = []*fakeUpstream{near, nearSpare, far, farSpare}
		for _, vm := range []*relayVM{requester, other, relaying} {
			vm.adopt(all...)
		}
		for _, vm := range []*relayVM{requester, other} {
			vm.connect("b", relaying.peer())
		}
	})

	// only makes the VMs know one upstream of each service, and everything all of them. Load balancing alone does not tell which of
	// two upstreams gets the next request.
	revision := uint64(1)
	adopt := func(upstreams ...*fakeUpstream) {
		revision++
		for _, vm := range []*relayVM{requester, other, relaying} {
			vm.adoptAs(revision, upstreams...)
		}
	}
	only := func() { adopt(near, far) }
	everything := func() { adopt(all...) }
	BeforeEach(func() { revision = 1 })

	// learn sends requests with one upstream until it has answered.
	learn := func(u *fakeUpstream, send func() error) {
		before := u.requests.Load()
		for n := 0; u.requests.Load() == before; n++ {
			Expect(n).To(BeNumerically("<", 200))
			_ = send()
		}
	}
	search := func(vm *relayVM, service string) func() error {
		return func() error {
			_, err := vm.search(searchRoute(service))
			return err
		}
	}
	forward := func(vm *relayVM, service string) func() error {
		return func() error {
			_, err := vm.forward(service)
			return err
		}
	}
	// throughRelay sends an attempt at one upstream through the relay, as a VM without links does.
	throughRelay := func(vm *relayVM, u *fakeUpstream) (*upstreamconn.Response, relay.ForwardReply, error) {
		link := vm.router.peers.Pick("b", 0, nil, time.Now())
		return link.Forward(context.Background(), relay.ForwardArgs{
			Attempt: relay.Attempt{Instance: u.instance.ID}, Request: "1", Method: "GET", Target: "/x", Remaining: time.Second, Expected: time.Second,
		})
	}

	type way struct {
		upstream func() *fakeUpstream
		send     func() error
	}
	ways := map[string]func() way{
		"a search": func() way {
			return way{func() *fakeUpstream { return near }, search(requester, "near")}
		},
		"a search through a relay": func() way {
			return way{func() *fakeUpstream { return far }, search(requester, "far")}
		},
		"a forwarded request": func() way {
			return way{func() *fakeUpstream { return near }, forward(requester, "near")}
		},
	}
	for name, start := range ways {
		It("keeps new work away from one that leaves, sent as "+name, func() {
			w := start()
			u := w.upstream()
			u.leaving.Store(true)
			only()
			learn(u, w.send)
			everything()
			before := u.requests.Load()
			for range 40 {
				Expect(w.send()).To(Succeed())
			}
			Expect(u.requests.Load()).To(Equal(before))
		})

		It("keeps requests away from one that wants none for a while, sent as "+name, func() {
			w := start()
			u := w.upstream()
			u.pause.Store("0.4")
			only()
			learn(u, w.send)
			everything()
			u.pause.Store("")
			before, until := u.requests.Load(), time.Now().Add(350*time.Millisecond)
			for time.Now().Before(until) {
				Expect(w.send()).To(Succeed())
			}
			Expect(u.requests.Load()).To(Equal(before))
			only()
			Eventually(func() int64 { _ = w.send(); return u.requests.Load() }).WithTimeout(5 * time.Second).Should(BeNumerically(">", before))
		})

		It("does not hold for its next process, sent as "+name, func() {
			w := start()
			u := w.upstream()
			u.leaving.Store(true)
			only()
			learn(u, w.send)
			u.leaving.Store(false)
			u.instance.Born++
			only()
			learn(u, w.send)
		})
	}

	It("is kept by a relay for VMs that have not heard it", func() {
		far.leaving.Store(true)
		farSpare.pause.Store("30")
		for _, u := range []*fakeUpstream{far, farSpare} {
			_, _, _ = throughRelay(requester, u)
			before := u.requests.Load()
			Expect(before).To(Equal(int64(1)))
			time.Sleep(1100 * time.Millisecond)
			_, reply, err := throughRelay(other, u)
			Expect(err).To(HaveOccurred())
			Expect(reply.Sent).To(BeFalse())
			Expect(u.requests.Load()).To(Equal(before))
		}
	})

	It("is told to the VM that had another one execute a forwarded request", func() {
		far.leaving.Store(true)
		response, _, err := throughRelay(requester, far)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Notice.Leaving).To(BeTrue())
		farSpare.pause.Store("30")
		response, _, err = throughRelay(requester, farSpare)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Notice.Pause).To(Equal(30 * time.Second))
	})

	It("is heard by a VM without links of its own, and used by it once it has them again", func() {
		far.leaving.Store(true)
		only()
		requester.links.set(refused)
		Eventually(func() int64 {
			_ = forward(requester, "far")()
			return requester.router.Counts().Partitioned
		}).WithTimeout(5 * time.Second).Should(Equal(int64(1)))
		// Requests that another VM executes are the only ones from here on, and were before, once the links were lost.
		Eventually(func() int64 {
			_ = forward(requester, "far")()
			return requester.router.Counts().Leaving
		}).WithTimeout(5 * time.Second).Should(Equal(int64(1)))
	})

	It("makes requests fail at once with the true time of return when all upstreams want none", func() {
		for _, u := range []*fakeUpstream{near, nearSpare, far, farSpare} {
			u.pause.Store("2")
		}
		for _, send := range []func() error{forward(requester, "near"), search(requester, "far")} {
			for range 4 {
				_ = send()
			}
			sent := time.Now()
			err := send()
			Expect(time.Since(sent)).To(BeNumerically("<", 100*time.Millisecond))
			Expect(fault.CodeOf(err)).To(Equal(fault.RateLimited))
			var noRoom *ratelimit.NoRoomError
			Expect(errors.As(err, &noRoom)).To(BeTrue())
			Expect(noRoom.RetryAfter).To(BeNumerically(">", time.Second))
			Expect(noRoom.RetryAfter).To(BeNumerically("<", 3*time.Second))
		}
	})

	It("leaves no gap while all upstreams of a service leave and their replacement is on its way", func() {
		near.leaving.Store(true)
		nearSpare.leaving.Store(true)
		replacement := startFakeUpstream("near-2", "near", "a", 5)
		time.AfterFunc(600*time.Millisecond, func() { requester.adoptAs(2, append(all, replacement)...) })
		for begin := time.Now(); time.Since(begin) < 1500*time.Millisecond; time.Sleep(10 * time.Millisecond) {
			Expect(forward(requester, "near")()).To(Succeed())
		}
		before := near.requests.Load() + nearSpare.requests.Load()
		for range 20 {
			Expect(forward(requester, "near")()).To(Succeed())
		}
		Expect(near.requests.Load() + nearSpare.requests.Load()).To(Equal(before))
	})

	It("is heard in a response to a request that must not be repeated, too", func() {
		near.leaving.Store(true)
		rt := &route.Route{Name: "w", Attempts: 1, Timeout: time.Second, Objective: time.Second, Service: "near"}
		only()
		learn(near, func() error {
			_, err := requester.router.Forward(context.Background(), rt, testRequest(rt, "1", "/x"))
			return err
		})
		everything()
		before := near.requests.Load()
		for range 20 {
			Expect(forward(requester, "near")()).To(Succeed())
		}
		Expect(near.requests.Load()).To(Equal(before))
	})
})
