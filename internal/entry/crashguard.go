package entry

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/membership"

	"github.com/wisteriamux/wisteriamux/internal/controlstate"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/suspect"
	"github.com/wisteriamux/wisteriamux/internal/trace"
	"github.com/wisteriamux/wisteriamux/internal/upstreamapi"
)

// Operations that a fingerprint distinguishes.
const (
	OperationSearch  = "search"
	OperationBooking = "booking"
)

// quarantineRetryDelay is the pause between attempts to record a quarantine.
const quarantineRetryDelay = 500 * time.Millisecond

// Fingerprint returns a hash that is equal for requests with the same service, operation and body, which make an
// upstream do the same work.
func Fingerprint(service, operation string, body []byte) string {
	return suspect.Fingerprint(body, service, operation)
}

// guardedRequest describes a request that is about to be sent to an upstream.
type guardedRequest struct {
	upstream string
	// group names the upstreams that would do the same work for the request: those of its shard, or of its service for
	// a booking.
	group       string
	fingerprint string
	idempotent  bool
	// retry marks the single retry of a request that was in flight when an upstream crashed.
	retry bool
}

// crashGuard finds requests that crash upstreams and refuses them. It applies the decisions of suspect.Table to
// concurrent requests.
type crashGuard struct {
	session  *membership.Session
	control  membership.Control
	recorder *trace.Recorder
	log      *slog.Logger

	// mu guards the fields below.
	mu         sync.Mutex
	table      *suspect.Table
	lastTicket uint64
	// changed is closed and replaced whenever a held request may have become free to be sent.
	changed chan struct{}
}

func newCrashGuard(session *membership.Session, control membership.Control, recorder *trace.Recorder, log *slog.Logger) *crashGuard {
	return &crashGuard{
		session: session, control: control, recorder: recorder, log: log,
		table: suspect.NewTable(), changed: make(chan struct{}),
	}
}

// checkQuarantine returns an error with the code Quarantined if the fingerprint is quarantined in the served view or at
// this owner only.
func (g *crashGuard) checkQuarantine(fingerprint string) error {
	refused := fault.New(fault.Quarantined, "crashguard", "requests with fingerprint %s are quarantined because they crash upstreams", fingerprint)
	now := g.session.Clock.Read()
	for _, quarantine := range g.session.LatestView().View.Quarantines {
		if quarantine.Fingerprint == fingerprint && now.Wall.Before(quarantine.Until) {
			return refused
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.table.Quarantined(fingerprint, int64(now.Mono)) {
		return refused
	}
	return nil
}

// sendTicket is the permission to send one request. afterResult must be called exactly once.
type sendTicket struct {
	guard *crashGuard
	event suspect.Event
	// exclusive is set for a suspect, which is sent while no other request runs on the upstream. It needs a new
	// connection, because the failure of a stale idle one would look like a crash.
	exclusive bool
}

// beforeSend waits until the request may be sent. It fails with the code Quarantined, or with NotRun when the context
// ends first.
func (g *crashGuard) beforeSend(ctx context.Context, request guardedRequest) (*sendTicket, error) {
	event := suspect.Event{
		Kind: suspect.BeforeSend, Upstream: request.upstream, Group: request.group, Fingerprint: request.fingerprint,
		Idempotent: request.idempotent, Retry: request.retry,
	}
	for {
		if err := g.checkQuarantine(request.fingerprint); err != nil {
			g.abandon(event)
			return nil, err
		}
		verdict, changed := g.decide(&event)
		switch verdict {
		case suspect.Send, suspect.SendAlone:
			return &sendTicket{guard: g, event: event, exclusive: verdict == suspect.SendAlone}, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			g.abandon(event)
			return nil, fault.New(fault.NotRun, "crashguard", "held back while a suspect request runs on upstream %s: %w", request.upstream, ctx.Err())
		}
	}
}

// decide returns the verdict of the table and the channel that is closed at the next change. The first call assigns the
// ticket of the event.
func (g *crashGuard) decide(event *suspect.Event) (suspect.Verdict, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if event.Ticket == 0 {
		g.lastTicket++
		event.Ticket = g.lastTicket
	}
	return g.step(*event).Verdict, g.changed
}

func (g *crashGuard) abandon(event suspect.Event) {
	g.mu.Lock()
	defer g.mu.Unlock()
	event.Kind = suspect.Abandon
	g.step(event)
	g.wakeHeld()
}

// step applies an event to the suspect table and records it in the trace. The caller holds mu.
func (g *crashGuard) step(event suspect.Event) suspect.Outcome {
	event.NowNanos = int64(g.session.Clock.Mono())
	outcome := g.table.Step(event)
	g.recorder.Record(trace.MachineSuspectTable, 0, event, outcome)
	return outcome
}

// wakeHeld makes held requests ask for a new verdict. The caller holds mu.
func (g *crashGuard) wakeHeld() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// afterResult reports the result of the request to the guard. It returns true if the request may be sent once more,
// with guardedRequest.retry set.
func (t *sendTicket) afterResult(err error) bool {
	event := t.event
	event.Kind = suspect.AfterResult
	event.Result = suspect.Failed
	switch {
	case err == nil:
		event.Result = suspect.Succeeded
	case upstreamapi.IsCrash(err):
		event.Result = suspect.Crashed
	}
	t.guard.mu.Lock()
	outcome := t.guard.step(event)
	t.guard.wakeHeld()
	t.guard.mu.Unlock()
	if outcome.Quarantine {
		go t.guard.quarantine(event.Fingerprint)
	}
	return outcome.Retry && !t.event.Retry
}

// quarantine records the quarantine at the control group, so that all entry VMs refuse the fingerprint. It retries
// until it succeeds or this VM loses its lease.
func (g *crashGuard) quarantine(fingerprint string) {
	g.log.Warn("request quarantined", "fingerprint", fingerprint, "duration", suspect.Quarantine)
	add := controlstate.AddQuarantine{Fingerprint: fingerprint, DurationMillis: suspect.Quarantine.Milliseconds()}
	for {
		if _, _, err := g.session.LeasedInstance(); err != nil {
			g.log.Warn("quarantine not recorded at the control group", "fingerprint", fingerprint, "error", err)
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), membership.CallTimeout)
		_, err := g.control.Propose(ctx, controlstate.Command{AddQuarantine: &add})
		cancel()
		if err == nil {
			g.session.TriggerRenewal()
			return
		}
		time.Sleep(quarantineRetryDelay)
	}
}
