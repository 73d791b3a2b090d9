package booking

import (
	"github.com/wisteriamux/wisteriamux/internal/controlstate"
	"github.com/wisteriamux/wisteriamux/internal/fault"
)

// MaxAttempts bounds the attempts of one request.
const MaxAttempts = 3

// FlowEventKind is the kind of a FlowEvent.
type FlowEventKind string

// The events of a Flow.
const (
	FlowStart FlowEventKind = "start"
	// FlowIntent is the answer to ActionRequestIntent.
	FlowIntent FlowEventKind = "intent"
	// FlowOutcome is the answer to ActionSend and ActionResolve.
	FlowOutcome FlowEventKind = "outcome"
	// FlowRecorded is the answer to ActionRecord.
	FlowRecorded FlowEventKind = "recorded"
	// FlowDeadline tells that the caller's deadline has passed or that the caller has gone. Actions continue after it
	// only to record what is known.
	FlowDeadline FlowEventKind = "deadline"
)

// Record is the part of the replicated record of a key that matters to a Flow.
type Record struct {
	Attempt        uint64
	State          controlstate.BookingState
	Upstream       string
	OwnerID        string
	OwnerInstance  uint64
	Response       []byte `cbor:"-"`
	ResponseDigest string
}

// FlowEvent is one input of a Flow.
type FlowEvent struct {
	Kind FlowEventKind
	// Candidates are the ready upstreams, at FlowStart, at FlowRecorded and at a FlowIntent that control refused.
	Candidates []Candidate
	// Self is the entry VM as owner of an intent that is never sent.
	Self Candidate
	// Roll is the random number of a choice of upstream.
	Roll uint64
	// Record is the record of the key as control answered; nil when control did not answer or refused.
	Record  *Record
	Granted bool
	// Code is the reason of a missing record.
	Code           fault.Code
	Outcome        Outcome
	Response       []byte `cbor:"-"`
	ResponseDigest string
}

// ActionKind is the kind of an Action.
type ActionKind string

// The actions of a Flow.
const (
	ActionNone          ActionKind = "none"
	ActionRequestIntent ActionKind = "intent"
	// ActionSend sends the attempt to its owner. Each granted attempt is sent at most once.
	ActionSend    ActionKind = "send"
	ActionResolve ActionKind = "resolve"
	ActionRecord  ActionKind = "record"
	ActionFinish  ActionKind = "finish"
)

// Answer is what the caller is told.
type Answer struct {
	// Code is empty for a booking that is done.
	Code     fault.Code
	Reason   string
	Attempt  uint64
	Response []byte `cbor:"-"`
}

// Action is one output of a Flow: at most one answer, and the next step.
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

// Flow decides the steps of one caller's booking. The caller serialises all calls.
type Flow struct {
	waiting    ActionKind
	candidates []Candidate
	tried      map[place]bool
	chosen     Candidate
	attempts   int
	record     Record
	state      controlstate.BookingState
	response   []byte
	answered   bool
}

// NewFlow returns a flow that waits for FlowStart.
func NewFlow() *Flow {
	return &Flow{waiting: ActionNone, tried: map[place]bool{}}
}

// Step applies one event.
func (f *Flow) Step(event FlowEvent) Action {
	switch event.Kind {
	case FlowStart:
		f.candidates = event.Candidates
		if f.answered {
			return f.finish(Answer{})
		}
		if len(f.candidates) == 0 {
			return f.inquire(event.Self)
		}
		return f.intend(event.Roll)
	case FlowIntent:
		return f.intent(event)
	case FlowOutcome:
		return f.outcome(event)
	case FlowRecorded:
		return f.recorded(event)
	case FlowDeadline:
		return f.deadline()
	}
	return Action{Kind: ActionNone}
}

func (f *Flow) intend(roll uint64) Action {
	chosen, ok := choose(f.candidates, f.tried, roll)
	if !ok || f.attempts >= MaxAttempts {
		return f.finish(Answer{Code: fault.NotRun, Reason: "no ready upstream is left to try", Attempt: f.record.Attempt})
	}
	f.chosen = chosen
	f.attempts++
	f.waiting = ActionRequestIntent
	return Action{Kind: ActionRequestIntent, Upstream: chosen.Upstream, OwnerID: chosen.OwnerID, OwnerInstance: chosen.OwnerInstance}
}

// inquire asks for the record of the key when no upstream is ready: a resend must still get its recorded outcome. An
// intent that is granted all the same is recorded as not run.
func (f *Flow) inquire(self Candidate) Action {
	f.attempts = MaxAttempts
	f.waiting = ActionRequestIntent
	return Action{Kind: ActionRequestIntent, OwnerID: self.OwnerID, OwnerInstance: self.OwnerInstance}
}

