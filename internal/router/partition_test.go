package router

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/route"
	"github.com/wisteriamux/wisteriamux/internal/upstreamconn"
)

// partition is what is wrong with the links between a VM and all upstreams.
type partition int32

const (
	// intact means nothing is wrong.
	intact partition = iota
	// silent means that nothing arrives: open connections and new ones hang.
	silent
	// refused means that open connections are reset and new ones are refused.
	refused
	// refusedNew means that new connections are refused and open ones live on.
	refusedNew
)

// upstreamLinks opens the connections of a VM to upstreams, and can partition the VM from all of them.
type upstreamLinks struct {
	state atomic.Int32
	dials atomic.Int64
	// beforeDial is called before each connection is opened, nil for nothing.
	beforeDial func()

	// mu guards conns.
	mu    sync.Mutex
	conns []net.Conn
}

func (l *upstreamLinks) set(p partition) {
	l.state.Store(int32(p))
	if p != refused {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.conns {
		_ = conn.Close()
	}
	l.conns = nil
}

func (l *upstreamLinks) dial(ctx context.Context, address string) (net.Conn, error) {
	l.dials.Add(1)
	if l.beforeDial != nil {
		l.beforeDial()
	}
	switch partition(l.state.Load()) {
	case silent:
		ctx, cancel := context.WithTimeout(ctx, 400*time.Millisecond)
		defer cancel()
		<-ctx.Done()
		return nil, ctx.Err()
	case refused, refusedNew:
		return nil, syscall.ECONNREFUSED
	}
	conn, err := upstreamconn.DialTCP(ctx, address)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, conn)
	return &partitionedConn{Conn: conn, links: l}, nil
}

// partitionedConn loses what is written and withholds what arrives while its VM is partitioned silently.
type partitionedConn struct {
	net.Conn
	links *upstreamLinks
}

func (c *partitionedConn) Write(data []byte) (int, error) {
	if partition(c.links.state.Load()) == silent {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

// tries counts the requests of one kind.
type tries struct{ served, failed int }

func (t tries) share() float64 { return float64(t.served) / float64(max(1, t.served+t.failed)) }

// outcomes holds the requests of each kind that were sent to one VM.
type outcomes struct{ searches, forwards tries }

// expectServed checks the users' rule for each kind of request: served at least two thirds as often as at a VM of an intact
// fleet at the same time, unless no more than ten and one in fifty of all requests failed. The intact fleet shares the
// machine, whose other load makes requests late at both.
func expectServed(s, intactFleet outcomes) {
	for kind, pair := range map[string][2]tries{"searches": {s.searches, intactFleet.searches}, "forwarded requests": {s.forwards, intactFleet.forwards}} {
		observed, control := pair[0], pair[1]
		all := observed.served + observed.failed + control.served + control.failed
		if float64(observed.failed) <= 10+float64(all)/50 {
			continue
		}
		Expect(observed.share()).To(BeNumerically(">=", control.share()*2/3), "%s: %+v, at an intact fleet: %+v", kind, observed, control)
	}
}

// sendFor sends searches and forwarded requests to a VM, both at the interval, until the duration has passed.
func sendFor(vm *relayVM, rt *route.Route, service string, duration, interval time.Duration) outcomes {
	var mu sync.Mutex
	var s outcomes
	var wg sync.WaitGroup
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(interval) {
		wg.Go(func() {
			_, err := vm.search(rt)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				s.searches.failed++
				return
			}
			s.searches.served++
		})
		wg.Go(func() {
			_, err := vm.forward(service)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				s.forwards.failed++
				return
			}
			s.forwards.served++
		})
	}
	wg.Wait()
	return s
}

// fleet consists of VMs in two failure domains and of upstreams: two for each of some shards, and three of a service that
// takes forwarded requests.
type fleet struct {
	a1, a2, b1, b2 *relayVM
	search         *route.Route
	upstreams      []*fakeUpstream
}

const plainService = "plain"

func startFleet() *fleet {
	const shards = 6
	// callerLimit is about the shortest time that callers of the users' sites wait.
	const callerLimit = 500 * time.Millisecond
	f := &fleet{a1: startVM("a1", "a"), a2: startVM("a2", "a"), b1: startVM("b1", "b"), b2: startVM("b2", "b"), search: searchRoute()}
	f.search.Timeout = callerLimit
	for shard := range shards {
		service := fmt.Sprintf("s%d", shard)
		f.search.Shards = append(f.search.Shards, service)
		f.upstreams = append(f.upstreams, startFakeUpstream(service+"-a", service, "a", byte(shard+1)), startFakeUpstream(service+"-b", service, "b", byte(shard+1)))
	}
	for n, domain := range []string{"a", "b", "b"} {
		f.upstreams = append(f.upstreams, startFakeUpstream(fmt.Sprintf("%s-%d", plainService, n), plainService, domain, 1))
	}
	var peers []controlrpc.Peer
	for _, vm := range f.vms() {
		vm.adopt(f.upstreams...)
		peers = append(peers, vm.peer())
	}
	for _, vm := range f.vms() {
		vm.router.peers.Update(peers, time.Now())
		vm.router.peers.Connect(shards, true, time.Now())
	}
	for _, vm := range f.vms() {
		Eventually(func() bool { return vm.canRelay("a") || vm.canRelay("b") }).Should(BeTrue())
	}
	return f
}

