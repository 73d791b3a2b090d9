package booking_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/wisteriamux/wisteriamux/internal/booking"
	"github.com/wisteriamux/wisteriamux/internal/controlstate"
	"github.com/wisteriamux/wisteriamux/internal/fault"
)

func TestBooking(t *testing.T) {
	for name, value := range map[string]string{"rapid.seed": "20261", "rapid.checks": "3000", "rapid.nofailfile": "true", "rapid.shrinktime": "0s"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	RegisterFailHandler(Fail)
	RunSpecs(t, "Booking")
}

// recordingTB is a rapid.TB that records the failure of a property instead of failing the suite.
type recordingTB struct{ failure string }

func (t *recordingTB) Helper()                           {}
func (t *recordingTB) Name() string                      { return "recording" }
func (t *recordingTB) Logf(string, ...any)               {}
func (t *recordingTB) Log(...any)                        {}
func (t *recordingTB) Skipf(string, ...any)              {}
func (t *recordingTB) Skip(...any)                       {}
func (t *recordingTB) SkipNow()                          {}
func (t *recordingTB) Errorf(format string, args ...any) { t.failure += fmt.Sprintf(format, args...) }
func (t *recordingTB) Error(args ...any)                 { t.failure += fmt.Sprint(args...) }
func (t *recordingTB) Fatalf(format string, args ...any) { t.Errorf(format, args...) }
func (t *recordingTB) Fatal(args ...any)                 { t.Error(args...) }
func (t *recordingTB) FailNow()                          {}
func (t *recordingTB) Fail()                             {}
func (t *recordingTB) Failed() bool                      { return t.failure != "" }

// checkFailure checks a property and returns its failure, or "" if it holds.
func checkFailure(property func(*rapid.T)) string {
	result := &recordingTB{}
	rapid.Check(result, property)
	return result.failure
}

// mutant is a deliberate fault that the checks must detect.
type mutant string

const (
	noMutant mutant = ""
	// resolveWithoutRefusal resolves an attempt that was never received without rejecting a late copy (violates P5).
	resolveWithoutRefusal mutant = "resolve without refusal"
	// lostReplyIsNotRun treats a lost reply of the owner as a refusal (violates P4).
	lostReplyIsNotRun mutant = "lost reply is not run"
	// expiredIsNeverReceived treats an attempt beyond its retention as never received (violates P5).
	expiredIsNeverReceived mutant = "expired is never received"
)

// attemptCopy is the message that carries an attempt to its owner, or the attempt while it runs there.
type attemptCopy struct {
	request  *clientRequest
	attempt  uint64
	owner    string
	instance uint64
}

// ownerProcess is a process that owns upstreams, with its current instance.
type ownerProcess struct {
	instance uint64
	table    *booking.Table
}

// clientRequest is one caller's request with its pending action, its answer and the attempts that it was granted.
type clientRequest struct {
	key      string
	flow     *booking.Flow
	action   booking.Action
	sentCopy *attemptCopy
	answer   *booking.Answer
	attempts []uint64
}

// simulation runs bookings against a real control state and two owners. Lost replies, late copies, restarts and the
// passing of time are drawn at random.
type simulation struct {
	t        *rapid.T
	mutant   mutant
	now      int64
	index    uint64
	control  *controlstate.State
	owners   map[string]*ownerProcess
	requests []*clientRequest
	// inFlight are the copies that have not reached their owner, running those that the owner has accepted.
	inFlight      []*attemptCopy
	running       []*attemptCopy
	runs          map[string]int
	runsByAttempt map[string]int
}

var limits = booking.Limits{Attempts: 6, Bytes: 1 << 20, Tombstones: 8, TombstoneRetention: 26 * time.Hour, Retention: time.Minute}

func newSimulation(t *rapid.T, mutant mutant) *simulation {
	s := &simulation{
		t: t, mutant: mutant, control: controlstate.New(), owners: map[string]*ownerProcess{},
		runs: map[string]int{}, runsByAttempt: map[string]int{},
	}
	s.restartOwner("a")
	s.restartOwner("b")
	return s
}

func (s *simulation) applyCommand(command controlstate.Command) controlstate.Result {
	s.index++
	command.UnixMillis = s.now / int64(time.Millisecond)
	return s.control.Apply(s.index, command)
}

func (s *simulation) join(id string) uint64 {
	join := controlstate.JoinMember{}
	join.Member.ID = id
	join.Member.RPCAddress = id
	return s.applyCommand(controlstate.Command{JoinMember: &join}).Instance
}

func (s *simulation) restartOwner(id string) {
	s.owners[id] = &ownerProcess{instance: s.join(id), table: booking.NewTable(limits)}
}

func (s *simulation) drawBool(label string) bool { return rapid.Bool().Draw(s.t, label) }

func (s *simulation) candidates() []booking.Candidate {
	var candidates []booking.Candidate
	for _, id := range []string{"a", "b"} {
		candidates = append(candidates, booking.Candidate{Upstream: "up-" + id, OwnerID: id, OwnerInstance: s.owners[id].instance})
	}
	return candidates
}

func (s *simulation) startRequest() {
	if len(s.requests) == 12 {
		return
	}
	c := &clientRequest{key: fmt.Sprint("key-", rapid.IntRange(0, 2).Draw(s.t, "key")), flow: booking.NewFlow()}
	s.requests = append(s.requests, c)
	s.stepFlow(c, booking.FlowEvent{Kind: booking.FlowStart, Candidates: s.candidates(), Roll: rapid.Uint64().Draw(s.t, "roll")})
}

// stepFlow applies an event to the request's flow and keeps its action and answer.
func (s *simulation) stepFlow(c *clientRequest, event booking.FlowEvent) {
	if s.mutant == lostReplyIsNotRun && event.Outcome == booking.OutcomeUnreachable {
		event.Outcome = booking.OutcomeNotRun
	}
	action := c.flow.Step(event)
	if event.Kind != booking.FlowDeadline {
		c.action = action
	}
	if action.Answer != nil {
		if c.answer != nil {
			s.t.Fatalf("P3: a request was answered twice")
		}
		c.answer = action.Answer
	}
}

// performAction performs the pending action of a request. Its reply may be lost.
func (s *simulation) performAction(c *clientRequest) {
	lost := rapid.SampledFrom([]bool{false, false, false, true}).Draw(s.t, "lost")
	switch c.action.Kind {
	case booking.ActionRequestIntent:
		intent := controlstate.BookingIntent{
			Key: c.key, Digest: c.key, Upstream: c.action.Upstream, OwnerID: c.action.OwnerID, OwnerInstance: c.action.OwnerInstance,
		}
		result := s.applyCommand(controlstate.Command{BookingIntent: &intent})
		event := booking.FlowEvent{Kind: booking.FlowIntent, Code: fault.Unavailable}
		if !lost && result.Booking != nil {
			event.Record, event.Granted = recordOf(*result.Booking), result.Granted
			if result.Granted {
				c.attempts = append(c.attempts, result.Booking.Attempt)
			}
		}
		s.stepFlow(c, event)
	case booking.ActionSend:
		if c.sentCopy == nil {
			c.sentCopy = &attemptCopy{request: c, attempt: c.action.Attempt, owner: c.action.OwnerID, instance: c.action.OwnerInstance}
			s.inFlight = append(s.inFlight, c.sentCopy)
		} else if lost {
			c.sentCopy = nil
			s.stepFlow(c, booking.FlowEvent{Kind: booking.FlowOutcome, Outcome: booking.OutcomeUnreachable})
		}
	case booking.ActionResolve:
		s.stepFlow(c, s.resolveAttempt(c, lost))
	case booking.ActionRecord:
		outcome := controlstate.BookingOutcome{Key: c.key, Attempt: c.action.Attempt, State: c.action.State, Response: c.action.Response}
		result := s.applyCommand(controlstate.Command{BookingOutcome: &outcome})
		if !lost {
			s.stepFlow(c, booking.FlowEvent{Kind: booking.FlowRecorded, Record: recordOf(*result.Booking), Roll: 1, Candidates: s.candidates()})
		}
	}
}

func (s *simulation) resolveAttempt(c *clientRequest, lost bool) booking.FlowEvent {
	event := booking.FlowEvent{Kind: booking.FlowOutcome, Outcome: booking.OutcomeUnreachable}
	owner := s.owners[c.action.OwnerID]
	if owner.instance != c.action.OwnerInstance && s.drawBool("fence seen") {
		event.Outcome = booking.OutcomeOwnerGone
		return event
	}
	kind := booking.TableResolve
	if s.mutant == resolveWithoutRefusal {
		kind = booking.TablePeek
	}
	result := owner.table.Step(booking.TableEvent{
		Kind: kind, NowNanos: s.now, Key: c.key, Attempt: c.action.Attempt, Instance: c.action.OwnerInstance, Current: owner.instance,
	})
	if s.mutant == expiredIsNeverReceived && result.Reason == "the attempt ended too long ago" {
		result.Outcome = booking.OutcomeNotRun
	}
	if !lost {
		event.Outcome, event.Response = result.Outcome, result.Response
	}
	return event
}

// receiveCopy delivers a copy to the process that now has the owner's ID. An owner starts an attempt only if its
// instance is the one that the intent names, which it checks again directly before it sends.
func (s *simulation) receiveCopy(c *attemptCopy) {
	owner := s.owners[c.owner]
	result := owner.table.Step(booking.TableEvent{
		Kind: booking.TableReceive, NowNanos: s.now, Key: c.request.key, Attempt: c.attempt, Instance: c.instance, Current: owner.instance,
	})
	if !result.Send {
		s.returnResult(c, result)
		return
	}
	s.running = append(s.running, c)
}

// finishCopy ends a running attempt: the upstream rejects it, or runs it and then either answers or drops the
// connection.
func (s *simulation) finishCopy(c *attemptCopy) {
	event := booking.TableEvent{Kind: booking.TableFinish, NowNanos: s.now, Key: c.request.key, Attempt: c.attempt, Outcome: booking.OutcomeNotRun}
	if s.drawBool("runs") {
		s.runs[c.request.key]++
		s.runsByAttempt[fmt.Sprint(c.request.key, c.attempt)]++
		event.Outcome = booking.OutcomeUnknown
		if s.drawBool("answers") {
			event.Outcome, event.Response = booking.OutcomeDone, []byte(fmt.Sprint(c.request.key, c.attempt))
		}
	}
	owner := s.owners[c.owner]
	result := owner.table.Step(event)
	s.returnResult(c, result)
}

// returnResult returns a result to the request, unless the request no longer waits for this copy.
func (s *simulation) returnResult(c *attemptCopy, result booking.TableResult) {
	if c.request.sentCopy == c {
		c.request.sentCopy = nil
		s.stepFlow(c.request, booking.FlowEvent{Kind: booking.FlowOutcome, Outcome: result.Outcome, Response: result.Response})
	}
}

// killOwner replaces an owner process. Running attempts of the old process may have run, but their outcome is lost.
func (s *simulation) killOwner(id string) {
	s.restartOwner(id)
	var left []*attemptCopy
	for _, c := range s.running {
		if c.owner != id {
			left = append(left, c)
			continue
		}
		if s.drawBool("ran before the kill") {
			s.runs[c.request.key]++
			s.runsByAttempt[fmt.Sprint(c.request.key, c.attempt)]++
		}
	}
	s.running = left
}

func recordOf(record controlstate.Booking) *booking.Record {
	return &booking.Record{
		Attempt: record.Attempt, State: record.State, Upstream: record.Intent.Upstream,
		OwnerID: record.Intent.OwnerID, OwnerInstance: record.Intent.OwnerInstance, Response: record.Response,
	}
}

// removeRandom removes a random copy from the list and returns it, or nil if the list is empty.
func removeRandom(s *simulation, from *[]*attemptCopy, label string) *attemptCopy {
	if len(*from) == 0 {
		return nil
	}
	i := rapid.IntRange(0, len(*from)-1).Draw(s.t, label)
	taken := (*from)[i]
	*from = append((*from)[:i:i], (*from)[i+1:]...)
	return taken
}

const (
	stepStart = iota
	stepPerformAction
	stepReceive
	stepFinish
	stepDeadline
	stepTime
	stepOwner
)

// steps lists each step as often as its weight. With these weights many bookings reach an upstream before a failure.
var steps = []int{
	stepStart, stepStart, stepPerformAction, stepPerformAction, stepPerformAction, stepPerformAction, stepPerformAction,
	stepPerformAction, stepPerformAction, stepPerformAction, stepReceive, stepReceive, stepReceive, stepFinish, stepFinish,
	stepDeadline, stepTime, stepOwner,
}

func (s *simulation) step() {
	switch rapid.SampledFrom(steps).Draw(s.t, "step") {
	case stepStart:
		s.startRequest()
	case stepPerformAction:
		if len(s.requests) > 0 {
			s.performAction(s.requests[rapid.IntRange(0, len(s.requests)-1).Draw(s.t, "caller")])
		}
	case stepReceive:
		if c := removeRandom(s, &s.inFlight, "copy"); c != nil {
			s.receiveCopy(c)
		}
	case stepFinish:
		if c := removeRandom(s, &s.running, "running"); c != nil {
			s.finishCopy(c)
		}
	case stepDeadline:
		if len(s.requests) > 0 {
			s.stepFlow(s.requests[rapid.IntRange(0, len(s.requests)-1).Draw(s.t, "late")], booking.FlowEvent{Kind: booking.FlowDeadline})
		}
	case stepTime:
		s.now += int64(rapid.IntRange(1, 90).Draw(s.t, "seconds")) * int64(time.Second)
	case stepOwner:
		id := rapid.SampledFrom([]string{"a", "b"}).Draw(s.t, "owner")
		if s.drawBool("kill") {
			s.killOwner(id)
		} else {
			s.owners[id].instance = s.join(id)
		}
	}
}

// checkAtMostOnce checks P5 AtMostOnce: no booking key runs more than once.
func checkAtMostOnce(s *simulation) {
	for key, runs := range s.runs {
		if runs > 1 {
			s.t.Fatalf("P5 AtMostOnce: %s ran %d times", key, runs)
		}
	}
}

// checkNotRunIsTrue checks P4 NotRunIsTrue: a request that was answered not run has no attempt that ran.
func checkNotRunIsTrue(s *simulation) {
	for _, c := range s.requests {
		if c.answer == nil || c.answer.Code != fault.NotRun {
			continue
		}
		for _, attempt := range c.attempts {
			if s.runsByAttempt[fmt.Sprint(c.key, attempt)] > 0 {
				s.t.Fatalf("P4 NotRunIsTrue: attempt %d of %s ran", attempt, c.key)
			}
		}
	}
}

// checkOwnAnswer checks P3 OwnAnswer: a completed booking is answered with the response of its own attempt.
func checkOwnAnswer(s *simulation) {
	for _, c := range s.requests {
		if c.answer != nil && c.answer.Code == "" && string(c.answer.Response) != fmt.Sprint(c.key, c.answer.Attempt) {
			s.t.Fatalf("P3 OwnAnswer: %s was answered %q", c.key, c.answer.Response)
		}
	}
}

// simulationProperty runs a simulation with the mutant and applies the checks after every step.
func simulationProperty(mutant mutant, checks ...func(*simulation)) func(*rapid.T) {
	return func(t *rapid.T) {
		s := newSimulation(t, mutant)
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			s.step()
			for _, check := range checks {
				check(s)
			}
		}
	}
}

