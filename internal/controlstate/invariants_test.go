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

// init sets the default to 500 histories. The flag on the command line takes precedence.
func init() { _ = flag.Set("rapid.checks", "500") }

func TestControlstate(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Controlstate")
}

// step is one generated command. The numbers select from a few names, so that commands affect the same entries.
type step struct {
	Kind          int
	A, B, C       int
	Exact         bool
	ElapsedMillis int64
}

var steps = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
	return step{
		Kind:          rapid.IntRange(0, 9).Draw(t, "kind"),
		A:             rapid.IntRange(0, 3).Draw(t, "a"),
		B:             rapid.IntRange(0, 3).Draw(t, "b"),
		C:             rapid.IntRange(0, 3).Draw(t, "c"),
		Exact:         rapid.IntRange(0, 3).Draw(t, "exact") > 0,
		ElapsedMillis: rapid.SampledFrom([]int64{1, 1, 1, 1, 1, -5_000, 3_600_000, 13 * 3_600_000}).Draw(t, "late"),
	}
}), 20, 120)

// mutation changes a state or a command before it is applied, as a fault in the state machine would.
type mutation func(s *State, command *Command)

// checker applies commands to a state and maintains an independent model of the expected state.
type checker struct {
	state       *State
	mutant      mutation
	index       uint64
	leaderClock int64

	clock       int64
	config      model.Configuration
	results     map[string]Result
	digests     map[string]string
	members     map[string]uint64
	bookings    map[string]*Booking
	drainOrders map[string]string
	view        *model.View
}

func newChecker(mutant mutation) *checker {
	return &checker{
		state: New(), mutant: mutant, leaderClock: 1_000_000, results: map[string]Result{}, digests: map[string]string{},
		members: map[string]uint64{}, bookings: map[string]*Booking{}, drainOrders: map[string]string{}, view: &model.View{},
	}
}

