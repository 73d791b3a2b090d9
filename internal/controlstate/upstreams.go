package controlstate

import (
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/model"
	"github.com/wisteriamux/wisteriamux/internal/planner"
)

func (s *State) announceUpstream(index uint64, announce AnnounceUpstream) Result {
	announcement := announce.Announcement
	if announcement.Name == "" || len(announcement.Name) > maxIdentifierBytes || announcement.Service == "" {
		return s.refuse(fault.New(fault.BadRequest, "upstream.announce", "an upstream needs a valid name and a service"))
	}
	current, known := s.upstreams[announcement.Name]
	if known && current.Announcement == announcement && current.State != model.UpstreamLost {
		return s.currentResult()
	}
	if !known && !s.makeRoomForUpstream() {
		return s.refuse(fault.New(fault.Unavailable, "upstream.announce", "%d upstreams are already registered and none of them is lost", len(s.upstreams)))
	}
	state := s.announcedState(current, announcement)
	if state != model.UpstreamReady {
		s.drainOrdered[announcement.Name] = announcement.Instance
	}
	s.upstreams[announcement.Name] = model.Upstream{Announcement: announcement, State: state, Since: index}
	return s.advanceRevision(index)
}

// announcedState returns the state of an upstream after an announcement. A drain remains in effect while the same
// process instance runs, even if the upstream was lost in the meantime. It does not apply to a new process instance,
// because its operator started it after the drain.
func (s *State) announcedState(current model.Upstream, announcement model.Announcement) model.UpstreamState {
	instance, drainOrdered := s.drainOrdered[announcement.Name]
	if drainOrdered && instance == announcement.Instance {
		if current.State == model.UpstreamDrained {
			return model.UpstreamDrained
		}
		return model.UpstreamDraining
	}
	delete(s.drainOrdered, announcement.Name)
	if announcement.Draining {
		return model.UpstreamDraining
	}
	return model.UpstreamReady
}

// makeRoomForUpstream reports whether a new upstream fits into the table. If the table is full, it evicts the upstream
// that has been lost for longest.
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
	delete(s.drainOrdered, oldest.Name)
	return true
}

func (s *State) setUpstreamState(index uint64, request SetUpstreamState) Result {
	upstream, ok := s.upstreams[request.Name]
	if !ok {
		return s.refuse(fault.New(fault.NotFound, "upstream.set_state", "upstream %q has not been announced", request.Name))
	}
	if upstream.State == request.State || (request.Instance != "" && request.Instance != upstream.Instance) {
		return s.currentResult()
	}
	if err := checkTransition(upstream, request.State); err != nil {
		return s.refuse(err)
	}
	if request.State == model.UpstreamDraining {
		if reason := planner.CoverageLossReason(*s.View(), upstream); reason != "" {
			return s.refuse(fault.New(fault.Conflict, "upstream.set_state", "never_lose_coverage: %s", reason))
		}
	}
	switch request.State {
	case model.UpstreamReady:
		delete(s.drainOrdered, request.Name)
	case model.UpstreamDraining, model.UpstreamDrained:
		s.drainOrdered[request.Name] = upstream.Instance
	}
	upstream.State = request.State
	upstream.Since = index
	s.upstreams[request.Name] = upstream
	return s.advanceRevision(index)
}

// checkTransition refuses transitions whose safety a single observer cannot know: only an announcement ends the state
// lost, and only a draining upstream can become drained.
func checkTransition(upstream model.Upstream, next model.UpstreamState) error {
	const op = "upstream.set_state"
	switch next {
	case model.UpstreamReady:
		if upstream.Draining {
			return fault.New(fault.Conflict, op, "upstream %q announces that it is draining", upstream.Name)
		}
	case model.UpstreamDrained:
		if upstream.State != model.UpstreamDraining {
			return fault.New(fault.Conflict, op, "upstream %q is %s, not draining", upstream.Name, upstream.State)
		}
	case model.UpstreamDraining, model.UpstreamLost:
	default:
		return fault.New(fault.BadRequest, op, "unknown upstream state %q", next)
	}
	if upstream.State == model.UpstreamLost {
		return fault.New(fault.Conflict, op, "upstream %q is lost until it announces itself again", upstream.Name)
	}
	return nil
}
