package router

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/registry"
	"github.com/wisteriamux/wisteriamux/internal/route"
	"github.com/wisteriamux/wisteriamux/internal/sharedrate"
	"github.com/wisteriamux/wisteriamux/internal/upstreamconn"
)

// quotaFleet is a number of entry VMs that share the quota of a team.
type quotaFleet struct {
	vms  []*relayVM
	u    *fakeUpstream
	team *route.Team
	// ends stops the renewals of each VM.
	ends []context.CancelFunc
}

// gate holds back what a VM reads from and writes to other VMs while a test freezes it.
type gate struct {
	frozen atomic.Pointer[chan struct{}]
}

// gatedConn is a connection of a VM that may be frozen.
type gatedConn struct {
	net.Conn
	gate *gate
}

func (c gatedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.gate.wait()
	return n, err
}

func (c gatedConn) Write(p []byte) (int, error) {
	c.gate.wait()
	return c.Conn.Write(p)
}

func (g *gate) wait() {
	if open := g.frozen.Load(); open != nil {
		<-*open
	}
}

func (g *gate) wrap(conn net.Conn) net.Conn {
	if conn == nil {
		return nil
	}
	return gatedConn{conn, g}
}

func (g *gate) dial(address string) (net.Conn, error) {
	conn, err := controlrpc.PlainDialer(address)
	return g.wrap(conn), err
}

// freeze makes the VM read and write nothing until the returned function is called.
func (g *gate) freeze() (resume func()) {
	open := make(chan struct{})
	g.frozen.Store(&open)
	return sync.OnceFunc(func() { g.frozen.Store(nil); close(open) })
}

const quotaTable = 7

// startQuotaFleet starts VMs with a table that contains the team.
func startQuotaFleet(vms int, team *route.Team) *quotaFleet {
	f := &quotaFleet{u: startFakeUpstream("u", "s", "a", 5), team: team}
	for n := range vms {
		f.add(n)
	}
	f.connect()
	return f
}

func (f *quotaFleet) add(n int) {
	vm := startVM([]string{"v0", "v1", "v2", "v3"}[n], "a")
	f.vms = append(f.vms, vm)
}

func (f *quotaFleet) connect() {
	var peers []controlrpc.Peer
	for _, vm := range f.vms {
		peers = append(peers, vm.peer())
		vm.router.adopt(controlrpc.WatchReply{
			Revision: 1, Watchers: len(f.vms), Instances: registry.Delta{Whole: true, Changed: []registry.Instance{f.u.instance}},
			Table: &route.Table{Version: quotaTable, Teams: []route.Team{*f.team}},
		})
	}
	for _, vm := range f.vms {
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		f.ends = append(f.ends, cancel)
		vm.router.peers.Update(peers, time.Now())
		vm.router.confirmQuotas()
		go vm.router.KeepQuotas(ctx)
	}
	Eventually(func() bool {
		for _, vm := range f.vms {
			if len(vm.router.peers.QuotaHolders(f.team.Name, time.Now())) < min(2, len(f.vms)) {
				return false
			}
		}
		return true
	}).WithTimeout(3 * time.Second).Should(BeTrue())
	// A process lends nothing for a while after its start.
	time.Sleep(sharedrate.LoanLife)
}

// holder returns the index of the VM that holds the bucket.
func (f *quotaFleet) holder() int {
	id := f.vms[0].router.peers.FirstQuotaHolder(f.team.Name)
	for n, vm := range f.vms {
		if vm.router.config.ID == id {
			return n
		}
	}
	return -1
}

func (f *quotaFleet) request(vm *relayVM) error {
	rt := searchRoute()
	rt.Service = "s"
	request := &Request{
		Request: upstreamconn.Request{ID: "1", Method: "GET", Target: "/x", Host: "x"}, Received: time.Now(), Limit: rt.Timeout,
		Team: f.team, TableVersion: quotaTable,
	}
	_, err := vm.router.Forward(context.Background(), rt, request)
	return err
}

// quotaResult counts the ends of requests.
type quotaResult struct{ served, overQuota, other int }

// play sends about perSecond requests per second, to the given VMs in turn.
func (f *quotaFleet) play(duration time.Duration, perSecond float64, vms ...*relayVM) quotaResult {
	var result quotaResult
	var mu sync.Mutex
	var wg sync.WaitGroup
	begin := time.Now()
	for n := 0; time.Since(begin) < duration; n++ {
		time.Sleep(time.Until(begin.Add(time.Duration(float64(n) / perSecond * float64(time.Second)))))
		wg.Go(func() {
			err := f.request(vms[n%len(vms)])
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil:
				result.served++
			case fault.Is(err, fault.OverQuota):
				result.overQuota++
			default:
				result.other++
			}
		})
	}
	wg.Wait()
	return result
}

