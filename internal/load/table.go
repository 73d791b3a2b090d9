package load

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strconv"
	"strings"
)

// column is one column of the CSV file and one row of the Markdown table.
type column struct {
	title string
	value func(*Report) string
}

var columns = []column{
	{"scenario", func(r *Report) string { return r.Scenario }},
	{"variant", func(r *Report) string { return r.Variant }},
	{"offered", func(r *Report) string { return strconv.Itoa(r.Offered) }},
	{"accepted", func(r *Report) string { return strconv.Itoa(r.Accepted) }},
	{"offered/s", func(r *Report) string { return fmt.Sprintf("%.0f", r.OfferedRate) }},
	{"goodput/s", func(r *Report) string { return fmt.Sprintf("%.0f", r.GoodputRate) }},
	{"slot bound/s", func(r *Report) string { return fmt.Sprintf("%.0f", r.SlotBoundRate) }},
	{"p50 ms", func(r *Report) string { return fmt.Sprintf("%.1f", r.P50Millis) }},
	{"p99 ms", func(r *Report) string { return fmt.Sprintf("%.1f", r.P99Millis) }},
	{"p99.9 ms", func(r *Report) string { return fmt.Sprintf("%.1f", r.P999Millis) }},
	{"within deadline %", func(r *Report) string { return fmt.Sprintf("%.2f", 100*r.WithinDeadline) }},
	{"p50, p99 ms and share within deadline by class", func(r *Report) string { return classText(r.Classes) }},
	{"answered", func(r *Report) string { return strconv.Itoa(r.Answered) }},
	{"partial", func(r *Report) string { return strconv.Itoa(r.Partial) }},
	{"failed", func(r *Report) string { return strconv.Itoa(r.FailedAfterAcceptance) }},
	{"shards missing", func(r *Report) string { return strconv.Itoa(r.ShardsMissing) }},
	{"extra load %", func(r *Report) string { return fmt.Sprintf("%.2f", 100*r.ExtraLoad) }},
	{"use of busiest slots %", func(r *Report) string { return fmt.Sprintf("%.1f", 100*r.SlotUse) }},
	{"most connections of an upstream", func(r *Report) string { return strconv.Itoa(r.MaxConnections) }},
	{"missing by reason", func(r *Report) string { return sortedCounts(r.MissingReasons) }},
	{"refused", func(r *Report) string { return sortedCounts(r.Refusals) }},
	{"cut", func(r *Report) string { return strconv.Itoa(r.Cut) }},
	{"false coverage", func(r *Report) string { return strconv.Itoa(r.FalseCoverage) }},
	{"bookings", func(r *Report) string { return strconv.Itoa(r.Bookings) }},
	{"doubled", func(r *Report) string { return strconv.Itoa(r.BookingsDoubled) }},
	{"lost", func(r *Report) string { return strconv.Itoa(r.BookingsLost) }},
	{"false not run", func(r *Report) string { return strconv.Itoa(r.BookingsFalseNotRun) }},
	{"upstreams leaving, told drained", func(r *Report) string { return fmt.Sprintf("%d, %d", r.UpstreamsLeaving, r.UpstreamsDrained) }},
	{"work after grace", func(r *Report) string { return strconv.Itoa(r.RequestsAfterGrace) }},
}

// classText formats the latencies of each class in the order of the class names.
func classText(classes map[string]ClassReport) string {
	names := make([]string, 0, len(classes))
	for name := range classes {
		names = append(names, name)
	}
	sort.Strings(names)
	for n, name := range names {
		class := classes[name]
		names[n] = fmt.Sprintf("%s: %.0f, %.0f, %.1f%%", name, class.P50Millis, class.P99Millis, 100*class.WithinDeadline)
	}
	return strings.Join(names, "; ")
}

func row(report *Report) []string {
	cells := make([]string, len(columns))
	for n, column := range columns {
		cells[n] = column.value(report)
	}
	return cells
}

func titles() []string {
	names := make([]string, len(columns))
	for n, column := range columns {
		names[n] = column.title
	}
	return names
}

// WriteCSV writes the reports as CSV.
func WriteCSV(w io.Writer, reports []*Report) error {
	writer := csv.NewWriter(w)
	rows := [][]string{append([]string{"user"}, titles()...)}
	for _, report := range reports {
		rows = append(rows, append([]string{report.User}, row(report)...))
	}
	return writer.WriteAll(rows)
}

// WriteJSON writes the reports as JSON.
func WriteJSON(w io.Writer, reports []*Report) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", " ")
	return encoder.Encode(reports)
}

// WriteTable writes a Markdown table with one column for each report, so that the variants of a scenario can be
// compared row by row.
func WriteTable(w io.Writer, reports []*Report) error {
	var text strings.Builder
	for n, column := range columns {
		text.WriteString("| " + column.title + " |")
		for _, report := range reports {
			text.WriteString(" " + column.value(report) + " |")
		}
		text.WriteString("\n")
		if n == 0 {
			text.WriteString("|---|" + strings.Repeat("---:|", len(reports)) + "\n")
		}
	}
	_, err := io.WriteString(w, text.String())
	return err
}
