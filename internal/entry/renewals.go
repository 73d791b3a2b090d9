package entry

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/controlstate"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/membership"
	"github.com/wisteriamux/wisteriamux/internal/model"
	"github.com/wisteriamux/wisteriamux/internal/ownerlink"
	"github.com/wisteriamux/wisteriamux/internal/ownerrpc"
)

const (
	// renewalBatchInterval is how often renewals are forwarded to the owners of the upstreams.
	renewalBatchInterval = 200 * time.Millisecond
	// checkInterval is how often the owned upstreams are checked.
	checkInterval = time.Second
	// lostAfter is the time without a renewal after which an upstream is declared lost if connecting to it fails too.
	lostAfter = 10 * time.Second
	// renewingTimeout is how long after its last renewal a process counts as alive: three renewal intervals.
	renewingTimeout = 3 * announceRenewMillis * time.Millisecond
	// minDrainTime is the shortest time from the start of a drain to the drained state. For that long another entry VM
	// may serve from an older view and send to the draining upstream: the length of a lease plus the time for which the
	// control group extends the lease of a VM with an older view.
	minDrainTime = 6 * time.Second
	// maxDrainTime is the time after which an upstream is drained even if not all entry VMs confirm it. It exceeds the
	// longest deadline of a request plus the wait for the outcome of a booking, so that no VM can have a request in
	// flight.
	maxDrainTime = minDrainTime + MaxTimeoutMillis*time.Millisecond + 2*outcomeWait
	// probeTimeout limits one attempt to connect to an upstream.
	probeTimeout = 500 * time.Millisecond
	// maxConcurrentProbes limits the probes that run at the same time when a whole failure domain stops renewing.
	maxConcurrentProbes = 32
)

// ownedUpstream is what the owner has observed of one of its upstreams. The times are monotonic.
type ownedUpstream struct {
	address string
	state   model.UpstreamState
	// since is when this VM first saw the upstream as its own in this state and at this address.
	since time.Duration
	// renewed is the time of the last renewal, or the start of the ownership if there was none.
	renewed time.Duration
	// checking is set while a check runs in its own goroutine.
	checking bool
}

// renewals tracks the renewals of the upstreams that this entry VM owns and forwards those of other upstreams to their
// owners. It proposes the states lost and drained for its own upstreams.
type renewals struct {
	session     *membership.Session
	control     membership.Control
	ownerClient *ownerlink.Client
	log         *slog.Logger
	// inFlight returns the number of requests that this owner has queued or running at an upstream.
	inFlight   func(upstream string) int
	probe      func(ctx context.Context, address string) error
	probeSlots chan struct{}

	// mu guards the fields below.
	mu      sync.Mutex
	owned   map[string]*ownedUpstream
	pending map[string]map[string]ownerrpc.Renewal
}

func newRenewals(session *membership.Session, control membership.Control, ownerClient *ownerlink.Client, inFlight func(string) int, log *slog.Logger) *renewals {
	return &renewals{
		session: session, control: control, ownerClient: ownerClient, log: log, inFlight: inFlight,
		probe: probeAddress, probeSlots: make(chan struct{}, maxConcurrentProbes),
		owned: map[string]*ownedUpstream{}, pending: map[string]map[string]ownerrpc.Renewal{},
	}
}

func probeAddress(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return fault.New(fault.Unavailable, "renewals.probe", "%w", err)
	}
	_ = conn.Close()
	return nil
}

// handle accepts a renewal that an upstream sent to this entry VM, or queues it for the owner of the upstream.
func (r *renewals) handle(current *membership.ServedView, renewal ownerrpc.Renewal) {
	owner, ok := current.Owners[renewal.Name]
	if !ok {
		return
	}
	if owner.ID == r.session.Member.ID {
		r.accept([]ownerrpc.Renewal{renewal})
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	batch, ok := r.pending[owner.RPCAddress]
	if !ok {
		batch = map[string]ownerrpc.Renewal{}
		r.pending[owner.RPCAddress] = batch
	}
	batch[renewal.Name] = renewal
}

// accept records renewals of upstreams that this VM owns, and ignores others.
func (r *renewals) accept(batch []ownerrpc.Renewal) {
	now := r.session.Clock.Mono()
	current := r.session.LatestView()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, renewal := range batch {
		upstream, ok := current.Upstreams[renewal.Name]
		if !ok || upstream.Address != renewal.Address || current.Owners[renewal.Name].ID != r.session.Member.ID {
			continue
		}
		r.track(upstream, now).renewed = now
	}
}

// track returns the entry of an owned upstream, created or updated to its state and address. The caller holds mu.
func (r *renewals) track(upstream model.Upstream, now time.Duration) *ownedUpstream {
	entry, ok := r.owned[upstream.Name]
	if !ok || entry.address != upstream.Address {
		entry = &ownedUpstream{address: upstream.Address, state: upstream.State, since: now, renewed: now}
		r.owned[upstream.Name] = entry
	}
	if entry.state != upstream.State {
		entry.state = upstream.State
		entry.since = now
	}
	return entry
}

// isRenewing reports whether the process at the address renewed within renewingTimeout. An upstream that this VM has
// just come to own counts as renewing, because its renewals may have gone to the previous owner.
func (r *renewals) isRenewing(args ownerrpc.IdentityArgs) bool {
	now := r.session.Clock.Mono()
	upstream, ok := r.session.LatestView().Upstreams[args.Name]
	if !ok || upstream.Address != args.Address {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return now-r.track(upstream, now).renewed < renewingTimeout
}

// run forwards renewals and checks the owned upstreams until the context ends.
func (r *renewals) run(ctx context.Context) {
	forward := time.NewTicker(renewalBatchInterval)
	defer forward.Stop()
	check := time.NewTicker(checkInterval)
	defer check.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-forward.C:
			r.forward(ctx)
		case <-check.C:
			r.checkOwned(ctx)
		}
	}
}

