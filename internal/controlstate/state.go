package controlstate

import (
	"time"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/model"
	"github.com/wisteriamux/wisteriamux/internal/planner"
	"github.com/wisteriamux/wisteriamux/internal/registry"
)

// State is the replicated state. The caller serializes all calls. Every field except cachedView and limits is part of
// the snapshot, because a restored member must decide like a member that applied the whole log.
type State struct {
	limits limits

	// nowMillis is the latest time of any command. The clock of a new leader may be behind that of its predecessor, so a
	// command never moves it backwards.
	nowMillis int64
	// revision is the log index of the last command that changed the view.
	revision  uint64
	config    model.Configuration
	changes   changeLog
	members   map[string]model.Member
	upstreams map[string]model.Upstream
	// drainOrdered maps the name of an upstream to its process instance whose drain was ordered.
	drainOrdered map[string]string
	bookings     bookingTable
	quarantines  map[string]quarantine
	// quarantinesCleared is the revision at which quarantines were ended early the last time.
	quarantinesCleared uint64
	// evacuated holds the evacuated failure domains, and evacuationsChanged is the revision at which they changed the last time.
	evacuated          map[string]bool
	evacuationsChanged uint64
	// execution is the newest drain execution, or nil.
	execution *planner.Execution

	routes    Routes
	instances *registry.Table

	// cachedView is the view at the current revision, or nil if it has not been built yet.
	cachedView *model.View
}

// limits bounds the sizes of the tables. All members must use the same limits. Tests use smaller ones.
type limits struct {
	changes     int
	bookings    int
	members     int
	upstreams   int
	quarantines int
}

// The maximum sizes of the tables.
const (
	MaxChanges     = 10_000
	MaxBookings    = 1_000_000
	MaxMembers     = 10_000
	MaxUpstreams   = 100_000
	MaxQuarantines = 10_000
)

// New returns an empty state.
func New() *State {
	return newWithLimits(limits{
		changes:     MaxChanges,
		bookings:    MaxBookings,
		members:     MaxMembers,
		upstreams:   MaxUpstreams,
		quarantines: MaxQuarantines,
	})
}

func newWithLimits(bounds limits) *State {
	return &State{
		limits:       bounds,
		changes:      newChangeLog(),
		members:      map[string]model.Member{},
		upstreams:    map[string]model.Upstream{},
		drainOrdered: map[string]string{},
		bookings:     newBookingTable(),
		quarantines:  map[string]quarantine{},
		evacuated:    map[string]bool{},
		instances:    registry.New(),
	}
}

// Revision returns the log index of the last command that changed the view.
func (s *State) Revision() uint64 { return s.revision }

// Now returns the time of the state, which is the latest time of any command.
func (s *State) Now() time.Time { return time.UnixMilli(s.nowMillis).UTC() }

// Apply applies the command at the log index.
func (s *State) Apply(index uint64, command Command) Result {
	s.nowMillis = max(s.nowMillis, command.UnixMillis)
	s.bookings.sweep(s.nowMillis)
	if s.expireQuarantines() {
		s.advanceRevision(index)
	}
	return s.dispatch(index, command)
}

func (s *State) dispatch(index uint64, command Command) Result {
	switch {
	case command.ApplyConfig != nil:
		return s.applyConfig(index, *command.ApplyConfig)
	case command.JoinMember != nil:
		return s.joinMember(index, *command.JoinMember)
	case command.ExpireMember != nil:
		return s.expireMember(index, *command.ExpireMember)
	case command.RetireMember != nil:
		return s.retireMember(index, *command.RetireMember)
	case command.AnnounceUpstream != nil:
		return s.announceUpstream(index, *command.AnnounceUpstream)
	case command.SetUpstreamState != nil:
		return s.setUpstreamState(index, *command.SetUpstreamState)
	case command.BookingIntent != nil:
		return s.bookingIntent(*command.BookingIntent)
	case command.BookingOutcome != nil:
		return s.bookingOutcome(*command.BookingOutcome)
	case command.AddQuarantine != nil:
		return s.addQuarantine(index, *command.AddQuarantine)
	case command.ClearQuarantine != nil:
		return s.clearQuarantine(index, *command.ClearQuarantine)
	case command.StartPlan != nil:
		return s.startPlan(*command.StartPlan)
	case command.OrderPlan != nil:
		return s.orderPlan(*command.OrderPlan)
	case command.AdvancePlan != nil:
		return s.advancePlan(*command.AdvancePlan)
	case command.PutRoutes != nil:
		return s.putRoutes(index, *command.PutRoutes)
	case command.ReportInstance != nil:
		return s.reportInstance(index, *command.ReportInstance)
	case command.SetEvacuation != nil:
		return s.setEvacuation(index, *command.SetEvacuation)
	case command.Tick != nil:
		return s.currentResult()
	}
	return s.refuse(fault.New(fault.BadRequest, "controlstate.apply", "the command at log index %d is empty", index))
}

// advanceRevision makes the log index the revision of the view, which has changed.
func (s *State) advanceRevision(index uint64) Result {
	s.revision = index
	s.cachedView = nil
	return s.currentResult()
}

func (s *State) currentResult() Result { return Result{Revision: s.revision} }

func (s *State) refuse(err error) Result {
	return Result{Revision: s.revision, Fault: fault.ToWire(err)}
}
