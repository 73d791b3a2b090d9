package logtrail

import (
	"slices"
	"time"
)

// processEvents tell what a process believed, and upstreamEvents what happened to an upstream. They explain the lines of
// a request that mention the process or the upstream.
var (
	processEvents = map[string]bool{
		"started": true, "stopping": true, "view adopted": true, "control group lost": true, "control group regained": true,
		"settings reloaded": true, "relay lost": true, "relay silent": true, "relay answers again": true, "log lines dropped": true,
	}
	upstreamEvents = map[string]bool{
		"upstream condition changed": true, "upstream reported": true, "silent upstream removed": true, "upstream report refused": true,
	}
	groupEvents = map[string]bool{"leader changed": true, "membership changed": true}
)

// Trail is what the logs say about one request.
type Trail struct {
	// Lines are those of the request and those that explain them, by time.
	Lines []Line
	// Own counts the lines of the request.
	Own int
	// Processes and Upstreams are those that the request's lines name.
	Processes, Upstreams []string
}

// Follow returns the trail of a request. Lines that explain it are taken from so long before its first line.
func Follow(lines []Line, request string, before time.Duration) Trail {
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
		note(processes, line.Fields["id"], line.Fields["relay"])
		note(upstreams, line.Fields["upstream"])
	}
	if trail.Own == 0 {
		return trail
	}
	latest := latestBefore(lines, processes, first)
	for _, line := range lines {
		inWindow := !line.At.Before(first.Add(-before)) && !line.At.After(last)
		if line.Fields["request"] == request || latest[line.Text] || (inWindow && explains(line, processes, upstreams)) {
			trail.Lines = append(trail.Lines, line)
		}
	}
	slices.SortStableFunc(trail.Lines, func(a, b Line) int { return a.At.Compare(b.At) })
	trail.Processes, trail.Upstreams = sorted(processes), sorted(upstreams)
	return trail
}

// latestBefore returns the last view that each process adopted before the time, however long ago: the request was decided
// on it.
func latestBefore(lines []Line, processes map[string]bool, first time.Time) map[string]bool {
	views := map[string]Line{}
	for _, line := range lines {
		id := line.Fields["id"]
		if !processes[id] || line.Fields["msg"] != "view adopted" || line.At.After(first) {
			continue
		}
		if known, ok := views[id]; !ok || !line.At.Before(known.At) {
			views[id] = line
		}
	}
	latest := map[string]bool{}
	for _, line := range views {
		latest[line.Text] = true
	}
	return latest
}

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

func note(set map[string]bool, names ...string) {
	for _, name := range names {
		if name != "" {
			set[name] = true
		}
	}
}

func sorted(set map[string]bool) []string {
	var names []string
	for name := range set {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
