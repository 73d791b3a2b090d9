package controlstate

import (
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/model"
	"github.com/wisteriamux/wisteriamux/internal/planner"
)

func (s *State) announceUpstream(index uint64, announce AnnounceUpstream) Result {
	announcement := announce.Announcement
	if announcement.Name == "" || len(announcement.Name) > maxIdentifierBytes || announcement.Service == "" {
		return s.refuse(fault.New(fault.BadRequest, "upstream.announce", "an upstream needs a name and a service"))
	}
	current, known := s.upstreams[announcement.Name]
	if known && current.Announcement == announcement && current.State != model.UpstreamLost {
		return s.unchanged()
	}
	if !known && !s.makeRoomForUpstream() {
		return s.refuse(fault.New(fault.Unavailable, "upstream.announce", "%d upstreams are registered already", len(s.upstreams)))
	}
	state := s.announcedState(current, announcement)
	if state != model.UpstreamReady {
		s.leaving[announcement.Name] = announcement.Instance
	}
	s.upstreams[announcement.Name] = model.Upstream{Announcement: announcement, State: state, Since: index}
	return s.changed(index)
}

// announcedState keeps a drain for as long as the same process instance runs, even when it was lost in between. A new
// process instance starts ready, because its operator started it after the drain.
func (s *State) announcedState(current model.Upstream, announcement model.Announcement) model.UpstreamState {
	instance, leaving := s.leaving[announcement.Name]
	if leaving && instance == announcement.Instance {
		if current.State == model.UpstreamDrained {
			return model.UpstreamDrained
		}
		return model.UpstreamDraining
	}
	delete(s.leaving, announcement.Name)
	if announcement.Draining {
		return model.UpstreamDraining
	}
	return model.UpstreamReady
}

// makeRoomForUpstream removes the upstream that has been lost for longest when the table is full.
func (s *State) makeRoomForUpstream() bool {
	if len(s.upstreams) < s.limits.upstreams {
		return true
	}
	var oldest model.Upstream
	for _, upstream := range s.upstreams {
		if upstream.State == model.UpstreamLost && (oldest.Name == "" || upstream.Since < oldest.Since) {
			oldest = upstream
		}
	}
	if oldest.Name == "" {
		return false
	}
	delete(s.upstreams, oldest.Name)
	delete(s.leaving, oldest.Name)
	return true
}

func (s *State) setUpstreamState(index uint64, set SetUpstreamState) Result {
	upstream, ok := s.upstreams[set.Name]
	if !ok {
		return s.refuse(fault.New(fault.NotFound, "upstream.set_state", "upstream %q is not announced", set.Name))
	}
	if upstream.State == set.State || (set.Instance != "" && set.Instance != upstream.Instance) {
		return s.unchanged()
	}
	if err := checkTransition(upstream, set.State); err != nil {
		return s.refuse(err)
	}
	if set.State == model.UpstreamDraining {
		if reason := planner.CoverageLossReason(*s.View(), upstream); reason != "" {
			return s.refuse(fault.New(fault.Conflict, "upstream.set_state", "never_lose_coverage: %s", reason))
		}
	}
	switch set.State {
	case model.UpstreamReady:
		delete(s.leaving, set.Name)
	case model.UpstreamDraining, model.UpstreamDrained:
		s.leaving[set.Name] = upstream.Instance
	}
	upstream.State = set.State
	upstream.Since = index
	s.upstreams[set.Name] = upstream
	return s.changed(index)
}

// checkTransition refuses the transitions that no single observer can know to be safe: only an announcement ends
// lost, and only a drain leads to drained.
func checkTransition(upstream model.Upstream, next model.UpstreamState) error {
	const op = "upstream.set_state"
	switch next {
	case model.UpstreamReady:
		if upstream.Draining {
			return fault.New(fault.Conflict, op, "upstream %q itself asks to leave", upstream.Name)
		}
	case model.UpstreamDrained:
		if upstream.State != model.UpstreamDraining {
			return fault.New(fault.Conflict, op, "upstream %q is %s, not draining", upstream.Name, upstream.State)
		}
	case model.UpstreamDraining, model.UpstreamLost:
	default:
		return fault.New(fault.BadRequest, op, "state %q does not exist", next)
	}
	if upstream.State == model.UpstreamLost {
		return fault.New(fault.Conflict, op, "upstream %q is lost until it announces itself again", upstream.Name)
	}
	return nil
}
