package router

import (
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/overload"
	"github.com/wisteriamux/wisteriamux/internal/relay"
	"github.com/wisteriamux/wisteriamux/internal/replica"
	"github.com/wisteriamux/wisteriamux/internal/route"
	"github.com/wisteriamux/wisteriamux/internal/upstreamconn"
)

const (
	// hedgeQuantile is the share of sub-requests that answer before a hedge. The budget allows about a quarter of extra
	// requests; some of it is for retries.
	hedgeQuantile = 0.9
	// defaultExpected is the answer time of a route without observations.
	defaultExpected = 20 * time.Millisecond
)

// Config holds the settings of a Router.
type Config struct {
	// ID names this process towards the control group.
	ID            string
	FailureDomain string
	Seeds         []string
	// ExtraShare is the part of a service's requests that may be sent in addition, and ExtraFloor the number of extra
	// requests that all VMs together may send besides, in one budget window.
	ExtraShare float64
	ExtraFloor float64
	// ExtraWindow is the budget window.
	ExtraWindow time.Duration
	// AnswerMargin is taken off the objective, besides the round trip to the caller, for putting the answer together.
	AnswerMargin time.Duration
	// RelayAddress is where this VM carries out attempts for entry VMs of other failure domains, and DialRelay opens
	// connections to those of others. Without an address the VM asks all upstreams directly.
	RelayAddress string
	DialRelay    controlrpc.Dialer
}

// Router serves requests. It is safe for concurrent use.
type Router struct {
	config  Config
	control Control
	log     *slog.Logger
	builder *viewBuilder
	// peers are the entry VMs that relay, nil if this VM takes no part in that.
	peers *relay.Peers
	view  atomic.Pointer[View]
	// listed and peersDigest are the last list of relays; the follower alone uses them.
	listed      []controlrpc.Peer
	peersDigest uint64
	started     time.Time

	seeds atomic.Pointer[[]string]

	// mu guards the fields below.
	mu      sync.Mutex
	tracker *replica.Tracker
	budgets map[string]*serviceBudget
	routes  map[string]*routeStats
	// overload is kept for each set of shards, which is named by its first shard.
	overload map[string]*overload.Controller
	// roundTrip is that to callers.
	roundTrip roundTrip
	counts    Counts
}

// Counts are totals since the start.
type Counts struct {
	// Refused counts searches that were refused under overload.
	Refused int64
	// Attempts counts requests to upstreams, and Extra those beyond the first of a request.
	Attempts, Extra int64
	// Relayed counts those of Attempts that were sent through another entry VM, and Executed those that this VM carried out
	// for others.
	Relayed, Executed int64
	// Denied counts extra attempts that were not made for lack of budget.
	Denied int64
}

// routeStats is what is observed of one route.
type routeStats struct {
	expected float64
	slow     replica.Quantile
	usual    usualLimit
	// split holds the running totals of weighted services.
	split map[string]float64
}

// New returns a router without a view. Follow and Sweep must run for it to serve.
func New(config Config, control Control, codec upstreamconn.Codec, log *slog.Logger) *Router {
	r := &Router{
		config: config, control: control, log: log,
		builder: &viewBuilder{domain: config.FailureDomain, codec: codec, upstreams: map[string]*upstream{}},
		tracker: replica.New(rand.Uint64()), budgets: map[string]*serviceBudget{}, started: time.Now(), routes: map[string]*routeStats{},
		overload: map[string]*overload.Controller{},
	}
	if config.RelayAddress != "" {
		r.peers = relay.NewPeers(config.ID, config.FailureDomain, config.DialRelay, log)
	}
	r.view.Store(&View{})
	r.seeds.Store(&config.Seeds)
	return r
}

// View returns the current view.
func (r *Router) View() *View { return r.view.Load() }

// SetSeeds replaces the addresses at which the control group is looked for when its known members are gone.
func (r *Router) SetSeeds(seeds []string) { r.seeds.Store(&seeds) }

// Counts returns the totals.
func (r *Router) Counts() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts
}

// Request is a caller's request.
type Request struct {
	upstreamconn.Request
	// Received is when the request was complete, and Limit the time that the caller waits from then on.
	Received time.Time
	Limit    time.Duration
}

// stats requires mu.
func (r *Router) stats(rt *route.Route) *routeStats {
	s, ok := r.routes[rt.Name]
	if !ok {
		s = &routeStats{expected: float64(defaultExpected), slow: replica.Quantile{Rank: hedgeQuantile}, split: map[string]float64{}}
		r.routes[rt.Name] = s
	}
	return s
}
