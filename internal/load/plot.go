package load

import (
	"fmt"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/wisteriamux/wisteriamux/internal/fault"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// Plot writes an SVG file for each user and scenario with the latency distribution of each variant.
func Plot(dir string, reports []*Report) error {
	for _, user := range distinct(reports, func(r *Report) string { return r.User }) {
		userReports := filter(reports, func(r *Report) bool { return r.User == user })
		for _, scenario := range distinct(userReports, func(r *Report) string { return r.Scenario }) {
			rows := filter(userReports, func(r *Report) bool { return r.Scenario == scenario })
			path := filepath.Join(dir, fmt.Sprintf("%s-%s.svg", user, scenario))
			if err := plotScenario(path, user+", "+scenario, rows); err != nil {
				return err
			}
		}
	}
	return nil
}

func plotScenario(path, title string, reports []*Report) error {
	chart := plot.New()
	chart.Title.Text = title
	chart.X.Label.Text = "latency of accepted requests, ms"
	chart.Y.Label.Text = "share of requests, %"
	chart.Legend.Top = false
	var lines []any
	for _, report := range reports {
		points := make(plotter.XYs, 0, len(report.LatencyQuantilesMillis))
		for n, latency := range report.LatencyQuantilesMillis {
			points = append(points, plotter.XY{X: latency, Y: float64(n + 1)})
		}
		lines = append(lines, report.Variant, points)
	}
	if err := plotutil.AddLines(chart, lines...); err != nil {
		return fault.New(fault.Internal, "load.plot", "%w", err)
	}
	if err := chart.Save(plotWidth, plotHeight, path); err != nil {
		return fault.New(fault.StorageFailed, "load.plot", "%w", err)
	}
	return nil
}
