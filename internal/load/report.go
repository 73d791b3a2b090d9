package load

import (
	"fmt"
	"net/http"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxLatencyMicros   = 120_000_000
	significantFigures = 3
)

// Window is the range of scheduled arrival times over which rates and latencies are reported.
type Window struct {
	From time.Duration `json:"from"`
	To   time.Duration `json:"to"`
}

func (w Window) contains(at time.Duration) bool { return at >= w.From && at < w.To }

// Report is the result of one run. Latencies, goodput and the shares of requests within the deadline cover the window
// unless a field says otherwise; counts of errors, coverage and sub-requests cover the whole run.
type Report struct {
	User     string `json:"user"`
	Variant  string `json:"variant"`
	Scenario string `json:"scenario"`

	Offered                int     `json:"offered"`
	Accepted               int     `json:"accepted"`
	OfferedRate            float64 `json:"offered_per_s"`
	GoodputRate            float64 `json:"goodput_per_s"`
	SlotBoundRate          float64 `json:"bound_per_s"`
	P50Millis              float64 `json:"p50_ms"`
	P99Millis              float64 `json:"p99_ms"`
	P999Millis             float64 `json:"p999_ms"`
	WithinDeadline         float64 `json:"within_deadline"`
	WithinDeadlineWholeRun float64 `json:"within_deadline_whole_run"`

	// Answered and Partial count full and partial responses, FailedAfterAcceptance other responses of admitted
	// requests, Cut requests without a complete response, and FalseCoverage responses that contradict their items.
	Answered              int            `json:"answered"`
	Partial               int            `json:"partial"`
	FailedAfterAcceptance int            `json:"failed_after_acceptance"`
	ShardsMissing         int            `json:"shards_missing"`
	MissingReasons        map[string]int `json:"missing_reasons"`
	Cut                   int            `json:"cut"`
	Refusals              map[string]int `json:"refusals"`
	FalseCoverage         int            `json:"false_coverage"`
	Contradictions        map[string]int `json:"contradictions"`

	// Needed is the number of sub-requests without retries and hedges. Started counts those that the stand-ins started,
	// Cancelled those whose stream closed before they finished. ExtraLoad is Started / Needed - 1.
	Needed    int     `json:"sub_requests_needed"`
	Started   int     `json:"sub_requests_started"`
	Cancelled int     `json:"sub_requests_cancelled"`
	ExtraLoad float64 `json:"extra_load"`

	// SlotUse is the slot utilization of the busiest services in the window, as a fraction.
	SlotUse float64 `json:"slot_use"`
	// MaxConnections is the highest number of connections that any one stand-in has had open since it started.
	MaxConnections int `json:"max_connections"`

	// Bookings counts booking keys, BookingsAnswered those with a successful response. BookingsDoubled counts keys that
	// ran more than once, BookingsLost those with a successful response that no stand-in ran.
	Bookings         int `json:"bookings"`
	BookingsAnswered int `json:"bookings_answered"`
	BookingsDoubled  int `json:"bookings_doubled"`
	BookingsLost     int `json:"bookings_lost"`
	// BookingsFalseNotRun counts keys that a stand-in ran although every response was a refusal.
	BookingsFalseNotRun int `json:"bookings_false_not_run"`
	// UpstreamsLeaving counts stand-ins that have started a drain or stopped, UpstreamsDrained those that an entry VM
	// reported as drained.
	UpstreamsLeaving int `json:"upstreams_leaving"`
	UpstreamsDrained int `json:"upstreams_drained"`
	// RequestsAfterGrace counts requests that reached a stand-in after the grace period of its drain.
	RequestsAfterGrace int `json:"received_after_grace"`

	// Classes holds the results of each request class in the window.
	Classes map[string]ClassReport `json:"classes"`
	// LatencyQuantilesMillis holds the latency percentiles 1 to 100 of the accepted requests in the window, in
	// milliseconds, for the plots.
	LatencyQuantilesMillis []float64 `json:"latency_quantiles_ms"`
}

// ClassReport is the result of one request class.
type ClassReport struct {
	Offered        int     `json:"offered"`
	Accepted       int     `json:"accepted"`
	P50Millis      float64 `json:"p50_ms"`
	P99Millis      float64 `json:"p99_ms"`
	WithinDeadline float64 `json:"within_deadline"`
}

// accepted reports whether the request was admitted, whether or not it failed afterwards.
func (s Sample) accepted() bool { return s.Status != 0 && !refusedStatus(s.Status) }

// good reports whether the request got a full or partial answer.
func (s Sample) good() bool {
	return s.Status == http.StatusOK || s.Status == http.StatusPartialContent
}

// refusedStatus reports whether the HTTP status means that the request was refused before its admission.
func refusedStatus(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusUnprocessableEntity,
		http.StatusBadRequest, http.StatusConflict, http.StatusNotFound:
		return true
	}
	return false
}

