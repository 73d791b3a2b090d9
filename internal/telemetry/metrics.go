package telemetry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/metric/metricdata"
	"go.opentelemetry.io/otel/sdk/resource"

	"github.com/wisteriamux/wisteriamux/internal/burn"
	"github.com/wisteriamux/wisteriamux/internal/fault"
)

// Names of the instruments and their attributes, the bounds of the duration histogram, and the cardinality limit.
const (
	scope            = "wisteriamux"
	requestsName     = "wisteriamux.requests"
	durationName     = "wisteriamux.request.duration"
	stepName         = "wisteriamux.step.duration"
	keyStep          = "step"
	objectiveName    = "wisteriamux.objective.requests"
	keyKind          = "kind"
	keyStatus        = "status"
	keyService       = "service"
	keyObjective     = "objective"
	keyTarget        = "target"
	keyThreshold     = "threshold_ms"
	keyGood          = "good"
	secondsPerMillis = 0.001
	smallestBucket   = 1 * secondsPerMillis
	bucketGrowth     = 2
	numberOfBuckets  = 14
	maxAttributeSets = 20_000
)

// Metrics holds the OpenTelemetry instruments of a process. It is safe for concurrent use.
type Metrics struct {
	handler  http.Handler
	reader   *sdk.ManualReader
	meter    metric.Meter
	requests metric.Int64Counter
	duration metric.Float64Histogram
	steps    metric.Float64Histogram
	// stepOptions holds the metric.MeasurementOption of each stepKey.
	stepOptions sync.Map
	objectives  metric.Int64Counter
}

// NewMetrics creates the instruments of a process. Handler exposes all of them to Prometheus, and Sample reads the
// counters of the objectives.
func NewMetrics(process string) (*Metrics, error) {
	registry := prometheus.NewRegistry()
	scrapeReader, err := exporter.New(exporter.WithRegisterer(registry))
	if err != nil {
		return nil, fault.New(fault.Internal, "metrics.new", "exporter: %w", err)
	}
	m := &Metrics{
		handler: promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
		reader:  sdk.NewManualReader(),
	}
	// The default cardinality limit of the SDK would merge the objectives of more than 500 services into one overflow
	// series.
	provider := sdk.NewMeterProvider(sdk.WithReader(scrapeReader), sdk.WithReader(m.reader),
		sdk.WithCardinalityLimit(maxAttributeSets), sdk.WithResource(resource.NewSchemaless(attribute.String("service.name", process))))
	m.meter = provider.Meter(scope)
	return m, m.createInstruments()
}

func (m *Metrics) createInstruments() error {
	var err error
	if m.requests, err = m.meter.Int64Counter(requestsName, metric.WithDescription("requests of callers")); err != nil {
		return fault.New(fault.Internal, "metrics.new", "%s: %w", requestsName, err)
	}
	m.duration, err = m.meter.Float64Histogram(durationName, metric.WithUnit("s"),
		metric.WithDescription("time from the arrival of a request to its answer"),
		metric.WithExplicitBucketBoundaries(buckets()...))
	if err != nil {
		return fault.New(fault.Internal, "metrics.new", "%s: %w", durationName, err)
	}
	m.steps, err = m.meter.Float64Histogram(stepName, metric.WithUnit("s"),
		metric.WithDescription("time until a step of a search or of an attempt at a relay"),
		metric.WithExplicitBucketBoundaries(buckets()...))
	if err != nil {
		return fault.New(fault.Internal, "metrics.new", "%s: %w", stepName, err)
	}
	m.objectives, err = m.meter.Int64Counter(objectiveName, metric.WithDescription("requests by service-level objective"))
	if err != nil {
		return fault.New(fault.Internal, "metrics.new", "%s: %w", objectiveName, err)
	}
	return nil
}

func buckets() []float64 {
	bounds := make([]float64, numberOfBuckets)
	bound := smallestBucket
	for i := range bounds {
		bounds[i] = bound
		bound *= bucketGrowth
	}
	return bounds
}

// Handler returns the handler of the Prometheus scrape endpoint.
func (m *Metrics) Handler() http.Handler { return m.handler }

