package entry

import (
	"context"
	"sync"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/booking"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/membership"
	"github.com/wisteriamux/wisteriamux/internal/model"
	"github.com/wisteriamux/wisteriamux/internal/ownerrpc"
	"github.com/wisteriamux/wisteriamux/internal/responsemem"
	"github.com/wisteriamux/wisteriamux/internal/trace"
	"github.com/wisteriamux/wisteriamux/internal/upstreamapi"
)

const (
	// outcomeWait is how long the owner waits for an upstream's response after the caller's deadline. If the HTTP
	// request ended at the deadline, the outcome of a slow booking would stay unknown.
	outcomeWait = 5 * time.Second
	// resolveGrace is how long Resolve waits for an attempt that may still be in transit. After it, the attempt is
	// refused if it arrives.
	resolveGrace = 50 * time.Millisecond
	// maxQueuedBookings limits the attempts that are queued for or running on one upstream.
	maxQueuedBookings = 256
)

// bookingPool holds the slots and the connections of one upstream of a booking service. Such an upstream takes no
// searches, so that its slots are not shared with a pool for searches.
type bookingPool struct {
	instance string
	address  string
	slots    chan struct{}
	limiter  *upstreamapi.RateLimiter
	client   *upstreamapi.Client
}

// bookingOwner sends booking attempts to the upstreams of this entry VM, each at most once.
type bookingOwner struct {
	session  *membership.Session
	guard    *crashGuard
	recorder *trace.Recorder
	memory   *responsemem.Memory

	// mu guards the fields below.
	mu    sync.Mutex
	table *booking.Table
	// changed is closed and replaced whenever an attempt is received or ends.
	changed chan struct{}
	// pools holds the pool of each upstream by name.
	pools map[string]*bookingPool
	// accepted counts the attempts of each upstream that are queued or running; totalAccepted is their sum.
	accepted      map[string]int
	totalAccepted int
}

func newBookingOwner(session *membership.Session, guard *crashGuard, memory *responsemem.Memory, recorder *trace.Recorder) *bookingOwner {
	return &bookingOwner{
		session: session, guard: guard, memory: memory, recorder: recorder,
		table: booking.NewTable(booking.DefaultLimits()), changed: make(chan struct{}),
		pools: map[string]*bookingPool{}, accepted: map[string]int{},
	}
}

// book runs an attempt and returns once its outcome is known or can no longer be learnt.
func (o *bookingOwner) book(args ownerrpc.BookArgs) ownerrpc.AttemptReply {
	ctx, cancel := context.WithTimeout(context.Background(), args.Timeout)
	defer cancel()
	// A refusal here leaves no record in the table. A later Resolve then refuses the attempt for good.
	if _, err := o.session.ViewForNewWork(); err != nil {
		return o.reply(args.Service, booking.TableResult{Outcome: booking.OutcomeNotRun, Reason: err.Error()})
	}
	received := o.receive(args)
	if !received.Send {
		return o.reply(args.Service, received)
	}
	response, err := o.run(ctx, args)
	event := booking.TableEvent{Kind: booking.TableFinish, Key: args.Key, Attempt: args.Attempt}
	event.Outcome, event.Response = outcomeOf(response, err)
	event.ResponseDigest = digestOf(event.Response)
	ended := o.finish(args.Upstream, event)
	if err != nil {
		ended.Reason = err.Error()
	}
	return o.reply(args.Service, ended)
}

func outcomeOf(response []byte, err error) (booking.Outcome, []byte) {
	switch fault.CodeOf(err) {
	case fault.NotRun, fault.Quarantined:
		return booking.OutcomeNotRun, nil
	}
	if err != nil {
		return booking.OutcomeUnknown, nil
	}
	return booking.OutcomeDone, response
}

