package router

import (
	"cmp"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/notice"
	"github.com/wisteriamux/wisteriamux/internal/overload"
	"github.com/wisteriamux/wisteriamux/internal/pace"
	"github.com/wisteriamux/wisteriamux/internal/ratelimit"
	"github.com/wisteriamux/wisteriamux/internal/reach"
	"github.com/wisteriamux/wisteriamux/internal/registry"
	"github.com/wisteriamux/wisteriamux/internal/relay"
	"github.com/wisteriamux/wisteriamux/internal/replica"
	"github.com/wisteriamux/wisteriamux/internal/responsemem"
	"github.com/wisteriamux/wisteriamux/internal/route"
	"github.com/wisteriamux/wisteriamux/internal/suspect"
	"github.com/wisteriamux/wisteriamux/internal/upstreamconn"
)

const (
	// hedgeQuantile is the quantile of the response time that is used as hedge delay. The budget allows about 25 % extra
	// requests, and some of them are needed for retries.
	hedgeQuantile = 0.9
	// defaultExpected is the expected response time of a route without samples.
	defaultExpected = 20 * time.Millisecond
)

// Config configures a Router.
type Config struct {
	// ID identifies this process to the control group.
	ID            string
	FailureDomain string
	Seeds         []string
	// ExtraShare is the number of extra attempts (hedges and retries) allowed per request of a service. ExtraFloor is the
	// number of extra attempts that all VMs together may send on top of that in one budget window.
	ExtraShare float64
	ExtraFloor float64
	// ExtraWindow is the budget window.
	ExtraWindow time.Duration
	// AnswerMargin is the time reserved for assembling the response. It is subtracted from the latency objective and the
	// time limit, as is the round trip to the caller.
	AnswerMargin time.Duration
	// RelayAddress is where this VM accepts attempts from entry VMs of other failure domains, and DialRelay connects to the
	// relay addresses of those VMs. Without an address the VM sends all requests to upstreams directly.
	RelayAddress string
	DialRelay    controlrpc.Dialer
	// DialUpstream opens connections to upstreams. The default is upstreamconn.DialTCP.
	DialUpstream upstreamconn.Dialer
	// MaxResponseBytes limits the body of the response to a forwarded request, and ResponseMemoryBytes the memory of all
	// large responses that are being read. If 0, the defaults of upstreamconn apply.
	MaxResponseBytes    int64
	ResponseMemoryBytes int64
	// KeyRevoke is the time after the acknowledgement of a table from which no request with a key that the table has removed may
	// run. 0 means that this is not required. BootTime reads CLOCK_BOOTTIME; the default is boottime.Now.
	KeyRevoke time.Duration
	BootTime  func() time.Duration
	// QuotaWindow is the span in which the requests of a team are counted, and QuotaOverage the fraction by which they may exceed
	// the quota.
	QuotaWindow  time.Duration
	QuotaOverage float64
	// ColdOverage is the factor by which the requests to a cold upstream in a second may exceed its rate, and ColdSlack the number
	// by which they may on top.
	ColdOverage, ColdSlack float64
	// SearchMemoryBytes limits the memory that searches in progress may take together; 0 means no limit.
	SearchMemoryBytes int64
	// Admission is AdmissionFraction, which is the default, or AdmissionRanked.
	Admission string
	// ObserveStep records the steps of searches. It may be nil.
	ObserveStep StepObserver
	// Pace makes upstreams get a smaller share of requests after they have started or recovered.
	Pace bool
}

