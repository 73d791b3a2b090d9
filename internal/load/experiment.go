package load

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/model"
)

// Scenarios are the scenarios of the experiment in the order in which they run. Shrink is last because drained
// upstreams do not return.
var Scenarios = []string{"rest", "slow", "spike", "shrink"}

// ExperimentConfig configures the runs of one variant.
type ExperimentConfig struct {
	Cluster    Cluster
	Deployment Deployment
	Scenarios  []string
	// BaseShare is the base rate as a fraction of Deployment.Capacity.
	BaseShare float64
	// SpikeFactor is the peak rate as a multiple of the base rate.
	SpikeFactor float64
	// HoldDuration is the length of the constant-rate part of each scenario; in a spike, of its peak.
	HoldDuration time.Duration
	Deadline     time.Duration
	ResendShare  float64
	// SpareReplica keeps at least one replica of each shard at its normal speed when upstreams are slowed. Without it,
	// the slow upstreams are chosen from all, and a shard whose replicas are all chosen can't respond in time.
	SpareReplica bool
	Seed         uint64
}

const (
	warmUpTime  = 4 * time.Second
	beforeSpike = 2 * time.Second
	ramp        = 500 * time.Millisecond
	afterSpike  = 2 * time.Second
	// settleTime is the wait before the stand-ins' counters are read, in which requests that callers gave up on end.
	settleTime = time.Second
	// slowLength is how long the chosen upstreams stay slow before others are chosen. With one in ten slow at any time,
	// a run of 10 s slows each upstream about once.
	slowLength   = time.Second
	slowFactor   = 10
	slowShare    = 0.1
	readyTimeout = 20 * time.Second
	readyPoll    = 100 * time.Millisecond
)

// RunExperiment warms the cluster up and runs the configured scenarios one after the other.
func RunExperiment(ctx context.Context, config ExperimentConfig, log *slog.Logger) ([]*Report, error) {
	if err := AwaitReady(ctx, config.Cluster); err != nil {
		return nil, err
	}
	fleets := NewFleetClient(config.Cluster.Fleets)
	base := config.Deployment.Capacity() * config.BaseShare
	Run(ctx, config.load("warm-up", ConstantRate(base, warmUpTime)))
	var reports []*Report
	for _, scenario := range Scenarios {
		if !slices.Contains(config.Scenarios, scenario) {
			continue
		}
		log.Info("scenario starts", "scenario", scenario, "variant", config.Cluster.Variant, "base_rate", fmt.Sprintf("%.0f", base))
		report, err := config.run(ctx, fleets, scenario, base)
		if err != nil {
			return reports, err
		}
		reports = append(reports, report)
	}
	return reports, nil
}

// AwaitReady waits until the view in force is the newest one and contains every entry VM and every upstream as ready.
func AwaitReady(ctx context.Context, cluster Cluster) error {
	control := controlrpc.NewClient(cluster.Control, controlrpc.PlainDialer)
	defer control.Close()
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	ready := 0
	for ctx.Err() == nil {
		view, _, err := control.View(ctx, 0)
		if err == nil {
			ready = readyUpstreams(view)
			status, err := control.Status(ctx)
			if err == nil && ready == cluster.UpstreamCount && status.InForce == view.Revision && len(view.Members) == len(cluster.Entries) {
				return nil
			}
		}
		sleep(ctx, readyPoll)
	}
	return fault.New(fault.Unavailable, "experiment.ready", "cluster not ready in time: %d of %d upstreams are ready", ready, cluster.UpstreamCount)
}

func readyUpstreams(view model.View) int {
	ready := 0
	for _, upstream := range view.Upstreams {
		if upstream.State == model.UpstreamReady {
			ready++
		}
	}
	return ready
}

