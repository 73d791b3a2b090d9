package control

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/controlstate"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/registry"
)

const (
	// instanceTimeout is the time without a heartbeat after which an upstream is removed. It covers eight heartbeats of
	// the users' upstreams, which may arrive seconds late. Entry VMs detect a crashed upstream much earlier by themselves.
	instanceTimeout = 10 * time.Second
	// takeoverSilence is how long a registered process must have been silent before a process with another service or address takes its
	// ID over.
	takeoverSilence = 3 * time.Second
	// maxRemovals limits the removals of silent upstreams that are proposed at the same time. Entry VMs adopt removals together that are
	// committed together.
	maxRemovals = 256
	// earlierMemberTimeout is how long a member of an earlier version counts after its last call. Each member calls every second.
	earlierMemberTimeout = 10 * time.Second
	// earlierMember is the name under which all members of earlier versions are recorded, which do not tell theirs.
	earlierMember = "earlier"
)

// Preview returns the effect that a report about an upstream would have on the state of this member, which may lag
// behind.
func (m *Machine) Preview(report registry.Report) registry.Effect {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.Instances().Preview(report)
}

// WithColdEnd returns the report with the end of the cold start if the upstream's service limits the requests to cold
// upstreams. Other reports are returned as they are.
func (m *Machine) WithColdEnd(report registry.Report, now time.Time) registry.Report {
	m.mu.RLock()
	defer m.mu.RUnlock()
	for _, service := range m.state.Routes().Table.Services {
		if service.Name == report.Instance.Service && service.ColdPerSecond > 0 {
			return m.state.Instances().WithColdEnd(report, now)
		}
	}
	return report
}

func (m *Machine) instances() []registry.Instance {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.Instances().Instances()
}

// InstanceCount returns the number of registered upstreams.
func (m *Machine) InstanceCount() int {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.Instances().Len()
}

func (m *Machine) instance(id string) (registry.Instance, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.Instances().Instance(id)
}

func (m *Machine) registered(id string) bool {
	_, ok := m.instance(id)
	return ok
}

// holds reports whether the process is registered.
func (m *Machine) holds(process registry.Process) bool {
	i, ok := m.instance(process.Instance)
	return ok && i.Process() == process
}

// uses reports whether the route table in force names the service of the upstream.
func (m *Machine) uses(i registry.Instance) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.Instances().Uses(i)
}

// UnusedCount returns the number of registered upstreams of services that the route table in force does not name.
func (m *Machine) UnusedCount() int {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.Instances().UnusedLen()
}

// Report applies a report about an upstream.
func (s *Service) Report(args controlrpc.ReportArgs, reply *controlrpc.Ack) error {
	ignored, err := s.report(args.Report)
	reply.Ignored, reply.Fault = ignored, fault.ToWire(err)
	return nil
}

func (s *Service) report(report registry.Report) (ignored string, err error) {
	if err := s.checkLeader(); err != nil {
		return "", err
	}
	if err := s.checkRoom(report); err != nil {
		return "", err
	}
	report.Rules = s.reportRules()
	effect := s.machine.Preview(report)
	if effect == registry.Conflict {
		ended, err := s.endSilentHolder(report)
		if err != nil || !ended {
			return effect.String(), err
		}
	}
	result, err := s.proposeOnLeader(controlstate.Command{ReportInstance: &controlstate.ReportInstance{Report: report}})
	if err != nil {
		return "", err
	}
	if s.machine.holds(report.Instance.Process()) {
		s.instances.record(report.Instance.ID, s.now())
	}
	s.log.Info("upstream reported", "upstream", report.Instance.ID, "service", report.Instance.Service,
		"address", report.Instance.Address, "state", report.Instance.State, "left", report.Left,
		"sequence", report.Instance.Sequence, "effect", effect, "revision", result.Revision)
	if effect == registry.Stale || effect == registry.Departed {
		ignored = effect.String()
	}
	return ignored, nil
}

