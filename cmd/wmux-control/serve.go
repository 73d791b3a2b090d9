package main

import (
	"crypto/tls"
	"log/slog"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/control"
	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/raftnode"
	"github.com/wisteriamux/wisteriamux/internal/security"
)

// handshakeTimeout bounds a handshake with a peer that connects and stays silent.
const handshakeTimeout = 2 * time.Second

// endpoint serves the connections of a control member. What a peer may call depends on the role in its certificate.
type endpoint struct {
	service *control.Service
	raft    any
	log     *slog.Logger

	// mu guards the fields below.
	mu     sync.Mutex
	conns  map[net.Conn]bool
	closed bool
}

// track remembers an open connection; it reports false once the endpoint is closed.
func (e *endpoint) track(conn net.Conn) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conns == nil {
		e.conns = map[net.Conn]bool{}
	}
	if !e.closed {
		e.conns[conn] = true
	}
	return !e.closed
}

func (e *endpoint) forget(conn net.Conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.conns, conn)
}

// close ends every connection, so that peers do not keep talking to a member that has stopped.
func (e *endpoint) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	for conn := range e.conns {
		_ = conn.Close()
	}
}

func (e *endpoint) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go e.serve(conn)
	}
}

func (e *endpoint) serve(conn net.Conn) {
	if !e.track(conn) {
		_ = conn.Close()
		return
	}
	defer e.forget(conn)
	server, err := e.serverFor(conn)
	if err != nil {
		e.log.Warn("connection refused", "remote", conn.RemoteAddr(), "code", fault.CodeOf(err), "error", err)
		_ = conn.Close()
		return
	}
	server.ServeConn(conn)
}

// serverFor returns the RPC server for the peer. Without TLS every peer may call everything.
func (e *endpoint) serverFor(conn net.Conn) (*rpc.Server, error) {
	secured, ok := conn.(*tls.Conn)
	if !ok {
		return register(e.service, e.raft)
	}
	peer, err := identify(secured)
	if err != nil {
		return nil, err
	}
	switch peer.Role {
	case security.RoleControl:
		return register(control.NewMemberAccess(e.service), e.raft)
	case security.RoleEntry:
		return register(control.NewEntryAccess(e.service, peer.Name), nil)
	case security.RoleOperator:
		return register(control.NewOperatorAccess(e.service), nil)
	}
	return nil, fault.New(fault.Forbidden, "control.accept", "role %q has no access", peer.Role)
}

func identify(conn *tls.Conn) (security.Identity, error) {
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	if err := conn.Handshake(); err != nil {
		return security.Identity{}, fault.New(fault.Forbidden, "control.accept", "handshake: %w", err)
	}
	_ = conn.SetDeadline(time.Time{})
	return security.IdentityOf(conn.ConnectionState().PeerCertificates[0])
}

// register returns a server with the receivers that are not nil.
func register(service, raft any) (*rpc.Server, error) {
	server := rpc.NewServer()
	for name, receiver := range map[string]any{controlrpc.ServiceName: service, raftnode.ServiceName: raft} {
		if receiver == nil {
			continue
		}
		if err := server.RegisterName(name, receiver); err != nil {
			return nil, fault.New(fault.Internal, "control.register", "%s: %w", name, err)
		}
	}
	return server, nil
}
