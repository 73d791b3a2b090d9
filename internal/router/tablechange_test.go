package router

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/control"
	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/controlstate"
	"github.com/wisteriamux/wisteriamux/internal/registry"
	"github.com/wisteriamux/wisteriamux/internal/route"
)

func rankedTable(version uint64) route.Table {
	return route.Table{Version: version, Services: []route.Service{{Name: "s"}}, Routes: []route.Route{
		{Name: "r", Host: "h", Prefix: "/", Timeout: time.Second, Service: "s", Rank: int(version)},
	}}
}

func rankChange(from, to uint64) *route.TableChange {
	change, ok := route.ChangeBetween(rankedTable(from), rankedTable(to))
	Expect(ok).To(BeTrue())
	return &change
}

// Guards against a view whose revision and upstreams are newer than its table.
var _ = Describe("a view that gets changes of the route table", func() {
	one := registry.Instance{ID: "1", Service: "s", Address: "a:1", Slots: 1, State: registry.Ready, Sequence: 1}
	var r *Router
	BeforeEach(func() {
		r = New(Config{ID: "vm", FailureDomain: "a"}, nil, nil, slog.New(slog.DiscardHandler))
		r.adopt(wholeReply(1, 1, rankedTable(1), nil))
	})
	rank := func() int { return r.View().Routes.Match("h", "/").Rank }

	It("applies a change of its table once, and takes a copy that arrives late as nothing", func() {
		reply := controlrpc.WatchReply{Revision: 2, TableChange: rankChange(1, 2), Instances: registry.Delta{Changed: []registry.Instance{one}}}
		for range 2 {
			Expect(r.adopt(reply)).To(BeTrue())
			Expect(r.View().Revision).To(BeEquivalentTo(2))
			Expect(rank()).To(Equal(2))
			Expect(r.heldTableVersion()).To(BeEquivalentTo(2))
			Expect(r.View().UpstreamCount()).To(Equal(1))
		}
		Expect(r.adopt(controlrpc.WatchReply{Revision: 3, TableChange: rankChange(2, 3)})).To(BeTrue())
		Expect(r.adopt(reply)).To(BeTrue())
		Expect(rank()).To(Equal(3))
		Expect(r.View().Revision).To(BeEquivalentTo(3))
	})

	It("takes no part of a reply that changes another table, and requests the whole one", func() {
		Expect(r.adopt(controlrpc.WatchReply{Revision: 5, TableChange: rankChange(3, 4), Instances: registry.Delta{Changed: []registry.Instance{one}}})).To(BeFalse())
		Expect(r.View().Revision).To(BeEquivalentTo(1))
		Expect(r.View().UpstreamCount()).To(BeZero())
		Expect(r.heldTableVersion()).To(BeZero())
		Expect(r.adopt(wholeReply(5, 1, rankedTable(4), map[string]registry.Instance{"1": one}))).To(BeTrue())
		Expect(rank()).To(Equal(4))
		Expect(r.heldTableVersion()).To(BeEquivalentTo(4))
	})

	It("takes no change from a provisional reply", func() {
		Expect(r.adopt(controlrpc.WatchReply{Revision: 2, Provisional: true, TableChange: rankChange(1, 2)})).To(BeFalse())
		Expect(rank()).To(Equal(1))
	})

	It("has no version to name, and applies no change, after a restart", func() {
		restarted := New(Config{ID: "vm", FailureDomain: "a"}, nil, nil, slog.New(slog.DiscardHandler))
		Expect(restarted.heldTableVersion()).To(BeZero())
		Expect(restarted.adopt(controlrpc.WatchReply{Revision: 2, TableChange: rankChange(1, 2)})).To(BeFalse())
		Expect(restarted.View().Routes).To(BeNil())
		Expect(restarted.View().Revision).To(BeZero())
	})
})

