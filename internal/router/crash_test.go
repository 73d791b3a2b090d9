package router

import (
	"bufio"
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/control"
	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/registry"
	"github.com/wisteriamux/wisteriamux/internal/route"
	"github.com/wisteriamux/wisteriamux/internal/upstreamconn"
)

const (
	// fatalTarget is the target of the requests that end each upstream that begins to run them.
	fatalTarget = "/fatal"
	// settledAfter is the users' bound: from then on after the third end, a fatal request reaches upstreams at most
	// allowedRepeats times, summed over all VMs.
	settledAfter   = 4 * time.Second
	allowedRepeats = 3
	// restartAfter is how long an upstream is away after its end.
	restartAfter = time.Second
	workTime     = 15 * time.Millisecond
)

// inProcessControl is a control group of one member, reached without a network.
type inProcessControl struct {
	service *control.Service
}

func startControl() *inProcessControl {
	machine := control.NewMachine()
	service := control.NewService("control", machine, control.NewMemoryReplicator("control", machine), time.Now).
		WithLog(slog.New(slog.NewTextHandler(GinkgoWriter, nil)))
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	go service.Run(ctx)
	return &inProcessControl{service: service}
}

func (c *inProcessControl) Watch(ctx context.Context, args controlrpc.WatchArgs) (controlrpc.WatchReply, error) {
	var reply controlrpc.WatchReply
	if err := c.service.Watch(args, &reply); err != nil {
		return reply, err
	}
	return reply, reply.Fault.AsError()
}

func (c *inProcessControl) WatchAny(ctx context.Context, args controlrpc.WatchArgs) (controlrpc.WatchReply, error) {
	return c.Watch(ctx, args)
}

func (c *inProcessControl) ReportSuspects(ctx context.Context, args controlrpc.ReportSuspectsArgs) error {
	var ack controlrpc.Ack
	if err := c.service.ReportSuspects(args, &ack); err != nil {
		return err
	}
	return ack.Fault.AsError()
}

func (c *inProcessControl) SetAddresses([]string) {}

// crashingUpstream is an upstream that ends when it begins to run a fatal request, and is back after restartAfter with a later
// start time.
type crashingUpstream struct {
	instance registry.Instance
	control  *inProcessControl

	// mu guards the fields below.
	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	down     bool
	// refuse makes the upstream refuse requests, and limit is the rate limit that it names, empty for none.
	refuse bool
	limit  string
	// failure is the status of half of the responses, which it makes without running the request, empty for none.
	failure string
	// fatal holds the arrivals of fatal requests and ends the ends of the process. stopped is set at the end of the test.
	fatal, ends []time.Time
	stopped     bool
}

func startCrashingUpstream(c *inProcessControl, id, service, domain string) *crashingUpstream {
	u := &crashingUpstream{control: c, conns: map[net.Conn]bool{}, instance: registry.Instance{
		ID: id, Service: service, FailureDomain: domain, Address: "127.0.0.1:0", Slots: 2, State: registry.Ready, Born: 1,
	}}
	u.start()
	DeferCleanup(func() { u.end(true) })
	return u
}

// start listens and registers the process.
func (u *crashingUpstream) start() {
	listener, err := net.Listen("tcp", u.instance.Address)
	if err != nil {
		// A connection of the test itself may hold the port for a moment.
		time.AfterFunc(10*time.Millisecond, u.start)
		return
	}
	u.mu.Lock()
	u.instance.Address = listener.Addr().String()
	u.instance.Born++
	u.listener = listener
	u.down = false
	stopped := u.stopped
	u.mu.Unlock()
	if stopped {
		_ = listener.Close()
		return
	}
	var ack controlrpc.Ack
	_ = u.control.service.Report(controlrpc.ReportArgs{Report: registry.Report{Instance: u.instance}}, &ack)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if !u.keep(conn) {
				_ = listener.Close()
				return
			}
			go u.serve(conn)
		}
	}()
}

// keep registers a connection, or closes it if the process has ended.
func (u *crashingUpstream) keep(conn net.Conn) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.down {
		_ = conn.Close()
		return false
	}
	u.conns[conn] = true
	return true
}