func (o *bookingOwner) receive(args ownerrpc.BookArgs) booking.TableResult {
	event := booking.TableEvent{
		Kind: booking.TableReceive, Key: args.Key, Attempt: args.Attempt,
		Instance: args.OwnerInstance, Current: o.session.LastInstance(),
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	result := o.step(event)
	if result.Send {
		o.accepted[args.Upstream]++
		o.totalAccepted++
	}
	o.notifyResolvers()
	return result
}

func (o *bookingOwner) finish(upstream string, event booking.TableEvent) booking.TableResult {
	o.mu.Lock()
	defer o.mu.Unlock()
	result := o.step(event)
	o.totalAccepted--
	o.accepted[upstream]--
	if o.accepted[upstream] == 0 {
		delete(o.accepted, upstream)
	}
	o.notifyResolvers()
	return result
}

// step applies an event to the attempt table and records it in the trace. The caller holds mu.
func (o *bookingOwner) step(event booking.TableEvent) booking.TableResult {
	event.NowNanos = int64(o.session.Clock.Mono())
	result := o.table.Step(event)
	o.recorder.Record(trace.MachineBookingTable, 0, event, result)
	return result
}

// notifyResolvers wakes the resolve calls that wait for a change. The caller holds mu.
func (o *bookingOwner) notifyResolvers() {
	close(o.changed)
	o.changed = make(chan struct{})
}

// run sends the attempt to the upstream once a slot is free. An error with the code NotRun or Quarantined means that
// nothing was sent or that the upstream refused the attempt before it started it.
func (o *bookingOwner) run(ctx context.Context, args ownerrpc.BookArgs) ([]byte, error) {
	upstream, err := o.admit(args)
	if err != nil {
		return nil, err
	}
	pool, err := o.pool(upstream)
	if err != nil {
		return nil, err
	}
	select {
	case pool.slots <- struct{}{}:
		defer func() { <-pool.slots }()
	case <-ctx.Done():
		return nil, fault.New(fault.NotRun, "bookowner.run", "no slot of upstream %s became free before the deadline", args.Upstream)
	}
	ticket, err := o.guard.beforeSend(ctx, guardedRequest{
		upstream: args.Upstream, group: args.Service,
		fingerprint: Fingerprint(args.Service, OperationBooking, args.Payload),
	})
	if err != nil {
		return nil, err
	}
	response, err := o.send(ctx, pool, args)
	ticket.afterResult(err)
	return response, err
}

// send repeats the checks of admit, because the attempt may have waited for a slot, and sends the attempt.
func (o *bookingOwner) send(ctx context.Context, pool *bookingPool, args ownerrpc.BookArgs) ([]byte, error) {
	if _, err := o.admit(args); err != nil {
		return nil, err
	}
	deadline, _ := ctx.Deadline()
	left := time.Until(deadline)
	if left <= 0 {
		return nil, fault.New(fault.NotRun, "bookowner.send", "the deadline passed before the attempt was sent")
	}
	requestCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), left+outcomeWait)
	defer cancel()
	call := upstreamapi.Call{RequestID: args.RequestID, Timeout: left}
	return pool.client.Book(requestCtx, call, args.Key, args.Attempt, args.Payload)
}

// admit accepts an attempt only if this VM holds its lease as the owner instance that the intent names, if the sender
// instance is not fenced, and if the upstream is ready. The check of the sender guards against a sender that was frozen
// for longer than the attempt table keeps its entries: its delayed attempt would look like a new one.
func (o *bookingOwner) admit(args ownerrpc.BookArgs) (model.Upstream, error) {
	const op = "bookowner.admit"
	current, instance, err := o.session.LeasedInstance()
	if err != nil {
		return model.Upstream{}, err
	}
	if instance != args.OwnerInstance {
		return model.Upstream{}, fault.New(fault.NotRun, op, "the intent names owner instance %d, this VM now has instance %d", args.OwnerInstance, instance)
	}
	if current.IsFenced(args.SenderID, args.SenderInstance) {
		return model.Upstream{}, fault.New(fault.NotRun, op, "instance %d of sender %s is fenced", args.SenderInstance, args.SenderID)
	}
	upstream, ok := current.Upstreams[args.Upstream]
	if !ok || upstream.Service != args.Service || upstream.State != model.UpstreamReady {
		return model.Upstream{}, fault.New(fault.NotRun, op, "upstream %s is not ready for bookings of service %s", args.Upstream, args.Service)
	}
	return upstream, nil
}

