package controlstate

import (
	"bytes"
	"flag"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/model"
	_ "github.com/wisteriamux/wisteriamux/internal/rapidseed"
)

// The flag on the command line still takes precedence over 500 histories.
func init() { _ = flag.Set("rapid.checks", "500") }

func TestControlstate(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Controlstate")
}

// step is one drawn command. The numbers choose among few names, so that commands meet.
type step struct {
	Kind       int
	A, B, C    int
	Exact      bool
	MillisLate int64
}

var steps = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
	return step{
		Kind:       rapid.IntRange(0, 9).Draw(t, "kind"),
		A:          rapid.IntRange(0, 3).Draw(t, "a"),
		B:          rapid.IntRange(0, 3).Draw(t, "b"),
		C:          rapid.IntRange(0, 3).Draw(t, "c"),
		Exact:      rapid.IntRange(0, 3).Draw(t, "exact") > 0,
		MillisLate: rapid.SampledFrom([]int64{1, 1, 1, 1, 1, -5_000, 3_600_000, 13 * 3_600_000}).Draw(t, "late"),
	}
}), 20, 120)

// tamper changes a state or a command before it is applied, as a fault in the state machine would.
type tamper func(s *State, command *Command)

// checker drives a state and keeps an independent account of what it must hold.
type checker struct {
	state  *State
	mutant tamper
	index  uint64
	sent   int64

	clock    int64
	config   model.Configuration
	results  map[string]Result
	digests  map[string]string
	members  map[string]uint64
	bookings map[string]*Booking
	drained  map[string]string
	view     *model.View
}

func newChecker(mutant tamper) *checker {
	return &checker{
		state: New(), mutant: mutant, sent: 1_000_000, results: map[string]Result{}, digests: map[string]string{},
		members: map[string]uint64{}, bookings: map[string]*Booking{}, drained: map[string]string{}, view: &model.View{},
	}
}

// run returns the first violation of an invariant.
func run(drawn []step, mutant tamper) error {
	c := newChecker(mutant)
	for _, step := range drawn {
		if step.Kind == 9 {
			if err := c.restart(); err != nil {
				return err
			}
			continue
		}
		if err := c.apply(step); err != nil {
			return fmt.Errorf("index %d, %+v: %w", c.index, step, err)
		}
	}
	return nil
}

func (c *checker) restart() error {
	before, err := c.state.Snapshot()
	if err != nil {
		return err
	}
	c.state, err = Restore(before)
	if err != nil {
		return err
	}
	after, err := c.state.Snapshot()
	if err == nil && !bytes.Equal(before, after) {
		return fmt.Errorf("P8: the restored state differs from the snapshot")
	}
	return err
}

func (c *checker) apply(s step) error {
	c.index++
	c.sent += s.MillisLate
	c.clock = max(c.clock, c.sent)
	command := c.command(s)
	command.UnixMillis = c.sent
	tampered := command
	if c.mutant != nil {
		c.mutant(c.state, &tampered)
	}
	result := c.state.Apply(c.index, tampered)
	c.retain()
	if err := c.expect(command, result); err != nil {
		return err
	}
	return c.checkView(result)
}

func (c *checker) command(s step) Command {
	member := fmt.Sprintf("entry-%d", s.A%2)
	instance := c.members[member]
	if !s.Exact {
		instance = uint64(s.B)
	}
	upstream := fmt.Sprintf("up-%d", s.A%2)
	process := fmt.Sprint(s.B % 2)
	key := fmt.Sprintf("key-%d", s.B%2)
	switch s.Kind {
	case 0, 1:
		base := c.config.Version
		if !s.Exact {
			base = uint64(s.B)
		}
		inventory := model.Inventory{Services: []model.Service{{Name: fmt.Sprintf("s%d", s.C%2), Kind: model.ServiceSearch}}}
		return Command{ApplyConfig: &ApplyConfig{ChangeID: fmt.Sprintf("change-%d-%d", s.A, s.B), BaseVersion: base, Inventory: inventory}}
	case 2:
		return Command{JoinMember: &JoinMember{Member: model.Member{ID: member, RPCAddress: "127.0.0.1:1"}}}
	case 3:
		return Command{ExpireMember: &ExpireMember{ID: member, Instance: instance}}
	case 4:
		return Command{BookingIntent: &BookingIntent{Key: key, Digest: fmt.Sprint(s.C / 3), OwnerID: member, OwnerInstance: instance}}
	case 5, 6:
		state := []BookingState{BookingDone, BookingNotRun, BookingNotRun, BookingUnknown}[s.C]
		attempt := uint64(s.A)
		if record := c.bookings[key]; record != nil && s.Exact {
			attempt = record.Attempt
		}
		return Command{BookingOutcome: &BookingOutcome{Key: key, Attempt: attempt, State: state, Response: []byte{byte(c.index)}}}
	case 7:
		announcement := model.Announcement{Name: upstream, Service: "s", Instance: process, MaxVersion: uint64(s.C)}
		return Command{AnnounceUpstream: &AnnounceUpstream{Announcement: announcement}}
	default:
		states := []model.UpstreamState{model.UpstreamDraining, model.UpstreamDrained, model.UpstreamLost, model.UpstreamReady}
		return Command{SetUpstreamState: &SetUpstreamState{Name: upstream, State: states[s.C]}}
	}
}

