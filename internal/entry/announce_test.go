package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/model"
	"github.com/wisteriamux/wisteriamux/internal/ownerrpc"
	"github.com/wisteriamux/wisteriamux/internal/responsemem"
	"github.com/wisteriamux/wisteriamux/internal/upstreamapi"
)

type (
	controlRenewArgs  = controlrpc.RenewArgs
	controlRenewReply = controlrpc.RenewReply
)

var keys atomic.Int64

func newKey() string { return fmt.Sprint("key-", keys.Add(1)) }

func (v *vm) announceTo(announcement model.Announcement) response {
	body, err := json.Marshal(announcement)
	Expect(err).NotTo(HaveOccurred())
	return send(http.MethodPost, v.url+upstreamapi.PathAnnounce, "application/json", string(body))
}

var _ = Describe("announcements", func() {
	It("are refused with the reason if they contradict the inventory or themselves", func() {
		control := newFakeControl()
		v := startVM(control, "entry-1", nil)
		base := startUpstream(newFakeControl(), "u", "settlement", 2).announcement("listed", "settlement")
		base.FailureDomain = "halle-a"
		cases := []struct {
			change func(*model.Announcement)
			status int
			reason string
		}{
			{func(a *model.Announcement) { a.Service = "clerk" }, http.StatusConflict, "service"},
			{func(a *model.Announcement) { a.FailureDomain = "halle-b" }, http.StatusConflict, "failure domain"},
			{func(a *model.Announcement) { a.Service = "nowhere" }, http.StatusNotFound, "inventory"},
			{func(a *model.Announcement) { a.Name, a.FailureDomain = "x", "nowhere" }, http.StatusNotFound, "inventory"},
			{func(a *model.Announcement) { a.Slots = 0 }, http.StatusBadRequest, "incomplete"},
			{func(a *model.Announcement) { a.Shard = 1 }, http.StatusBadRequest, "contradictory"},
			{func(a *model.Announcement) { a.Instance = strings.Repeat("x", MaxAnnouncementBytes) }, http.StatusRequestEntityTooLarge, "exceeds"},
			{func(*model.Announcement) {}, http.StatusOK, ""},
		}
		for _, example := range cases {
			announcement := base
			example.change(&announcement)
			answer := v.announceTo(announcement)
			Expect(answer.status).To(Equal(example.status), example.reason)
			if example.reason != "" {
				Expect(answer.body["message"]).To(ContainSubstring(example.reason))
			}
		}
	})

	It("of a second process with the same name are refused while the first process renews, and accepted after that", func() {
		control := newFakeControl()
		upstream := startUpstream(control, "u1", "settlement", 2)
		owner, other := ownerAndOther("u1", startTwoVMs(control)...)
		for _, v := range []*vm{owner, other} {
			Expect(v.announceTo(upstream.announcement("u1", "settlement")).status).To(Equal(http.StatusOK))
		}
		second := upstream.announcement("u1", "settlement")
		second.Instance, second.Address = "2", "127.0.0.1:1"
		for _, v := range []*vm{owner, other} {
			Expect(v.announceTo(second).status).To(Equal(http.StatusConflict))
		}
		time.Sleep(2 * renewalBatchInterval)
		owner.clock.mono.Add(int64(renewingTimeout))
		Expect(other.announceTo(second).status).To(Equal(http.StatusOK))
		Expect(control.upstream("u1").Address).To(Equal(second.Address))
	})

	It("that are renewed at another entry VM are forwarded to the owner without a call to the control group", func() {
		control := newFakeControl()
		upstream := startUpstream(control, "u1", "settlement", 2)
		owner, other := ownerAndOther("u1", startTwoVMs(control)...)
		identity := ownerrpc.IdentityArgs{Name: "u1", Address: upstream.Listener.Addr().String()}
		Expect(owner.renewals.isRenewing(identity)).To(BeTrue(), "a new owner must take an upstream as renewing, because earlier renewals went to the previous owner")
		owner.clock.mono.Add(int64(renewingTimeout))
		Expect(owner.renewals.isRenewing(identity)).To(BeFalse())
		before := control.view().Revision
		Expect(other.announceTo(upstream.announcement("u1", "settlement")).status).To(Equal(http.StatusOK))
		Eventually(func() bool { return owner.renewals.isRenewing(identity) }, 5).Should(BeTrue())
		Expect(control.view().Revision).To(Equal(before))
	})

	It("that stop make an upstream lost only if connecting to it fails too", func() {
		control := newFakeControl()
		startUpstream(control, "u1", "settlement", 2)
		v := startVM(control, "entry-1", nil)
		var probes atomic.Int64
		var reachable atomic.Bool
		reachable.Store(true)
		v.renewals.mu.Lock()
		v.renewals.probe = func(context.Context, string) error {
			probes.Add(1)
			if reachable.Load() {
				return nil
			}
			return errors.New("connection refused")
		}
		v.renewals.mu.Unlock()
		Eventually(func() int { v.renewals.mu.Lock(); defer v.renewals.mu.Unlock(); return len(v.renewals.owned) }, 5).Should(Equal(1))
		v.clock.mono.Add(int64(lostAfter))
		Eventually(probes.Load, 5).Should(BeNumerically(">", 0))
		Expect(control.upstream("u1").State).To(Equal(model.UpstreamReady))
		reachable.Store(false)
		Eventually(func() model.UpstreamState { return control.upstream("u1").State }, 5).Should(Equal(model.UpstreamLost))
	})

	It("of a drain take effect at once, and the upstream is drained only after its last request in flight (P7)", func() {
		control := newFakeControl()
		upstream := startUpstream(control, "u1", "settlement", 2)
		upstream.hold = make(chan struct{})
		v := startVM(control, "entry-1", nil)
		answers := make(chan response, 1)
		go func() { answers <- v.book("k", 20_000) }()
		Eventually(upstream.started, 5).Should(Receive())
		leaving := upstream.announcement("u1", "settlement")
		leaving.Draining = true
		answer := v.announceTo(leaving)
		Expect(answer.body["state"]).To(Equal("draining"))
		Expect(v.book("late", 500).status).To(Equal(http.StatusServiceUnavailable))
		Eventually(func() int { v.renewals.mu.Lock(); defer v.renewals.mu.Unlock(); return len(v.renewals.owned) }, 5).Should(Equal(1))
		v.clock.mono.Add(int64(minDrainTime))
		Consistently(func() model.UpstreamState { return control.upstream("u1").State }, "1200ms").Should(Equal(model.UpstreamDraining))
		close(upstream.hold)
		Expect((<-answers).status).To(Equal(http.StatusOK))
		Eventually(func() model.UpstreamState { return control.upstream("u1").State }, 5).Should(Equal(model.UpstreamDrained))
		v.sync()
		Eventually(func() any { return v.announceTo(leaving).body["state"] }, 5).Should(Equal("drained"))
	})
})