// allowed returns the users' bound for a span.
func (f *quotaFleet) allowed(span time.Duration) int {
	return int((f.team.PerSecond*span.Seconds()+f.team.Burst)*1.1 + 20)
}

var _ = Describe("a team with a quota over all entry VMs", func() {
	team := &route.Team{Name: "green", PerSecond: 40, Burst: 10}

	It("gets no more requests through than that, from all VMs together, and most of it", func() {
		f := startQuotaFleet(3, team)
		const span = 3 * time.Second
		got := f.play(span, 200, f.vms...)
		Expect(f.u.requests.Load()).To(BeNumerically("<=", team.PerSecond*span.Seconds()+team.Burst+2))
		Expect(float64(got.served)).To(BeNumerically(">=", 0.9*team.PerSecond*span.Seconds()))
		Expect(got.overQuota).To(BeNumerically(">", 0))
		Expect(got.other).To(BeZero())
	})

	It("is not refused below it", func() {
		f := startQuotaFleet(3, team)
		got := f.play(2*time.Second, 24, f.vms...)
		Expect(got).To(Equal(quotaResult{served: got.served}))
	})

	It("is told a time to return when it is refused", func() {
		f := startQuotaFleet(2, &route.Team{Name: "slow", PerSecond: 2, Burst: 1})
		var last error
		for range 6 {
			last = f.request(f.vms[0])
		}
		var over *OverQuotaError
		Expect(errors.As(last, &over)).To(BeTrue(), "%v", last)
		Expect(over.RetryAfter).To(BeNumerically(">", 0))
		Expect(over.RetryAfter).To(BeNumerically("<=", 10*time.Second))
	})

	It("is served on, within its quota, when the holder ends", func() {
		f := startQuotaFleet(3, team)
		holder := f.holder()
		f.play(time.Second, 100, f.vms...)
		f.ends[holder]()
		Expect(f.vms[holder].listener.Close()).To(Succeed())
		for len(f.vms[holder].conns) > 0 {
			_ = (<-f.vms[holder].conns).Close()
		}
		var others []*relayVM
		for n, vm := range f.vms {
			if n != holder {
				others = append(others, vm)
			}
		}
		time.Sleep(sharedrate.LoanLife)
		got := f.play(2*time.Second, 100, others...)
		Expect(got.served).To(BeNumerically(">", 40))
		Expect(f.u.requests.Load()).To(BeNumerically("<=", f.allowed(4*time.Second)))
	})

	It("stays within its quota when the holder is frozen and resumes", func() {
		f := startQuotaFleet(3, team)
		holder := f.holder()
		begin := time.Now()
		f.play(500*time.Millisecond, 100, f.vms...)
		resume := f.vms[holder].gate.freeze()
		defer resume()
		var others []*relayVM
		for n, vm := range f.vms {
			if n != holder {
				others = append(others, vm)
			}
		}
		frozen := f.play(2*time.Second, 100, others...)
		Expect(frozen.served).To(BeNumerically(">", 20))
		resume()
		f.play(time.Second, 100, f.vms...)
		Expect(f.u.requests.Load()).To(BeNumerically("<=", f.allowed(time.Since(begin))))
	})

	It("stays within its quota when all VMs restart", func() {
		f := startQuotaFleet(3, team)
		begin := time.Now()
		f.play(time.Second, 100, f.vms...)
		f.vms, f.ends = nil, nil
		for n := range 3 {
			f.add(n)
		}
		f.connect()
		got := f.play(2*time.Second, 100, f.vms...)
		Expect(got.served).To(BeNumerically(">", 60))
		Expect(f.u.requests.Load()).To(BeNumerically("<=", f.allowed(time.Since(begin))))
	})

	It("gets only the part of a VM that is cut off from the others", func() {
		f := startQuotaFleet(4, team)
		cut := f.vms[0]
		f.play(500*time.Millisecond, 100, f.vms...)
		for _, vm := range f.vms[1:] {
			Expect(vm.listener.Close()).To(Succeed())
			for len(vm.conns) > 0 {
				_ = (<-vm.conns).Close()
			}
		}
		time.Sleep(2 * sharedrate.LoanLife)
		before := f.u.requests.Load()
		got := f.play(2*time.Second, 100, cut)
		part := team.PerSecond / 4
		Expect(f.u.requests.Load() - before).To(BeNumerically("<=", 1.1*(2*part+team.Burst/4)+2))
		Expect(got.served).To(BeNumerically(">", 10))
	})

	It("gets the credit of a request back that was not sent", func() {
		f := startQuotaFleet(2, &route.Team{Name: "slow", PerSecond: 0.1, Burst: 3})
		f.u.refuse.Store(true)
		vm := f.vms[0]
		lost := vm.router.View().byService["s"]
		vm.router.adopt(controlrpc.WatchReply{Revision: 2, Watchers: 2, Instances: registry.Delta{Removed: []string{"u"}}})
		Expect(lost).NotTo(BeEmpty())
		for range 5 {
			Expect(fault.CodeOf(f.request(vm))).To(Equal(fault.NotRun))
			// The credit is given back with a call of its own.
			time.Sleep(4 * refundDelay)
		}
		Expect(vm.router.QuotaCounts().Returned).To(Equal(int64(5)))
	})

	It("loses the credit of a request that an upstream got", func() {
		f := startQuotaFleet(2, &route.Team{Name: "slow", PerSecond: 0.1, Burst: 3})
		f.u.refuse.Store(true)
		Expect(f.request(f.vms[0])).To(HaveOccurred())
		time.Sleep(4 * refundDelay)
		Expect(f.vms[0].router.QuotaCounts().Returned).To(BeZero())
	})

	It("counts a search once, whatever the number of its shards, and refuses it before any upstream gets a part", func() {
		f := startQuotaFleet(2, &route.Team{Name: "slow", PerSecond: 0.1, Burst: 2})
		shards := []*fakeUpstream{startFakeUpstream("x", "s1", "a", 5), startFakeUpstream("y", "s2", "a", 5), startFakeUpstream("z", "s3", "a", 5)}
		vm := f.vms[0]
		var changed []registry.Instance
		for _, u := range shards {
			changed = append(changed, u.instance)
		}
		vm.router.adopt(controlrpc.WatchReply{Revision: 2, Watchers: 2, Instances: registry.Delta{Changed: changed}})
		search := func() error {
			rt := searchRoute("s1", "s2", "s3")
			_, err := vm.router.Search(context.Background(), rt, &Request{
				Request:  upstreamconn.Request{ID: "1", Method: "GET", Target: "/x", Host: "x"},
				Received: time.Now(), Limit: rt.Timeout, Team: f.team, TableVersion: quotaTable,
			})
			return err
		}
		Expect(search()).To(Succeed())
		Expect(search()).To(Succeed())
		Expect(fault.CodeOf(search())).To(Equal(fault.OverQuota))
		for _, u := range shards {
			Expect(u.requests.Load()).To(Equal(int64(2)))
		}
	})

	It("has the rate of the newest table of the VM", func() {
		f := startQuotaFleet(1, team)
		f.vms[0].router.adopt(controlrpc.WatchReply{
			Revision: 2, Watchers: 1, Table: &route.Table{Version: quotaTable + 1, Teams: []route.Team{{Name: "green"}}},
		})
		got := f.play(500*time.Millisecond, 200, f.vms...)
		Expect(got).To(Equal(quotaResult{served: got.served}))
	})

	It("is refused as not run, within a quarter of the objective, while the holder is not known", func() {
		vm := startVM("alone", "a")
		f := &quotaFleet{u: startFakeUpstream("u", "s", "a", 5), team: team, vms: []*relayVM{vm}}
		vm.adopt(f.u)
		begin := time.Now()
		err := f.request(vm)
		Expect(fault.CodeOf(err)).To(Equal(fault.NotRun))
		Expect(time.Since(begin)).To(BeNumerically("<", 400*time.Millisecond))
		Expect(f.u.requests.Load()).To(BeZero())
	})
})

