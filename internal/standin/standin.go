package standin

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/model"
	"github.com/wisteriamux/wisteriamux/internal/upstreamapi"
)

const (
	readHeaderTimeout = 2 * time.Second
	announceTimeout   = time.Second
	announceRetry     = 200 * time.Millisecond
	drainPoll         = 250 * time.Millisecond
	loadSamplePeriod  = 50 * time.Millisecond
	// crashStatus is the exit status of a process that received the crash marker.
	crashStatus = 3
)

// Upstream is a simulated upstream. It announces itself to entry VMs, serves searches and bookings with the configured
// service times, and counts what it receives and runs.
type Upstream struct {
	config Config
	log    *slog.Logger
	slots  chan struct{}
	// rateLimit is the rate limit that the responses name, nil or empty for none.
	rateLimit    atomic.Pointer[string]
	serviceTimes *serviceTimes
	listener     *boundedListener
	router       *mux.Router

	// draining is closed when the drain starts.
	draining  chan struct{}
	drainOnce sync.Once
	// changed makes the announcement loop announce without waiting for the renewal.
	changed chan struct{}

	// mu guards the fields below.
	mu           sync.Mutex
	announcement model.Announcement
	state        string
	graceEnds    time.Time
	stats        Stats
	bookings     map[string]int
	samples      []loadSample
}

// New creates a stand-in. Call Run or Serve to start it.
func New(config Config, log *slog.Logger) *Upstream {
	config = config.withDefaults()
	if config.Crash == nil {
		config.Crash = func() { os.Exit(crashStatus) }
	}
	u := &Upstream{
		config:       config,
		log:          log,
		slots:        make(chan struct{}, config.Announcement.Slots),
		serviceTimes: newServiceTimes(config, time.Now()),
		draining:     make(chan struct{}),
		changed:      make(chan struct{}, 1),
		announcement: config.Announcement,
		state:        StateServing,
		bookings:     map[string]int{},
	}
	u.router = mux.NewRouter()
	u.router.HandleFunc(upstreamapi.PathSearch, u.handleSearch).Methods(http.MethodPost)
	u.router.HandleFunc(upstreamapi.PathBook, u.handleBook).Methods(http.MethodPost)
	u.router.HandleFunc("/load", u.handleLoad).Methods(http.MethodGet)
	u.adminRoutes(u.router.PathPrefix("/admin").Subrouter())
	return u
}

// Run serves requests and announces the stand-in. When the context ends, it starts a drain: it finishes the requests in
// flight and returns once the stand-in is drained.
func (u *Upstream) Run(ctx context.Context, listener net.Listener) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	u.setListener(listener)
	server := &http.Server{Handler: u.router, ReadHeaderTimeout: readHeaderTimeout}
	go u.sampleLoad(background)
	go u.advanceVersions(background)
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		u.announceLoop(background)
	}()
	go func() {
		select {
		case <-ctx.Done():
			u.Drain()
		case <-background.Done():
		}
	}()
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(u.listener) }()
	select {
	case err := <-failed:
		return fault.New(fault.Internal, "standin.serve", "%w", err)
	case <-drained:
	}
	err := server.Shutdown(background)
	u.setState(StateEnded)
	return err
}

func (u *Upstream) setListener(listener net.Listener) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.announcement.Address = listener.Addr().String()
	u.listener = newBoundedListener(listener, u.config.Announcement.Connections, u.config.ConnectCost)
}

// Drain makes the stand-in announce that it is draining. It still accepts new work during the grace period.
func (u *Upstream) Drain() {
	u.drainOnce.Do(func() {
		u.mu.Lock()
		u.announcement.Draining = true
		u.state = StateLeaving
		u.graceEnds = time.Now().Add(u.config.GracePeriod)
		u.mu.Unlock()
		close(u.draining)
		u.signalChange()
	})
}

func (u *Upstream) signalChange() {
	select {
	case u.changed <- struct{}{}:
	default:
	}
}

func (u *Upstream) setState(state string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.state = state
}

func (u *Upstream) currentAnnouncement() model.Announcement {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.announcement
}

// announceLoop renews the announcement until the stand-in is drained or the context ends. A drain that no entry VM
// confirms within the drain limit ends once the stand-in is idle.
func (u *Upstream) announceLoop(ctx context.Context) {
	client := &http.Client{Timeout: announceTimeout}
	defer client.CloseIdleConnections()
	var limit <-chan time.Time
	draining := u.draining
	unreachable := 0
	for attempt := 0; ; attempt++ {
		wait, drained, err := u.announceOnce(ctx, client, attempt)
		if err != nil {
			unreachable++
		} else {
			unreachable = 0
		}
		if draining == nil && u.canStop(drained, unreachable) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-limit:
			u.log.Warn("no entry VM confirmed the drain in time", "limit", u.config.DrainLimit)
			u.waitIdle(ctx)
			return
		case <-draining:
			draining = nil
			limit = time.After(u.config.DrainLimit)
		case <-u.changed:
		case <-time.After(wait):
		}
	}
}

// announceOnce sends the announcement to one entry VM. It returns the time until the next announcement and whether the
// entry VM reported the draining stand-in as drained.
func (u *Upstream) announceOnce(ctx context.Context, client *http.Client, attempt int) (wait time.Duration, drained bool, err error) {
	announcement := u.currentAnnouncement()
	url := u.config.EntryURLs[attempt%len(u.config.EntryURLs)]
	response, err := upstreamapi.Announce(ctx, client, url, announcement)
	if err != nil {
		u.log.Debug("announcement failed", "entry", url, "error", err)
		return announceRetry, false, err
	}
	wait = time.Duration(response.RenewMillis) * time.Millisecond
	if announcement.Draining {
		wait = min(wait, drainPoll)
	}
	drained = announcement.Draining && response.State == string(model.UpstreamDrained)
	if drained {
		u.setState(StateDrained)
		u.update(func(s *Stats) { s.ToldDrained = true })
	}
	return wait, drained, nil
}

// canStop reports whether a draining stand-in may stop: an entry VM reported it as drained, or no entry VM is reachable
// anymore, and no request is queued or in flight.
func (u *Upstream) canStop(drained bool, unreachable int) bool {
	if !drained && unreachable < len(u.config.EntryURLs) {
		return false
	}
	return u.idle()
}

func (u *Upstream) idle() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.stats.InFlight == 0 && u.stats.Queued == 0
}

func (u *Upstream) waitIdle(ctx context.Context) {
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for !u.idle() && ctx.Err() == nil {
		<-ticker.C
	}
}

// advanceVersions adds an index version at the configured interval and retires the versions beyond the retained number.
func (u *Upstream) advanceVersions(ctx context.Context) {
	if u.config.VersionSchedule.Interval <= 0 {
		return
	}
	ticker := time.NewTicker(u.config.VersionSchedule.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			u.advanceVersion()
		}
	}
}

func (u *Upstream) advanceVersion() {
	u.mu.Lock()
	u.announcement.MaxVersion++
	keep := max(u.config.VersionSchedule.Retained, 1)
	if u.announcement.MaxVersion >= u.announcement.MinVersion+keep {
		u.announcement.MinVersion = u.announcement.MaxVersion - keep + 1
	}
	u.mu.Unlock()
	u.signalChange()
}

// Serve listens on the announced address and runs the stand-in until the context ends and the stand-in is drained.
func (u *Upstream) Serve(ctx context.Context) error {
	listener, err := net.Listen("tcp", u.config.Announcement.Address)
	if err != nil {
		return fault.New(fault.Settings, "standin.listen", "%w", err)
	}
	if err := u.Run(ctx, listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