// endSilentHolder removes the registered process of an ID under which a process with another service or address reports, if the
// registered one has been silent for takeoverSilence. It returns false if the report is to be ignored.
func (s *Service) endSilentHolder(report registry.Report) (ended bool, err error) {
	holder, ok := s.machine.instance(report.Instance.ID)
	if !ok {
		return true, nil
	}
	if s.instances.silentFor(holder.ID, s.now()) >= takeoverSilence && s.machine.uses(report.Instance) {
		_, err := s.proposeOnLeader(controlstate.Command{ReportInstance: &controlstate.ReportInstance{
			Report: registry.Report{Instance: holder, Silent: true, Rules: report.Rules},
		}})
		return err == nil, err
	}
	if report.Instance.State == registry.Draining {
		// The table does not hold this process, so that nothing would keep an earlier report of it from being applied later.
		return false, fault.New(fault.Unavailable, "control.report", "upstream %q is registered for %s at %s", holder.ID, holder.Service, holder.Address)
	}
	return false, nil
}

// reportRules returns the rules by which all members of the group can apply a report.
func (s *Service) reportRules() registry.Rules {
	if s.earlierMembers.count(earlierMemberTimeout, s.now()) > 0 {
		return registry.DisplaceByAddress
	}
	return registry.IndependentProcesses
}

// checkRoom returns an error if the report would register an upstream beyond the limit, so that a writer that makes up upstreams
// cannot use up the memory of all processes.
func (s *Service) checkRoom(report registry.Report) error {
	if report.Left || report.Silent || s.machine.registered(report.Instance.ID) {
		return nil
	}
	if s.machine.InstanceCount() >= registry.MaxInstances {
		return fault.New(fault.Unavailable, "control.report", "%d upstreams are registered, which is the limit", registry.MaxInstances)
	}
	if !s.machine.uses(report.Instance) && s.machine.UnusedCount() >= registry.MaxUnusedInstances {
		return fault.New(fault.Unavailable, "control.report", "%d upstreams of services without a configuration are registered, which is the limit", registry.MaxUnusedInstances)
	}
	return nil
}

// Heard records the heartbeats of upstreams that another member has received.
func (s *Service) Heard(args controlrpc.HeardArgs, reply *controlrpc.Ack) error {
	if err := s.checkLeader(); err != nil {
		reply.Fault = fault.ToWire(err)
		return nil
	}
	if args.Rules < registry.IndependentProcesses {
		s.earlierMembers.record(earlierMember, s.now())
	}
	for _, id := range args.IDs {
		s.instances.record(id, s.now())
	}
	return nil
}

// removeSilentInstances removes upstreams that sent no heartbeat within instanceTimeout. If most upstreams are silent,
// the fault is more likely on the side of the control group, and none is removed. Upstreams of services that the route table does
// not name have no part in that, because any number of them may be made up.
func (s *Service) removeSilentInstances(ctx context.Context) {
	var silent, unused []registry.Instance
	used := 0
	for _, instance := range s.machine.instances() {
		isSilent := s.instances.silentFor(instance.ID, s.now()) >= instanceTimeout
		switch isUsed := s.machine.uses(instance); {
		case isUsed && isSilent:
			used++
			silent = append(silent, instance)
		case isUsed:
			used++
		case isSilent:
			unused = append(unused, instance)
		}
	}
	if len(silent)*2 > used {
		s.log.Warn("no silent upstream removed because most upstreams are silent", "silent", len(silent), "upstreams", used)
		silent = nil
	}
	removals, ctx := errgroup.WithContext(ctx)
	removals.SetLimit(maxRemovals)
	for _, instance := range append(silent, unused...) {
		removals.Go(func() error { return s.removeSilentInstance(ctx, instance) })
	}
	if err := removals.Wait(); err != nil {
		s.log.Warn("silent upstreams not removed", "silent", len(silent)+len(unused), "code", fault.CodeOf(err), "error", err)
	}
}

func (s *Service) removeSilentInstance(ctx context.Context, instance registry.Instance) error {
	report := registry.Report{Instance: instance, Silent: true, Rules: s.reportRules()}
	if _, err := s.propose(ctx, controlstate.Command{ReportInstance: &controlstate.ReportInstance{Report: report}}); err != nil {
		return err
	}
	s.instances.remove(instance.ID)
	s.log.Info("silent upstream removed", "upstream", instance.ID, "service", instance.Service, "silent_for", instanceTimeout)
	return nil
}
