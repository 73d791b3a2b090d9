package router

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/gather"
	"github.com/wisteriamux/wisteriamux/internal/notice"
	"github.com/wisteriamux/wisteriamux/internal/ratelimit"
	"github.com/wisteriamux/wisteriamux/internal/registry"
	"github.com/wisteriamux/wisteriamux/internal/relay"
	"github.com/wisteriamux/wisteriamux/internal/route"
	"github.com/wisteriamux/wisteriamux/internal/upstreamconn"
)

// fakeUpstream responds to every request with the same records.
type fakeUpstream struct {
	instance registry.Instance
	records  []byte
	requests atomic.Int64
	// delay is the response time in ns, and refuse makes the upstream state that it did not run the request. endless makes
	// it send a header without end.
	delay   atomic.Int64
	refuse  atomic.Bool
	endless atomic.Bool
	// leaving makes the responses say that the upstream leaves. pause makes it refuse requests and name a pause in seconds, empty
	// for none.
	leaving atomic.Bool
	pause   atomic.Value
	// replaced makes it respond as another process that has taken the address.
	replaced atomic.Bool
	// rateLimit is the rate limit that the responses name, nil for none.
	rateLimit atomic.Pointer[string]
}

func (u *fakeUpstream) setRateLimit(text string) { u.rateLimit.Store(&text) }

func record(first byte) []byte { return append([]byte{first}, make([]byte, gather.RecordBytes-1)...) }

func startFakeUpstream(id, service, domain string, firsts ...byte) *fakeUpstream {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	u := &fakeUpstream{instance: registry.Instance{
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

func (u *fakeUpstream) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		u.requests.Add(1)
		time.Sleep(time.Duration(u.delay.Load()))
		if u.endless.Load() {
			_, _ = io.Copy(conn, io.MultiReader(strings.NewReader("HTTP/1.1 200 OK\r\nX: "), endlessReader{}))
			return
		}
		status := "200 OK\r\nStamp: stamp-" + u.instance.ID
		if u.refuse.Load() {
			status = "503 Service Unavailable\r\nRefused: 1"
		}
		if text, _ := u.pause.Load().(string); text != "" {
			status = "503 Service Unavailable\r\nRefused: 1\r\nPause: " + text
		}
		if u.leaving.Load() {
			status += "\r\nLeaving: 1"
		}
		if u.replaced.Load() {
			status = "421 Misdirected Request\r\nRefused: 1"
		}
		if text := u.rateLimit.Load(); text != nil {
			status += "\r\nLimit: " + *text
		}
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(u.records), u.records); err != nil {
			return
		}
		_ = request.Body.Close()
	}
}

// endlessReader returns the same byte without end.
type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	return len(p), nil
}

// fakeCodec is a minimal upstream protocol.
type fakeCodec struct{}

func (fakeCodec) AppendHead(b []byte, r *upstreamconn.Request) ([]byte, error) {
	b = fmt.Appendf(b, "GET %s HTTP/1.1\r\nHost: x\r\n", r.Target)
	for name := range r.Header {
		b = fmt.Appendf(b, "%s: %s\r\n", name, r.Header.Get(name))
	}
	return b, nil
}

func (fakeCodec) DecodeHeader(a *upstreamconn.Response) {
	a.Stamp = a.Header.Get("Stamp")
	a.NotRun = a.Header.Get("Refused") != ""
	a.Misdirected = a.Status == http.StatusMisdirectedRequest
	a.RateLimit = ratelimit.ParseStatement(a.Header.Values("Limit"))
	a.Notice.Leaving = a.Header.Get("Leaving") != ""
	a.Notice.Pause, a.Notice.Err = notice.ParsePause(a.Header.Values("Pause"))
}

// relayVM is an entry VM that also acts as a relay.
type relayVM struct {
	router   *Router
	server   *relay.Server
	listener net.Listener
	conns    chan net.Conn
	links    *upstreamLinks
	gate     *gate
}