// Summarize computes the report of the samples. A request counts towards the goodput if it was answered within the
// deadline of its caller.
func Summarize(samples []Sample, window Window, deadline time.Duration) *Report {
	report := &Report{Refusals: map[string]int{}, MissingReasons: map[string]int{}, Contradictions: map[string]int{}}
	latency := newHistogram()
	var inWindow, acceptedInWindow, goodInWindow, goodInWhole int
	for _, sample := range samples {
		report.count(sample)
		good := sample.good() && sample.Latency <= deadline
		if good {
			goodInWhole++
		}
		if !window.contains(sample.At) {
			continue
		}
		inWindow++
		if good {
			goodInWindow++
		}
		if sample.accepted() {
			acceptedInWindow++
			_ = latency.RecordValue(min(sample.Latency.Microseconds(), maxLatencyMicros))
		}
	}
	length := (window.To - window.From).Seconds()
	report.OfferedRate = float64(inWindow) / length
	report.GoodputRate = float64(goodInWindow) / length
	report.WithinDeadline = fraction(goodInWindow, acceptedInWindow)
	report.WithinDeadlineWholeRun = fraction(goodInWhole, report.Accepted)
	report.P50Millis = millis(latency, 50)
	report.P99Millis = millis(latency, 99)
	report.P999Millis = millis(latency, 99.9)
	for quantile := 1; quantile <= 100; quantile++ {
		report.LatencyQuantilesMillis = append(report.LatencyQuantilesMillis, millis(latency, float64(quantile)))
	}
	report.Classes = classReports(samples, window, deadline)
	return report
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMicros, significantFigures)
}

func classReports(samples []Sample, window Window, deadline time.Duration) map[string]ClassReport {
	reports := map[string]ClassReport{}
	latencies := map[string]*hdrhistogram.Histogram{}
	within := map[string]int{}
	for _, sample := range samples {
		if !window.contains(sample.At) {
			continue
		}
		report := reports[sample.Class]
		report.Offered++
		if latencies[sample.Class] == nil {
			latencies[sample.Class] = newHistogram()
		}
		if sample.accepted() {
			report.Accepted++
			_ = latencies[sample.Class].RecordValue(min(sample.Latency.Microseconds(), maxLatencyMicros))
		}
		if sample.good() && sample.Latency <= deadline {
			within[sample.Class]++
		}
		reports[sample.Class] = report
	}
	for class, report := range reports {
		report.P50Millis = millis(latencies[class], 50)
		report.P99Millis = millis(latencies[class], 99)
		report.WithinDeadline = fraction(within[class], report.Accepted)
		reports[class] = report
	}
	return reports
}

// count adds one sample to the counts of the whole run.
func (r *Report) count(sample Sample) {
	r.Offered++
	if sample.Contradiction != "" {
		r.FalseCoverage++
		r.Contradictions[sample.Contradiction]++
	}
	r.Needed += sample.Needed
	switch {
	case sample.Status == 0:
		r.Cut++
		return
	case !sample.accepted():
		r.Refusals[fmt.Sprintf("%d %s", sample.Status, sample.BodyStatus)]++
		return
	}
	r.Accepted++
	r.ShardsMissing += sample.Missing
	for reason, count := range sample.MissingReasons {
		r.MissingReasons[reason] += count
	}
	switch sample.Status {
	case http.StatusOK:
		r.Answered++
	case http.StatusPartialContent:
		r.Partial++
	default:
		r.FailedAfterAcceptance++
	}
}

// AddStandinTotals adds the work of the stand-ins during the run, from their counters before and after it.
func (r *Report) AddStandinTotals(before, after StandinTotals) {
	r.Started = int(after.Searches - before.Searches)
	r.Cancelled = int(after.Cancelled - before.Cancelled)
	r.UpstreamsLeaving, r.UpstreamsDrained = after.UpstreamsLeaving, after.UpstreamsDrained
	r.MaxConnections = after.MaxConnections
	r.RequestsAfterGrace = int(after.RequestsAfterGrace - before.RequestsAfterGrace)
	if r.Needed > 0 {
		r.ExtraLoad = float64(r.Started)/float64(r.Needed) - 1
	}
}

// AddSlotUse adds the slot utilization of the services between two readings of the counters.
func (r *Report) AddSlotUse(services []string, from, to StandinTotals, length time.Duration) {
	var busy, available float64
	for _, service := range services {
		busy += to.Slots[service].BusyMillis - from.Slots[service].BusyMillis
		available += float64(to.Slots[service].Slots) * float64(length.Milliseconds())
	}
	if available > 0 {
		r.SlotUse = busy / available
	}
}

// AddBookings compares the booking responses with how often the stand-ins ran each key.
func (r *Report) AddBookings(samples []Sample, runs map[string]int) {
	answered := map[string]bool{}
	notRun := map[string]bool{}
	for _, sample := range samples {
		if sample.Key == "" {
			continue
		}
		known, ok := notRun[sample.Key]
		notRun[sample.Key] = refusedStatus(sample.Status) && (known || !ok)
		answered[sample.Key] = answered[sample.Key] || sample.Status == http.StatusOK
	}
	r.Bookings = len(notRun)
	for key, done := range answered {
		if done {
			r.BookingsAnswered++
		}
		if done && runs[key] == 0 {
			r.BookingsLost++
		}
		if runs[key] > 1 {
			r.BookingsDoubled++
		}
		if notRun[key] && runs[key] > 0 {
			r.BookingsFalseNotRun++
		}
	}
}

func fraction(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

func millis(latency *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(latency.ValueAtQuantile(quantile)) / 1e3
}

// sortedCounts formats the counts in the order of their names.
func sortedCounts(counts map[string]int) string {
	names := make([]string, 0, len(counts))
	for name := range counts {
		names = append(names, name)
	}
	sort.Strings(names)
	text := ""
	for n, name := range names {
		if n > 0 {
			text += ", "
		}
		text += fmt.Sprintf("%s: %d", name, counts[name])
	}
	return text
}
