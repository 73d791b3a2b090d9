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

// trial runs a property and reports its failure instead of failing the suite.
type trial struct{ failure string }

func (t *trial) Helper()                           {}
func (t *trial) Name() string                      { return "trial" }
func (t *trial) Logf(string, ...any)               {}
func (t *trial) Log(...any)                        {}
func (t *trial) Skipf(string, ...any)              {}
func (t *trial) Skip(...any)                       {}
func (t *trial) SkipNow()                          {}
func (t *trial) Errorf(format string, args ...any) { t.failure += fmt.Sprintf(format, args...) }
func (t *trial) Error(args ...any)                 { t.failure += fmt.Sprint(args...) }
func (t *trial) Fatalf(format string, args ...any) { t.Errorf(format, args...) }
func (t *trial) Fatal(args ...any)                 { t.Error(args...) }
func (t *trial) FailNow()                          {}
func (t *trial) Fail()                             {}
func (t *trial) Failed() bool                      { return t.failure != "" }

func failureOf(property func(*rapid.T)) string {
	result := &trial{}
	rapid.Check(result, property)
	return result.failure
}

// mutant is one fault that the checks must detect.
type mutant string

const (
	noMutant mutant = ""
	// resolveWithoutRefusal answers never received without refusing a late copy (breaks P5).
	resolveWithoutRefusal mutant = "resolve without refusal"
	// lostIsNotRun takes a lost reply of the owner for a refusal (breaks P4).
	lostIsNotRun mutant = "lost reply is not run"
	// expiredIsNeverReceived forgets ended attempts altogether (breaks P5).
	expiredIsNeverReceived mutant = "expired is never received"
)

// copyOf is one copy of an attempt on its way to, or at, an owner.
type copyOf struct {
	flow     *caller
	attempt  uint64
	owner    string
	instance uint64
}

type ownerProcess struct {
	instance uint64
	table    *booking.Table
}

// caller is one request with its pending action.
type caller struct {
	key      string
	flow     *booking.Flow
	action   booking.Action
	waiting  *copyOf
	answer   *booking.Answer
	attempts []uint64
}

type world struct {
	t       *rapid.T
	mutant  mutant
	now     int64
	index   uint64
	control *controlstate.State
	owners  map[string]*ownerProcess
	callers []*caller
	// travelling copies have not reached their owner; running ones have started at an upstream or wait for a slot.
	travelling []*copyOf
	running    []*copyOf
	runs       map[string]int
	runsOf     map[string]int
}

var limits = booking.Limits{Attempts: 6, Bytes: 1 << 20, Tombstones: 8, TombstoneRetention: 26 * time.Hour, Retention: time.Minute}

func newWorld(t *rapid.T, mutant mutant) *world {
	w := &world{
		t: t, mutant: mutant, control: controlstate.New(), owners: map[string]*ownerProcess{},
		runs: map[string]int{}, runsOf: map[string]int{},
	}
	w.restart("a")
	w.restart("b")
	return w
}

func (w *world) apply(command controlstate.Command) controlstate.Result {
	w.index++
	command.UnixMillis = w.now / int64(time.Millisecond)
	return w.control.Apply(w.index, command)
}

func (w *world) join(id string) uint64 {
	join := controlstate.JoinMember{}
	join.Member.ID = id
	join.Member.RPCAddress = id
	return w.apply(controlstate.Command{JoinMember: &join}).Instance
}

func (w *world) restart(id string) {
	w.owners[id] = &ownerProcess{instance: w.join(id), table: booking.NewTable(limits)}
}

func (w *world) maybe(label string) bool { return rapid.Bool().Draw(w.t, label) }

func (w *world) candidates() []booking.Candidate {
	var candidates []booking.Candidate
	for _, id := range []string{"a", "b"} {
		candidates = append(candidates, booking.Candidate{Upstream: "up-" + id, OwnerID: id, OwnerInstance: w.owners[id].instance})
	}
	return candidates
}

func (w *world) start() {
	if len(w.callers) == 12 {
		return
	}
	c := &caller{key: fmt.Sprint("key-", rapid.IntRange(0, 2).Draw(w.t, "key")), flow: booking.NewFlow()}
	w.callers = append(w.callers, c)
	w.give(c, booking.FlowEvent{Kind: booking.FlowStart, Candidates: w.candidates(), Roll: rapid.Uint64().Draw(w.t, "roll")})
}

