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

// Scenarios of the experiment, in the order in which they run. Shrink is last because upstreams do not come back.
var Scenarios = []string{"rest", "slow", "spike", "shrink"}

// ExperimentConfig describes the runs of one variant.
type ExperimentConfig struct {
	Cluster    Cluster
	Deployment Deployment
	Scenarios  []string
	// BaseShare is the base rate as a share of the rate at which the busiest shard's slots are full.
	BaseShare float64
	// SpikeFactor is the peak rate as a multiple of the base rate.
	SpikeFactor float64
	// HoldDuration is the length of the steady part of each scenario.
	HoldDuration time.Duration
	Deadline     time.Duration
	ResendShare  float64
	// SpareReplica leaves at least one replica of each shard at its normal speed when upstreams are slowed. Without it
	// the slow upstreams are drawn from all, and a shard whose replicas are all drawn can't be answered in time.
	SpareReplica bool
	Seed         uint64
}

const (
	warmUp    = 4 * time.Second
	beforeHit = 2 * time.Second
	ramp      = 500 * time.Millisecond
	afterHit  = 2 * time.Second
	// settle lets requests that callers gave up on end before the stand-ins' counters are read.
	settle = time.Second
	// slowLength is how long each choice of slow upstreams lasts. With one in ten chosen at any moment, a run of 10 s
	// slows each upstream about once.
	slowLength   = time.Second
	slowFactor   = 10
	slowShare    = 0.1
	readyTimeout = 20 * time.Second
	readyPoll    = 100 * time.Millisecond
)

// RunExperiment runs the scenarios one after the other.
func RunExperiment(ctx context.Context, config ExperimentConfig, log *slog.Logger) ([]*Report, error) {
	if err := AwaitReady(ctx, config.Cluster); err != nil {
		return nil, err
	}
	fleets := NewFleetClient(config.Cluster.Fleets)
	base := config.Deployment.Capacity() * config.BaseShare
	Run(ctx, config.load("warm-up", ConstantRate(base, warmUp)))
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

// AwaitReady waits until each upstream is ready in the view that is in force.
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
		pauseFor(ctx, readyPoll)
	}
	return fault.New(fault.Unavailable, "experiment.ready", "%d of %d upstreams are ready", ready, cluster.UpstreamCount)
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

func pauseFor(ctx context.Context, length time.Duration) {
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

// scenarioPlan is the arrivals of a scenario, the window that is reported and what happens to the stand-ins.
type scenarioPlan struct {
	profile    Profile
	window     Window
	slotsShare float64
	disturb    func(context.Context)
}

func (c ExperimentConfig) plan(fleets *FleetClient, scenario string, base float64, log func(error)) scenarioPlan {
	steady := scenarioPlan{profile: ConstantRate(base, c.HoldDuration), window: Window{To: c.HoldDuration}, slotsShare: 1}
	hit := scenarioPlan{
		profile:    Spike(base, c.SpikeFactor, beforeHit, ramp, c.HoldDuration, afterHit),
		window:     Window{From: beforeHit + ramp, To: beforeHit + ramp + c.HoldDuration},
		slotsShare: 1,
	}
	switch scenario {
	case "slow":
		steady.disturb = func(ctx context.Context) { log(c.slowInTurn(ctx, fleets)) }
		return steady
	case "spike":
		return hit
	case "shrink":
		hit.slotsShare = 0.5
		hit.disturb = func(ctx context.Context) {
			pauseFor(ctx, beforeHit+ramp)
			log(drainHalf(ctx, fleets))
		}
		return hit
	default:
		return steady
	}
}

func (c ExperimentConfig) run(ctx context.Context, fleets *FleetClient, scenario string, base float64) (*Report, error) {
	before, err := fleets.StandinTotals(ctx)
	if err != nil {
		return nil, err
	}
	var disturbed error
	plan := c.plan(fleets, scenario, base, func(err error) { disturbed = err })
	running, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		if plan.disturb != nil {
			plan.disturb(running)
		}
	}()
	edges := make(chan windowEdges, 1)
	go func() { edges <- readEdges(running, fleets, plan.window) }()
	samples := Run(ctx, c.load(scenario, plan.profile))
	// A run may end right at the end of its window, so the edges are awaited before the readers are stopped.
	edge := <-edges
	stop()
	<-done
	if disturbed != nil {
		return nil, disturbed
	}
	pauseFor(ctx, settle)
	report := Summarize(samples, plan.window, c.Deadline)
	report.User, report.Variant, report.Scenario = c.Deployment.User, c.Cluster.Variant, scenario
	report.SlotBoundRate = min(report.OfferedRate, c.Deployment.SlotBound(report.OfferedRate, plan.slotsShare))
	report.AddSlotUse(c.Deployment.BusiestServices(), edge.from, edge.to, edge.length)
	return report, addStandinFigures(ctx, fleets, report, samples, before)
}

