package controlstate

import (
	"cmp"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/model"
	"github.com/wisteriamux/wisteriamux/internal/planner"
	"github.com/wisteriamux/wisteriamux/internal/registry"
	"github.com/wisteriamux/wisteriamux/internal/suspect"
)

// snapshotFormat is the version of the snapshot encoding. A member rejects an unknown version.
const snapshotFormat = 1

// snapshot is the serialized form of a State. Its lists are sorted or in log order, so that equal states have equal
// encodings.
type snapshot struct {
	Format      int                  `cbor:"1,keyasint"`
	NowMillis   int64                `cbor:"2,keyasint"`
	Revision    uint64               `cbor:"3,keyasint"`
	Config      model.Configuration  `cbor:"4,keyasint"`
	Changes     []configChange       `cbor:"5,keyasint"`
	Members     []model.Member       `cbor:"6,keyasint"`
	Upstreams   []snapshotUpstream   `cbor:"7,keyasint"`
	Bookings    []Booking            `cbor:"8,keyasint"`
	Quarantines []snapshotQuarantine `cbor:"9,keyasint"`
	Execution   *planner.Execution   `cbor:"10,keyasint,omitempty"`
	Routes      Routes               `cbor:"11,keyasint,omitempty"`
	Instances   registry.Contents    `cbor:"12,keyasint,omitempty"`
	// QuarantinesCleared is the revision at which quarantines were ended early the last time.
	QuarantinesCleared uint64 `cbor:"13,keyasint,omitempty"`
	// Evacuated is empty in snapshots of versions that cannot evacuate failure domains.
	Evacuated          []string `cbor:"14,keyasint,omitempty"`
	EvacuationsChanged uint64   `cbor:"15,keyasint,omitempty"`
}

type snapshotUpstream struct {
	Upstream model.Upstream `cbor:"1,keyasint"`
	// Leaving is set if a drain of the process instance LeavingInstance was ordered.
	Leaving         bool   `cbor:"2,keyasint,omitempty"`
	LeavingInstance string `cbor:"3,keyasint,omitempty"`
}

type snapshotQuarantine struct {
	Fingerprint string `cbor:"1,keyasint"`
	UntilMillis int64  `cbor:"2,keyasint"`
	SinceMillis int64  `cbor:"3,keyasint,omitempty"`
	// Revision is 0 in snapshots of versions that do not record it.
	Revision uint64           `cbor:"4,keyasint,omitempty"`
	Evidence suspect.Evidence `cbor:"5,keyasint,omitzero"`
}

// Snapshot encodes the whole state.
func (s *State) Snapshot() ([]byte, error) {
	view := s.buildView()
	content := snapshot{
		Format:    snapshotFormat,
		NowMillis: s.nowMillis,
		Revision:  s.revision,
		Config:    s.config,
		Members:   view.Members,
		Bookings:  make([]Booking, 0, s.bookings.order.Len()),
		Execution: s.execution,
		Routes:    s.routes,
		Instances: s.instances.Contents(),

		QuarantinesCleared: s.quarantinesCleared,
		Evacuated:          s.Evacuated(),
		EvacuationsChanged: s.evacuationsChanged,
	}
	for _, id := range s.changes.order {
		content.Changes = append(content.Changes, s.changes.byID[id])
	}
	for _, upstream := range view.Upstreams {
		instance, drainOrdered := s.drainOrdered[upstream.Name]
		content.Upstreams = append(content.Upstreams, snapshotUpstream{Upstream: upstream, Leaving: drainOrdered, LeavingInstance: instance})
	}
	for element := s.bookings.order.Front(); element != nil; element = element.Next() {
		content.Bookings = append(content.Bookings, *element.Value.(*Booking))
	}
	for _, fingerprint := range slices.Sorted(maps.Keys(s.quarantines)) {
		q := s.quarantines[fingerprint]
		content.Quarantines = append(content.Quarantines, snapshotQuarantine{
			Fingerprint: fingerprint, UntilMillis: q.untilMillis, SinceMillis: q.sinceMillis, Revision: q.revision, Evidence: q.evidence,
		})
	}
	data, err := cbor.Marshal(content)
	if err != nil {
		return nil, fault.New(fault.Internal, "controlstate.snapshot", "encode snapshot: %w", err)
	}
	return data, nil
}

// Restore decodes the state from a snapshot.
func Restore(data []byte) (*State, error) {
	// The default limit for arrays is below MaxBookings.
	mode, err := cbor.DecOptions{MaxArrayElements: 2 * MaxBookings}.DecMode()
	if err != nil {
		return nil, fault.New(fault.Internal, "controlstate.restore", "configure the decoder: %w", err)
	}
	var content snapshot
	if err := mode.Unmarshal(data, &content); err != nil {
		return nil, fault.New(fault.Corrupt, "controlstate.restore", "decode snapshot: %w", err)
	}
	if content.Format != snapshotFormat {
		return nil, fault.New(fault.Corrupt, "controlstate.restore", "snapshot format is %d, but only format %d is supported", content.Format, snapshotFormat)
	}
	return content.state(), nil
}

func (c snapshot) state() *State {
	s := New()
	s.nowMillis = c.NowMillis
	s.revision = c.Revision
	s.config = c.Config
	s.execution = c.Execution
	s.routes = c.Routes
	s.instances = registry.Restore(c.Instances)
	if c.Routes.Table.Version > 0 {
		s.instances.SetServices(c.Routes.Table.ServiceNames())
	}
	for _, change := range c.Changes {
		s.changes.add(change, s.limits.changes)
	}
	for _, member := range c.Members {
		s.members[member.ID] = member
	}
	for _, entry := range c.Upstreams {
		s.upstreams[entry.Upstream.Name] = entry.Upstream
		if entry.Leaving {
			s.drainOrdered[entry.Upstream.Name] = entry.LeavingInstance
		}
	}
	for _, record := range c.Bookings {
		s.bookings.put(&record)
	}
	s.quarantinesCleared = c.QuarantinesCleared
	s.evacuationsChanged = c.EvacuationsChanged
	for _, domain := range c.Evacuated {
		s.evacuated[domain] = true
	}
	for _, entry := range c.Quarantines {
		s.quarantines[entry.Fingerprint] = quarantine{
			untilMillis: entry.UntilMillis, sinceMillis: entry.SinceMillis, revision: cmp.Or(entry.Revision, c.Revision), evidence: entry.Evidence,
		}
	}
	return s
}
