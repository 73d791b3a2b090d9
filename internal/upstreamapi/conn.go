package upstreamapi

import (
	"net"
	"sync"
)

// sealedConn counts the writes of a connection, and can forbid further ones. A transport may still be about to write a
// request whose round trip has already returned an error, so only a sealed connection proves that nothing was sent.
type sealedConn struct {
	net.Conn

	// mu guards the fields below.
	mu      sync.Mutex
	started uint64
	sealed  bool
}

// Write implements net.Conn.
func (c *sealedConn) Write(data []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.started++
	c.mu.Unlock()
	return c.Conn.Write(data)
}

func (c *sealedConn) writes() uint64 {
	if c == nil {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.started
}

// sealUnwritten reports whether no write started since the count was before; if so, it forbids every later write. A
// request that never got a connection has written nothing.
func (c *sealedConn) sealUnwritten(before uint64) bool {
	if c == nil {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.started != before {
		return false
	}
	c.sealed = true
	return true
}
