package entry

import (
	"context"
	"sync"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/model"
	"github.com/wisteriamux/wisteriamux/internal/ownerlink"
	"github.com/wisteriamux/wisteriamux/internal/ownerrpc"
)

// peers sends the sub-requests of searches to the owners of upstreams: in batches over one link for each remote owner,
// or directly to the local one. Bookings use the separate connections of ownerlink.Client, so that they never wait
// behind large search results.
type peers struct {
	selfID      string
	local       *owner
	dial        controlrpc.Dialer
	reportLoads func([]ownerrpc.SearchLoad)

	// mu guards the fields below.
	mu sync.Mutex
	// links holds the links by the address of the owner.
	links map[string]*ownerlink.Link
	// jobs holds the open local sub-requests by ID.
	jobs map[uint64]*job
	// lastReport is when the loads of the local owner were last reported.
	lastReport time.Time
}

func newPeers(selfID string, local *owner, dial controlrpc.Dialer, reportLoads func([]ownerrpc.SearchLoad)) *peers {
	return &peers{
		selfID: selfID, local: local, dial: dial, reportLoads: reportLoads,
		links: map[string]*ownerlink.Link{}, jobs: map[uint64]*job{},
	}
}

// submit sends sub-requests to the member that owns their upstreams. done is called once for each result.
func (p *peers) submit(member model.Member, subs []ownerrpc.SubRequest, done ownerlink.ResultFunc) {
	if p.isLocal(member) {
		for _, sub := range subs {
			p.submitLocal(sub, done)
		}
		return
	}
	if p.link(member.RPCAddress).Submit(subs, done) {
		return
	}
	err := fault.New(fault.NotRun, "peers.submit", "connection to owner %s has failed", member.ID)
	for _, sub := range subs {
		done(ownerrpc.SubResult{ID: sub.ID, Fault: fault.ToWire(err)})
	}
}

func (p *peers) isLocal(member model.Member) bool { return member.ID == p.selfID || p.local.direct }

func (p *peers) submitLocal(sub ownerrpc.SubRequest, done ownerlink.ResultFunc) {
	p.mu.Lock()
	p.jobs[sub.ID] = nil
	p.mu.Unlock()
	j := p.local.submit(context.Background(), sub, func(result ownerrpc.SubResult) {
		p.mu.Lock()
		delete(p.jobs, sub.ID)
		due := time.Since(p.lastReport) >= ownerrpc.LoadReportInterval
		if due {
			p.lastReport = time.Now()
		}
		p.mu.Unlock()
		if due {
			p.reportLoads(p.local.loads())
		}
		done(result)
	})
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, open := p.jobs[sub.ID]; open {
		p.jobs[sub.ID] = j
	}
}

// cancel cancels a sub-request whose result is no longer needed. It must be called by the goroutine that submitted it.
func (p *peers) cancel(member model.Member, id uint64) {
	if !p.isLocal(member) {
		p.link(member.RPCAddress).Cancel(id)
		return
	}
	p.mu.Lock()
	j := p.jobs[id]
	delete(p.jobs, id)
	p.mu.Unlock()
	if j != nil {
		j.stop()
	}
}

func (p *peers) link(address string) *ownerlink.Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	current, ok := p.links[address]
	if !ok || current.CanRedial(time.Now()) {
		current = ownerlink.New(p.selfID, address, p.dial, p.reportLoads)
		p.links[address] = current
	}
	return current
}
