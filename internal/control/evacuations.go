package control

import (
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/controlstate"
	"github.com/wisteriamux/wisteriamux/internal/fault"
)

// Evacuate evacuates a failure domain, or ends its evacuation. It returns once a quorum has stored the command.
func (s *Service) Evacuate(args controlrpc.EvacuateArgs, reply *controlrpc.Ack) error {
	set := controlstate.SetEvacuation{FailureDomain: args.FailureDomain, Active: args.Active}
	result, err := s.proposeOnLeader(controlstate.Command{SetEvacuation: &set})
	reply.Members, reply.Leader = s.knownMembers()
	reply.Fault = fault.ToWire(err)
	if err != nil {
		s.log.Warn("evacuation not recorded", "domain", args.FailureDomain, "active", args.Active, "code", fault.CodeOf(err), "error", err)
		return nil
	}
	s.log.Info("evacuation recorded", "domain", args.FailureDomain, "active", args.Active, "revision", result.Revision)
	return nil
}

// recoveredEvacuation is a command in the recovered log.
type recoveredEvacuation struct {
	index  uint64
	active bool
}

// Recovered implements raftnode.RecoveryObserver. It keeps the evacuations in the recovered log: until a leader is elected, this member
// does not know which of its last commands were acknowledged.
func (m *Machine) Recovered(index uint64, data []byte) {
	var command struct {
		SetEvacuation *controlstate.SetEvacuation `cbor:"18,keyasint,omitempty"`
	}
	if err := cbor.Unmarshal(data, &command); err != nil || command.SetEvacuation == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recovered[command.SetEvacuation.FailureDomain] = recoveredEvacuation{index: index, active: command.SetEvacuation.Active}
}

// recoveredEvacuations returns the failure domains whose evacuation was in the recovered log and has not been applied yet.
func (m *Machine) recoveredEvacuations() (domains []string) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	applied := max(m.applied, m.state.Revision())
	for _, domain := range slices.Sorted(maps.Keys(m.recovered)) {
		if last := m.recovered[domain]; last.active && last.index > applied {
			domains = append(domains, domain)
		}
	}
	return domains
}

// EvacuationCount returns the number of evacuated failure domains.
func (m *Machine) EvacuationCount() int {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return len(m.state.Evacuated())
}

// Evacuate is Service.Evacuate.
func (a *OperatorAccess) Evacuate(args controlrpc.EvacuateArgs, reply *controlrpc.Ack) error {
	return a.service.Evacuate(args, reply)
}

// Evacuate is Service.Evacuate. A member forwards the commands that operators sent to its directory API.
func (a *MemberAccess) Evacuate(args controlrpc.EvacuateArgs, reply *controlrpc.Ack) error {
	return a.service.Evacuate(args, reply)
}
