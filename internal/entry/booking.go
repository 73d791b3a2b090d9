package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/booking"
	"github.com/wisteriamux/wisteriamux/internal/controlstate"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/membership"
	"github.com/wisteriamux/wisteriamux/internal/model"
	"github.com/wisteriamux/wisteriamux/internal/ownerlink"
	"github.com/wisteriamux/wisteriamux/internal/ownerrpc"
	"github.com/wisteriamux/wisteriamux/internal/trace"
)

// BookingRequest is the body of a booking request.
type BookingRequest struct {
	Service string `json:"service"`
	// Key is the idempotency key: requests with the same key run at most once.
	Key           string          `json:"key"`
	Payload       json.RawMessage `json:"payload"`
	TimeoutMillis int64           `json:"timeout_ms"`
}

// BookingResponse is the body of the answer to a booking that was run.
type BookingResponse struct {
	Status    string          `json:"status"`
	RequestID string          `json:"request_id"`
	Key       string          `json:"key"`
	Attempt   uint64          `json:"attempt"`
	Result    json.RawMessage `json:"result"`
}

const (
	// recordTimeout limits one proposal that records an outcome.
	recordTimeout     = 2 * time.Second
	recordRetryDelay  = 200 * time.Millisecond
	resolveRetryDelay = 100 * time.Millisecond
	// maxResolveWait limits how long one Resolve call waits for a running attempt.
	maxResolveWait = 2 * time.Second
	// replyMargin is added to the longest time that the owner may take, for the network round trip.
	replyMargin = time.Second
	// maxLoadAge is the age from which a load reported by an owner is ignored.
	maxLoadAge = 2 * time.Second
)

// bookings runs the booking requests that callers send to this entry VM.
type bookings struct {
	session     *membership.Session
	control     membership.Control
	owner       *bookingOwner
	guard       *crashGuard
	ownerClient *ownerlink.Client
	recorder    *trace.Recorder
	// activeRuns counts the runs that have not finished. A run may go on after its caller was answered.
	activeRuns sync.WaitGroup

	// mu guards the fields below.
	mu     sync.Mutex
	nextID uint64
	// runningKeys holds the keys with a run at this VM. The channel is closed when the run ends.
	runningKeys map[string]chan struct{}
	// loads holds the loads that owners reported; outgoing counts the attempts that this VM has sent and that are not
	// answered yet. Both are by upstream name.
	loads    map[string]reportedLoad
	outgoing map[string]int
}

type reportedLoad struct {
	permille int
	// at is the monotonic time of the report.
	at time.Duration
}

func newBookings(session *membership.Session, control membership.Control, owner *bookingOwner, guard *crashGuard, ownerClient *ownerlink.Client, recorder *trace.Recorder) *bookings {
	return &bookings{
		session: session, control: control, owner: owner, guard: guard, ownerClient: ownerClient, recorder: recorder,
		runningKeys: map[string]chan struct{}{}, loads: map[string]reportedLoad{}, outgoing: map[string]int{},
	}
}

// book runs a booking at most once. It records the intent at the control group before it sends the attempt.
func (b *bookings) book(ctx context.Context, requestID, caller string, request BookingRequest) (BookingResponse, error) {
	current, err := b.session.ViewForNewWork()
	if err != nil {
		return BookingResponse{}, err
	}
	if err := checkBookingService(current, request.Service); err != nil {
		return BookingResponse{}, err
	}
	if err := b.guard.checkQuarantine(Fingerprint(request.Service, OperationBooking, request.Payload)); err != nil {
		return BookingResponse{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(request.TimeoutMillis)*time.Millisecond)
	defer cancel()
	release, err := b.lockKey(ctx, request.Key)
	if err != nil {
		return BookingResponse{}, err
	}
	run := b.newRun(ctx, requestID, caller, request)
	b.activeRuns.Add(1)
	go func() {
		defer b.activeRuns.Done()
		defer release()
		run.loop(context.WithoutCancel(ctx), current)
	}()
	return run.wait(ctx)
}

func checkBookingService(current *membership.ServedView, service string) error {
	configured, ok := current.View.Config.ServiceByName(service)
	if !ok || configured.Kind != model.ServiceBooking {
		return fault.New(fault.BadRequest, "book", "%q is not a booking service", service)
	}
	return nil
}

// lockKey waits until no other run of the key is active at this VM. If the deadline ends the wait, the outcome is
// unknown, because the other run may still succeed.
func (b *bookings) lockKey(ctx context.Context, key string) (release func(), err error) {
	for {
		b.mu.Lock()
		other, ok := b.runningKeys[key]
		if !ok {
			done := make(chan struct{})
			b.runningKeys[key] = done
			b.mu.Unlock()
			return func() { b.unlockKey(key, done) }, nil
		}
		b.mu.Unlock()
		select {
		case <-other:
		case <-ctx.Done():
			return nil, fault.New(fault.OutcomeUnknown, "book", "another request with key %q was still running at the deadline", key)
		}
	}
}

func (b *bookings) unlockKey(key string, done chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.runningKeys, key)
	close(done)
}

