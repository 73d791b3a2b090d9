package suspect_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/wisteriamux/wisteriamux/internal/suspect"
)

func TestSuspect(t *testing.T) {
	for name, value := range map[string]string{"rapid.seed": "20262", "rapid.checks": "1000", "rapid.nofailfile": "true", "rapid.shrinktime": "0s"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	RegisterFailHandler(Fail)
	RunSpecs(t, "Suspect")
}

// recorder records the failure of a property instead of failing the test, so that a mutant can be expected to fail.
type recorder struct {
	rapid.TB
	failure string
}

func (t *recorder) Helper()                           {}
func (t *recorder) Name() string                      { return "recorder" }
func (t *recorder) Logf(string, ...any)               {}
func (t *recorder) Errorf(format string, args ...any) { t.failure += fmt.Sprintf(format, args...) }
func (t *recorder) Fatalf(format string, args ...any) { t.Errorf(format, args...) }
func (t *recorder) FailNow()                          {}
func (t *recorder) Failed() bool                      { return t.failure != "" }

// stepper is implemented by Table and its mutants.
type stepper interface {
	Step(suspect.Event) suspect.Outcome
}

// quarantineAnySecondCrash is a mutant that quarantines a request at its second crash even if it was not alone.
type quarantineAnySecondCrash struct {
	*suspect.Table
	crashes map[string]int
}

func (m *quarantineAnySecondCrash) Step(event suspect.Event) suspect.Outcome {
	outcome := m.Table.Step(event)
	if event.Kind == suspect.AfterResult && event.Result == suspect.Crashed {
		m.crashes[event.Fingerprint]++
		outcome.Quarantine = outcome.Quarantine || m.crashes[event.Fingerprint] > 1
	}
	return outcome
}

// simulation sends requests to upstreams that crash on the fingerprint "poison".
type simulation struct {
	table  stepper
	now    int64
	ticket uint64
	// inFlight holds the requests in flight by upstream, alone the upstreams at which one of them is a suspect.
	inFlight map[string][]suspect.Event
	alone    map[string]bool
	held     []suspect.Event
	crashes  int
	// quarantined holds the quarantined fingerprints, refused the number of refused requests by fingerprint.
	quarantined map[string]bool
	refused     map[string]int
}

func newSimulation(table stepper) *simulation {
	return &simulation{
		table: table, inFlight: map[string][]suspect.Event{}, alone: map[string]bool{},
		quarantined: map[string]bool{}, refused: map[string]int{},
	}
}

func (sim *simulation) event(upstream, fingerprint string) suspect.Event {
	sim.ticket++
	return suspect.Event{
		Kind: suspect.BeforeSend, Ticket: sim.ticket, Upstream: upstream, Group: "shard-0", Fingerprint: fingerprint, Idempotent: true,
	}
}

// ask sends, holds or refuses the request. It returns an error if a suspect shares an upstream with another request.
func (sim *simulation) ask(event suspect.Event) error {
	event.NowNanos = sim.now
	if sim.quarantined[event.Fingerprint] {
		event.Kind = suspect.Abandon
		sim.table.Step(event)
		sim.refused[event.Fingerprint]++
		return nil
	}
	switch sim.table.Step(event).Verdict {
	case suspect.Hold:
		sim.held = append(sim.held, event)
	case suspect.Refuse:
		sim.refused[event.Fingerprint]++
	case suspect.SendAlone:
		if len(sim.inFlight[event.Upstream]) > 0 {
			return fmt.Errorf("suspect sent to %s while %d requests are in flight there", event.Upstream, len(sim.inFlight[event.Upstream]))
		}
		sim.alone[event.Upstream] = true
		sim.inFlight[event.Upstream] = append(sim.inFlight[event.Upstream], event)
	case suspect.Send:
		if sim.alone[event.Upstream] {
			return fmt.Errorf("request sent to %s while a suspect is in flight there", event.Upstream)
		}
		sim.inFlight[event.Upstream] = append(sim.inFlight[event.Upstream], event)
	}
	return nil
}

// finishOldest finishes the oldest request at the upstream. The fingerprint "poison" crashes the upstream, which loses
// all requests there.
func (sim *simulation) finishOldest(upstream string) {
	running := sim.inFlight[upstream]
	if len(running) == 0 {
		return
	}
	if running[0].Fingerprint != "poison" {
		sim.inFlight[upstream] = running[1:]
		sim.reportResult(running[0], suspect.Succeeded)
		return
	}
	sim.crashes++
	sim.inFlight[upstream] = nil
	for _, lost := range running {
		sim.reportResult(lost, suspect.Crashed)
	}
}

func (sim *simulation) reportResult(event suspect.Event, result suspect.Result) {
	if len(sim.inFlight[event.Upstream]) == 0 {
		sim.alone[event.Upstream] = false
	}
	after := event
	after.Kind, after.Result, after.NowNanos = suspect.AfterResult, result, sim.now
	outcome := sim.table.Step(after)
	if outcome.Quarantine {
		sim.quarantined[event.Fingerprint] = true
	}
	if outcome.Retry && !event.Retry {
		retry := sim.event(event.Upstream, event.Fingerprint)
		retry.Retry = true
		sim.held = append(sim.held, retry)
	}
}

func (sim *simulation) retryHeld() error {
	held := sim.held
	sim.held = nil
	for _, event := range held {
		if err := sim.ask(event); err != nil {
			return err
		}
	}
	return nil
}

// checkInvariants checks that only requests with the fingerprint "poison" are refused or quarantined, and that no
// suspect shares an upstream with another request.
func checkInvariants(table func() stepper) func(*rapid.T) {
	return func(t *rapid.T) {
		sim := newSimulation(table())
		for range rapid.IntRange(10, 150).Draw(t, "steps") {
			sim.now += int64(time.Millisecond)
			upstream := rapid.SampledFrom([]string{"u1", "u2"}).Draw(t, "upstream")
			var err error
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				err = sim.ask(sim.event(upstream, rapid.SampledFrom([]string{"a", "b", "c", "poison"}).Draw(t, "fingerprint")))
			case 1:
				sim.finishOldest(upstream)
			case 2:
				err = sim.retryHeld()
			}
			if err != nil {
				t.Fatalf("suspect is not alone: %v", err)
			}
			for _, innocent := range []string{"a", "b", "c"} {
				if sim.quarantined[innocent] || sim.refused[innocent] > 0 {
					t.Fatalf("innocent request %s is refused", innocent)
				}
			}
		}
	}
}

