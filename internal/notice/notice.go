// Package notice keeps what upstream processes say of themselves in their responses: that they leave, and for how long they
// want no requests. It performs no I/O, and time is an argument.
package notice

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/registry"
)

const (
	// maxTextBytes is longer than any sensible number of seconds. Longer texts are not parsed.
	maxTextBytes = 32
	// maxPause bounds a pause, so that it can be added to any time. No process of an upstream lasts that long.
	maxPause = 100 * 365 * 24 * time.Hour
	// lastResort is how long a process that leaves is still chosen if its service has no other one. It is far below the time
	// within which the users want it to get no new work, and lets its replacement register.
	lastResort = time.Second
	// spreadShare is the part of a pause, and maxSpread the time, by which this VM waits longer at most, so that not all VMs
	// return to an upstream at the same moment.
	spreadShare = 0.1
	maxSpread   = 300 * time.Millisecond
)

// Notice is what one response says about its upstream.
type Notice struct {
	// Leaving is set if the process is about to end and wants no new work.
	Leaving bool
	// Pause is how long the upstream wants no requests from this VM, 0 if it does not say.
	Pause time.Duration
	// Err is set if the response names a pause that cannot be read.
	Err error
}

// ParsePause parses the values of a header that names a pause: no value, or one decimal number of seconds.
func ParsePause(values []string) (time.Duration, error) {
	switch {
	case len(values) == 0:
		return 0, nil
	case len(values) > 1:
		return 0, unreadable("%d values, accepted: one", len(values))
	case len(values[0]) > maxTextBytes:
		return 0, unreadable("%d bytes, accepted: at most %d", len(values[0]), maxTextBytes)
	case strings.Trim(values[0], "0123456789.") != "":
		return 0, unreadable("value %q, accepted: a decimal number of seconds", values[0])
	}
	seconds, err := strconv.ParseFloat(values[0], 64)
	if err != nil || math.IsNaN(seconds) {
		return 0, unreadable("value %q, accepted: a decimal number of seconds", values[0])
	}
	if seconds > maxPause.Seconds() {
		return maxPause, nil
	}
	return time.Duration(seconds * float64(time.Second)), nil
}

func unreadable(format string, args ...any) error {
	return fault.New(fault.BadRequest, "notice.parse", "pause of an upstream: "+format, args...)
}

// entry is what is known of one process.
type entry struct {
	// leavingSince is when the process first said that it leaves, zero if it did not.
	leavingSince time.Time
	pausedUntil  time.Time
}

// Book holds the notices that one entry VM has heard. Those of a process end with it: the next process of the same upstream
// has said nothing. It is not safe for concurrent use.
type Book struct {
	entries map[registry.Process]*entry
	// unreadable counts the pauses that could not be read.
	unreadable int64
}

// NewBook returns an empty book.
func NewBook() *Book { return &Book{entries: map[registry.Process]*entry{}} }

// Change tells what a notice has changed.
type Change struct {
	// Left is set if the process has said for the first time that it leaves, Paused if a pause has begun or become longer.
	Left, Paused bool
}

// Observe records what a response that arrived at the given time says. A notice holds until its end, whatever later or older
// responses of the process say. The draw is a random number from [0, 1).
func (b *Book) Observe(at time.Time, process registry.Process, n Notice, draw float64) Change {
	if n.Err != nil {
		b.unreadable++
	}
	if !n.Leaving && n.Pause <= 0 {
		return Change{}
	}
	e, known := b.entries[process]
	if !known {
		e = &entry{}
		b.entries[process] = e
	}
	var change Change
	if n.Leaving && e.leavingSince.IsZero() {
		e.leavingSince = at
		change.Left = true
	}
	if n.Pause > 0 {
		spread := min(time.Duration(draw*spreadShare*float64(n.Pause)), maxSpread)
		if until := at.Add(n.Pause + spread); until.After(e.pausedUntil) {
			change.Paused = !at.Before(e.pausedUntil)
			e.pausedUntil = until
		}
	}
	return change
}

// Empty reports whether no process has said anything.
func (b *Book) Empty() bool { return len(b.entries) == 0 }

// Leaving reports whether the process is not to be chosen because it leaves. With asLastResort it may be chosen for a short time.
func (b *Book) Leaving(now time.Time, process registry.Process, asLastResort bool) bool {
	e, known := b.entries[process]
	if !known || e.leavingSince.IsZero() {
		return false
	}
	return !asLastResort || now.Sub(e.leavingSince) >= lastResort
}

// PausedUntil returns the end of the pause of the process, which is not after now if it takes requests.
func (b *Book) PausedUntil(process registry.Process) time.Time {
	if e, known := b.entries[process]; known {
		return e.pausedUntil
	}
	return time.Time{}
}

// InForce is what a process has said that still holds.
type InForce struct {
	Process registry.Process
	// LeavingSince is zero if the process does not leave.
	LeavingSince time.Time
	PausedUntil  time.Time
}

// InForce returns the notices that hold at the given time.
func (b *Book) InForce(now time.Time) []InForce {
	var all []InForce
	for process, e := range b.entries {
		if !e.leavingSince.IsZero() || e.pausedUntil.After(now) {
			all = append(all, InForce{Process: process, LeavingSince: e.leavingSince, PausedUntil: e.pausedUntil})
		}
	}
	return all
}

// Unreadable returns how many pauses could not be read.
func (b *Book) Unreadable() int64 { return b.unreadable }

// Retain drops every process for which keep returns false.
func (b *Book) Retain(keep func(registry.Process) bool) {
	for process := range b.entries {
		if !keep(process) {
			delete(b.entries, process)
		}
	}
}
