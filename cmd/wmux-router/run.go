package main

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/callermem"
	"github.com/wisteriamux/wisteriamux/internal/cli"
	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/relay"
	"github.com/wisteriamux/wisteriamux/internal/router"
	"github.com/wisteriamux/wisteriamux/internal/security"
	"github.com/wisteriamux/wisteriamux/internal/settings"
	"github.com/wisteriamux/wisteriamux/internal/telemetry"
	"github.com/wisteriamux/wisteriamux/platform"
)

const (
	// headerTimeout exceeds the time that callers may take for a header by a margin, because both measure it.
	headerTimeout = 3500 * time.Millisecond
	// idleTimeout exceeds the time for which callers may keep a connection idle, so that the server does not close it
	// first.
	idleTimeout = 60 * time.Second
	// usableExtraShare is the fraction of the allowed extra requests that this VM uses. The rest allows for the
	// difference between its own count of requests and the upstreams' count.
	usableExtraShare = 0.9
)

// processingTime is the time to read a request and to assemble its response on one full core. With less than one core,
// both take proportionally longer.
const processingTime = 2400 * time.Microsecond

// answerMargin returns the time before the deadline of a request that is reserved for assembling and sending its
// response: the configured margin plus the processing time with the process's share of a core.
func answerMargin(loaded settings.Router) time.Duration {
	return time.Duration(loaded.AnswerMarginMillis)*time.Millisecond +
		time.Duration(float64(processingTime)/min(1, loaded.CPUShare))
}

func run(ctx context.Context, path string, loaded settings.Router) error {
	output := telemetry.NewBoundedWriter(os.Stdout)
	defer output.Close()
	log := telemetry.NewLeveledLogger(output, "wmux-router", loaded.ID, loaded.LogLevel)
	callerListener, err := listen(loaded.CallerAddress)
	if err != nil {
		return err
	}
	healthListener, err := listen(loaded.HealthAddress)
	if err != nil {
		return err
	}
	transport, err := security.NewTransport(loaded.TLS)
	if err != nil {
		return err
	}
	control := newControlClient(loaded, transport)
	defer control.Close()
	metrics, err := newMetrics(loaded)
	if err != nil {
		return err
	}
	r, relayServer, err := newRouter(loaded, transport, control, metrics, log)
	if err != nil {
		return err
	}
	watchCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go r.WatchControl(watchCtx)
	go r.SweepIdleConnections(watchCtx)

	cli.OnReload(func() { reload(path, r, log) })
	callers := newCallerMemory(loaded, log)
	callermem.LimitRuntime(loaded.RuntimeBytes())
	var stopping platform.Stop
	ready := func() bool { return !stopping.Begun() && r.View().Ready() && r.ServesKeys() }
	serve(callers.Listener(healthListener, systemHeadLimit), callers, platform.NewReadyHandler(ready), log)
	observe, err := serveMetrics(loaded, r, callers, metrics, output, log)
	if err != nil {
		return err
	}
	server := serve(callers.Listener(callerListener, headLimit(r)), callers, platform.NewCallerHandler(r, &stopping, observe, log), log)
	if revoke := loaded.KeyRevokeMillis; revoke > 0 && revoke <= float64(router.MinKeyRevoke.Milliseconds()) {
		log.Warn("key_revoke_ms is too short for an election", "key_revoke_ms", revoke, "above_ms", router.MinKeyRevoke.Milliseconds())
	}
	log.Info("started", "caller_address", loaded.CallerAddress, "health_address", loaded.HealthAddress,
		"extra_share", loaded.ExtraShare, "extra_floor", loaded.ExtraFloor, "answer_margin_ms", loaded.AnswerMarginMillis,
		"key_revoke_ms", loaded.KeyRevokeMillis)
	<-ctx.Done()
	exitAt := time.Now().Add(time.Duration(loaded.LameDuckMillis+loaded.DrainMillis) * time.Millisecond)
	stopping.Begin(exitAt.Add(-finalAnswers))
	r.Leave()
	relayServer.NotifyShutdown()
	shutDown(server, relayServer, loaded, exitAt, log)
	return nil
}

// newControlClient returns a client of the control group that connects over the transport.
func newControlClient(loaded settings.Router, transport *security.Transport) *controlrpc.Client {
	dial := transport.Dialer(controlrpc.PlainDialer, security.RoleControl)
	return controlrpc.NewClient(loaded.ControlAddresses(), dial)
}

