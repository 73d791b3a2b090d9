package control

import (
	"context"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/controlstate"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/formation"
	"github.com/wisteriamux/wisteriamux/internal/raftnode"
	"github.com/wisteriamux/wisteriamux/internal/registry"
)

const (
	// instanceSilence is how long nothing may be heard of an upstream before it is removed: eight announcements of the
	// users' upstreams, which may come seconds late. Entry VMs notice a crash by themselves long before.
	instanceSilence = 10 * time.Second
	// watchSettle gathers changes that come together, such as the announcements after a start, into one answer.
	watchSettle = 15 * time.Millisecond
	// watcherWindow is how long a process counts after its last watch; a watch lasts controlrpc.MaxWatch.
	watcherWindow = 3 * time.Second
)

// Watch returns what changed after a revision, and waits for a change for a bounded time.
func (s *Service) Watch(args controlrpc.WatchArgs, reply *controlrpc.WatchReply) error {
	reply.Fault = fault.ToWire(s.watch(args, reply))
	return nil
}

// refer lists the members of the group, and the leader if this member knows one.
func (s *Service) refer() (members []string, leader string) {
	for _, member := range s.group.Members() {
		members = append(members, member.Address)
		if member.Role == string(raftnode.RoleLeader) {
			leader = member.Address
		}
	}
	return members, leader
}

func (s *Service) watch(args controlrpc.WatchArgs, reply *controlrpc.WatchReply) error {
	reply.Members, reply.Leader = s.refer()
	if err := s.leads(); err != nil {
		return s.provisional(args, reply, err)
	}
	s.hearWatcher(args, s.now())
	s.awaitChange(args)
	// The barrier comes after the wait, so that the answer is current when it leaves.
	if err := s.leadOnce(); err != nil {
		return err
	}
	if err := s.checkNotBehind(args.Known); err != nil {
		return err
	}
	s.machine.delta(args.Known, reply)
	reply.Members, reply.Leader = s.refer()
	reply.Watchers = s.watchers.count(watcherWindow, s.now())
	s.tellPeers(args, reply)
	return nil
}

// provisional answers a process that knows nothing from the committed state of this member, so that entry VMs serve
// again before a leader is elected when all VMs have restarted at once. The state may lag behind what a quorum holds;
// the process watches on and gets the rest from the leader.
func (s *Service) provisional(args controlrpc.WatchArgs, reply *controlrpc.WatchReply, notLeader error) error {
	if args.Known != 0 || s.machine.routes().Table.Version == 0 {
		return notLeader
	}
	s.machine.delta(args.Known, reply)
	reply.Provisional = true
	return nil
}

func (s *Service) awaitChange(args controlrpc.WatchArgs) {
	changed := s.machine.Changed()
	if s.machine.Revision() != args.Known {
		return
	}
	wait := time.NewTimer(min(time.Duration(args.WaitMillis)*time.Millisecond, controlrpc.MaxWatchWait))
	defer wait.Stop()
	select {
	case <-changed:
		time.Sleep(watchSettle)
	case <-wait.C:
	}
}

// delta fills in what changed after the revision.
func (m *Machine) delta(known uint64, reply *controlrpc.WatchReply) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	reply.Revision = m.state.Revision()
	routes := m.state.Routes()
	if routes.Table.Version > 0 && routes.Since > known {
		reply.Table = &routes.Table
	}
	reply.Instances = m.state.Instances().Since(known)
}

// Judge tells what a report about an upstream would change, as this member knows it.
func (m *Machine) Preview(report registry.Report) registry.Effect {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.Instances().Preview(report)
}

func (m *Machine) instances() []registry.Instance {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.Instances().Instances()
}

// RoutesVersion returns the version of the table of routes in force, 0 without one.
func (m *Machine) RoutesVersion() uint64 { return m.routes().Table.Version }

// InstanceCount returns the number of registered upstreams.
func (m *Machine) InstanceCount() int { return len(m.instances()) }

func (m *Machine) routes() controlstate.Routes {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.Routes()
}

// PutRoutes puts a table of routes in force unless a higher version is.
func (s *Service) PutRoutes(args controlrpc.PutRoutesArgs, reply *controlrpc.PutRoutesReply) error {
	command := controlstate.Command{PutRoutes: &controlstate.PutRoutes{Table: args.Table, Source: args.Source}}
	result, err := s.proposeOnLeader(command)
	reply.Version = result.Version
	reply.Fault = fault.ToWire(err)
	s.log.Info("routes ordered", "version", args.Table.Version, "in_force", result.Version, "revision", result.Revision,
		"routes", len(args.Table.Routes), "accepted", err == nil)
	return nil
}