func (f *fleet) vms() []*relayVM { return []*relayVM{f.a1, f.a2, f.b1, f.b2} }

var _ = Describe("entry VMs that are partitioned from all upstreams", func() {
	const (
		warmUp   = 500 * time.Millisecond
		noticing = 1200 * time.Millisecond
		measured = time.Second
		interval = 10 * time.Millisecond
	)
	var f, intactFleet *fleet

	BeforeEach(func() {
		f, intactFleet = startFleet(), startFleet()
		var warm sync.WaitGroup
		for _, vm := range append(f.vms(), intactFleet.vms()...) {
			warm.Go(func() { sendFor(vm, f.search, plainService, warmUp, interval) })
		}
		warm.Wait()
	})

	// playPartition partitions VMs, and expects the observed VM to serve its callers once the VMs have had time to notice.
	playPartition := func(p partition, observed *relayVM, partitioned ...*relayVM) {
		for _, vm := range partitioned {
			vm.links.set(p)
		}
		var background sync.WaitGroup
		for _, vm := range f.vms() {
			if vm != observed {
				background.Go(func() { sendFor(vm, f.search, plainService, noticing+measured, interval) })
			}
		}
		sendFor(observed, f.search, plainService, noticing, interval)
		var control outcomes
		background.Go(func() { control = sendFor(intactFleet.a1, intactFleet.search, plainService, measured, interval) })
		s := sendFor(observed, f.search, plainService, measured, interval)
		background.Wait()
		expectServed(s, control)
	}

	for name, p := range map[string]partition{"silently": silent, "with refusals": refused, "for new connections only": refusedNew} {
		It("serve their callers through VMs in touch when they are partitioned "+name, func() {
			playPartition(p, f.a1, f.a1)
		})

		It("serve their callers through the other failure domain when all of theirs is partitioned "+name, func() {
			playPartition(p, f.a1, f.a1, f.a2)
		})

		It("serve their callers when some of the VMs that relay for them are partitioned, too, "+name, func() {
			playPartition(p, f.a1, f.a1, f.b2)
		})

		It("do not make the callers of a VM in touch fail when its relays are partitioned "+name, func() {
			playPartition(p, f.a1, f.b1, f.b2)
		})

		It("do not make the callers of a VM in touch fail when most VMs are partitioned "+name, func() {
			playPartition(p, f.b1, f.a1, f.a2, f.b2)
		})
	}

	It("run a request that must not be repeated at most once, and say so truly when it did not run", func() {
		rt := *f.search
		rt.Shards, rt.Service, rt.Idempotent = nil, plainService, false
		succeeded, refused := 0, 0
		f.a1.links.set(silent)
		// Each request waits for its limit until enough of them have shown that the links are lost.
		for end := time.Now().Add(2 * noticing); time.Now().Before(end); time.Sleep(interval) {
			before := plainRequests(f)
			request := &Request{
				Request: upstreamconn.Request{ID: "1", Method: "POST", Target: "/x", Host: "x", Body: []byte("order")}, Received: time.Now(), Limit: rt.Timeout,
			}
			_, err := f.a1.router.Forward(context.Background(), &rt, request)
			ran := plainRequests(f) - before
			Expect(ran).To(BeNumerically("<=", 1))
			switch {
			case err == nil:
				succeeded++
			case fault.CodeOf(err) == fault.NotRun:
				refused++
				Expect(ran).To(BeZero())
			}
		}
		Expect(succeeded).To(BeNumerically(">", refused), "%d succeeded, %d were refused", succeeded, refused)
	})

	It("use their own links again after the partition, without a burst of connections", func() {
		f.a1.links.set(silent)
		sendFor(f.a1, f.search, plainService, noticing, interval)
		Expect(f.a1.router.Counts().Partitioned).To(Equal(int64(1)))
		f.a1.links.set(intact)
		Eventually(func() int64 {
			sendFor(f.a1, f.search, plainService, 50*time.Millisecond, interval)
			return f.a1.router.Counts().Partitioned
		}).WithTimeout(5 * time.Second).Should(BeZero())
		before := f.a1.links.dials.Load()
		s := sendFor(f.a1, f.search, plainService, 100*time.Millisecond, interval)
		expectServed(s, sendFor(intactFleet.a1, intactFleet.search, plainService, 100*time.Millisecond, interval))
		Expect(f.a1.links.dials.Load() - before).To(BeNumerically("<", len(f.upstreams)))
	})

	It("are not mistaken for VMs whose upstreams have failed, even if those are half of all", func() {
		for n, u := range f.upstreams {
			if n%2 == 0 {
				u.delay.Store(int64(5 * time.Second))
			}
		}
		for range 4 {
			sendFor(f.a1, f.search, plainService, noticing/4, interval)
			Expect(f.a1.router.Counts().Partitioned).To(BeZero())
		}
	})
})

// plainRequests returns how many requests the upstreams of the plain service got.
func plainRequests(f *fleet) int64 {
	total := int64(0)
	for _, u := range f.upstreams {
		if u.instance.Service == plainService {
			total += u.requests.Load()
		}
	}
	return total
}
