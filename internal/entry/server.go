// Package entry implements the entry daemon. It accepts callers' searches and bookings and routes them to the entry VMs
// that own the upstreams, sends requests to the upstreams that it owns itself, and accepts upstreams' announcements.
package entry

import (
	"cmp"
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
	"github.com/wisteriamux/wisteriamux/internal/callermem"
	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/membership"
	"github.com/wisteriamux/wisteriamux/internal/model"
	"github.com/wisteriamux/wisteriamux/internal/ownerrpc"
	"github.com/wisteriamux/wisteriamux/internal/responsemem"
	"github.com/wisteriamux/wisteriamux/internal/rpcconn"
	"github.com/wisteriamux/wisteriamux/internal/telemetry"
	"github.com/wisteriamux/wisteriamux/internal/trace"
)

const (
	readHeaderTimeout  = 2 * time.Second
	defaultBodyTimeout = 5 * time.Second
	keepAliveTimeout   = 2 * time.Minute
	// maxHeaderBytes limits the size of the request header; net/http answers a larger one with status 431.
	maxHeaderBytes = 16 << 10
	// drainPollInterval is how often a planned stop checks whether the requests of peers have finished.
	drainPollInterval = 10 * time.Millisecond
	// finalAnswers is the time before the end of a planned stop at which requests that are still in flight are ended, so that
	// their callers get an answer rather than a closed connection.
	finalAnswers = 150 * time.Millisecond
	// leaveTimeout limits the proposal that ends the membership.
	leaveTimeout = 2 * time.Second
	// peerLinger is how long a VM that has left the membership still answers its peers: one renewal interval, within
	// which they learn of the new membership, and some time for that renewal. If it closed the connections earlier, its
	// peers would get unknown outcomes instead of refusals.
	peerLinger = membership.RenewInterval + 500*time.Millisecond
	// retireTimeout limits how long a planned stop waits for the new owners, in case the control group is unreachable.
	// It is longer than the time after which every entry VM has applied a change or lost its lease.
	retireTimeout = 7 * time.Second
	// replyTimeout limits how long a planned stop waits for pending replies to peers before it closes the connections.
	replyTimeout = time.Second
)

// Config holds the settings of an entry daemon.
type Config struct {
	ID            string
	FailureDomain string
	// LameDuck is how long the health check fails before the listener closes, so that the load balancer stops sending
	// requests first.
	LameDuck time.Duration
	// DrainTimeout limits how long a planned stop waits for requests in flight.
	DrainTimeout time.Duration
	// Ownership, Balance and Hedging select between the default behaviour and baselines for comparison. Empty values
	// mean OwnershipSingleOwner and balance.Observed.
	Ownership Ownership
	Balance   balance.Policy
	Hedging   bool
	// ResponseMemoryBytes limits the memory of all responses of upstreams above 64 KiB that are being read; 0 means the
	// default of 16 MiB.
	ResponseMemoryBytes int64
	// Callers bounds what callers make the process hold; nil means no bound.
	Callers *callermem.Memory
	// BodyTimeout limits the time to read a request body; 0 means the default of 5 s.
	BodyTimeout time.Duration
	// Metrics holds the metric instruments; nil disables metrics.
	Metrics *telemetry.Metrics
	// Recorder writes the events of the state machines to a trace; nil records nothing.
	Recorder *trace.Recorder
}

// Server is an entry daemon.
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
	objectives   *objectives
	log          *slog.Logger

	http *http.Server
	// endRequests ends the requests in flight of callers.
	endRequests context.CancelFunc
	// nextID is the last ID given to a sub-request.
	nextID atomic.Uint64
	// draining is set at the start of a planned stop and makes the health check fail.
	draining atomic.Bool

	// peerCalls counts the connections of peers that are being served.
	peerCalls sync.WaitGroup
	// peerMu guards peerConns and peersClosed.
	peerMu      sync.Mutex
	peerConns   map[net.Conn]struct{}
	peersClosed bool
}

