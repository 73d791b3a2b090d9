// Package rpcconn provides connection wrappers and a connection pool for net/rpc.
package rpcconn

import (
	"net"
	"time"
)

// writeTimeout bounds a write to a peer that has stopped reading. net/rpc holds a lock during the write, so one blocked
// call would otherwise block all later ones.
const writeTimeout = 2 * time.Second

type writeTimeoutConn struct{ net.Conn }

// WithWriteTimeout wraps a connection so that each write has a timeout.
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

// OnReadError wraps a connection so that onError is called after every failed read, possibly more than once.
func OnReadError(conn net.Conn, onError func()) net.Conn { return readErrorConn{conn, onError} }

// Read implements net.Conn.
func (c readErrorConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if err != nil {
		c.onError()
	}
	return n, err
}
