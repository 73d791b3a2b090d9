package main

import (
	"encoding/json"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"github.com/wisteriamux/wisteriamux/internal/burn"
	"github.com/wisteriamux/wisteriamux/internal/callermem"
	"github.com/wisteriamux/wisteriamux/internal/route"
	"github.com/wisteriamux/wisteriamux/internal/router"
	"github.com/wisteriamux/wisteriamux/internal/settings"
	"github.com/wisteriamux/wisteriamux/internal/telemetry"
	"github.com/wisteriamux/wisteriamux/platform"
)

// latencyTarget is the share of a route's requests that must be answered within the route's latency objective.
const latencyTarget = 0.99

// newMetrics returns the instruments of the process, nil if the settings contain no address for metrics.
func newMetrics(loaded settings.Router) (*telemetry.Metrics, error) {
	if loaded.MetricsAddress == "" {
		return nil, nil
	}
	return telemetry.NewMetrics("wmux-router")
}

// stepObserver returns the observer that records the steps of searches, nil without metrics.
func stepObserver(metrics *telemetry.Metrics) router.StepObserver {
	if metrics == nil {
		return nil
	}
	return func(route string, step router.Step, took time.Duration) { metrics.Step(route, string(step), took) }
}

// serveMetrics serves the metrics of the router over HTTP unless they are nil. It returns the observer that records requests, or nil.
func serveMetrics(loaded settings.Router, r *router.Router, callers *callermem.Memory, metrics *telemetry.Metrics, output *telemetry.BoundedWriter, log *slog.Logger) (platform.RequestObserver, error) {
	if metrics == nil {
		return nil, nil
	}
	gauges := map[string]func() int64{
		"wisteriamux.view.revision":        func() int64 { return int64(r.View().Revision) },
		"wisteriamux.view.upstreams":       func() int64 { return int64(r.View().UpstreamCount()) },
		"wisteriamux.attempts":             func() int64 { return r.Counts().Attempts },
		"wisteriamux.attempts.extra":       func() int64 { return r.Counts().Extra },
		"wisteriamux.attempts.relayed":     func() int64 { return r.Counts().Relayed },
		"wisteriamux.attempts.carried":     func() int64 { return r.Counts().Executed },
		"wisteriamux.attempts.denied":      func() int64 { return r.Counts().Denied },
		"wisteriamux.responses.oversized":  func() int64 { return r.Counts().Oversized },
		"wisteriamux.searches.memory":      func() int64 { return r.SearchMemory() },
		"wisteriamux.searches.refused":     func() int64 { return r.RoomRefusals() },
		"wisteriamux.responses.memory":     func() int64 { return r.Counts().ResponseMemory },
		"wisteriamux.limits":               func() int64 { return r.Counts().Limited },
		"wisteriamux.links.lost":           func() int64 { return r.Counts().Partitioned },
		"wisteriamux.attempts.noroom":      func() int64 { return r.Counts().NoRoom },
		"wisteriamux.limits.unreadable":    func() int64 { return r.Counts().LimitsUnreadable },
		"wisteriamux.upstreams.leaving":    func() int64 { return r.Counts().Leaving },
		"wisteriamux.upstreams.paused":     func() int64 { return r.Counts().Paused },
		"wisteriamux.notices.unreadable":   func() int64 { return r.Counts().NoticesUnreadable },
		"wisteriamux.upstreams.ended":      func() int64 { return r.Counts().UpstreamEnds },
		"wisteriamux.requests.quarantined": func() int64 { return r.Counts().Quarantined },
		"wisteriamux.keys.unknown":         func() int64 { return r.Counts().KeysUnknown },
		"wisteriamux.keys.unsure":          func() int64 { return r.Counts().KeysUnsure },
		"wisteriamux.keys.sends.refused":   func() int64 { return r.Counts().KeyedSendsRefused },
		"wisteriamux.view.age.ms":          r.ViewAgeMillis,
		"wisteriamux.domains.evacuated":    func() int64 { return r.Counts().Evacuated },
		"wisteriamux.upstreams.withheld":   func() int64 { return r.Counts().Withheld },
		"wisteriamux.upstreams.paced":      func() int64 { return r.Counts().BelowShare },
		"wisteriamux.log.dropped":          output.Dropped,
		"wisteriamux.quota.granted":        func() int64 { return r.QuotaCounts().Granted },
		"wisteriamux.quota.denied":         func() int64 { return r.QuotaCounts().Denied },
		"wisteriamux.quota.returned":       func() int64 { return r.QuotaCounts().Returned },
		"wisteriamux.quota.unavailable":    func() int64 { return r.QuotaCounts().Unavailable },
		"wisteriamux.quota.calls":          func() int64 { return r.QuotaCounts().Calls },
		"wisteriamux.quota.claims":         func() int64 { return r.QuotaCounts().Claims },
		"wisteriamux.quota.takenover":      func() int64 { return r.QuotaCounts().TakenOver },
		"wisteriamux.quota.handedover":     func() int64 { return r.QuotaCounts().HandedOver },
	}
	addAdmissionGauges(gauges, r)
	for name, read := range gauges {
		if err := metrics.RegisterGauge(name, "total or state of the router", read); err != nil {
			return nil, err
		}
	}
	if err := callers.RegisterMetrics(metrics); err != nil {
		return nil, err
	}
	listener, err := listen(loaded.MetricsAddress)
	if err != nil {
		return nil, err
	}
	paths := mux.NewRouter()
	paths.Handle("/metrics", metrics.Handler()).Methods(http.MethodGet)
	paths.HandleFunc("/limits", func(w http.ResponseWriter, _ *http.Request) { writeList(w, r.Limits(), log) }).Methods(http.MethodGet)
	paths.HandleFunc("/quotas", func(w http.ResponseWriter, _ *http.Request) { writeList(w, r.Quotas(), log) }).Methods(http.MethodGet)
	paths.HandleFunc("/explain", explainHandler(r, log)).Methods(http.MethodGet)
	paths.HandleFunc("/notices", func(w http.ResponseWriter, _ *http.Request) { writeList(w, r.Notices(), log) }).Methods(http.MethodGet)
	paths.HandleFunc("/pace", func(w http.ResponseWriter, _ *http.Request) { writeList(w, r.SlowStarts(), log) }).Methods(http.MethodGet)
	paths.HandleFunc("/evacuations", func(w http.ResponseWriter, _ *http.Request) { writeList(w, r.Evacuations(), log) }).Methods(http.MethodGet)
	serve(callers.Listener(listener, systemHeadLimit), callers, paths, log)
	return func(rt *route.Route, status int, latency time.Duration) { recordRequest(metrics, rt, status, latency) }, nil
}

// writeList writes a list as a JSON array.
func writeList(w http.ResponseWriter, list any, log *slog.Logger) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(list); err != nil {
		log.Warn("writing a list failed", "error", err)
	}
}

func recordRequest(metrics *telemetry.Metrics, rt *route.Route, status int, latency time.Duration) {
	if rt == nil {
		metrics.Request("none", strconv.Itoa(status), latency)
		return
	}
	metrics.Request(rt.Name, strconv.Itoa(status), latency)
	if rt.Objective <= 0 {
		return
	}
	objective := burn.Objective{
		Service: rt.Name, Kind: burn.Latency, Target: latencyTarget, ThresholdMillis: int(rt.Objective.Milliseconds()),
	}
	metrics.Objective(objective, status < http.StatusBadRequest && latency <= rt.Objective)
}