// pool returns the pool of the upstream, which is replaced when its address or number of slots has changed. It refuses
// the attempt if too many others are queued.
func (o *bookingOwner) pool(upstream model.Upstream) (*bookingPool, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.accepted[upstream.Name] > maxQueuedBookings {
		return nil, fault.New(fault.NotRun, "bookowner.lane", "%d bookings already wait for or run on upstream %s", o.accepted[upstream.Name], upstream.Name)
	}
	current, ok := o.pools[upstream.Name]
	if ok && current.instance == upstream.Instance && current.address == upstream.Address && cap(current.slots) == upstream.Slots {
		return current, nil
	}
	created := &bookingPool{
		instance: upstream.Instance,
		address:  upstream.Address,
		slots:    make(chan struct{}, upstream.Slots),
	}
	if ok && current.instance == upstream.Instance {
		created.limiter = current.limiter
	} else {
		created.limiter = upstreamapi.NewRateLimiter(upstream.Name, o.guard.log)
	}
	created.client = upstreamapi.NewClient(upstream.Address, upstream.Connections, upstream.Slots, created.limiter, o.memory)
	o.pools[upstream.Name] = created
	return created, nil
}

// resolve returns the outcome of an attempt. It waits up to args.Wait for a running one, and refuses an attempt that
// has not arrived after resolveGrace.
func (o *bookingOwner) resolve(args ownerrpc.ResolveArgs) ownerrpc.AttemptReply {
	grace := time.After(min(resolveGrace, args.Wait))
	end := time.After(args.Wait)
	kind := booking.TablePeek
	for {
		result, changed := o.lookUp(kind, args)
		ended := result.Found && result.Outcome != booking.OutcomeRunning
		if ended || (kind == booking.TableResolve && !result.Found) {
			return o.reply("", result)
		}
		select {
		case <-changed:
		case <-grace:
			kind = booking.TableResolve
		case <-end:
			result, _ = o.lookUp(booking.TableResolve, args)
			return o.reply("", result)
		}
	}
}

func (o *bookingOwner) lookUp(kind booking.TableEventKind, args ownerrpc.ResolveArgs) (booking.TableResult, <-chan struct{}) {
	event := booking.TableEvent{
		Kind: kind, Key: args.Key, Attempt: args.Attempt, Instance: args.OwnerInstance, Current: o.session.LastInstance(),
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	result := o.step(event)
	return result, o.changed
}

func (o *bookingOwner) reply(service string, result booking.TableResult) ownerrpc.AttemptReply {
	reply := ownerrpc.AttemptReply{Outcome: result.Outcome, Response: result.Response, Reason: result.Reason}
	if service != "" {
		reply.Loads = o.loads(service)
	}
	return reply
}

// loads returns the loads of the upstreams of the service that this VM owns.
func (o *bookingOwner) loads(service string) []ownerrpc.BookingLoad {
	current := o.session.LatestView()
	o.mu.Lock()
	defer o.mu.Unlock()
	var loads []ownerrpc.BookingLoad
	for _, upstream := range current.View.Upstreams {
		if upstream.Service == service && current.Owners[upstream.Name].ID == o.session.Member.ID {
			loads = append(loads, ownerrpc.BookingLoad{Upstream: upstream.Name, Permille: o.loadPermille(upstream)})
		}
	}
	return loads
}

// loadPermille returns the accepted attempts of an upstream in thousandths of its slots. The caller holds mu.
func (o *bookingOwner) loadPermille(upstream model.Upstream) int {
	return o.accepted[upstream.Name] * 1000 / max(upstream.Slots, 1)
}

// inFlight returns the number of attempts that are queued for or running on one upstream.
func (o *bookingOwner) inFlight(upstream string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.accepted[upstream]
}

// totalInFlight returns the number of attempts that are queued for or running on any upstream.
func (o *bookingOwner) totalInFlight() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.totalAccepted
}
