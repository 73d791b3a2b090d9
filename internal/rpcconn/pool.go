package rpcconn

import (
	"net"
	"net/rpc"
	"sync"
)

// Pool keeps one net/rpc client per address. It is safe for concurrent use.
type Pool struct {
	dial func(address string) (net.Conn, error)

	// mu guards conns.
	mu    sync.Mutex
	conns map[string]*rpc.Client
}

// NewPool returns an empty pool that opens connections with dial.
func NewPool(dial func(address string) (net.Conn, error)) *Pool {
	return &Pool{dial: dial, conns: map[string]*rpc.Client{}}
}

// Conn returns the connection to an address, dialling it if there is none.
func (p *Pool) Conn(address string) (*rpc.Client, error) {
	p.mu.Lock()
	conn, ok := p.conns[address]
	p.mu.Unlock()
	if ok {
		return conn, nil
	}
	raw, err := p.dial(address)
	if err != nil {
		return nil, err
	}
	conn = NewClient(raw)
	p.mu.Lock()
	defer p.mu.Unlock()
	if other, ok := p.conns[address]; ok {
		_ = conn.Close()
		return other, nil
	}
	p.conns[address] = conn
	return conn, nil
}

// Drop closes and removes a failed connection, so that the next call of Conn dials again.
func (p *Pool) Drop(address string, conn *rpc.Client) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[address] == conn {
		delete(p.conns, address)
	}
	_ = conn.Close()
}

// Close closes every connection.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conn := range p.conns {
		_ = conn.Close()
		delete(p.conns, address)
	}
}