func startVM(id, domain string) *relayVM {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	// A test may have closed the listener already.
	DeferCleanup(func() { _ = listener.Close() })
	log := slog.New(slog.NewTextHandler(GinkgoWriter, nil))
	vm := &relayVM{listener: listener, conns: make(chan net.Conn, 16), links: &upstreamLinks{}, gate: &gate{}}
	vm.router = New(Config{
		ID: id, FailureDomain: domain, ExtraShare: 0.2, ExtraFloor: 500, ExtraWindow: time.Second,
		QuotaWindow: 5 * time.Second, QuotaOverage: 0.1, ColdOverage: 1.5, ColdSlack: 5,
		RelayAddress: listener.Addr().String(), DialRelay: vm.gate.dial, DialUpstream: vm.links.dial,
	}, nil, fakeCodec{}, log)
	vm.server = relay.NewServer(vm.router, log)
	go vm.server.Serve(&recordingListener{Listener: listener, conns: vm.conns, gate: vm.gate})
	return vm
}

// recordingListener sends every accepted connection to conns, so that a test can close it.
type recordingListener struct {
	net.Listener
	conns chan net.Conn
	gate  *gate
}

func (l *recordingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.conns <- conn
	}
	return l.gate.wrap(conn), err
}

func (vm *relayVM) peer() controlrpc.Peer {
	return controlrpc.Peer{ID: vm.router.config.ID, FailureDomain: vm.router.config.FailureDomain, Address: vm.listener.Addr().String()}
}

func (vm *relayVM) adopt(upstreams ...*fakeUpstream) { vm.adoptAs(1, upstreams...) }

// adoptAs adopts the upstreams as those of the revision.
func (vm *relayVM) adoptAs(revision uint64, upstreams ...*fakeUpstream) {
	reply := controlrpc.WatchReply{Revision: revision, Watchers: 2, Instances: registry.Delta{Whole: true}}
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
	return vm.router.Search(context.Background(), rt, request)
}

// connect waits until the VM is connected to a relay in the failure domain.
func (vm *relayVM) connect(domain string, peers ...controlrpc.Peer) {
	vm.router.peers.Update(peers, time.Now())
	Eventually(func() bool { return vm.canRelay(domain) }).Should(BeTrue())
}

// canRelay reports whether the VM has a usable relay in the failure domain.
func (vm *relayVM) canRelay(domain string) bool {
	return vm.router.peers.Pick(domain, 0, nil, time.Now()) != nil
}

// relayAttempt makes an attempt on behalf of another VM if the VM accepts it.
func (vm *relayVM) relayAttempt(ctx context.Context, a relay.Attempt, expected time.Duration, request *upstreamconn.Request) (*upstreamconn.Response, error) {
	if err := vm.router.Accept(a, request); err != nil {
		return nil, err
	}
	return vm.router.Attempt(ctx, a, expected, request)
}

