package main

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

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
	headerTimeout = 3 * time.Second
	// idleTimeout exceeds what callers are allowed to stay idle, so that this side does not close first.
	idleTimeout = 60 * time.Second
	// extraReserve is the part of the allowed extra requests that is used, the rest covers the difference between this
	// VM's count and the upstreams'.
	extraReserve = 0.9
)

// processingTime is what taking a request in and putting an answer together need of a whole core. With less than a core
// they take longer in proportion.
const processingTime = 2400 * time.Microsecond

// answerMargin is how long before an answer must leave it is put together.
func answerMargin(loaded settings.Router) time.Duration {
	return time.Duration(loaded.AnswerMarginMillis)*time.Millisecond +
		time.Duration(float64(processingTime)/min(1, loaded.CPUShare))
}

func run(ctx context.Context, path string, loaded settings.Router) error {
	output := telemetry.NewBoundedWriter(os.Stdout)
	defer output.Close()
	log := telemetry.NewLeveledLogger(output, "wmux-router", loaded.ID, loaded.LogLevel)
	callers, err := listen(loaded.CallerAddress)
	if err != nil {
		return err
	}
	health, err := listen(loaded.HealthAddress)
	if err != nil {
		return err
	}
	transport, err := security.NewTransport(loaded.TLS)
	if err != nil {
		return err
	}
	control := newControl(loaded, transport)
	defer control.Close()
	r, relays, err := newRouter(loaded, transport, control, log)
	if err != nil {
		return err
	}
	following, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go r.WatchControl(following)
	go r.SweepIdleConnections(following)

	cli.OnReload(func() { reload(path, r, log) })
	var stopping atomic.Bool
	ready := func() bool { return !stopping.Load() && r.View().Ready() }
	serve(health, platform.NewReadyHandler(ready), log)
	observe, err := serveMetrics(loaded, r, output, log)
	if err != nil {
		return err
	}
	server := serve(callers, platform.NewCallerHandler(r, stopping.Load, observe, log), log)
	log.Info("started", "caller_address", loaded.CallerAddress, "health_address", loaded.HealthAddress,
		"extra_share", loaded.ExtraShare, "extra_floor", loaded.ExtraFloor, "answer_margin_ms", loaded.AnswerMarginMillis)
	<-ctx.Done()
	stopping.Store(true)
	relays.NotifyShutdown()
	shutDown(server, relays, loaded, log)
	return nil
}

// newControl returns a client of the control group.
func newControl(loaded settings.Router, transport *security.Transport) *controlrpc.Client {
	dial := transport.Dialer(controlrpc.PlainDialer, security.RoleControl)
	return controlrpc.NewClient(loaded.ControlAddresses(), dial)
}

// newRouter returns a router, and the server that carries out attempts for other entry VMs if the settings name its
// address.
func newRouter(loaded settings.Router, transport *security.Transport, control *controlrpc.Client, log *slog.Logger) (*router.Router, *relay.Server, error) {
	r := router.New(router.Config{
		ID: loaded.ID, FailureDomain: loaded.FailureDomain, Seeds: loaded.ControlAddresses(),
		ExtraShare: extraReserve * loaded.ExtraShare, ExtraFloor: loaded.ExtraFloor,
		ExtraWindow:  time.Duration(loaded.ExtraWindowSeconds * float64(time.Second)),
		AnswerMargin: answerMargin(loaded),
		RelayAddress: loaded.RelayAddress, DialRelay: transport.Dialer(controlrpc.PlainDialer, security.RoleEntry),
	}, control, platform.Codec{}, log)
	relays := relay.NewServer(r, log)
	if loaded.RelayAddress == "" {
		return r, relays, nil
	}
	listener, err := listen(loaded.RelayBindAddress())
	if err != nil {
		return nil, nil, err
	}
	go relays.Serve(transport.Listener(listener, security.RoleEntry))
	return r, relays, nil
}

// shutDown serves on until the balancer has noticed that this VM is not ready, which takes a few of its questions, and
// then finishes the requests in flight.
func shutDown(server *http.Server, relays *relay.Server, loaded settings.Router, log *slog.Logger) {
	log.Info("stopping", "lame_duck_ms", loaded.LameDuckMillis, "drain_ms", loaded.DrainMillis)
	time.Sleep(time.Duration(loaded.LameDuckMillis) * time.Millisecond)
	draining, cancel := context.WithTimeout(context.Background(), time.Duration(loaded.DrainMillis)*time.Millisecond)
	defer cancel()
	if err := server.Shutdown(draining); err != nil {
		log.Warn("requests cut", "error", err)
	}
	relays.Wait(draining)
	log.Info("stopped")
}

// reload adopts the seeds of a changed settings file. Everything else takes effect at the next start.
func reload(path string, r *router.Router, log *slog.Logger) {
	loaded, err := settings.LoadRouter(path)
	if err != nil {
		log.Warn("changed settings refused", "code", fault.CodeOf(err), "error", err)
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

func serve(listener net.Listener, handler http.Handler, log *slog.Logger) *http.Server {
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelWarn),
	}
	go func() {
		if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
			log.Error("listener failed", "address", listener.Addr().String(), "error", err)
		}
	}()
	return server
}
