package entry

import (
	"context"
	"encoding/json"
	"log/slog"
	"strconv"
	"sync"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/admission"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/membership"
	"github.com/wisteriamux/wisteriamux/internal/model"
	"github.com/wisteriamux/wisteriamux/internal/ownerrpc"
	"github.com/wisteriamux/wisteriamux/internal/responsemem"
	"github.com/wisteriamux/wisteriamux/internal/upstreamapi"
)

// poolSyncInterval is how often the pools are brought in line with the served view.
const poolSyncInterval = time.Second

// Ownership selects which entry VMs send to an upstream.
type Ownership string

// With OwnershipSingleOwner, one entry VM sends all requests to an upstream, so that the limit of its slots holds for
// all entry VMs together. With OwnershipDirect, the baseline for comparison, each entry VM connects to every upstream
// and limits only its own requests in flight to the slots.
const (
	OwnershipSingleOwner Ownership = "owner"
	OwnershipDirect      Ownership = "direct"
)

// Valid reports whether o is one of the defined modes.
func (o Ownership) Valid() bool { return o == OwnershipSingleOwner || o == OwnershipDirect }

// job is a sub-request that is queued or running at its owner.
type job struct {
	sub     ownerrpc.SubRequest
	request *admission.Request[*job]
	// pool is nil for a job that admit refused.
	pool   *pool
	ctx    context.Context
	cancel context.CancelFunc
	// done takes the result.
	done func(ownerrpc.SubResult)
}

// pool holds the queue, the slots and the connections of one upstream. An upstream name keeps the same pool while it is
// in the view, so that a changed announcement cannot lead to more requests in flight than slots.
type pool struct {
	name string

	// mu guards the fields below.
	mu    sync.Mutex
	queue *admission.Queue[*job]
	// started holds the start time of each running job.
	started  map[*job]time.Time
	client   *upstreamapi.Client
	limiter  *upstreamapi.RateLimiter
	upstream model.Upstream
	closed   bool
}

// owner sends the sub-requests of all entry VMs to the upstreams that this VM owns, or those of this VM to all
// upstreams with direct ownership.
type owner struct {
	session *membership.Session
	guard   *crashGuard
	direct  bool
	memory  *responsemem.Memory

	// mu guards pools.
	mu    sync.Mutex
	pools map[string]*pool
}

func newOwner(session *membership.Session, guard *crashGuard, memory *responsemem.Memory, direct bool) *owner {
	return &owner{session: session, guard: guard, direct: direct, memory: memory, pools: map[string]*pool{}}
}

// run calls syncPools at each interval until the context ends.
func (o *owner) run(ctx context.Context) {
	ticker := time.NewTicker(poolSyncInterval)
	defer ticker.Stop()
	for {
		if current, err := o.session.ViewForNewWork(); err == nil {
			o.syncPools(current)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// syncPools creates pools for ready upstreams that this VM owns, and closes idle pools of upstreams that left the view
// or moved to another owner.
func (o *owner) syncPools(current *membership.ServedView) {
	for name, upstream := range current.Upstreams {
		if upstream.State == model.UpstreamReady && o.owns(current, name) {
			o.pool(upstream)
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for name, p := range o.pools {
		if _, ok := current.Upstreams[name]; !ok || !o.owns(current, name) {
			if p.closeIfIdle() {
				delete(o.pools, name)
			}
		}
	}
}

// ownsNow reports whether this VM owns the upstream in the served view.
func (o *owner) ownsNow(upstream string) bool { return o.owns(o.session.LatestView(), upstream) }

func (o *owner) owns(current *membership.ServedView, upstream string) bool {
	return o.direct || current.Owners[upstream].ID == o.session.Member.ID
}

func (o *owner) pool(upstream model.Upstream) *pool {
	o.mu.Lock()
	defer o.mu.Unlock()
	p, ok := o.pools[upstream.Name]
	if !ok {
		p = &pool{name: upstream.Name, queue: admission.NewQueue[*job](upstream.Slots, admission.EqualWeight), started: map[*job]time.Time{}}
		o.pools[upstream.Name] = p
	}
	p.applyAnnouncement(upstream, o.memory, o.guard.log)
	return p
}

// applyAnnouncement replaces the client and resizes the slots after a changed announcement. Requests in flight keep
// their slots and connections.
func (p *pool) applyAnnouncement(upstream model.Upstream, memory *responsemem.Memory, log *slog.Logger) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.client != nil && p.upstream.Announcement == upstream.Announcement {
		return
	}
	if p.client != nil {
		p.client.Close()
	}
	if p.limiter == nil || p.upstream.Instance != upstream.Instance {
		p.limiter = upstreamapi.NewRateLimiter(upstream.Name, log)
	}
	p.client = upstreamapi.NewClient(upstream.Address, upstream.Connections, upstream.Slots, p.limiter, memory)
	p.queue.Resize(upstream.Slots)
	p.upstream = upstream
}

// closeIfIdle closes the pool and reports true if no job is queued or running.
func (p *pool) closeIfIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.queue.Backlog() > 0 {
		return false
	}
	p.client.Close()
	p.closed = true
	return true
}

func (p *pool) push(now time.Time, r *admission.Request[*job]) (*admission.Request[*job], error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, fault.New(fault.NotRun, "owner.push", "upstream %s has left the view or moved to another owner", p.name)
	}
	return p.queue.Push(now, r)
}

func (p *pool) backlog() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue.Backlog()
}

// loads returns the load of each upstream that has a pool here.
func (o *owner) loads() []ownerrpc.SearchLoad {
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	loads := make([]ownerrpc.SearchLoad, 0, len(o.pools))
	for _, p := range o.pools {
		loads = append(loads, p.load(now))
	}
	return loads
}

func (p *pool) load(now time.Time) ownerrpc.SearchLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	load := ownerrpc.SearchLoad{Upstream: p.name, Backlog: p.queue.Backlog()}
	if observed := p.queue.LastObserved(); !observed.IsZero() {
		load.Service = p.queue.ServiceTime()
		load.Age = now.Sub(observed)
	}
	// A request that already runs for longer than the expected service time shows that the upstream is slow, before its
	// result arrives.
	if oldestRunning := p.oldestRunning(now); load.Service > 0 && oldestRunning > load.Service {
		load.Service = oldestRunning
		load.Age = 0
	}
	return load
}