var _ = Describe("a booking with lost replies, late copies, killed and fenced owners", func() {
	It("keeps the properties P3 OwnAnswer, P4 NotRunIsTrue and P5 AtMostOnce", func() {
		Expect(checkFailure(simulationProperty(noMutant, checkOwnAnswer, checkNotRunIsTrue, checkAtMostOnce))).To(BeEmpty())
	})
	It("detects a resolve that does not reject the late copy, which violates P5", func() {
		Expect(checkFailure(simulationProperty(resolveWithoutRefusal, checkAtMostOnce))).To(ContainSubstring("P5 AtMostOnce"))
	})
	It("detects a lost reply that is treated as a refusal, which violates P4", func() {
		Expect(checkFailure(simulationProperty(lostReplyIsNotRun, checkNotRunIsTrue))).To(ContainSubstring("P4 NotRunIsTrue"))
	})
	It("detects a table that treats an expired attempt as never received, which violates P5", func() {
		Expect(checkFailure(simulationProperty(expiredIsNeverReceived, checkAtMostOnce))).To(ContainSubstring("P5 AtMostOnce"))
	})
})

var _ = Describe("Table", func() {
	It("does not treat an attempt as never received after its tombstone was dropped early", func() {
		table := booking.NewTable(booking.Limits{Attempts: 10, Bytes: 1 << 20, Tombstones: 1, TombstoneRetention: 26 * time.Hour, Retention: time.Minute})
		for i := range 3 {
			key, now := fmt.Sprint(i), int64(i)*int64(time.Hour)
			table.Step(booking.TableEvent{Kind: booking.TableReceive, Key: key, Attempt: 1, NowNanos: now})
			table.Step(booking.TableEvent{Kind: booking.TableFinish, Key: key, Attempt: 1, NowNanos: now, Outcome: booking.OutcomeDone})
		}
		late := int64(9) * int64(time.Hour)
		Expect(table.Step(booking.TableEvent{Kind: booking.TableResolve, Key: "0", Attempt: 1, NowNanos: late}).Outcome).To(Equal(booking.OutcomeOwnerGone))
		Expect(table.Step(booking.TableEvent{Kind: booking.TableReceive, Key: "0", Attempt: 1, NowNanos: late}).Send).To(BeFalse())
	})

	It("accepts bookings again, also with an earlier key, once the dropped tombstone would have expired", func() {
		table := booking.NewTable(booking.Limits{Attempts: 10, Bytes: 1 << 20, Tombstones: 1, TombstoneRetention: 26 * time.Hour, Retention: time.Minute})
		for i := range 3 {
			key, now := fmt.Sprint(i), int64(i)*int64(time.Hour)
			table.Step(booking.TableEvent{Kind: booking.TableReceive, Key: key, Attempt: 1, NowNanos: now})
			table.Step(booking.TableEvent{Kind: booking.TableFinish, Key: key, Attempt: 1, NowNanos: now, Outcome: booking.OutcomeDone})
		}
		receive := func(hours int) bool {
			now := int64(hours) * int64(time.Hour)
			return table.Step(booking.TableEvent{Kind: booking.TableReceive, Key: "0", Attempt: 1, NowNanos: now}).Send
		}
		Expect(receive(25)).To(BeFalse())
		Expect(receive(29)).To(BeTrue())
	})

	It("rejects bookings when the table is full", func() {
		table := booking.NewTable(booking.Limits{Attempts: 1, Bytes: 1 << 20, Tombstones: 1, Retention: time.Minute})
		Expect(table.Step(booking.TableEvent{Kind: booking.TableReceive, Key: "a", Attempt: 1}).Send).To(BeTrue())
		refused := table.Step(booking.TableEvent{Kind: booking.TableReceive, Key: "b", Attempt: 1})
		Expect(refused.Send).To(BeFalse())
		Expect(refused.Outcome).To(Equal(booking.OutcomeNotRun))
	})
})

