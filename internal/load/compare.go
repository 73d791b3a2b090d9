package load

import (
	"fmt"
	"io"
	"strings"
)

// WriteComparison writes a Markdown comparison for each user: a table of the targets, and one table for each scenario
// with a column for each variant.
func WriteComparison(w io.Writer, reports []*Report) error {
	for _, user := range distinct(reports, func(r *Report) string { return r.User }) {
		userReports := filter(reports, func(r *Report) bool { return r.User == user })
		if _, err := fmt.Fprintf(w, "## %s\n\n### Targets\n\n%s\n", user, targetTable(userReports)); err != nil {
			return err
		}
		for _, scenario := range distinct(userReports, func(r *Report) string { return r.Scenario }) {
			if _, err := fmt.Fprintf(w, "### Scenario %s\n\n", scenario); err != nil {
				return err
			}
			rows := filter(userReports, func(r *Report) bool { return r.Scenario == scenario })
			if err := WriteTable(w, rows); err != nil {
				return err
			}
			if _, err := fmt.Fprintln(w); err != nil {
				return err
			}
		}
	}
	return nil
}

// targetTable returns a Markdown table with a row for each target and a column for each variant.
func targetTable(reports []*Report) string {
	variants := distinct(reports, func(r *Report) string { return r.Variant })
	var names []string
	cells := map[string]map[string]string{}
	limits := map[string]string{}
	for _, variant := range variants {
		for _, target := range CheckTargets(filter(reports, func(r *Report) bool { return r.Variant == variant })) {
			if cells[target.Name] == nil {
				cells[target.Name] = map[string]string{}
				names = append(names, target.Name)
			}
			limits[target.Name] = target.Limit
			cells[target.Name][variant] = target.resultText()
		}
	}
	var text strings.Builder
	text.WriteString("| target | limit | " + strings.Join(variants, " | ") + " |\n|---|---|" + strings.Repeat("---|", len(variants)) + "\n")
	for _, name := range names {
		text.WriteString("| " + name + " | " + limits[name] + " |")
		for _, variant := range variants {
			text.WriteString(" " + cells[name][variant] + " |")
		}
		text.WriteString("\n")
	}
	return text.String()
}

func filter(reports []*Report, wanted func(*Report) bool) []*Report {
	var kept []*Report
	for _, report := range reports {
		if wanted(report) {
			kept = append(kept, report)
		}
	}
	return kept
}

// distinct returns the distinct names of the reports in order of first appearance.
func distinct(reports []*Report, name func(*Report) string) []string {
	seen := map[string]bool{}
	var names []string
	for _, report := range reports {
		if !seen[name(report)] {
			seen[name(report)] = true
			names = append(names, name(report))
		}
	}
	return names
}