func (w *world) give(c *caller, event booking.FlowEvent) {
	if w.mutant == lostIsNotRun && event.Outcome == booking.OutcomeUnreachable {
		event.Outcome = booking.OutcomeNotRun
	}
	action := c.flow.Step(event)
	if event.Kind != booking.FlowDeadline {
		c.action = action
	}
	if action.Answer != nil {
		if c.answer != nil {
			w.t.Fatalf("P3: a request was answered twice")
		}
		c.answer = action.Answer
	}
}

// progress performs the pending action of a caller; a lost reply is one of the possible results.
func (w *world) progress(c *caller) {
	lost := rapid.SampledFrom([]bool{false, false, false, true}).Draw(w.t, "lost")
	switch c.action.Kind {
	case booking.ActionRequestIntent:
		intent := controlstate.BookingIntent{
			Key: c.key, Digest: c.key, Upstream: c.action.Upstream, OwnerID: c.action.OwnerID, OwnerInstance: c.action.OwnerInstance,
		}
		result := w.apply(controlstate.Command{BookingIntent: &intent})
		event := booking.FlowEvent{Kind: booking.FlowIntent, Code: fault.Unavailable}
		if !lost && result.Booking != nil {
			event.Record, event.Granted = recordOf(*result.Booking), result.Granted
			if result.Granted {
				c.attempts = append(c.attempts, result.Booking.Attempt)
			}
		}
		w.give(c, event)
	case booking.ActionSend:
		if c.waiting == nil {
			c.waiting = &copyOf{flow: c, attempt: c.action.Attempt, owner: c.action.OwnerID, instance: c.action.OwnerInstance}
			w.travelling = append(w.travelling, c.waiting)
		} else if lost {
			c.waiting = nil
			w.give(c, booking.FlowEvent{Kind: booking.FlowOutcome, Outcome: booking.OutcomeUnreachable})
		}
	case booking.ActionResolve:
		w.give(c, w.resolve(c, lost))
	case booking.ActionRecord:
		outcome := controlstate.BookingOutcome{Key: c.key, Attempt: c.action.Attempt, State: c.action.State, Response: c.action.Response}
		result := w.apply(controlstate.Command{BookingOutcome: &outcome})
		if !lost {
			w.give(c, booking.FlowEvent{Kind: booking.FlowRecorded, Record: recordOf(*result.Booking), Roll: 1, Candidates: w.candidates()})
		}
	}
}

func (w *world) resolve(c *caller, lost bool) booking.FlowEvent {
	event := booking.FlowEvent{Kind: booking.FlowOutcome, Outcome: booking.OutcomeUnreachable}
	owner := w.owners[c.action.OwnerID]
	if owner.instance != c.action.OwnerInstance && w.maybe("fence seen") {
		event.Outcome = booking.OutcomeOwnerGone
		return event
	}
	kind := booking.TableResolve
	if w.mutant == resolveWithoutRefusal {
		kind = booking.TablePeek
	}
	result := owner.table.Step(booking.TableEvent{
		Kind: kind, NowNanos: w.now, Key: c.key, Attempt: c.action.Attempt, Instance: c.action.OwnerInstance, Current: owner.instance,
	})
	if w.mutant == expiredIsNeverReceived && result.Reason == "the attempt ended too long ago" {
		result.Outcome = booking.OutcomeNotRun
	}
	if !lost {
		event.Outcome, event.Response = result.Outcome, result.Response
	}
	return event
}

// deliver brings a copy to the process that now has the identity of its owner. An owner starts an attempt only as the
// instance of the intent, which it checks again directly before it sends.
func (w *world) deliver(c *copyOf) {
	owner := w.owners[c.owner]
	result := owner.table.Step(booking.TableEvent{
		Kind: booking.TableReceive, NowNanos: w.now, Key: c.flow.key, Attempt: c.attempt, Instance: c.instance, Current: owner.instance,
	})
	if !result.Send {
		w.answerCopy(c, result)
		return
	}
	w.running = append(w.running, c)
}

