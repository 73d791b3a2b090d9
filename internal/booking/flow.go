package booking

import (
	"github.com/wisteriamux/wisteriamux/internal/controlstate"
	"github.com/wisteriamux/wisteriamux/internal/fault"
)

// MaxAttempts limits the attempts of one request.
const MaxAttempts = 3

// FlowEventKind is the kind of a FlowEvent.
type FlowEventKind string

// The events of a Flow.
const (
	// FlowStart begins the flow.
	FlowStart FlowEventKind = "start"
	// FlowIntent is the result of ActionRequestIntent.
	FlowIntent FlowEventKind = "intent"
	// FlowOutcome is the result of ActionSend and ActionResolve.
	FlowOutcome FlowEventKind = "outcome"
	// FlowRecorded is the result of ActionRecord.
	FlowRecorded FlowEventKind = "recorded"
	// FlowDeadline means that the caller's deadline has passed or that the caller has disconnected. After it, the flow
	// only finishes what it has started and records the outcome.
	FlowDeadline FlowEventKind = "deadline"
)

// Record is the part of a booking key's replicated record that a Flow uses.
type Record struct {
	Attempt        uint64
	State          controlstate.BookingState
	Upstream       string
	OwnerID        string
	OwnerInstance  uint64
	Response       []byte `cbor:"-"`
	ResponseDigest string
}

// FlowEvent is one input of a Flow. A trace stores events and actions under the Go names of their fields, and its
// replay compares the actions. Changed field names or texts of Answer.Reason therefore break the replay of older
// traces.
type FlowEvent struct {
	Kind FlowEventKind
	// Candidates are the ready upstreams. They are set for FlowStart, FlowRecorded, and a FlowIntent that control
	// rejected.
	Candidates []Candidate
	// Self is this entry VM, which is named as owner in an intent that only asks for the key's record.
	Self Candidate
	// Roll is the random number for choosing an upstream.
	Roll uint64
	// Record is the key's record as returned by control. It is nil if control did not reply or rejected the command.
	Record *Record
	// Granted is set if control granted the intent, which permits this flow to send the attempt.
	Granted bool
	// Code is the error code that explains a missing record.
	Code           fault.Code
	Outcome        Outcome
	Response       []byte `cbor:"-"`
	ResponseDigest string
}

// ActionKind is the kind of an Action.
type ActionKind string

// The actions of a Flow.
const (
	// ActionNone requires nothing; the pending action continues.
	ActionNone ActionKind = "none"
	// ActionRequestIntent asks control to grant an attempt and to record the intent.
	ActionRequestIntent ActionKind = "intent"
	// ActionSend sends the attempt to its owner. Each granted attempt is sent at most once.
	ActionSend ActionKind = "send"
	// ActionResolve asks the owner for the outcome of an attempt.
	ActionResolve ActionKind = "resolve"
	// ActionRecord asks control to record the outcome of an attempt.
	ActionRecord ActionKind = "record"
	// ActionFinish ends the flow.
	ActionFinish ActionKind = "finish"
)

// Answer is the response to the caller.
type Answer struct {
	// Code is empty for a completed booking.
	Code     fault.Code
	Reason   string
	Attempt  uint64
	Response []byte `cbor:"-"`
}

// Action is one output of a Flow: the next step and, once in each flow, the answer to the caller.
type Action struct {
	Kind          ActionKind
	Answer        *Answer
	Upstream      string
	OwnerID       string
	OwnerInstance uint64
	Attempt       uint64
	State         controlstate.BookingState
	Response      []byte `cbor:"-"`
}

// Flow is the state machine of one booking request. It is not safe for concurrent use.
type Flow struct {
	pending    ActionKind
	candidates []Candidate
	tried      map[target]bool
	chosen     Candidate
	attempts   int
	record     Record
	state      controlstate.BookingState
	response   []byte
	answered   bool
}

// NewFlow returns a flow that waits for FlowStart.
func NewFlow() *Flow {
	return &Flow{pending: ActionNone, tried: map[target]bool{}}
}

// Step applies one event and returns the resulting action.
func (f *Flow) Step(event FlowEvent) Action {
	switch event.Kind {
	case FlowStart:
		f.candidates = event.Candidates
		if f.answered {
			return f.finish(Answer{})
		}
		if len(f.candidates) == 0 {
			return f.requestRecord(event.Self)
		}
		return f.requestIntent(event.Roll)
	case FlowIntent:
		return f.onIntent(event)
	case FlowOutcome:
		return f.onOutcome(event)
	case FlowRecorded:
		return f.onRecorded(event)
	case FlowDeadline:
		return f.onDeadline()
	}
	return Action{Kind: ActionNone}
}

// requestIntent chooses an upstream that was not tried before and asks control to grant an attempt on it.
func (f *Flow) requestIntent(random uint64) Action {
	chosen, ok := chooseCandidate(f.candidates, f.tried, random)
	if !ok || f.attempts >= MaxAttempts {
		return f.finish(Answer{Code: fault.NotRun, Reason: "no ready upstream is left to try", Attempt: f.record.Attempt})
	}
	f.chosen = chosen
	f.attempts++
	f.pending = ActionRequestIntent
	return Action{Kind: ActionRequestIntent, Upstream: chosen.Upstream, OwnerID: chosen.OwnerID, OwnerInstance: chosen.OwnerInstance}
}

