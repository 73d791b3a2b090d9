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
	// sampleInterval is the time between two samples of the service level objectives.
	sampleInterval = 5 * time.Second
	// demandWeight is the weight of the newest sample in the moving average of the busy slots. A sample is taken at
	// each renewal, so that the average covers about ten renewals and a short time without requests does not look like
	// a service without demand.
	demandWeight = 0.1
)

// objectives measures the service level objectives and the demand of the services as this entry VM sees them.
type objectives struct {
	// metrics is nil if metrics are disabled.
	metrics *telemetry.Metrics
	session *membership.Session
	// inFlightAt returns the number of requests that this owner has queued or running at an upstream.
	inFlightAt func(upstream string) int

	// mu guards the fields below.
	mu      sync.Mutex
	history burn.History
	// burn is the worst burn rate at the newest sample. It is kept because renewals are more frequent than samples.
	burn float64
	// demand is the moving average of the busy slots by service.
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
			o.burn, _ = o.history.Report().WorstBurnRate()
			o.mu.Unlock()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// loadReport returns the load that a lease renewal reports to the control group, and updates the moving average.
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

// busySlots counts the requests that are queued or running at the owned upstreams, by service.
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

// recordSearch counts a search in the objectives of each service that it matches. A refused search counts against the
// latency objective, because its caller got no answer in time. A malformed or quarantined one is not counted.
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

// recordBooking counts a booking in the latency objective of its service. A malformed or conflicting one is not
// counted.
func (o *objectives) recordBooking(config model.Configuration, service string, err error, latency time.Duration) {
	if _, known := config.ServiceByName(service); !known || o.metrics == nil || fault.Is(err, fault.BadRequest) || fault.Is(err, fault.Conflict) {
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

// handleBurn serves the burn rate report as JSON, text or HTML.
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
		s.log.Warn("writing the burn rate report failed", "code", fault.CodeOf(err), "error", err)
	}
}
