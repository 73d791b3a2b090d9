package standin

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
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
	// crashStatus is the exit status after a request with the crash marker.
	crashStatus = 3
)

// Upstream is a stand-in upstream.
type Upstream struct {
	config   Config
	log      *slog.Logger
	slots    chan struct{}
	pacer    *pacer
	listener *boundedListener
	router   *mux.Router

	// leave is closed once the stand-in asks to leave.
	leave     chan struct{}
	leaveOnce sync.Once
	// changed wakes the announcement loop.
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

// New returns a stand-in.
func New(config Config, log *slog.Logger) *Upstream {
	config = config.withDefaults()
	if config.Crash == nil {
		config.Crash = func() { os.Exit(crashStatus) }
	}
	u := &Upstream{
		config:       config,
		log:          log,
		slots:        make(chan struct{}, config.Announcement.Slots),
		pacer:        newPacer(config, time.Now()),
		leave:        make(chan struct{}),
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

// Run serves and announces. When the context ends, the stand-in leaves: it finishes the requests in flight and returns
// once it is drained.
func (u *Upstream) Run(ctx context.Context, listener net.Listener) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	u.bind(listener)
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

func (u *Upstream) bind(listener net.Listener) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.announcement.Address = listener.Addr().String()
	u.listener = newBoundedListener(listener, u.config.Announcement.Connections, u.config.ConnectCost)
}

// Drain makes the stand-in announce that it is draining. It still accepts work for the grace.
func (u *Upstream) Drain() {
	u.leaveOnce.Do(func() {
		u.mu.Lock()
		u.announcement.Draining = true
		u.state = StateLeaving
		u.graceEnds = time.Now().Add(u.config.GracePeriod)
		u.mu.Unlock()
		close(u.leave)
		u.wake()
	})
}

func (u *Upstream) wake() {
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

func (u *Upstream) announced() model.Announcement {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.announcement
}

// announceLoop announces until the stand-in is drained or the context ends.
func (u *Upstream) announceLoop(ctx context.Context) {
	client := &http.Client{Timeout: announceTimeout}
	defer client.CloseIdleConnections()
	var limit <-chan time.Time
	leave := u.leave
	unreachable := 0
	for turn := 0; ; turn++ {
		wait, told, err := u.announceOnce(ctx, client, turn)
		if err != nil {
			unreachable++
		} else {
			unreachable = 0
		}
		if leave == nil && u.mayEnd(told, unreachable) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-limit:
			u.log.Warn("not told that the upstream is drained", "limit", u.config.DrainLimit)
			u.waitIdle(ctx)
			return
		case <-leave:
			leave = nil
			limit = time.After(u.config.DrainLimit)
		case <-u.changed:
		case <-time.After(wait):
		}
	}
}

func (u *Upstream) announceOnce(ctx context.Context, client *http.Client, turn int) (wait time.Duration, told bool, err error) {
	announcement := u.announced()
	url := u.config.EntryURLs[turn%len(u.config.EntryURLs)]
	response, err := upstreamapi.Announce(ctx, client, url, announcement)
	if err != nil {
		u.log.Debug("announcement failed", "entry", url, "error", err)
		return announceRetry, false, err
	}
	wait = time.Duration(response.RenewMillis) * time.Millisecond
	if announcement.Draining {
		wait = min(wait, drainPoll)
	}
	told = announcement.Draining && response.State == string(model.UpstreamDrained)
	if told {
		u.setState(StateDrained)
		u.update(func(s *Stats) { s.ToldDrained = true })
	}
	return wait, told, nil
}

// mayEnd reports whether a leaving stand-in may end: it was told that it is drained, or no entry VM is reachable
// anymore, and nothing is in flight.
func (u *Upstream) mayEnd(told bool, unreachable int) bool {
	if !told && unreachable < len(u.config.EntryURLs) {
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

// advanceVersions serves a new index version on schedule and retires the oldest one.
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
	u.wake()
}

// Serve runs a stand-in on its announced address until the context ends and it is drained.
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
