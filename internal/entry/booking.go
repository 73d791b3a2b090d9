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

// BookingRequest is a caller's booking.
type BookingRequest struct {
	Service string `json:"service"`
	// Key identifies the booking. A resend with the same key never runs twice.
	Key           string          `json:"key"`
	Payload       json.RawMessage `json:"payload"`
	TimeoutMillis int64           `json:"timeout_ms"`
}

// BookingResponse answers a booking.
type BookingResponse struct {
	Status    string          `json:"status"`
	RequestID string          `json:"request_id"`
	Key       string          `json:"key"`
	Attempt   uint64          `json:"attempt"`
	Result    json.RawMessage `json:"result"`
}

const (
	recordTimeout     = 2 * time.Second
	recordRetryDelay  = 200 * time.Millisecond
	resolveRetryDelay = 100 * time.Millisecond
	maxResolveWait    = 2 * time.Second
	// replyMargin is the time that a reply of the owner may take beyond the owner's own bounds.
	replyMargin = time.Second
	// maxLoadAge is how long a reported load is believed.
	maxLoadAge = 2 * time.Second
)

// bookings runs the bookings that this entry VM takes from callers.
type bookings struct {
	session     *membership.Session
	control     membership.Control
	owner       *bookingOwner
	guard       *crashGuard
	ownerClient *ownerlink.Client
	recorder    *trace.Recorder
	// activeRuns counts activeRuns that have not finished, also after their callers were answered.
	activeRuns sync.WaitGroup

	// mu guards the fields below.
	mu     sync.Mutex
	nextID uint64
	// runningKeys holds the keys with a run at this VM; the channel is closed at the end of the run.
	runningKeys map[string]chan struct{}
	// loads are reported by owners; sending counts the attempts on their way from this VM.
	loads    map[string]reportedLoad
	outgoing map[string]int
}

type reportedLoad struct {
	permille int
	at       time.Duration
}

func newBookings(session *membership.Session, control membership.Control, owner *bookingOwner, guard *crashGuard, ownerClient *ownerlink.Client, recorder *trace.Recorder) *bookings {
	return &bookings{
		session: session, control: control, owner: owner, guard: guard, ownerClient: ownerClient, recorder: recorder,
		runningKeys: map[string]chan struct{}{}, loads: map[string]reportedLoad{}, outgoing: map[string]int{},
	}
}

// book runs a booking at most once. The intent is durable before the request leaves.
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
	configured, ok := current.View.Config.ServiceNamed(service)
	if !ok || configured.Kind != model.ServiceBooking {
		return fault.New(fault.BadRequest, "book", "%q is not a booking service", service)
	}
	return nil
}

// lockKey lets one run of a key proceed at this VM. A caller whose deadline ends the wait cannot know how the other run
// will end.
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
			return nil, fault.New(fault.OutcomeUnknown, "book", "another request with key %q is still running", key)
		}
	}
}

func (b *bookings) unlockKey(key string, done chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.runningKeys, key)
	close(done)
}

// candidates are the ready upstreams of the service whose owners are known.
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

// loadPermille combines what the owner knows with what this VM has sent since. The caller holds mu.
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

// bookingRun drives the flow of one request. It may outlive the request to record an outcome.
type bookingRun struct {
	*bookings
	id        uint64
	requestID string
	caller    string
	request   BookingRequest
	deadline  time.Time
	// sender is the instance of this VM that takes the request.
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

// wait returns the answer of the run, or what is known at the deadline.
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

// jsonResult passes JSON on and quotes any other response, which must not turn a booking that is done into an error.
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

// step applies one event. The flow answers exactly once, at the latest when it finishes.
func (r *bookingRun) step(event booking.FlowEvent) booking.Action {
	r.stepMu.Lock()
	defer r.stepMu.Unlock()
	if r.finished {
		return booking.Action{Kind: booking.ActFinish}
	}
	event.Roll = rand.Uint64()
	event.ResponseDigest = digestOf(event.Response)
	action := r.flow.Step(event)
	r.recorder.Record(trace.MachineFlow, r.id, event, action)
	r.finished = action.Kind == booking.ActFinish
	if action.Answer != nil {
		r.answers <- *action.Answer
	}
	return action
}

func (r *bookingRun) loop(ctx context.Context, current *membership.ServedView) {
	action := r.step(booking.FlowEvent{
		Kind: booking.FlowStart, Candidates: r.candidates(current, r.request.Service),
		Self: booking.Candidate{OwnerID: r.session.Member.ID, OwnerInstance: r.sender},
	})
	for action.Kind != booking.ActFinish {
		var event booking.FlowEvent
		switch action.Kind {
		case booking.ActIntent:
			event = r.intent(ctx, action)
		case booking.ActSend:
			event = r.send(ctx, action)
		case booking.ActResolve:
			event = r.resolve(ctx, action)
		case booking.ActRecord:
			event = r.record(ctx, action)
		default:
			return
		}
		action = r.step(event)
	}
}

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

// refreshedCandidates reads the view first, because a refused intent shows that the served one is behind.
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

// send sends the one copy of the attempt to its owner. A copy whose fate is unknown is resolved, never repeated.
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

func callErrorEvent(err error) booking.FlowEvent {
	if fault.Is(err, fault.NotRun) {
		return booking.FlowEvent{Kind: booking.FlowOutcome, Outcome: booking.OutcomeNotRun}
	}
	return booking.FlowEvent{Kind: booking.FlowOutcome, Outcome: booking.OutcomeUnreachable}
}

// resolve asks the owner instance of the intent what became of the attempt.
func (r *bookingRun) resolve(ctx context.Context, action booking.Action) booking.FlowEvent {
	current := r.session.LatestView()
	if current.IsFenced(action.OwnerID, action.OwnerInstance) {
		return booking.FlowEvent{Kind: booking.FlowOutcome, Outcome: booking.OutcomeGone}
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

// delayRetry keeps an owner that does not answer from being asked in a tight loop.
func (r *bookingRun) delayRetry(event booking.FlowEvent) booking.FlowEvent {
	if event.Outcome == booking.OutcomeUnreachable {
		time.Sleep(resolveRetryDelay)
	}
	return event
}

// record makes the outcome durable. It goes on after the caller's deadline until control has answered or the lease is
// lost; the intent then stays open and is resolved by a resend.
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
		if _, instance, lost := r.session.LeasedInstance(); lost != nil || instance != r.sender || !fault.Is(err, fault.Unavailable) {
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
