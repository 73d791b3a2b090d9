package router

import (
	"bytes"
	"context"
	"encoding/gob"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/control"
	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/gather"
	"github.com/wisteriamux/wisteriamux/internal/registry"
	"github.com/wisteriamux/wisteriamux/internal/relay"
	"github.com/wisteriamux/wisteriamux/internal/route"
	"github.com/wisteriamux/wisteriamux/internal/suspect"
)

// testClock stands for CLOCK_BOOTTIME.
type testClock struct{ ns atomic.Int64 }

func (c *testClock) now() time.Duration { return time.Duration(c.ns.Load()) }

func (c *testClock) advance(d time.Duration) { c.ns.Add(int64(d)) }

const testKey, otherKey = "secret-7f3a", "secret-91bc"

// keyTable returns a table in which the teams have the keys.
func keyTable(version uint64, keys map[string]string) *route.Table {
	t := &route.Table{Version: version, Services: []route.Service{{Name: "s"}, {Name: "t"}}, Routes: []route.Route{
		{Name: "r", Host: "x", Prefix: "/", Idempotent: true, Attempts: 2, Timeout: 2 * time.Second, Objective: time.Second, Service: "s"},
	}}
	for _, team := range []string{"a", "b", "empty"} {
		entry := route.Team{Name: team}
		if key, ok := keys[team]; ok {
			entry.Keys = []route.KeyDigest{route.DigestKey(key)}
		}
		t.Teams = append(t.Teams, entry)
	}
	return t
}

// startKeyVM starts a VM that must stop a removed key within 5 s by a clock of its own.
func startKeyVM(id, domain string) (*relayVM, *testClock) {
	clock := &testClock{}
	clock.advance(time.Hour)
	vm := startVM(id, domain)
	vm.router.keys.now, vm.router.keys.revoke = clock.now, 5*time.Second
	return vm, clock
}

// confirmTable adopts the table and the upstreams as a leader confirms them now.
func (vm *relayVM) confirmTable(revision uint64, table *route.Table, upstreams ...*fakeUpstream) {
	reply := controlrpc.WatchReply{Revision: revision, Watchers: 2, Table: table, Instances: registry.Delta{Whole: true}}
	for _, u := range upstreams {
		reply.Instances.Changed = append(reply.Instances.Changed, u.instance)
	}
	vm.router.adopt(reply)
	vm.router.confirmView(reply, vm.router.keys.now())
}

// accept returns a request with the key, as the caller handler makes it, and the verdict about the key.
func (vm *relayVM) accept(rt *route.Route, key string) (*Request, KeyVerdict) {
	check := vm.router.KeyCheck(route.DigestKey(key), true)
	request := testRequest(rt, "1", "/x")
	request.Team, request.Key, request.TableVersion = check.Team, route.DigestKey(key), check.TableVersion
	return request, check.Verdict
}

