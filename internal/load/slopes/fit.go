// Package slopes measures how costs grow with size: CPU time, memory and bytes per query, upstream, member,
// configuration change and booking. Costs at sizes that one machine can't run are extrapolated from the fitted slopes.
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

// Slope is a line fitted to measured points, with the conditions under which they were measured.
type Slope struct {
	Name string `json:"name"`
	// Unit is the unit of PerUnit, for example "us of CPU per sub-request".
	Unit   string  `json:"unit"`
	Points []Point `json:"points"`
	// PerUnit is the gradient of the line and Fixed its intercept.
	PerUnit   float64 `json:"per_unit"`
	StdErr    float64 `json:"standard_error"`
	Fixed     float64 `json:"fixed"`
	FixedErr  float64 `json:"fixed_standard_error"`
	RSquared  float64 `json:"r_squared"`
	Condition string  `json:"condition"`
}

// Fit fits a line by least squares and derives the standard errors from the residuals.
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

// standardErrors returns the standard errors of the gradient and the intercept, or NaN for fewer than three points.
func standardErrors(sizes, costs []float64, fixed, perUnit float64) (slopeErr, fixedErr float64) {
	degreesOfFreedom := float64(len(sizes) - 2)
	if degreesOfFreedom <= 0 {
		return math.NaN(), math.NaN()
	}
	mean := stat.Mean(sizes, nil)
	var residualSum, sizeSpread float64
	for n := range sizes {
		residual := costs[n] - fixed - perUnit*sizes[n]
		residualSum += residual * residual
		sizeSpread += (sizes[n] - mean) * (sizes[n] - mean)
	}
	variance := residualSum / degreesOfFreedom
	return math.Sqrt(variance / sizeSpread), math.Sqrt(variance * (1/float64(len(sizes)) + mean*mean/sizeSpread))
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
