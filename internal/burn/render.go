package burn

import (
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/fault"
)

// WriteText writes the report as a table.
func (r Report) WriteText(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintf(w, "service-level burn at %s (burn rate 1 spends the error budget exactly)\n", r.At.UTC().Format(time.RFC3339))
	_, _ = fmt.Fprintln(table, "SERVICE\tOBJECTIVE\tTARGET\tREQUESTS\tATTAINED\tBUDGET LEFT\tBURN 1m\tBURN 1h\tBURN 6h\tALERT\t")
	for _, row := range r.Rows {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%.2f%%\t%d\t%.3f%%\t%.0f%%\t%.2f\t%.2f\t%.2f\t%s\t\n", row.Service, row.label(),
			row.Target*100, row.Total, row.Attained*100, row.BudgetLeft*100, row.Recent, row.long(0), row.long(1), row.alerts())
	}
	if err := table.Flush(); err != nil {
		return fault.New(fault.Internal, "burn.text", "%w", err)
	}
	return nil
}

// WriteJSON writes the report as JSON.
func (r Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(r); err != nil {
		return fault.New(fault.Internal, "burn.json", "%w", err)
	}
	return nil
}

func (r Row) label() string {
	if r.Kind == Latency {
		return fmt.Sprintf("latency <= %d ms", r.ThresholdMillis)
	}
	return "full coverage"
}

func (r Row) long(window int) float64 {
	if window >= len(r.Windows) {
		return 0
	}
	return r.Windows[window].Long
}

func (r Row) alerts() string {
	var names []string
	for _, window := range r.Windows {
		if window.Alert {
			names = append(names, window.Window)
		}
	}
	if len(names) == 0 {
		return "-"
	}
	return strings.Join(names, ",")
}

// Point is one value of a time series in the page.
type Point struct {
	At    time.Time
	Value float64
}

// Series returns the burn rate of the objective over RecentWindow at every sample.
func (h *History) Series(objective Objective) []Point {
	points := make([]Point, 0, len(h.samples))
	for end := range h.samples {
		prefix := History{samples: h.samples[:end+1]}
		points = append(points, Point{At: h.samples[end].At, Value: prefix.burnRateOver(objective, RecentWindow)})
	}
	return points
}

const (
	chartWidth  = 640
	chartHeight = 90
	// minChartPeak is the minimum burn rate at the top of a chart, so that noise in small values is not scaled up.
	minChartPeak = 2.0
)

// chart holds the data of one objective in the page.
type chart struct {
	Row
	Label string
	// Polyline holds the points of the burn rate over time in chart coordinates.
	Polyline string
	// Peak is the burn rate at the top of the chart.
	Peak float64
	// BudgetLine is the vertical chart coordinate of burn rate 1.
	BudgetLine float64
}

// WriteHTML writes a self-contained HTML page with a chart for each objective.
func (h *History) WriteHTML(w io.Writer) error {
	report := h.Report()
	var charts []chart
	for _, row := range report.Rows {
		charts = append(charts, newChart(row, h.Series(row.Objective)))
	}
	data := struct {
		At     string
		Charts []chart
		Width  int
		Height int
	}{report.At.UTC().Format(time.RFC3339), charts, chartWidth, chartHeight}
	if err := page.Execute(w, data); err != nil {
		return fault.New(fault.Internal, "burn.html", "%w", err)
	}
	return nil
}

func newChart(row Row, points []Point) chart {
	c := chart{Row: row, Label: row.label(), Peak: minChartPeak}
	for _, point := range points {
		c.Peak = max(c.Peak, point.Value)
	}
	var line strings.Builder
	for _, point := range points {
		x := chartX(points, point.At)
		_, _ = fmt.Fprintf(&line, "%.1f,%.1f ", x, chartHeight*(1-point.Value/c.Peak))
	}
	c.Polyline = line.String()
	c.BudgetLine = chartHeight * (1 - 1/c.Peak)
	return c
}

func chartX(points []Point, at time.Time) float64 {
	span := points[len(points)-1].At.Sub(points[0].At)
	if span <= 0 {
		return chartWidth
	}
	return chartWidth * float64(at.Sub(points[0].At)) / float64(span)
}

var page = template.Must(template.New("burn").Funcs(template.FuncMap{
	"percent": func(value float64) string { return fmt.Sprintf("%.2f%%", value*100) },
	"decimal": func(value float64) string { return fmt.Sprintf("%.2f", value) },
}).Parse(`<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<title>Service-level burn</title>
<style>
body { font: 15px/1.45 system-ui, sans-serif; margin: 2rem auto; max-width: 60rem; padding: 0 1rem; color: #1c2430; background: #fff; }
h1 { font-size: 1.4rem; } h2 { font-size: 1rem; margin: 1.6rem 0 .3rem; }
.note { color: #556; }
table { border-collapse: collapse; width: 100%; font-variant-numeric: tabular-nums; }
th, td { text-align: right; padding: .3rem .6rem; border-bottom: 1px solid #dde; }
th:first-child, td:first-child, th:nth-child(2), td:nth-child(2) { text-align: left; }
.over { color: #b00020; font-weight: 600; }
svg { width: 100%; height: auto; background: #f6f8fb; border: 1px solid #dde; }
polyline { fill: none; stroke: #1f5fbf; stroke-width: 1.5; }
line { stroke: #b00020; stroke-dasharray: 4 4; }
</style>
</head>
<body>
<h1>Service-level burn</h1>
<p class="note">At {{.At}}. A burn rate of 1 spends the error budget exactly; the dashed line marks it.</p>
<table>
<tr><th>Service</th><th>Objective</th><th>Target</th><th>Requests</th><th>Attained</th><th>Budget left</th><th>Burn 1 min</th><th>Alert</th></tr>
{{range .Charts}}<tr><td>{{.Service}}</td><td>{{.Label}}</td><td>{{percent .Target}}</td><td>{{.Total}}</td><td>{{percent .Attained}}</td><td{{if lt .BudgetLeft 0.0}} class="over"{{end}}>{{percent .BudgetLeft}}</td><td{{if gt .Recent 1.0}} class="over"{{end}}>{{decimal .Recent}}</td><td>{{range .Windows}}{{if .Alert}}{{.Window}} {{end}}{{end}}</td></tr>
{{end}}</table>
{{range .Charts}}<h2>{{.Service}}: {{.Label}}</h2>
<svg viewBox="0 0 {{$.Width}} {{$.Height}}" role="img" aria-label="burn rate over time">
<line x1="0" x2="{{$.Width}}" y1="{{decimal .BudgetLine}}" y2="{{decimal .BudgetLine}}"/>
<polyline points="{{.Polyline}}"/>
<text x="4" y="12" font-size="10" fill="#556">{{decimal .Peak}}</text>
<text x="4" y="{{$.Height}}" dy="-3" font-size="10" fill="#556">0</text>
</svg>
{{end}}</body>
</html>
`))
