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
	BudgetLeft float64 `json:"budget_left"`
	Recent     float64 `json:"recent_burn"`
	// RecentBad is the number of bad requests in the recent window.
	RecentBad uint64       `json:"recent_bad"`
	Windows   []WindowRate `json:"windows"`
}

// Report is the state of all objectives.
type Report struct {
	At   time.Time `json:"at"`
	Rows []Row     `json:"rows"`
}

// thinning is the part of its age by which an old sample may be away from its neighbours. A window then reaches back by
// at most that part too far, and a few hundred samples cover the longest one.
const thinning = 1.0 / 32

// History keeps samples for the longest window, fewer of those that are older. The caller serialises all calls.
type History struct {
	samples []Sample
}

// Add appends a sample, which must not be older than the last one, and drops those that no window needs.
func (h *History) Add(sample Sample) {
	h.samples = append(h.samples, sample)
	horizon := sample.At.Add(-longestWindow())
	first := 0
	for first+1 < len(h.samples) && !h.samples[first+1].At.After(horizon) {
		first++
	}
	h.samples = thin(h.samples[first:], sample.At)
}

// thin drops, in place, samples whose neighbours are close to each other for their age. The oldest stays.
func thin(samples []Sample, now time.Time) []Sample {
	kept := samples[:1]
	for i := 1; i < len(samples); i++ {
		if i+1 < len(samples) {
			gap := samples[i+1].At.Sub(kept[len(kept)-1].At)
			if float64(gap) <= thinning*float64(now.Sub(samples[i].At)) {
				continue
			}
		}
		kept = append(kept, samples[i])
	}
	// The counters of those that were dropped would stay reachable behind the end.
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
		row.BudgetLeft = 1 - rate(objective, counts)
	}
	recent := h.growth(objective, RecentWindow)
	row.Recent = rate(objective, recent)
	row.RecentBad = recent.Total - recent.Good
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
	return rate(objective, h.growth(objective, period))
}

// growth returns the growth of the counters over the period that ends at the newest sample.
func (h *History) growth(objective Objective, period time.Duration) Counts {
	newest := h.samples[len(h.samples)-1]
	start := newest.At.Add(-period)
	after := sort.Search(len(h.samples), func(i int) bool { return h.samples[i].At.After(start) })
	base := h.samples[max(after-1, 0)]
	return minus(newest.Counts[objective], base.Counts[objective])
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

// minSteeringFailures is the number of bad requests in the recent window below which an objective does not steer. With
// a target of 99.9% a single bad request among a few would otherwise look like a hundredfold burn.
const minSteeringFailures = 5

// WorstBurnRate returns the highest recent burn rate that rests on enough failures to steer by, with its objective.
func (r Report) WorstBurnRate() (float64, Objective) {
	worst, at := 0.0, Objective{}
	for _, row := range r.Rows {
		if row.RecentBad >= minSteeringFailures && row.Recent > worst {
			worst, at = row.Recent, row.Objective
		}
	}
	return worst, at
}

// SampleOf returns the counters of a report.
func SampleOf(report Report) Sample {
	sample := Sample{At: report.At, Counts: make(map[Objective]Counts, len(report.Rows))}
	for _, row := range report.Rows {
		sample.Counts[row.Objective] = row.Counts
	}
	return sample
}

// Combine adds the counters of reports of several VMs. Burn rates are those of the worst VM, because the counters of
// earlier moments are not part of a report.
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
			rows[row.Objective] = sum.plus(row)
		}
	}
	for _, row := range rows {
		combined.Rows = append(combined.Rows, row)
	}
	sortRows(combined.Rows)
	return combined
}

func (r Row) plus(other Row) Row {
	r.Counts = Counts{Good: r.Good + other.Good, Total: r.Total + other.Total}
	r.Attained, r.BudgetLeft = 1, 1
	if r.Total > 0 {
		r.Attained = float64(r.Good) / float64(r.Total)
		r.BudgetLeft = 1 - rate(r.Objective, r.Counts)
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
