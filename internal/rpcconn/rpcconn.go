// Package rpcconn prepares connections for net/rpc.
package rpcconn

import (
	"net"
	"time"
)

// writeTimeout bounds a write to a frozen peer. net/rpc holds a lock during the write, so that one stuck call would
// otherwise hold up every later one.
const writeTimeout = 2 * time.Second

type writeTimeoutConn struct{ net.Conn }

// WithWriteTimeout returns the connection with a time limit for each write.
func WithWriteTimeout(conn net.Conn) net.Conn { return writeTimeoutConn{conn} }

// Write implements net.Conn.
func (c writeTimeoutConn) Write(data []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(data)
}

type readErrorConn struct {
	net.Conn
	onError func()
}

// NotifyEnd returns the connection and calls ended when it cannot be read any more, possibly more than once.
func OnReadError(conn net.Conn, onError func()) net.Conn { return readErrorConn{conn, onError} }

// Read implements net.Conn.
func (c readErrorConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if err != nil {
		c.onError()
	}
	return n, err
}
