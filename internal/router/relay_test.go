package router

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/gather"
	"github.com/wisteriamux/wisteriamux/internal/registry"
	"github.com/wisteriamux/wisteriamux/internal/relay"
	"github.com/wisteriamux/wisteriamux/internal/route"
	"github.com/wisteriamux/wisteriamux/internal/upstreamconn"
)

// shardUpstream answers searches with two records.
type shardUpstream struct {
	instance registry.Instance
	records  []byte
	asked    atomic.Int64
	// delay is how long an answer takes, in ns, and refuse makes it state that it did not run the request.
	delay  atomic.Int64
	refuse atomic.Bool
}

func record(first byte) []byte { return append([]byte{first}, make([]byte, gather.RecordBytes-1)...) }

func startShardUpstream(id, service, domain string, firsts ...byte) *shardUpstream {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	u := &shardUpstream{instance: registry.Instance{
		ID: id, Service: service, FailureDomain: domain, Address: listener.Addr().String(), Slots: 2, State: registry.Ready,
	}}
	for _, first := range firsts {
		u.records = append(u.records, record(first)...)
	}
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

func (u *shardUpstream) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		u.asked.Add(1)
		time.Sleep(time.Duration(u.delay.Load()))
		status := "200 OK\r\nStamp: stamp-" + u.instance.ID
		if u.refuse.Load() {
			status = "503 Service Unavailable\r\nRefused: 1"
		}
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(u.records), u.records); err != nil {
			return
		}
		_ = request.Body.Close()
	}
}

// shardCodec is a minimal protocol of upstreams.
type shardCodec struct{}

func (shardCodec) AppendHead(b []byte, r *upstreamconn.Request) []byte {
	return fmt.Appendf(b, "GET %s HTTP/1.1\r\nHost: x\r\n", r.Target)
}

func (shardCodec) DecodeHeader(a *upstreamconn.Response) {
	a.Stamp = a.Header.Get("Stamp")
	a.NotRun = a.Header.Get("Refused") != ""
}

// relayVM is an entry VM that relays.
type relayVM struct {
	router   *Router
	server   *relay.Server
	listener net.Listener
	conns    chan net.Conn
}

func startVM(id, domain string) *relayVM {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	// A test may have closed it.
	DeferCleanup(func() { _ = listener.Close() })
	log := slog.New(slog.NewTextHandler(GinkgoWriter, nil))
	vm := &relayVM{listener: listener, conns: make(chan net.Conn, 16)}
	vm.router = New(Config{
		ID: id, FailureDomain: domain, ExtraShare: 0.2, ExtraFloor: 500, ExtraWindow: time.Second,
		RelayAddress: listener.Addr().String(), DialRelay: controlrpc.PlainDialer,
	}, nil, shardCodec{}, log)
	vm.server = relay.NewServer(vm.router, log)
	go vm.server.Serve(&recordingListener{Listener: listener, conns: vm.conns})
	return vm
}

// recordingListener passes on the connections that it accepts, so that a test can cut them.
type recordingListener struct {
	net.Listener
	conns chan net.Conn
}

func (l *recordingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.conns <- conn
	}
	return conn, err
}

func (vm *relayVM) peer() controlrpc.Peer {
	return controlrpc.Peer{ID: vm.router.config.ID, FailureDomain: vm.router.config.FailureDomain, Address: vm.listener.Addr().String()}
}

func (vm *relayVM) adopt(upstreams ...*shardUpstream) {
	reply := controlrpc.WatchReply{Revision: 1, Watchers: 2, Instances: registry.Delta{Whole: true}}
	for _, u := range upstreams {
		reply.Instances.Changed = append(reply.Instances.Changed, u.instance)
	}
	vm.router.adopt(reply)
}

func searchRoute(shards ...string) *route.Route {
	return &route.Route{
		Name: "r", Idempotent: true, Attempts: 2, Timeout: 2 * time.Second, Objective: time.Second, Top: 3, Coverage: 1, Shards: shards,
	}
}