var _ = Describe("VMs whose table has no teams", func() {
	It("open no connections for quotas and make no calls", func() {
		one, two := startVM("one", "a"), startVM("two", "a")
		u := startFakeUpstream("u", "s", "a", 5)
		for _, vm := range []*relayVM{one, two} {
			vm.router.adopt(controlrpc.WatchReply{Revision: 1, Watchers: 2, Table: &route.Table{Version: 1},
				Instances: registry.Delta{Whole: true, Changed: []registry.Instance{u.instance}}})
			vm.router.peers.Update([]controlrpc.Peer{one.peer(), two.peer()}, time.Now())
			vm.router.renewQuotas()
		}
		_, err := one.forward("s")
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(50 * time.Millisecond)
		Expect(one.conns).To(BeEmpty())
		Expect(two.conns).To(BeEmpty())
		Expect(one.router.QuotaCounts()).To(Equal(QuotaCounts{}))
	})
})

// Guards against a VM that began to hold a bucket while it knew few others, is no candidate once it knows all, and renews its loans
// for good, so that the holder that all VMs ask has no rate to issue.
var _ = Describe("a team with a quota after all VMs have restarted", func() {
	It("is not refused below it because of a holder that is no candidate any longer", func() {
		team := &route.Team{Name: "t", PerSecond: 40, Burst: 40}
		f := &quotaFleet{u: startFakeUpstream("u", "s", "a", 5), team: team}
		var all []controlrpc.Peer
		for n := range controlrpc.CommonPeersPerDomain + 1 {
			vm := startVM(fmt.Sprintf("v%d", n), "a")
			f.vms = append(f.vms, vm)
			all = append(all, vm.peer())
		}
		_, others := controlrpc.SplitCommon(all)
		Expect(others).To(HaveLen(1))
		last := slices.IndexFunc(f.vms, func(vm *relayVM) bool { return vm.router.config.ID == others[0].ID })
		f.vms[last], f.vms[len(f.vms)-1] = f.vms[len(f.vms)-1], f.vms[last]
		stranger := f.vms[len(f.vms)-1]

		table := &route.Table{Version: quotaTable, Teams: []route.Team{*team}}
		stranger.router.adopt(controlrpc.WatchReply{Revision: 1, Watchers: 5, Table: table,
			Instances: registry.Delta{Whole: true, Changed: []registry.Instance{f.u.instance}}})
		var candidates []controlrpc.Peer
		for _, vm := range f.vms[:len(f.vms)-1] {
			candidates = append(candidates, vm.peer())
		}
		stranger.router.peers.Update(candidates[:1], time.Now())
		stranger.router.confirmQuotas()
		time.Sleep(sharedrate.LoanLife)
		Expect(f.request(stranger)).To(Succeed())

		f.connect()
		time.Sleep(3 * sharedrate.LoanLife)
		for range 20 {
			for _, vm := range f.vms[:2] {
				Expect(f.request(vm)).To(Succeed())
			}
			time.Sleep(100 * time.Millisecond)
		}
		q := stranger.router.quotas
		q.mu.Lock()
		defer q.mu.Unlock()
		Expect(q.holder.Teams(bootNow())).To(BeEmpty())
	})
})