func (u *crashingUpstream) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		u.mu.Lock()
		status := "200 OK\r\nStamp: stamp-" + u.instance.ID
		if u.refuse {
			status = "503 Service Unavailable\r\nRefused: 1"
		}
		if u.limit != "" {
			status += "\r\nLimit: " + u.limit
		}
		failing := u.failure != "" && rand.IntN(2) == 0
		if failing {
			status = u.failure
		}
		fatal := request.URL.Path == fatalTarget && request.Header.Get(callerHeader) != otherCaller && !u.refuse && !failing
		if fatal {
			u.fatal = append(u.fatal, time.Now())
		}
		u.mu.Unlock()
		if fatal {
			u.end(false)
			return
		}
		time.Sleep(workTime)
		body := record('m')
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body); err != nil {
			return
		}
	}
}

// set changes how the upstream answers.
func (u *crashingUpstream) set(refuse bool, limit string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.refuse, u.limit = refuse, limit
}

// end closes the listener and all connections, as the end of a process does.
func (u *crashingUpstream) end(stop bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.stopped = u.stopped || stop
	if u.down {
		return
	}
	u.down = true
	u.ends = append(u.ends, time.Now())
	_ = u.listener.Close()
	for conn := range u.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
	clear(u.conns)
	if !u.stopped {
		time.AfterFunc(restartAfter, u.start)
	}
}

// crashingFleet is a set of VMs, control and upstreams.
type crashingFleet struct {
	control   *inProcessControl
	vms       []*relayVM
	upstreams []*crashingUpstream
	services  []string
}

// startCrashingFleet starts three VMs, two of them in one failure domain, that are relays for each other, and services with the
// number of upstreams each.
func startCrashingFleet(services, copies int) *crashingFleet {
	f := &crashingFleet{control: startControl()}
	domains := []string{"a", "b"}
	for n := range services {
		service := "s" + strconv.Itoa(n)
		f.services = append(f.services, service)
		for number := range copies {
			f.upstreams = append(f.upstreams, startCrashingUpstream(f.control, fmt.Sprintf("%s-%d", service, number), service, domains[number%len(domains)]))
		}
	}
	// Upstreams that the fatal request does not reach let a VM tell ends of upstreams from a loss of its own links.
	for n, domain := range domains {
		f.upstreams = append(f.upstreams, startCrashingUpstream(f.control, fmt.Sprintf("other-%d", n), "other", domain))
	}
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	go f.sendHeartbeats(ctx)
	for n, domain := range []string{"a", "a", "b"} {
		vm := startVMWithControl("vm-"+strconv.Itoa(n), domain, f.control)
		f.vms = append(f.vms, vm)
		go vm.router.WatchControl(ctx)
	}
	for _, vm := range f.vms {
		Eventually(func() int { return vm.router.View().UpstreamCount() }, 5*time.Second).Should(Equal(len(f.upstreams)))
		Eventually(func() int { return vm.router.View().watchers }, 5*time.Second).Should(Equal(len(f.vms)))
	}
	return f
}

// sendHeartbeats keeps the upstreams registered.
func (f *crashingFleet) sendHeartbeats(ctx context.Context) {
	var ids []string
	for _, u := range f.upstreams {
		ids = append(ids, u.instance.ID)
	}
	for ctx.Err() == nil {
		var ack controlrpc.Ack
		_ = f.control.service.Heard(controlrpc.HeardArgs{IDs: ids}, &ack)
		time.Sleep(time.Second)
	}
}

// load holds what the callers of a fleet saw.
type load struct {
	mu                          sync.Mutex
	innocentServed, innocentAll int
	// lateServed and lateAll count the innocent requests that were sent after the users' bound.
	lateServed, lateAll int
}

// play sends the fatal request to the VMs in turn every interval, and an innocent one between each two, until the duration
// has passed.
func (f *crashingFleet) play(send func(vm *relayVM, id, target string) error, duration, interval time.Duration) *load {
	l := &load{}
	var wg sync.WaitGroup
	begin := time.Now()
	for n := 0; time.Since(begin) < duration; n++ {
		vm, other := f.vms[n%len(f.vms)], f.vms[(n+1)%len(f.vms)]
		wg.Go(func() {
			err := send(vm, fmt.Sprintf("fatal-%d", n), fatalTarget)
			GinkgoWriter.Printf("%.1f s: fatal request %d: %v\n", time.Since(begin).Seconds(), n, err)
		})
		time.Sleep(interval / 2)
		late := time.Since(begin) > settledAfter+restartAfter
		wg.Go(func() {
			err := send(other, fmt.Sprintf("innocent-%d", n), fmt.Sprintf("/innocent/%d", n))
			l.mu.Lock()
			defer l.mu.Unlock()
			l.innocentAll++
			if late {
				l.lateAll++
			}
			if err != nil {
				GinkgoWriter.Printf("%.1f s: innocent request %d: %v\n", time.Since(begin).Seconds(), n, err)
				return
			}
			l.innocentServed++
			if late {
				l.lateServed++
			}
		})
		time.Sleep(interval / 2)
	}
	wg.Wait()
	return l
}

