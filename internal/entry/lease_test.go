package entry

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/membership"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/booking"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/ownerrpc"
)

var _ = Describe("a lease", func() {
	leaseError := func(v *vm) func() error {
		return func() error { _, err := v.session.ViewForNewWork(); return err }
	}

	It("expires by the wall clock if the monotonic clock stood still because the whole VM was paused", func() {
		v := startVM(newFakeControl(), "entry-1", nil)
		v.controlPort.down.Store(true)
		v.clock.wall.Add(int64(5 * time.Second))
		Expect(fault.CodeOf(leaseError(v)())).To(Equal(fault.NotRun))
		Expect(send(http.MethodGet, v.url+"/healthz", "", "").status).To(Equal(http.StatusServiceUnavailable))
	})

	It("expires by the monotonic clock if the wall clock was set back", func() {
		v := startVM(newFakeControl(), "entry-1", nil)
		v.controlPort.down.Store(true)
		v.clock.wall.Add(-int64(time.Hour))
		v.clock.mono.Add(int64(5 * time.Second))
		Expect(fault.CodeOf(leaseError(v)())).To(Equal(fault.NotRun))
	})

	It("starts before the renewal is sent", func() {
		clock := &testClock{}
		slow := &slowControlPort{controlPort: &controlPort{fakeControl: newFakeControl()}, clock: clock}
		v := startVM(slow.fakeControl, "entry-1", nil)
		session := membership.New(slow, v.session.Member, clock.clock(), v.log)
		Expect(session.RenewOnce(context.Background())).To(Succeed())
		_, err := session.ViewForNewWork()
		Expect(fault.CodeOf(err)).To(Equal(fault.NotRun), "a lease of 4 s has expired when its reply takes 5 s")
	})

	It("never makes the VM serve from an older view, also after a rejoin", func() {
		control := newFakeControl()
		v := startVM(control, "entry-1", nil)
		old := control.view()
		startUpstream(control, "u1", "settlement", 1)
		v.sync()
		newest := v.session.Revision()
		v.controlPort.stale.Store(&old)
		control.expire("entry-1")
		v.session.TriggerRenewal()
		Consistently(v.session.Revision, "1500ms", "50ms").Should(Equal(newest))
		v.controlPort.stale.Store(nil)
		Eventually(leaseError(v), 5).Should(Succeed())
	})
})

// slowControlPort takes 5 s to answer a renewal.
type slowControlPort struct {
	*controlPort
	clock *testClock
}

func (p *slowControlPort) Renew(ctx context.Context, args controlRenewArgs) (controlRenewReply, error) {
	p.clock.mono.Add(int64(5 * time.Second))
	return p.controlPort.Renew(ctx, args)
}

var _ = Describe("a planned stop", func() {
	It("interrupts no request under load and ends the membership (P7)", func() {
		control := newFakeControl()
		Expect(requestsInterruptedByStop(control, 10*time.Second)).To(BeZero())
		Expect(control.view().Members).To(HaveLen(1))
	})

	It("interrupts requests if the drain timeout is too short, which shows that the check detects it (P7)", func() {
		Expect(requestsInterruptedByStop(newFakeControl(), time.Millisecond)).NotTo(BeZero())
	})

	It("does not fail bookings whose intent names the owner that has left: they go to the new owner", func() {
		control := newFakeControl()
		startUpstream(control, "u1", "settlement", 2)
		owner, other := ownerAndOther("u1", startTwoVMs(control)...)
		revision := control.view().Revision
		Expect(owner.session.Leave(context.Background())).To(Succeed())
		Expect(other.session.Revision()).To(Equal(revision))
		Expect(other.book("k", 2000).status).To(Equal(http.StatusOK))
	})

	It("refuses new work of peers as not run and finishes accepted work", func() {
		control := newFakeControl()
		upstream := startUpstream(control, "u1", "settlement", 1)
		upstream.hold = make(chan struct{})
		owner, other := ownerAndOther("u1", startTwoVMs(control)...)
		answers := make(chan response, 2)
		go func() { answers <- other.book("accepted", 5000) }()
		Eventually(upstream.started, 5).Should(Receive())
		owner.stop()
		Eventually(func() error { _, err := owner.session.ViewForNewWork(); return err }, 5).ShouldNot(Succeed())
		late := ownerrpc.BookArgs{
			Key: "late", Attempt: 1, Service: "settlement", Upstream: "u1", OwnerInstance: owner.session.InstanceID(),
			SenderID: other.session.Member.ID, SenderInstance: other.session.InstanceID(), Timeout: time.Second,
		}
		Expect(owner.bookings.owner.book(late).Outcome).To(Equal(booking.OutcomeNotRun), "a peer with an older view may still send to the stopping owner")
		go func() { answers <- other.book("new", 5000) }()
		Eventually(upstream.started, 5).Should(Receive())
		close(upstream.hold)
		Expect((<-answers).status).To(Equal(http.StatusOK))
		Expect((<-answers).status).To(Equal(http.StatusOK))
		Eventually(owner.done, 5).Should(Receive(BeNil()))
		Expect(upstream.runCount("late")).To(BeZero())
		Expect(upstream.runCount("accepted")).To(Equal(1))
		Expect(upstream.runCount("new")).To(Equal(1), "the new owner must run it")
	})
})

// requestsInterruptedByStop stops one of two VMs under load and counts the requests that it interrupted. Callers follow
// the health check, as a load balancer does.
func requestsInterruptedByStop(control *fakeControl, drainTimeout time.Duration) int64 {
	startUpstream(control, "u1", "settlement", 10).delay = 200 * time.Millisecond
	startUpstream(control, "u2", "settlement", 10).delay = 200 * time.Millisecond
	stopped := startVM(control, "entry-1", func(config *Config) {
		config.DrainTimeout = drainTimeout
		config.LameDuck = 300 * time.Millisecond
	})
	other := startVM(control, "entry-2", nil)
	stopped.sync()
	other.sync()
	var interrupted, sent atomic.Int64
	var group sync.WaitGroup
	ended := make(chan struct{})
	for caller := range 16 {
		group.Add(1)
		go func() {
			defer group.Done()
			for {
				target := other
				if caller%2 == 0 && send(http.MethodGet, stopped.url+"/healthz", "", "").status == http.StatusOK {
					target = stopped
				}
				answer := target.book(newKey(), 5000)
				sent.Add(1)
				if answer.err != nil || (answer.status != http.StatusOK && answer.status != http.StatusServiceUnavailable) {
					interrupted.Add(1)
					GinkgoWriter.Println("interrupted", target.config.ID, answer.status, answer.body, answer.err)
				}
				select {
				case <-ended:
					return
				default:
				}
			}
		}()
	}
	time.Sleep(500 * time.Millisecond)
	stopped.stop()
	err := <-stopped.done
	// The exit of the process would close the remaining connections.
	stopped.kill()
	if drainTimeout > time.Second {
		Expect(err).NotTo(HaveOccurred())
	}
	time.Sleep(300 * time.Millisecond)
	close(ended)
	group.Wait()
	Expect(sent.Load()).To(BeNumerically(">", 30))
	Expect(errors.Is(err, context.Canceled)).To(BeFalse())
	return interrupted.Load()
}
