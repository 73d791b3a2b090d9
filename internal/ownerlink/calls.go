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

// Client calls the owner service of other entry VMs for bookings and renewals, over one connection for each address.
type Client struct {
	pool *rpcconn.Pool
}

// NewClient returns calls without a connection.
func NewClient(dial controlrpc.Dialer) *Client {
	return &Client{pool: rpcconn.NewPool(func(address string) (net.Conn, error) {
		raw, err := dial(address)
		if err != nil {
			return nil, err
		}
		return rpcconn.WithWriteTimeout(raw), nil
	})}
}

// Call runs one call and never repeats it. An error with the code NotRun means that the call did not leave this VM;
// after any other error it may have arrived. reply must not be read after an error.
func (c *Client) Call(ctx context.Context, address, method string, args, reply any) error {
	conn, err := c.pool.Conn(address)
	if err != nil {
		return fault.New(fault.NotRun, "ownerlink.dial", "owner at %s: %w", address, err)
	}
	call := conn.Go(ownerrpc.ServiceName+"."+method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		return fault.New(fault.Unavailable, "ownerlink.call", "%s at %s: %w", method, address, ctx.Err())
	case done := <-call.Done:
		if done.Error != nil {
			c.pool.Drop(address, conn)
			return fault.New(fault.Unavailable, "ownerlink.call", "%s at %s: %w", method, address, done.Error)
		}
		return nil
	}
}

// Close ends all connections.
func (c *Client) Close() { c.pool.Close() }
