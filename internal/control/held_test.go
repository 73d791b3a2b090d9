package control_test

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/control"
	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
)

// deposableReplicator is a leader that can be deposed without knowing it: it still names itself as the leader, and finds no quorum.
type deposableReplicator struct {
	*control.MemoryReplicator
	deposed atomic.Bool
}

func (r *deposableReplicator) ReadBarrier(ctx context.Context) error {
	if r.deposed.Load() {
		return errors.New("no quorum")
	}
	return r.MemoryReplicator.ReadBarrier(ctx)
}

var _ = Describe("the reply to a watch", func() {
	var service *control.Service
	var replicator *deposableReplicator
	var revision uint64
	BeforeEach(func() {
		machine := control.NewMachine()
		replicator = &deposableReplicator{MemoryReplicator: control.NewMemoryReplicator("one", machine)}
		service = control.NewService("one", machine, replicator, time.Now)
		var put controlrpc.PutRoutesReply
		Expect(service.PutRoutes(controlrpc.PutRoutesArgs{Table: routeTable(1, "r")}, &put)).To(Succeed())
		var first controlrpc.WatchReply
		Expect(service.Watch(controlrpc.WatchArgs{}, &first)).To(Succeed())
		revision = first.Revision
	})

	// An entry VM takes the time for confirmed, so that it must not contain the time of the read barrier or of the way.
	It("tells how long the leader held it before the read barrier", func() {
		for _, wait := range []time.Duration{0, 80 * time.Millisecond} {
			var reply controlrpc.WatchReply
			began := time.Now()
			Expect(service.Watch(controlrpc.WatchArgs{Known: revision, WaitMillis: wait.Milliseconds()}, &reply)).To(Succeed())
			Expect(reply.Fault).To(BeNil())
			Expect(reply.Held).To(BeNumerically(">=", wait))
			Expect(reply.Held).To(BeNumerically("<=", time.Since(began)))
		}
	})

	It("is an error if the leader was deposed while it held the watch and does not know it", func() {
		time.AfterFunc(30*time.Millisecond, func() { replicator.deposed.Store(true) })
		var reply controlrpc.WatchReply
		Expect(service.Watch(controlrpc.WatchArgs{Known: revision, WaitMillis: 100}, &reply)).To(Succeed())
		Expect(reply.Fault).NotTo(BeNil())
		Expect(reply.Held).To(BeZero())
	})
})
