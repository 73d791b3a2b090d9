package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/rpc"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/ratelimit"
	"github.com/wisteriamux/wisteriamux/internal/upstreamconn"
)

var discard = slog.New(slog.NewTextHandler(io.Discard, nil))

// executor returns the configured response or error for an instance, and blocks other attempts until they are cancelled.
type executor struct {
	// mu guards the fields below.
	mu        sync.Mutex
	responses map[string]*upstreamconn.Response
	errors    map[string]error
	cancelled map[string]bool
	// lastRequest is the request of the last attempt.
	lastRequest *upstreamconn.Request
}

// olderRelay is the service of a version that knows neither Forward nor Permit.
type olderRelay struct{}

func (*olderRelay) Stay(Empty, *Empty) error { select {} }

// CheckKey refuses the keys of the team "removed", and those of the team "unconfirmed" for the age of the view.
func (e *executor) CheckKey(claim *KeyClaim) error {
	if claim.Team == "removed" || claim.Team == "unconfirmed" {
		return &KeyError{Removed: claim.Team == "removed", Err: errors.New("refused")}
	}
	return nil
}

func (e *executor) Permit(PermitArgs) PermitReply { return PermitReply{} }

func (e *executor) Credits(context.Context, CreditsArgs) CreditsReply { return CreditsReply{} }

func (e *executor) Accept(a Attempt, _ *upstreamconn.Request) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	var declined *DeclinedError
	if err := e.errors[a.Instance]; errors.As(err, &declined) || fault.Is(err, fault.Moved) {
		return err
	}
	return nil
}

func (e *executor) ObserveAttempt(time.Duration, time.Duration) {}

func (e *executor) TakeOver(TakeOverArgs) TakeOverReply { return TakeOverReply{} }

func (e *executor) Attempt(ctx context.Context, a Attempt, _ time.Duration, request *upstreamconn.Request) (*upstreamconn.Response, error) {
	if request.Check != nil {
		if err := request.Check(); err != nil {
			return nil, err
		}
	}
	e.mu.Lock()
	e.lastRequest = request
	response, err := e.responses[a.Instance], e.errors[a.Instance]
	e.mu.Unlock()
	if response != nil || err != nil {
		return response, err
	}
	<-ctx.Done()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancelled[a.Instance] = true
	return nil, &upstreamconn.RequestError{Err: ctx.Err(), Sent: true}
}

func (e *executor) wasCancelled(instance string) func() bool {
	return func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.cancelled[instance]
	}
}

func part(stamp string, firsts ...byte) *upstreamconn.Response {
	return &upstreamconn.Response{Status: 200, Stamp: stamp, Body: records(firsts...)}
}

// stallListener is a listener whose connections can be stalled: they stay open, but what the server writes is discarded.
type stallListener struct {
	net.Listener
	// mu guards the fields below.
	mu      sync.Mutex
	conns   []net.Conn
	stalled bool
}

func (l *stallListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, conn)
	return &stallConn{Conn: conn, stallListener: l}, nil
}

type stallConn struct {
	net.Conn
	stallListener *stallListener
}

