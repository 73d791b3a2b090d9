// Package standin implements a stand-in upstream: a simulated upstream for demos, tests and load experiments. It has
// slots, a connection limit, network delay and a distribution of service times, and it injects the faults that
// upstreams show in production.
package standin

import (
	"time"

	"github.com/wisteriamux/wisteriamux/internal/model"
)

// Distribution is the probability distribution of the service times.
type Distribution string

// Supported distributions. Each is scaled to the configured median.
const (
	Constant    Distribution = "constant"
	LogNormal   Distribution = "log-normal"
	Exponential Distribution = "exponential"
)

// Defaults of a drain. The grace period equals the time limit within which new work must stop arriving (P6).
const (
	DefaultGracePeriod = 5 * time.Second
	DefaultDrainLimit  = 15 * time.Second
)

// SlowPeriods configures periods in which every request takes Factor times as long.
type SlowPeriods struct {
	Factor float64       `toml:"factor"`
	Length time.Duration `toml:"length"`
	// Interval is the mean time between the starts of two periods. With 0, periods start only on POST /admin/slow.
	Interval time.Duration `toml:"every"`
}

// ColdStart configures the time after the start in which every request takes Factor times as long.
type ColdStart struct {
	Factor float64       `toml:"factor"`
	Length time.Duration `toml:"length"`
}

// LoadReport configures how far the load endpoint deviates from the actual load.
type LoadReport struct {
	// Age is the age of the reported value; 0 reports the current one.
	Age time.Duration `toml:"age"`
	// Factor multiplies the reported value; 0 means 1.
	Factor float64 `toml:"factor"`
}

// VersionSchedule configures when the stand-in adds and retires index versions.
type VersionSchedule struct {
	// Interval is the time between two new versions. With 0, the range changes only on POST /admin/versions.
	Interval time.Duration `toml:"every"`
	// Retained is the number of versions served at the same time; older ones are retired.
	Retained uint64 `toml:"keep"`
}

// Config configures a stand-in.
type Config struct {
	Announcement model.Announcement `toml:"announcement"`
	// EntryURLs are the base URLs of the entry VMs that the stand-in announces itself to, in round-robin order.
	EntryURLs []string `toml:"entries"`
	// ServiceTime is the median time for which a request holds a slot.
	ServiceTime  time.Duration `toml:"service_time"`
	Distribution Distribution  `toml:"distribution"`
	// Sigma is the standard deviation of the logarithm of the service time, for LogNormal.
	Sigma float64 `toml:"sigma"`
	// ConnectCost is the delay of the first read on each accepted connection.
	ConnectCost time.Duration `toml:"connect_cost"`
	// OneWayDelay is the simulated network delay before a request is read and again before its response is written.
	OneWayDelay time.Duration `toml:"one_way"`
	// QueueBound is the maximum number of requests that wait for a slot; 0 means no limit.
	QueueBound      int             `toml:"queue_bound"`
	SlowPeriods     SlowPeriods     `toml:"slow"`
	ColdStart       ColdStart       `toml:"cold"`
	LoadReport      LoadReport      `toml:"load_report"`
	VersionSchedule VersionSchedule `toml:"versions"`
	// GracePeriod is how long a draining stand-in still accepts work.
	GracePeriod time.Duration `toml:"grace"`
	// DrainLimit is how long a draining stand-in waits for an entry VM to report it as drained.
	DrainLimit time.Duration `toml:"drain_limit"`
	// CrashMarker is a text that ends the process when a request body contains it; empty disables this.
	CrashMarker string `toml:"crash_marker"`
	// Seed is the seed of the random service times and slow periods.
	Seed uint64 `toml:"seed"`
	// Crash is called on a request with the crash marker. It defaults to exiting the process; tests replace it.
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
