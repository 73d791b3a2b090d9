// Package burn computes error budgets and burn rates of service-level objectives. It is pure: samples of cumulative
// counters and the time are arguments.
package burn

import (
	"sort"
	"time"
)

// Kind is the kind of an objective.
type Kind string

// The kinds of an objective.
const (
	Latency  Kind = "latency"
	Coverage Kind = "coverage"
)

// Objective is a target share of good requests of one service.
type Objective struct {
	Service string  `json:"service"`
	Kind    Kind    `json:"kind"`
	Target  float64 `json:"target"`
	// ThresholdMillis is the latency bound of a latency objective.
	ThresholdMillis int `json:"threshold_ms,omitempty"`
}

// Counts are cumulative counters of one objective.
type Counts struct {
	Good  uint64 `json:"good"`
	Total uint64 `json:"total"`
}

// Sample is a reading of the counters.
type Sample struct {
	At     time.Time
	Counts map[Objective]Counts
}

// Window is a look-back period with the burn rate that raises an alert.
type Window struct {
	Name   string
	Long   time.Duration
	Short  time.Duration
	Factor float64
}

// Windows returns the alert windows. A burn rate of 14.4 spends 2% of a 30-day budget in one hour. The short window
// ends an alert soon after its cause has ended.
func Windows() []Window {
	return []Window{
		{Name: "fast", Long: time.Hour, Short: 5 * time.Minute, Factor: 14.4},
		{Name: "slow", Long: 6 * time.Hour, Short: 30 * time.Minute, Factor: 6},
	}
}

// RecentWindow is the period of the burn rate that steers a drain. It is short, since a drain runs for minutes.
const RecentWindow = time.Minute

// WindowRate is the burn rate over one alert window.
type WindowRate struct {
	Window string  `json:"window"`
	Long   float64 `json:"long"`
	Short  float64 `json:"short"`
	Alert  bool    `json:"alert"`
}

// Row is the report on one objective.
type Row struct {
	Objective
	Counts
	// Attained is the share of good requests since the first sample; 1 without requests.
	Attained float64 `json:"attained"`
	// BudgetLeft is the share of the error budget that is left; negative when it is overspent.
	BudgetLeft float64      `json:"budget_left"`
	Recent     float64      `json:"recent_burn"`
	Windows    []WindowRate `json:"windows"`
}

// Report is the state of all objectives.
type Report struct {
	At   time.Time `json:"at"`
	Rows []Row     `json:"rows"`
}

// History keeps samples for the longest window. The caller serialises all calls.
type History struct {
	samples []Sample
}

// Add appends a sample and drops those that no window reaches.
func (h *History) Add(sample Sample) {
	h.samples = append(h.samples, sample)
	horizon := sample.At.Add(-longestWindow())
	first := 0
	for first+1 < len(h.samples) && !h.samples[first+1].At.After(horizon) {
		first++
	}
	h.samples = h.samples[first:]
}

func longestWindow() time.Duration {
	longest := RecentWindow
	for _, window := range Windows() {
		longest = max(longest, window.Long)
	}
	return longest
}

// Report evaluates every objective of the newest sample.
func (h *History) Report() Report {
	if len(h.samples) == 0 {
		return Report{}
	}
	newest := h.samples[len(h.samples)-1]
	report := Report{At: newest.At}
	for objective, counts := range newest.Counts {
		report.Rows = append(report.Rows, h.row(objective, counts))
	}
	sort.Slice(report.Rows, func(i, j int) bool {
		a, b := report.Rows[i], report.Rows[j]
		if a.Service != b.Service {
			return a.Service < b.Service
		}
		return a.Kind < b.Kind
	})
	return report
}

func (h *History) row(objective Objective, counts Counts) Row {
	row := Row{Objective: objective, Counts: counts, Attained: 1, BudgetLeft: 1}
	if counts.Total > 0 {
		row.Attained = float64(counts.Good) / float64(counts.Total)
		row.BudgetLeft = 1 - rate(objective, counts)
	}
	row.Recent = h.over(objective, RecentWindow)
	for _, window := range Windows() {
		long, short := h.over(objective, window.Long), h.over(objective, window.Short)
		row.Windows = append(row.Windows, WindowRate{
			Window: window.Name, Long: long, Short: short, Alert: long > window.Factor && short > window.Factor,
		})
	}
	return row
}

// over returns the burn rate over the period that ends at the newest sample.
func (h *History) over(objective Objective, period time.Duration) float64 {
	newest := h.samples[len(h.samples)-1]
	start := newest.At.Add(-period)
	base := h.samples[0]
	for _, sample := range h.samples {
		if sample.At.After(start) {
			break
		}
		base = sample
	}
	return rate(objective, minus(newest.Counts[objective], base.Counts[objective]))
}

// minus returns the growth of the counters. A counter that fell belongs to a restarted process and counts from zero.
func minus(newer, older Counts) Counts {
	if newer.Total < older.Total || newer.Good < older.Good {
		return newer
	}
	return Counts{Good: newer.Good - older.Good, Total: newer.Total - older.Total}
}

// rate returns the burn rate: 1 spends the error budget exactly over the objective's period.
func rate(objective Objective, counts Counts) float64 {
	if counts.Total == 0 {
		return 0
	}
	bad := float64(counts.Total-counts.Good) / float64(counts.Total)
	budget := 1 - objective.Target
	if budget <= 0 {
		budget = smallestBudget
	}
	return bad / budget
}

// smallestBudget stands in for a target of 1, whose budget of zero would make every rate infinite.
const smallestBudget = 1e-6

// Worst returns the highest recent burn rate, with its objective.
func (r Report) Worst() (float64, Objective) {
	worst, at := 0.0, Objective{}
	for _, row := range r.Rows {
		if row.Recent > worst {
			worst, at = row.Recent, row.Objective
		}
	}
	return worst, at
}

// Merge adds the counters of samples that different VMs took at about the same time.
func Merge(at time.Time, parts []map[Objective]Counts) Sample {
	merged := Sample{At: at, Counts: map[Objective]Counts{}}
	for _, part := range parts {
		for objective, counts := range part {
			sum := merged.Counts[objective]
			merged.Counts[objective] = Counts{Good: sum.Good + counts.Good, Total: sum.Total + counts.Total}
		}
	}
	return merged
}