func sleep(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (c ExperimentConfig) load(scenario string, profile Profile) Config {
	return Config{
		Targets:           c.Cluster.Entries,
		Mix:               c.Deployment.Mix,
		Profile:           profile,
		Seed:              c.Seed,
		Timeout:           c.Deadline,
		ClientOneWayDelay: c.Deployment.ClientOneWayDelay,
		ResendShare:       c.ResendShare,
		Shards:            c.Deployment.Shards(),
		RunID:             c.Cluster.Variant + "-" + scenario,
	}
}

// scenarioPlan holds the arrival profile of a scenario, the window that is reported, the fraction of the slots that
// remain and the fault that is injected into the stand-ins, if any.
type scenarioPlan struct {
	profile     Profile
	window      Window
	slotsShare  float64
	injectFault func(context.Context)
}

func (c ExperimentConfig) plan(fleets *FleetClient, scenario string, base float64, reportError func(error)) scenarioPlan {
	steadyLoad := scenarioPlan{profile: ConstantRate(base, c.HoldDuration), window: Window{To: c.HoldDuration}, slotsShare: 1}
	spike := scenarioPlan{
		profile:    Spike(base, c.SpikeFactor, beforeSpike, ramp, c.HoldDuration, afterSpike),
		window:     Window{From: beforeSpike + ramp, To: beforeSpike + ramp + c.HoldDuration},
		slotsShare: 1,
	}
	switch scenario {
	case "slow":
		steadyLoad.injectFault = func(ctx context.Context) { reportError(c.rotateSlowUpstreams(ctx, fleets)) }
		return steadyLoad
	case "spike":
		return spike
	case "shrink":
		spike.slotsShare = 0.5
		spike.injectFault = func(ctx context.Context) {
			sleep(ctx, beforeSpike+ramp)
			reportError(drainHalf(ctx, fleets))
		}
		return spike
	default:
		return steadyLoad
	}
}

func (c ExperimentConfig) run(ctx context.Context, fleets *FleetClient, scenario string, base float64) (*Report, error) {
	before, err := fleets.StandinTotals(ctx)
	if err != nil {
		return nil, err
	}
	var faultErr error
	plan := c.plan(fleets, scenario, base, func(err error) { faultErr = err })
	running, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		if plan.injectFault != nil {
			plan.injectFault(running)
		}
	}()
	windowResult := make(chan windowTotals, 1)
	go func() { windowResult <- readWindowTotals(running, fleets, plan.window) }()
	samples := Run(ctx, c.load(scenario, plan.profile))
	// A run may end exactly at the end of its window, so the counters are received before their reader is cancelled.
	totals := <-windowResult
	stop()
	<-done
	if faultErr != nil {
		return nil, faultErr
	}
	sleep(ctx, settleTime)
	report := Summarize(samples, plan.window, c.Deadline)
	report.User, report.Variant, report.Scenario = c.Deployment.User, c.Cluster.Variant, scenario
	report.SlotBoundRate = min(report.OfferedRate, c.Deployment.SlotBound(report.OfferedRate, plan.slotsShare))
	report.AddSlotUse(c.Deployment.BusiestServices(), totals.from, totals.to, totals.length)
	return report, addStandinResults(ctx, fleets, report, samples, before)
}

// windowTotals holds the stand-ins' counters at the start and the end of a window.
type windowTotals struct {
	from, to StandinTotals
	length   time.Duration
}

// readWindowTotals reads the stand-ins' counters at the start and the end of the window. A reading that fails yields
// zero counters, and the slot use is then reported as 0.
func readWindowTotals(ctx context.Context, fleets *FleetClient, window Window) windowTotals {
	var totals windowTotals
	sleep(ctx, window.From)
	began := time.Now()
	totals.from, _ = fleets.StandinTotals(ctx)
	sleep(ctx, window.To-window.From)
	totals.to, _ = fleets.StandinTotals(ctx)
	totals.length = time.Since(began)
	return totals
}

// addStandinResults adds the work and the bookings of the stand-ins to the report.
func addStandinResults(ctx context.Context, fleets *FleetClient, report *Report, samples []Sample, before StandinTotals) error {
	after, err := fleets.StandinTotals(ctx)
	if err != nil {
		return err
	}
	report.AddStandinTotals(before, after)
	runs, err := fleets.Bookings(ctx)
	if err != nil {
		return err
	}
	report.AddBookings(samples, runs)
	return nil
}

// rotateSlowUpstreams keeps one upstream in ten slow and chooses others after each slow period, until the context ends.
func (c ExperimentConfig) rotateSlowUpstreams(ctx context.Context, fleets *FleetClient) error {
	random := rand.New(rand.NewPCG(c.Seed, 2))
	var names []string
	for _, config := range c.Deployment.Upstreams() {
		names = append(names, config.Announcement.Name)
	}
	count := max(1, int(float64(len(names))*slowShare))
	for ctx.Err() == nil {
		random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
		for _, name := range c.SelectSlowed(names, count) {
			if err := fleets.StartSlowPeriod(ctx, name, slowFactor, slowLength); err != nil && ctx.Err() == nil {
				return err
			}
		}
		sleep(ctx, slowLength)
	}
	return nil
}

