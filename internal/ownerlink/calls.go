package ownerlink

import (
	"context"
	"net"
	"net/rpc"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/ownerrpc"
	"github.com/wisteriamux/wisteriamux/internal/rpcconn"
)

// Client calls the owner service of other entry VMs for bookings and renewals, over one shared connection per address.
type Client struct {
	pool *rpcconn.Pool
}

// NewClient returns a client that opens its connections on demand.
func NewClient(dial controlrpc.Dialer) *Client {
	return &Client{pool: rpcconn.NewPool(func(address string) (net.Conn, error) {
		raw, err := dial(address)
		if err != nil {
			return nil, err
		}
		return rpcconn.WithWriteTimeout(raw), nil
	})}
}

// Call makes one RPC call and never retries it. An error with the code NotRun means that the call was not sent; after
// any other error it may have reached the owner. reply must not be read after an error.
func (c *Client) Call(ctx context.Context, address, method string, args, reply any) error {
	conn, err := c.pool.Conn(address)
	if err != nil {
		return fault.New(fault.NotRun, "ownerlink.dial", "connect to owner at %s: %w", address, err)
	}
	call := conn.Go(ownerrpc.ServiceName+"."+method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		return fault.New(fault.Unavailable, "ownerlink.call", "no reply to %s from owner at %s: %w", method, address, ctx.Err())
	case done := <-call.Done:
		if done.Error != nil {
			c.pool.Drop(address, conn)
			return fault.New(fault.Unavailable, "ownerlink.call", "call %s of owner at %s: %w", method, address, done.Error)
		}
		return nil
	}
}

// Close closes all connections.
func (c *Client) Close() { c.pool.Close() }
