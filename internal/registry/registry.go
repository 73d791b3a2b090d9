// Package registry holds the table of the upstreams that announce themselves. It applies reports correctly even if they
// arrive late, repeated or out of order, and performs no I/O.
package registry

import (
	"cmp"
	"slices"
)

// State is the state that an upstream reports.
type State string

// The states of an upstream.
const (
	Ready    State = "ready"
	Draining State = "draining"
)

// Instance is one process of an upstream.
type Instance struct {
	ID            string `cbor:"1,keyasint"`
	Service       string `cbor:"2,keyasint"`
	Address       string `cbor:"3,keyasint"`
	FailureDomain string `cbor:"4,keyasint"`
	Slots         int    `cbor:"5,keyasint"`
	State         State  `cbor:"6,keyasint"`
	// Born is the start time of the process in Unix milliseconds, or 0 if it is not reported. Born and Sequence order the
	// reports of one ID.
	Born     int64  `cbor:"7,keyasint,omitempty"`
	Sequence uint64 `cbor:"8,keyasint,omitempty"`
	// ColdMillis is how long the upstream expects its cold start to last, in milliseconds from the report.
	ColdMillis int64 `cbor:"9,keyasint,omitempty"`
	// Since is the log index of the last change of this record.
	Since uint64 `cbor:"10,keyasint,omitempty"`
	// ColdUntil is when the reported cold start ends, in Unix milliseconds, or 0. It is set only for services that limit the
	// requests to cold upstreams: ColdMillis does not tell a VM that starts later when the report was made.
	ColdUntil int64 `cbor:"11,keyasint,omitempty"`
	// LeftBorn is the latest start time of a process of this ID that has deregistered, or 0.
	LeftBorn int64 `cbor:"12,keyasint,omitempty"`
}

// Process identifies an upstream process. A process that starts again under the same ID has a later Born.
type Process struct {
	Instance string
	Born     int64
}

// Process returns the identity of the process.
func (i Instance) Process() Process { return Process{Instance: i.ID, Born: i.Born} }

// Report is one report about an upstream: its state, its departure, or that it is silent.
type Report struct {
	Instance Instance `cbor:"1,keyasint"`
	// Left is set when the upstream has deregistered and accepts no more work. A report with Born 0 then applies to the
	// registered process, whatever its start time.
	Left bool `cbor:"2,keyasint,omitempty"`
	// Silent is set when the upstream has sent no heartbeat within the timeout. A newer report registers it again.
	Silent bool `cbor:"3,keyasint,omitempty"`
	// ColdChanged is set when the end of the cold start differs from the registered one by more than reports do that count down.
	// Such a report changes the table. It is set only for services that limit the requests to cold upstreams.
	ColdChanged bool `cbor:"4,keyasint,omitempty"`
	// Rules selects how the report is applied. It is set by the leader of the control group.
	Rules Rules `cbor:"5,keyasint,omitempty"`
}

// Table holds the upstreams and the departures. It is not safe for concurrent use.
type Table struct {
	instances map[string]Instance
	// byAddress holds the IDs of the upstreams that report an address. More than one may do so: which process listens there is
	// known only to the process itself.
	byAddress  map[string][]string
	departures map[string]Departure
	// unregisteredCount is the number of departures of processes that were never registered.
	unregisteredCount int
	// services are the services of the route table in force, nil if there is none yet.
	services map[string]bool
	// compactedIndex is the highest log index of a dropped departure. Deltas from an earlier index are not available.
	compactedIndex uint64
}

// New returns an empty table.
func New() *Table {
	return &Table{instances: map[string]Instance{}, byAddress: map[string][]string{}, departures: map[string]Departure{}}
}

func sameRegistration(a, b Instance) bool {
	return a.Service == b.Service && a.Address == b.Address && a.FailureDomain == b.FailureDomain &&
		a.Slots == b.Slots && a.State == b.State
}

// SetServices sets the services of the route table in force. Only their upstreams are used.
func (t *Table) SetServices(names []string) {
	t.services = make(map[string]bool, len(names))
	for _, name := range names {
		t.services[name] = true
	}
}

