package control

import (
	"context"
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/registry"
)

// batchReplicator is a MemoryReplicator that applies proposals only once a number of them are waiting. Those that wait for longer than
// batchTimeout fail.
type batchReplicator struct {
	*MemoryReplicator

	// mu guards the fields below. full is closed and replaced when a batch is complete.
	mu            sync.Mutex
	size, waiting int
	full          chan struct{}
}

const batchTimeout = time.Second

func (r *batchReplicator) Propose(ctx context.Context, data []byte) ([]byte, error) {
	r.mu.Lock()
	full := r.full
	if r.waiting++; r.waiting >= r.size {
		r.waiting = 0
		close(r.full)
		r.full = make(chan struct{})
	}
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, batchTimeout)
	defer cancel()
	select {
	case <-full:
		return r.MemoryReplicator.Propose(ctx, data)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Guards against removals one after the other: each entry VM adopted a view for nearly each of a hundred upstreams whose addresses
// others had taken, which cost more processor time than anything else then.
var _ = Describe("upstreams that have become silent", func() {
	It("are removed together", func() {
		const upstreams = 100
		now := time.Unix(1_000, 0)
		clock := func() time.Time { return now }
		machine := NewMachineWithClock(clock)
		replicator := &batchReplicator{MemoryReplicator: NewMemoryReplicator("control-1", machine), size: 1, full: make(chan struct{})}
		service := NewService("control-1", machine, replicator, clock)
		report := func(id string) {
			var ack controlrpc.Ack
			i := registry.Instance{ID: id, Service: "a", Address: "1:" + id, FailureDomain: "d", Slots: 1, State: registry.Ready, Born: 1, Sequence: 1}
			Expect(service.Report(controlrpc.ReportArgs{Report: registry.Report{Instance: i}}, &ack)).To(Succeed())
			Expect(ack.Fault).To(BeNil())
		}
		service.runMaintenance(GinkgoT().Context())
		for n := range upstreams {
			report(fmt.Sprint("silent-", n))
		}
		now = now.Add(instanceTimeout)
		for n := range upstreams {
			report(fmt.Sprint("heard-", n))
		}

		replicator.size = upstreams
		service.runMaintenance(GinkgoT().Context())

		Expect(machine.InstanceCount()).To(Equal(upstreams))
		Expect(machine.registered("heard-0")).To(BeTrue())
	})
})
