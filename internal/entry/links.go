package entry

import (
	"context"
	"net/rpc"
	"sync"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/ownerrpc"
	"github.com/wisteriamux/wisteriamux/internal/rpcconn"
)

// links calls the owner service of other entry VMs for bookings and renewals, over one connection for each address.
// They are separate from the connections of searches, so that a booking never waits behind a large batch.
type links struct {
	dial controlrpc.Dialer

	// mu guards conns.
	mu    sync.Mutex
	conns map[string]*rpc.Client
}

func newLinks(dial controlrpc.Dialer) *links {
	return &links{dial: dial, conns: map[string]*rpc.Client{}}
}

// call runs one call and never repeats it. An error with the code NotRun means that the call did not leave this VM;
// after any other error it may have arrived. reply must not be read after an error.
func (l *links) call(ctx context.Context, address, method string, args, reply any) error {
	conn, err := l.conn(address)
	if err != nil {
		return err
	}
	call := conn.Go(ownerrpc.ServiceName+"."+method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		return fault.New(fault.Unavailable, "links.call", "%s at %s: %w", method, address, ctx.Err())
	case done := <-call.Done:
		if done.Error != nil {
			l.drop(address, conn)
			return fault.New(fault.Unavailable, "links.call", "%s at %s: %w", method, address, done.Error)
		}
		return nil
	}
}

func (l *links) conn(address string) (*rpc.Client, error) {
	l.mu.Lock()
	conn, ok := l.conns[address]
	l.mu.Unlock()
	if ok {
		return conn, nil
	}
	raw, err := l.dial(address)
	if err != nil {
		return nil, fault.New(fault.NotRun, "links.dial", "owner at %s: %w", address, err)
	}
	conn = rpc.NewClient(rpcconn.Bound(raw))
	l.mu.Lock()
	defer l.mu.Unlock()
	if other, ok := l.conns[address]; ok {
		_ = conn.Close()
		return other, nil
	}
	l.conns[address] = conn
	return conn, nil
}

func (l *links) drop(address string, conn *rpc.Client) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns[address] == conn {
		delete(l.conns, address)
	}
	_ = conn.Close()
}

func (l *links) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for address, conn := range l.conns {
		_ = conn.Close()
		delete(l.conns, address)
	}
}