// oldestRunning returns how long the oldest running request has been running. The caller holds mu.
func (p *pool) oldestRunning(now time.Time) time.Duration {
	var oldestRunning time.Duration
	for _, started := range p.started {
		oldestRunning = max(oldestRunning, now.Sub(started))
	}
	return oldestRunning
}

// backlog counts the sub-requests that are queued for or running on the upstream.
func (o *owner) backlog(upstream string) int {
	o.mu.Lock()
	p, ok := o.pools[upstream]
	o.mu.Unlock()
	if !ok {
		return 0
	}
	return p.backlog()
}

// totalBacklog counts the sub-requests that are queued for or running on any upstream.
func (o *owner) totalBacklog() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	total := 0
	for _, p := range o.pools {
		total += p.backlog()
	}
	return total
}

// submit queues a sub-request. done is called once with its result, unless stop removes the job from the queue. The end
// of ctx cancels the job once it is running.
func (o *owner) submit(ctx context.Context, sub ownerrpc.SubRequest, done func(ownerrpc.SubResult)) *job {
	now := time.Now()
	j := &job{sub: sub, done: done}
	j.ctx, j.cancel = context.WithTimeout(ctx, sub.Timeout)
	upstream, err := o.admit(sub)
	if err != nil {
		j.refuse(err)
		return j
	}
	p := o.pool(upstream)
	j.pool = p
	j.request = &admission.Request[*job]{Caller: sub.Caller, Deadline: now.Add(sub.Timeout), Payload: j}
	evicted, err := p.push(now, j.request)
	if err != nil {
		j.refuse(err)
		return j
	}
	if evicted != nil {
		evicted.Payload.refuse(fault.New(fault.OverShare, "owner.submit", "evicted from the full queue in favour of a caller below its fair share"))
	}
	o.dispatch(p)
	return j
}

// refuse ends a job that has not run.
func (j *job) refuse(err error) {
	j.cancel()
	result := ownerrpc.SubResult{ID: j.sub.ID, Fault: fault.ToWire(err)}
	if j.pool != nil {
		result.Backlog = j.pool.backlog()
	}
	j.done(result)
}

// stop cancels a job. It returns true if the job was still queued: it then never runs and done is not called.
func (j *job) stop() bool {
	defer j.cancel()
	if j.pool == nil {
		return false
	}
	j.pool.mu.Lock()
	defer j.pool.mu.Unlock()
	return j.pool.queue.Remove(j.request)
}

// dispatch starts queued jobs while slots are free, and refuses those that can no longer meet their deadline.
func (o *owner) dispatch(p *pool) {
	for {
		p.mu.Lock()
		next, dropped := p.queue.Next(time.Now())
		client := p.client
		if next != nil {
			p.started[next.Payload] = time.Now()
		}
		p.mu.Unlock()
		for _, r := range dropped {
			r.Payload.refuse(fault.New(fault.NotRun, "owner.dispatch", "no slot of upstream %s became free in time for the deadline", p.name))
		}
		if next == nil {
			return
		}
		go o.serve(p, client, next.Payload)
	}
}