var _ = Describe("the age of the view", func() {
	var vm *relayVM
	var clock *testClock
	keys := map[string]string{"a": testKey}
	verdict := func() KeyVerdict {
		_, verdict := vm.accept(searchRoute(), testKey)
		return verdict
	}

	BeforeEach(func() { vm, clock = startKeyVM("vm", "a") })

	It("is not known before a leader has confirmed a view, as after a restart", func() {
		Expect(verdict()).To(Equal(KeyUnsure))
		Expect(vm.router.ViewAgeMillis()).To(Equal(int64(-1)))
		provisional := controlrpc.WatchReply{Revision: 1, Table: keyTable(1, keys), Provisional: true}
		vm.router.adopt(provisional)
		vm.router.confirmView(provisional, clock.now())
		Expect(verdict()).To(Equal(KeyUnsure), "a provisional reply confirms nothing")
		Expect(vm.router.ServesKeys()).To(BeFalse())
		Expect(vm.router.pollWait()).To(BeZero())
		vm.router.confirmView(controlrpc.WatchReply{Revision: 1}, clock.now())
		Expect(verdict()).To(Equal(KeyAccepted))
		Expect(vm.router.ServesKeys()).To(BeTrue())
		Expect(vm.router.pollWait()).To(Equal(controlrpc.MaxWatchWait))
	})

	It("does not matter for known keys without a bound on revocation", func() {
		vm.router.keys.revoke = 0
		vm.router.adopt(controlrpc.WatchReply{Revision: 1, Table: keyTable(1, keys), Provisional: true})
		Expect(verdict()).To(Equal(KeyAccepted))
		Expect(vm.router.ServesKeys()).To(BeTrue())
		_, unknown := vm.accept(searchRoute(), otherKey)
		Expect(unknown).To(Equal(KeyUnsure))
	})

	It("goes on while the VM is frozen or suspended", func() {
		vm.confirmTable(1, keyTable(1, keys))
		Expect(verdict()).To(Equal(KeyAccepted))
		clock.advance(time.Minute)
		Expect(verdict()).To(Equal(KeyUnsure))
		Expect(vm.router.ServesKeys()).To(BeFalse())
	})

	It("counts from the start of the watch, also if the VM was frozen before it could read the reply", func() {
		vm.router.adopt(controlrpc.WatchReply{Revision: 1, Table: keyTable(1, keys)})
		began := clock.now()
		clock.advance(5 * time.Second)
		vm.router.confirmView(controlrpc.WatchReply{Revision: 1, Held: 100 * time.Millisecond}, began)
		Expect(vm.router.ViewAgeMillis()).To(Equal(int64(4900)))
		Expect(verdict()).To(Equal(KeyUnsure))
	})

	It("is not lowered by a reply whose view was not adopted, or by one that arrives late", func() {
		vm.confirmTable(2, keyTable(2, keys))
		clock.advance(4 * time.Second)
		vm.router.confirmView(controlrpc.WatchReply{Revision: 1}, clock.now())
		vm.router.confirmView(controlrpc.WatchReply{Revision: 3}, clock.now())
		vm.router.confirmView(controlrpc.WatchReply{Revision: 2}, clock.now()-10*time.Second)
		Expect(vm.router.ViewAgeMillis()).To(Equal(int64(4000)))
	})

	It("does not concern tables without teams, and ends with them", func() {
		vm.confirmTable(1, &route.Table{Version: 1})
		clock.advance(time.Hour)
		Expect(vm.router.ServesKeys()).To(BeTrue())
		Expect(vm.router.pollWait()).To(Equal(controlrpc.MaxWatchWait))
		Expect(vm.router.KeyCheck(route.KeyDigest{}, false).Verdict).To(Equal(KeyAccepted))
	})

	// One line for each refused request would crowd out the others.
	It("is logged once until it is confirmed again", func() {
		var log bytes.Buffer
		vm.router.log = slog.New(slog.NewTextHandler(&log, nil))
		for range 2 {
			vm.confirmTable(1, keyTable(1, keys))
			clock.advance(10 * time.Second)
			for range 50 {
				verdict()
			}
		}
		vm.confirmTable(1, keyTable(1, keys))
		Expect(bytes.Count(log.Bytes(), []byte("requests with keys refused"))).To(Equal(2))
		Expect(bytes.Count(log.Bytes(), []byte("requests with keys accepted again"))).To(Equal(2))
		Expect(vm.router.Counts().KeysUnsure).To(Equal(int64(100)))
	})
})

// scriptedControl answers watches one after the other with the results of reply.
type scriptedControl struct {
	*inProcessControl
	reply func(args controlrpc.WatchArgs) (controlrpc.WatchReply, error)
	mu    sync.Mutex
	waits []int64
}

func (c *scriptedControl) Watch(_ context.Context, args controlrpc.WatchArgs) (controlrpc.WatchReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waits = append(c.waits, args.WaitMillis)
	time.Sleep(5 * time.Millisecond)
	return c.reply(args)
}

func (c *scriptedControl) WatchAny(ctx context.Context, args controlrpc.WatchArgs) (controlrpc.WatchReply, error) {
	return c.Watch(ctx, args)
}

