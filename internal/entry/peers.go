package entry

import (
	"context"
	"net/rpc"
	"sync"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/model"
	"github.com/wisteriamux/wisteriamux/internal/ownerrpc"
)

// peers sends sub-requests to the owners of upstreams. Searches go in batches over one link for each owner; each booking
// is a call of its own on a second connection, so that it never waits behind large search results.
type peers struct {
	selfID string
	local  *owner
	dial   controlrpc.Dialer

	// mu guards conns, links and jobs.
	mu    sync.Mutex
	conns map[string]*rpc.Client
	links map[string]*link
	jobs  map[uint64]*job
}

func newPeers(selfID string, local *owner, dial controlrpc.Dialer) *peers {
	return &peers{
		selfID: selfID, local: local, dial: dial,
		conns: map[string]*rpc.Client{}, links: map[string]*link{}, jobs: map[uint64]*job{},
	}
}

// submit sends searches to the member that owns their upstreams. done is called once for each result that arrives.
func (p *peers) submit(member model.Member, subs []ownerrpc.SubRequest, done waiter) {
	if p.isLocal(member) {
		for _, sub := range subs {
			p.submitLocal(sub, done)
		}
		return
	}
	if p.link(member.RPCAddress).submit(subs, done) {
		return
	}
	err := fault.New(fault.NotRun, "peers.submit", "owner %s is not reachable", member.ID)
	for _, sub := range subs {
		done(ownerrpc.SubResult{ID: sub.ID, Fault: fault.ToWire(err)})
	}
}

func (p *peers) isLocal(member model.Member) bool { return member.ID == p.selfID || p.local.direct }

func (p *peers) submitLocal(sub ownerrpc.SubRequest, done waiter) {
	p.mu.Lock()
	p.jobs[sub.ID] = nil
	p.mu.Unlock()
	j := p.local.submit(context.Background(), sub, func(result ownerrpc.SubResult) {
		p.mu.Lock()
		delete(p.jobs, sub.ID)
		p.mu.Unlock()
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
		p.link(member.RPCAddress).cancel(id)
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

func (p *peers) link(address string) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	current, ok := p.links[address]
	if !ok || current.replaceable(time.Now()) {
		current = newLink(p.selfID, address, p.dial)
		p.links[address] = current
	}
	return current
}

// execute runs the sub-request at the member that owns its upstream and waits for the result.
func (p *peers) execute(ctx context.Context, member model.Member, sub ownerrpc.SubRequest) ownerrpc.SubResult {
	if member.ID == p.selfID {
		return p.local.execute(ctx, sub)
	}
	conn, err := p.conn(member.RPCAddress)
	if err != nil {
		return ownerrpc.SubResult{ID: sub.ID, Fault: fault.ToWire(err)}
	}
	var reply ownerrpc.ExecuteReply
	call := conn.Go(ownerrpc.ServiceName+".Execute", ownerrpc.ExecuteArgs{SubRequest: sub}, &reply, make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		err := fault.New(fault.Cancelled, "peers.execute", "%w", ctx.Err())
		return ownerrpc.SubResult{ID: sub.ID, Fault: fault.ToWire(err)}
	case done := <-call.Done:
		if done.Error != nil {
			p.drop(member.RPCAddress, conn)
			err := fault.New(fault.OutcomeUnknown, "peers.execute", "owner %s: %w", member.ID, done.Error)
			return ownerrpc.SubResult{ID: sub.ID, Fault: fault.ToWire(err)}
		}
		return reply.Result
	}
}

// conn returns the connection for calls to the address. It dials outside the lock, because a dial to a silent VM takes
// long and must not hold up calls to others.
func (p *peers) conn(address string) (*rpc.Client, error) {
	p.mu.Lock()
	conn, ok := p.conns[address]
	p.mu.Unlock()
	if ok {
		return conn, nil
	}
	raw, err := p.dial(address)
	if err != nil {
		return nil, fault.New(fault.NotRun, "peers.dial", "owner at %s: %w", address, err)
	}
	dialled := rpc.NewClient(raw)
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn, ok := p.conns[address]; ok {
		_ = dialled.Close()
		return conn, nil
	}
	p.conns[address] = dialled
	return dialled, nil
}

func (p *peers) drop(address string, conn *rpc.Client) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[address] == conn {
		delete(p.conns, address)
	}
	_ = conn.Close()
}
