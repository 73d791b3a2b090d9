// Package reach decides whether an entry VM has lost its own links to all upstreams, as opposed to upstreams that have
// failed. Failures alone do not tell: half of the upstreams may fail at once. So the VM first checks whether it can connect
// to upstreams that responded lately. It performs no I/O, and time is an argument.
package reach

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// suspectFailures is the number of failures since the last success that lead to a check. They may concern one upstream: a
	// VM with little traffic sees few, and the check tells whether others can be reached.
	suspectFailures = 3
	// checkInterval is the time between two checks, also while the VM is partitioned.
	checkInterval = 250 * time.Millisecond
	// flapWindow is how long a partition counts as recent, and maxExtraChecks how many more checks than one must succeed
	// in a row, one for each recent partition, before the links are used again. It keeps a link that fails each second out of
	// use.
	flapWindow     = 20 * time.Second
	maxExtraChecks = 4
	// rampUp is the time in which the VM returns to its own links, so that it does not open connections to all upstreams at
	// once.
	rampUp = 1500 * time.Millisecond
)

// Monitor holds what one entry VM observes of its links. It is not safe for concurrent use.
type Monitor struct {
	// undialled counts the connections that could not be made since the last one that was made. unanswered counts the
	// requests that were left without a response since the last response.
	undialled, unanswered int
	// lastResponse holds when each upstream responded last.
	lastResponse map[string]time.Time
	partitioned  bool
	// silent is set if the last check was due because requests were left without responses.
	silent bool
	// checking is set while a check is in progress.
	checking  bool
	checkedAt time.Time
	// successes is the number of successful checks in a row while partitioned.
	successes int
	// lost holds when the links were lost lately, restoredAt when they were restored last.
	lost       []time.Time
	restoredAt time.Time
}

// New returns a monitor of a VM that can reach the upstreams.
func New() *Monitor {
	return &Monitor{lastResponse: map[string]time.Time{}}
}

// Responded records a response of an upstream, whatever its content.
func (m *Monitor) Responded(now time.Time, upstream string) {
	m.unanswered = 0
	m.lastResponse[upstream] = now
}

// Unanswered records that a request got no response in the usual time, or that its connection was lost.
func (m *Monitor) Unanswered() { m.unanswered++ }

// Dialled records whether a connection to an upstream was made.
func (m *Monitor) Dialled(connected bool) {
	if connected {
		m.undialled = 0
		return
	}
	m.undialled++
}

// Partitioned reports whether the VM has lost its links to all upstreams.
func (m *Monitor) Partitioned() bool { return m.partitioned }

// Silent reports whether requests on open connections were left without responses before the last check, so that these
// connections are of no use either.
func (m *Monitor) Silent() bool { return m.silent }

// StartCheck reports whether a check must be made now, and marks it as in progress if so. The number of upstreams is that of
// all known ones: without any there is nothing to connect to.
func (m *Monitor) StartCheck(now time.Time, upstreams int) bool {
	if m.checking || now.Sub(m.checkedAt) < checkInterval || upstreams == 0 {
		return false
	}
	silent := m.unanswered >= suspectFailures
	if !m.partitioned && !silent && m.undialled < suspectFailures {
		return false
	}
	m.silent = silent
	m.checking, m.checkedAt = true, now
	return true
}

// Targets returns the upstreams that responded last, at most the given number. A check connects to them.
func (m *Monitor) Targets(limit int) []string {
	ids := slices.SortedFunc(maps.Keys(m.lastResponse), func(a, b string) int {
		return cmp.Or(m.lastResponse[b].Compare(m.lastResponse[a]), cmp.Compare(a, b))
	})
	return ids[:min(limit, len(ids))]
}

// Checked records the result of a check: whether a connection to any of the targets was made. It reports whether
// Partitioned has changed.
func (m *Monitor) Checked(now time.Time, connected bool) (changed bool) {
	m.checking = false
	m.undialled, m.unanswered = 0, 0
	switch {
	case !m.partitioned && !connected:
		m.partitioned, m.successes = true, 0
		m.lost = append(m.lost, now)
		return true
	case !m.partitioned:
		return false
	case !connected:
		m.successes = 0
		return false
	}
	m.successes++
	if m.successes <= m.extraChecks(now) {
		return false
	}
	m.partitioned, m.restoredAt = false, now
	return true
}

// extraChecks returns how many checks must succeed before the last one, and forgets partitions that are not recent.
func (m *Monitor) extraChecks(now time.Time) int {
	m.lost = slices.DeleteFunc(m.lost, func(at time.Time) bool { return now.Sub(at) > flapWindow })
	return min(max(0, len(m.lost)-1), maxExtraChecks)
}

// Direct reports whether a request should use a new connection of this VM rather than another VM. After a partition, the
// share of such requests grows. The draw is a random number from [0, 1).
func (m *Monitor) Direct(now time.Time, draw float64) bool {
	if m.partitioned {
		return false
	}
	return draw*float64(rampUp) < float64(now.Sub(m.restoredAt))
}

// Retain drops every upstream for which keep returns false.
func (m *Monitor) Retain(keep func(upstream string) bool) {
	maps.DeleteFunc(m.lastResponse, func(id string, _ time.Time) bool { return !keep(id) })
}
