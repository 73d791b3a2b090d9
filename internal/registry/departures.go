package registry

import (
	"cmp"
	"slices"
)

// Departure is the tombstone of a removed upstream, which keeps late reports from registering it again.
type Departure struct {
	ID       string `cbor:"1,keyasint"`
	Born     int64  `cbor:"2,keyasint,omitempty"`
	Sequence uint64 `cbor:"3,keyasint,omitempty"`
	// Final is set if only a newer process may register again. Otherwise any newer report of the same process may, too.
	Final bool `cbor:"4,keyasint,omitempty"`
	// At is the log index of the removal.
	At uint64 `cbor:"5,keyasint"`
	// Deregistered is set if the departure is final because the upstream has deregistered. DisplaceByAddress makes departures final
	// without that, and earlier versions did not record the difference.
	Deregistered bool `cbor:"6,keyasint,omitempty"`
	// LeftBorn is the latest start time of an earlier process of this ID that has deregistered, or 0.
	LeftBorn int64 `cbor:"7,keyasint,omitempty"`
	// Unregistered is set if no process of the ID was registered when this one deregistered: its heartbeats may still be on their way.
	Unregistered bool `cbor:"8,keyasint,omitempty"`
}

const (
	// maxDepartures bounds the memory of the table. A departure is dropped only after thousands of later ones, so only a
	// report that is delayed for that long could register the upstream again.
	maxDepartures = 8192
	// maxUnregistered bounds the departures of processes that were never registered. Anybody can deregister any ID, so they do not
	// take the place of others.
	maxUnregistered = 8192
	// displacedSequences is the number of reports after which an upstream counts as displaced rather than gone if it continues to
	// report. An upstream that has deregistered sends only a few more.
	displacedSequences = 100
)

// removal is the reason for which an upstream is removed.
type removal int

const (
	// silent means that the upstream has sent no heartbeat within the timeout.
	silent removal = iota
	deregistered
	// displaced means that another upstream has reported the same address. It occurs only under DisplaceByAddress.
	displaced
)

// leftBorn returns the latest start time of a process of this ID that has deregistered, or 0.
func (d Departure) leftBorn() int64 {
	if d.Deregistered {
		return max(d.LeftBorn, d.Born)
	}
	return d.LeftBorn
}

// allowsReturnOf reports whether a report may register the upstream again.
func (d Departure) allowsReturnOf(i Instance) bool {
	switch {
	case i.Born != 0 && i.Born <= d.LeftBorn:
		return false
	case i.Born > d.Born:
		return true
	case i.Born == d.Born && d.Final:
		return !d.Deregistered && i.Sequence >= d.Sequence+displacedSequences
	case i.Born == d.Born:
		return i.Sequence > d.Sequence
	}
	// The start time of the removed process is only what a report said. A process that started before it and has not deregistered
	// may be the true one.
	return !d.Final
}

// depart applies the deregistration of a process.
func (t *Table) depart(p Process, index uint64) {
	current, registered := t.instances[p.Instance]
	gone, recorded := t.departures[p.Instance]
	switch {
	case registered && (p.Born == 0 || p.Born >= current.Born):
		t.remove(p.Instance, index, deregistered)
		gone = t.departures[p.Instance]
		gone.Born = max(gone.Born, p.Born)
	case registered:
		current.LeftBorn = p.Born
		t.put(current, index)
		return
	case !recorded:
		gone = Departure{ID: p.Instance, Born: p.Born, Final: true, Deregistered: true, Unregistered: true}
	case p.Born != 0 && p.Born < gone.Born:
		gone.LeftBorn = p.Born
	default:
		gone.Born, gone.Final, gone.Deregistered = max(gone.Born, p.Born), true, true
	}
	gone.At = index
	t.recordDeparture(gone)
}

// recordDeparture adds or replaces a tombstone.
func (t *Table) recordDeparture(d Departure) {
	t.dropDeparture(d.ID)
	t.departures[d.ID] = d
	if d.Unregistered {
		t.unregisteredCount++
	}
	if t.unregisteredCount > maxUnregistered {
		t.compactDepartures(maxUnregistered, true)
	}
	if len(t.departures)-t.unregisteredCount > maxDepartures {
		t.compactDepartures(maxDepartures, false)
	}
}

func (t *Table) dropDeparture(id string) {
	if t.departures[id].Unregistered {
		t.unregisteredCount--
	}
	delete(t.departures, id)
}

// compactDepartures drops the oldest quarter of the departures that were registered, or of those that were not.
func (t *Table) compactDepartures(most int, unregistered bool) {
	all := slices.DeleteFunc(t.Departures(), func(d Departure) bool { return d.Unregistered != unregistered })
	for _, d := range all[:len(all)-most*3/4] {
		t.dropDeparture(d.ID)
		if !unregistered {
			t.compactedIndex = max(t.compactedIndex, d.At)
		}
	}
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