// candidates returns the ready upstreams of the service that have an owner.
func (b *bookings) candidates(current *membership.ServedView, service string) []booking.Candidate {
	now := b.session.Clock.Mono()
	b.mu.Lock()
	defer b.mu.Unlock()
	var candidates []booking.Candidate
	for _, upstream := range current.View.Upstreams {
		owner, owned := current.Owners[upstream.Name]
		if upstream.Service != service || upstream.State != model.UpstreamReady || !owned {
			continue
		}
		candidates = append(candidates, booking.Candidate{
			Upstream: upstream.Name, OwnerID: owner.ID, OwnerInstance: owner.Instance,
			LoadPermille: b.loadPermille(upstream, owner, now),
		})
	}
	return candidates
}

// loadPermille returns the load of an upstream in thousandths of its slots: the load that the owner reported or the
// attempts that this VM has sent, whichever is larger. The caller holds mu.
func (b *bookings) loadPermille(upstream model.Upstream, owner model.Member, now time.Duration) int {
	if owner.ID == b.session.Member.ID {
		return b.owner.inFlight(upstream.Name) * 1000 / max(upstream.Slots, 1)
	}
	own := b.outgoing[upstream.Name] * 1000 / max(upstream.Slots, 1)
	reported, ok := b.loads[upstream.Name]
	if !ok || now-reported.at > maxLoadAge {
		return own
	}
	return max(reported.permille, own)
}

func (b *bookings) recordLoads(loads []ownerrpc.BookingLoad) {
	now := b.session.Clock.Mono()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, load := range loads {
		b.loads[load.Upstream] = reportedLoad{permille: load.Permille, at: now}
	}
}

func (b *bookings) addOutgoing(upstream string, change int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.outgoing[upstream] += change
	if b.outgoing[upstream] == 0 {
		delete(b.outgoing, upstream)
	}
}

// bookingRun drives the state machine of one booking request. It may outlive the request in order to record the
// outcome.
type bookingRun struct {
	*bookings
	id        uint64
	requestID string
	caller    string
	request   BookingRequest
	deadline  time.Time
	// sender is the membership instance of this VM when it accepted the request.
	sender  uint64
	answers chan booking.Answer

	// stepMu guards flow and finished.
	stepMu   sync.Mutex
	flow     *booking.Flow
	finished bool
}

func (b *bookings) newRun(ctx context.Context, requestID, caller string, request BookingRequest) *bookingRun {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nextID++
	deadline, _ := ctx.Deadline()
	return &bookingRun{
		bookings: b, id: b.nextID, requestID: requestID, caller: caller, request: request, deadline: deadline,
		sender: b.session.InstanceID(), answers: make(chan booking.Answer, 1), flow: booking.NewFlow(),
	}
}

// wait returns the answer of the run, or at the deadline the answer that the state machine gives for it.
func (r *bookingRun) wait(ctx context.Context) (BookingResponse, error) {
	select {
	case answer := <-r.answers:
		return r.respond(answer)
	case <-ctx.Done():
		r.step(booking.FlowEvent{Kind: booking.FlowDeadline})
		return r.respond(<-r.answers)
	}
}

func (r *bookingRun) respond(answer booking.Answer) (BookingResponse, error) {
	if answer.Code != "" {
		return BookingResponse{}, fault.New(answer.Code, "book", "%s", answer.Reason)
	}
	return BookingResponse{
		Status: StatusAnswered, RequestID: r.requestID, Key: r.request.Key, Attempt: answer.Attempt,
		Result: jsonResult(answer.Response),
	}, nil
}

// jsonResult returns a JSON response as it is and quotes any other response as a JSON string, because a response that
// is not JSON must not turn a completed booking into an error.
func jsonResult(response []byte) json.RawMessage {
	if len(response) == 0 || json.Valid(response) {
		return response
	}
	quoted, err := json.Marshal(string(response))
	if err != nil {
		return nil
	}
	return quoted
}

