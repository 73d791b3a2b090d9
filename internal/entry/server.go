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
	"sync"
	"sync/atomic"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/ownerlink"

	"github.com/wisteriamux/wisteriamux/internal/balance"
	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/membership"
	"github.com/wisteriamux/wisteriamux/internal/model"
	"github.com/wisteriamux/wisteriamux/internal/ownerrpc"
	"github.com/wisteriamux/wisteriamux/internal/telemetry"
	"github.com/wisteriamux/wisteriamux/internal/trace"
)

const (
	readHeaderTimeout  = 2 * time.Second
	defaultBodyTimeout = 5 * time.Second
	keepAliveTimeout   = 2 * time.Minute
	// maxHeaderBytes bounds the header; net/http answers a larger one with 431.
	maxHeaderBytes    = 16 << 10
	drainPollInterval = 10 * time.Millisecond
	leaveTimeout      = 2 * time.Second
	// peerLinger is how long a VM that has left still answers its peers: one renewal interval, within which they see
	// the new membership, and the time of that exchange. A connection closed before would turn refusals into unknown
	// outcomes.
	peerLinger = membership.RenewInterval + 500*time.Millisecond
	// retireTimeout bounds the wait for other owners, for a stop without a reachable control group. It is longer than
	// the time until every entry VM has applied a change or lost its lease.
	retireTimeout = 7 * time.Second
	// replyTimeout bounds the wait for replies that are still being written when the connections are closed.
	replyTimeout = time.Second
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
	// BodyTimeout bounds the time to read a request's body; 0 stands for the default.
	BodyTimeout time.Duration
	// Metrics holds the instruments; nil measures nothing.
	Metrics *telemetry.Metrics
	// Recorder records the events of the decision packages; nil records nothing.
	Recorder *trace.Recorder
}

// Server is one entry daemon.
type Server struct {
	config       Config
	control      membership.Control
	session      *membership.Session
	owner        *owner
	peers        *peers
	searchPolicy *searchPolicy
	guard        *crashGuard
	ownerClient  *ownerlink.Client
	bookings     *bookings
	renewals     *renewals
	// objectives measures the service level and the demand.
	objectives *objectives
	log        *slog.Logger

	http     *http.Server
	nextID   atomic.Uint64
	draining atomic.Bool

	// peerCalls counts connections of peers with unfinished replies.
	peerCalls sync.WaitGroup
	// peerMu guards peerConns and peersClosed.
	peerMu      sync.Mutex
	peerConns   map[net.Conn]struct{}
	peersClosed bool
}

// New returns an entry daemon that announces rpcAddress to its peers.
func New(config Config, control membership.Control, rpcAddress string, dial controlrpc.Dialer, log *slog.Logger) *Server {
	return newServer(config, control, rpcAddress, dial, membership.SystemClock(), log)
}

func newServer(config Config, control membership.Control, rpcAddress string, dial controlrpc.Dialer, clock membership.Clock, log *slog.Logger) *Server {
	if config.BodyTimeout == 0 {
		config.BodyTimeout = defaultBodyTimeout
	}
	member := model.Member{ID: config.ID, RPCAddress: rpcAddress, FailureDomain: config.FailureDomain}
	session := membership.New(control, member, clock, log)
	guard := newCrashGuard(session, control, config.Recorder, log)
	owner := newOwner(session, guard, config.Ownership == OwnershipDirect)
	searchPolicy := newSearchPolicy(config.Balance, config.Hedging, owner.ownsNow)
	server := &Server{
		config:       config,
		control:      control,
		session:      session,
		owner:        owner,
		peers:        newPeers(config.ID, owner, dial, searchPolicy.recordLoads),
		guard:        guard,
		searchPolicy: searchPolicy,
		ownerClient:  ownerlink.NewClient(dial),
		log:          log,
		peerConns:    map[net.Conn]struct{}{},
	}
	bookingOwner := newBookingOwner(session, server.guard, config.Recorder)
	server.bookings = newBookings(session, control, bookingOwner, server.guard, server.ownerClient, config.Recorder)
	server.renewals = newRenewals(session, control, server.ownerClient, server.inFlightAt, log)
	server.objectives = newObjectives(config.Metrics, session, server.inFlightAt)
	session.Load = server.objectives.loadReport
	server.http = &http.Server{
		Handler: server.routes(), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: keepAliveTimeout,
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	return server
}

// inFlightAt counts the requests of this owner at one upstream.
func (s *Server) inFlightAt(upstream string) int {
	return s.bookings.owner.inFlight(upstream) + s.owner.backlog(upstream)
}

// Run serves until the context ends, then drains: the health check fails first, and requests in flight finish.
func (s *Server) Run(ctx context.Context, callers, peers net.Listener) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	defer s.ownerClient.Close()
	go s.session.Run(background)
	go s.owner.run(background)
	go s.searchPolicy.run(background, s.session)
	go s.renewals.run(background)
	go s.objectives.run(background)
	if err := s.servePeers(peers); err != nil {
		return err
	}
	defer s.closePeers(peers)
	failed := make(chan error, 1)
	go func() { failed <- s.http.Serve(callers) }()
	select {
	case err := <-failed:
		return fault.New(fault.Internal, "entry.serve", "%w", err)
	case <-ctx.Done():
	}
	return s.drain()
}

