// Package burn computes error budgets and burn rates of service-level objectives. It performs no I/O: samples of
// cumulative counters and the time are arguments.
package burn

import (
	"sort"
	"time"
)

// Kind is the type of an objective.
type Kind string

// The kinds of objectives.
const (
	Latency  Kind = "latency"
	Coverage Kind = "coverage"
)

// Objective is the target for the share of good requests of a service.
type Objective struct {
	Service string  `json:"service"`
	Kind    Kind    `json:"kind"`
	Target  float64 `json:"target"`
	// ThresholdMillis is the latency bound of a latency objective.
	ThresholdMillis int `json:"threshold_ms,omitempty"`
}

// Counts holds the cumulative counters of an objective.
type Counts struct {
	Good  uint64 `json:"good"`
	Total uint64 `json:"total"`
}

// Sample holds the values of all counters at one time.
type Sample struct {
	At     time.Time
	Counts map[Objective]Counts
}

// Window is a pair of look-back periods with the burn rate above which both raise an alert.
type Window struct {
	Name   string
	Long   time.Duration
	Short  time.Duration
	Factor float64
}

// Windows returns the alert windows. A burn rate of 14.4 spends 2% of a 30-day budget in one hour. Because of the short
// period an alert ends soon after its cause.
func Windows() []Window {
	return []Window{
		{Name: "fast", Long: time.Hour, Short: 5 * time.Minute, Factor: 14.4},
		{Name: "slow", Long: 6 * time.Hour, Short: 30 * time.Minute, Factor: 6},
	}
}

// RecentWindow is the period of the burn rate that controls a drain. It is short, since a drain takes minutes.
const RecentWindow = time.Minute

// WindowRate holds the burn rates over the periods of one alert window.
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
	// Attained is the share of good requests since the counters started; 1 without requests.
	Attained float64 `json:"attained"`
	// BudgetLeft is the share of the error budget that is left; negative when it is overspent.
	BudgetLeft float64 `json:"budget_left"`
	// Recent is the burn rate over RecentWindow.
	Recent float64 `json:"recent_burn"`
	// RecentBad is the number of bad requests in RecentWindow.
	RecentBad uint64       `json:"recent_bad"`
	Windows   []WindowRate `json:"windows"`
}

// Report holds the state of all objectives at one time.
type Report struct {
	At   time.Time `json:"at"`
	Rows []Row     `json:"rows"`
}

// maxGapShare bounds the gap that a dropped sample may leave, as a share of the age of the sample. A window then
// extends by at most that share too far into the past, and a few hundred samples cover the longest one.
const maxGapShare = 1.0 / 32

// History keeps the samples of the longest window, with fewer samples the older they are. It is not safe for concurrent
// use.
type History struct {
	samples []Sample
}

// Add appends a sample, which must not be older than the newest one, and drops samples that no window needs.
func (h *History) Add(sample Sample) {
	h.samples = append(h.samples, sample)
	horizon := sample.At.Add(-longestWindow())
	first := 0
	for first+1 < len(h.samples) && !h.samples[first+1].At.After(horizon) {
		first++
	}
	h.samples = downsample(h.samples[first:], sample.At)
}

// downsample reduces the resolution of older samples in place and returns the kept ones. It drops a sample if the gap
// between the last kept sample and the next one is at most maxGapShare of its age. It keeps the oldest and the newest
// sample.
func downsample(samples []Sample, now time.Time) []Sample {
	kept := samples[:1]
	for i := 1; i < len(samples); i++ {
		if i+1 < len(samples) {
			gap := samples[i+1].At.Sub(kept[len(kept)-1].At)
			if float64(gap) <= maxGapShare*float64(now.Sub(samples[i].At)) {
				continue
			}
		}
		kept = append(kept, samples[i])
	}
	// Clear the tail, so that the counters of dropped samples can be garbage collected.
	clear(samples[len(kept):])
	return kept
}

func longestWindow() time.Duration {
	longest := RecentWindow
	for _, window := range Windows() {
		longest = max(longest, window.Long)
	}
	return longest
}

// Report evaluates every objective at the newest sample.
func (h *History) Report() Report {
	if len(h.samples) == 0 {
		return Report{}
	}
	newest := h.samples[len(h.samples)-1]
	report := Report{At: newest.At}
	for objective, counts := range newest.Counts {
		report.Rows = append(report.Rows, h.row(objective, counts))
	}
	sortRows(report.Rows)
	return report
}

func sortRows(rows []Row) {
	sort.Slice(rows, func(i, j int) bool {
		if rows[i].Service != rows[j].Service {
			return rows[i].Service < rows[j].Service
		}
		return rows[i].Kind < rows[j].Kind
	})
}