// retain forgets in the account what the state may forget.
func (c *checker) retain() {
	for key, record := range c.bookings {
		if c.clock-record.UpdatedMillis < BookingRetention.Milliseconds() {
			continue
		}
		if record.State != BookingOpen {
			delete(c.bookings, key)
			continue
		}
		record.State = BookingUnknown
		record.UpdatedMillis = c.clock
	}
}

func (c *checker) expect(command Command, result Result) error {
	switch {
	case command.ApplyConfig != nil:
		return c.expectConfig(*command.ApplyConfig, result)
	case command.JoinMember != nil:
		c.members[command.JoinMember.Member.ID] = c.index
	case command.ExpireMember != nil:
		if c.members[command.ExpireMember.ID] == command.ExpireMember.Instance {
			delete(c.members, command.ExpireMember.ID)
		}
	case command.BookingIntent != nil:
		return c.expectIntent(*command.BookingIntent, result)
	case command.BookingOutcome != nil:
		return c.expectOutcome(*command.BookingOutcome)
	case command.AnnounceUpstream != nil:
		announcement := command.AnnounceUpstream.Announcement
		if c.drained[announcement.Name] != announcement.Instance {
			delete(c.drained, announcement.Name)
		}
	case command.SetUpstreamState != nil && result.Fault == nil:
		c.noteDrain(*command.SetUpstreamState)
	}
	return nil
}

func (c *checker) noteDrain(set SetUpstreamState) {
	switch set.State {
	case model.UpstreamDraining, model.UpstreamDrained:
		c.drained[set.Name] = c.state.upstreams[set.Name].Instance
	case model.UpstreamReady:
		delete(c.drained, set.Name)
	}
}

func (c *checker) expectConfig(change ApplyConfig, result Result) error {
	if earlier, ok := c.results[change.ChangeID]; ok {
		if c.digests[change.ChangeID] != change.Digest() {
			return require(fault.Is(result.Fault.AsError(), fault.Conflict), "P8: a reused identifier was accepted")
		}
		return require(reflect.DeepEqual(earlier, result), "P8: a resend got %+v, first %+v", result, earlier)
	}
	c.results[change.ChangeID], c.digests[change.ChangeID] = result, change.Digest()
	if change.BaseVersion != c.config.Version {
		return require(fault.Is(result.Fault.AsError(), fault.Conflict), "P8: base %d accepted at version %d", change.BaseVersion, c.config.Version)
	}
	c.config = model.Configuration{Version: c.config.Version + 1, Inventory: change.Inventory}
	return require(result.Fault == nil && result.Version == c.config.Version, "P8: change refused: %+v", result)
}

func (c *checker) expectIntent(intent BookingIntent, result Result) error {
	record := c.bookings[intent.Key]
	ownerAlive := c.members[intent.OwnerID] == intent.OwnerInstance && intent.OwnerInstance != 0
	switch {
	case record != nil && record.Intent.Digest != intent.Digest:
		return require(fault.Is(result.Fault.AsError(), fault.Conflict), "P5: another body got %+v", result)
	case record == nil || record.State == BookingNotRun:
		if !ownerAlive {
			return require(fault.Is(result.Fault.AsError(), fault.NotRun), "P4: granted to an owner that is gone")
		}
		granted := &Booking{Intent: intent, Attempt: 1, State: BookingOpen, UpdatedMillis: c.clock}
		if record != nil {
			granted.Attempt = record.Attempt + 1
		}
		c.bookings[intent.Key] = granted
		return require(result.Granted && reflect.DeepEqual(result.Booking, granted), "P5: want grant of %+v, got %+v", granted, result)
	case record.State == BookingOpen && c.members[record.Intent.OwnerID] != record.Intent.OwnerInstance:
		record.State, record.UpdatedMillis = BookingUnknown, c.clock
	}
	return require(!result.Granted && reflect.DeepEqual(result.Booking, record), "P5: want %+v, got %+v", record, result)
}

func (c *checker) expectOutcome(outcome BookingOutcome) error {
	record := c.bookings[outcome.Key]
	if record != nil && record.State == BookingOpen && record.Attempt == outcome.Attempt {
		record.State, record.Response, record.UpdatedMillis = outcome.State, outcome.Response, c.clock
	}
	held, ok := c.state.Booking(outcome.Key)
	if record == nil {
		return require(!ok, "P5: key kept after its retention: %+v", held)
	}
	return require(ok && reflect.DeepEqual(&held, record), "P5: a recorded outcome changed: want %+v, got %+v", record, held)
}