// finish ends a running attempt: the upstream refuses it, or runs it and answers or loses the connection.
func (w *world) finish(c *copyOf) {
	event := booking.TableEvent{Kind: booking.TableFinish, NowNanos: w.now, Key: c.flow.key, Attempt: c.attempt, Outcome: booking.OutcomeNotRun}
	if w.maybe("runs") {
		w.runs[c.flow.key]++
		w.runsOf[fmt.Sprint(c.flow.key, c.attempt)]++
		event.Outcome = booking.OutcomeUnknown
		if w.maybe("answers") {
			event.Outcome, event.Response = booking.OutcomeDone, []byte(fmt.Sprint(c.flow.key, c.attempt))
		}
	}
	owner := w.owners[c.owner]
	result := owner.table.Step(event)
	w.answerCopy(c, result)
}

func (w *world) answerCopy(c *copyOf, result booking.TableResult) {
	if c.flow.waiting == c {
		c.flow.waiting = nil
		w.give(c.flow, booking.FlowEvent{Kind: booking.FlowOutcome, Outcome: result.Outcome, Response: result.Response})
	}
}

// kill replaces an owner process. Running attempts of the old one keep their effect, but nobody learns it.
func (w *world) kill(id string) {
	w.restart(id)
	var left []*copyOf
	for _, c := range w.running {
		if c.owner != id {
			left = append(left, c)
			continue
		}
		if w.maybe("ran before the kill") {
			w.runs[c.flow.key]++
			w.runsOf[fmt.Sprint(c.flow.key, c.attempt)]++
		}
	}
	w.running = left
}

func recordOf(record controlstate.Booking) *booking.Record {
	return &booking.Record{
		Attempt: record.Attempt, State: record.State, Upstream: record.Intent.Upstream,
		OwnerID: record.Intent.OwnerID, OwnerInstance: record.Intent.OwnerInstance, Response: record.Response,
	}
}

func take(w *world, from *[]*copyOf, label string) *copyOf {
	if len(*from) == 0 {
		return nil
	}
	i := rapid.IntRange(0, len(*from)-1).Draw(w.t, label)
	taken := (*from)[i]
	*from = append((*from)[:i:i], (*from)[i+1:]...)
	return taken
}

const (
	stepStart = iota
	stepProgress
	stepDeliver
	stepFinish
	stepDeadline
	stepTime
	stepOwner
)

// steps weighs the steps so that many bookings reach an upstream before something fails.
var steps = []int{
	stepStart, stepStart, stepProgress, stepProgress, stepProgress, stepProgress, stepProgress, stepProgress, stepProgress,
	stepProgress, stepDeliver, stepDeliver, stepDeliver, stepFinish, stepFinish, stepDeadline, stepTime, stepOwner,
}

func (w *world) step() {
	switch rapid.SampledFrom(steps).Draw(w.t, "step") {
	case stepStart:
		w.start()
	case stepProgress:
		if len(w.callers) > 0 {
			w.progress(w.callers[rapid.IntRange(0, len(w.callers)-1).Draw(w.t, "caller")])
		}
	case stepDeliver:
		if c := take(w, &w.travelling, "copy"); c != nil {
			w.deliver(c)
		}
	case stepFinish:
		if c := take(w, &w.running, "running"); c != nil {
			w.finish(c)
		}
	case stepDeadline:
		if len(w.callers) > 0 {
			w.give(w.callers[rapid.IntRange(0, len(w.callers)-1).Draw(w.t, "late")], booking.FlowEvent{Kind: booking.FlowDeadline})
		}
	case stepTime:
		w.now += int64(rapid.IntRange(1, 90).Draw(w.t, "seconds")) * int64(time.Second)
	case stepOwner:
		id := rapid.SampledFrom([]string{"a", "b"}).Draw(w.t, "owner")
		if w.maybe("kill") {
			w.kill(id)
		} else {
			w.owners[id].instance = w.join(id)
		}
	}
}

// P5 AtMostOnce.
func checkAtMostOnce(w *world) {
	for key, runs := range w.runs {
		if runs > 1 {
			w.t.Fatalf("P5 AtMostOnce: %s ran %d times", key, runs)
		}
	}
}

