package entry

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/booking"
	"github.com/wisteriamux/wisteriamux/internal/controlstate"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/ownerrpc"
)

var _ = Describe("bookings", func() {
	It("end as unknown if the owner is killed after it sent the attempt and before the outcome (P5)", func() {
		control := newFakeControl()
		upstream := startUpstream(control, "u1", "settlement", 2)
		upstream.hold = make(chan struct{})
		owner, other := ownerAndOther("u1", startTwoVMs(control)...)
		answers := make(chan response, 1)
		go func() { answers <- other.book("k", 800) }()
		Eventually(upstream.started, 5).Should(Receive())
		owner.kill()
		Expect((<-answers).status).To(Equal(http.StatusGatewayTimeout))
		control.expire(owner.config.ID)
		other.sync()
		close(upstream.hold)
		for range 2 {
			again := other.book("k", 1000)
			Expect(again.status).To(Equal(http.StatusGatewayTimeout))
			Expect(again.body["code"]).To(BeEquivalentTo(fault.OutcomeUnknown))
		}
		Expect(control.booking("k").State).To(Equal(controlstate.BookingUnknown))
		Expect(upstream.runCount("k")).To(Equal(1))
	})

	It("are answered as unknown at the end of a planned stop that they outlast, instead of being cut", func() {
		control := newFakeControl()
		upstream := startUpstream(control, "u1", "settlement", 2)
		upstream.hold = make(chan struct{})
		v := startVM(control, "entry-1", func(config *Config) { config.DrainTimeout = 500 * time.Millisecond })
		answers := make(chan response, 1)
		go func() { answers <- v.book("k", 5000) }()
		Eventually(upstream.started, 5).Should(Receive())
		v.stop()
		Eventually(v.done, 5).Should(Receive())
		var answer response
		Expect(answers).To(Receive(&answer), "the process would exit now")
		Expect(answer.status).To(Equal(http.StatusGatewayTimeout))
		close(upstream.hold)
	})

	It("run in a new attempt if the sender was killed after it recorded the intent and before it sent the attempt (P4, P5)", func() {
		control := newFakeControl()
		upstream := startUpstream(control, "u1", "settlement", 2)
		owner, other := ownerAndOther("u1", startTwoVMs(control)...)
		request := BookingRequest{Service: "settlement", Key: "k", Payload: []byte(`{"lot":1}`)}
		intent := controlstate.BookingIntent{
			Key: "k", Digest: bookingDigest(request), Service: "settlement", Upstream: "u1",
			OwnerID: owner.config.ID, OwnerInstance: owner.session.InstanceID(),
			SenderID: other.config.ID, SenderInstance: other.session.InstanceID(),
		}
		Expect(control.apply(controlstate.Command{BookingIntent: &intent}).Granted).To(BeTrue())
		answer := owner.book("k", 2000)
		Expect(answer.status).To(Equal(http.StatusOK))
		Expect(answer.body["attempt"]).To(BeEquivalentTo(2))
		late := owner.bookings.owner.book(ownerrpc.BookArgs{
			Key: "k", Attempt: 1, Service: "settlement", Upstream: "u1", OwnerInstance: intent.OwnerInstance,
			SenderID: intent.SenderID, SenderInstance: intent.SenderInstance, Timeout: time.Second, Payload: request.Payload,
		})
		Expect(late.Outcome).To(Equal(booking.OutcomeNotRun))
		Expect(upstream.runCount("k")).To(Equal(1))
	})

	It("are refused if they arrive late from a fenced sender (P5)", func() {
		control := newFakeControl()
		upstream := startUpstream(control, "u1", "settlement", 2)
		owner, other := ownerAndOther("u1", startTwoVMs(control)...)
		args := ownerrpc.BookArgs{
			Key: "k", Attempt: 1, Service: "settlement", Upstream: "u1", OwnerInstance: owner.session.InstanceID(),
			SenderID: other.config.ID, SenderInstance: other.session.InstanceID(), Timeout: time.Second, Payload: []byte("1"),
		}
		control.expire(other.config.ID)
		owner.sync()
		Expect(owner.bookings.owner.book(args).Outcome).To(Equal(booking.OutcomeNotRun))
		Expect(upstream.runCount("k")).To(BeZero())
	})

	It("run once if they are sent through two entry VMs at the same time (P5)", func() {
		control := newFakeControl()
		upstream := startUpstream(control, "u1", "settlement", 2)
		startUpstream(control, "u2", "settlement", 2).Config.Handler = http.HandlerFunc(upstream.serve)
		vms := startTwoVMs(control)
		var group sync.WaitGroup
		statuses := make(chan int, 200)
		for i := range 40 {
			for _, v := range append(vms, vms...) {
				group.Add(1)
				go func() {
					defer group.Done()
					statuses <- v.book(fmt.Sprint("k", i), 8000).status
				}()
			}
		}
		group.Wait()
		close(statuses)
		for status := range statuses {
			Expect(status).To(Equal(http.StatusOK))
		}
		for i := range 40 {
			Expect(upstream.runCount(fmt.Sprint("k", i))).To(Equal(1))
		}
	})

	It("that are queued at a frozen owner are not sent once it runs again without a lease (P5)", func() {
		control := newFakeControl()
		upstream := startUpstream(control, "u1", "settlement", 1)
		upstream.hold = make(chan struct{})
		owner, other := ownerAndOther("u1", startTwoVMs(control)...)
		answers := make(chan response, 2)
		go func() { answers <- other.book("first", 8000) }()
		Eventually(upstream.started, 5).Should(Receive())
		go func() { answers <- other.book("queued", 8000) }()
		Eventually(func() int { return owner.bookings.owner.inFlight("u1") }, 5).Should(Equal(2))
		owner.controlPort.down.Store(true)
		owner.clock.wall.Add(int64(time.Minute))
		control.expire(owner.config.ID)
		close(upstream.hold)
		Eventually(func() int { return owner.bookings.owner.inFlight("u1") }, 5).Should(BeZero())
		statuses := []int{(<-answers).status, (<-answers).status}
		Expect(statuses).To(Or(ConsistOf(http.StatusOK, http.StatusOK), ConsistOf(http.StatusOK, http.StatusServiceUnavailable)))
		other.sync()
		Expect(other.book("queued", 5000).status).To(Equal(http.StatusOK))
		Expect(control.booking("queued").Attempt).To(BeNumerically(">", 1), "the queued attempt must be refused and a new one run at the new owner")
		Expect(upstream.runCount("queued")).To(Equal(1))
	})

	It("for an earlier instance of the owner are refused after a rejoin, and resolved as gone if it does not know them (P4)", func() {
		control := newFakeControl()
		upstream := startUpstream(control, "u1", "settlement", 1)
		owner := startVM(control, "entry-1", nil)
		earlier := owner.session.InstanceID()
		control.expire("entry-1")
		Eventually(func() bool { return owner.session.InstanceID() > earlier }, 8).Should(BeTrue())
		resolved := owner.bookings.owner.resolve(ownerrpc.ResolveArgs{Key: "k", Attempt: 1, OwnerInstance: earlier})
		Expect(resolved.Outcome).To(Equal(booking.OutcomeOwnerGone))
		late := ownerrpc.BookArgs{Key: "k", Attempt: 1, Service: "settlement", Upstream: "u1", OwnerInstance: earlier, Timeout: time.Second}
		Expect(owner.bookings.owner.book(late).Outcome).To(Equal(booking.OutcomeNotRun))
		Expect(upstream.runCount("k")).To(BeZero())
	})

	It("are recorded even after the caller's deadline, so that a resend gets the outcome", func() {
		control := newFakeControl()
		upstream := startUpstream(control, "u1", "settlement", 2)
		upstream.delay = 600 * time.Millisecond
		v := startVM(control, "entry-1", nil)
		Expect(v.book("slow", 200).status).To(Equal(http.StatusGatewayTimeout))
		Eventually(func() controlstate.BookingState { return control.booking("slow").State }, 5).Should(Equal(controlstate.BookingDone))
		Expect(v.book("slow", 500).status).To(Equal(http.StatusOK))
		Expect(upstream.runCount("slow")).To(Equal(1))
	})

	It("go to another upstream after a refusal, and end as not run if all upstreams refuse (P4)", func() {
		control := newFakeControl()
		refusing := startUpstream(control, "u1", "settlement", 2)
		refusing.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Wisteria-Not-Run", "true")
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		v := startVM(control, "entry-1", nil)
		refused := v.book("k", 1000)
		Expect(refused.status).To(Equal(http.StatusServiceUnavailable))
		Expect(refused.header.Get("Retry-After")).NotTo(BeEmpty())
		upstream := startUpstream(control, "u2", "settlement", 2)
		v.sync()
		for i := range 8 {
			Expect(v.book(fmt.Sprint("n", i), 1000).status).To(Equal(http.StatusOK))
			Expect(upstream.runCount(fmt.Sprint("n", i))).To(Equal(1))
		}
	})

	It("are refused as conflicts if the key was used with another payload", func() {
		control := newFakeControl()
		startUpstream(control, "u1", "settlement", 2)
		v := startVM(control, "entry-1", nil)
		Expect(v.book("k", 1000).status).To(Equal(http.StatusOK))
		Expect(v.bookPayload("k", `{"lot":2}`, 1000).status).To(Equal(http.StatusConflict))
	})

	It("that crash their upstream end as unknown, and the second crash quarantines their fingerprint", func() {
		control := newFakeControl()
		upstream := startUpstream(control, "u1", "settlement", 2)
		upstream.crashOn = "poison"
		v := startVM(control, "entry-1", nil)
		for _, key := range []string{"k1", "k2"} {
			Expect(v.bookPayload(key, `"poison"`, 1000).status).To(Equal(http.StatusGatewayTimeout))
		}
		Expect(v.bookPayload("k3", `"poison"`, 1000).status).To(Equal(http.StatusUnprocessableEntity))
		Eventually(func() int { return len(control.view().Quarantines) }, 5).Should(Equal(1))
		Expect(v.book("k4", 1000).status).To(Equal(http.StatusOK))
	})

	It("that wait for a slot are not sent once the upstream drains (P6)", func() {
		Expect(queuedBookingSentWhileDraining(true)).To(BeFalse())
	})

	It("reach a draining upstream through a VM that keeps its lease with an older view, which shows that the check detects it (P6)", func() {
		Expect(queuedBookingSentWhileDraining(false)).To(BeTrue())
	})
})

// startTwoVMs is startPair with a slice as its result.
func startTwoVMs(control *fakeControl) []*vm {
	a, b := startPair(control)
	return []*vm{a, b}
}

// queuedBookingSentWhileDraining reports whether a booking that waits for a slot is sent after its upstream started to
// drain. Without appliesView the VM keeps serving from the view before the drain.
func queuedBookingSentWhileDraining(appliesView bool) bool {
	control := newFakeControl()
	upstream := startUpstream(control, "u1", "settlement", 1)
	upstream.hold = make(chan struct{})
	v := startVM(control, "entry-1", nil)
	first, second := make(chan response, 1), make(chan response, 1)
	go func() { first <- v.book("first", 5000) }()
	Eventually(upstream.started, 5).Should(Receive())
	go func() { second <- v.book("second", 5000) }()
	Eventually(func() int { return v.bookings.owner.inFlight("u1") }, 5).Should(Equal(2))
	if !appliesView {
		frozen := v.session.LatestView().View
		v.controlPort.stale.Store(&frozen)
	}
	control.drain("u1")
	v.sync()
	close(upstream.hold)
	Expect((<-first).status).To(Equal(http.StatusOK), "P7: the request in flight must complete")
	<-second
	return upstream.runCount("second") > 0
}
