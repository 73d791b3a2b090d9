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

// trial takes the failure of a property, so that a mutant can be expected to fail.
type trial struct {
	rapid.TB
	failure string
}

func (t *trial) Helper()                           {}
func (t *trial) Name() string                      { return "trial" }
func (t *trial) Logf(string, ...any)               {}
func (t *trial) Errorf(format string, args ...any) { t.failure += fmt.Sprintf(format, args...) }
func (t *trial) Fatalf(format string, args ...any) { t.Errorf(format, args...) }
func (t *trial) FailNow()                          {}
func (t *trial) Failed() bool                      { return t.failure != "" }

// stepper is a Table or a mutant of it.
type stepper interface {
	Step(suspect.Event) suspect.Outcome
}

// crowdQuarantine is a mutant that blames a request for its second crash although it was not alone.
type crowdQuarantine struct {
	*suspect.Table
	crashes map[string]int
}

func (m *crowdQuarantine) Step(event suspect.Event) suspect.Outcome {
	outcome := m.Table.Step(event)
	if event.Kind == suspect.AfterResult && event.Result == suspect.Crashed {
		m.crashes[event.Fingerprint]++
		outcome.Quarantine = outcome.Quarantine || m.crashes[event.Fingerprint] > 1
	}
	return outcome
}

// fleet holds requests at upstreams that crash on the fingerprint "poison".
type fleet struct {
	table       stepper
	now         int64
	ticket      uint64
	inFlight    map[string][]suspect.Event
	alone       map[string]bool
	held        []suspect.Event
	crashes     int
	quarantined map[string]bool
	refused     map[string]int
}

func newFleet(table stepper) *fleet {
	return &fleet{
		table: table, inFlight: map[string][]suspect.Event{}, alone: map[string]bool{},
		quarantined: map[string]bool{}, refused: map[string]int{},
	}
}

func (f *fleet) event(upstream, fingerprint string) suspect.Event {
	f.ticket++
	return suspect.Event{
		Kind: suspect.BeforeSend, Ticket: f.ticket, Upstream: upstream, Group: "shard-0", Fingerprint: fingerprint, Idempotent: true,
	}
}

// ask returns an error when a suspect shares an upstream with another request.
func (f *fleet) ask(event suspect.Event) error {
	event.NowNanos = f.now
	if f.quarantined[event.Fingerprint] {
		event.Kind = suspect.Abandon
		f.table.Step(event)
		f.refused[event.Fingerprint]++
		return nil
	}
	switch f.table.Step(event).Verdict {
	case suspect.Hold:
		f.held = append(f.held, event)
	case suspect.Refuse:
		f.refused[event.Fingerprint]++
	case suspect.SendAlone:
		if len(f.inFlight[event.Upstream]) > 0 {
			return fmt.Errorf("a suspect shares %s with %d requests", event.Upstream, len(f.inFlight[event.Upstream]))
		}
		f.alone[event.Upstream] = true
		f.inFlight[event.Upstream] = append(f.inFlight[event.Upstream], event)
	case suspect.Send:
		if f.alone[event.Upstream] {
			return fmt.Errorf("a request joins a suspect at %s", event.Upstream)
		}
		f.inFlight[event.Upstream] = append(f.inFlight[event.Upstream], event)
	}
	return nil
}

// end finishes the oldest request of the upstream. Poison takes down all requests there.
func (f *fleet) end(upstream string) {
	running := f.inFlight[upstream]
	if len(running) == 0 {
		return
	}
	if running[0].Fingerprint != "poison" {
		f.inFlight[upstream] = running[1:]
		f.report(running[0], suspect.Succeeded)
		return
	}
	f.crashes++
	f.inFlight[upstream] = nil
	for _, lost := range running {
		f.report(lost, suspect.Crashed)
	}
}