// Apply applies a report at the log index and reports whether the table changed.
func (t *Table) Apply(r Report, index uint64) bool {
	if t.Preview(r) != Change {
		return false
	}
	switch {
	case r.Left:
		t.depart(r.Instance.Process(), index)
	case r.Silent:
		t.remove(r.Instance.ID, index, silent)
	case r.Rules == DisplaceByAddress:
		t.displace(r.Instance, index)
	default:
		t.put(r.Instance, index)
	}
	return true
}

func (t *Table) put(i Instance, index uint64) {
	if current, ok := t.instances[i.ID]; ok {
		t.dropAddress(current)
		i.LeftBorn = max(i.LeftBorn, current.LeftBorn)
	}
	if gone, ok := t.departures[i.ID]; ok {
		i.LeftBorn = max(i.LeftBorn, gone.leftBorn())
	}
	i.Since = index
	t.instances[i.ID] = i
	t.byAddress[i.Address] = append(t.byAddress[i.Address], i.ID)
	t.dropDeparture(i.ID)
}

func (t *Table) dropAddress(i Instance) {
	ids := slices.DeleteFunc(t.byAddress[i.Address], func(id string) bool { return id == i.ID })
	if len(ids) == 0 {
		delete(t.byAddress, i.Address)
		return
	}
	t.byAddress[i.Address] = ids
}

// remove removes a registered upstream and records its departure.
func (t *Table) remove(id string, index uint64, why removal) {
	i := t.instances[id]
	delete(t.instances, id)
	t.dropAddress(i)
	t.recordDeparture(Departure{
		ID: id, Born: i.Born, Sequence: i.Sequence, Final: why != silent, Deregistered: why == deregistered, LeftBorn: i.LeftBorn, At: index,
	})
}

// Instance returns the upstream with the ID.
func (t *Table) Instance(id string) (Instance, bool) {
	i, ok := t.instances[id]
	return i, ok
}

// Len returns the number of registered upstreams.
func (t *Table) Len() int { return len(t.instances) }

// UnusedLen returns the number of registered upstreams of services that the route table in force does not name.
func (t *Table) UnusedLen() int {
	unused := 0
	for _, i := range t.instances {
		if !t.Uses(i) {
			unused++
		}
	}
	return unused
}

// Instances returns all registered upstreams, ordered by ID.
func (t *Table) Instances() []Instance {
	all := make([]Instance, 0, len(t.instances))
	for _, i := range t.instances {
		all = append(all, i)
	}
	slices.SortFunc(all, func(a, b Instance) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// Delta lists the upstreams that were changed or removed after a log index. Whole is set if Changed lists every
// registered upstream, in which case it replaces the receiver's list.
type Delta struct {
	Whole   bool
	Changed []Instance
	Removed []string
}

// Since returns the changes after the log index. It returns the whole table if the index is 0 or was compacted.
func (t *Table) Since(index uint64) Delta {
	if index == 0 || index < t.compactedIndex {
		return Delta{Whole: true, Changed: t.Instances()}
	}
	var d Delta
	for _, i := range t.instances {
		if i.Since > index {
			d.Changed = append(d.Changed, i)
		}
	}
	for _, gone := range t.departures {
		if gone.At > index && !gone.Unregistered {
			d.Removed = append(d.Removed, gone.ID)
		}
	}
	slices.SortFunc(d.Changed, func(a, b Instance) int { return cmp.Compare(a.ID, b.ID) })
	slices.Sort(d.Removed)
	return d
}

// Contents is the serializable content of a Table.
type Contents struct {
	Instances  []Instance  `cbor:"1,keyasint,omitempty"`
	Departures []Departure `cbor:"2,keyasint,omitempty"`
	Forgotten  uint64      `cbor:"3,keyasint,omitempty"`
}

// Contents returns the content of the table in a deterministic order.
func (t *Table) Contents() Contents {
	return Contents{Instances: t.Instances(), Departures: t.Departures(), Forgotten: t.compactedIndex}
}

// Restore returns a table with the given content.
func Restore(contents Contents) *Table {
	t := New()
	for _, i := range contents.Instances {
		t.put(i, i.Since)
	}
	for _, d := range contents.Departures {
		t.recordDeparture(d)
	}
	t.compactedIndex = contents.Forgotten
	return t
}