var _ = Describe("a search over two failure domains", func() {
	var requester, relaying *relayVM
	var near, far1, far2 *fakeUpstream
	rt := searchRoute("near", "far1", "far2")

	BeforeEach(func() {
		requester, relaying = startVM("requester", "a"), startVM("relaying", "b")
		near = startFakeUpstream("near-0", "near", "a", 5, 1)
		far1 = startFakeUpstream("far1-0", "far1", "b", 9, 2)
		far2 = startFakeUpstream("far2-0", "far2", "b", 7, 3)
		requester.adopt(near, far1, far2)
		relaying.adopt(near, far1, far2)
		requester.connect("b", relaying.peer())
	})

	It("reaches the upstreams of the other failure domain through an entry VM there and merges the parts", func() {
		g, err := requester.search(rt)
		Expect(err).NotTo(HaveOccurred())
		Expect(g.Records).To(Equal(bytes.Join([][]byte{record(9), record(7), record(5)}, nil)))
		Expect(g.Stamps).To(ConsistOf("stamp-near-0", "stamp-far1-0", "stamp-far2-0"))
		Expect(relaying.router.Counts().Executed).To(Equal(int64(2)))
		Expect(requester.router.Counts().Relayed).To(Equal(int64(2)))
	})

	It("sends requests directly when the relay is gone", func() {
		Expect(relaying.listener.Close()).To(Succeed())
		Expect((<-relaying.conns).Close()).To(Succeed())
		Eventually(func() bool { return requester.canRelay("b") }).Should(BeFalse())
		g, err := requester.search(rt)
		Expect(err).NotTo(HaveOccurred())
		Expect(g.Stamps).To(HaveLen(3))
		Expect(relaying.router.Counts().Executed).To(BeZero())
	})

	It("retries at other upstreams when the relay is lost during the search", func() {
		spare1 := startFakeUpstream("far1-1", "far1", "b", 9, 2)
		spare2 := startFakeUpstream("far2-1", "far2", "b", 7, 3)
		for _, u := range []*fakeUpstream{far1, far2, spare1, spare2} {
			u.delay.Store(int64(60 * time.Millisecond))
		}
		requester.adopt(near, far1, far2, spare1, spare2)
		relaying.adopt(near, far1, far2, spare1, spare2)
		requester.router.budget("far1", time.Now()).Add(10)
		requester.router.budget("far2", time.Now()).Add(10)
		conn := <-relaying.conns
		time.AfterFunc(20*time.Millisecond, func() { _ = conn.Close() })
		g, err := requester.search(rt)
		Expect(err).NotTo(HaveOccurred())
		Expect(g.Stamps).To(HaveLen(3))
	})

	It("takes the parts of other upstreams when an upstream here and one behind the relay respond without end", func() {
		spareNear := startFakeUpstream("near-1", "near", "a", 5, 1)
		spareFar := startFakeUpstream("far1-1", "far1", "b", 9, 2)
		// A cold upstream is chosen only after another one has failed.
		spareNear.instance.ColdMillis, spareFar.instance.ColdMillis = time.Minute.Milliseconds(), time.Minute.Milliseconds()
		near.endless.Store(true)
		far1.endless.Store(true)
		requester.adopt(near, far1, far2, spareNear, spareFar)
		relaying.adopt(near, far1, far2, spareNear, spareFar)
		for range 10 {
			requester.router.budget("near", time.Now()).Add(10)
			requester.router.budget("far1", time.Now()).Add(10)
			g, err := requester.search(rt)
			Expect(err).NotTo(HaveOccurred())
			Expect(g.Records).To(Equal(bytes.Join([][]byte{record(9), record(7), record(5)}, nil)))
			Expect(g.Stamps).To(ConsistOf("stamp-near-1", "stamp-far1-1", "stamp-far2-0"))
		}
		Expect(requester.router.Counts().Oversized + relaying.router.Counts().Oversized).To(BeNumerically(">", 0))
	})

	It("does not report that nothing ran when the lost relay may have sent the request", func() {
		far1.delay.Store(int64(200 * time.Millisecond))
		conn := <-relaying.conns
		time.AfterFunc(20*time.Millisecond, func() { _ = conn.Close() })
		_, err := requester.search(searchRoute("far1"))
		Expect(fault.CodeOf(err)).To(Equal(fault.UpstreamFailed))
	})

	It("sends nothing more to an address that another process has taken, whose service would get arrivals beyond its budget", func() {
		for _, replaced := range []*fakeUpstream{near, far1} {
			replaced.replaced.Store(true)
			rt := searchRoute(replaced.instance.Service)
			for range 5 {
				_, err := requester.search(rt)
				Expect(fault.CodeOf(err)).To(Equal(fault.NotRun))
			}
			Expect(replaced.requests.Load()).To(Equal(int64(1)))
			_, err := relaying.relayAttempt(context.Background(), relay.Attempt{Instance: replaced.instance.ID}, time.Second, &upstreamconn.Request{Target: "/x"})
			if replaced == far1 {
				Expect(fault.CodeOf(err)).To(Equal(fault.Moved), "the relay knows it as well")
			}
			replaced.replaced.Store(false)
			replaced.instance.Born++
			requester.adoptAs(2, near, far1, far2)
			relaying.adoptAs(2, near, far1, far2)
			_, err = requester.search(rt)
			Expect(err).NotTo(HaveOccurred(), "the next process of the upstream is used")
		}
	})

	// Guards against requests that fail at a sound upstream's service because the first attempt went to a made-up process at its address.
	It("sends a request again that another process has refused, also without a token of the budget", func() {
		for _, first := range []*fakeUpstream{startFakeUpstream("near-1", "near", "a", 9, 2), startFakeUpstream("far1-1", "far1", "b", 9, 2)} {
			first.replaced.Store(true)
			requester.adopt(near, far1, far2, first)
			relaying.adopt(near, far1, far2, first)
			for _, slower := range []*fakeUpstream{near, far1} {
				requester.router.tracker.RecordPeerCost(time.Now(), slower.instance.ID, 3)
			}
			_, err := requester.search(searchRoute(first.instance.Service))
			Expect(err).NotTo(HaveOccurred())
			Expect(first.requests.Load()).To(Equal(int64(1)))
		}
		Expect(requester.router.Counts().Extra).To(BeZero())
		Expect(requester.router.Counts().Denied).To(BeZero())
	})

	It("reports that nothing ran when the relay does not know the upstream", func() {
		relaying.adoptEmptyView()
		_, err := requester.search(searchRoute("far1"))
		Expect(fault.CodeOf(err)).To(Equal(fault.NotRun))
		Expect(far1.requests.Load()).To(BeZero())
	})

	It("charges the budget only for attempts that an upstream received", func() {
		relaying.adoptEmptyView()
		spare := startFakeUpstream("far1-1", "far1", "a", 9, 2)
		requester.adopt(near, far1, far2, spare)
		for range 3 {
			g, err := requester.search(searchRoute("far1"))
			Expect(err).NotTo(HaveOccurred())
			Expect(g.Stamps).To(Equal([]string{"stamp-far1-1"}))
		}
		Expect(requester.router.Counts().Extra).To(BeZero())
	})

	It("keeps every part whose records were merged, even if a second attempt was faster", func() {
		s := &search{
			router: requester.router, route: rt, request: &Request{}, parts: make([]shardPart, 3), cancels: make([][]context.CancelFunc, 3),
			state: gather.New(gather.Config{Shards: 3, MinShards: 3, Attempts: 2}),
		}
		batch := &relayed{kind: firstAttempt, open: map[int]*attempt{}}
		s.state.Sent(time.Now(), 1)
		s.state.Ended(1, gather.Success)
		s.addPart(1, shardPart{stamp: "second", records: append(record(4), record(1)...)})
		s.handleReport(context.Background(), relayReport{from: batch, report: relay.BatchReport{
			Ended:   []relay.Ended{{Number: 1, Stamp: "first"}, {Number: 2, Stamp: "other"}},
			Records: bytes.Join([][]byte{record(8), record(6)}, nil),
		}})
		g := s.finish()
		Expect(g.Stamps).To(Equal([]string{"first", "other"}))
		Expect(g.Records).To(Equal(bytes.Join([][]byte{record(8), record(6)}, nil)))
	})
})