// Router routes requests to upstreams. It is safe for concurrent use.
type Router struct {
	config  Config
	control ControlClient
	log     *slog.Logger
	builder *viewBuilder
	// memory is shared by all responses that this VM reads from upstreams.
	memory *responsemem.Memory
	// room bounds the searches in progress.
	room         *overload.Room
	roomRefusals atomic.Int64
	keys         *keyState
	quotas       *quotas
	// peers are the entry VMs that act as relays, nil if relaying is disabled on this VM.
	peers *relay.Peers
	view  atomic.Pointer[View]
	// relayList and peersDigest are the last list of relays and its digest. Only WatchControl uses them.
	relayList   []controlrpc.Peer
	peersDigest uint64
	// needsWholeTable is set after a change of the route table could not be applied. Only WatchControl uses it.
	needsWholeTable bool
	// suspectsDigest is the digest of the last list of candidates for a quarantine, and controlLeader the last leader. Only
	// WatchControl uses them.
	suspectsDigest uint64
	controlLeader  string
	// paceSettled is set once a leader has sent a view. Only WatchControl uses it.
	paceSettled bool
	started     time.Time

	seeds atomic.Pointer[[]string]
	// epoch ends when this VM loses its links to upstreams.
	epoch atomic.Pointer[linkEpoch]

	// mu guards the fields below.
	mu      sync.Mutex
	tracker *replica.Tracker
	budgets map[string]*serviceBudget
	routes  map[string]*routeStats
	// overload holds the controller of each set of shards, keyed by the first shard.
	overload map[string]*overload.Controller
	// admissions holds the state of AdmissionRanked.
	admissions admissions
	// limits holds the request rates that upstreams have named, and issuer the buckets of those upstreams that this VM
	// holds.
	limits *ratelimit.Book
	issuer *ratelimit.Issuer
	// coldFull is the time until which no permit is expected for cold upstreams.
	coldFull map[registry.Process]time.Time
	// links observes this VM's own links to upstreams.
	links *reach.Monitor
	// notices holds what upstreams have said of themselves.
	notices *notice.Book
	// pace holds the shares of upstreams that have started or recovered.
	pace *pace.Controller
	// taken holds the upstreams whose address another process has taken.
	taken map[location]bool
	// contests holds the upstreams whose address a later process reports.
	contests contests
	// endChecks holds the requests that ran at upstreams whose connections were closed, while it is being checked whether
	// these upstreams have ended.
	endChecks map[registry.Process][]suspect.End
	// guard knows the requests under which upstreams ended. reportDue wakes the goroutine that reports them.
	guard     *suspect.Guard
	reportDue chan struct{}
	// roundTrip estimates the round-trip time to callers.
	roundTrip roundTrip
	counts    Counts
}

// RankClasses is the number of ranks that are counted separately.
const RankClasses = 5

// Counts holds counters since the start of the process.
type Counts struct {
	// Refused counts requests refused under overload, and RefusedByRank those refused by AdmissionRanked by their rank. The last
	// element counts all less urgent ranks, too.
	Refused       int64
	RefusedByRank [RankClasses]int64
	// RefusedPercent is the highest fraction that AdmissionRanked refuses of the requests to a service or to a set of shards now.
	RefusedPercent int64
	// Attempts counts all attempts, and Extra those charged to the budget (hedges and retries).
	Attempts, Extra int64
	// Relayed counts those of Attempts that were sent through another entry VM, and Executed the attempts that this VM
	// executed on behalf of others.
	Relayed, Executed int64
	// Denied counts extra attempts that were not sent because the budget was exhausted.
	Denied int64
	// Oversized counts the responses that were given up because they exceeded a limit, and ResponseMemory is the number of
	// bytes that large responses occupy now.
	Oversized, ResponseMemory int64
	// Limited is the number of upstreams whose request rate is limited now, and LimitsUnreadable counts the responses that
	// named a limit that could not be read.
	Limited, LimitsUnreadable int64
	// NoRoom counts the attempts that were not sent because their upstream was at its rate limit.
	NoRoom int64
	// Partitioned is 1 while this VM has lost its links to all upstreams.
	Partitioned int64
	// UpstreamEnds counts the upstreams that ended while they ran requests of this VM.
	UpstreamEnds int64
	// Leaving and Paused are the numbers of upstreams that have said that they leave or want no requests now, and
	// NoticesUnreadable counts the responses that named a pause that could not be read.
	Leaving, Paused, NoticesUnreadable int64
	// Evacuated is the number of evacuated failure domains, and Withheld the number of their upstreams.
	Evacuated, Withheld int64
	// BelowShare is the number of upstreams that get less than their full share.
	BelowShare int64
	// Quarantined counts the requests that were refused because they are quarantined.
	Quarantined int64
	// KeysUnknown and KeysUnsure count the requests that were refused because no configuration contains their key, and because
	// this VM could not tell. KeyedSendsRefused counts the sends of accepted requests that were refused because of the key.
	KeysUnknown, KeysUnsure, KeyedSendsRefused int64
}

// routeStats holds the statistics of one route.
type routeStats struct {
	expected      float64
	slowQuantile  replica.Quantile
	limitEstimate limitEstimator
	// splitCredit holds the current weights of the smooth weighted round-robin over the route's services.
	splitCredit map[string]float64
}

