package router

import (
	"log/slog"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/registry"
	"github.com/wisteriamux/wisteriamux/internal/replica"
	"github.com/wisteriamux/wisteriamux/internal/route"
)

// Guards against requests that each entry VM sent to upstreams that had ended and whose addresses others had taken, and against reports
// of made-up processes that keep requests from upstreams that serve.
var _ = Describe("an upstream at whose address a later process is registered", func() {
	const address = "127.0.0.1:1"
	var r *Router
	var revision uint64
	now := time.Now()
	instance := func(id, service, at string, born int64) registry.Instance {
		return registry.Instance{ID: id, Service: service, Address: at, FailureDomain: "a", Slots: 2, State: registry.Ready, Born: born}
	}
	adopt := func(changed ...registry.Instance) {
		revision++
		r.adopt(controlrpc.WatchReply{Revision: revision, Instances: registry.Delta{Whole: revision == 1, Changed: changed}})
	}
	// chosen returns the upstreams of the service in the order in which a request would try them.
	chosen := func(service string, at time.Time) (ids []string) {
		r.mu.Lock()
		defer r.mu.Unlock()
		view := r.View()
		var tried []*upstream
		for {
			index := r.selectUpstream(at, view, service, tried, r.tracker, rand.Float64)
			if index < 0 {
				return ids
			}
			tried = append(tried, view.byService[service][index])
			ids = append(ids, view.byService[service][index].instance.ID)
		}
	}
	end := func(id string, result replica.Result) {
		u := r.View().byID[id]
		r.updateTracker(&attempt{upstream: u, sent: time.Now(), ticket: r.tracker.Sent(time.Now(), id, time.Millisecond)}, result, time.Millisecond)
	}
	expectLast := func(id string) {
		for range 20 {
			order := chosen("s", now)
			ExpectWithOffset(1, order[len(order)-1]).To(Equal(id))
		}
	}

	BeforeEach(func() {
		r = New(Config{ID: "x", FailureDomain: "a"}, nil, nil, slog.New(slog.DiscardHandler))
		revision = 1
		r.adopt(controlrpc.WatchReply{
			Revision: 1, Table: &route.Table{Version: 1, Services: []route.Service{{Name: "s"}, {Name: "t"}}},
			Instances: registry.Delta{Whole: true, Changed: []registry.Instance{instance("old", "s", address, 5), instance("other", "s", "127.0.0.1:2", 5)}},
		})
	})

	It("is tried after the others of its service", func() {
		adopt(instance("new", "s", address, 9))
		expectLast("old")
		Expect(chosen("s", now)).To(HaveLen(3))
	})

	It("is tried after the others if the later process is of another service, or was registered before", func() {
		adopt(instance("new", "t", address, 9))
		expectLast("old")
		adopt(instance("older", "s", address, 2))
		for range 20 {
			Expect(chosen("s", now)[0]).To(Equal("other"))
		}
	})

	It("is used as before if the later process is of a service that no configuration names", func() {
		adopt(instance("agent", "metrics-agent", address, 9))
		Expect(r.contests).To(BeEmpty())
	})

	It("is used as before once the process there has refused a request for the later one", func() {
		adopt(instance("made-up", "t", address, 9))
		Expect(r.contests).To(HaveLen(1))
		end("made-up", replica.Misdirected)
		Expect(r.contests.demotes(r.View().byID["old"].location(), now, r.taken)).To(BeFalse())
	})

	It("is used as before once it has answered", func() {
		adopt(instance("made-up", "t", address, 9))
		end("old", replica.Answered)
		Expect(r.contests).To(BeEmpty())
	})

	It("is used as before if it is still registered after the time in which silent upstreams are removed", func() {
		adopt(instance("made-up", "t", address, 9))
		Expect(r.contests.demotes(r.View().byID["old"].location(), now.Add(11*time.Second), r.taken)).To(BeTrue())
		Expect(r.contests.demotes(r.View().byID["old"].location(), time.Now().Add(contestPeriod), r.taken)).To(BeFalse())
	})

	It("is used if there is no other, and forgotten once it is gone", func() {
		adopt(instance("made-up", "t", address, 9), instance("second", "t", "127.0.0.1:2", 9))
		Expect(chosen("s", now)).To(ConsistOf("old", "other"))
		revision++
		r.adopt(controlrpc.WatchReply{Revision: revision, Instances: registry.Delta{Removed: []string{"old"}}})
		Expect(chosen("s", now)).To(ConsistOf("other"))
		Expect(r.contests).To(HaveLen(1))
	})
})
