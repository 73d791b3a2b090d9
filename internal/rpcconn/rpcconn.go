// Package rpcconn prepares connections for net/rpc.
package rpcconn

import (
	"net"
	"time"
)

// writeTimeout bounds a write to a frozen peer. net/rpc holds a lock during the write, so that one stuck call would
// otherwise hold up every later one.
const writeTimeout = 2 * time.Second

type boundedWrites struct{ net.Conn }

// WithWriteTimeout returns the connection with a time limit for each write.
func WithWriteTimeout(conn net.Conn) net.Conn { return boundedWrites{conn} }

// Write implements net.Conn.
func (c boundedWrites) Write(data []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(data)
}

type notifyEnd struct {
	net.Conn
	ended func()
}

// NotifyEnd returns the connection and calls ended when it cannot be read any more, possibly more than once.
func NotifyEnd(conn net.Conn, ended func()) net.Conn { return notifyEnd{conn, ended} }

// Read implements net.Conn.
func (c notifyEnd) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if err != nil {
		c.ended()
	}
	return n, err
}
