package controlstate

import (
	"sort"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/model"
)

// configChange is the remembered result of a configuration change, for resends.
type configChange struct {
	Version uint64
	Fault   *fault.Wire
}

// State is the replicated state. The caller serialises all calls.
type State struct {
	revision    uint64
	config      model.Configuration
	members     map[string]model.Member
	upstreams   map[string]model.Upstream
	bookings    map[string]*Booking
	changes     map[string]configChange
	quarantines map[string]time.Time
}

// New returns an empty state.
func New() *State {
	return &State{
		members:     map[string]model.Member{},
		upstreams:   map[string]model.Upstream{},
		bookings:    map[string]*Booking{},
		changes:     map[string]configChange{},
		quarantines: map[string]time.Time{},
	}
}

// Revision returns the log index of the last command that changed the view.
func (s *State) Revision() uint64 { return s.revision }

// Booking returns the record of a key.
func (s *State) Booking(key string) (Booking, bool) {
	record, ok := s.bookings[key]
	if !ok {
		return Booking{}, false
	}
	return *record, true
}

// Apply executes the command at the log index.
func (s *State) Apply(index uint64, command Command) Result {
	switch {
	case command.ApplyConfig != nil:
		return s.applyConfig(index, *command.ApplyConfig)
	case command.JoinMember != nil:
		return s.joinMember(index, *command.JoinMember)
	case command.ExpireMember != nil:
		return s.expireMember(index, *command.ExpireMember)
	case command.AnnounceUpstream != nil:
		return s.announceUpstream(index, *command.AnnounceUpstream)
	case command.SetUpstreamState != nil:
		return s.setUpstreamState(index, *command.SetUpstreamState)
	case command.BookingIntent != nil:
		return s.bookingIntent(command.UnixMillis, *command.BookingIntent)
	case command.BookingOutcome != nil:
		return s.bookingOutcome(command.UnixMillis, *command.BookingOutcome)
	case command.AddQuarantine != nil:
		return s.addQuarantine(index, command.UnixMillis, *command.AddQuarantine)
	}
	return s.refuse(fault.New(fault.BadRequest, "controlstate.apply", "command at index %d is empty", index))
}

func (s *State) changed(index uint64) Result {
	s.revision = index
	return Result{Revision: index}
}

func (s *State) refuse(err error) Result {
	return Result{Revision: s.revision, Fault: fault.ToWire(err)}
}

func (s *State) applyConfig(index uint64, change ApplyConfig) Result {
	if earlier, ok := s.changes[change.ChangeID]; ok {
		return Result{Revision: s.revision, Version: earlier.Version, Fault: earlier.Fault}
	}
	if change.BaseVersion != s.config.Version {
		err := fault.New(fault.Conflict, "config.apply", "base version is %d, current version is %d",
			change.BaseVersion, s.config.Version)
		s.changes[change.ChangeID] = configChange{Version: s.config.Version, Fault: fault.ToWire(err)}
		return s.refuse(err)
	}
	s.config = model.Configuration{Version: s.config.Version + 1, Inventory: change.Inventory, Rules: change.Rules}
	s.changes[change.ChangeID] = configChange{Version: s.config.Version}
	result := s.changed(index)
	result.Version = s.config.Version
	return result
}

func (s *State) joinMember(index uint64, join JoinMember) Result {
	member := join.Member
	member.Instance = index
	s.members[member.ID] = member
	result := s.changed(index)
	result.Instance = index
	return result
}

func (s *State) expireMember(index uint64, expire ExpireMember) Result {
	member, ok := s.members[expire.ID]
	if !ok || member.Instance != expire.Instance {
		return Result{Revision: s.revision}
	}
	delete(s.members, expire.ID)
	return s.changed(index)
}

func (s *State) announceUpstream(index uint64, announce AnnounceUpstream) Result {
	announcement := announce.Announcement
	current, known := s.upstreams[announcement.Name]
	if known && current.Announcement == announcement && current.State != model.UpstreamLost {
		return Result{Revision: s.revision}
	}
	state := model.UpstreamReady
	restarted := known && current.Instance != announcement.Instance
	if known && !restarted && current.State != model.UpstreamLost {
		state = current.State
	}
	if announcement.Draining && state == model.UpstreamReady {
		state = model.UpstreamDraining
	}
	s.upstreams[announcement.Name] = model.Upstream{Announcement: announcement, State: state, Since: index}
	return s.changed(index)
}

func (s *State) setUpstreamState(index uint64, set SetUpstreamState) Result {
	upstream, ok := s.upstreams[set.Name]
	if !ok {
		return s.refuse(fault.New(fault.NotFound, "upstream.set_state", "upstream %q is not announced", set.Name))
	}
	if upstream.State == set.State {
		return Result{Revision: s.revision}
	}
	upstream.State = set.State
	upstream.Since = index
	s.upstreams[set.Name] = upstream
	return s.changed(index)
}

func (s *State) bookingIntent(nowMillis int64, intent BookingIntent) Result {
	record, ok := s.bookings[intent.Key]
	if ok && record.Intent.Digest != intent.Digest {
		return s.refuse(fault.New(fault.Conflict, "booking.intent", "key %q was used with another body", intent.Key))
	}
	if ok && record.State != BookingNotRun {
		found := *record
		return Result{Revision: s.revision, Booking: &found}
	}
	attempt := uint64(1)
	if ok {
		attempt = record.Attempt + 1
	}
	granted := Booking{Intent: intent, Attempt: attempt, State: BookingOpen, UpdatedMillis: nowMillis}
	s.bookings[intent.Key] = &granted
	copied := granted
	return Result{Revision: s.revision, Booking: &copied, Granted: true}
}

func (s *State) bookingOutcome(nowMillis int64, outcome BookingOutcome) Result {
	record, ok := s.bookings[outcome.Key]
	if !ok {
		return s.refuse(fault.New(fault.NotFound, "booking.outcome", "key %q has no intent", outcome.Key))
	}
	if record.Attempt == outcome.Attempt && record.State == BookingOpen {
		record.State = outcome.State
		record.Response = outcome.Response
		record.UpdatedMillis = nowMillis
	}
	found := *record
	return Result{Revision: s.revision, Booking: &found}
}

func (s *State) addQuarantine(index uint64, nowMillis int64, add AddQuarantine) Result {
	s.quarantines[add.Fingerprint] = time.UnixMilli(nowMillis + add.DurationMillis)
	return s.changed(index)
}

// View returns a copy of the state that entry VMs serve from, in a deterministic order.
func (s *State) View() model.View {
	view := model.View{Revision: s.revision, Config: s.config}
	for _, member := range s.members {
		view.Members = append(view.Members, member)
	}
	for _, upstream := range s.upstreams {
		view.Upstreams = append(view.Upstreams, upstream)
	}
	for fingerprint, until := range s.quarantines {
		view.Quarantines = append(view.Quarantines, model.Quarantine{Fingerprint: fingerprint, Until: until})
	}
	sort.Slice(view.Members, func(i, j int) bool { return view.Members[i].ID < view.Members[j].ID })
	sort.Slice(view.Upstreams, func(i, j int) bool { return view.Upstreams[i].Name < view.Upstreams[j].Name })
	sort.Slice(view.Quarantines, func(i, j int) bool {
		return view.Quarantines[i].Fingerprint < view.Quarantines[j].Fingerprint
	})
	return view
}
