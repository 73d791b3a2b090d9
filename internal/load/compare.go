package load

import (
	"fmt"
	"io"
	"strings"
)

// WriteComparison writes, for each user, the targets of each variant and one table for each scenario with the variants
// side by side.
func WriteComparison(w io.Writer, reports []*Report) error {
	for _, user := range distinct(reports, func(r *Report) string { return r.User }) {
		own := keep(reports, func(r *Report) bool { return r.User == user })
		if _, err := fmt.Fprintf(w, "## %s\n\n### Targets\n\n%s\n", user, targetTable(own)); err != nil {
			return err
		}
		for _, scenario := range distinct(own, func(r *Report) string { return r.Scenario }) {
			if _, err := fmt.Fprintf(w, "### Scenario %s\n\n", scenario); err != nil {
				return err
			}
			rows := keep(own, func(r *Report) bool { return r.Scenario == scenario })
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

func targetTable(reports []*Report) string {
	variants := distinct(reports, func(r *Report) string { return r.Variant })
	var names []string
	cells := map[string]map[string]string{}
	limits := map[string]string{}
	for _, variant := range variants {
		for _, target := range CheckTargets(keep(reports, func(r *Report) bool { return r.Variant == variant })) {
			if cells[target.Name] == nil {
				cells[target.Name] = map[string]string{}
				names = append(names, target.Name)
			}
			limits[target.Name] = target.Limit
			cells[target.Name][variant] = target.verdict()
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

func keep(reports []*Report, wanted func(*Report) bool) []*Report {
	var kept []*Report
	for _, report := range reports {
		if wanted(report) {
			kept = append(kept, report)
		}
	}
	return kept
}

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
