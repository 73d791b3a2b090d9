package router

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/registry"
	"github.com/wisteriamux/wisteriamux/internal/route"
)

// leftFor is the users' bound: from half a second after a caller has left, no request of it reaches an upstream, and no upstream works
// for it.
const leftFor = 500 * time.Millisecond

// work is what one upstream did for one request.
type work struct {
	request       string
	arrived, done time.Time
}

// workingUpstream works on each request until the connection is closed, and records when.
type workingUpstream struct {
	instance registry.Instance

	// mu guards works.
	mu    sync.Mutex
	works []*work
}

func startWorkingUpstream(id, service, domain string) *workingUpstream {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	u := &workingUpstream{instance: registry.Instance{
		ID: id, Service: service, FailureDomain: domain, Address: listener.Addr().String(), Slots: 2, State: registry.Ready,
	}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go u.serve(conn)
		}
	}()
	return u
}

func (u *workingUpstream) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	request, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	w := &work{request: request.Header.Get(callerHeader), arrived: time.Now()}
	u.mu.Lock()
	u.works = append(u.works, w)
	u.mu.Unlock()
	_, _ = reader.ReadByte()
	u.mu.Lock()
	w.done = time.Now()
	u.mu.Unlock()
}

var _ = Describe("a caller that leaves", Label("slow"), func() {
	const callers = 120
	var upstreams []*workingUpstream
	var vms []*relayVM

	BeforeEach(func() {
		upstreams, vms = nil, nil
		reply := controlrpc.WatchReply{Revision: 1, Watchers: 2}
		for shard := range 12 {
			for copy, domain := range []string{"a", "b"} {
				u := startWorkingUpstream(fmt.Sprintf("u-%d-%d", shard, copy), fmt.Sprintf("s%d", shard), domain)
				upstreams = append(upstreams, u)
				reply.Instances.Changed = append(reply.Instances.Changed, u.instance)
			}
		}
		reply.Instances.Whole = true
		for n, domain := range []string{"a", "b"} {
			vms = append(vms, startVM(fmt.Sprintf("vm-%d", n), domain))
			reply.Peers = append(reply.Peers, controlrpc.Peer{ID: fmt.Sprintf("vm-%d", n), FailureDomain: domain, Address: vms[n].listener.Addr().String()})
		}
		for _, vm := range vms {
			vm.router.adopt(reply)
		}
	})

	services := func() []string {
		var all []string
		for shard := range 12 {
			all = append(all, fmt.Sprintf("s%d", shard))
		}
		return all
	}

	// leave lets callers send and leave after up to 100 ms, each at its own moment, and returns how long upstreams worked on for them,
	// the shortest first, and how long after the leaving the last request arrived.
	leave := func(send func(*relayVM, context.Context, *Request) error, rt *route.Route) (workedOn []time.Duration, lastArrival time.Duration) {
		var mu sync.Mutex
		leftAt := map[string]time.Time{}
		var wg sync.WaitGroup
		for n := range callers {
			wg.Go(func() {
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				id := fmt.Sprint("caller-", n)
				time.AfterFunc(time.Duration(n%100)*time.Millisecond, func() {
					mu.Lock()
					leftAt[id] = time.Now()
					mu.Unlock()
					cancel()
				})
				_ = send(vms[0], ctx, requestFrom(rt, id, id, "/slow"))
			})
			time.Sleep(time.Millisecond)
		}
		wg.Wait()
		time.Sleep(2 * leftFor)
		for _, u := range upstreams {
			u.mu.Lock()
			for _, w := range u.works {
				done := w.done
				if done.IsZero() {
					done = time.Now()
				}
				workedOn = append(workedOn, done.Sub(leftAt[w.request]))
				lastArrival = max(lastArrival, w.arrived.Sub(leftAt[w.request]))
			}
			u.mu.Unlock()
		}
		Expect(len(workedOn)).To(BeNumerically(">", callers/2), "too few requests reached upstreams")
		slices.Sort(workedOn)
		GinkgoWriter.Printf("%d arrivals, worked on for %s (median), %s (most); last arrival after %s\n", len(workedOn),
			workedOn[len(workedOn)/2], workedOn[len(workedOn)-1], lastArrival)
		return workedOn, lastArrival
	}

	search := func(vm *relayVM, ctx context.Context, request *Request) error {
		_, err := vm.router.Search(ctx, searchRoute(services()...), request)
		return err
	}
	forwarding := &route.Route{Name: "forward", Idempotent: true, Attempts: 2, Timeout: 5 * time.Second, Objective: 60 * time.Millisecond, Service: "s0"}
	forward := func(vm *relayVM, ctx context.Context, request *Request) error {
		_, err := vm.router.Forward(ctx, forwarding, request)
		return err
	}
	expectEnded := func(workedOn []time.Duration, lastArrival time.Duration) {
		Expect(workedOn[len(workedOn)-1]).To(BeNumerically("<", leftFor))
		Expect(lastArrival).To(BeNumerically("<", leftFor))
	}

	It("leaves no work of its searches behind, at upstreams of this VM and of its relays", func() {
		rt := searchRoute(services()...)
		rt.Timeout = 5 * time.Second
		expectEnded(leave(search, rt))
	})

	It("leaves no work of its forwarded requests behind, hedged ones included", func() {
		expectEnded(leave(forward, forwarding))
	})
})