// SelectSlowed returns the first count names. With SpareReplica, it skips the last replica of a shard that is not slow.
func (c ExperimentConfig) SelectSlowed(names []string, count int) []string {
	if !c.SpareReplica {
		return names[:count]
	}
	shards := map[string]model.ShardID{}
	fast := map[model.ShardID]int{}
	for _, config := range c.Deployment.Upstreams() {
		own := config.Announcement
		shards[own.Name] = model.ShardID{Service: own.Service, Shard: own.Shard}
		fast[shards[own.Name]]++
	}
	var chosen []string
	for _, name := range names {
		if shard := shards[name]; len(chosen) < count && fast[shard] > 1 {
			fast[shard]--
			chosen = append(chosen, name)
		}
	}
	return chosen
}

// drainHalf drains half of the replicas of each shard, rounded down so that at least one remains.
func drainHalf(ctx context.Context, fleets *FleetClient) error {
	stats, err := fleets.Stats(ctx)
	if err != nil {
		return err
	}
	replicas := map[model.ShardID][]string{}
	for _, upstream := range stats {
		shard := model.ShardID{Service: upstream.Service, Shard: upstream.Shard}
		replicas[shard] = append(replicas[shard], upstream.Name)
	}
	for _, names := range replicas {
		sort.Strings(names)
		for _, name := range names[:len(names)/2] {
			if err := fleets.Drain(ctx, name); err != nil {
				return err
			}
		}
	}
	return nil
}

// Target is one target of the experiment and the value that was measured.
type Target struct {
	Name     string
	Limit    string
	Measured string
	Met      bool
	// MissedBy is the signed difference to the limit; empty if the target was met.
	MissedBy string
}

// Limits of the targets in section 1.2 of the design.
const (
	targetSlowP99        = 1.3
	targetExtraLoad      = 0.05
	targetGoodput        = 0.9
	targetWithinDeadline = 0.99
)

// CheckTargets compares the reports of one user and variant with the targets. It omits targets whose scenario did not
// run.
func CheckTargets(reports []*Report) []Target {
	byScenario := map[string]*Report{}
	for _, report := range reports {
		byScenario[report.Scenario] = report
	}
	var targets []Target
	if rest, slow := byScenario["rest"], byScenario["slow"]; rest != nil && slow != nil && rest.P99Millis > 0 {
		targets = append(targets, atMost("p99 slow / p99 rest", slow.P99Millis/rest.P99Millis, targetSlowP99))
	}
	if slow := byScenario["slow"]; slow != nil {
		targets = append(targets, atMost("extra load, slow", slow.ExtraLoad, targetExtraLoad))
	}
	if spike := byScenario["spike"]; spike != nil && spike.SlotBoundRate > 0 {
		targets = append(targets,
			atLeast("goodput / slot bound, spike", spike.GoodputRate/spike.SlotBoundRate, targetGoodput),
			atLeast("accepted within deadline, spike", spike.WithinDeadline, targetWithinDeadline))
	}
	if shrink := byScenario["shrink"]; shrink != nil {
		targets = append(targets,
			exactlyZero("requests cut, shrink", shrink.Cut),
			exactlyZero("false coverage, shrink", shrink.FalseCoverage),
			exactlyZero("work after the grace, shrink", shrink.RequestsAfterGrace))
	}
	return append(targets, bookingTargets(reports)...)
}

func bookingTargets(reports []*Report) []Target {
	var doubled, lost, falseNotRun int
	for _, report := range reports {
		doubled += report.BookingsDoubled
		lost += report.BookingsLost
		falseNotRun += report.BookingsFalseNotRun
	}
	return []Target{exactlyZero("bookings doubled, all", doubled), exactlyZero("bookings lost, all", lost), exactlyZero("false not run, all", falseNotRun)}
}

func atMost(name string, measured, limit float64) Target {
	target := Target{Name: name, Limit: fmt.Sprintf("<= %.3g", limit), Measured: fmt.Sprintf("%.3f", measured), Met: measured <= limit}
	if !target.Met {
		target.MissedBy = fmt.Sprintf("+%.3f", measured-limit)
	}
	return target
}

func atLeast(name string, measured, limit float64) Target {
	target := Target{Name: name, Limit: fmt.Sprintf(">= %.3g", limit), Measured: fmt.Sprintf("%.3f", measured), Met: measured >= limit}
	if !target.Met {
		target.MissedBy = fmt.Sprintf("-%.3f", limit-measured)
	}
	return target
}

func exactlyZero(name string, measured int) Target {
	target := Target{Name: name, Limit: "0", Measured: fmt.Sprint(measured), Met: measured == 0}
	if !target.Met {
		target.MissedBy = fmt.Sprintf("+%d", measured)
	}
	return target
}

func (t Target) resultText() string {
	if t.Met {
		return t.Measured + " met"
	}
	return t.Measured + " MISSED by " + strings.TrimLeft(t.MissedBy, "+-")
}