// serve runs a job that holds a slot, releases the slot and delivers the result.
func (o *owner) serve(p *pool, client *upstreamapi.Client, j *job) {
	defer j.cancel()
	result := ownerrpc.SubResult{ID: j.sub.ID}
	err := o.sendGuarded(j, client, &result)
	result.Fault = fault.ToWire(err)
	p.mu.Lock()
	delete(p.started, j)
	p.queue.Done(time.Now(), serviceTimeSample(p.queue.ServiceTime(), result, err))
	result.Backlog = p.queue.Backlog()
	p.mu.Unlock()
	o.dispatch(p)
	j.done(result)
}

// sendGuarded waits until the crash guard lets the request through, checks again that the upstream takes work, and
// sends the request.
func (o *owner) sendGuarded(j *job, client *upstreamapi.Client, result *ownerrpc.SubResult) error {
	ticket, err := o.guard.beforeSend(j.ctx, guardedRequest{
		upstream:    j.sub.Upstream,
		group:       j.sub.Service + "/" + strconv.Itoa(j.sub.Shard),
		fingerprint: searchFingerprint(j.sub.Service, j.sub.Query),
		idempotent:  true,
		retry:       j.sub.AfterCrash,
	})
	if err != nil {
		return err
	}
	if _, err = o.admitWithView(o.session.ViewForAcceptedWork, j.sub); err == nil {
		started := time.Now()
		err = o.send(j, client, ticket.exclusive, result)
		result.Service = time.Since(started)
	}
	ticket.afterResult(err)
	return err
}

func searchFingerprint(service, query string) string {
	return Fingerprint(service, OperationSearch, []byte(query))
}

// serviceTimeSample returns the service time to record for a result, or 0 for none. A cancelled request gives a sample
// only if it ran longer than expected, because it shows only a lower bound.
func serviceTimeSample(expected time.Duration, result ownerrpc.SubResult, err error) time.Duration {
	if err == nil || (fault.Is(err, fault.Cancelled) && result.Service > expected) {
		return result.Service
	}
	return 0
}

// admit checks that this VM holds a lease and accepts new work, that the upstream is ready, and that this VM owns it.
// Ownership is not checked if the sender has seen a newer view.
func (o *owner) admit(sub ownerrpc.SubRequest) (model.Upstream, error) {
	return o.admitWithView(o.session.ViewForNewWork, sub)
}

// admitWithView makes the checks of admit against the view that leasedView returns. A job that has been accepted is
// checked against the view for accepted work, which a planned stop does not refuse.
func (o *owner) admitWithView(leasedView func() (*membership.ServedView, error), sub ownerrpc.SubRequest) (model.Upstream, error) {
	current, err := leasedView()
	if err != nil {
		return model.Upstream{}, err
	}
	upstream, ok := current.Upstreams[sub.Upstream]
	if !ok || upstream.State != model.UpstreamReady {
		return upstream, fault.New(fault.Moved, "owner.admit", "upstream %s is not ready for new requests", sub.Upstream)
	}
	if sub.Revision <= current.View.Revision && !o.owns(current, sub.Upstream) && !o.inHandover(current, sub) {
		return upstream, fault.New(fault.Moved, "owner.admit", "this entry VM does not own upstream %s", sub.Upstream)
	}
	return upstream, nil
}

// inHandover reports whether the upstream moved to another owner so recently that the sender may not have seen it yet.
func (o *owner) inHandover(current *membership.ServedView, sub ownerrpc.SubRequest) bool {
	return sub.Revision < current.View.Revision && current.InHandover(sub.Upstream, o.session.Now())
}

func (o *owner) send(j *job, client *upstreamapi.Client, fresh bool, result *ownerrpc.SubResult) error {
	deadline, _ := j.ctx.Deadline()
	sub := j.sub
	call := upstreamapi.Call{
		RequestID:     sub.RequestID,
		Timeout:       time.Until(deadline),
		Version:       sub.Version,
		Generation:    sub.Generation,
		DedicatedConn: fresh,
	}
	response, err := client.Search(j.ctx, call, upstreamapi.SearchRequest{Query: sub.Query, Shard: sub.Shard})
	result.Items = rawItems(response.Items)
	result.Version = response.Version
	result.Generation = response.Generation
	return err
}

func rawItems(items []json.RawMessage) [][]byte {
	raw := make([][]byte, len(items))
	for i, item := range items {
		raw[i] = item
	}
	return raw
}