var _ = Describe("Flow", func() {
	It("does not send an attempt whose intent is granted only after the caller was answered not run", func() {
		flow := booking.NewFlow()
		flow.Step(booking.FlowEvent{Kind: booking.FlowStart, Candidates: []booking.Candidate{{Upstream: "u", OwnerID: "o", OwnerInstance: 1}}})
		Expect(flow.Step(booking.FlowEvent{Kind: booking.FlowDeadline}).Answer.Code).To(Equal(fault.NotRun))
		late := flow.Step(booking.FlowEvent{Kind: booking.FlowIntent, Granted: true, Record: &booking.Record{Attempt: 1, State: controlstate.BookingOpen, Upstream: "u"}})
		Expect(late.Kind).To(Equal(booking.ActionRecord))
		Expect(late.State).To(Equal(controlstate.BookingNotRun))
	})

	It("answers a resend with the recorded outcome when no upstream is ready", func() {
		flow := booking.NewFlow()
		Expect(flow.Step(booking.FlowEvent{Kind: booking.FlowStart}).Kind).To(Equal(booking.ActionRequestIntent))
		record := &booking.Record{Attempt: 1, State: controlstate.BookingDone, Response: []byte("seat 4")}
		answer := flow.Step(booking.FlowEvent{Kind: booking.FlowIntent, Record: record}).Answer
		Expect(string(answer.Response)).To(Equal("seat 4"))
	})
})