func (vm *relayVM) adoptEmptyView() {
	vm.router.adopt(controlrpc.WatchReply{Revision: 2, Watchers: 2, Instances: registry.Delta{Whole: true}})
}

var _ = Describe("an entry VM that acts as a relay", func() {
	It("declines optional attempts at an upstream known to fail, so that the requesting VM tries another one at once", func() {
		vm := startVM("relaying", "b")
		u := startFakeUpstream("u", "s", "b", 1)
		vm.adopt(u)
		vm.router.tracker.RecordPeerCost(time.Now(), "u", 5)
		request := &upstreamconn.Request{Method: "GET", Target: "/x", Remaining: time.Second}
		_, err := vm.relayAttempt(context.Background(), relay.Attempt{Instance: "u", Optional: true}, time.Millisecond, request)
		Expect(relay.Classify(nil, err)).To(Equal(relay.Declined))
		Expect(u.requests.Load()).To(BeZero())
		response, err := vm.relayAttempt(context.Background(), relay.Attempt{Instance: "u"}, time.Millisecond, request)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Stamp).To(Equal("stamp-u"))
	})
})

var _ = Describe("upstreams that accept fewer connections than there are entry VMs", func() {
	It("are reached through the entry VMs that hold connections, even in the VM's own failure domain", func() {
		requester := startVM("requester", "a")
		u := startFakeUpstream("u", "s", "a", 1)
		table := route.Table{Version: 1, Services: []route.Service{{Name: "s", MaxConnections: 5}}}
		reply := controlrpc.WatchReply{Revision: 1, Watchers: 4, Table: &table, Instances: registry.Delta{Whole: true, Changed: []registry.Instance{u.instance}}}
		requester.router.adopt(reply)
		Expect(requester.router.View().connectionLimited).NotTo(HaveKey("s"))
		reply.Revision, reply.Watchers = 2, 5
		requester.router.adopt(reply)
		Expect(requester.router.View().connectionLimited).To(HaveKey("s"))
		Expect(requester.router.View().candidates["s"][0].MaxInFlight).To(Equal(1))
	})
})