// P4 NotRunIsTrue.
func checkNotRunIsTrue(w *world) {
	for _, c := range w.callers {
		if c.answer == nil || c.answer.Code != fault.NotRun {
			continue
		}
		for _, attempt := range c.attempts {
			if w.runsOf[fmt.Sprint(c.key, attempt)] > 0 {
				w.t.Fatalf("P4 NotRunIsTrue: attempt %d of %s ran", attempt, c.key)
			}
		}
	}
}

// P3 OwnAnswer.
func checkOwnAnswer(w *world) {
	for _, c := range w.callers {
		if c.answer != nil && c.answer.Code == "" && string(c.answer.Response) != fmt.Sprint(c.key, c.answer.Attempt) {
			w.t.Fatalf("P3 OwnAnswer: %s was answered %q", c.key, c.answer.Response)
		}
	}
}

func property(mutant mutant, checks ...func(*world)) func(*rapid.T) {
	return func(t *rapid.T) {
		w := newWorld(t, mutant)
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			w.step()
			for _, check := range checks {
				check(w)
			}
		}
	}
}

var _ = Describe("a booking under lost replies, late copies, killed and fenced owners", func() {
	It("keeps P3, P4 and P5", func() {
		Expect(failureOf(property(noMutant, checkOwnAnswer, checkNotRunIsTrue, checkAtMostOnce))).To(BeEmpty())
	})
	It("detects a resolve that does not refuse the late copy, which breaks P5", func() {
		Expect(failureOf(property(resolveWithoutRefusal, checkAtMostOnce))).To(ContainSubstring("P5 AtMostOnce"))
	})
	It("detects a lost reply taken for a refusal, which breaks P4", func() {
		Expect(failureOf(property(lostIsNotRun, checkNotRunIsTrue))).To(ContainSubstring("P4 NotRunIsTrue"))
	})
	It("detects a table that takes an expired attempt for one never received, which breaks P5", func() {
		Expect(failureOf(property(expiredIsNeverReceived, checkAtMostOnce))).To(ContainSubstring("P5 AtMostOnce"))
	})
})

var _ = Describe("Table", func() {
	It("never takes a dropped attempt for one that was not received, however many it forgets", func() {
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

	It("takes bookings again once a dropped attempt can no longer be open, and a key that control has dropped", func() {
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

	It("refuses bookings instead of growing without bound", func() {
		table := booking.NewTable(booking.Limits{Attempts: 1, Bytes: 1 << 20, Tombstones: 1, Retention: time.Minute})
		Expect(table.Step(booking.TableEvent{Kind: booking.TableReceive, Key: "a", Attempt: 1}).Send).To(BeTrue())
		refused := table.Step(booking.TableEvent{Kind: booking.TableReceive, Key: "b", Attempt: 1})
		Expect(refused.Send).To(BeFalse())
		Expect(refused.Outcome).To(Equal(booking.OutcomeNotRun))
	})
})

var _ = Describe("Flow", func() {
	It("never sends an intent that is confirmed only after the caller was told not run", func() {
		flow := booking.NewFlow()
		flow.Step(booking.FlowEvent{Kind: booking.FlowStart, Candidates: []booking.Candidate{{Upstream: "u", OwnerID: "o", OwnerInstance: 1}}})
		Expect(flow.Step(booking.FlowEvent{Kind: booking.FlowDeadline}).Answer.Code).To(Equal(fault.NotRun))
		late := flow.Step(booking.FlowEvent{Kind: booking.FlowIntent, Granted: true, Record: &booking.Record{Attempt: 1, State: controlstate.BookingOpen, Upstream: "u"}})
		Expect(late.Kind).To(Equal(booking.ActionRecord))
		Expect(late.State).To(Equal(controlstate.BookingNotRun))
	})

	It("returns the recorded outcome of a resend when no upstream is ready", func() {
		flow := booking.NewFlow()
		Expect(flow.Step(booking.FlowEvent{Kind: booking.FlowStart}).Kind).To(Equal(booking.ActionRequestIntent))
		record := &booking.Record{Attempt: 1, State: controlstate.BookingDone, Response: []byte("seat 4")}
		answer := flow.Step(booking.FlowEvent{Kind: booking.FlowIntent, Record: record}).Answer
		Expect(string(answer.Response)).To(Equal("seat 4"))
	})
})