// Guards against a team beyond its quota whose credits go to callers that come back after a refusal and are answered late, so that few of
// its answers are in time.
var _ = Describe("a team that exceeds its quota", func() {
	It("gets its credits for requests that can still be answered in time", func() {
		f := startQuotaFleet(2, &route.Team{Name: "t", PerSecond: 20, Burst: 2})
		rt := searchRoute()
		rt.Service, rt.Objective = "s", 400*time.Millisecond
		vm := f.vms[0]
		send := func(waited time.Duration) error {
			request := &Request{
				Request: upstreamconn.Request{ID: "1", Method: "GET", Target: "/x", Host: "x"}, Received: time.Now(), Limit: rt.Timeout - waited,
				Team: f.team, TableVersion: quotaTable,
			}
			_, err := vm.router.Forward(context.Background(), rt, request)
			return err
		}
		Expect(send(0)).To(Succeed())
		timely, late := 0, 0
		for begin := time.Now(); time.Since(begin) < 2*time.Second; time.Sleep(5 * time.Millisecond) {
			if send(600*time.Millisecond) == nil {
				late++
			}
			if send(0) == nil {
				timely++
			}
		}
		Expect(timely).To(BeNumerically(">=", 30))
		Expect(late).To(BeNumerically("<=", 4))
	})

	It("gets late requests through again once its timely ones are not refused", func() {
		f := startQuotaFleet(2, &route.Team{Name: "t", PerSecond: 20, Burst: 2})
		q := f.vms[0].router.quotas
		q.mu.Lock()
		defer q.mu.Unlock()
		t := q.team(f.team.Name)
		t.refusedTimely = bootNow().Add(-lateRefusal)
		Expect(t.refusesLate(bootNow())).To(BeFalse())
		t.refusedTimely = bootNow()
		Expect(t.refusesLate(bootNow())).To(BeTrue())
	})
})