func (vm *relayVM) search(rt *route.Route) (*SearchResult, error) {
	request := &Request{
		Request:  upstreamconn.Request{ID: "1", Method: "GET", Target: "/x", Host: "x"},
		Received: time.Now(), Limit: rt.Timeout,
	}
	return vm.router.Search(context.Background(), vm.router.View(), rt, request)
}

// connect waits until the peers of the VM are connected.
func (vm *relayVM) connect(domain string, peers ...controlrpc.Peer) {
	vm.router.peers.Update(peers, time.Now())
	Eventually(func() bool { return vm.canRelay(domain) }).Should(BeTrue())
}

// canRelay reports whether searches of the VM go through an entry VM of the failure domain.
func (vm *relayVM) canRelay(domain string) bool {
	return vm.router.peers.Pick(domain, 0, nil, time.Now()) != nil
}

var _ = Describe("a search over two failure domains", func() {
	var asking, relaying *relayVM
	var near, far1, far2 *shardUpstream
	rt := searchRoute("near", "far1", "far2")

	BeforeEach(func() {
		asking, relaying = startVM("asking", "a"), startVM("relaying", "b")
		near = startShardUpstream("near-0", "near", "a", 5, 1)
		far1 = startShardUpstream("far1-0", "far1", "b", 9, 2)
		far2 = startShardUpstream("far2-0", "far2", "b", 7, 3)
		asking.adopt(near, far1, far2)
		relaying.adopt(near, far1, far2)
		asking.connect("b", relaying.peer())
	})

	It("asks the upstreams of the other one through an entry VM there and merges the parts", func() {
		g, err := asking.search(rt)
		Expect(err).NotTo(HaveOccurred())
		Expect(g.Records).To(Equal(bytes.Join([][]byte{record(9), record(7), record(5)}, nil)))
		Expect(g.Stamps).To(ConsistOf("stamp-near-0", "stamp-far1-0", "stamp-far2-0"))
		Expect(relaying.router.Counts().Executed).To(Equal(int64(2)))
		Expect(asking.router.Counts().Relayed).To(Equal(int64(2)))
	})

	It("asks directly when the relay is gone", func() {
		Expect(relaying.listener.Close()).To(Succeed())
		Expect((<-relaying.conns).Close()).To(Succeed())
		Eventually(func() bool { return asking.canRelay("b") }).Should(BeFalse())
		g, err := asking.search(rt)
		Expect(err).NotTo(HaveOccurred())
		Expect(g.Stamps).To(HaveLen(3))
		Expect(relaying.router.Counts().Executed).To(BeZero())
	})

	It("asks other upstreams when the relay is lost in the middle", func() {
		spare1 := startShardUpstream("far1-1", "far1", "b", 9, 2)
		spare2 := startShardUpstream("far2-1", "far2", "b", 7, 3)
		for _, u := range []*shardUpstream{far1, far2, spare1, spare2} {
			u.delay.Store(int64(60 * time.Millisecond))
		}
		asking.adopt(near, far1, far2, spare1, spare2)
		relaying.adopt(near, far1, far2, spare1, spare2)
		asking.router.budget("far1", time.Now()).Refill(10)
		asking.router.budget("far2", time.Now()).Refill(10)
		conn := <-relaying.conns
		time.AfterFunc(20*time.Millisecond, func() { _ = conn.Close() })
		g, err := asking.search(rt)
		Expect(err).NotTo(HaveOccurred())
		Expect(g.Stamps).To(HaveLen(3))
	})

	It("does not say that nothing ran when a relay is lost that may have sent the request", func() {
		far1.delay.Store(int64(200 * time.Millisecond))
		conn := <-relaying.conns
		time.AfterFunc(20*time.Millisecond, func() { _ = conn.Close() })
		_, err := asking.search(searchRoute("far1"))
		Expect(fault.CodeOf(err)).To(Equal(fault.UpstreamFailed))
	})

	It("says that nothing ran when the relay does not know the upstream", func() {
		relaying.adoptNothing()
		_, err := asking.search(searchRoute("far1"))
		Expect(fault.CodeOf(err)).To(Equal(fault.NotRun))
		Expect(far1.asked.Load()).To(BeZero())
	})

	It("counts a token of the budget only for attempts that an upstream saw", func() {
		relaying.adoptNothing()
		spare := startShardUpstream("far1-1", "far1", "a", 9, 2)
		asking.adopt(near, far1, far2, spare)
		for range 3 {
			g, err := asking.search(searchRoute("far1"))
			Expect(err).NotTo(HaveOccurred())
			Expect(g.Stamps).To(Equal([]string{"stamp-far1-1"}))
		}
		Expect(asking.router.Counts().Extra).To(BeZero())
	})

	It("keeps every part whose records were merged, also when a second attempt was faster", func() {
		s := &search{
			router: asking.router, route: rt, request: &Request{}, parts: make([]shardPart, 3), cancels: make([][]context.CancelFunc, 3),
			state: gather.New(gather.Plan{Shards: 3, Least: 3, Attempts: 2}),
		}
		batch := &relayed{kind: first, open: map[int]*attempt{}}
		s.state.Sent(time.Now(), 1)
		s.state.Ended(1, gather.Part)
		s.takePart(1, shardPart{stamp: "second", records: append(record(4), record(1)...)})
		s.takeReport(context.Background(), relayReport{from: batch, report: relay.BatchReport{
			Ended:   []relay.Ended{{Number: 1, Stamp: "first"}, {Number: 2, Stamp: "other"}},
			Records: bytes.Join([][]byte{record(8), record(6)}, nil),
		}})
		g := s.finish()
		Expect(g.Stamps).To(Equal([]string{"first", "other"}))
		Expect(g.Records).To(Equal(bytes.Join([][]byte{record(8), record(6)}, nil)))
	})
})

