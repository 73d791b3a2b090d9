package entry

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/admission"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/membership"
	"github.com/wisteriamux/wisteriamux/internal/model"
	"github.com/wisteriamux/wisteriamux/internal/ownerrpc"
	"github.com/wisteriamux/wisteriamux/internal/upstreamapi"
)

// poolSyncInterval is the time between adjustments of the pools to the served view.
const poolSyncInterval = time.Second

// Ownership tells which entry VM uses the slots of an upstream.
type Ownership string

// The kinds of ownership. With direct ownership, the baseline, each entry VM connects to every upstream by itself and
// limits its requests in flight to the slots without regard to the others.
const (
	OwnershipSingleOwner Ownership = "owner"
	OwnershipDirect      Ownership = "direct"
)

// Valid reports whether the ownership is known.
func (o Ownership) Valid() bool { return o == OwnershipSingleOwner || o == OwnershipDirect }

// job is a sub-request at its owner.
type job struct {
	sub     ownerrpc.SubRequest
	request *admission.Request[*job]
	pool    *pool
	ctx     context.Context
	cancel  context.CancelFunc
	done    func(ownerrpc.SubResult)
}

// pool holds the queue, the slots and the connections of one upstream. There is one pool for each upstream name as long
// as the upstream is in the view, so that a change of its settings cannot put more requests in flight than slots.
type pool struct {
	name string

	// mu guards the fields below.
	mu       sync.Mutex
	queue    *admission.Queue[*job]
	started  map[*job]time.Time
	client   *upstreamapi.Client
	upstream model.Upstream
	closed   bool
}

// owner runs sub-requests on the upstreams that this entry VM owns, or on all of them with direct ownership.
type owner struct {
	session *membership.Session
	guard   *crashGuard
	direct  bool

	// mu guards pools.
	mu    sync.Mutex
	pools map[string]*pool
}

func newOwner(session *membership.Session, guard *crashGuard, direct bool) *owner {
	return &owner{session: session, guard: guard, direct: direct, pools: map[string]*pool{}}
}

// run keeps pools of the owned upstreams ready, with connections, and closes those of upstreams that left.
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
	p.applyAnnouncement(upstream)
	return p
}

// applyAnnouncement applies a changed announcement. Requests in flight keep their slots and connections.
func (p *pool) applyAnnouncement(upstream model.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.client != nil && p.upstream.Announcement == upstream.Announcement {
		return
	}
	if p.client != nil {
		p.client.Close()
	}
	p.client = upstreamapi.NewClient(upstream.Address, upstream.Connections, upstream.Slots)
	p.queue.Resize(upstream.Slots)
	p.upstream = upstream
}

// closeIfIdle closes the connections of a pool without work.
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
		return nil, fault.New(fault.NotRun, "owner.push", "upstream %s has left", p.name)
	}
	return p.queue.Push(now, r)
}

func (p *pool) backlog() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue.Backlog()
}

// loads returns what this owner knows of the upstreams that it has worked with.
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
	if observed := p.queue.Observed(); !observed.IsZero() {
		load.Service = p.queue.ServiceTime()
		load.Age = now.Sub(observed)
	}
	// A request that runs for longer than expected shows a slow upstream before its result does.
	if oldestRunning := p.oldestRunning(now); load.Service > 0 && oldestRunning > load.Service {
		load.Service = oldestRunning
		load.Age = 0
	}
	return load
}

// oldestRunning returns the age of the request that has been running for longest. The caller holds mu.
func (p *pool) oldestRunning(now time.Time) time.Duration {
	var oldestRunning time.Duration
	for _, started := range p.started {
		oldestRunning = max(oldestRunning, now.Sub(started))
	}
	return oldestRunning
}

// backlog counts the sub-requests that wait for or run on the upstream.
func (o *owner) backlog(upstream string) int {
	o.mu.Lock()
	p, ok := o.pools[upstream]
	o.mu.Unlock()
	if !ok {
		return 0
	}
	return p.backlog()
}

// totalBacklog counts the sub-requests that wait for or run on any upstream.
func (o *owner) totalBacklog() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	total := 0
	for _, p := range o.pools {
		total += p.backlog()
	}
	return total
}

// submit queues a sub-request. done is called once with its result, unless the job is cancelled while it waits; ctx
// cancels the job as well once it runs.
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
		evicted.Payload.refuse(fault.New(fault.OverShare, "owner.submit", "gave way to a caller below its share"))
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

// stop cancels a job; true means that it was still waiting, has not run, and gets no result.
func (j *job) stop() bool {
	defer j.cancel()
	if j.pool == nil {
		return false
	}
	j.pool.mu.Lock()
	defer j.pool.mu.Unlock()
	return j.pool.queue.Remove(j.request)
}

// dispatch starts waiting jobs while slots are free.
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
			r.Payload.refuse(fault.New(fault.NotRun, "owner.dispatch", "no slot on %s in time", p.name))
		}
		if next == nil {
			return
		}
		go o.serve(p, client, next.Payload)
	}
}

// serve runs a job that holds a slot.
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

// sendGuarded waits until the request may share the upstream with others, checks again that the upstream takes work,
// and sends it.
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

// serviceTimeSample returns the service time to learn from a result. A cancelled request only shows that its service time is
// longer than its age.
func serviceTimeSample(expected time.Duration, result ownerrpc.SubResult, err error) time.Duration {
	if err == nil || (fault.Is(err, fault.Cancelled) && result.Service > expected) {
		return result.Service
	}
	return 0
}

// admit checks the lease, that the upstream still takes new work, and that this VM owns it unless the sender has seen a
// later view.
func (o *owner) admit(sub ownerrpc.SubRequest) (model.Upstream, error) {
	return o.admitWithView(o.session.ViewForNewWork, sub)
}

func (o *owner) admitWithView(lease func() (*membership.ServedView, error), sub ownerrpc.SubRequest) (model.Upstream, error) {
	current, err := lease()
	if err != nil {
		return model.Upstream{}, err
	}
	upstream, ok := current.Upstreams[sub.Upstream]
	if !ok || upstream.State != model.UpstreamReady {
		return upstream, fault.New(fault.Moved, "owner.admit", "upstream %s takes no new work", sub.Upstream)
	}
	if sub.Revision <= current.View.Revision && !o.owns(current, sub.Upstream) && !o.inHandover(current, sub) {
		return upstream, fault.New(fault.Moved, "owner.admit", "upstream %s has another owner", sub.Upstream)
	}
	return upstream, nil
}

// inHandover reports whether the sender could not know yet that the upstream has moved to another owner.
func (o *owner) inHandover(current *membership.ServedView, sub ownerrpc.SubRequest) bool {
	return sub.Revision < current.View.Revision && current.InHandover(sub.Upstream, o.session.Now())
}

func (o *owner) send(j *job, client *upstreamapi.Client, fresh bool, result *ownerrpc.SubResult) error {
	deadline, _ := j.ctx.Deadline()
	sub := j.sub
	call := upstreamapi.Call{
		RequestID:  sub.RequestID,
		Timeout:    time.Until(deadline),
		Version:    sub.Version,
		Generation: sub.Generation,
		Fresh:      fresh,
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
