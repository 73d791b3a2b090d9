// Package standin is a small upstream for demos, tests and load experiments. It has slots, bounded connections,
// network delay, a distribution of service times, and the faults that upstreams show in production.
package standin

import (
	"time"

	"github.com/wisteriamux/wisteriamux/internal/model"
)

// Distribution is the shape of the service times.
type Distribution string

// The distributions of service times. All of them are scaled to the configured median.
const (
	Constant    Distribution = "constant"
	LogNormal   Distribution = "log-normal"
	Exponential Distribution = "exponential"
)

// Defaults of a drain. The grace equals the bound within which new work must stop arriving (P6).
const (
	DefaultGracePeriod = 5 * time.Second
	DefaultDrainLimit  = 15 * time.Second
)

// SlowPeriods describes periods in which every request takes Factor times as long.
type SlowPeriods struct {
	Factor float64       `toml:"factor"`
	Length time.Duration `toml:"length"`
	// Interval is the mean time between the starts of two periods; 0 means that none starts by itself.
	Interval time.Duration `toml:"every"`
}

// ColdStart describes the first time after the start, in which every request takes Factor times as long.
type ColdStart struct {
	Factor float64       `toml:"factor"`
	Length time.Duration `toml:"length"`
}

// LoadReport describes how far the load endpoint is from the truth.
type LoadReport struct {
	// Age is how old the reported value is.
	Age time.Duration `toml:"age"`
	// Factor multiplies the reported value; 0 means 1.
	Factor float64 `toml:"factor"`
}

// VersionSchedule describes the schedule of index versions.
type VersionSchedule struct {
	// Interval is the time between two new versions; 0 keeps the announced range.
	Interval time.Duration `toml:"every"`
	// Retained is how many versions are served; older ones are retired.
	Retained uint64 `toml:"keep"`
}

// Config describes a stand-in.
type Config struct {
	Announcement model.Announcement `toml:"announcement"`
	// EntryURLs are the entry VMs that the stand-in announces itself to, in turn.
	EntryURLs []string `toml:"entries"`
	// ServiceTime is the median time for which a request holds a slot.
	ServiceTime  time.Duration `toml:"service_time"`
	Distribution Distribution  `toml:"distribution"`
	// Sigma is the standard deviation of the logarithm of the service time, for LogNormal.
	Sigma float64 `toml:"sigma"`
	// ConnectCost delays the first read on each accepted connection.
	ConnectCost time.Duration `toml:"connect_cost"`
	// OneWayDelay is the network delay before a request is read and before its response is written.
	OneWayDelay time.Duration `toml:"one_way"`
	// QueueBound is the largest number of requests that wait for a slot; 0 means no bound.
	QueueBound      int             `toml:"queue_bound"`
	SlowPeriods     SlowPeriods     `toml:"slow"`
	ColdStart       ColdStart       `toml:"cold"`
	LoadReport      LoadReport      `toml:"load_report"`
	VersionSchedule VersionSchedule `toml:"versions"`
	// GracePeriod is how long a leaving stand-in still accepts work.
	GracePeriod time.Duration `toml:"grace"`
	// DrainLimit is how long a leaving stand-in waits to be told that it is drained.
	DrainLimit time.Duration `toml:"drain_limit"`
	// CrashMarker ends the process when a request body contains it; empty means never.
	CrashMarker string `toml:"crash_marker"`
	// Seed fixes service times and slow periods.
	Seed uint64 `toml:"seed"`
	// Crash replaces the end of the process in tests.
	Crash func() `toml:"-"`
}

func (c Config) withDefaults() Config {
	if c.GracePeriod == 0 {
		c.GracePeriod = DefaultGracePeriod
	}
	if c.DrainLimit == 0 {
		c.DrainLimit = DefaultDrainLimit
	}
	if c.Distribution == "" {
		c.Distribution = Constant
	}
	if c.LoadReport.Factor == 0 {
		c.LoadReport.Factor = 1
	}
	return c
}