var _ = Describe("the watch of a VM that got a change of another table", func() {
	It("requests the whole table next, with the revision that it had", func() {
		vm, _ := startKeyVM("vm", "a")
		var mu sync.Mutex
		var asked []controlrpc.WatchArgs
		vm.router.control = &scriptedControl{reply: func(args controlrpc.WatchArgs) (controlrpc.WatchReply, error) {
			mu.Lock()
			defer mu.Unlock()
			asked = append(asked, args)
			whole := rankedTable(uint64(len(asked)))
			reply := controlrpc.WatchReply{Revision: uint64(len(asked)), Table: &whole}
			if len(asked) == 2 {
				reply.Table, reply.TableChange = nil, rankChange(7, 8)
			}
			return reply, nil
		}}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go vm.router.WatchControl(ctx)
		Eventually(func() int {
			mu.Lock()
			defer mu.Unlock()
			return len(asked)
		}).Should(BeNumerically(">=", 4))
		mu.Lock()
		defer mu.Unlock()
		var versions, known []uint64
		for _, args := range asked[1:4] {
			versions, known = append(versions, args.TableVersion), append(known, args.Known)
		}
		Expect(versions).To(Equal([]uint64{1, 0, 3}))
		Expect(known).To(Equal([]uint64{1, 1, 3}))
	})
})

// Guards against a difference between what the control group sends and what a VM can apply.
var _ = Describe("VMs and a control member", func() {
	It("agree on the table when VMs miss changes and the member restarts from a snapshot", func() {
		start := func(snapshot []byte) (*control.Machine, *inProcessControl) {
			machine := control.NewMachine()
			if snapshot != nil {
				Expect(machine.Restore(snapshot)).To(Succeed())
			}
			return machine, &inProcessControl{service: control.NewService("one", machine, control.NewMemoryReplicator("one", machine), time.Now)}
		}
		apply := func(machine *control.Machine, version uint64) {
			command := controlstate.Command{PutRoutes: &controlstate.PutRoutes{Table: rankedTable(version)}}
			// Services that do not change make the change smaller than the table.
			for n := range 100 {
				command.PutRoutes.Table.Services = append(command.PutRoutes.Table.Services, route.Service{Name: fmt.Sprintf("unchanged-service-%d", n)})
			}
			data, err := command.Encode()
			Expect(err).NotTo(HaveOccurred())
			machine.Apply(version, data)
		}
		machine, member := start(nil)
		near := New(Config{ID: "near", FailureDomain: "a"}, nil, nil, slog.New(slog.DiscardHandler))
		far := New(Config{ID: "far", FailureDomain: "b"}, nil, nil, slog.New(slog.DiscardHandler))
		// follow does one watch, and returns whether the reply had a change in place of the table.
		follow := func(r *Router) bool {
			reply, err := member.Watch(context.Background(), controlrpc.WatchArgs{Known: r.View().Revision, TableVersion: r.heldTableVersion()})
			Expect(err).NotTo(HaveOccurred())
			Expect(r.adopt(reply)).To(BeTrue())
			Expect(r.View().Revision).To(Equal(machine.Revision()))
			Expect(r.heldTableVersion()).To(Equal(machine.RoutesVersion()))
			Expect(r.View().Routes.Match("h", "/").Rank).To(BeEquivalentTo(machine.RoutesVersion()))
			Expect(r.View().Routes.Table.Services).To(HaveLen(101))
			return reply.TableChange != nil
		}
		apply(machine, 1)
		Expect(follow(near)).To(BeFalse())
		Expect(follow(far)).To(BeFalse())
		apply(machine, 2)
		Expect(follow(near)).To(BeTrue())
		apply(machine, 3)
		Expect(follow(near)).To(BeTrue())
		Expect(follow(far)).To(BeTrue(), "it missed version 2")

		apply(machine, 4)
		Expect(follow(near)).To(BeTrue())
		snapshot, err := machine.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		machine, member = start(snapshot)
		Expect(follow(far)).To(BeFalse(), "the restarted member has version 4 only")
		apply(machine, 5)
		Expect(follow(near)).To(BeTrue())
		Expect(follow(far)).To(BeTrue())
	})
})