// proposeOnLeader returns the fault of a refused command as the error.
func (s *Service) proposeOnLeader(command controlstate.Command) (controlstate.Result, error) {
	if err := s.leads(); err != nil {
		return controlstate.Result{}, err
	}
	result, err := s.propose(context.Background(), command)
	if err != nil {
		return result, err
	}
	return result, result.Fault.AsError()
}

// ReadRoutes returns the table of routes, confirmed by a quorum.
func (s *Service) ReadRoutes(_ controlrpc.ReadRoutesArgs, reply *controlrpc.ReadRoutesReply) error {
	if err := s.leadOnce(); err != nil {
		reply.Fault = fault.ToWire(err)
		return nil
	}
	routes := s.machine.routes()
	reply.Version = routes.Table.Version
	reply.Table = routes.Table
	reply.Source = routes.Source
	return nil
}

// Report applies a report about an upstream.
func (s *Service) Report(args controlrpc.ReportArgs, reply *controlrpc.Ack) error {
	reply.Fault = fault.ToWire(s.report(args.Report))
	return nil
}

func (s *Service) report(report registry.Report) error {
	result, err := s.proposeOnLeader(controlstate.Command{ReportInstance: &controlstate.ReportInstance{Report: report}})
	if err != nil {
		return err
	}
	s.instances.hear(report.Instance.ID, s.now())
	s.log.Info("upstream reported", "upstream", report.Instance.ID, "service", report.Instance.Service,
		"address", report.Instance.Address, "state", report.Instance.State, "left", report.Left,
		"sequence", report.Instance.Sequence, "revision", result.Revision)
	return nil
}

// Heard records which upstreams other members have heard of.
func (s *Service) Heard(args controlrpc.HeardArgs, reply *controlrpc.Ack) error {
	if err := s.leads(); err != nil {
		reply.Fault = fault.ToWire(err)
		return nil
	}
	for _, id := range args.IDs {
		s.instances.hear(id, s.now())
	}
	return nil
}

// expireInstances removes upstreams of which nothing was heard. If most of them are silent, the fault is more likely
// on this side, and nothing is removed.
func (s *Service) expireInstances(ctx context.Context) {
	var silent []registry.Instance
	all := s.machine.instances()
	for _, instance := range all {
		if s.instances.silence(instance.ID, s.now()) >= instanceSilence {
			silent = append(silent, instance)
		}
	}
	if len(silent)*2 > len(all) {
		s.log.Warn("silent upstreams kept", "silent", len(silent), "upstreams", len(all))
		return
	}
	for _, instance := range silent {
		report := registry.Report{Instance: instance, Silent: true}
		if _, err := s.propose(ctx, controlstate.Command{ReportInstance: &controlstate.ReportInstance{Report: report}}); err != nil {
			s.log.Warn("silent upstream not removed", "upstream", instance.ID, "code", fault.CodeOf(err), "error", err)
			return
		}
		s.instances.forget(instance.ID)
		s.log.Info("silent upstream removed", "upstream", instance.ID, "service", instance.Service, "silent_for", instanceSilence)
	}
}

// Admit adds a member to a group that forms itself, and removes the member that it replaces.
func (s *Service) Admit(args controlrpc.AdmitArgs, reply *controlrpc.Ack) error {
	reply.Members, reply.Leader = s.refer()
	reply.Fault = fault.ToWire(s.changeGroup(func(ctx context.Context) error { return s.admit(ctx, args) }))
	return nil
}

func (s *Service) admit(ctx context.Context, args controlrpc.AdmitArgs) error {
	if !s.formed {
		return fault.New(fault.Forbidden, "control.admit", "members of this group are added by an operator")
	}
	if err := s.lead(ctx); err != nil {
		return err
	}
	step := formation.DecideAdmission(args.ID, args.Name, s.group.Members())
	if step.AlreadyMember {
		return nil
	}
	if step.RetryLater {
		return fault.New(fault.Conflict, "control.admit", "a silent member may be about to be replaced; try again")
	}
	if step.Remove != "" {
		if err := s.group.Remove(ctx, step.Remove); err != nil {
			return err
		}
		s.log.Info("replaced control member removed", "member", step.Remove, "by", args.Name)
	}
	if err := s.group.Add(ctx, args.Name, args.Address); err != nil {
		return err
	}
	s.log.Info("control member admitted", "member", args.ID, "name", args.Name, "address", args.Address)
	return nil
}

// pruneGroup removes a silent voter that only raises the quorum.
func (s *Service) pruneGroup(ctx context.Context) {
	if !s.formed {
		return
	}
	id, ok := formation.RedundantVoter(s.group.Members())
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if err := s.group.Remove(ctx, id); err != nil {
		s.log.Warn("silent control member not removed", "member", id, "code", fault.CodeOf(err), "error", err)
		return
	}
	s.log.Info("silent control member removed", "member", id)
}