func (c *stallConn) Write(data []byte) (int, error) {
	c.stallListener.mu.Lock()
	defer c.stallListener.mu.Unlock()
	if c.stallListener.stalled {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

func (l *stallListener) setStalled(stalled bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stalled = stalled
}

func (l *stallListener) closeConns() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.conns {
		_ = conn.Close()
	}
}

var _ = Describe("a link", func() {
	var exec *executor
	var server *Server
	var stalling *stallListener
	var link *Link
	var ctx context.Context
	var cancel context.CancelFunc

	BeforeEach(func() {
		exec = &executor{
			responses: map[string]*upstreamconn.Response{"u1": part("s1", 5, 1), "u2": part("s2", 9, 3)},
			errors: map[string]error{
				"moved": fault.New(fault.Moved, "test", "unknown"), "slow": &DeclinedError{Cost: 4},
			},
			cancelled: map[string]bool{},
		}
		server = NewServer(exec, discard)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		stalling = &stallListener{Listener: listener}
		go server.Serve(stalling)
		// A spec may have closed the listener already.
		DeferCleanup(func() { _ = listener.Close() })
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

	It("returns the parts merged", func() {
		_, out := start(RunArgs{Quiet: time.Second}, "u1", "u2")
		var d delivery
		Eventually(out).Should(Receive(&d))
		Expect(d.err).NotTo(HaveOccurred())
		Expect(d.report.Records).To(Equal(records(9, 5)))
		Expect(d.report.Ended).To(HaveLen(2))
	})

	It("distinguishes attempts that were not sent from failed ones, because only the latter may have run", func() {
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

	// Guards against searches that are late because their VM spends its processor time on a message for each attempt that a relay does not make.
	It("names all attempts that the relay does not make in its first report, and is asked for the next one once", func() {
		const declined = 50
		instances := []string{"hangs"}
		for n := range declined {
			instances = append(instances, fmt.Sprintf("slow-%d", n))
			exec.errors[instances[n+1]] = &DeclinedError{Cost: 4}
		}
		_, out := start(RunArgs{Quiet: time.Second}, instances...)
		var d delivery
		Eventually(out).Should(Receive(&d))
		Expect(d.report.Ended).To(HaveLen(declined))
	})

	It("cancels single attempts, and the rest when the search ends, so that upstreams do no needless work", func() {
		batch, out := start(RunArgs{}, "u1", "hangs", "hangs-2")
		var d delivery
		Eventually(out).Should(Receive(&d))
		batch.Cancel([]int{1})
		Eventually(exec.wasCancelled("hangs")).Should(BeTrue())
		Expect(exec.wasCancelled("hangs-2")()).To(BeFalse())
		cancel()
		Eventually(exec.wasCancelled("hangs-2")).Should(BeTrue())
	})

	It("cancels the attempts of a peer whose connection ends", func() {
		_, _ = start(RunArgs{}, "hangs")
		Eventually(func() int64 { return link.inFlight.Load() }).Should(Equal(int64(1)))
		time.Sleep(20 * time.Millisecond)
		link.close()
		Eventually(exec.wasCancelled("hangs")).Should(BeTrue())
	})

	forward := func(ctx context.Context, instance string) (*upstreamconn.Response, error) {
		response, _, err := link.Forward(ctx, ForwardArgs{
			Attempt: Attempt{Instance: instance}, Request: "1", Method: "POST", Target: "/x", Body: []byte("body"), Remaining: 5 * time.Second,
		})
		return response, err
	}

	It("forwards a request with its body and returns the whole response, also one of an upstream that failed", func() {
		exec.responses["fails"] = &upstreamconn.Response{
			Status: 500, Header: http.Header{"X": {"y"}}, Body: []byte("failed"), RequestID: "1", Stamp: "s",
		}
		response, err := forward(ctx, "fails")
		Expect(err).NotTo(HaveOccurred())
		Expect(*response).To(Equal(*exec.responses["fails"]))
		Expect(exec.lastRequest.Method).To(Equal("POST"))
		Expect(exec.lastRequest.Body).To(Equal([]byte("body")))
	})

	It("tells apart forwarded requests that were not sent from those that may have run, so that a booking runs at most once", func() {
		exec.errors["unreachable"] = &upstreamconn.RequestError{Err: net.ErrClosed, Unreachable: true}
		exec.errors["broken"] = &upstreamconn.RequestError{Err: net.ErrClosed, Sent: true}
		exec.errors["links-lost"] = &LinkLostError{Sent: true}
		exec.errors["full"] = &ratelimit.NoRoomError{RetryAfter: time.Second}
		mayHaveRun := func(instance string) bool {
			_, err := forward(ctx, instance)
			Expect(err).To(HaveOccurred())
			var failed *upstreamconn.RequestError
			var linkLost *LinkLostError
			return (errors.As(err, &failed) && failed.Sent) || (errors.As(err, &linkLost) && linkLost.Sent)
		}
		for _, instance := range []string{"moved", "slow", "unreachable", "full"} {
			Expect(mayHaveRun(instance)).To(BeFalse(), instance)
		}
		for _, instance := range []string{"broken", "links-lost"} {
			Expect(mayHaveRun(instance)).To(BeTrue(), instance)
		}
		time.AfterFunc(20*time.Millisecond, stalling.closeConns)
		Expect(mayHaveRun("hangs")).To(BeTrue(), "the connection to the relay ends")
	})

	It("cancels a forwarded request when its caller leaves, so that the upstream does no needless work", func() {
		time.AfterFunc(20*time.Millisecond, cancel)
		_, err := forward(ctx, "hangs")
		Expect(err).To(HaveOccurred())
		Eventually(exec.wasCancelled("hangs")).Should(BeTrue())
	})

	It("gives up a forwarded request at a relay that has frozen, instead of waiting for the caller's deadline", func() {
		stalling.setStalled(true)
		started := time.Now()
		_, err := forward(ctx, "hangs")
		Expect(err).To(HaveOccurred())
		Expect(time.Since(started)).To(BeNumerically("<", 3*time.Second))
	})

	It("knows that a relay of a version without the call has not run a forwarded request", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		older := rpc.NewServer()
		Expect(older.RegisterName(ServiceName, &olderRelay{})).To(Succeed())
		go older.Accept(listener)
		link = newLink(controlrpc.Peer{ID: "older", Address: listener.Addr().String()}, controlrpc.PlainDialer, discard)
		Eventually(func() bool { return link.usable(time.Now()) }).Should(BeTrue())
		_, err = forward(ctx, "u1")
		var failed *upstreamconn.RequestError
		Expect(errors.As(err, &failed)).To(BeTrue())
		Expect(failed.Sent).To(BeFalse())
		Expect(link.usable(time.Now())).To(BeTrue(), "the connection still serves batches")
	})

	It("sends nothing for a refused key, and avoids a relay whose view is too old for a while", func() {
		exec.responses["u1"] = part("s")
		send := func(team string) error {
			_, reply, err := link.Forward(ctx, ForwardArgs{Attempt: Attempt{Instance: "u1"}, Remaining: time.Second, Expected: time.Second, Key: &KeyClaim{Team: team}})
			Expect(reply.Sent).To(Equal(err == nil))
			return err
		}
		Expect(send("known")).To(Succeed())
		var refused *KeyError
		Expect(errors.As(send("removed"), &refused)).To(BeTrue())
		Expect(refused.Removed).To(BeTrue())
		now := time.Now()
		Expect(pick([]*Link{link}, nil, now, usableOther)).To(Equal(link))
		var elsewhere *LinkLostError
		Expect(errors.As(send("unconfirmed"), &elsewhere)).To(BeTrue(), "another VM may send it")
		now = time.Now()
		Expect(pick([]*Link{link}, nil, now, usableOther)).To(BeNil())
		Expect(pick([]*Link{link}, nil, now.Add(partitionedFor), usableOther)).To(Equal(link))
	})

	It("avoids a relay that has lost its links to upstreams for a while", func() {
		exec.errors["lost"] = &LinkLostError{}
		_, err := forward(ctx, "lost")
		var linkLost *LinkLostError
		Expect(errors.As(err, &linkLost)).To(BeTrue())
		Expect(linkLost.Sent).To(BeFalse())
		now := time.Now()
		Expect(pick([]*Link{link}, nil, now, usableOther)).To(BeNil())
		Expect(pick([]*Link{link}, nil, now, overdueOther)).To(BeNil())
		Expect(pick([]*Link{link}, nil, now.Add(partitionedFor), usableOther)).To(Equal(link))
	})

	It("is still used by a VM without links of its own when its report is overdue, since the relay may only be short of processor time", func() {
		peers := NewPeers("self", "a", controlrpc.PlainDialer, discard)
		peers.Update([]controlrpc.Peer{link.peer}, time.Now())
		own := peers.links["r"]
		Eventually(func() bool { return own.usable(time.Now()) }).Should(BeTrue())
		// The relay does not answer the ping that follows.
		stalling.setStalled(true)
		own.markSilent(own.conn)
		now := time.Now()
		Expect(peers.Pick("b", 0, nil, now)).To(BeNil())
		Expect(peers.PickOther("b", 0, nil, now)).To(Equal(own))
		Expect(peers.PickOther("a", 0, nil, now)).To(Equal(own))
		Expect(peers.PickOther("b", 0, own, now)).To(BeNil())
	})

	It("connects again to a relay that was stopped as planned and started at the same address", func() {
		server.NotifyShutdown()
		Eventually(func() bool { return link.usable(time.Now()) }).Should(BeFalse())
		address := stalling.Addr().String()
		Expect(stalling.Close()).To(Succeed())
		stalling.closeConns()
		listener, err := net.Listen("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		go NewServer(exec, discard).Serve(listener)
		Eventually(func() bool { return link.usable(time.Now()) }).WithTimeout(5 * time.Second).Should(BeTrue())
	})

	It("fails the batches of a lost connection and reconnects", func() {
		_, out := start(RunArgs{}, "hangs")
		time.Sleep(20 * time.Millisecond)
		stalling.closeConns()
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

	It("detects at once that an idle connection was lost, so that no search fails on it", func() {
		stalling.closeConns()
		Eventually(func() bool { return link.usable(time.Now()) }).Should(BeFalse())
	})

	It("stops using a relay that is silent on an open connection, and uses it again when it responds", func() {
		stalling.setStalled(true)
		_, out := start(RunArgs{}, "hangs")
		Eventually(func() bool { return link.usable(time.Now()) }, 4*silentAfter).Should(BeFalse())
		var d delivery
		Eventually(out, 2*lostAfter).Should(Receive(&d))
		Expect(d.err).To(HaveOccurred())
		stalling.setStalled(false)
		Eventually(func() bool { return link.usable(time.Now()) }, 2*time.Second).Should(BeTrue())
	})

	It("does not use a relay that announces its shutdown", func() {
		_, out := start(RunArgs{}, "hangs", "u1")
		server.NotifyShutdown()
		Eventually(func() bool { return link.usable(time.Now()) }).Should(BeFalse())
		Eventually(out).Should(Receive(), "batches sent before the shutdown are still reported")
	})

	It("waits for the batches in progress on shutdown", func() {
		_, _ = start(RunArgs{Remaining: 150 * time.Millisecond}, "hangs")
		time.Sleep(20 * time.Millisecond)
		server.Wait(context.Background())
		Expect(exec.wasCancelled("hangs")()).To(BeTrue())
	})
})

var _ = Describe("a session", func() {
	It("refuses a batch whose Cancel overtook its Run", func() {
		peer := &session{server: NewServer(&executor{cancelled: map[string]bool{}}, discard), ctx: context.Background(), batches: map[uint64]*running{}}
		Expect(peer.Cancel(CancelArgs{Batch: 7}, &Empty{})).To(Succeed())
		var report BatchReport
		Expect(peer.Run(RunArgs{Batch: 7, Remaining: 100 * time.Millisecond, Attempts: attempts(1)}, &report)).To(Succeed())
		Expect(report.Ended).To(BeEmpty())
		Expect(fault.Is(report.Fault.AsError(), fault.Cancelled)).To(BeTrue())
		Expect(peer.batches).To(BeEmpty())
	})

	It("removes a batch whose reports are not collected", func() {
		peer := &session{server: NewServer(&executor{cancelled: map[string]bool{}}, discard), ctx: context.Background(), batches: map[uint64]*running{}}
		var report BatchReport
		Expect(peer.Run(RunArgs{Batch: 7, Remaining: 100 * time.Millisecond, Attempts: attempts(1)}, &report)).To(Succeed())
		Expect(report.Ended).To(BeEmpty())
		Eventually(func() int {
			peer.mu.Lock()
			defer peer.mu.Unlock()
			return len(peer.batches)
		}).Should(BeZero())
	})

	It("refuses a batch without time or attempts with code BadRequest", func() {
		peer := &session{server: NewServer(&executor{}, discard), ctx: context.Background(), batches: map[uint64]*running{}}
		for _, args := range []RunArgs{{Attempts: attempts(1)}, {Remaining: time.Second}} {
			var report BatchReport
			Expect(peer.Run(args, &report)).To(Succeed())
			Expect(fault.Is(report.Fault.AsError(), fault.BadRequest)).To(BeTrue())
		}
	})
})
