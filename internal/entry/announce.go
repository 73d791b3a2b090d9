package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/controlstate"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/jsonbody"
	"github.com/wisteriamux/wisteriamux/internal/membership"
	"github.com/wisteriamux/wisteriamux/internal/model"
	"github.com/wisteriamux/wisteriamux/internal/ownerrpc"
	"github.com/wisteriamux/wisteriamux/internal/upstreamapi"
)

const (
	// announceRenewMillis is the interval at which upstreams are told to repeat their announcement.
	announceRenewMillis = 2_000
	// MaxAnnouncementBytes limits the size of the body of an announcement.
	MaxAnnouncementBytes = 16 << 10
	// identityTimeout limits the Identity call to the owner of an upstream.
	identityTimeout = time.Second
	// Limits for the values that an upstream may announce. They are far above the largest upstream of the design.
	maxSlots       = 4_096
	maxConnections = 65_536
	maxShards      = 65_536
)

func (s *Server) handleAnnounce(w http.ResponseWriter, r *http.Request) {
	var announcement model.Announcement
	if err := jsonbody.Decode(w, r, MaxAnnouncementBytes, s.config.BodyTimeout, &announcement); err != nil {
		writeError(w, err, nil)
		return
	}
	state, err := s.announce(r.Context(), announcement)
	if err != nil {
		writeError(w, err, nil)
		return
	}
	writeJSON(w, http.StatusOK, upstreamapi.AnnounceResponse{State: string(state), RenewMillis: announceRenewMillis})
}

// announce proposes a new or changed announcement to the control group. An unchanged one is a renewal, which goes only
// to the owner of the upstream.
func (s *Server) announce(ctx context.Context, announcement model.Announcement) (model.UpstreamState, error) {
	current, err := s.session.ViewForNewWork()
	if err != nil {
		return "", err
	}
	if err := checkAnnouncement(current.View.Config, announcement); err != nil {
		return "", err
	}
	known, ok := current.Upstreams[announcement.Name]
	if ok && known.Announcement == announcement && known.State != model.UpstreamLost {
		s.renewals.handle(current, ownerrpc.Renewal{Name: announcement.Name, Address: announcement.Address})
		return known.State, nil
	}
	if ok {
		if err := s.checkIdentity(ctx, current, known, announcement); err != nil {
			return "", err
		}
	}
	command := controlstate.Command{AnnounceUpstream: &controlstate.AnnounceUpstream{Announcement: announcement}}
	if _, err := s.control.Propose(ctx, command); err != nil {
		return "", err
	}
	return s.announcedState(ctx, announcement), nil
}

// announcedState returns the state of the upstream after an accepted announcement. A failure to read the view is only
// logged, because the announcement itself has succeeded.
func (s *Server) announcedState(ctx context.Context, announcement model.Announcement) model.UpstreamState {
	defer s.session.TriggerRenewal()
	if err := s.session.FetchView(ctx); err != nil {
		s.log.Debug("reading the view after an announcement failed", "upstream", announcement.Name, "error", err)
	}
	if known, ok := s.session.LatestView().Upstreams[announcement.Name]; ok && known.Announcement == announcement {
		return known.State
	}
	if announcement.Draining {
		return model.UpstreamDraining
	}
	return model.UpstreamReady
}

// checkAnnouncement returns an error if the announcement is malformed or contradicts the inventory.
func checkAnnouncement(config model.Configuration, announcement model.Announcement) error {
	const op = "announce"
	if _, ok := config.ServiceByName(announcement.Service); !ok {
		return fault.New(fault.NotFound, op, "service %q is not in the inventory", announcement.Service)
	}
	if err := checkFields(announcement); err != nil {
		return err
	}
	for _, upstream := range config.Inventory.Upstreams {
		if upstream.Name != announcement.Name {
			continue
		}
		if upstream.Service != announcement.Service {
			return fault.New(fault.Conflict, op, "the inventory lists %q under service %q, the announcement under %q",
				upstream.Name, upstream.Service, announcement.Service)
		}
		if upstream.FailureDomain != announcement.FailureDomain {
			return fault.New(fault.Conflict, op, "the inventory lists %q in failure domain %q, the announcement in %q",
				upstream.Name, upstream.FailureDomain, announcement.FailureDomain)
		}
	}
	if announcement.FailureDomain == "" {
		return nil
	}
	for _, domain := range config.Inventory.FailureDomains {
		if domain.Name == announcement.FailureDomain {
			return nil
		}
	}
	return fault.New(fault.NotFound, op, "failure domain %q is not in the inventory", announcement.FailureDomain)
}

func checkFields(announcement model.Announcement) error {
	valid := announcement.Name != "" && len(announcement.Name) <= MaxKeyBytes && announcement.Address != "" &&
		announcement.Slots > 0 && announcement.Slots <= maxSlots &&
		announcement.Connections > 0 && announcement.Connections <= maxConnections &&
		announcement.ShardCount > 0 && announcement.ShardCount <= maxShards &&
		announcement.Shard >= 0 && announcement.Shard < announcement.ShardCount &&
		announcement.MinVersion <= announcement.MaxVersion
	if !valid {
		return fault.New(fault.BadRequest, "announce", "announcement of %q is incomplete or has contradictory or out-of-range values", announcement.Name)
	}
	return nil
}

// checkIdentity returns an error if another process with the same upstream name still renews from a different address.
func (s *Server) checkIdentity(ctx context.Context, current *membership.ServedView, known model.Upstream, announcement model.Announcement) error {
	if known.Address == announcement.Address || known.State == model.UpstreamLost || known.State == model.UpstreamDrained {
		return nil
	}
	renewing, err := s.isRenewing(ctx, current, known)
	if err != nil {
		return err
	}
	if renewing {
		return fault.New(fault.Conflict, "announce", "upstream %q still renews from %s, so an announcement from %s is refused",
			known.Name, known.Address, announcement.Address)
	}
	return nil
}

// isRenewing asks the owner of the upstream whether the known process still renews.
func (s *Server) isRenewing(ctx context.Context, current *membership.ServedView, known model.Upstream) (bool, error) {
	owner, ok := current.Owners[known.Name]
	if !ok {
		return false, fault.New(fault.NotRun, "announce", "upstream %q has no owner that could confirm its renewals", known.Name)
	}
	args := ownerrpc.IdentityArgs{Name: known.Name, Address: known.Address}
	if owner.ID == s.config.ID {
		return s.renewals.isRenewing(args), nil
	}
	ctx, cancel := context.WithTimeout(ctx, identityTimeout)
	defer cancel()
	var reply ownerrpc.IdentityReply
	if err := s.ownerClient.Call(ctx, owner.RPCAddress, "Identity", args, &reply); err != nil {
		return false, fault.New(fault.NotRun, "announce", "ask owner %s whether %q still renews: %w", owner.ID, known.Name, err)
	}
	return reply.Renewing, nil
}