func (h *History) row(objective Objective, counts Counts) Row {
	row := Row{Objective: objective, Counts: counts, Attained: 1, BudgetLeft: 1}
	if counts.Total > 0 {
		row.Attained = float64(counts.Good) / float64(counts.Total)
		row.BudgetLeft = 1 - burnRate(objective, counts)
	}
	recent := h.increaseOver(objective, RecentWindow)
	row.Recent = burnRate(objective, recent)
	row.RecentBad = recent.Total - recent.Good
	for _, window := range Windows() {
		long, short := h.burnRateOver(objective, window.Long), h.burnRateOver(objective, window.Short)
		row.Windows = append(row.Windows, WindowRate{
			Window: window.Name, Long: long, Short: short, Alert: long > window.Factor && short > window.Factor,
		})
	}
	return row
}

// burnRateOver returns the burn rate over the period that ends at the newest sample.
func (h *History) burnRateOver(objective Objective, period time.Duration) float64 {
	return burnRate(objective, h.increaseOver(objective, period))
}

// increaseOver returns the increase of the counters over the period that ends at the newest sample.
func (h *History) increaseOver(objective Objective, period time.Duration) Counts {
	newest := h.samples[len(h.samples)-1]
	start := newest.At.Add(-period)
	firstInside := sort.Search(len(h.samples), func(i int) bool { return h.samples[i].At.After(start) })
	base := h.samples[max(firstInside-1, 0)]
	return increase(newest.Counts[objective], base.Counts[objective])
}

// increase returns the increase of the counters. A counter that decreased was reset by a process restart and counts
// from zero.
func increase(newer, older Counts) Counts {
	if newer.Total < older.Total || newer.Good < older.Good {
		return newer
	}
	return Counts{Good: newer.Good - older.Good, Total: newer.Total - older.Total}
}

// burnRate returns the burn rate of the counts. A burn rate of 1 spends exactly the error budget over the period of the
// objective.
func burnRate(objective Objective, counts Counts) float64 {
	if counts.Total == 0 {
		return 0
	}
	bad := float64(counts.Total-counts.Good) / float64(counts.Total)
	budget := 1 - objective.Target
	if budget <= 0 {
		budget = minBudget
	}
	return bad / budget
}

// minBudget replaces the budget of a target of 1, which is zero and would make every burn rate infinite.
const minBudget = 1e-6

// minRecentBad is the number of bad requests in RecentWindow below which WorstBurnRate ignores an objective. With a
// target of 99.9%, a single bad request among a few would otherwise appear as a burn rate above 100.
const minRecentBad = 5

// WorstBurnRate returns the highest recent burn rate and its objective, among the objectives with enough bad requests
// in RecentWindow to be significant.
func (r Report) WorstBurnRate() (float64, Objective) {
	worst, worstObjective := 0.0, Objective{}
	for _, row := range r.Rows {
		if row.RecentBad >= minRecentBad && row.Recent > worst {
			worst, worstObjective = row.Recent, row.Objective
		}
	}
	return worst, worstObjective
}

// SampleOf returns the counters of a report as a sample.
func SampleOf(report Report) Sample {
	sample := Sample{At: report.At, Counts: make(map[Objective]Counts, len(report.Rows))}
	for _, row := range report.Rows {
		sample.Counts[row.Objective] = row.Counts
	}
	return sample
}

// Combine adds the counters in the reports of several VMs. Its burn rates are those of the worst VM, because a report
// does not contain the counters at earlier times, from which a combined rate could be computed.
func Combine(reports []Report) Report {
	var combined Report
	rows := map[Objective]Row{}
	for _, report := range reports {
		if report.At.After(combined.At) {
			combined.At = report.At
		}
		for _, row := range report.Rows {
			sum, seen := rows[row.Objective]
			if !seen {
				sum = Row{Objective: row.Objective, Windows: make([]WindowRate, len(row.Windows))}
			}
			rows[row.Objective] = sum.combine(row)
		}
	}
	for _, row := range rows {
		combined.Rows = append(combined.Rows, row)
	}
	sortRows(combined.Rows)
	return combined
}

func (r Row) combine(other Row) Row {
	r.Counts = Counts{Good: r.Good + other.Good, Total: r.Total + other.Total}
	r.Attained, r.BudgetLeft = 1, 1
	if r.Total > 0 {
		r.Attained = float64(r.Good) / float64(r.Total)
		r.BudgetLeft = 1 - burnRate(r.Objective, r.Counts)
	}
	r.Recent = max(r.Recent, other.Recent)
	r.RecentBad += other.RecentBad
	for i := range min(len(r.Windows), len(other.Windows)) {
		worst := &r.Windows[i]
		worst.Window = other.Windows[i].Window
		worst.Long = max(worst.Long, other.Windows[i].Long)
		worst.Short = max(worst.Short, other.Windows[i].Short)
		worst.Alert = worst.Alert || other.Windows[i].Alert
	}
	return r
}

// Merge adds the counters of samples that several VMs took at about the same time.
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
