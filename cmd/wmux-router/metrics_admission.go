package main

import (
	"strconv"

	"github.com/wisteriamux/wisteriamux/internal/router"
)

// addAdmissionGauges adds the gauges of what is refused under overload. Ranks are part of the names of gauges, since a gauge has no
// labels; their number is bounded.
func addAdmissionGauges(gauges map[string]func() int64, r *router.Router) {
	gauges["wisteriamux.admission.refused"] = func() int64 { return r.Counts().Refused }
	gauges["wisteriamux.admission.percent"] = func() int64 { return r.Counts().RefusedPercent }
	for rank := range router.RankClasses {
		gauges["wisteriamux.admission.refused.rank"+strconv.Itoa(rank)] = func() int64 { return r.Counts().RefusedByRank[rank] }
	}
}
