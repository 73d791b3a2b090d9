package relay

import (
	"context"
	"io"
	"log/slog"
	"net"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/upstreamconn"
)

var discard = slog.New(slog.NewTextHandler(io.Discard, nil))

// executor answers the attempts at the instances in answers, and keeps the others until they are given up.
type executor struct {
	// mu guards the fields below.
	mu        sync.Mutex
	responses map[string]*upstreamconn.Response
	errors    map[string]error
	given     map[string]bool
}

func (e *executor) Attempt(ctx context.Context, a Attempt, _ time.Duration, _ *upstreamconn.Request) (*upstreamconn.Response, error) {
	e.mu.Lock()
	response, err := e.responses[a.Instance], e.errors[a.Instance]
	e.mu.Unlock()
	if response != nil || err != nil {
		return response, err
	}
	<-ctx.Done()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.given[a.Instance] = true
	return nil, &upstreamconn.RequestError{Err: ctx.Err(), Sent: true}
}

func (e *executor) gaveUp(instance string) func() bool {
	return func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.given[instance]
	}
}

func part(stamp string, firsts ...byte) *upstreamconn.Response {
	return &upstreamconn.Response{Status: 200, Stamp: stamp, Body: records(firsts...)}
}

// gate is a listener whose connections can be silenced: they stay open and deliver nothing more.
type gate struct {
	net.Listener
	// mu guards the fields below.
	mu     sync.Mutex
	conns  []net.Conn
	silent bool
}