var _ = Describe("a draining upstream", func() {
	It("is not drained while a previous owner still has a request in flight there (P7)", func() {
		control := newFakeControl()
		upstream := startUpstream(control, "u1", "settlement", 2)
		upstream.hold = make(chan struct{})
		first := startVM(control, "entry-1", nil)
		answers := make(chan response, 1)
		go func() { answers <- first.book("k", 20_000) }()
		Eventually(upstream.started, 5).Should(Receive())
		second := startVM(control, "entry-2", nil)
		first.sync()
		for i := 3; first.session.LatestView().Owners["u1"].ID == "entry-1" && i < 10; i++ {
			second = startVM(control, fmt.Sprint("entry-", i), nil)
			first.sync()
		}
		control.drain("u1")
		first.sync()
		second.sync()
		id := first.session.LatestView().Owners["u1"].ID
		Expect(id).To(Equal(second.config.ID))
		Eventually(func() int {
			second.renewals.mu.Lock()
			defer second.renewals.mu.Unlock()
			return len(second.renewals.owned)
		}, 5).Should(Equal(1))
		second.clock.mono.Add(int64(minDrainTime))
		Consistently(func() model.UpstreamState { return control.upstream("u1").State }, "2500ms").Should(Equal(model.UpstreamDraining))
		close(upstream.hold)
		Expect((<-answers).status).To(Equal(http.StatusOK))
		Eventually(func() model.UpstreamState { return control.upstream("u1").State }, 8).Should(Equal(model.UpstreamDrained))
	})
})

var _ = Describe("the crash guard", func() {
	It("quarantines a request that crashes the upstream, while 300 other requests beside it succeed", func() {
		control := newFakeControl()
		upstream := startUpstream(control, "u1", "clerk", 8)
		upstream.crashOn = "poison"
		v := startVM(control, "entry-1", nil)
		target := upstreamapi.NewClient(upstream.Listener.Addr().String(), 20, 8, upstreamapi.NewRateLimiter("u", slog.New(slog.DiscardHandler)), responsemem.New(responsemem.DefaultBytes))
		var group sync.WaitGroup
		var refused, failed atomic.Int64
		for i := range 300 {
			group.Add(1)
			go func() {
				defer group.Done()
				if err := searchGuarded(v, target, fmt.Sprint("innocent ", i)); fault.Is(err, fault.Quarantined) {
					refused.Add(1)
				} else if err != nil {
					failed.Add(1)
				}
			}()
		}
		for range 4 {
			_ = searchGuarded(v, target, "poison")
		}
		group.Wait()
		Expect(refused.Load()).To(BeZero())
		Expect(failed.Load()).To(BeZero())
		Expect(searchGuarded(v, target, "poison")).To(MatchError(ContainSubstring(string(fault.Quarantined))))
		Eventually(func() int { return len(control.view().Quarantines) }, 5).Should(Equal(1))
		elsewhere := startVM(control, "entry-2", nil)
		Expect(elsewhere.guard.checkQuarantine(Fingerprint("clerk", OperationSearch, []byte("poison")))).NotTo(Succeed())
	})
})

// searchGuarded sends a search through the crash guard, as the owner does, and retries it once as a suspect if the
// upstream crashes.
func searchGuarded(v *vm, target *upstreamapi.Client, query string) error {
	request := guardedRequest{
		upstream: "u1", group: "clerk/0", fingerprint: Fingerprint("clerk", OperationSearch, []byte(query)), idempotent: true,
	}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	for {
		ticket, err := v.guard.beforeSend(ctx, request)
		if err != nil {
			return err
		}
		call := upstreamapi.Call{Timeout: 10 * time.Second, Version: 1, DedicatedConn: ticket.exclusive}
		_, err = target.Search(ctx, call, upstreamapi.SearchRequest{Query: query})
		retry := ticket.afterResult(err)
		if !retry && !fault.Is(err, fault.NotRun) {
			return err
		}
		request.retry = request.retry || retry
	}
}
