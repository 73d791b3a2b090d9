package control

import (
	"context"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/controlstate"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/raftnode"
)

const (
	// watchBatchDelay batches changes that arrive together, such as the announcements after a start, into one reply.
	watchBatchDelay = 15 * time.Millisecond
	// watcherTimeout is how long a process counts as a watcher after its last watch, which lasts up to
	// controlrpc.MaxWatchWait.
	watcherTimeout = 3 * time.Second
	// watcherSettleTime is the time after an election in which every entry VM in touch has found the new leader: two
	// watches, and the restart of a VM.
	watcherSettleTime = 1500 * time.Millisecond
)

// Watch returns the changes after a revision, and waits for a change for a bounded time.
func (s *Service) Watch(args controlrpc.WatchArgs, reply *controlrpc.WatchReply) error {
	reply.Fault = fault.ToWire(s.watch(args, reply))
	return nil
}

// knownMembers returns the addresses of the group's members and of the leader, which is empty if it is unknown.
func (s *Service) knownMembers() (members []string, leader string) {
	for _, member := range s.group.Members() {
		members = append(members, member.Address)
		if member.Role == string(raftnode.RoleLeader) {
			leader = member.Address
		}
	}
	return members, leader
}

func (s *Service) watch(args controlrpc.WatchArgs, reply *controlrpc.WatchReply) error {
	received := time.Now()
	reply.Members, reply.Leader = s.knownMembers()
	if err := s.checkLeader(); err != nil {
		return s.watchProvisionally(args, reply, err)
	}
	s.recordWatcher(args, s.now())
	s.awaitChange(args)
	// The read barrier comes after the wait, so that the reply is current when it is sent.
	held := time.Since(received)
	if err := s.confirmLeadership(); err != nil {
		return err
	}
	if err := s.checkNotBehind(args.Known); err != nil {
		return err
	}
	s.machine.fillDelta(args.Known, args.TableVersion, s.now(), reply)
	reply.Held = held
	reply.Members, reply.Leader = s.knownMembers()
	reply.Watchers = s.watchers.settledCount(watcherTimeout, watcherSettleTime, s.now())
	s.fillPeers(args, reply)
	s.fillSuspects(args, reply)
	return nil
}

// watchProvisionally serves a watcher without any state from the committed state of this member, which is not the
// leader. After a restart of all VMs, entry VMs can thereby serve requests before a leader is elected. The state may lag
// behind that of the quorum; the watcher gets the missing changes from the leader with its next watch.
func (s *Service) watchProvisionally(args controlrpc.WatchArgs, reply *controlrpc.WatchReply, notLeader error) error {
	if args.Known != 0 || s.machine.routes().Table.Version == 0 {
		return notLeader
	}
	s.machine.fillDelta(args.Known, 0, s.now(), reply)
	reply.MaybeEvacuated = s.machine.recoveredEvacuations()
	reply.Provisional = true
	return nil
}

// awaitChange waits until the revision or the candidates for a quarantine differ from what the watcher knows, or until the wait
// time has passed.
func (s *Service) awaitChange(args controlrpc.WatchArgs) {
	changed := s.machine.Changed()
	var suspectsChanged <-chan struct{}
	if args.FollowsSuspects {
		var digest uint64
		if digest, suspectsChanged = s.suspects.watch(); digest != args.SuspectsDigest {
			return
		}
	}
	if s.machine.Revision() != args.Known {
		return
	}
	wait := time.NewTimer(min(time.Duration(args.WaitMillis)*time.Millisecond, controlrpc.MaxWatchWait))
	defer wait.Stop()
	select {
	case <-changed:
		time.Sleep(watchBatchDelay)
	case <-suspectsChanged:
	case <-wait.C:
	}
}

// fillDelta adds the changes after the known revision to the reply. The route table is sent as a change if the watcher holds one of
// the kept versions; tableVersion 0 requests the whole table.
func (m *Machine) fillDelta(known, tableVersion uint64, now time.Time, reply *controlrpc.WatchReply) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	reply.Revision = m.state.Revision()
	routes := m.state.Routes()
	if routes.Table.Version > 0 && routes.Since > known {
		if reply.TableChange = m.tables.changeTo(tableVersion, routes.Table.Version); reply.TableChange == nil {
			reply.Table = &routes.Table
		}
	}
	reply.Instances = m.state.Instances().Since(known)
	reply.Quarantined, reply.QuarantinesWhole = m.state.QuarantinesSince(known, now)
	reply.Evacuated, reply.EvacuationsWhole = m.state.EvacuatedSince(known)
}

// RoutesVersion returns the version of the route table in force, or 0 if there is none.
func (m *Machine) RoutesVersion() uint64 { return m.routes().Table.Version }

func (m *Machine) routes() controlstate.Routes {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.Routes()
}

// PutRoutes replaces the route table unless an equal or higher version is in force.
func (s *Service) PutRoutes(args controlrpc.PutRoutesArgs, reply *controlrpc.PutRoutesReply) error {
	command := controlstate.Command{PutRoutes: &controlstate.PutRoutes{Table: args.Table, Source: args.Source}}
	result, err := s.proposeOnLeader(command)
	reply.Version = result.Version
	reply.Fault = fault.ToWire(err)
	s.log.Info("route table proposed", "version", args.Table.Version, "in_force", result.Version, "revision", result.Revision,
		"routes", len(args.Table.Routes), "accepted", err == nil)
	return nil
}

// proposeOnLeader proposes a command if this member is the leader. It returns the fault of a refused command as the
// error.
func (s *Service) proposeOnLeader(command controlstate.Command) (controlstate.Result, error) {
	if err := s.checkLeader(); err != nil {
		return controlstate.Result{}, err
	}
	result, err := s.propose(context.Background(), command)
	if err != nil {
		return result, err
	}
	return result, result.Fault.AsError()
}

// ReadRoutes returns the route table in force. It is a linearizable read.
func (s *Service) ReadRoutes(args controlrpc.ReadRoutesArgs, reply *controlrpc.ReadRoutesReply) error {
	if err := s.confirmLeadership(); err != nil {
		reply.Fault = fault.ToWire(err)
		return nil
	}
	routes := s.machine.routes()
	reply.Version = routes.Table.Version
	reply.Table = routes.Table
	if !args.WithoutSource {
		reply.Source = routes.Source
	}
	return nil
}
