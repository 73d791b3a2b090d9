// Package entry is the entry daemon: it takes callers' requests, fans them out to the owners of the upstreams, owns
// upstreams itself, and takes the announcements of upstreams.
package entry

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/rpc"
	"sync/atomic"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/balance"
	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/model"
	"github.com/wisteriamux/wisteriamux/internal/ownerrpc"
)

const (
	readHeaderTimeout = 2 * time.Second
	readTimeout       = 10 * time.Second
)

// Config holds the settings of an entry daemon.
type Config struct {
	ID            string
	FailureDomain string
	// LameDuck is how long the health check fails before the listener closes, so that the balancer notices.
	LameDuck time.Duration
	// DrainTimeout bounds the wait for requests in flight.
	DrainTimeout time.Duration
	// Ownership, Balance and Hedging select between the design and its baselines; empty means owner and observed.
	Ownership Ownership
	Balance   balance.Policy
	Hedging   bool
}

// Server is one entry daemon.
type Server struct {
	config  Config
	control Control
	session *session
	owner   *owner
	peers   *peers
	tier    *tier
	log     *slog.Logger

	http     *http.Server
	nextID   atomic.Uint64
	draining atomic.Bool
}

// New returns an entry daemon that announces rpcAddress to its peers.
func New(config Config, control Control, rpcAddress string, dial controlrpc.Dialer, log *slog.Logger) *Server {
	member := model.Member{ID: config.ID, RPCAddress: rpcAddress, FailureDomain: config.FailureDomain}
	session := newSession(control, member, time.Now, log)
	owner := newOwner(session, config.Ownership == OwnershipDirect)
	server := &Server{
		config:  config,
		control: control,
		session: session,
		owner:   owner,
		peers:   newPeers(config.ID, owner, dial),
		tier:    newTier(config.Balance, config.Hedging),
		log:     log,
	}
	server.http = &http.Server{Handler: server.routes(), ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout}
	return server
}

// Run serves until the context ends, then drains: the health check fails first, and requests in flight finish.
func (s *Server) Run(ctx context.Context, callers, peers net.Listener) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go s.session.run(background)
	go s.owner.run(background)
	go s.tier.run(background, s.session)
	if err := s.servePeers(peers); err != nil {
		return err
	}
	failed := make(chan error, 1)
	go func() { failed <- s.http.Serve(callers) }()
	select {
	case err := <-failed:
		return fault.New(fault.Internal, "entry.serve", "%w", err)
	case <-ctx.Done():
	}
	return s.drain(peers)
}

func (s *Server) servePeers(listener net.Listener) error {
	server := rpc.NewServer()
	if err := server.RegisterName(ownerrpc.ServiceName, &OwnerService{owner: s.owner}); err != nil {
		return fault.New(fault.Internal, "entry.register", "%w", err)
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go server.ServeConn(conn)
		}
	}()
	return nil
}

func (s *Server) drain(peers net.Listener) error {
	s.draining.Store(true)
	s.log.Info("draining", "lame_duck", s.config.LameDuck, "drain_timeout", s.config.DrainTimeout)
	time.Sleep(s.config.LameDuck)
	ctx, cancel := context.WithTimeout(context.Background(), s.config.DrainTimeout)
	defer cancel()
	err := s.http.Shutdown(ctx)
	_ = peers.Close()
	if errors.Is(err, context.DeadlineExceeded) {
		return fault.New(fault.Internal, "entry.drain", "requests still in flight after %s", s.config.DrainTimeout)
	}
	s.log.Info("stopped")
	return nil
}