func (s *Server) servePeers(listener net.Listener) error {
	server := rpc.NewServer()
	receiver := &ownerRPC{
		OwnerService:   &OwnerService{owner: s.owner},
		BookingService: &BookingService{owner: s.bookings.owner, renewals: s.renewals},
	}
	if err := server.RegisterName(ownerrpc.ServiceName, receiver); err != nil {
		return fault.New(fault.Internal, "entry.register", "%w", err)
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.servePeer(server, conn)
		}
	}()
	return nil
}

func (s *Server) servePeer(server *rpc.Server, conn net.Conn) {
	s.peerMu.Lock()
	if s.peersClosed {
		s.peerMu.Unlock()
		_ = conn.Close()
		return
	}
	s.peerConns[conn] = struct{}{}
	s.peerCalls.Add(1)
	s.peerMu.Unlock()
	defer s.peerCalls.Done()
	server.ServeConn(conn)
	s.peerMu.Lock()
	defer s.peerMu.Unlock()
	delete(s.peerConns, conn)
}

// closePeers ends the owner service. No more calls are read, and those that were read are answered.
func (s *Server) closePeers(listener net.Listener) {
	_ = listener.Close()
	s.stopReading()
	answered := make(chan struct{})
	go func() {
		s.peerCalls.Wait()
		close(answered)
	}()
	select {
	case <-answered:
	case <-time.After(min(replyTimeout, s.config.DrainTimeout)):
		s.log.Debug("connections closed with unanswered calls of peers")
	}
	s.peerMu.Lock()
	defer s.peerMu.Unlock()
	for conn := range s.peerConns {
		_ = conn.Close()
	}
}

// stopReading ends the reading of each connection; net/rpc then waits for the pending replies and closes it.
func (s *Server) stopReading() {
	s.peerMu.Lock()
	defer s.peerMu.Unlock()
	s.peersClosed = true
	for conn := range s.peerConns {
		_ = conn.SetReadDeadline(time.Now())
	}
}

// drain stops in an order that interrupts nothing: the balancer moves callers away and their requests finish, ownership
// moves while peers are still served, what they sent before finishes while new work is refused as not run, and then
// this VM leaves.
func (s *Server) drain() error {
	s.draining.Store(true)
	s.log.Info("draining", "lame_duck", s.config.LameDuck, "drain_timeout", s.config.DrainTimeout)
	ctx, cancel := context.WithTimeout(context.Background(), s.config.LameDuck+s.config.DrainTimeout)
	defer cancel()
	retiring, cancelRetire := context.WithTimeout(ctx, s.config.LameDuck+retireTimeout)
	defer cancelRetire()
	moved := make(chan error, 1)
	go func() { moved <- s.session.Retire(retiring) }()
	time.Sleep(s.config.LameDuck)
	err := s.http.Shutdown(ctx)
	if retireErr := <-moved; retireErr != nil {
		s.log.Warn("ownership not moved before the stop", "code", fault.CodeOf(retireErr), "error", retireErr)
	}
	s.session.RefuseNew()
	err = errors.Join(err, s.waitForWork(ctx))
	s.leave()
	select {
	case <-time.After(peerLinger):
	case <-ctx.Done():
	}
	if err != nil {
		return fault.New(fault.Internal, "entry.drain", "requests still in flight after %s: %w", s.config.DrainTimeout, err)
	}
	s.log.Info("stopped")
	return nil
}

// waitForWork waits for the outcomes of bookings and for the work of peers. Work that a peer sent before it saw the
// refusal is refused, so that the count falls to zero.
func (s *Server) waitForWork(ctx context.Context) error {
	recorded := make(chan struct{})
	go func() {
		s.bookings.activeRuns.Wait()
		close(recorded)
	}()
	select {
	case <-recorded:
	case <-ctx.Done():
		return fault.New(fault.Internal, "entry.finish", "booking outcomes are not recorded: %w", ctx.Err())
	}
	for s.bookings.owner.totalInFlight()+s.owner.totalBacklog() > 0 {
		select {
		case <-time.After(drainPollInterval):
		case <-ctx.Done():
			return fault.New(fault.Internal, "entry.finish", "sub-requests of peers are in flight: %w", ctx.Err())
		}
	}
	return nil
}

func (s *Server) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := s.session.Leave(ctx); err != nil {
		s.log.Warn("membership not ended, ownership moves at the end of the lease", "error", err)
	}
}
