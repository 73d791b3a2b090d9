package main

import (
	"crypto/tls"
	"log/slog"
	"net"
	"net/rpc"
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
		return register(nil, e.raft)
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
