package relay

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/upstreamconn"
)

// countingExecutor counts the attempts that run, and ends each when it is cancelled.
type countingExecutor struct{ started, running atomic.Int64 }

func (e *countingExecutor) CheckKey(*KeyClaim) error { return nil }

func (e *countingExecutor) Permit(PermitArgs) PermitReply { return PermitReply{} }

func (e *countingExecutor) Credits(context.Context, CreditsArgs) CreditsReply { return CreditsReply{} }

func (e *countingExecutor) Accept(Attempt, *upstreamconn.Request) error { return nil }

func (e *countingExecutor) ObserveAttempt(time.Duration, time.Duration) {}

func (e *countingExecutor) TakeOver(TakeOverArgs) TakeOverReply { return TakeOverReply{} }

func (e *countingExecutor) Attempt(ctx context.Context, _ Attempt, _ time.Duration, _ *upstreamconn.Request) (*upstreamconn.Response, error) {
	e.started.Add(1)
	e.running.Add(1)
	defer e.running.Add(-1)
	<-ctx.Done()
	return nil, &upstreamconn.RequestError{Err: ctx.Err(), Sent: true}
}

// leftFor is the users' bound: from half a second after a caller has left, no upstream works for it.
const leftFor = 500 * time.Millisecond

var _ = Describe("work for callers that have left", func() {
	const requests = 300
	var exec *countingExecutor
	var link *Link

	BeforeEach(func() {
		exec = &countingExecutor{}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		go NewServer(exec, discard).Serve(listener)
		link = newLink(controlrpc.Peer{ID: "r", Address: listener.Addr().String()}, controlrpc.PlainDialer, discard)
		Eventually(func() bool { return link.usable(time.Now()) }).Should(BeTrue())
		DeferCleanup(link.close)
	})

	It("ends at a relay that gets the start of a search and its cancellation together", func() {
		for range requests {
			ctx, cancel := context.WithCancel(context.Background())
			link.Start(ctx, RunArgs{Remaining: 5 * time.Second, Attempts: attempts(2)}, func(BatchReport, error) {})
			cancel()
		}
		time.Sleep(leftFor)
		Expect(exec.running.Load()).To(BeZero(), "of %d attempts that were started", exec.started.Load())
	})

	It("ends at a relay that gets the start of attempts and the cancellation of some of them together", func() {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		for range requests {
			link.Start(ctx, RunArgs{Remaining: 5 * time.Second, Attempts: attempts(2)}, func(BatchReport, error) {}).Cancel([]int{1})
		}
		time.Sleep(leftFor)
		Expect(exec.running.Load()).To(BeNumerically("<=", requests), "of %d attempts that were started", exec.started.Load())
	})

	It("ends at a relay that gets a forwarded request and its cancellation together", func() {
		for range requests {
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			_, _, err := link.Forward(ctx, ForwardArgs{Remaining: 5 * time.Second})
			Expect(err).To(HaveOccurred())
		}
		time.Sleep(leftFor)
		Expect(exec.running.Load()).To(BeZero(), "of %d attempts that were started", exec.started.Load())
	})
})