func (vm *relayVM) adoptNothing() {
	vm.router.adopt(controlrpc.WatchReply{Revision: 2, Watchers: 2, Instances: registry.Delta{Whole: true}})
}

var _ = Describe("an entry VM that relays", func() {
	It("declines optional attempts at an upstream that it knows to fail, so that the asking VM turns to another at once", func() {
		vm := startVM("relaying", "b")
		u := startShardUpstream("u", "s", "b", 1)
		vm.adopt(u)
		vm.router.tracker.Told(time.Now(), "u", 5)
		request := &upstreamconn.Request{Method: "GET", Target: "/x", Remaining: time.Second}
		_, err := vm.router.Attempt(context.Background(), relay.Attempt{Instance: "u", Optional: true}, time.Millisecond, request)
		Expect(relay.Classify(nil, err)).To(Equal(relay.Declined))
		Expect(u.asked.Load()).To(BeZero())
		response, err := vm.router.Attempt(context.Background(), relay.Attempt{Instance: "u"}, time.Millisecond, request)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Stamp).To(Equal("stamp-u"))
	})
})

var _ = Describe("upstreams that accept fewer connections than there are entry VMs", func() {
	It("are asked through the entry VMs that hold connections, also in the own failure domain", func() {
		asking := startVM("asking", "a")
		u := startShardUpstream("u", "s", "a", 1)
		table := route.Table{Version: 1, Services: []route.Service{{Name: "s", MaxConnections: 5}}}
		reply := controlrpc.WatchReply{Revision: 1, Watchers: 4, Table: &table, Instances: registry.Delta{Whole: true, Changed: []registry.Instance{u.instance}}}
		asking.router.adopt(reply)
		Expect(asking.router.View().shared).NotTo(HaveKey("s"))
		reply.Revision, reply.Watchers = 2, 5
		asking.router.adopt(reply)
		Expect(asking.router.View().shared).To(HaveKey("s"))
		Expect(asking.router.View().candidates["s"][0].MaxInFlight).To(Equal(1))
	})
})