func (f *Flow) intent(event FlowEvent) Action {
	if event.Record == nil && event.Code == fault.NotRun && !f.answered {
		// Control refused the intent, mostly because the owner has left. Nothing is recorded, so another may be tried.
		f.tried[f.chosen.place()] = true
		f.candidates = event.Candidates
		return f.intend(event.Roll)
	}
	if event.Record == nil {
		return f.finish(Answer{Code: intentCode(event.Code), Reason: "the intent was not confirmed", Attempt: f.record.Attempt})
	}
	f.record = *event.Record
	if !event.Granted {
		return f.follow()
	}
	f.tried[f.chosen.place()] = true
	switch {
	case f.answered, f.record.Upstream == "":
		// The caller is told not run, so the attempt must never leave.
		return f.recordState(controlstate.BookingNotRun, nil)
	}
	f.waiting = ActionSend
	return f.act(ActionSend)
}

// intentCode keeps refusals; any other failure means not run, since nothing is sent without a confirmed intent.
func intentCode(code fault.Code) fault.Code {
	switch code {
	case fault.Conflict, fault.Quarantined, fault.BadRequest, fault.TooLarge:
		return code
	}
	return fault.NotRun
}

// follow handles the record of an attempt that this flow was not granted.
func (f *Flow) follow() Action {
	switch f.record.State {
	case controlstate.BookingDone:
		return f.finish(Answer{Attempt: f.record.Attempt, Response: f.record.Response})
	case controlstate.BookingNotRun:
		return f.finish(Answer{Code: fault.NotRun, Reason: "the attempt was refused before it started", Attempt: f.record.Attempt})
	case controlstate.BookingOpen:
		if f.answered {
			return f.finish(Answer{})
		}
		f.waiting = ActionResolve
		return f.act(ActionResolve)
	}
	return f.finish(Answer{Code: fault.OutcomeUnknown, Reason: "the attempt may have run", Attempt: f.record.Attempt})
}

func (f *Flow) outcome(event FlowEvent) Action {
	switch event.Outcome {
	case OutcomeDone:
		return f.recordState(controlstate.BookingDone, event.Response)
	case OutcomeNotRun:
		return f.recordState(controlstate.BookingNotRun, nil)
	case OutcomeUnknown, OutcomeOwnerGone:
		return f.recordState(controlstate.BookingUnknown, nil)
	}
	if f.answered {
		return f.finish(Answer{})
	}
	f.waiting = ActionResolve
	return f.act(ActionResolve)
}

func (f *Flow) recordState(state controlstate.BookingState, response []byte) Action {
	f.waiting = ActionRecord
	f.state = state
	f.response = response
	action := f.act(ActionRecord)
	action.State = state
	action.Response = response
	return action
}

func (f *Flow) recorded(event FlowEvent) Action {
	if event.Record == nil {
		return f.finish(f.unrecorded())
	}
	sameAttempt := event.Record.Attempt == f.record.Attempt
	f.record = *event.Record
	f.candidates = event.Candidates
	if sameAttempt && f.record.State == controlstate.BookingNotRun && !f.answered {
		return f.intend(event.Roll)
	}
	return f.follow()
}

// unrecorded is the answer while the outcome is not durable. A booking that is done is reported only once it is
// recorded, because a resend could otherwise be answered differently.
func (f *Flow) unrecorded() Answer {
	if f.state == controlstate.BookingNotRun {
		return Answer{Code: fault.NotRun, Reason: "the attempt was refused before it started", Attempt: f.record.Attempt}
	}
	return Answer{Code: fault.OutcomeUnknown, Reason: "the outcome is not recorded", Attempt: f.record.Attempt}
}

func (f *Flow) deadline() Action {
	if f.answered {
		return Action{Kind: ActionNone}
	}
	answer := Answer{Code: fault.OutcomeUnknown, Reason: "no outcome within the deadline", Attempt: f.record.Attempt}
	switch f.waiting {
	case ActionNone, ActionRequestIntent:
		answer = Answer{Code: fault.NotRun, Reason: "the intent was not confirmed within the deadline", Attempt: f.record.Attempt}
	case ActionRecord:
		answer = f.unrecorded()
	}
	f.answered = true
	return Action{Kind: ActionNone, Answer: &answer}
}

func (f *Flow) finish(answer Answer) Action {
	f.waiting = ActionFinish
	action := Action{Kind: ActionFinish}
	if !f.answered {
		f.answered = true
		action.Answer = &answer
	}
	return action
}

func (f *Flow) act(kind ActionKind) Action {
	return Action{
		Kind: kind, Upstream: f.record.Upstream, OwnerID: f.record.OwnerID, OwnerInstance: f.record.OwnerInstance,
		Attempt: f.record.Attempt,
	}
}