var _ = Describe("Table", func() {
	It("never refuses an innocent request and keeps suspects alone", func() {
		result := &recorder{}
		rapid.Check(result, checkInvariants(func() stepper { return suspect.NewTable() }))
		Expect(result.failure).To(BeEmpty())
	})

	It("detects a mutant that refuses innocent requests because it counts crashes with several requests in flight", func() {
		result := &recorder{}
		rapid.Check(result, checkInvariants(func() stepper { return &quarantineAnySecondCrash{suspect.NewTable(), map[string]int{}} }))
		Expect(result.failure).To(ContainSubstring("is refused"))
	})

	It("refuses none of 400 innocent requests and quarantines the one that crashes each upstream", func() {
		sim := newSimulation(suspect.NewTable())
		upstreams := []string{"u1", "u2", "u3", "u4"}
		for round := range 400 {
			sim.now += int64(time.Millisecond)
			Expect(sim.ask(sim.event(upstreams[round%4], fmt.Sprint("innocent-", round%40)))).To(Succeed())
			if round%10 == 0 {
				Expect(sim.ask(sim.event(upstreams[(round/10)%4], "poison"))).To(Succeed())
			}
			if round%3 == 0 {
				sim.finishOldest(upstreams[round%4])
			}
			Expect(sim.retryHeld()).To(Succeed())
		}
		for range 2000 {
			for _, upstream := range upstreams {
				sim.finishOldest(upstream)
			}
			Expect(sim.retryHeld()).To(Succeed())
		}
		Expect(sim.held).To(BeEmpty(), "all held requests must be sent or refused")
		Expect(sim.quarantined).To(Equal(map[string]bool{"poison": true}))
		Expect(sim.refused).To(HaveLen(1))
		Expect(sim.crashes).To(BeNumerically("<=", 5), "at most one crash per upstream before the suspect is sent alone, and one more")
		AddReportEntry("crashes", sim.crashes)
	})

	It("keeps a suspect of one shard when the request succeeds on another shard", func() {
		table := suspect.NewTable()
		first := suspect.Event{Kind: suspect.BeforeSend, Ticket: 1, Upstream: "u1", Group: "s/1", Fingerprint: "q"}
		table.Step(first)
		first.Kind, first.Result = suspect.AfterResult, suspect.Crashed
		table.Step(first)
		other := suspect.Event{Kind: suspect.BeforeSend, Ticket: 2, Upstream: "u2", Group: "s/2", Fingerprint: "q"}
		Expect(table.Step(other).Verdict).To(Equal(suspect.Send))
		other.Kind, other.Result = suspect.AfterResult, suspect.Succeeded
		table.Step(other)
		again := suspect.Event{Kind: suspect.BeforeSend, Ticket: 3, Upstream: "u1", Group: "s/1", Fingerprint: "q"}
		Expect(table.Step(again).Verdict).To(Equal(suspect.SendAlone))
	})

	It("ends a quarantine after its duration", func() {
		table := suspect.NewTable()
		event := suspect.Event{Kind: suspect.BeforeSend, Ticket: 1, Upstream: "u", Fingerprint: "q", Retry: true}
		Expect(table.Step(event).Verdict).To(Equal(suspect.SendAlone))
		event.Kind, event.Result = suspect.AfterResult, suspect.Crashed
		Expect(table.Step(event).Quarantine).To(BeTrue())
		Expect(table.Quarantined("q", int64(suspect.Quarantine)-1)).To(BeTrue())
		Expect(table.Quarantined("q", int64(suspect.Quarantine))).To(BeFalse())
	})
})
