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
	"github.com/wisteriamux/wisteriamux/internal/rpcconn"
	"github.com/wisteriamux/wisteriamux/internal/security"
)

// handshakeTimeout limits the TLS handshake, because a peer may connect and send nothing.
const handshakeTimeout = 2 * time.Second

// endpoint serves the RPC connections of a control member. The role in a peer's certificate determines which methods
// the peer can call.
type endpoint struct {
	service *control.Service
	raft    any
	log     *slog.Logger

	// mu guards the fields below.
	mu     sync.Mutex
	conns  map[net.Conn]bool
	closed bool
}

// track registers an open connection for close. It returns false if the endpoint is already closed.
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

func (e *endpoint) untrack(conn net.Conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.conns, conn)
}

// close closes every connection, so that peers do not stay connected to a member that has stopped.
func (e *endpoint) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	for conn := range e.conns {
		_ = conn.Close()
	}
}

func (e *endpoint) accept(listener net.Listener) { rpcconn.Accept(listener, e.log, e.serve) }

func (e *endpoint) serve(conn net.Conn) {
	if !e.track(conn) {
		_ = conn.Close()
		return
	}
	defer e.untrack(conn)
	server, err := e.serverFor(conn)
	if err != nil {
		e.log.Warn("connection rejected", "remote", conn.RemoteAddr(), "code", fault.CodeOf(err), "error", err)
		_ = conn.Close()
		return
	}
	rpcconn.Serve(server, conn)
}

// serverFor returns the RPC server with the methods that the peer can call. Without TLS every peer can call all
// methods.
func (e *endpoint) serverFor(conn net.Conn) (*rpc.Server, error) {
	tlsConn, ok := conn.(*tls.Conn)
	if !ok {
		return newRPCServer(e.service, e.raft)
	}
	peer, err := peerIdentity(tlsConn)
	if err != nil {
		return nil, err
	}
	switch peer.Role {
	case security.RoleControl:
		return newRPCServer(control.NewMemberAccess(e.service), e.raft)
	case security.RoleEntry:
		return newRPCServer(control.NewEntryAccess(e.service, peer.Name), nil)
	case security.RoleOperator:
		return newRPCServer(control.NewOperatorAccess(e.service), nil)
	}
	return nil, fault.New(fault.Forbidden, "control.accept", "role %q is not allowed to connect to a control member", peer.Role)
}

func peerIdentity(conn *tls.Conn) (security.Identity, error) {
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	if err := conn.Handshake(); err != nil {
		return security.Identity{}, fault.New(fault.Forbidden, "control.accept", "TLS handshake: %w", err)
	}
	_ = conn.SetDeadline(time.Time{})
	return security.IdentityOf(conn.ConnectionState().PeerCertificates[0])
}

// newRPCServer returns an RPC server for the receivers that are not nil.
func newRPCServer(service, raft any) (*rpc.Server, error) {
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