// RegisterGauge registers a gauge whose value is read by calling the function at each scrape.
func (m *Metrics) RegisterGauge(name, description string, read func() int64) error {
	_, err := m.meter.Int64ObservableGauge(name, metric.WithDescription(description),
		metric.WithInt64Callback(func(_ context.Context, observer metric.Int64Observer) error {
			observer.Observe(read())
			return nil
		}))
	if err != nil {
		return fault.New(fault.Internal, "metrics.gauge", "%s: %w", name, err)
	}
	return nil
}

// Request records the status and the latency of one request of a caller.
func (m *Metrics) Request(kind, status string, latency time.Duration) {
	attributes := metric.WithAttributeSet(attribute.NewSet(attribute.String(keyKind, kind), attribute.String(keyStatus, status)))
	m.requests.Add(context.Background(), 1, attributes)
	m.duration.Record(context.Background(), latency.Seconds(), attributes)
}

// Step records how long a step of a request took. The kind is empty for steps that belong to requests of several kinds.
func (m *Metrics) Step(kind, step string, took time.Duration) {
	key := stepKey{kind, step}
	option, ok := m.stepOptions.Load(key)
	if !ok {
		option, _ = m.stepOptions.LoadOrStore(key, metric.WithAttributeSet(attribute.NewSet(attribute.String(keyKind, kind), attribute.String(keyStep, step))))
	}
	m.steps.Record(context.Background(), took.Seconds(), option.(metric.RecordOption))
}

type stepKey struct{ kind, step string }

// Objective records one request that counts towards a service-level objective, and whether it met the objective.
func (m *Metrics) Objective(objective burn.Objective, good bool) {
	attributes := attribute.NewSet(
		attribute.String(keyService, objective.Service),
		attribute.String(keyObjective, string(objective.Kind)),
		attribute.Float64(keyTarget, objective.Target),
		attribute.Int(keyThreshold, objective.ThresholdMillis),
		attribute.Bool(keyGood, good),
	)
	m.objectives.Add(context.Background(), 1, metric.WithAttributeSet(attributes))
}

// Sample returns the current counts of all objectives.
func (m *Metrics) Sample(ctx context.Context, now time.Time) (burn.Sample, error) {
	sample := burn.Sample{At: now, Counts: map[burn.Objective]burn.Counts{}}
	var collected metricdata.ResourceMetrics
	if err := m.reader.Collect(ctx, &collected); err != nil {
		return sample, fault.New(fault.Internal, "metrics.sample", "%w", err)
	}
	for _, scopeMetrics := range collected.ScopeMetrics {
		for _, collectedMetric := range scopeMetrics.Metrics {
			sum, ok := collectedMetric.Data.(metricdata.Sum[int64])
			if ok && collectedMetric.Name == objectiveName {
				addPoints(sample.Counts, sum.DataPoints)
			}
		}
	}
	return sample, nil
}

func addPoints(counts map[burn.Objective]burn.Counts, points []metricdata.DataPoint[int64]) {
	for _, point := range points {
		objective, good, ok := objectiveOf(point.Attributes)
		if !ok {
			continue
		}
		sum := counts[objective]
		sum.Total += uint64(point.Value)
		if good {
			sum.Good += uint64(point.Value)
		}
		counts[objective] = sum
	}
}

// objectiveOf parses the attributes of a series. It returns ok false for the overflow series of the SDK, which has none
// of them.
func objectiveOf(attributes attribute.Set) (objective burn.Objective, good, ok bool) {
	service, found := attributes.Value(keyService)
	if !found {
		return objective, false, false
	}
	kind, _ := attributes.Value(keyObjective)
	target, _ := attributes.Value(keyTarget)
	threshold, _ := attributes.Value(keyThreshold)
	wasGood, _ := attributes.Value(keyGood)
	objective = burn.Objective{
		Service: service.AsString(), Kind: burn.Kind(kind.AsString()), Target: target.AsFloat64(),
		ThresholdMillis: int(threshold.AsInt64()),
	}
	return objective, wasGood.AsBool(), true
}
