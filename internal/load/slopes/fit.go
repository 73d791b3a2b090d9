// Package slopes measures how cost grows with size: processor time, memory and bytes per query, upstream, member,
// configuration change and booking. Sizes that one machine cannot hold are derived from these slopes.
package slopes

import (
	"fmt"
	"io"
	"math"
	"strings"

	"gonum.org/v1/gonum/stat"
)

// Point is a cost measured at a size.
type Point struct {
	Size float64 `json:"size"`
	Cost float64 `json:"cost"`
}

// Slope is a fitted line through measured points.
type Slope struct {
	Name string `json:"name"`
	// Unit is the unit of the cost for one unit of size, for example "us of CPU per sub-request".
	Unit      string  `json:"unit"`
	Points    []Point `json:"points"`
	PerUnit   float64 `json:"per_unit"`
	StdErr    float64 `json:"standard_error"`
	Fixed     float64 `json:"fixed"`
	FixedErr  float64 `json:"fixed_standard_error"`
	RSquared  float64 `json:"r_squared"`
	Condition string  `json:"condition"`
}

// Fit fits a line by least squares. The standard errors follow from the residuals.
func Fit(name, unit, condition string, points []Point) Slope {
	sizes := make([]float64, len(points))
	costs := make([]float64, len(points))
	for n, point := range points {
		sizes[n], costs[n] = point.Size, point.Cost
	}
	slope := Slope{Name: name, Unit: unit, Condition: condition, Points: points}
	slope.Fixed, slope.PerUnit = stat.LinearRegression(sizes, costs, nil, false)
	slope.RSquared = stat.RSquared(sizes, costs, nil, slope.Fixed, slope.PerUnit)
	slope.StdErr, slope.FixedErr = standardErrors(sizes, costs, slope.Fixed, slope.PerUnit)
	return slope
}

func standardErrors(sizes, costs []float64, fixed, perUnit float64) (ofSlope, ofFixed float64) {
	freedom := float64(len(sizes) - 2)
	if freedom <= 0 {
		return math.NaN(), math.NaN()
	}
	mean := stat.Mean(sizes, nil)
	var residuals, spread float64
	for n := range sizes {
		residual := costs[n] - fixed - perUnit*sizes[n]
		residuals += residual * residual
		spread += (sizes[n] - mean) * (sizes[n] - mean)
	}
	variance := residuals / freedom
	return math.Sqrt(variance / spread), math.Sqrt(variance * (1/float64(len(sizes)) + mean*mean/spread))
}

// WriteTable writes the slopes as a Markdown table.
func WriteTable(w io.Writer, all []Slope) error {
	var text strings.Builder
	text.WriteString("| slope | per unit | standard error | fixed part | error | unit | R² | sizes | condition |\n")
	text.WriteString("|---|---:|---:|---:|---:|---|---:|---|---|\n")
	for _, slope := range all {
		sizes := make([]string, len(slope.Points))
		for n, point := range slope.Points {
			sizes[n] = fmt.Sprintf("%.4g", point.Size)
		}
		fmt.Fprintf(&text, "| %s | %.4g | %.2g | %.4g | %.2g | %s | %.4f | %s | %s |\n", slope.Name, slope.PerUnit, slope.StdErr,
			slope.Fixed, slope.FixedErr, slope.Unit, slope.RSquared, strings.Join(sizes, ", "), slope.Condition)
	}
	_, err := io.WriteString(w, text.String())
	return err
}
