package control

import (
	"context"
	"sync"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/formation"
)

const (
	// repairInterval is how often the leader of a self-managed group checks for voters to replace.
	repairInterval = 250 * time.Millisecond
	// repairTimeout limits one membership change of a repair, after which the leader decides again.
	repairTimeout = time.Second
	// departTimeout limits how long a departing member waits for a learner to catch up. It is well below the time that a
	// process has for a graceful stop.
	departTimeout      = 2 * time.Second
	departPollInterval = 20 * time.Millisecond
	// stopTime is how long a member that may stop now is not promoted: until it has stopped and counts as out of touch.
	stopTime = time.Second
)

// departures holds the members that have announced that they stop. It is safe for concurrent use.
type departures struct {
	// changes serializes decisions together with the changes that follow from them.
	changes sync.Mutex
	// mu guards expiry.
	mu sync.Mutex
	// expiry holds, by member ID, when the member has stopped, and may have started again.
	expiry map[string]time.Time
}

func (d *departures) set(id string, expiry time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.expiry == nil {
		d.expiry = map[string]time.Time{}
	}
	d.expiry[id] = expiry
}

// current returns the IDs of the members that are about to stop.
func (d *departures) current(now time.Time) map[string]bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	ids := map[string]bool{}
	for id, expiry := range d.expiry {
		if !now.Before(expiry) {
			delete(d.expiry, id)
			continue
		}
		ids[id] = true
	}
	return ids
}

func (s *Service) formationGroup() formation.Group {
	return formation.Group{Members: s.group.Members(), MaxVoters: s.maxVoters, Departing: s.departures.current(s.now())}
}

// Admit adds a member to a self-managed group, and removes the member whose disk was lost on the same VM.
func (s *Service) Admit(args controlrpc.AdmitArgs, reply *controlrpc.Ack) error {
	reply.Members, reply.Leader = s.knownMembers()
	reply.Fault = fault.ToWire(s.runGroupChange(func(ctx context.Context) error { return s.admit(ctx, args) }))
	return nil
}

func (s *Service) admit(ctx context.Context, args controlrpc.AdmitArgs) error {
	if !s.selfManaged {
		return fault.New(fault.Forbidden, "control.admit", "only an operator adds members to this control group")
	}
	if err := s.confirmLeadershipContext(ctx); err != nil {
		return err
	}
	decision := formation.DecideAdmission(args.ID, args.Name, s.group.Members())
	if decision.AlreadyMember {
		return nil
	}
	if decision.Remove != "" {
		if err := s.group.Remove(ctx, decision.Remove); err != nil {
			return err
		}
		s.log.Info("replaced control member removed", "member", decision.Remove, "by", args.Name)
	}
	if err := s.group.Add(ctx, args.Name, args.Address); err != nil {
		return err
	}
	s.log.Info("control member admitted", "member", args.ID, "name", args.Name, "address", args.Address)
	return nil
}

// Depart hands over the vote of a member that is about to stop, if another member can take it.
func (s *Service) Depart(args controlrpc.DepartArgs, reply *controlrpc.DepartReply) error {
	reply.Fault = fault.ToWire(s.runGroupChange(func(ctx context.Context) error {
		if !s.selfManaged {
			return fault.New(fault.Forbidden, "control.depart", "only an operator changes the members of this control group")
		}
		ctx, cancel := context.WithTimeout(ctx, departTimeout)
		defer cancel()
		s.departures.set(args.ID, s.now().Add(departTimeout+stopTime))
		defer func() { s.departures.set(args.ID, s.now().Add(stopTime)) }()
		for {
			replaced, wait, err := s.handOver(ctx, args.ID)
			if err != nil || !wait {
				reply.Replaced = replaced
				return err
			}
			select {
			case <-ctx.Done():
				return fault.New(fault.Unavailable, "control.depart", "no learner has caught up: %w", ctx.Err())
			case <-time.After(departPollInterval):
			}
		}
	}))
	return nil
}

// handOver makes the next changes by which the member hands over its vote. It returns whether the member was replaced,
// and whether to wait and try again.
func (s *Service) handOver(ctx context.Context, id string) (replaced, wait bool, err error) {
	s.departures.changes.Lock()
	defer s.departures.changes.Unlock()
	for {
		if err := s.checkLeader(); err != nil {
			return false, false, err
		}
		departure := s.formationGroup().DecideDeparture(id)
		change := departure.Change
		if change == (formation.Change{}) {
			return false, departure.Wait, nil
		}
		if err := s.changeGroup(ctx, change); err != nil || change.Demote != "" {
			return err == nil, false, err
		}
	}
}

// repairGroup replaces voters that have fallen silent, and removes learners that have been silent for long.
func (s *Service) repairGroup(ctx context.Context) {
	if !s.selfManaged {
		return
	}
	s.departures.changes.Lock()
	defer s.departures.changes.Unlock()
	for s.checkLeader() == nil {
		change := s.formationGroup().NextChange()
		if change == (formation.Change{}) || s.changeGroup(ctx, change) != nil {
			return
		}
	}
}

// changeGroup makes one change and logs it.
func (s *Service) changeGroup(ctx context.Context, change formation.Change) error {
	ctx, cancel := context.WithTimeout(ctx, repairTimeout)
	defer cancel()
	var operation, member string
	var err error
	switch {
	case change.Promote != "":
		operation, member = "promote", change.Promote
		err = s.group.Promote(ctx, member)
	case change.Demote != "":
		operation, member = "demote", change.Demote
		err = s.group.Demote(ctx, member)
	case change.Remove != "":
		operation, member = "remove", change.Remove
		err = s.group.Remove(ctx, member)
	}
	if err != nil {
		s.log.Warn("control group not changed", "change", operation, "member", member, "code", fault.CodeOf(err), "error", err)
		return err
	}
	s.log.Info("control group changed", "change", operation, "member", member)
	return nil
}