// New returns a router with an empty view. It serves once WatchControl and SweepIdleConnections run.
func New(config Config, control ControlClient, codec upstreamconn.Codec, log *slog.Logger) *Router {
	if config.DialUpstream == nil {
		config.DialUpstream = upstreamconn.DialTCP
	}
	memory := responsemem.New(cmp.Or(config.ResponseMemoryBytes, responsemem.DefaultBytes))
	r := &Router{
		config: config, control: control, log: log, memory: memory, room: overload.NewRoom(config.SearchMemoryBytes), keys: newKeyState(config), quotas: newQuotas(config),
		builder: newViewBuilder(config, codec, memory),
		tracker: replica.New(rand.Uint64()), budgets: map[string]*serviceBudget{}, started: time.Now(), routes: map[string]*routeStats{},
		overload: map[string]*overload.Controller{}, limits: ratelimit.NewBook(), issuer: ratelimit.NewIssuer(), coldFull: map[registry.Process]time.Time{}, links: reach.New(),
		notices: notice.NewBook(), pace: pace.New(), taken: map[location]bool{}, contests: contests{}, endChecks: map[registry.Process][]suspect.End{}, guard: suspect.NewGuard(config.ID), reportDue: make(chan struct{}, 1),
	}
	r.builder.dialled = r.recordDial
	if config.RelayAddress != "" {
		r.peers = relay.NewPeers(config.ID, config.FailureDomain, config.DialRelay, log)
		r.peers.ObserveOverhead(func(overhead time.Duration) { r.observeRelayStep(StepRelayOverhead, overhead) })
	}
	r.epoch.Store(newLinkEpoch())
	r.view.Store(&View{})
	r.seeds.Store(&config.Seeds)
	return r
}

// View returns the current view.
func (r *Router) View() *View { return r.view.Load() }

// SetSeeds replaces the addresses used to find the control group when none of its known members respond.
func (r *Router) SetSeeds(seeds []string) { r.seeds.Store(&seeds) }

// Counts returns a snapshot of the counters.
func (r *Router) Counts() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := r.counts
	counts.Oversized, counts.ResponseMemory = r.memory.Exceeded(), r.memory.InUse()
	if r.links.Partitioned() {
		counts.Partitioned = 1
	}
	counts.Limited, counts.LimitsUnreadable = int64(len(r.limits.InForce())), r.limits.Unreadable()
	counts.NoticesUnreadable = r.notices.Unreadable()
	counts.KeysUnknown, counts.KeysUnsure, counts.KeyedSendsRefused = r.keys.unknown.Load(), r.keys.unsure.Load(), r.keys.refusedSends.Load()
	now := time.Now()
	counts.RefusedPercent = int64(100 * r.admissions.highestFraction(now))
	view := r.View()
	counts.Evacuated, counts.Withheld = int64(len(view.evacuated)), int64(len(view.withheld))
	counts.BelowShare = int64(len(r.pace.Below(now)))
	for _, n := range r.notices.InForce(now) {
		if !n.LeavingSince.IsZero() {
			counts.Leaving++
		}
		if n.PausedUntil.After(now) {
			counts.Paused++
		}
	}
	return counts
}

// Request is a caller's request.
type Request struct {
	upstreamconn.Request
	// Received is when the request was received, and Limit how long the caller waits from then on.
	Received time.Time
	Limit    time.Duration
	// Until is when this VM stops, zero if it does not. The request ends before.
	Until time.Time
	// Team is the team of the caller, nil if the route is public or the table has no teams. Key is the digest of its key, and
	// TableVersion the version of the table that maps the key to the team.
	Team         *route.Team
	Key          route.KeyDigest
	TableVersion uint64
	// quota is nil unless the request was counted against the quota of its team.
	quota *quotaMeter
	// fingerprints are empty until the router has taken the request.
	fingerprints suspect.Fingerprints
}

// end returns when the caller stops waiting, the time limit of the route is reached or this VM stops.
func (r *Request) end(rt *route.Route) time.Time {
	end := r.Received.Add(min(r.Limit, rt.Timeout))
	if !r.Until.IsZero() && r.Until.Before(end) {
		return r.Until
	}
	return end
}

// UsualResponseTime returns the usual response time of the route.
func (r *Router) UsualResponseTime(rt *route.Route) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.peekStats(rt).expected)
}

// stats returns the statistics of the route, creating them if needed. The caller must hold mu.
func (r *Router) stats(rt *route.Route) *routeStats {
	s, ok := r.routes[rt.Name]
	if !ok {
		s = newRouteStats()
		r.routes[rt.Name] = s
	}
	return s
}

// peekStats returns the statistics of the route without recording that it exists. The caller must hold mu.
func (r *Router) peekStats(rt *route.Route) *routeStats {
	if s, ok := r.routes[rt.Name]; ok {
		return s
	}
	return newRouteStats()
}

func newRouteStats() *routeStats {
	return &routeStats{expected: float64(defaultExpected), slowQuantile: replica.Quantile{Rank: hedgeQuantile}, splitCredit: map[string]float64{}}
}