func (c *checker) checkView(result Result) error {
	view := c.state.buildView()
	for _, upstream := range view.Upstreams {
		if c.drained[upstream.Name] == upstream.Instance && upstream.State == model.UpstreamReady {
			return fmt.Errorf("P6: %s is ready although its drain was ordered", upstream.Name)
		}
	}
	members := map[string]uint64{}
	for _, member := range view.Members {
		members[member.ID] = member.Instance
	}
	unchanged := view.Revision != c.view.Revision || reflect.DeepEqual(view, c.view) || c.view.Revision == 0
	backwards := view.Revision < c.view.Revision || result.Revision > view.Revision
	c.view = view
	switch {
	case !reflect.DeepEqual(members, c.members):
		return fmt.Errorf("P8: members are %v, want %v", members, c.members)
	case !reflect.DeepEqual(view.Config, c.config):
		return fmt.Errorf("P8: configuration is %+v, want %+v", view.Config, c.config)
	case !unchanged || backwards:
		return fmt.Errorf("P8: revision %d does not tell the change of the view", view.Revision)
	}
	return require(c.state.Now().UnixMilli() == c.clock, "P5: time is %d, want %d", c.state.Now().UnixMilli(), c.clock)
}

func require(holds bool, format string, args ...any) error {
	if holds {
		return nil
	}
	return fmt.Errorf(format, args...)
}

// onIntent returns a mutant that changes the record of a key before an intent for it; onOutcome likewise for outcomes.
func onIntent(change func(s *State, record *Booking)) tamper {
	return func(s *State, c *Command) {
		if c.BookingIntent != nil {
			changeRecord(s, c.BookingIntent.Key, func(record *Booking) { change(s, record) })
		}
	}
}

func onOutcome(change func(record *Booking, outcome BookingOutcome)) tamper {
	return func(s *State, c *Command) {
		if c.BookingOutcome != nil {
			changeRecord(s, c.BookingOutcome.Key, func(record *Booking) { change(record, *c.BookingOutcome) })
		}
	}
}

func changeRecord(s *State, key string, change func(record *Booking)) {
	if record := s.bookings.find(key); record != nil {
		changed := *record
		change(&changed)
		s.bookings.byKey[key].Value = &changed
	}
}

// regrant makes a state of a booking count as not run.
func regrant(state BookingState) tamper {
	return onIntent(func(_ *State, record *Booking) {
		if record.State == state {
			record.State = BookingNotRun
		}
	})
}

var mutants = map[string]tamper{
	"P8: any base version is accepted": func(s *State, c *Command) {
		if c.ApplyConfig != nil {
			change := *c.ApplyConfig
			change.BaseVersion = s.config.Version
			c.ApplyConfig = &change
		}
	},
	"P8: results of changes are forgotten": func(s *State, _ *Command) { s.changes = newChangeLog() },
	"P8: a late expiry removes a newer instance": func(s *State, c *Command) {
		if c.ExpireMember != nil {
			c.ExpireMember = &ExpireMember{ID: c.ExpireMember.ID, Instance: s.members[c.ExpireMember.ID].Instance}
		}
	},
	"P6: an announcement takes a drain back":          func(s *State, _ *Command) { clear(s.leaving) },
	"P5: time follows a leader whose clock is behind": func(s *State, c *Command) { s.nowMillis = c.UnixMillis },
	"P5: an open attempt is granted again":            regrant(BookingOpen),
	"P5: a later outcome replaces the first":          onOutcome(func(b *Booking, _ BookingOutcome) { b.State = BookingOpen }),
	"P5: an earlier attempt closes the current one":   onOutcome(func(b *Booking, o BookingOutcome) { b.Attempt = o.Attempt }),
	"P4: an unknown outcome counts as not run":        regrant(BookingUnknown),
	"P4: a lost owner is not noticed": onIntent(func(s *State, b *Booking) {
		b.Intent.OwnerInstance = s.members[b.Intent.OwnerID].Instance
	}),
}

var _ = Describe("the state under drawn commands", func() {
	It("keeps P4 NotRunIsTrue, P5 AtMostOnce, P6 LeavingGetsNoWork and P8 ConfigInForce over restarts", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			if err := run(steps.Draw(t, "steps"), nil); err != nil {
				t.Fatal(err)
			}
		})
	})

	for _, name := range slices.Sorted(maps.Keys(mutants)) {
		It("fails with the mutant "+name, func() {
			const seeds = 200
			for seed := range seeds {
				if err := run(steps.Example(seed), mutants[name]); err != nil {
					AddReportEntry("found", fmt.Sprintf("seed %d: %v", seed, err))
					return
				}
			}
			Fail(fmt.Sprintf("%d drawn histories did not find the fault", seeds))
		})
	}
})
