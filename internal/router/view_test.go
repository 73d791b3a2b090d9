package router

import (
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/registry"
	"github.com/wisteriamux/wisteriamux/internal/route"
)

// describeView returns the content of a view that requests depend on.
func describeView(v *View) []string {
	var lines []string
	for service, members := range v.byService {
		for n, u := range members {
			Expect(v.byID[u.instance.ID]).To(BeIdenticalTo(u))
			Expect(v.candidates[service][n]).To(Equal(u.candidate))
			lines = append(lines, fmt.Sprintf("%s %+v in flight %d, limited %t", service, u.instance, u.candidate.MaxInFlight, v.connectionLimited[service]))
		}
		Expect(v.candidates[service]).To(HaveLen(len(members)))
	}
	Expect(v.byID).To(HaveLen(len(lines)))
	slices.Sort(lines)
	return lines
}

// wholeReply returns a reply that holds everything, as for a VM that has just started.
func wholeReply(revision uint64, watchers int, table route.Table, instances map[string]registry.Instance) controlrpc.WatchReply {
	reply := controlrpc.WatchReply{Revision: revision, Watchers: watchers, Table: &table, Instances: registry.Delta{Whole: true}}
	for _, id := range slices.Sorted(maps.Keys(instances)) {
		reply.Instances.Changed = append(reply.Instances.Changed, instances[id])
	}
	return reply
}

// Guards against a view that differs from the state of the control group because only some of its services were built anew.
var _ = Describe("a view that is built from changes", func() {
	for seed := range uint64(20) {
		It(fmt.Sprintf("equals one that is built from everything: seed %d", seed), func() {
			random := rand.New(rand.NewPCG(seed, 1))
			follower := New(Config{ID: "follower", FailureDomain: "a"}, nil, nil, slog.New(slog.DiscardHandler))
			instances := map[string]registry.Instance{}
			table := route.Table{Version: 1}
			watchers := 1
			for revision := uint64(1); revision < 60; revision++ {
				reply := controlrpc.WatchReply{Revision: revision}
				touched := map[string]bool{}
				for range random.IntN(4) {
					id := fmt.Sprintf("u%d", random.IntN(12))
					if touched[id] {
						continue
					}
					touched[id] = true
					if _, ok := instances[id]; ok && random.IntN(3) == 0 {
						delete(instances, id)
						reply.Instances.Removed = append(reply.Instances.Removed, id)
						continue
					}
					instance := registry.Instance{ID: id, Service: fmt.Sprintf("s%d", random.IntN(4)), Address: fmt.Sprintf("127.0.0.1:%d", 1+random.IntN(20)),
						FailureDomain: []string{"a", "b"}[random.IntN(2)], Slots: 2, State: []registry.State{registry.Ready, registry.Ready, registry.Draining}[random.IntN(3)],
						Born: int64(random.IntN(3)), Since: revision}
					instances[id] = instance
					reply.Instances.Changed = append(reply.Instances.Changed, instance)
				}
				if random.IntN(8) == 0 {
					table = route.Table{Version: revision + 1}
					for n := range 4 {
						table.Services = append(table.Services, route.Service{Name: fmt.Sprintf("s%d", n), MaxConnections: random.IntN(12)})
					}
					reply.Table = &table
				}
				// A lower number of VMs is adopted only after a while.
				watchers += random.IntN(5) / 4
				reply.Watchers = watchers
				before := describeView(follower.View())
				earlier := follower.View()
				follower.adopt(reply)
				Expect(describeView(earlier)).To(Equal(before), "a view must not change after it was published")

				fresh := New(Config{ID: "fresh", FailureDomain: "a"}, nil, nil, slog.New(slog.DiscardHandler))
				fresh.adopt(wholeReply(revision, watchers, table, instances))
				Expect(describeView(follower.View())).To(Equal(describeView(fresh.View())), "revision %d", revision)
			}
		})
	}

	It("keeps the observations of upstreams while others change, and drops those of upstreams that are gone", func() {
		r := New(Config{ID: "x", FailureDomain: "a"}, nil, nil, slog.New(slog.DiscardHandler))
		one := registry.Instance{ID: "one", Service: "s", Address: "127.0.0.1:1", Slots: 2, State: registry.Ready}
		two := registry.Instance{ID: "two", Service: "s", Address: "127.0.0.1:2", Slots: 2, State: registry.Ready}
		r.adopt(controlrpc.WatchReply{Revision: 1, Instances: registry.Delta{Whole: true, Changed: []registry.Instance{one}}})
		r.taken[r.View().byID["one"].location()] = true
		r.adopt(controlrpc.WatchReply{Revision: 2, Instances: registry.Delta{Changed: []registry.Instance{two}}})
		Expect(r.taken).To(HaveLen(1))
		pool := r.View().byID["one"].pool
		one.Born = time.Now().UnixMilli()
		r.adopt(controlrpc.WatchReply{Revision: 3, Instances: registry.Delta{Changed: []registry.Instance{one}}})
		Expect(r.taken).To(BeEmpty())
		Expect(r.View().byID["one"].pool).NotTo(BeIdenticalTo(pool))
	})
})