// windowEdges are the stand-ins' counters at the edges of a window.
type windowEdges struct {
	from, to StandinTotals
	length   time.Duration
}

// readEdges returns zero counters for a reading that failed; the use of slots is then reported as 0.
func readEdges(ctx context.Context, fleets *FleetClient, window Window) windowEdges {
	var edges windowEdges
	pauseFor(ctx, window.From)
	began := time.Now()
	edges.from, _ = fleets.StandinTotals(ctx)
	pauseFor(ctx, window.To-window.From)
	edges.to, _ = fleets.StandinTotals(ctx)
	edges.length = time.Since(began)
	return edges
}

func addStandinFigures(ctx context.Context, fleets *FleetClient, report *Report, samples []Sample, before StandinTotals) error {
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

// slowInTurn keeps one upstream in ten slow, choosing anew after each slow period.
func (c ExperimentConfig) slowInTurn(ctx context.Context, fleets *FleetClient) error {
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
		pauseFor(ctx, slowLength)
	}
	return nil
}

// SelectSlowed returns the first names, as many as asked for, without the last replica of a shard if that is to be spared.
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

// drainHalf makes half of the replicas of each shard leave, and never all of them.
func drainHalf(ctx context.Context, fleets *FleetClient) error {
	stats, err := fleets.Stats(ctx)
	if err != nil {
		return err
	}
	replicas := map[model.ShardID][]string{}
	for _, one := range stats {
		shard := model.ShardID{Service: one.Service, Shard: one.Shard}
		replicas[shard] = append(replicas[shard], one.Name)
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

// Target is one target of the experiment with what was measured.
type Target struct {
	Name     string
	Limit    string
	Measured string
	Met      bool
	// MissedBy is by how much the target was missed; empty when it was met.
	MissedBy string
}

// Targets of design section 1.2.
const (
	targetSlowP99     = 1.3
	targetExtraLoad   = 0.05
	targetGoodput     = 0.9
	targetWithinShare = 0.99
)

// CheckTargets compares the reports of one user and variant with the targets. A target whose scenario did not run is
// left out.
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
			atLeast("accepted within deadline, spike", spike.WithinDeadline, targetWithinShare))
	}
	if shrink := byScenario["shrink"]; shrink != nil {
		targets = append(targets,
			none("requests cut, shrink", shrink.Cut),
			none("false coverage, shrink", shrink.FalseCoverage),
			none("work after the grace, shrink", shrink.RequestsAfterGrace))
	}
	return append(targets, bookingTargets(reports)...)
}

func bookingTargets(reports []*Report) []Target {
	var doubled, lost, untrue int
	for _, report := range reports {
		doubled += report.BookingsDoubled
		lost += report.BookingsLost
		untrue += report.BookingsFalseNotRun
	}
	return []Target{none("bookings doubled, all", doubled), none("bookings lost, all", lost), none("false not run, all", untrue)}
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

func none(name string, measured int) Target {
	target := Target{Name: name, Limit: "0", Measured: fmt.Sprint(measured), Met: measured == 0}
	if !target.Met {
		target.MissedBy = fmt.Sprintf("+%d", measured)
	}
	return target
}

func (t Target) verdict() string {
	if t.Met {
		return t.Measured + " met"
	}
	return t.Measured + " MISSED by " + strings.TrimLeft(t.MissedBy, "+-")
}
