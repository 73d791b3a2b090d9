package ratelimit

import (
	"slices"
	"strings"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/registry"
)

// entry is what is known about one upstream. It is kept after the end of a limit, so that an older statement that
// arrives late does not bring the limit back.
type entry struct {
	perSecond float64
	// unreadable is set while the upstream names a limit that cannot be read.
	unreadable bool
	observedAt time.Time
	// fullUntil is the time until which no permit is expected.
	fullUntil time.Time
}

// Book holds the limits that one entry VM knows. It is not safe for concurrent use.
type Book struct {
	entries map[registry.Process]*entry
	// unreadable counts the statements that could not be read.
	unreadable int64
}

// NewBook returns an empty book.
func NewBook() *Book { return &Book{entries: map[registry.Process]*entry{}} }

// Change is the effect of a statement: the limits in force before and after, 0 for none.
type Change struct {
	Before, After float64
	// BecameUnreadable is set for the first of several statements that cannot be read.
	BecameUnreadable bool
}

// Observe records what a response that arrived at the given time says. Of two statements the one that arrived later
// holds.
func (b *Book) Observe(at time.Time, key registry.Process, s Statement) Change {
	e, known := b.entries[key]
	perSecond := s.PerSecond
	if s.Err != nil {
		b.unreadable++
		perSecond = UnreadablePerSecond
		if known && e.perSecond > 0 {
			perSecond = e.perSecond
		}
	}
	switch {
	case !known && perSecond == 0:
		return Change{}
	case !known:
		e = &entry{}
		b.entries[key] = e
	case at.Before(e.observedAt):
		return Change{Before: e.perSecond, After: e.perSecond}
	}
	change := Change{Before: e.perSecond, After: perSecond, BecameUnreadable: s.Err != nil && !e.unreadable}
	e.perSecond, e.observedAt, e.unreadable = perSecond, at, s.Err != nil
	return change
}

// Known returns the limit in force, 0 for none, and when it was stated last.
func (b *Book) Known(key registry.Process) (perSecond float64, statedAt time.Time) {
	e, ok := b.entries[key]
	if !ok {
		return 0, time.Time{}
	}
	return e.perSecond, e.observedAt
}

// Full records that no permit for the upstream is expected until the given time.
func (b *Book) Full(key registry.Process, until time.Time) {
	if e, ok := b.entries[key]; ok {
		e.fullUntil = until
	}
}

// RoomAt returns the time from which a permit for the upstream is expected, which is not after now if there is no limit.
func (b *Book) RoomAt(key registry.Process) time.Time {
	if e, ok := b.entries[key]; ok && e.perSecond > 0 {
		return e.fullUntil
	}
	return time.Time{}
}

// Empty reports whether no upstream has named a limit.
func (b *Book) Empty() bool { return len(b.entries) == 0 }

// InForce is a limit in force.
type InForce struct {
	Process   registry.Process
	PerSecond float64
}

// InForce returns all limits in force, ordered by instance.
func (b *Book) InForce() []InForce {
	var all []InForce
	for key, e := range b.entries {
		if e.perSecond > 0 {
			all = append(all, InForce{Process: key, PerSecond: e.perSecond})
		}
	}
	slices.SortFunc(all, func(a, c InForce) int { return strings.Compare(a.Process.Instance, c.Process.Instance) })
	return all
}

// Unreadable returns how many statements could not be read.
func (b *Book) Unreadable() int64 { return b.unreadable }

// Retain drops every upstream for which keep returns false.
func (b *Book) Retain(keep func(registry.Process) bool) {
	for key := range b.entries {
		if !keep(key) {
			delete(b.entries, key)
		}
	}
}