// New returns an entry daemon that joins the membership with rpcAddress as the address for its peers.
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
	memory := responsemem.New(cmp.Or(config.ResponseMemoryBytes, responsemem.DefaultBytes))
	owner := newOwner(session, guard, memory, config.Ownership == OwnershipDirect)
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
	bookingOwner := newBookingOwner(session, server.guard, memory, config.Recorder)
	server.bookings = newBookings(session, control, bookingOwner, server.guard, server.ownerClient, config.Recorder)
	server.renewals = newRenewals(session, control, server.ownerClient, server.inFlightAt, log)
	server.objectives = newObjectives(config.Metrics, session, server.inFlightAt)
	session.Load = server.objectives.loadReport
	requests, endRequests := context.WithCancel(context.Background())
	server.endRequests = endRequests
	server.http = &http.Server{
		Handler: server.routes(), DisableGeneralOptionsHandler: true, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: keepAliveTimeout,
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
		BaseContext: func(net.Listener) context.Context { return requests },
	}
	if config.Callers != nil {
		config.Callers.Attach(server.http)
	}
	return server
}

// inFlightAt returns the number of requests that this owner has queued or running at an upstream.
func (s *Server) inFlightAt(upstream string) int {
	return s.bookings.owner.inFlight(upstream) + s.owner.backlog(upstream)
}

// Run serves callers and peers until the context ends, and then drains.
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
	serveErr := make(chan error, 1)
	if s.config.Callers != nil {
		callers = s.config.Callers.Listener(callers, func() int64 { return maxHeaderBytes })
	}
	go func() { serveErr <- s.http.Serve(callers) }()
	select {
	case err := <-serveErr:
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
	go rpcconn.Accept(listener, s.log, func(conn net.Conn) { s.servePeer(server, conn) })
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
	rpcconn.Serve(server, conn)
	s.peerMu.Lock()
	defer s.peerMu.Unlock()
	delete(s.peerConns, conn)
}

// closePeers stops the owner service. It reads no further calls, and waits up to replyTimeout for the replies to those
// that it has read.
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
		s.log.Debug("closing connections of peers with unanswered calls")
	}
	s.peerMu.Lock()
	defer s.peerMu.Unlock()
	for conn := range s.peerConns {
		_ = conn.Close()
	}
}

// stopReading makes net/rpc stop reading calls. It then waits for the pending replies of a connection and closes it.
func (s *Server) stopReading() {
	s.peerMu.Lock()
	defer s.peerMu.Unlock()
	s.peersClosed = true
	for conn := range s.peerConns {
		_ = conn.SetReadDeadline(time.Now())
	}
}

// drain performs a planned stop that interrupts no request:
//   - The health check fails, so that the load balancer moves callers to other VMs, and their requests finish.
//   - Ownership of the upstreams moves to other VMs while peers are still served.
//   - Work that peers sent before finishes, and new work is refused as not run.
//   - This VM leaves the membership.
func (s *Server) drain() error {
	s.draining.Store(true)
	s.log.Info("draining", "lame_duck", s.config.LameDuck, "drain_timeout", s.config.DrainTimeout)
	ctx, cancel := context.WithTimeout(context.Background(), s.config.LameDuck+s.config.DrainTimeout)
	defer cancel()
	retireCtx, cancelRetire := context.WithTimeout(ctx, s.config.LameDuck+retireTimeout)
	defer cancelRetire()
	retired := make(chan error, 1)
	go func() { retired <- s.session.Retire(retireCtx) }()
	defer time.AfterFunc(s.config.LameDuck+s.config.DrainTimeout-finalAnswers, s.endRequests).Stop()
	time.Sleep(s.config.LameDuck)
	err := s.http.Shutdown(ctx)
	if retireErr := <-retired; retireErr != nil {
		s.log.Warn("moving ownership to other entry VMs failed; stopping anyway", "code", fault.CodeOf(retireErr), "error", retireErr)
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

// waitForWork waits until the outcomes of bookings are recorded and the sub-requests of peers have finished. New work
// of peers is refused, so that their number falls to zero.
func (s *Server) waitForWork(ctx context.Context) error {
	recorded := make(chan struct{})
	go func() {
		s.bookings.activeRuns.Wait()
		close(recorded)
	}()
	select {
	case <-recorded:
	case <-ctx.Done():
		return fault.New(fault.Internal, "entry.finish", "booking outcomes are not recorded yet: %w", ctx.Err())
	}
	for s.bookings.owner.totalInFlight()+s.owner.totalBacklog() > 0 {
		select {
		case <-time.After(drainPollInterval):
		case <-ctx.Done():
			return fault.New(fault.Internal, "entry.finish", "requests of peers are still in flight: %w", ctx.Err())
		}
	}
	return nil
}

func (s *Server) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := s.session.Leave(ctx); err != nil {
		s.log.Warn("leaving the membership failed; ownership moves when the lease ends", "error", err)
	}
}
