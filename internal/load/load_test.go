package load_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/entry"
	"github.com/wisteriamux/wisteriamux/internal/load"
	"github.com/wisteriamux/wisteriamux/internal/model"
	"github.com/wisteriamux/wisteriamux/internal/settings"
	"github.com/wisteriamux/wisteriamux/internal/standin"
)

func TestLoad(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Load")
}

func arrivals(profile load.Profile, even bool, seed uint64) []time.Duration {
	generator := load.NewArrivals(profile, even, seed)
	var all []time.Duration
	for at, ok := generator.Next(); ok; at, ok = generator.Next() {
		all = append(all, at)
	}
	return all
}

// newEntryVM starts a fake entry VM that answers a search of service s with two shards after a delay. The function
// change, if not nil, modifies each response before it is sent.
func newEntryVM(delay time.Duration, change func(*entry.SearchResponse)) *httptest.Server {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var request entry.SearchRequest
		_ = json.NewDecoder(r.Body).Decode(&request)
		time.Sleep(delay)
		response := entry.SearchResponse{Status: entry.StatusAnswered}
		response.Snapshot = model.Snapshot{Version: 7, Generations: map[string]uint64{"s": 2}}
		for shard := range 2 {
			response.Coverage.Included = append(response.Coverage.Included, model.ShardID{Service: "s", Shard: shard})
			item, _ := json.Marshal(standin.Item{Service: "s", Shard: shard, Version: 7, Generation: 2, Query: request.Query})
			response.Items = append(response.Items, item)
		}
		if change != nil {
			change(&response)
		}
		_ = json.NewEncoder(w).Encode(response)
	}))
	DeferCleanup(server.Close)
	return server
}

func loadConfig(server *httptest.Server, rate float64, length time.Duration) load.Config {
	return load.Config{
		Targets:      []string{server.URL},
		Mix:          load.Mix{{Name: "s", Share: 1, Services: []string{"s"}}},
		Profile:      load.ConstantRate(rate, length),
		EvenlySpaced: true,
		Timeout:      2 * time.Second,
		Shards:       map[string]int{"s": 2},
		RunID:        "test",
	}
}

var _ = Describe("Arrivals", func() {
	profile := load.Spike(100, 4, time.Second, 500*time.Millisecond, 2*time.Second, time.Second)

	It("are the same for the same seed, so that all variants get the same load", func() {
		Expect(arrivals(profile, false, 1)).To(Equal(arrivals(profile, false, 1)))
		Expect(arrivals(profile, false, 1)).NotTo(Equal(arrivals(profile, false, 2)))
	})

	It("follow the profile's rate", func() {
		var peak int
		for _, at := range arrivals(profile, false, 1) {
			if at >= 1500*time.Millisecond && at < 3500*time.Millisecond {
				peak++
			}
		}
		Expect(peak).To(BeNumerically("~", 800, 90), "four times 100/s for 2 s, within three standard deviations")
		Expect(arrivals(load.ConstantRate(50, 2*time.Second), true, 1)).To(HaveLen(100))
	})

	It("do not wait for responses, so that the load on a slow tier does not decrease", func() {
		var inFlight, highest atomic.Int32
		server := newEntryVM(300*time.Millisecond, func(*entry.SearchResponse) { inFlight.Add(-1) })
		counting := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			highest.Store(max(highest.Load(), inFlight.Add(1)))
			server.Config.Handler.ServeHTTP(w, r)
		}))
		DeferCleanup(counting.Close)
		samples := load.Run(context.Background(), loadConfig(counting, 200, 250*time.Millisecond))
		Expect(samples).To(HaveLen(50))
		Expect(highest.Load()).To(BeNumerically(">", 25))
	})
})

