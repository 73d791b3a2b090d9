package control_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/control"
	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/controlstate"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/registry"
	"github.com/wisteriamux/wisteriamux/internal/suspect"
)

var _ = Describe("requests under which upstreams end", func() {
	var service *control.Service
	BeforeEach(func() {
		machine := control.NewMachine()
		service = control.NewService("one", machine, control.NewMemoryReplicator("one", machine), time.Now)
	})
	report := func(vm string, r suspect.Report) {
		var ack controlrpc.Ack
		Expect(service.ReportSuspects(controlrpc.ReportSuspectsArgs{Watcher: vm, Report: r}, &ack)).To(Succeed())
		Expect(ack.Fault).To(BeNil())
	}
	end := func(try string, upstream int) suspect.End {
		return suspect.End{
			Fingerprint: "f", Try: try, Service: "s", Upstream: registry.Process{Instance: fmt.Sprint(upstream), Born: 1}, Summary: "GET h/f",
		}
	}
	watch := func(args controlrpc.WatchArgs) controlrpc.WatchReply {
		var reply controlrpc.WatchReply
		Expect(service.Watch(args, &reply)).To(Succeed())
		Expect(reply.Fault).To(BeNil())
		return reply
	}
	add := func(fingerprint string) {
		var reply controlrpc.ProposeReply
		command := controlstate.Command{AddQuarantine: &controlstate.AddQuarantine{Fingerprint: fingerprint, DurationMillis: 60_000}}
		Expect(service.Propose(controlrpc.ProposeArgs{Command: command}, &reply)).To(Succeed())
		Expect(reply.Fault).To(BeNil())
	}

	It("are quarantined at all VMs by ends that no single VM has seen enough of", func() {
		report("vm-1", suspect.Report{Ends: []suspect.End{end("1", 1)}})
		report("vm-2", suspect.Report{Ends: []suspect.End{end("2", 2)}})
		report("vm-3", suspect.Report{Ends: []suspect.End{end("3", 3)}})
		candidates := watch(controlrpc.WatchArgs{FollowsSuspects: true})
		Expect(candidates.Suspects).To(Equal([]suspect.Candidate{{Fingerprint: "f", Services: []string{"s"}}}))
		var quarantined []suspect.Quarantined
		Eventually(func() []suspect.Quarantined {
			quarantined = watch(controlrpc.WatchArgs{}).Quarantined
			return quarantined
		}).Should(HaveLen(1))
		Expect(quarantined[0].Fingerprint).To(Equal("f"))
		Expect(quarantined[0].Remaining).To(BeNumerically("~", suspect.Quarantine, time.Second))
		var view controlrpc.ViewReply
		Expect(service.View(controlrpc.ViewArgs{}, &view)).To(Succeed())
		Expect(view.View.Quarantines[0].Evidence).To(Equal(suspect.Evidence{Ends: 3, Tries: 3, VMs: 3, Summary: "GET h/f"}))
		Expect(watch(controlrpc.WatchArgs{FollowsSuspects: true, SuspectsDigest: candidates.SuspectsDigest}).SuspectsDigest).To(BeZero())
	})

	It("are told to waiting VMs at once when they become candidates", func() {
		add("other")
		known := watch(controlrpc.WatchArgs{FollowsSuspects: true}).Revision
		woken := make(chan controlrpc.WatchReply, 1)
		go func() {
			defer GinkgoRecover()
			woken <- watch(controlrpc.WatchArgs{Known: known, WaitMillis: controlrpc.MaxWatchWait.Milliseconds(), FollowsSuspects: true})
		}()
		time.Sleep(50 * time.Millisecond)
		sent := time.Now()
		report("vm-1", suspect.Report{Ends: []suspect.End{end("1", 1), end("1", 2), end("2", 3)}})
		Expect((<-woken).Suspects).To(HaveLen(1))
		Expect(time.Since(sent)).To(BeNumerically("<", suspect.ConfirmDelay))
	})

	It("are not quarantined if an upstream answered one at any VM", func() {
		report("vm-1", suspect.Report{Ends: []suspect.End{end("1", 1), end("1", 2), end("2", 3)}})
		report("vm-2", suspect.Report{Answers: []suspect.Answer{{Fingerprint: "f", Services: []string{"s"}}}})
		Consistently(func() []suspect.Quarantined { return watch(controlrpc.WatchArgs{}).Quarantined }, 2*suspect.ConfirmDelay).Should(BeEmpty())
		Expect(watch(controlrpc.WatchArgs{FollowsSuspects: true}).Suspects).To(BeEmpty())
	})

	It("do not keep VMs of older versions, which do not follow them, in a loop of empty replies", func() {
		add("other")
		known := watch(controlrpc.WatchArgs{}).Revision
		report("vm-1", suspect.Report{Ends: []suspect.End{end("1", 1), end("1", 2), end("1", 3)}})
		sent := time.Now()
		watch(controlrpc.WatchArgs{Known: known, WaitMillis: 200})
		Expect(time.Since(sent)).To(BeNumerically(">=", 200*time.Millisecond))
	})

	It("are told only once to a VM that knows the revision, and all of them after one was cleared", func() {
		add("a")
		first := watch(controlrpc.WatchArgs{})
		Expect(first.Quarantined).To(HaveLen(1))
		add("b")
		second := watch(controlrpc.WatchArgs{Known: first.Revision})
		Expect(second.Quarantined).To(HaveLen(1))
		Expect(second.Quarantined[0].Fingerprint).To(Equal("b"))
		Expect(second.QuarantinesWhole).To(BeFalse())
		var reply controlrpc.ProposeReply
		command := controlstate.Command{ClearQuarantine: &controlstate.ClearQuarantine{Fingerprint: "a"}}
		Expect(service.Propose(controlrpc.ProposeArgs{Command: command}, &reply)).To(Succeed())
		third := watch(controlrpc.WatchArgs{Known: second.Revision})
		Expect(third.QuarantinesWhole).To(BeTrue())
		Expect(third.Quarantined).To(HaveLen(1))
	})

	It("are reported by a VM in its own name only", func() {
		var ack controlrpc.Ack
		Expect(control.NewEntryAccess(service, "vm-1").ReportSuspects(controlrpc.ReportSuspectsArgs{Watcher: "vm-2"}, &ack)).To(Succeed())
		Expect(ack.Fault.Code).To(Equal(fault.Forbidden))
	})
})