// requestRecord asks for the key's record when no upstream is ready, because a resend must still get its recorded
// outcome. If control grants the intent nevertheless, the attempt is recorded as not run.
func (f *Flow) requestRecord(self Candidate) Action {
	f.attempts = MaxAttempts
	f.pending = ActionRequestIntent
	return Action{Kind: ActionRequestIntent, OwnerID: self.OwnerID, OwnerInstance: self.OwnerInstance}
}

func (f *Flow) onIntent(event FlowEvent) Action {
	if event.Record == nil && event.Code == fault.NotRun && !f.answered {
		// Control rejected the intent, usually because the owner has left. Nothing is recorded, so another upstream may
		// be tried.
		f.tried[f.chosen.target()] = true
		f.candidates = event.Candidates
		return f.requestIntent(event.Roll)
	}
	if event.Record == nil {
		return f.finish(Answer{Code: intentCode(event.Code), Reason: "the intent was not confirmed", Attempt: f.record.Attempt})
	}
	f.record = *event.Record
	if !event.Granted {
		return f.followRecord()
	}
	f.tried[f.chosen.target()] = true
	switch {
	case f.answered, f.record.Upstream == "":
		// The caller has been or will be told that the booking did not run, so the attempt must not be sent.
		return f.recordOutcome(controlstate.BookingNotRun, nil)
	}
	f.pending = ActionSend
	return f.actionFor(ActionSend)
}

// intentCode returns the code that the caller gets if the intent was not confirmed. It keeps the codes that reject the
// request itself; any other error means not run, because nothing is sent without a confirmed intent.
func intentCode(code fault.Code) fault.Code {
	switch code {
	case fault.Conflict, fault.Quarantined, fault.BadRequest, fault.TooLarge:
		return code
	}
	return fault.NotRun
}

// followRecord continues from the record of the key. It handles a recorded outcome, and an open attempt that was
// granted to another flow.
func (f *Flow) followRecord() Action {
	switch f.record.State {
	case controlstate.BookingDone:
		return f.finish(Answer{Attempt: f.record.Attempt, Response: f.record.Response})
	case controlstate.BookingNotRun:
		return f.finish(Answer{Code: fault.NotRun, Reason: "the attempt was refused before it started", Attempt: f.record.Attempt})
	case controlstate.BookingOpen:
		if f.answered {
			return f.finish(Answer{})
		}
		f.pending = ActionResolve
		return f.actionFor(ActionResolve)
	}
	return f.finish(Answer{Code: fault.OutcomeUnknown, Reason: "the attempt may have run", Attempt: f.record.Attempt})
}

func (f *Flow) onOutcome(event FlowEvent) Action {
	switch event.Outcome {
	case OutcomeDone:
		return f.recordOutcome(controlstate.BookingDone, event.Response)
	case OutcomeNotRun:
		return f.recordOutcome(controlstate.BookingNotRun, nil)
	case OutcomeUnknown, OutcomeOwnerGone:
		return f.recordOutcome(controlstate.BookingUnknown, nil)
	}
	if f.answered {
		return f.finish(Answer{})
	}
	f.pending = ActionResolve
	return f.actionFor(ActionResolve)
}

// recordOutcome asks control to record the outcome of the attempt.
func (f *Flow) recordOutcome(state controlstate.BookingState, response []byte) Action {
	f.pending = ActionRecord
	f.state = state
	f.response = response
	action := f.actionFor(ActionRecord)
	action.State = state
	action.Response = response
	return action
}

func (f *Flow) onRecorded(event FlowEvent) Action {
	if event.Record == nil {
		return f.finish(f.unrecordedAnswer())
	}
	sameAttempt := event.Record.Attempt == f.record.Attempt
	f.record = *event.Record
	f.candidates = event.Candidates
	if sameAttempt && f.record.State == controlstate.BookingNotRun && !f.answered {
		return f.requestIntent(event.Roll)
	}
	return f.followRecord()
}

// unrecordedAnswer is the answer if the outcome could not be recorded. A completed booking is reported only once its
// outcome is recorded, because a resend could otherwise be answered differently.
func (f *Flow) unrecordedAnswer() Answer {
	if f.state == controlstate.BookingNotRun {
		return Answer{Code: fault.NotRun, Reason: "the attempt was refused before it started", Attempt: f.record.Attempt}
	}
	return Answer{Code: fault.OutcomeUnknown, Reason: "the outcome is not recorded", Attempt: f.record.Attempt}
}

// onDeadline answers the caller with what is known. The pending action continues.
func (f *Flow) onDeadline() Action {
	if f.answered {
		return Action{Kind: ActionNone}
	}
	answer := Answer{Code: fault.OutcomeUnknown, Reason: "no outcome within the deadline", Attempt: f.record.Attempt}
	switch f.pending {
	case ActionNone, ActionRequestIntent:
		answer = Answer{Code: fault.NotRun, Reason: "the intent was not confirmed within the deadline", Attempt: f.record.Attempt}
	case ActionRecord:
		answer = f.unrecordedAnswer()
	}
	f.answered = true
	return Action{Kind: ActionNone, Answer: &answer}
}

// finish ends the flow and answers the caller, unless the caller has been answered before.
func (f *Flow) finish(answer Answer) Action {
	f.pending = ActionFinish
	action := Action{Kind: ActionFinish}
	if !f.answered {
		f.answered = true
		action.Answer = &answer
	}
	return action
}

// actionFor returns an action of the kind for the recorded attempt.
func (f *Flow) actionFor(kind ActionKind) Action {
	return Action{
		Kind: kind, Upstream: f.record.Upstream, OwnerID: f.record.OwnerID, OwnerInstance: f.record.OwnerInstance,
		Attempt: f.record.Attempt,
	}
}