var _ = Describe("Response check", func() {
	DescribeTable("finds each contradiction between the claimed coverage and the items", func(change func(*entry.SearchResponse), contradiction string) {
		server := newEntryVM(0, change)
		samples := load.Run(context.Background(), loadConfig(server, 1_000, time.Millisecond))
		Expect(samples).To(HaveLen(1))
		Expect(samples[0].Contradiction).To(Equal(contradiction))
	},
		Entry("no contradiction", nil, ""),
		Entry("a claimed shard without an item", func(r *entry.SearchResponse) { r.Items = r.Items[:1] }, "claimed shard has no item"),
		Entry("an item of a shard that is not claimed", func(r *entry.SearchResponse) { r.Coverage.Included = r.Coverage.Included[:1] }, "item of a shard that is not claimed"),
		Entry("a shard that is neither claimed nor missing", func(r *entry.SearchResponse) {
			r.Coverage.Included = r.Coverage.Included[:1]
			r.Items = r.Items[:1]
		}, "shard is neither claimed nor missing"),
		Entry("an item of another version", func(r *entry.SearchResponse) { r.Snapshot.Version = 8 }, "item is of another snapshot"),
		Entry("an item of another query", func(r *entry.SearchResponse) {
			r.Items[0], _ = json.Marshal(standin.Item{Service: "s", Version: 7, Generation: 2, Query: "other"})
		}, "item belongs to another query"),
		Entry("a full answer with a missing shard", func(r *entry.SearchResponse) {
			r.Coverage.Missing = []model.MissingShard{{ShardID: model.ShardID{Service: "s", Shard: 5}}}
		}, "full answer with missing shards"),
	)
})

var _ = Describe("Report", func() {
	It("computes latencies and shares over the accepted requests in the window", func() {
		samples := []load.Sample{
			{At: time.Second, Status: 200, Latency: 100 * time.Millisecond, Needed: 4, Included: 4},
			{At: time.Second, Status: 206, Latency: 200 * time.Millisecond, Needed: 4, Included: 3, Missing: 1},
			{At: time.Second, Status: 200, Latency: 500 * time.Millisecond, Needed: 4, Included: 4},
			{At: time.Second, Status: 504, BodyStatus: "incomplete", Latency: 390 * time.Millisecond, Needed: 4, Missing: 4},
			{At: time.Second, Status: 503, BodyStatus: "not_run", Latency: time.Millisecond},
			{At: time.Second, Status: 0},
			{At: 3 * time.Second, Status: 200, Latency: time.Millisecond, Needed: 4, Included: 4},
		}
		report := load.Summarize(samples, load.Window{To: 2 * time.Second}, 390*time.Millisecond)
		Expect(report.Offered).To(Equal(7))
		Expect(report.Accepted).To(Equal(5))
		Expect(report.Cut).To(Equal(1))
		Expect(report.Refusals).To(Equal(map[string]int{"503 not_run": 1}))
		Expect(report.OfferedRate).To(BeEquivalentTo(3))
		Expect(report.GoodputRate).To(BeEquivalentTo(1), "two good answers in 2 s")
		Expect(report.WithinDeadline).To(BeEquivalentTo(0.5))
		Expect(report.P50Millis).To(BeNumerically("~", 200, 1))
		Expect(report.Classes[""]).To(And(HaveField("Offered", 6), HaveField("Accepted", 4), HaveField("WithinDeadline", BeEquivalentTo(0.5))))
		report.AddStandinTotals(load.StandinTotals{Searches: 100}, load.StandinTotals{Searches: 121})
		Expect(report.ExtraLoad).To(BeNumerically("~", 0.05, 1e-9))
		from := load.StandinTotals{Slots: map[string]load.SlotUse{"s": {BusyMillis: 100, Slots: 4}}}
		to := load.StandinTotals{Slots: map[string]load.SlotUse{"s": {BusyMillis: 3_300, Slots: 4}, "other": {BusyMillis: 9_000, Slots: 4}}}
		report.AddSlotUse([]string{"s"}, from, to, time.Second)
		Expect(report.SlotUse).To(BeNumerically("~", 0.8, 1e-9), "3.2 s of 4 slot seconds")
	})

	It("finds bookings that ran twice, were lost or were falsely reported as not run", func() {
		samples := []load.Sample{
			{Key: "fine", Status: 200}, {Key: "fine", Status: 200},
			{Key: "doubled", Status: 200},
			{Key: "lost", Status: 200},
			{Key: "untrue", Status: 503},
			{Key: "resolved", Status: 503}, {Key: "resolved", Status: 200},
			{Key: "refused", Status: 503},
		}
		var report load.Report
		report.AddBookings(samples, map[string]int{"fine": 1, "doubled": 2, "untrue": 1, "resolved": 1})
		Expect(report).To(And(HaveField("Bookings", 6), HaveField("BookingsAnswered", 4), HaveField("BookingsDoubled", 1),
			HaveField("BookingsLost", 1), HaveField("BookingsFalseNotRun", 1)))
	})

	It("reports by how much a target is missed", func() {
		reports := []*load.Report{
			{User: "u", Variant: "owner", Scenario: "rest", P99Millis: 100},
			{User: "u", Variant: "owner", Scenario: "slow", P99Millis: 150, ExtraLoad: 0.04},
			{User: "u", Variant: "owner", Scenario: "shrink", Cut: 2},
		}
		var text bytes.Buffer
		Expect(load.WriteComparison(&text, reports)).To(Succeed())
		Expect(text.String()).To(ContainSubstring("| p99 slow / p99 rest | <= 1.3 | 1.500 MISSED by 0.200 |"))
		Expect(text.String()).To(ContainSubstring("| extra load, slow | <= 0.05 | 0.040 met |"))
		Expect(text.String()).To(ContainSubstring("| requests cut, shrink | 0 | 2 MISSED by 2 |"))
	})
})

