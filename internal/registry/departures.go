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
}

const (
	// maxDepartures bounds the memory of the table. A departure is dropped only after thousands of later ones, so only a
	// report that is delayed for that long could register the upstream again.
	maxDepartures = 8192
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
	case i.Born > d.Born:
		return true
	case i.Born == d.Born && d.Final:
		return !d.Deregistered && i.Sequence >= d.Sequence+displacedSequences
	case i.Born == d.Born:
		return i.Sequence > d.Sequence
	}
	// The start time of the removed process is only what a report said. A process that started before it and has not deregistered
	// may be the true one.
	return !d.Final && i.Born > d.LeftBorn
}

// recordDeparture adds a tombstone.
func (t *Table) recordDeparture(d Departure) {
	t.departures[d.ID] = d
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
