package router

import (
	"fmt"
	"testing"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/registry"
	"github.com/wisteriamux/wisteriamux/internal/replica"
	"github.com/wisteriamux/wisteriamux/internal/route"
)

// BenchmarkChoose measures the choice of the upstreams of a search over 135 shards with three upstreams each, some of which get a
// smaller share.
func BenchmarkChoose(b *testing.B) {
	const shards, replicas = 135, 3
	r := benchRouter("x", "a", "")
	r.config.Pace = true
	rt := &route.Route{Name: "r", Idempotent: true, Attempts: 2, Timeout: time.Second, Objective: 40 * time.Millisecond, Top: 5}
	reply := controlrpc.WatchReply{Revision: 1, Watchers: 85, Instances: registry.Delta{Whole: true}}
	for i := range shards {
		name := fmt.Sprintf("shard-%03d", i)
		rt.Shards = append(rt.Shards, name)
		for n := range replicas {
			reply.Instances.Changed = append(reply.Instances.Changed, registry.Instance{
				ID: fmt.Sprintf("i-%03d-%d-0123456789", i, n), Service: name, FailureDomain: fmt.Sprint(n), Address: fmt.Sprintf("127.0.0.1:%d", 1000+replicas*i+n), Slots: 2, State: registry.Ready,
			})
		}
	}
	r.adopt(reply)
	for i, instance := range reply.Instances.Changed {
		if i%10 == 0 {
			r.pace.Started(time.Now(), instance.ID, time.Hour)
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		for _, service := range rt.Shards {
			a := r.chooseUpstream(rt, service, nil, firstAttempt)
			r.mu.Lock()
			r.tracker.Done(time.Now(), a.upstream.instance.ID, a.ticket, replica.Answered)
			r.mu.Unlock()
		}
	}
}