// newRouter returns the router and the relay server, which sends attempts to upstreams for other entry VMs. The relay
// server listens only if the settings contain a relay address.
func newRouter(loaded settings.Router, transport *security.Transport, control *controlrpc.Client, metrics *telemetry.Metrics, log *slog.Logger) (*router.Router, *relay.Server, error) {
	r := router.New(router.Config{
		ID: loaded.ID, FailureDomain: loaded.FailureDomain, Seeds: loaded.ControlAddresses(),
		ExtraShare: usableExtraShare * loaded.ExtraShare, ExtraFloor: loaded.ExtraFloor,
		ExtraWindow:  time.Duration(loaded.ExtraWindowSeconds * float64(time.Second)),
		AnswerMargin: answerMargin(loaded), Admission: loaded.Admission,
		RelayAddress: loaded.RelayAddress, DialRelay: transport.Dialer(controlrpc.PlainDialer, security.RoleEntry),
		MaxResponseBytes: loaded.MaxResponseKB << 10, ResponseMemoryBytes: loaded.ResponseMemoryKB << 10,
		SearchMemoryBytes: loaded.SearchBytes(),
		KeyRevoke:         time.Duration(loaded.KeyRevokeMillis * float64(time.Millisecond)),
		QuotaWindow:       time.Duration(loaded.QuotaWindowSeconds * float64(time.Second)), QuotaOverage: loaded.QuotaOverage,
		ColdOverage: loaded.ColdOverage, ColdSlack: loaded.ColdSlack, Pace: loaded.Pace,
		ObserveStep: stepObserver(metrics),
	}, control, platform.Codec{}, log)
	relayServer := relay.NewServer(r, log)
	if loaded.RelayAddress == "" {
		return r, relayServer, nil
	}
	listener, err := listen(loaded.RelayBindAddress())
	if err != nil {
		return nil, nil, err
	}
	go relayServer.Serve(transport.Listener(listener, security.RoleEntry))
	return r, relayServer, nil
}

// finalAnswers is the time before the exit at which requests that are still in flight are ended, so that their callers get an
// answer rather than a closed connection.
const finalAnswers = 150 * time.Millisecond

// shutDown keeps serving for the lame-duck period, so that the load balancer notices that this VM is not ready, which
// takes several health checks. It then waits for the requests in flight.
func shutDown(server *callerServer, relayServer *relay.Server, loaded settings.Router, exitAt time.Time, log *slog.Logger) {
	log.Info("stopping", "lame_duck_ms", loaded.LameDuckMillis, "drain_ms", loaded.DrainMillis)
	time.Sleep(time.Duration(loaded.LameDuckMillis) * time.Millisecond)
	drainCtx, cancel := context.WithDeadline(context.Background(), exitAt)
	defer cancel()
	defer time.AfterFunc(time.Until(exitAt.Add(-finalAnswers)), server.endRequests).Stop()
	if err := server.Shutdown(drainCtx); err != nil {
		log.Warn("drain ended with requests in flight", "error", err)
	}
	relayServer.Wait(drainCtx)
	log.Info("stopped")
}

// reload applies the seeds of a changed settings file. All other settings take effect at the next start.
func reload(path string, r *router.Router, log *slog.Logger) {
	loaded, err := settings.LoadRouter(path)
	if err != nil {
		log.Warn("changed settings rejected", "code", fault.CodeOf(err), "error", err)
		return
	}
	r.SetSeeds(loaded.ControlAddresses())
	log.Info("settings reloaded", "seeds", len(loaded.Seeds))
}

func listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fault.New(fault.Unavailable, "router.listen", "%w", err)
	}
	return listener, nil
}

// callerServer is an HTTP server whose requests in flight can be ended.
type callerServer struct {
	*http.Server
	endRequests context.CancelFunc
}

func serve(listener net.Listener, callers *callermem.Memory, handler http.Handler, log *slog.Logger) *callerServer {
	requests, endRequests := context.WithCancel(context.Background())
	server := &callerServer{endRequests: endRequests, Server: &http.Server{
		// Only upstreams answer with success.
		Handler: handler, DisableGeneralOptionsHandler: true, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		ErrorLog:    slog.NewLogLogger(log.Handler(), slog.LevelWarn),
		BaseContext: func(net.Listener) context.Context { return requests },
	}}
	callers.Attach(server.Server)
	go func() {
		if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
			log.Error("listener failed", "address", listener.Addr().String(), "error", err)
		}
	}()
	return server
}
