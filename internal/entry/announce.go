package entry

import (
	"context"
	"net/http"

	"github.com/wisteriamux/wisteriamux/internal/controlstate"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/model"
	"github.com/wisteriamux/wisteriamux/internal/upstreamapi"
)

const announceRenewMillis = 2_000

func (s *Server) handleAnnounce(w http.ResponseWriter, r *http.Request) {
	requestID := requestIDOf(r)
	var announcement model.Announcement
	if err := decode(w, r, &announcement); err != nil {
		writeError(w, requestID, err, nil)
		return
	}
	state, err := s.announce(r.Context(), announcement)
	if err != nil {
		writeError(w, requestID, err, nil)
		return
	}
	writeJSON(w, http.StatusOK, upstreamapi.AnnounceResponse{State: string(state), RenewMillis: announceRenewMillis})
}

// announce sends a new or changed announcement to control. An unchanged one is a renewal and costs control nothing.
func (s *Server) announce(ctx context.Context, announcement model.Announcement) (model.UpstreamState, error) {
	current, err := s.session.leased()
	if err != nil {
		return "", err
	}
	if err := checkAnnouncement(current.view.Config, announcement); err != nil {
		return "", err
	}
	known, ok := current.upstreams[announcement.Name]
	if ok && known.Announcement == announcement && known.State != model.UpstreamLost {
		return known.State, nil
	}
	command := controlstate.Command{AnnounceUpstream: &controlstate.AnnounceUpstream{Announcement: announcement}}
	if _, err := s.control.Propose(ctx, command); err != nil {
		return "", err
	}
	s.session.refresh()
	return model.UpstreamReady, nil
}

func checkAnnouncement(config model.Configuration, announcement model.Announcement) error {
	if _, ok := config.ServiceNamed(announcement.Service); !ok {
		return fault.New(fault.NotFound, "announce", "service %q is not in the inventory", announcement.Service)
	}
	valid := announcement.Name != "" && announcement.Address != "" && announcement.Slots > 0 &&
		announcement.Connections > 0 && announcement.ShardCount > 0 && announcement.Shard >= 0 &&
		announcement.Shard < announcement.ShardCount && announcement.MinVersion <= announcement.MaxVersion
	if !valid {
		return fault.New(fault.BadRequest, "announce", "announcement of %q is incomplete or contradictory", announcement.Name)
	}
	return nil
}