// run applies the generated commands and returns the first violation of an invariant.
func run(generated []step, mutant mutation) error {
	c := newChecker(mutant)
	for _, step := range generated {
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
	c.leaderClock += s.ElapsedMillis
	c.clock = max(c.clock, c.leaderClock)
	command := c.command(s)
	command.UnixMillis = c.leaderClock
	tampered := command
	if c.mutant != nil {
		c.mutant(c.state, &tampered)
	}
	result := c.state.Apply(c.index, tampered)
	c.expireBookings()
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

// expireBookings applies the retention of bookings to the model.
func (c *checker) expireBookings() {
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
		if c.drainOrders[announcement.Name] != announcement.Instance {
			delete(c.drainOrders, announcement.Name)
		}
	case command.SetUpstreamState != nil && result.Fault == nil:
		c.recordDrain(*command.SetUpstreamState)
	}
	return nil
}

func (c *checker) recordDrain(set SetUpstreamState) {
	switch set.State {
	case model.UpstreamDraining, model.UpstreamDrained:
		c.drainOrders[set.Name] = c.state.upstreams[set.Name].Instance
	case model.UpstreamReady:
		delete(c.drainOrders, set.Name)
	}
}

func (c *checker) expectConfig(change ApplyConfig, result Result) error {
	if earlier, ok := c.results[change.ChangeID]; ok {
		if c.digests[change.ChangeID] != change.Digest() {
			return require(fault.Is(result.Fault.AsError(), fault.Conflict), "P8: a reused change ID was accepted")
		}
		return require(reflect.DeepEqual(earlier, result), "P8: a resend got %+v, the first request got %+v", result, earlier)
	}
	c.results[change.ChangeID], c.digests[change.ChangeID] = result, change.Digest()
	if change.BaseVersion != c.config.Version {
		return require(fault.Is(result.Fault.AsError(), fault.Conflict), "P8: base version %d was accepted at version %d", change.BaseVersion, c.config.Version)
	}
	c.config = model.Configuration{Version: c.config.Version + 1, Inventory: change.Inventory}
	return require(result.Fault == nil && result.Version == c.config.Version, "P8: a valid change was refused: %+v", result)
}

func (c *checker) expectIntent(intent BookingIntent, result Result) error {
	record := c.bookings[intent.Key]
	ownerAlive := c.members[intent.OwnerID] == intent.OwnerInstance && intent.OwnerInstance != 0
	switch {
	case record != nil && record.Intent.Digest != intent.Digest:
		return require(fault.Is(result.Fault.AsError(), fault.Conflict), "P5: a resend with a different body got %+v", result)
	case record == nil || record.State == BookingNotRun:
		if !ownerAlive {
			return require(fault.Is(result.Fault.AsError(), fault.NotRun), "P4: an attempt was granted to an owner instance that is gone")
		}
		granted := &Booking{Intent: intent, Attempt: 1, State: BookingOpen, UpdatedMillis: c.clock}
		if record != nil {
			granted.Attempt = record.Attempt + 1
		}
		c.bookings[intent.Key] = granted
		return require(result.Granted && reflect.DeepEqual(result.Booking, granted), "P5: want a granted attempt %+v, got %+v", granted, result)
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
	actual, ok := c.state.Booking(outcome.Key)
	if record == nil {
		return require(!ok, "P5: a key was kept after its retention: %+v", actual)
	}
	return require(ok && reflect.DeepEqual(&actual, record), "P5: a recorded outcome changed: want %+v, got %+v", record, actual)
}

func (c *checker) checkView(result Result) error {
	view := c.state.buildView()
	for _, upstream := range view.Upstreams {
		if c.drainOrders[upstream.Name] == upstream.Instance && upstream.State == model.UpstreamReady {
			return fmt.Errorf("P6: %s is ready although its drain was ordered", upstream.Name)
		}
	}
	members := map[string]uint64{}
	for _, member := range view.Members {
		members[member.ID] = member.Instance
	}
	consistent := view.Revision != c.view.Revision || reflect.DeepEqual(view, c.view) || c.view.Revision == 0
	backwards := view.Revision < c.view.Revision || result.Revision > view.Revision
	c.view = view
	switch {
	case !reflect.DeepEqual(members, c.members):
		return fmt.Errorf("P8: members are %v, want %v", members, c.members)
	case !reflect.DeepEqual(view.Config, c.config):
		return fmt.Errorf("P8: configuration is %+v, want %+v", view.Config, c.config)
	case !consistent || backwards:
		return fmt.Errorf("P8: revision %d does not reflect the changes of the view", view.Revision)
	}
	return require(c.state.Now().UnixMilli() == c.clock, "P5: time is %d, want %d", c.state.Now().UnixMilli(), c.clock)
}

func require(holds bool, format string, args ...any) error {
	if holds {
		return nil
	}
	return fmt.Errorf(format, args...)
}

// onIntent returns a mutant that changes the record of a key before an intent for it.
func onIntent(change func(s *State, record *Booking)) mutation {
	return func(s *State, c *Command) {
		if c.BookingIntent != nil {
			changeRecord(s, c.BookingIntent.Key, func(record *Booking) { change(s, record) })
		}
	}
}

// onOutcome returns a mutant that changes the record of a key before an outcome for it.
func onOutcome(change func(record *Booking, outcome BookingOutcome)) mutation {
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

// countAsNotRun returns a mutant that treats bookings in the state as not run.
func countAsNotRun(state BookingState) mutation {
	return onIntent(func(_ *State, record *Booking) {
		if record.State == state {
			record.State = BookingNotRun
		}
	})
}

var mutants = map[string]mutation{
	"P8: any base version is accepted": func(s *State, c *Command) {
		if c.ApplyConfig != nil {
			change := *c.ApplyConfig
			change.BaseVersion = s.config.Version
			c.ApplyConfig = &change
		}
	},
	"P8: results of changes are dropped": func(s *State, _ *Command) { s.changes = newChangeLog() },
	"P8: a late expiry removes a newer instance": func(s *State, c *Command) {
		if c.ExpireMember != nil {
			c.ExpireMember = &ExpireMember{ID: c.ExpireMember.ID, Instance: s.members[c.ExpireMember.ID].Instance}
		}
	},
	"P6: an announcement cancels a drain":             func(s *State, _ *Command) { clear(s.drainOrdered) },
	"P5: time follows a leader whose clock is behind": func(s *State, c *Command) { s.nowMillis = c.UnixMillis },
	"P5: an open attempt is granted again":            countAsNotRun(BookingOpen),
	"P5: a later outcome replaces the first":          onOutcome(func(b *Booking, _ BookingOutcome) { b.State = BookingOpen }),
	"P5: an earlier attempt closes the current one":   onOutcome(func(b *Booking, o BookingOutcome) { b.Attempt = o.Attempt }),
	"P4: an unknown outcome counts as not run":        countAsNotRun(BookingUnknown),
	"P4: the loss of an owner is not detected": onIntent(func(s *State, b *Booking) {
		b.Intent.OwnerInstance = s.members[b.Intent.OwnerID].Instance
	}),
}

var _ = Describe("the state under generated commands", func() {
	It("maintains P4 NotRunIsTrue, P5 AtMostOnce, P6 LeavingGetsNoWork and P8 ConfigInForce across restarts", func() {
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
			Fail(fmt.Sprintf("%d generated histories did not detect the mutant", seeds))
		})
	}
})
