package entry

import (
	"context"
	"net/rpc"
	"sync"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/model"
	"github.com/wisteriamux/wisteriamux/internal/ownerrpc"
)

// peers sends sub-requests to the owners of upstreams, over one connection for each member.
type peers struct {
	selfID string
	local  *owner
	dial   controlrpc.Dialer

	// mu guards conns.
	mu    sync.Mutex
	conns map[string]*rpc.Client
}

func newPeers(selfID string, local *owner, dial controlrpc.Dialer) *peers {
	return &peers{selfID: selfID, local: local, dial: dial, conns: map[string]*rpc.Client{}}
}

// execute runs the sub-request at the member that owns its upstream.
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

func (p *peers) conn(address string) (*rpc.Client, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn, ok := p.conns[address]; ok {
		return conn, nil
	}
	raw, err := p.dial(address)
	if err != nil {
		return nil, fault.New(fault.NotRun, "peers.dial", "owner at %s: %w", address, err)
	}
	conn := rpc.NewClient(raw)
	p.conns[address] = conn
	return conn, nil
}

func (p *peers) drop(address string, conn *rpc.Client) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[address] == conn {
		delete(p.conns, address)
	}
	_ = conn.Close()
}