// arrivals returns all arrivals of fatal requests in order, and those that came settledAfter after the third end.
func (f *crashingFleet) arrivals() (all, late []time.Time) {
	var ends []time.Time
	for _, u := range f.upstreams {
		u.mu.Lock()
		all = append(all, u.fatal...)
		ends = append(ends, u.ends...)
		u.mu.Unlock()
	}
	slices.SortFunc(all, time.Time.Compare)
	slices.SortFunc(ends, time.Time.Compare)
	for _, at := range all {
		if len(ends) >= 3 && at.After(ends[2].Add(settledAfter)) {
			late = append(late, at)
		}
	}
	for n, at := range all {
		GinkgoWriter.Printf("arrival %d after %.2f s\n", n+1, at.Sub(all[0]).Seconds())
	}
	return all, late
}

var _ = Describe("a request under which upstreams end", Label("slow"), func() {
	forward := func(rt *route.Route) func(*relayVM, string, string) error {
		return func(vm *relayVM, id, target string) error {
			_, err := vm.router.Forward(context.Background(), rt, testRequest(rt, id, target))
			return err
		}
	}
	It("stops reaching upstreams through any VM once three have ended, when it is forwarded", func() {
		f := startCrashingFleet(1, 6)
		rt := &route.Route{Name: "forward", Idempotent: true, Attempts: 2, Timeout: 2 * time.Second, Objective: time.Second, Service: f.services[0]}
		f.expectContained(f.play(forward(rt), 10*time.Second, 300*time.Millisecond))
	})

	It("stops reaching upstreams through any VM once three have ended, when it is a search", func() {
		f := startCrashingFleet(6, 2)
		rt := searchRoute(f.services...)
		f.expectContained(f.play(searchWith(rt), 10*time.Second, 300*time.Millisecond))
	})
})

// disruptions are played beside the fatal request, and each ends while it is still sent.
var disruptions = map[string]func(f *crashingFleet){
	"upstreams that name rate limits": func(f *crashingFleet) {
		f.setAll(false, "3")
		time.Sleep(4 * time.Second)
		f.setAll(false, "")
	},
	"upstreams that refuse for a while": func(f *crashingFleet) {
		f.setAll(true, "")
		time.Sleep(2 * time.Second)
		f.setAll(false, "")
	},
	"a VM without links to upstreams": func(f *crashingFleet) {
		f.vms[0].links.set(silent)
		time.Sleep(3 * time.Second)
		f.vms[0].links.set(intact)
	},
	"a VM whose links refuse": func(f *crashingFleet) {
		f.vms[1].links.set(refused)
		time.Sleep(3 * time.Second)
		f.vms[1].links.set(intact)
	},
	"half of the upstreams ending at once, twice": func(f *crashingFleet) {
		for range 2 {
			for n, u := range f.upstreams {
				if n%2 == 0 {
					u.end(false)
				}
			}
			time.Sleep(2500 * time.Millisecond)
		}
	},
	"a relay that is cut off": func(f *crashingFleet) {
		_ = f.vms[2].listener.Close()
		for len(f.vms[2].conns) > 0 {
			_ = (<-f.vms[2].conns).Close()
		}
	},
}

func (f *crashingFleet) setAll(refuse bool, limit string) {
	for _, u := range f.upstreams {
		u.set(refuse, limit)
	}
}

