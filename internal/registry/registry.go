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
	// reports of one ID. Of two instances that report the same address, the one with the later Born keeps it.
	Born     int64  `cbor:"7,keyasint,omitempty"`
	Sequence uint64 `cbor:"8,keyasint,omitempty"`
	// ColdMillis is how long the upstream expects its cold start to last, in milliseconds from the report.
	ColdMillis int64 `cbor:"9,keyasint,omitempty"`
	// Since is the log index of the last change of this record.
	Since uint64 `cbor:"10,keyasint,omitempty"`
	// ColdUntil is when the reported cold start ends, in Unix milliseconds, or 0. It is set only for services that limit the
	// requests to cold upstreams: ColdMillis does not tell a VM that starts later when the report was made.
	ColdUntil int64 `cbor:"11,keyasint,omitempty"`
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
}

// Departure is the tombstone of a removed upstream, which keeps late reports from registering it again.
type Departure struct {
	ID       string `cbor:"1,keyasint"`
	Born     int64  `cbor:"2,keyasint,omitempty"`
	Sequence uint64 `cbor:"3,keyasint,omitempty"`
	// Final is set if only a newer process may register again. Otherwise any newer report of the same process may, too.
	Final bool `cbor:"4,keyasint,omitempty"`
	// At is the log index of the removal.
	At uint64 `cbor:"5,keyasint"`
}

// maxDepartures bounds the memory of the table. A departure is dropped only after thousands of later ones, so only a
// report that is delayed for that long could register the upstream again.
const maxDepartures = 8192

// Table holds the upstreams and the departures. It is not safe for concurrent use.
type Table struct {
	instances  map[string]Instance
	byAddress  map[string]string
	departures map[string]Departure
	// compactedIndex is the highest log index of a dropped departure. Deltas from an earlier index are not available.
	compactedIndex uint64
}

// New returns an empty table.
func New() *Table {
	return &Table{instances: map[string]Instance{}, byAddress: map[string]string{}, departures: map[string]Departure{}}
}

// Effect is the effect that a report has on the table.
type Effect int

// The effects of a report.
const (
	// Stale is the effect of a report that is older than the table, which is ignored.
	Stale Effect = iota
	// Renewal is the effect of a report that only confirms the registered record.
	Renewal
	// Change is the effect of a report that changes the table when it is applied.
	Change
)

// Preview returns the effect that the report would have, without applying it.
func (t *Table) Preview(r Report) Effect {
	current, known := t.instances[r.Instance.ID]
	if r.Left || r.Silent {
		return t.previewRemoval(r, current, known)
	}
	if known {
		switch {
		case r.Instance.Born < current.Born:
			return Stale
		case r.Instance.Born > current.Born:
		case r.Instance.Sequence < current.Sequence:
			return Stale
		case sameRegistration(r.Instance, current) && (!r.ColdChanged || r.Instance.Sequence == current.Sequence):
			return Renewal
		case r.Instance.Sequence == current.Sequence:
			return Stale
		}
	} else if gone, ok := t.departures[r.Instance.ID]; ok && !gone.allowsReturnOf(r.Instance) {
		return Stale
	}
	if addressHolder, ok := t.addressHolder(r.Instance); ok && addressHolder.Born > r.Instance.Born {
		return Stale
	}
	return Change
}

func (t *Table) previewRemoval(r Report, current Instance, known bool) Effect {
	if !known || (r.Instance.Born != 0 && r.Instance.Born != current.Born) {
		return Stale
	}
	if r.Silent && r.Instance.Since != current.Since {
		return Stale
	}
	return Change
}

// allowsReturnOf reports whether a report is new enough to register the upstream again.
func (d Departure) allowsReturnOf(i Instance) bool {
	if i.Born != d.Born {
		return i.Born > d.Born
	}
	return !d.Final && i.Sequence > d.Sequence
}

func sameRegistration(a, b Instance) bool {
	return a.Service == b.Service && a.Address == b.Address && a.FailureDomain == b.FailureDomain &&
		a.Slots == b.Slots && a.State == b.State
}

// addressHolder returns the other upstream that is registered at the address of the instance, if any.
func (t *Table) addressHolder(i Instance) (Instance, bool) {
	id, ok := t.byAddress[i.Address]
	if !ok || id == i.ID {
		return Instance{}, false
	}
	return t.instances[id], true
}

// Apply applies a report at the log index and reports whether the table changed.
func (t *Table) Apply(r Report, index uint64) bool {
	if t.Preview(r) != Change {
		return false
	}
	if r.Left || r.Silent {
		t.remove(r.Instance.ID, index, r.Left)
		return true
	}
	if addressHolder, ok := t.addressHolder(r.Instance); ok {
		t.remove(addressHolder.ID, index, true)
	}
	if current, ok := t.instances[r.Instance.ID]; ok {
		delete(t.byAddress, current.Address)
	}
	t.put(r.Instance, index)
	return true
}

func (t *Table) put(i Instance, index uint64) {
	i.Since = index
	t.instances[i.ID] = i
	t.byAddress[i.Address] = i.ID
	delete(t.departures, i.ID)
}

func (t *Table) remove(id string, index uint64, final bool) {
	i := t.instances[id]
	delete(t.instances, id)
	delete(t.byAddress, i.Address)
	t.departures[id] = Departure{ID: id, Born: i.Born, Sequence: i.Sequence, Final: final, At: index}
	if len(t.departures) > maxDepartures {
		t.compactDepartures()
	}
}

// compactDepartures drops the oldest quarter of the departures.
func (t *Table) compactDepartures() {
	all := t.Departures()
	for _, d := range all[:len(all)-maxDepartures*3/4] {
		delete(t.departures, d.ID)
		t.compactedIndex = max(t.compactedIndex, d.At)
	}
}

// Instance returns the upstream with the ID.
func (t *Table) Instance(id string) (Instance, bool) {
	i, ok := t.instances[id]
	return i, ok
}

// Len returns the number of registered upstreams.
func (t *Table) Len() int { return len(t.instances) }

// Instances returns all registered upstreams, ordered by ID.
func (t *Table) Instances() []Instance {
	all := make([]Instance, 0, len(t.instances))
	for _, i := range t.instances {
		all = append(all, i)
	}
	slices.SortFunc(all, func(a, b Instance) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// Departures returns the recorded departures, oldest first.
func (t *Table) Departures() []Departure {
	all := make([]Departure, 0, len(t.departures))
	for _, d := range t.departures {
		all = append(all, d)
	}
	slices.SortFunc(all, func(a, b Departure) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.ID, b.ID))
	})
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
		if gone.At > index {
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
		t.departures[d.ID] = d
	}
	t.compactedIndex = contents.Forgotten
	return t
}