func (g *gate) Accept() (net.Conn, error) {
	conn, err := g.Listener.Accept()
	if err != nil {
		return nil, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.conns = append(g.conns, conn)
	return &gatedConn{Conn: conn, gate: g}, nil
}

type gatedConn struct {
	net.Conn
	gate *gate
}

func (c *gatedConn) Write(data []byte) (int, error) {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	if c.gate.silent {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

func (g *gate) silence(silent bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.silent = silent
}

func (g *gate) cut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, conn := range g.conns {
		_ = conn.Close()
	}
}

var _ = Describe("a link", func() {
	var work *executor
	var server *Server
	var door *gate
	var link *Link
	var ctx context.Context
	var cancel context.CancelFunc

	BeforeEach(func() {
		work = &executor{
			responses: map[string]*upstreamconn.Response{"u1": part("s1", 5, 1), "u2": part("s2", 9, 3)},
			errors: map[string]error{
				"moved": fault.New(fault.Moved, "test", "unknown"), "slow": &DeclinedError{Cost: 4},
			},
			given: map[string]bool{},
		}
		server = NewServer(work, discard)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		door = &gate{Listener: listener}
		go server.Serve(door)
		DeferCleanup(listener.Close)
		peer := controlrpc.Peer{ID: "r", FailureDomain: "b", Address: listener.Addr().String()}
		link = newLink(peer, controlrpc.PlainDialer, discard)
		Eventually(func() bool { return link.usable(time.Now()) }).Should(BeTrue())
		ctx, cancel = context.WithCancel(context.Background())
		DeferCleanup(func() { cancel() })
	})

	type delivery struct {
		report BatchReport
		err    error
	}
	start := func(args RunArgs, instances ...string) (*Batch, chan delivery) {
		if args.Remaining == 0 {
			args.Remaining = 5 * time.Second
		}
		args.Top = 2
		for number, instance := range instances {
			args.Attempts = append(args.Attempts, Attempt{Number: number, Instance: instance})
		}
		out := make(chan delivery, 64)
		return link.Start(ctx, args, func(report BatchReport, err error) { out <- delivery{report, err} }), out
	}

	It("brings the parts back merged", func() {
		_, out := start(RunArgs{Quiet: time.Second}, "u1", "u2")
		var d delivery
		Eventually(out).Should(Receive(&d))
		Expect(d.err).NotTo(HaveOccurred())
		Expect(d.report.Records).To(Equal(records(9, 5)))
		Expect(d.report.Ended).To(HaveLen(2))
	})

	It("tells what was not sent apart from what failed, because only the latter may have run", func() {
		_, out := start(RunArgs{}, "moved", "slow")
		outcomes := map[int]Outcome{}
		for len(outcomes) < 2 {
			var d delivery
			Eventually(out).Should(Receive(&d))
			for _, ended := range d.report.Ended {
				outcomes[ended.Number] = ended.Outcome
				if ended.Outcome == Declined {
					Expect(ended.Cost).To(Equal(4.0))
				}
			}
		}
		Expect(outcomes).To(Equal(map[int]Outcome{0: Unsent, 1: Declined}))
	})

	It("gives up single attempts, and all of them when the search ends, so that upstreams do no work for nobody", func() {
		batch, out := start(RunArgs{}, "u1", "hangs", "hangs too")
		var d delivery
		Eventually(out).Should(Receive(&d))
		batch.Cancel([]int{1})
		Eventually(work.gaveUp("hangs")).Should(BeTrue())
		Expect(work.gaveUp("hangs too")()).To(BeFalse())
		cancel()
		Eventually(work.gaveUp("hangs too")).Should(BeTrue())
	})

	It("gives up the attempts of a peer whose connection ends", func() {
		_, _ = start(RunArgs{}, "hangs")
		Eventually(func() int64 { return link.inFlight.Load() }).Should(Equal(int64(1)))
		time.Sleep(20 * time.Millisecond)
		link.close()
		Eventually(work.gaveUp("hangs")).Should(BeTrue())
	})

	It("fails the batches of a connection that is cut, and connects anew", func() {
		_, out := start(RunArgs{}, "hangs")
		time.Sleep(20 * time.Millisecond)
		door.cut()
		Eventually(func() error {
			select {
			case d := <-out:
				return d.err
			default:
				return nil
			}
		}).Should(HaveOccurred())
		Expect(link.usable(time.Now())).To(BeFalse())
		Eventually(func() bool { return link.usable(time.Now()) }, 2*time.Second).Should(BeTrue())
	})

	It("notices at once that an idle connection was cut, so that no search is lost on it", func() {
		door.cut()
		Eventually(func() bool { return link.usable(time.Now()) }).Should(BeFalse())
	})

	It("stops using a relay that falls silent while its connection stays open, and uses it again when it answers", func() {
		door.silence(true)
		_, out := start(RunArgs{}, "hangs")
		Eventually(func() bool { return link.usable(time.Now()) }, 4*silentAfter).Should(BeFalse())
		var d delivery
		Eventually(out, 2*lostAfter).Should(Receive(&d))
		Expect(d.err).To(HaveOccurred())
		door.silence(false)
		Eventually(func() bool { return link.usable(time.Now()) }, 2*time.Second).Should(BeTrue())
	})

	It("does not use a relay that says that it leaves", func() {
		_, out := start(RunArgs{}, "hangs", "u1")
		server.NotifyShutdown()
		Eventually(func() bool { return link.usable(time.Now()) }).Should(BeFalse())
		Eventually(out).Should(Receive(), "what was asked before is still answered")
	})

	It("waits for the batches in progress at a stop", func() {
		_, _ = start(RunArgs{Remaining: 150 * time.Millisecond}, "hangs")
		time.Sleep(20 * time.Millisecond)
		server.Wait(context.Background())
		Expect(work.gaveUp("hangs")()).To(BeTrue())
	})
})

var _ = Describe("a session", func() {
	It("forgets a batch whose reports nobody collects, after a cancellation that came too early", func() {
		peer := &session{server: NewServer(&executor{given: map[string]bool{}}, discard), ctx: context.Background(), batches: map[uint64]*running{}}
		Expect(peer.Cancel(CancelArgs{Batch: 7}, &Empty{})).To(Succeed())
		var report BatchReport
		Expect(peer.Run(RunArgs{Batch: 7, Remaining: 100 * time.Millisecond, Attempts: attempts(1)}, &report)).To(Succeed())
		Expect(report.Ended).To(BeEmpty())
		Eventually(func() int {
			peer.mu.Lock()
			defer peer.mu.Unlock()
			return len(peer.batches)
		}).Should(BeZero())
	})

	It("refuses a batch without time or attempts with a typed failure", func() {
		peer := &session{server: NewServer(&executor{}, discard), ctx: context.Background(), batches: map[uint64]*running{}}
		for _, args := range []RunArgs{{Attempts: attempts(1)}, {Remaining: time.Second}} {
			var report BatchReport
			Expect(peer.Run(args, &report)).To(Succeed())
			Expect(fault.Is(report.Fault.AsError(), fault.BadRequest)).To(BeTrue())
		}
	})
})