var _ = Describe("a request under which upstreams end, beside other trouble,", Label("slow"), func() {
	It("stops reaching upstreams all the same", func() {
		const services = 4
		fleets := map[string]*crashingFleet{}
		for name := range disruptions {
			fleets[name] = startCrashingFleet(services, 3)
		}
		var playing sync.WaitGroup
		for name, f := range fleets {
			playing.Go(func() {
				time.Sleep(400 * time.Millisecond)
				disruptions[name](f)
			})
			playing.Go(func() { f.play(searchWith(searchRoute(f.services...)), 11*time.Second, 300*time.Millisecond) })
		}
		playing.Wait()
		for name, f := range fleets {
			all, late := f.arrivals()
			GinkgoWriter.Printf("%s: %d arrivals, %d late\n", name, len(all), len(late))
			Expect(len(late)).To(BeNumerically("<=", allowedRepeats), name)
		}
	})
})

// searchWith returns a function that sends a search on the route.
func searchWith(rt *route.Route) func(*relayVM, string, string) error {
	return func(vm *relayVM, id, target string) error {
		_, err := vm.router.Search(context.Background(), rt, testRequest(rt, id, target))
		return err
	}
}

func testRequest(rt *route.Route, id, target string) *Request {
	return &Request{Request: upstreamconn.Request{ID: id, Method: "GET", Target: target, Host: "x"}, Received: time.Now(), Limit: rt.Timeout}
}

// expectContained checks the users' bound for the fatal request, and that callers of other requests are all served from the
// bound and the restart of the upstreams on.
func (f *crashingFleet) expectContained(l *load) {
	all, late := f.arrivals()
	GinkgoWriter.Printf("fatal request: %d arrivals, %d late; innocent requests: %d of %d served, late ones %d of %d\n",
		len(all), len(late), l.innocentServed, l.innocentAll, l.lateServed, l.lateAll)
	Expect(len(all)).To(BeNumerically(">=", 3), "the request was not tried")
	Expect(len(late)).To(BeNumerically("<=", allowedRepeats))
	Expect(l.lateAll).To(BeNumerically(">", 5))
	Expect(l.lateServed).To(Equal(l.lateAll))
}

func startVMWithControl(id, domain string, client ControlClient) *relayVM {
	vm := startVM(id, domain)
	vm.router.control = client
	return vm
}

var _ = Describe("an upstream that closes the connection of a request", func() {
	// endsAfter sends a request to an upstream that runs it and closes the connection, and returns the ends that were counted.
	endsAfter := func(c *closingUpstream, others ...*fakeUpstream) int64 {
		vm := startVM("vm", "a")
		reply := controlrpc.WatchReply{Revision: 1, Watchers: 1, Instances: registry.Delta{Whole: true, Changed: []registry.Instance{c.instance}}}
		for _, u := range others {
			reply.Instances.Changed = append(reply.Instances.Changed, u.instance)
		}
		vm.router.adopt(reply)
		rt := &route.Route{Name: "r", Idempotent: true, Attempts: 1, Timeout: time.Second, Objective: time.Second, Service: "s"}
		_, err := vm.router.Forward(context.Background(), rt, testRequest(rt, "1", "/x"))
		Expect(err).To(HaveOccurred())
		Eventually(func() int {
			vm.router.mu.Lock()
			defer vm.router.mu.Unlock()
			return len(vm.router.endChecks)
		}, 2*time.Second).Should(BeZero())
		return vm.router.Counts().UpstreamEnds
	}

	It("counts as ended if it accepts no other one", func() {
		c := startClosingUpstream(true)
		Expect(endsAfter(c, startFakeUpstream("other", "t", "a", 1))).To(Equal(int64(1)))
	})

	It("does not count as ended if it accepts others, as after a reset on the way", func() {
		c := startClosingUpstream(false)
		Expect(endsAfter(c, startFakeUpstream("other", "t", "a", 1))).To(BeZero())
	})

	It("does not count as ended if no upstream can be reached, since the links of the VM itself may be lost", func() {
		c := startClosingUpstream(true)
		Expect(endsAfter(c)).To(BeZero())
	})
})

// closingUpstream reads a request and closes the connection.
type closingUpstream struct{ instance registry.Instance }

// startClosingUpstream starts an upstream that also stops to listen with the first request if ends is set.
func startClosingUpstream(ends bool) *closingUpstream {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil && ends {
				_ = listener.Close()
			}
			_ = conn.Close()
		}
	}()
	return &closingUpstream{instance: registry.Instance{
		ID: "closing", Service: "s", FailureDomain: "a", Address: listener.Addr().String(), Slots: 2, State: registry.Ready,
	}}
}
