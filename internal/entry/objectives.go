package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/burn"
	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/membership"
	"github.com/wisteriamux/wisteriamux/internal/model"
	"github.com/wisteriamux/wisteriamux/internal/telemetry"
)

const (
	// sampleInterval is the time between samples of the objectives.
	sampleInterval = 5 * time.Second
	// demandWeight is the weight of the newest sample of the busy slots, taken at each renewal. It averages over about
	// ten renewals, so that a moment without requests does not look like a service without demand.
	demandWeight = 0.1
)

// objectives measures the service level and the demand that this entry VM sees.
type objectives struct {
	// metrics is nil when nothing is measured.
	metrics *telemetry.Metrics
	session *membership.Session
	// inFlightAt counts the requests of this owner at one upstream.
	inFlightAt func(upstream string) int

	// mu guards the fields below.
	mu      sync.Mutex
	history burn.History
	// burn is the worst burn rate at the newest sample. Renewals are more frequent than samples.
	burn   float64
	demand map[string]float64
}

func newObjectives(metrics *telemetry.Metrics, session *membership.Session, inFlightAt func(string) int) *objectives {
	return &objectives{metrics: metrics, session: session, inFlightAt: inFlightAt, demand: map[string]float64{}}
}

// run samples the objectives until the context ends.
func (o *objectives) run(ctx context.Context) {
	if o.metrics == nil {
		return
	}
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		if sample, err := o.metrics.Sample(ctx, time.Now()); err == nil {
			o.mu.Lock()
			o.history.Add(sample)
			o.burn, _ = o.history.Report().Worst()
			o.mu.Unlock()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// loadReport returns what a renewal reports to control.
func (o *objectives) loadReport() controlrpc.Load {
	busy := o.busySlots()
	o.mu.Lock()
	defer o.mu.Unlock()
	for service := range o.demand {
		if _, owned := busy[service]; !owned {
			delete(o.demand, service)
		}
	}
	reported := make(map[string]float64, len(busy))
	for service, slots := range busy {
		o.demand[service] += demandWeight * (float64(slots) - o.demand[service])
		reported[service] = o.demand[service]
	}
	return controlrpc.Load{Burn: o.burn, Demand: reported}
}

// busySlots counts the requests in flight at the owned upstreams, by service.
func (o *objectives) busySlots() map[string]int {
	current := o.session.LatestView()
	busy := map[string]int{}
	for name, upstream := range current.Upstreams {
		if current.Owners[name].ID == o.session.Member.ID {
			busy[upstream.Service] += o.inFlightAt(name)
		}
	}
	return busy
}

// recordSearch counts a search for the objectives of each of its services. A refused search counts against the
// latency objective, because its caller got no answer in time; a malformed one counts for nothing.
func (o *objectives) recordSearch(config model.Configuration, patterns []string, coverage model.Coverage, err error, latency time.Duration) {
	if o.metrics == nil || fault.Is(err, fault.BadRequest) || fault.Is(err, fault.Quarantined) {
		return
	}
	missing := make(map[string]bool, len(coverage.Missing))
	for _, shard := range coverage.Missing {
		missing[shard.Service] = true
	}
	for _, service := range config.MatchServices(patterns, model.ServiceSearch) {
		rule := config.RuleFor(service)
		o.recordLatency(service, rule, err, latency)
		if len(coverage.Included)+len(coverage.Missing) > 0 {
			objective := burn.Objective{Service: service, Kind: burn.Coverage, Target: rule.CoverageTarget}
			o.metrics.Objective(objective, !missing[service])
		}
	}
}

// recordBooking counts a booking for the latency objective of its service.
func (o *objectives) recordBooking(config model.Configuration, service string, err error, latency time.Duration) {
	if _, known := config.ServiceNamed(service); !known || o.metrics == nil || fault.Is(err, fault.BadRequest) || fault.Is(err, fault.Conflict) {
		return
	}
	o.recordLatency(service, config.RuleFor(service), err, latency)
}

func (o *objectives) recordLatency(service string, rule model.Rule, err error, latency time.Duration) {
	objective := burn.Objective{
		Service: service, Kind: burn.Latency, Target: rule.LatencyTarget, ThresholdMillis: rule.LatencyObjectiveMillis,
	}
	bound := time.Duration(rule.LatencyObjectiveMillis) * time.Millisecond
	o.metrics.Objective(objective, err == nil && latency <= bound)
}

// handleBurn serves the burn report as JSON, as text or as a page.
func (s *Server) handleBurn(w http.ResponseWriter, r *http.Request) {
	s.objectives.mu.Lock()
	defer s.objectives.mu.Unlock()
	var err error
	switch format := r.URL.Query().Get("format"); format {
	case "", "json":
		w.Header().Set("Content-Type", "application/json")
		err = s.objectives.history.Report().WriteJSON(w)
	case "text":
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		err = s.objectives.history.Report().WriteText(w)
	case "html":
		w.Header().Set("Content-Type", "text/html; charset=utf-8")
		err = s.objectives.history.WriteHTML(w)
	default:
		writeError(w, fault.New(fault.BadRequest, "burn", "format must be json, text or html"), nil)
		return
	}
	if err != nil {
		s.log.Warn("burn report not written", "code", fault.CodeOf(err), "error", err)
	}
}