var _ = Describe("the watch of a table with teams", func() {
	It("asks for an immediate reply after a failure, and for a held one otherwise", func() {
		vm, _ := startKeyVM("vm", "a")
		failing := errorAfter(2)
		scripted := &scriptedControl{reply: func(controlrpc.WatchArgs) (controlrpc.WatchReply, error) {
			if failing() {
				return controlrpc.WatchReply{}, fault.New(fault.Unavailable, "test", "a deposed leader has no quorum")
			}
			return controlrpc.WatchReply{Revision: 1, Table: keyTable(1, nil)}, nil
		}}
		vm.router.control = scripted
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go vm.router.WatchControl(ctx)
		Eventually(func() int {
			scripted.mu.Lock()
			defer scripted.mu.Unlock()
			return len(scripted.waits)
		}).Should(BeNumerically(">=", 5))
		scripted.mu.Lock()
		defer scripted.mu.Unlock()
		held := controlrpc.MaxWatchWait.Milliseconds()
		Expect(scripted.waits[:5]).To(Equal([]int64{held, held, held, 0, held}))
	})
})

// errorAfter returns a function that returns true only for the call after the number of calls.
func errorAfter(calls int) func() bool {
	return func() bool {
		calls--
		return calls == -1
	}
}

var _ = Describe("a request with a key", func() {
	var near, relaying *relayVM
	var nearClock, relayClock *testClock
	var direct, far *fakeUpstream
	directRoute, farRoute := searchRoute("s"), searchRoute("t")
	keys := map[string]string{"a": testKey, "b": otherKey}

	BeforeEach(func() {
		near, nearClock = startKeyVM("near", "a")
		relaying, relayClock = startKeyVM("relaying", "b")
		direct, far = startFakeUpstream("direct", "s", "a", 5), startFakeUpstream("far", "t", "b", 6)
		near.confirmTable(1, keyTable(1, keys), direct, far)
		relaying.confirmTable(1, keyTable(1, keys), direct, far)
		near.connect("b", relaying.peer())
	})

	searchFor := func(request *Request, rt *route.Route) fault.Code {
		result, err := near.router.Search(context.Background(), rt, request)
		if err == nil {
			Expect(result.Stamps).To(HaveLen(1))
			return ""
		}
		return fault.CodeOf(err)
	}
	accepted := func(rt *route.Route) *Request {
		request, verdict := near.accept(rt, testKey)
		Expect(verdict).To(Equal(KeyAccepted))
		return request
	}
	runs := func() int64 { return direct.requests.Load() + far.requests.Load() }

	It("runs directly and through a relay", func() {
		Expect(searchFor(accepted(directRoute), directRoute)).To(BeEmpty())
		Expect(searchFor(accepted(farRoute), farRoute)).To(BeEmpty())
		Expect(relaying.router.Counts().Executed).To(Equal(int64(1)))
	})

	It("is not sent if the VM was frozen after it was accepted", func() {
		for _, rt := range []*route.Route{directRoute, farRoute} {
			request := accepted(rt)
			nearClock.advance(time.Minute)
			Expect(searchFor(request, rt)).To(Equal(fault.Unconfirmed))
			near.confirmTable(1, nil, direct, far)
		}
		_, err := near.router.Forward(context.Background(), forwardRoute("s"), accepted(directRoute))
		Expect(err).NotTo(HaveOccurred())
		request := accepted(directRoute)
		nearClock.advance(time.Minute)
		_, err = near.router.Forward(context.Background(), forwardRoute("s"), request)
		Expect(fault.CodeOf(err)).To(Equal(fault.Unconfirmed))
		Expect(runs()).To(Equal(int64(1)))
		Expect(near.router.Counts().KeyedSendsRefused).To(BeNumerically(">=", 3))
	})

	It("is not sent if the view became too old while a connection was opened", func() {
		request := accepted(directRoute)
		near.links.beforeDial = func() { nearClock.advance(time.Minute) }
		Expect(searchFor(request, directRoute)).To(Equal(fault.Unconfirmed))
		near.confirmTable(1, nil, direct, far)
		_, err := near.router.Forward(context.Background(), forwardRoute("s"), accepted(directRoute))
		Expect(fault.CodeOf(err)).To(Equal(fault.Unconfirmed))
		Expect(runs()).To(BeZero())
	})

	It("is not sent after its key was removed, or moved to another team", func() {
		for n, change := range []struct {
			keys   map[string]string
			wanted fault.Code
		}{{map[string]string{}, fault.Unauthenticated}, {map[string]string{"b": testKey}, fault.Unconfirmed}} {
			revision := uint64(2 * (n + 1))
			request := accepted(directRoute)
			near.confirmTable(revision, keyTable(revision, change.keys), direct, far)
			Expect(searchFor(request, directRoute)).To(Equal(change.wanted))
			near.confirmTable(revision+1, keyTable(revision+1, keys), direct, far)
		}
		Expect(runs()).To(BeZero())
	})

	It("is not sent by a relay with a newer table that removes its key or moves it", func() {
		for n, changed := range []map[string]string{{}, {"b": testKey}} {
			relaying.confirmTable(uint64(2+n), keyTable(uint64(2+n), changed), direct, far)
			Expect(searchFor(accepted(farRoute), farRoute)).To(Equal(fault.Unconfirmed))
		}
		Expect(runs()).To(BeZero())
	})

	It("is sent by a relay that has not received the table with its key yet", func() {
		near.confirmTable(2, keyTable(2, map[string]string{"a": "new-key"}), direct, far)
		request, verdict := near.accept(farRoute, "new-key")
		Expect(verdict).To(Equal(KeyAccepted))
		Expect(searchFor(request, farRoute)).To(BeEmpty())
		Expect(relaying.router.Counts().Executed).To(Equal(int64(1)))
	})

	It("is sent on another way if the view of the relay is too old", func() {
		relayClock.advance(time.Minute)
		Expect(searchFor(accepted(farRoute), farRoute)).To(BeEmpty())
		Expect(relaying.router.Counts().KeyedSendsRefused).To(Equal(int64(1)))
		Expect(near.router.Counts().Extra).To(BeZero(), "nothing was sent, so that no token is charged")
		relayed := near.router.Counts().Relayed
		Expect(searchFor(accepted(farRoute), farRoute)).To(BeEmpty())
		Expect(near.router.Counts().Relayed).To(Equal(relayed), "the relay is avoided for a while")
	})

	// One of nine runs of the test with a VM that is cut off lost a search of another VM in this way.
	It("is sent on another way if a hedge has found no other upstream before the relay refused", func() {
		request := accepted(farRoute)
		s := &search{
			router: near.router, route: farRoute, request: request, deadline: time.Now().Add(time.Second), results: make(chan partResult, 2),
			state: gather.New(gather.Config{Shards: 1, MinShards: 1, Attempts: 2, Deadline: time.Now().Add(time.Second)}),
			tried: make([][]*upstream, 1), cancels: make([][]context.CancelFunc, 1), lastRelay: make([]*relay.Link, 1), parts: make([]shardPart, 1),
			caution: suspect.NewCaution(false), heldKinds: map[int]attemptKind{}, reports: make(chan relayReport, 1),
		}
		a := near.router.chooseUpstream(farRoute, "t", nil, firstAttempt)
		s.tried[0] = []*upstream{a.upstream}
		s.state.Sent(a.sent, 0)
		s.inFlight++
		s.hedge(context.Background(), []int{0})
		Expect(s.inFlight).To(Equal(1), "there is no other upstream")
		link := near.router.peers.Pick("b", 0, nil, time.Now())
		s.handleReport(context.Background(), relayReport{
			from: &relayed{link: link, open: map[int]*attempt{0: a}}, report: relay.BatchReport{Ended: []relay.Ended{{Outcome: relay.Unconfirmed}}},
		})
		result, err := s.collect(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Stamps).To(Equal([]string{"stamp-far"}))
	})

	It("is sent by a relay without a bound on revocation, whatever its table", func() {
		relaying.router.keys.revoke = 0
		relaying.confirmTable(2, keyTable(2, nil), direct, far)
		Expect(searchFor(accepted(farRoute), farRoute)).To(BeEmpty())
	})

	It("is forwarded under the same checks by a VM that acts for one without links", func() {
		attempt := func() error {
			_, reply, err := near.router.peers.PickOther("b", 0, nil, time.Now()).Forward(context.Background(), relay.ForwardArgs{
				Attempt: relay.Attempt{Instance: "far"}, Method: "GET", Target: "/x", Remaining: time.Second, Expected: time.Second,
				Key: accepted(farRoute).claim(),
			})
			if err != nil {
				Expect(reply.Sent).To(BeFalse())
			}
			return err
		}
		Expect(attempt()).To(Succeed())
		relaying.confirmTable(2, keyTable(2, nil), direct, far)
		Expect(fault.CodeOf(attempt())).To(Equal(fault.Unconfirmed))
		relayClock.advance(time.Minute)
		Expect(isUnsentForLinks(attempt())).To(BeTrue(), "another VM may send it")
		Expect(runs()).To(Equal(int64(1)))
	})

	It("has the rank of its team", func() {
		table := keyTable(2, keys)
		table.Teams[0].Ranked, table.Teams[0].Rank = true, 4
		near.confirmTable(2, table, direct, far)
		request := accepted(farRoute)
		s := &search{router: near.router, route: farRoute, request: request, tried: make([][]*upstream, 1)}
		batch := &relayed{open: map[int]*attempt{0: {upstream: near.router.View().byID["far"], sent: time.Now()}}}
		args := s.runArgs(batch)
		Expect(args.Attempts[0].Rank).To(Equal(4))
		Expect(args.Key).To(Equal(&relay.KeyClaim{Team: "a", Digest: route.DigestKey(testKey), TableVersion: 2}))
	})

	It("appears without its key in messages between VMs and from the control group", func() {
		service := control.NewMachine()
		leader := control.NewService("control", service, control.NewMemoryReplicator("control", service), time.Now)
		var put controlrpc.PutRoutesReply
		Expect(leader.PutRoutes(controlrpc.PutRoutesArgs{Table: *keyTable(3, keys), Source: []byte(testKey)}, &put)).To(Succeed())
		Expect(put.Fault).To(BeNil())
		var watched controlrpc.WatchReply
		Expect(leader.Watch(controlrpc.WatchArgs{}, &watched)).To(Succeed())
		Expect(watched.Table.Teams).To(HaveLen(3))
		var table controlrpc.ReadRoutesReply
		Expect(control.NewOperatorAccess(leader).ReadRoutes(controlrpc.ReadRoutesArgs{}, &table)).To(Succeed())
		Expect(table.Table.Teams).To(HaveLen(3))
		var messages bytes.Buffer
		encoder := gob.NewEncoder(&messages)
		Expect(encoder.Encode(watched)).To(Succeed())
		Expect(encoder.Encode(table)).To(Succeed())
		Expect(encoder.Encode(relay.RunArgs{Key: accepted(farRoute).claim()})).To(Succeed())
		Expect(encoder.Encode(relay.ForwardArgs{Key: accepted(farRoute).claim()})).To(Succeed())
		Expect(messages.String()).NotTo(ContainSubstring(testKey))
		var decoded relay.RunArgs
		Expect(recode(relay.RunArgs{Key: accepted(farRoute).claim()}, &decoded)).To(Succeed())
		Expect(decoded.Key).To(Equal(accepted(farRoute).claim()))
		decoded = relay.RunArgs{}
		Expect(recode(relay.RunArgs{Top: 1}, &decoded)).To(Succeed())
		Expect(decoded.Key).To(BeNil())
	})
})

// recode encodes a message and decodes it again, as net/rpc does.
func recode(message, into any) error {
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(message); err != nil {
		return err
	}
	return gob.NewDecoder(&buffer).Decode(into)
}
