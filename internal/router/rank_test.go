package router

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/ratelimit"
	"github.com/wisteriamux/wisteriamux/internal/relay"
	"github.com/wisteriamux/wisteriamux/internal/upstreamconn"
)

// rankRecorder is a VM that records the ranks with which it is asked for attempts and permits.
type rankRecorder struct {
	// mu guards the fields below.
	mu                sync.Mutex
	attempts, permits []int
}

func (*rankRecorder) Credits(context.Context, relay.CreditsArgs) relay.CreditsReply {
	return relay.CreditsReply{}
}

func (*rankRecorder) Accept(relay.Attempt, *upstreamconn.Request) error { return nil }

func (*rankRecorder) ObserveAttempt(time.Duration, time.Duration) {}

func (*rankRecorder) TakeOver(relay.TakeOverArgs) relay.TakeOverReply { return relay.TakeOverReply{} }

func (r *rankRecorder) Attempt(_ context.Context, a relay.Attempt, _ time.Duration, _ *upstreamconn.Request) (*upstreamconn.Response, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts = append(r.attempts, a.Rank)
	return &upstreamconn.Response{Status: 200, Stamp: "recorder", Body: record(1)}, nil
}

func (r *rankRecorder) Permit(args relay.PermitArgs) relay.PermitReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.permits = append(r.permits, args.Rank)
	return relay.PermitReply{Grant: ratelimit.Grant{Granted: true}, PerSecond: args.PerSecond, Age: args.Age}
}

func (r *rankRecorder) CheckKey(*relay.KeyClaim) error { return nil }

// asked returns the ranks recorded since the last call.
func (r *rankRecorder) asked() (attempts, permits []int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	attempts, permits, r.attempts, r.permits = r.attempts, r.permits, nil, nil
	return attempts, permits
}

var _ = Describe("the rank of a team", func() {
	// With the rank of the route, a team would be served in the order of its route when upstreams are at their limits.
	It("replaces that of the route for permits, parts at relays and forwarded requests", func() {
		recorder := &rankRecorder{}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = listener.Close() })
		go relay.NewServer(recorder, slog.New(slog.NewTextHandler(GinkgoWriter, nil))).Serve(listener)
		vm, _ := startKeyVM("vm", "a")
		vm.connect("b", controlrpc.Peer{ID: "recorder", FailureDomain: "b", Address: listener.Addr().String()})
		id := ""
		for n := 0; id == ""; n++ {
			if name := fmt.Sprintf("u-%d", n); vm.router.peers.Holder(name, time.Now()).Link != nil {
				id = name
			}
		}
		near, far := startFakeUpstream(id, "s", "a", 5), startFakeUpstream("far", "t", "b", 6)
		table := keyTable(1, map[string]string{"a": testKey})
		table.Teams[0].Ranked, table.Teams[0].Rank = true, 4
		vm.confirmTable(1, table, near, far)
		direct, relayed, forwarded := searchRoute("s"), searchRoute("t"), forwardRoute("t")
		direct.Rank, relayed.Rank, forwarded.Rank = 1, 1, 1

		near.setRateLimit("1000")
		vm.router.observeLimit(vm.router.View().byID[id], ratelimit.Statement{PerSecond: 1000})
		request, _ := vm.accept(direct, testKey)
		_, err = vm.router.Search(context.Background(), direct, request)
		Expect(err).NotTo(HaveOccurred())
		_, permits := recorder.asked()
		Expect(permits).To(Equal([]int{4}))

		request, _ = vm.accept(relayed, testKey)
		_, err = vm.router.Search(context.Background(), relayed, request)
		Expect(err).NotTo(HaveOccurred())
		attempts, _ := recorder.asked()
		Expect(attempts).To(Equal([]int{4}))

		vm.links.set(refused)
		Eventually(func() []int {
			request, _ = vm.accept(forwarded, testKey)
			_, _ = vm.router.Forward(context.Background(), forwarded, request)
			attempts, _ := recorder.asked()
			return attempts
		}, 10*time.Second, 50*time.Millisecond).Should(Equal([]int{4}))
	})
})
