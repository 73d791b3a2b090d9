package upstreamapi

import (
	"net"
	"sync"
)

// sealableConn counts the writes to a connection and can be sealed, which makes all later writes fail. A transport may
// still be about to write a request whose round trip has already returned an error, so only a sealed connection proves
// that nothing was sent.
type sealableConn struct {
	net.Conn

	// mu guards the fields below.
	mu            sync.Mutex
	startedWrites uint64
	sealed        bool
}

// Write implements net.Conn.
func (c *sealableConn) Write(data []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.startedWrites++
	c.mu.Unlock()
	return c.Conn.Write(data)
}

// writeCount returns the number of writes that have started, or 0 for a nil connection.
func (c *sealableConn) writeCount() uint64 {
	if c == nil {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.startedWrites
}

// sealIfUnwritten seals the connection and returns true if no write has started since writeCount returned writesBefore.
// It returns true for a nil connection, because a request that never got a connection has written nothing.
func (c *sealableConn) sealIfUnwritten(writesBefore uint64) bool {
	if c == nil {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.startedWrites != writesBefore {
		return false
	}
	c.sealed = true
	return true
}