// forward sends the pending renewals to the owners of the upstreams. A failed batch is not sent again, because the
// upstreams renew regularly.
func (r *renewals) forward(ctx context.Context) {
	r.mu.Lock()
	pending := r.pending
	r.pending = map[string]map[string]ownerrpc.Renewal{}
	r.mu.Unlock()
	for address, batch := range pending {
		args := ownerrpc.RenewalsArgs{}
		for _, renewal := range batch {
			args.Renewals = append(args.Renewals, renewal)
		}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, membership.CallTimeout)
			defer cancel()
			if err := r.ownerClient.Call(ctx, address, "Renewals", args, &ownerrpc.RenewalsReply{}); err != nil {
				r.log.Debug("forwarding renewals failed", "address", address, "count", len(args.Renewals), "error", err)
			}
		}()
	}
}

// checkOwned starts the checks that are due for the owned upstreams, unless this VM holds no lease. It forgets
// upstreams that moved to another owner.
func (r *renewals) checkOwned(ctx context.Context) {
	current, _, err := r.session.LeasedInstance()
	if err != nil {
		return
	}
	now := r.session.Clock.Mono()
	r.mu.Lock()
	defer r.mu.Unlock()
	for name := range r.owned {
		if current.Owners[name].ID != r.session.Member.ID {
			delete(r.owned, name)
		}
	}
	for _, upstream := range current.View.Upstreams {
		if current.Owners[upstream.Name].ID != r.session.Member.ID {
			continue
		}
		entry := r.track(upstream, now)
		if entry.checking {
			continue
		}
		r.checkOne(ctx, upstream, entry, now)
	}
}

// checkOne starts the check that is due for one upstream: whether a draining one is drained, or whether one that
// stopped renewing is lost. The caller holds mu.
func (r *renewals) checkOne(ctx context.Context, upstream model.Upstream, entry *ownedUpstream, now time.Duration) {
	active := upstream.State == model.UpstreamReady || upstream.State == model.UpstreamDraining
	switch {
	case upstream.State == model.UpstreamDraining && now-entry.since >= minDrainTime && r.inFlight(upstream.Name) == 0:
		entry.checking = true
		overdue := now-entry.since >= maxDrainTime
		go r.runCheck(entry, func() {
			if overdue || r.isIdleAtPeers(ctx, upstream.Name) {
				r.propose(ctx, upstream, model.UpstreamDrained)
			}
		})
	case active && now-entry.renewed >= lostAfter:
		entry.checking = true
		go r.runCheck(entry, func() { r.checkLost(ctx, upstream, entry) })
	}
}

// isIdleAtPeers reports whether no other entry VM has a request in flight at the upstream. It asks all of them, because
// any may have owned the upstream before.
func (r *renewals) isIdleAtPeers(ctx context.Context, upstream string) bool {
	ctx, cancel := context.WithTimeout(ctx, membership.CallTimeout)
	defer cancel()
	for _, member := range r.session.LatestView().View.Members {
		if member.ID == r.session.Member.ID {
			continue
		}
		var reply ownerrpc.InFlightReply
		err := r.ownerClient.Call(ctx, member.RPCAddress, "InFlight", ownerrpc.InFlightArgs{Upstream: upstream}, &reply)
		if err != nil || reply.Count > 0 {
			r.log.Info("upstream not drained yet", "upstream", upstream, "member", member.ID, "in_flight", reply.Count, "error", err)
			return false
		}
	}
	return true
}

// runCheck runs a check and then marks it as finished.
func (r *renewals) runCheck(entry *ownedUpstream, action func()) {
	action()
	r.mu.Lock()
	defer r.mu.Unlock()
	entry.checking = false
}

// checkLost proposes the state lost if the upstream neither renews nor accepts connections. It probes the address
// twice, because a single failure may be a lost packet.
func (r *renewals) checkLost(ctx context.Context, upstream model.Upstream, entry *ownedUpstream) {
	r.probeSlots <- struct{}{}
	defer func() { <-r.probeSlots }()
	for range 2 {
		if r.probe(ctx, upstream.Address) == nil {
			return
		}
	}
	r.mu.Lock()
	silent := r.session.Clock.Mono()-entry.renewed >= lostAfter
	r.mu.Unlock()
	if silent {
		r.propose(ctx, upstream, model.UpstreamLost)
	}
}

func (r *renewals) propose(ctx context.Context, upstream model.Upstream, state model.UpstreamState) {
	if _, _, err := r.session.LeasedInstance(); err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, membership.CallTimeout)
	defer cancel()
	set := controlstate.SetUpstreamState{Name: upstream.Name, State: state, Instance: upstream.Instance}
	if _, err := r.control.Propose(ctx, controlstate.Command{SetUpstreamState: &set}); err != nil {
		r.log.Warn("proposing the upstream state failed", "upstream", upstream.Name, "state", state, "error", err)
		return
	}
	r.log.Info("upstream state recorded", "upstream", upstream.Name, "state", state)
	r.session.TriggerRenewal()
}