// step applies one event to the state machine. The machine answers exactly once, at the latest when it finishes.
func (r *bookingRun) step(event booking.FlowEvent) booking.Action {
	r.stepMu.Lock()
	defer r.stepMu.Unlock()
	if r.finished {
		return booking.Action{Kind: booking.ActionFinish}
	}
	event.Roll = rand.Uint64()
	event.ResponseDigest = digestOf(event.Response)
	action := r.flow.Step(event)
	r.recorder.Record(trace.MachineBookingFlow, r.id, event, action)
	r.finished = action.Kind == booking.ActionFinish
	if action.Answer != nil {
		r.answers <- *action.Answer
	}
	return action
}

// loop executes the actions of the state machine until it finishes.
func (r *bookingRun) loop(ctx context.Context, current *membership.ServedView) {
	action := r.step(booking.FlowEvent{
		Kind: booking.FlowStart, Candidates: r.candidates(current, r.request.Service),
		Self: booking.Candidate{OwnerID: r.session.Member.ID, OwnerInstance: r.sender},
	})
	for action.Kind != booking.ActionFinish {
		var event booking.FlowEvent
		switch action.Kind {
		case booking.ActionRequestIntent:
			event = r.intent(ctx, action)
		case booking.ActionSend:
			event = r.send(ctx, action)
		case booking.ActionResolve:
			event = r.resolve(ctx, action)
		case booking.ActionRecord:
			event = r.record(ctx, action)
		default:
			return
		}
		action = r.step(event)
	}
}

// intent proposes the intent of the attempt to the control group.
func (r *bookingRun) intent(ctx context.Context, action booking.Action) booking.FlowEvent {
	intent := controlstate.BookingIntent{
		Key:            r.request.Key,
		Digest:         bookingDigest(r.request),
		Service:        r.request.Service,
		Upstream:       action.Upstream,
		OwnerID:        action.OwnerID,
		OwnerInstance:  action.OwnerInstance,
		SenderID:       r.session.Member.ID,
		SenderInstance: r.sender,
	}
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	event := booking.FlowEvent{Kind: booking.FlowIntent}
	result, err := r.control.Propose(ctx, controlstate.Command{BookingIntent: &intent})
	if err != nil || result.Booking == nil {
		event.Code = fault.CodeOf(err)
		if event.Code == fault.NotRun {
			event.Candidates = r.refreshedCandidates(ctx)
		}
		return event
	}
	event.Record = recordOf(*result.Booking)
	event.Granted = result.Granted
	return event
}

// refreshedCandidates returns the candidates of the newest view. It fetches the view first, because a refused intent
// shows that the served view is out of date.
func (r *bookingRun) refreshedCandidates(ctx context.Context) []booking.Candidate {
	if err := r.session.FetchView(ctx); err != nil {
		r.session.TriggerRenewal()
	}
	return r.candidates(r.session.LatestView(), r.request.Service)
}

func bookingDigest(request BookingRequest) string {
	digest := sha256.Sum256(append([]byte(request.Service+"\x00"), request.Payload...))
	return hex.EncodeToString(digest[:])
}

func digestOf(data []byte) string {
	if data == nil {
		return ""
	}
	digest := sha256.Sum256(data)
	return hex.EncodeToString(digest[:16])
}

func recordOf(record controlstate.Booking) *booking.Record {
	return &booking.Record{
		Attempt: record.Attempt, State: record.State, Upstream: record.Intent.Upstream,
		OwnerID: record.Intent.OwnerID, OwnerInstance: record.Intent.OwnerInstance,
		Response: record.Response, ResponseDigest: digestOf(record.Response),
	}
}

// send sends the attempt to the owner of the upstream. An attempt without a reply is never sent again; its outcome is
// resolved instead.
func (r *bookingRun) send(ctx context.Context, action booking.Action) booking.FlowEvent {
	event := booking.FlowEvent{Kind: booking.FlowOutcome, Outcome: booking.OutcomeNotRun}
	current, instance, err := r.session.LeasedInstance()
	if err != nil || instance != r.sender {
		return event
	}
	left := time.Until(r.deadline)
	owner, ok := current.Members[action.OwnerID]
	if left <= 0 || !ok || owner.Instance != action.OwnerInstance {
		return event
	}
	args := ownerrpc.BookArgs{
		RequestID: r.requestID, Caller: r.caller, Key: r.request.Key, Attempt: action.Attempt,
		Service: r.request.Service, Upstream: action.Upstream,
		OwnerInstance: action.OwnerInstance, SenderID: r.session.Member.ID, SenderInstance: r.sender,
		Timeout: left, Payload: r.request.Payload,
	}
	r.addOutgoing(action.Upstream, 1)
	defer r.addOutgoing(action.Upstream, -1)
	if owner.ID == r.session.Member.ID {
		return outcomeEvent(r.owner.book(args))
	}
	ctx, cancel := context.WithTimeout(ctx, left+outcomeWait+replyMargin)
	defer cancel()
	var reply ownerrpc.AttemptReply
	if err := r.ownerClient.Call(ctx, owner.RPCAddress, "Book", args, &reply); err != nil {
		return callErrorEvent(err)
	}
	r.recordLoads(reply.Loads)
	return outcomeEvent(reply)
}