var _ = Describe("Deployment", func() {
	It("has the number of upstreams of each user, shares that add up to 1 and a slot bound below overload rates", func() {
		for user, count := range map[string]int{"blumenwagen": 115, "safari": 107} {
			deployment, err := load.DeploymentFor(user)
			Expect(err).NotTo(HaveOccurred())
			Expect(deployment.Upstreams()).To(HaveLen(count))
			var share float64
			for _, class := range deployment.Mix {
				share += class.Share
			}
			Expect(share).To(BeNumerically("~", 1, 1e-9))
			Expect(deployment.SlotBound(deployment.Capacity(), 1)).To(BeNumerically("~", deployment.Capacity(), 1e-6))
			Expect(deployment.SlotBound(2*deployment.Capacity(), 1)).To(BeNumerically("<", 2*deployment.Capacity()))
		}
	})

	It("keeps one replica of each shard at normal speed with SpareReplica, so that a hedge can respond in time", func() {
		deployment, err := load.DeploymentFor("safari")
		Expect(err).NotTo(HaveOccurred())
		names := []string{"desk-01-s0-r0", "desk-01-s0-r1", "desk-02-s0-r0", "slate-s1-r1"}
		Expect(load.ExperimentConfig{Deployment: deployment}.SelectSlowed(names, 3)).To(Equal(names[:3]))
		spared := load.ExperimentConfig{Deployment: deployment, SpareReplica: true}.SelectSlowed(names, 3)
		Expect(spared).To(Equal([]string{"desk-01-s0-r0", "desk-02-s0-r0", "slate-s1-r1"}))
	})

	It("writes settings files that the daemons accept", func() {
		deployment, err := load.DeploymentFor("safari")
		Expect(err).NotTo(HaveOccurred())
		dir := GinkgoT().TempDir()
		Expect(load.WriteCluster(dir, deployment, "owner", load.ClusterSize{Control: 1, Entries: 8, BasePort: 22_000})).To(Succeed())
		for n := range 8 {
			_, err := settings.LoadEntry(filepath.Join(dir, fmt.Sprintf("entry-%d.toml", n+1)))
			Expect(err).NotTo(HaveOccurred())
		}
		_, err = settings.LoadControl(filepath.Join(dir, "control-1.toml"))
		Expect(err).NotTo(HaveOccurred())
		operator, err := settings.LoadOperatorConfig(filepath.Join(dir, "inventory.toml"))
		Expect(err).NotTo(HaveOccurred())
		Expect(operator.Inventory).To(Equal(deployment.Inventory()))
		Expect(operator.Rules).To(HaveLen(len(deployment.Rules)), "without the rules a run would measure the defaults")
		Expect(operator.Rules[0]).To(And(HaveField("WaitShare", deployment.Rules[0].WaitShare), HaveField("PartialAllowed", deployment.Rules[0].PartialAllowed)))
		fleet, err := standin.LoadFleet(filepath.Join(dir, "fleet-arusha-depot.toml"))
		Expect(err).NotTo(HaveOccurred())
		Expect(fleet.Upstreams[0].ServiceTime).To(Equal(20 * time.Millisecond))
		Expect(load.Plot(dir, []*load.Report{{User: "u", Scenario: "rest", LatencyQuantilesMillis: []float64{1, 2, 3}}})).To(Succeed())
		plot, err := os.Stat(filepath.Join(dir, "u-rest.svg"))
		Expect(err).NotTo(HaveOccurred())
		Expect(plot.Size()).To(BeNumerically("<", 100_000))
	})
})