func (f *fleet) report(event suspect.Event, result suspect.Result) {
	if len(f.inFlight[event.Upstream]) == 0 {
		f.alone[event.Upstream] = false
	}
	after := event
	after.Kind, after.Result, after.NowNanos = suspect.AfterResult, result, f.now
	outcome := f.table.Step(after)
	if outcome.Quarantine {
		f.quarantined[event.Fingerprint] = true
	}
	if outcome.Retry && !event.Retry {
		retry := f.event(event.Upstream, event.Fingerprint)
		retry.Retry = true
		f.held = append(f.held, retry)
	}
}

func (f *fleet) retryHeld() error {
	held := f.held
	f.held = nil
	for _, event := range held {
		if err := f.ask(event); err != nil {
			return err
		}
	}
	return nil
}

// property: only the request that crashes upstreams is ever refused, and suspects are alone.
func property(table func() stepper) func(*rapid.T) {
	return func(t *rapid.T) {
		f := newFleet(table())
		for range rapid.IntRange(10, 150).Draw(t, "steps") {
			f.now += int64(time.Millisecond)
			upstream := rapid.SampledFrom([]string{"u1", "u2"}).Draw(t, "upstream")
			var err error
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				err = f.ask(f.event(upstream, rapid.SampledFrom([]string{"a", "b", "c", "poison"}).Draw(t, "fingerprint")))
			case 1:
				f.end(upstream)
			case 2:
				err = f.retryHeld()
			}
			if err != nil {
				t.Fatalf("suspect alone: %v", err)
			}
			for _, innocent := range []string{"a", "b", "c"} {
				if f.quarantined[innocent] || f.refused[innocent] > 0 {
					t.Fatalf("innocent %s is refused", innocent)
				}
			}
		}
	}
}

var _ = Describe("Table", func() {
	It("never refuses an innocent request and keeps suspects alone", func() {
		result := &trial{}
		rapid.Check(result, property(func() stepper { return suspect.NewTable() }))
		Expect(result.failure).To(BeEmpty())
	})

	It("would refuse innocent requests if crashes in a crowd counted, which the check detects", func() {
		result := &trial{}
		rapid.Check(result, property(func() stepper { return &crowdQuarantine{suspect.NewTable(), map[string]int{}} }))
		Expect(result.failure).To(ContainSubstring("is refused"))
	})

	It("refuses none of 400 innocent requests beside one that crashes each upstream, and stops that one", func() {
		f := newFleet(suspect.NewTable())
		upstreams := []string{"u1", "u2", "u3", "u4"}
		for round := range 400 {
			f.now += int64(time.Millisecond)
			Expect(f.ask(f.event(upstreams[round%4], fmt.Sprint("innocent-", round%40)))).To(Succeed())
			if round%10 == 0 {
				Expect(f.ask(f.event(upstreams[(round/10)%4], "poison"))).To(Succeed())
			}
			if round%3 == 0 {
				f.end(upstreams[round%4])
			}
			Expect(f.retryHeld()).To(Succeed())
		}
		for range 2000 {
			for _, upstream := range upstreams {
				f.end(upstream)
			}
			Expect(f.retryHeld()).To(Succeed())
		}
		Expect(f.held).To(BeEmpty(), "a held request never became free")
		Expect(f.quarantined).To(Equal(map[string]bool{"poison": true}))
		Expect(f.refused).To(HaveLen(1))
		Expect(f.crashes).To(BeNumerically("<=", 5), "one crash per upstream at most before the suspect is alone, and one more")
		AddReportEntry("crashes", f.crashes)
	})

	It("keeps a suspicion of one shard when the request succeeds on another", func() {
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

	It("ends a quarantine after its time", func() {
		table := suspect.NewTable()
		event := suspect.Event{Kind: suspect.BeforeSend, Ticket: 1, Upstream: "u", Fingerprint: "q", Retry: true}
		Expect(table.Step(event).Verdict).To(Equal(suspect.SendAlone))
		event.Kind, event.Result = suspect.AfterResult, suspect.Crashed
		Expect(table.Step(event).Quarantine).To(BeTrue())
		Expect(table.Quarantined("q", int64(suspect.Quarantine)-1)).To(BeTrue())
		Expect(table.Quarantined("q", int64(suspect.Quarantine))).To(BeFalse())
	})
})
