package ownerlink

import (
	"context"
	"net/rpc"
	"sync"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/ownerrpc"
	"github.com/wisteriamux/wisteriamux/internal/rpcconn"
)

// Calls calls the owner service of other entry VMs for bookings and renewals, over one connection for each address.
type Calls struct {
	dial controlrpc.Dialer

	// mu guards conns.
	mu    sync.Mutex
	conns map[string]*rpc.Client
}

// NewCalls returns calls without a connection.
func NewCalls(dial controlrpc.Dialer) *Calls {
	return &Calls{dial: dial, conns: map[string]*rpc.Client{}}
}

// Call runs one call and never repeats it. An error with the code NotRun means that the call did not leave this VM;
// after any other error it may have arrived. reply must not be read after an error.
func (c *Calls) Call(ctx context.Context, address, method string, args, reply any) error {
	conn, err := c.conn(address)
	if err != nil {
		return err
	}
	call := conn.Go(ownerrpc.ServiceName+"."+method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		return fault.New(fault.Unavailable, "ownerlink.call", "%s at %s: %w", method, address, ctx.Err())
	case done := <-call.Done:
		if done.Error != nil {
			c.drop(address, conn)
			return fault.New(fault.Unavailable, "ownerlink.call", "%s at %s: %w", method, address, done.Error)
		}
		return nil
	}
}

func (c *Calls) conn(address string) (*rpc.Client, error) {
	c.mu.Lock()
	conn, ok := c.conns[address]
	c.mu.Unlock()
	if ok {
		return conn, nil
	}
	raw, err := c.dial(address)
	if err != nil {
		return nil, fault.New(fault.NotRun, "ownerlink.dial", "owner at %s: %w", address, err)
	}
	conn = rpc.NewClient(rpcconn.Bound(raw))
	c.mu.Lock()
	defer c.mu.Unlock()
	if other, ok := c.conns[address]; ok {
		_ = conn.Close()
		return other, nil
	}
	c.conns[address] = conn
	return conn, nil
}

func (c *Calls) drop(address string, conn *rpc.Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[address] == conn {
		delete(c.conns, address)
	}
	_ = conn.Close()
}

// Close ends all connections.
func (c *Calls) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conn := range c.conns {
		_ = conn.Close()
		delete(c.conns, address)
	}
}
