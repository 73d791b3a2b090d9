package logtrail

import (
	"slices"
	"time"
)

// Messages of the events in the time window of a request that can explain its result. processEvents are about the state
// of a process and what it knows about the control group and the relays, and upstreamEvents are about an upstream. They
// are included if a line of the request names the process or the upstream. groupEvents are about the control group and
// are included for every request.
var (
	processEvents = map[string]bool{
		"started": true, "stopping": true, "view adopted": true, "control group lost": true, "control group regained": true,
		"settings reloaded": true, "relay lost": true, "relay silent": true, "relay answers again": true, "log lines dropped": true,
	}
	upstreamEvents = map[string]bool{
		"upstream condition changed": true, "upstream reported": true, "silent upstream removed": true, "upstream report refused": true,
	}
	groupEvents = map[string]bool{"leader changed": true, "membership changed": true, "fault tolerance changed": true}
)

// Trail holds the log lines that concern one request.
type Trail struct {
	// Lines are the lines of the request and those that explain them, sorted by time.
	Lines []Line
	// Own is the number of lines of the request itself.
	Own int
	// Processes and Upstreams are the names that occur in the lines of the request.
	Processes, Upstreams []string
}

// BuildTrail returns the trail of a request. It includes the explaining lines from lookback before the first line of
// the request to its last line.
func BuildTrail(lines []Line, request string, lookback time.Duration) Trail {
	var trail Trail
	var first, last time.Time
	processes, upstreams := map[string]bool{}, map[string]bool{}
	for _, line := range lines {
		if line.Fields["request"] != request {
			continue
		}
		trail.Own++
		if first.IsZero() || line.At.Before(first) {
			first = line.At
		}
		if line.At.After(last) {
			last = line.At
		}
		addNonEmpty(processes, line.Fields["id"], line.Fields["relay"])
		addNonEmpty(upstreams, line.Fields["upstream"])
	}
	if trail.Own == 0 {
		return trail
	}
	latest := latestViewLines(lines, processes, first)
	for _, line := range lines {
		inWindow := !line.At.Before(first.Add(-lookback)) && !line.At.After(last)
		if line.Fields["request"] == request || latest[line.Text] || (inWindow && explains(line, processes, upstreams)) {
			trail.Lines = append(trail.Lines, line)
		}
	}
	slices.SortStableFunc(trail.Lines, func(a, b Line) int { return a.At.Compare(b.At) })
	trail.Processes, trail.Upstreams = sortedNames(processes), sortedNames(upstreams)
	return trail
}

// latestViewLines returns the text of the line in which each process last adopted a view before the first line of the
// request. It does not depend on the lookback, because the process handled the request with that view however old it
// was.
func latestViewLines(lines []Line, processes map[string]bool, first time.Time) map[string]bool {
	views := map[string]Line{}
	for _, line := range lines {
		id := line.Fields["id"]
		if !processes[id] || line.Fields["msg"] != "view adopted" || line.At.After(first) {
			continue
		}
		if previous, ok := views[id]; !ok || !line.At.Before(previous.At) {
			views[id] = line
		}
	}
	latest := map[string]bool{}
	for _, line := range views {
		latest[line.Text] = true
	}
	return latest
}

// explains reports whether the line is about the control group, or about one of the processes or upstreams of the
// request.
func explains(line Line, processes, upstreams map[string]bool) bool {
	event := line.Fields["msg"]
	switch {
	case groupEvents[event]:
		return true
	case processEvents[event]:
		return processes[line.Fields["id"]] || processes[line.Fields["relay"]]
	case upstreamEvents[event]:
		return upstreams[line.Fields["upstream"]]
	}
	return false
}

func addNonEmpty(set map[string]bool, names ...string) {
	for _, name := range names {
		if name != "" {
			set[name] = true
		}
	}
}

func sortedNames(set map[string]bool) []string {
	var names []string
	for name := range set {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
