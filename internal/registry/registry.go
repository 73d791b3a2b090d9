// Package registry is the table of upstreams that announce themselves. It orders reports that arrive late, repeated or
// reordered, and performs no I/O.
package registry

import (
	"cmp"
	"slices"
)

// State is what an upstream says about itself.
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
	// Born is the start of the process in Unix milliseconds, 0 if it does not say. With Sequence it orders the reports
	// of one ID, and it orders the owners of one address.
	Born     int64  `cbor:"7,keyasint,omitempty"`
	Sequence uint64 `cbor:"8,keyasint,omitempty"`
	// ColdMillis is how long the upstream said that it stays slow, counted from the report, in ms.
	ColdMillis int64 `cbor:"9,keyasint,omitempty"`
	// Since is the log index of the last change of this record.
	Since uint64 `cbor:"10,keyasint,omitempty"`
}

// Report is what arrives about an upstream.
type Report struct {
	Instance Instance `cbor:"1,keyasint"`
	// Left tells that the upstream takes no more work. Born 0 then means the registered process.
	Left bool `cbor:"2,keyasint,omitempty"`
	// Silent tells that nothing was heard of the upstream for long. Any newer report registers it again.
	Silent bool `cbor:"3,keyasint,omitempty"`
}

// Departure remembers an upstream that is gone, so that late reports do not bring it back.
type Departure struct {
	ID       string `cbor:"1,keyasint"`
	Born     int64  `cbor:"2,keyasint,omitempty"`
	Sequence uint64 `cbor:"3,keyasint,omitempty"`
	// Final departures end only with a newer process; others end with any newer report.
	Final bool   `cbor:"4,keyasint,omitempty"`
	At    uint64 `cbor:"5,keyasint"`
}

// maxDepartures bounds the memory of the table. A forgotten departure could be undone only by a report that is older
// than that many others.
const maxDepartures = 8192

// Table holds the upstreams and the departures. It is not safe for concurrent use.
type Table struct {
	instances  map[string]Instance
	byAddress  map[string]string
	departures map[string]Departure
	// forgotten is the highest index of a departure that was dropped.
	forgotten uint64
}

// New returns an empty table.
func New() *Table {
	return &Table{instances: map[string]Instance{}, byAddress: map[string]string{}, departures: map[string]Departure{}}
}

// Verdict is what a report would do.
type Verdict int

// The verdicts on a report.
const (
	// Stale reports are older than what is known.
	Stale Verdict = iota
	// Renewal reports change nothing.
	Renewal
	// Change reports must be applied.
	Change
)

// Judge tells what a report would do, without a change.
func (t *Table) Judge(r Report) Verdict {
	current, known := t.instances[r.Instance.ID]
	if r.Left || r.Silent {
		return t.judgeEnd(r, current, known)
	}
	if known {
		switch {
		case r.Instance.Born < current.Born:
			return Stale
		case r.Instance.Born > current.Born:
		case r.Instance.Sequence < current.Sequence:
			return Stale
		case sameFacts(r.Instance, current):
			return Renewal
		case r.Instance.Sequence == current.Sequence:
			return Stale
		}
	} else if gone, ok := t.departures[r.Instance.ID]; ok && !gone.allows(r.Instance) {
		return Stale
	}
	if holder, ok := t.holder(r.Instance); ok && holder.Born > r.Instance.Born {
		return Stale
	}
	return Change
}

func (t *Table) judgeEnd(r Report, current Instance, known bool) Verdict {
	if !known || (r.Instance.Born != 0 && r.Instance.Born != current.Born) {
		return Stale
	}
	if r.Silent && r.Instance.Since != current.Since {
		return Stale
	}
	return Change
}

func (d Departure) allows(i Instance) bool {
	if i.Born != d.Born {
		return i.Born > d.Born
	}
	return !d.Final && i.Sequence > d.Sequence
}

func sameFacts(a, b Instance) bool {
	return a.Service == b.Service && a.Address == b.Address && a.FailureDomain == b.FailureDomain &&
		a.Slots == b.Slots && a.State == b.State
}

// holder returns another upstream at the same address.
func (t *Table) holder(i Instance) (Instance, bool) {
	id, ok := t.byAddress[i.Address]
	if !ok || id == i.ID {
		return Instance{}, false
	}
	return t.instances[id], true
}

// Apply executes a report at the log index and tells whether the table changed.
func (t *Table) Apply(r Report, index uint64) bool {
	if t.Judge(r) != Change {
		return false
	}
	if r.Left || r.Silent {
		t.remove(r.Instance.ID, index, r.Left)
		return true
	}
	if holder, ok := t.holder(r.Instance); ok {
		t.remove(holder.ID, index, true)
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
		t.forgetOldest()
	}
}

func (t *Table) forgetOldest() {
	all := t.Departures()
	for _, d := range all[:len(all)-maxDepartures*3/4] {
		delete(t.departures, d.ID)
		t.forgotten = max(t.forgotten, d.At)
	}
}

// Instance returns the upstream with the ID.
func (t *Table) Instance(id string) (Instance, bool) {
	i, ok := t.instances[id]
	return i, ok
}

// Instances returns all upstreams, ordered by ID.
func (t *Table) Instances() []Instance {
	all := make([]Instance, 0, len(t.instances))
	for _, i := range t.instances {
		all = append(all, i)
	}
	slices.SortFunc(all, func(a, b Instance) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// Departures returns the remembered departures, oldest first.
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

// Delta is what changed after an index. Whole is set when Changed lists every upstream.
type Delta struct {
	Whole   bool
	Changed []Instance
	Removed []string
}

// Since returns what changed after the index.
func (t *Table) Since(index uint64) Delta {
	if index == 0 || index < t.forgotten {
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

// Image is the whole content of a table.
type Image struct {
	Instances  []Instance  `cbor:"1,keyasint,omitempty"`
	Departures []Departure `cbor:"2,keyasint,omitempty"`
	Forgotten  uint64      `cbor:"3,keyasint,omitempty"`
}

// Image returns the content.
func (t *Table) Image() Image {
	return Image{Instances: t.Instances(), Departures: t.Departures(), Forgotten: t.forgotten}
}

// Restore returns the table with the content.
func Restore(image Image) *Table {
	t := New()
	for _, i := range image.Instances {
		t.put(i, i.Since)
	}
	for _, d := range image.Departures {
		t.departures[d.ID] = d
	}
	t.forgotten = image.Forgotten
	return t
}
