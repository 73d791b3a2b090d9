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

// peers sends sub-requests to the owners of upstreams. Searches go in batches over one link for each owner; bookings
// go over the separate connections of links, so that they never wait behind large search results.
type peers struct {
	selfID      string
	local       *owner
	dial        controlrpc.Dialer
	reportLoads func([]ownerrpc.SearchLoad)

	// mu guards the fields below.
	mu    sync.Mutex
	links map[string]*ownerlink.Link
	jobs  map[uint64]*job
	// lastReport is the time of the last report of the local loads.
	lastReport time.Time
}

func newPeers(selfID string, local *owner, dial controlrpc.Dialer, reportLoads func([]ownerrpc.SearchLoad)) *peers {
	return &peers{
		selfID: selfID, local: local, dial: dial, reportLoads: reportLoads,
		links: map[string]*ownerlink.Link{}, jobs: map[uint64]*job{},
	}
}

// submit sends searches to the member that owns their upstreams. done is called once for each result that arrives.
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
	err := fault.New(fault.NotRun, "peers.submit", "owner %s is not reachable", member.ID)
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

// cancel stops a search whose result is no longer needed. It is called by the goroutine that submitted the search.
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