func outcomeEvent(reply ownerrpc.AttemptReply) booking.FlowEvent {
	return booking.FlowEvent{Kind: booking.FlowOutcome, Outcome: reply.Outcome, Response: reply.Response}
}

// callErrorEvent returns the event for a failed call. Only an error with the code NotRun shows that the attempt did not
// reach the owner.
func callErrorEvent(err error) booking.FlowEvent {
	if fault.Is(err, fault.NotRun) {
		return booking.FlowEvent{Kind: booking.FlowOutcome, Outcome: booking.OutcomeNotRun}
	}
	return booking.FlowEvent{Kind: booking.FlowOutcome, Outcome: booking.OutcomeUnreachable}
}

// resolve asks the owner instance that the intent names for the outcome of the attempt.
func (r *bookingRun) resolve(ctx context.Context, action booking.Action) booking.FlowEvent {
	current := r.session.LatestView()
	if current.IsFenced(action.OwnerID, action.OwnerInstance) {
		return booking.FlowEvent{Kind: booking.FlowOutcome, Outcome: booking.OutcomeOwnerGone}
	}
	args := ownerrpc.ResolveArgs{
		Key: r.request.Key, Attempt: action.Attempt, OwnerInstance: action.OwnerInstance,
		Wait: max(min(time.Until(r.deadline), maxResolveWait), 0),
	}
	if action.OwnerID == r.session.Member.ID {
		return r.delayRetry(outcomeEvent(r.owner.resolve(args)))
	}
	owner, ok := current.Members[action.OwnerID]
	if !ok {
		r.session.TriggerRenewal()
		return r.delayRetry(booking.FlowEvent{Kind: booking.FlowOutcome, Outcome: booking.OutcomeUnreachable})
	}
	ctx, cancel := context.WithTimeout(ctx, args.Wait+replyMargin)
	defer cancel()
	var reply ownerrpc.AttemptReply
	if err := r.ownerClient.Call(ctx, owner.RPCAddress, "Resolve", args, &reply); err != nil {
		r.session.TriggerRenewal()
		return r.delayRetry(booking.FlowEvent{Kind: booking.FlowOutcome, Outcome: booking.OutcomeUnreachable})
	}
	return r.delayRetry(outcomeEvent(reply))
}

// delayRetry waits before it returns an event that leads to another Resolve call, so that an unreachable owner is not
// called in a tight loop.
func (r *bookingRun) delayRetry(event booking.FlowEvent) booking.FlowEvent {
	if event.Outcome == booking.OutcomeUnreachable {
		time.Sleep(resolveRetryDelay)
	}
	return event
}

// record records the outcome at the control group. It retries, also after the caller's deadline, until the control
// group answers or this VM loses its lease. In the latter case the intent stays open until a resend of the request
// resolves it.
func (r *bookingRun) record(ctx context.Context, action booking.Action) booking.FlowEvent {
	outcome := controlstate.BookingOutcome{
		Key: r.request.Key, Attempt: action.Attempt, State: action.State, Response: action.Response,
	}
	event := booking.FlowEvent{Kind: booking.FlowRecorded}
	for {
		result, err := r.propose(ctx, controlstate.Command{BookingOutcome: &outcome})
		if err == nil && result.Booking != nil {
			event.Record = recordOf(*result.Booking)
			event.Candidates = r.candidates(r.session.LatestView(), r.request.Service)
			return event
		}
		event.Code = fault.CodeOf(err)
		if _, instance, leaseErr := r.session.LeasedInstance(); leaseErr != nil || instance != r.sender || !fault.Is(err, fault.Unavailable) {
			return event
		}
		time.Sleep(recordRetryDelay)
	}
}

func (r *bookingRun) propose(ctx context.Context, command controlstate.Command) (controlstate.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	return r.control.Propose(ctx, command)
}
