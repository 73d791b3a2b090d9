package standin_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/model"
	"github.com/wisteriamux/wisteriamux/internal/responsemem"
	"github.com/wisteriamux/wisteriamux/internal/standin"
	"github.com/wisteriamux/wisteriamux/internal/upstreamapi"
)

func TestStandin(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(5 * time.Second)
	RunSpecs(t, "Standin")
}

// fakeEntryVM responds to announcements with the upstream state that the test sets.
type fakeEntryVM struct {
	*httptest.Server
	state            atomic.Value
	lastAnnouncement atomic.Value
}

func newEntryVM() *fakeEntryVM {
	vm := &fakeEntryVM{}
	vm.state.Store(string(model.UpstreamReady))
	vm.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var announcement model.Announcement
		_ = json.NewDecoder(r.Body).Decode(&announcement)
		vm.lastAnnouncement.Store(announcement)
		_ = json.NewEncoder(w).Encode(upstreamapi.AnnounceResponse{State: vm.state.Load().(string), RenewMillis: 20})
	}))
	DeferCleanup(vm.Close)
	return vm
}

type testUpstream struct {
	upstream *standin.Upstream
	client   *upstreamapi.Client
	base     string
	stop     context.CancelFunc
	ended    chan error
}

func start(vm *fakeEntryVM, change func(*standin.Config)) *testUpstream {
	config := standin.Config{
		Announcement: model.Announcement{
			Name: "clerk-01-a", Service: "clerk-01", ShardCount: 1, Generation: 1, MinVersion: 1, MaxVersion: 1, Slots: 1, Connections: 25,
		},
		EntryURLs:   []string{vm.URL},
		ServiceTime: time.Millisecond,
		GracePeriod: time.Millisecond,
		Seed:        1,
	}
	if change != nil {
		change(&config)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	ctx, stop := context.WithCancel(context.Background())
	r := &testUpstream{
		upstream: standin.New(config, slog.New(slog.NewTextHandler(io.Discard, nil))),
		client:   upstreamapi.NewClient(listener.Addr().String(), 100, 100, upstreamapi.NewRateLimiter("u", slog.New(slog.DiscardHandler)), responsemem.New(responsemem.DefaultBytes)),
		base:     "http://" + listener.Addr().String(),
		stop:     stop,
		ended:    make(chan error, 1),
	}
	go func() { r.ended <- r.upstream.Run(ctx, listener) }()
	DeferCleanup(func() {
		vm.state.Store(string(model.UpstreamDrained))
		r.client.Close()
		stop()
	})
	return r
}

func (r *testUpstream) search(ctx context.Context, timeout time.Duration, version uint64, query string) error {
	call := upstreamapi.Call{RequestID: "r", Timeout: timeout, Version: version, Generation: 1}
	_, err := r.client.Search(ctx, call, upstreamapi.SearchRequest{Query: query})
	return err
}

func (r *testUpstream) post(path string, body any) {
	data, err := json.Marshal(body)
	Expect(err).NotTo(HaveOccurred())
	response, err := http.Post(r.base+path, "application/json", strings.NewReader(string(data)))
	Expect(err).NotTo(HaveOccurred())
	Expect(response.Body.Close()).To(Succeed())
	Expect(response.StatusCode).To(Equal(http.StatusOK))
}

func (r *testUpstream) announced(vm *fakeEntryVM) func() model.Announcement {
	return func() model.Announcement {
		announcement, _ := vm.lastAnnouncement.Load().(model.Announcement)
		return announcement
	}
}

var _ = Describe("Stand-in upstream", func() {
	var vm *fakeEntryVM
	BeforeEach(func() { vm = newEntryVM() })

	It("finishes the request in flight and refuses new work as not run, so that a drain interrupts no request", func() {
		r := start(vm, func(c *standin.Config) { c.ServiceTime = 300 * time.Millisecond })
		first := make(chan error, 1)
		go func() { first <- r.search(context.Background(), 5*time.Second, 1, "q") }()
		Eventually(func() int { return r.upstream.Stats().InFlight }).Should(Equal(1))
		r.post("/admin/drain", struct{}{})
		Eventually(r.announced(vm)).Should(HaveField("Draining", true))
		time.Sleep(10 * time.Millisecond)
		Expect(r.search(context.Background(), time.Second, 1, "q")).To(MatchError(ContainSubstring("not_run")))
		Eventually(first).Should(Receive(BeNil()))
		Expect(r.upstream.Stats()).To(And(HaveField("RefusedLeaving", BeEquivalentTo(1)), HaveField("ReceivedAfterGrace", BeEquivalentTo(1))))
		Consistently(r.ended, 100*time.Millisecond).ShouldNot(Receive(), "stopped before an entry VM reported it as drained")
		vm.state.Store(string(model.UpstreamDrained))
		Eventually(r.ended).Should(Receive(BeNil()))
	})

	It("stops without confirmation once no entry VM is reachable, so that a stopped cluster leaves no process", func() {
		r := start(vm, nil)
		vm.Close()
		r.stop()
		Eventually(r.ended).Should(Receive(BeNil()))
	})

	It("releases the slot as soon as the stream closes, so that a cancelled hedge uses no capacity", func() {
		r := start(vm, func(c *standin.Config) { c.ServiceTime = 30 * time.Second })
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _ = r.search(ctx, time.Minute, 1, "q") }()
		Eventually(func() int { return r.upstream.Stats().InFlight }).Should(Equal(1))
		cancel()
		Eventually(func() int { return r.upstream.Stats().InFlight }).Should(Equal(0))
		Eventually(func() uint64 { return r.upstream.Stats().Cancelled }).Should(BeEquivalentTo(1))
	})

	It("runs a started booking to its end and counts every run of a key, so that duplicate bookings are detected", func() {
		r := start(vm, func(c *standin.Config) { c.ServiceTime = 50 * time.Millisecond })
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			_, _ = r.client.Book(ctx, upstreamapi.Call{Timeout: time.Second}, "k", 1, []byte("{}"))
		}()
		Eventually(func() uint64 { return r.upstream.Stats().BookingsStarted }).Should(BeEquivalentTo(1))
		cancel()
		Eventually(func() uint64 { return r.upstream.Stats().Finished }).Should(BeEquivalentTo(1))
		_, err := r.client.Book(context.Background(), upstreamapi.Call{Timeout: time.Second}, "k", 2, []byte("{}"))
		Expect(err).NotTo(HaveOccurred())
		Expect(r.upstream.Stats().DoubledBookings).To(Equal(map[string]int{"k": 2}))
	})

	It("refuses a request before its start when the queue is full or its timeout has passed", func() {
		r := start(vm, func(c *standin.Config) {
			c.ServiceTime = 200 * time.Millisecond
			c.QueueBound = 1
		})
		first := make(chan error, 1)
		go func() { first <- r.search(context.Background(), time.Second, 1, "q") }()
		Eventually(func() int { return r.upstream.Stats().InFlight }).Should(Equal(1))
		go func() { _ = r.searchWithTimeout(20) }()
		Eventually(func() int { return r.upstream.Stats().Queued }).Should(Equal(1))
		Expect(r.search(context.Background(), time.Second, 1, "q")).To(MatchError(ContainSubstring("not_run")))
		Eventually(first).Should(Receive(BeNil()))
		Eventually(func() uint64 { return r.upstream.Stats().RefusedExpired }).Should(BeEquivalentTo(1))
		Expect(r.upstream.Stats()).To(And(HaveField("RefusedShed", BeEquivalentTo(1)), HaveField("SearchesStarted", BeEquivalentTo(1))))
	})

	It("retires the oldest index version on schedule and refuses searches of retired versions", func() {
		r := start(vm, func(c *standin.Config) {
			c.VersionSchedule = standin.VersionSchedule{Interval: 20 * time.Millisecond, Retained: 2}
		})
		Expect(r.search(context.Background(), time.Second, 1, "q")).To(Succeed())
		Eventually(r.announced(vm)).Should(HaveField("MinVersion", BeNumerically(">", 1)))
		Expect(r.search(context.Background(), time.Second, 1, "q")).To(MatchError(ContainSubstring("snapshot_retired")))
	})

	It("announces a new shard map and refuses searches of the earlier generation", func() {
		r := start(vm, nil)
		r.post("/admin/shardmap", standin.ShardMapRequest{Generation: 2, Shard: 1, ShardCount: 2})
		Eventually(r.announced(vm)).Should(And(HaveField("Generation", BeEquivalentTo(2)), HaveField("ShardCount", 2)))
		Expect(r.search(context.Background(), time.Second, 1, "q")).To(MatchError(ContainSubstring("snapshot_retired")))
	})

	It("crashes only on a configured marker, so that no query ends a stand-in by accident", func() {
		plain := start(vm, func(c *standin.Config) { c.Crash = func() { Fail("crashed without a marker") } })
		Expect(plain.search(context.Background(), time.Second, 1, "poison")).To(Succeed())
		var crashes atomic.Int32
		marked := start(vm, func(c *standin.Config) {
			c.CrashMarker = "poison"
			c.Crash = func() { crashes.Add(1) }
		})
		_ = marked.search(context.Background(), time.Second, 1, "a poison query")
		Expect(crashes.Load()).To(BeEquivalentTo(1))
	})

	It("applies the connect delay, both network delays and a slow period started on request", func() {
		r := start(vm, func(c *standin.Config) {
			c.ServiceTime = 2 * time.Millisecond
			c.ConnectCost = 30 * time.Millisecond
			c.OneWayDelay = 20 * time.Millisecond
		})
		began := time.Now()
		Expect(r.search(context.Background(), 5*time.Second, 1, "q")).To(Succeed())
		Expect(time.Since(began)).To(BeNumerically(">=", 70*time.Millisecond))
		r.post("/admin/slow", standin.SlowRequest{Factor: 100, DurationMillis: 10_000})
		began = time.Now()
		Expect(r.search(context.Background(), 5*time.Second, 1, "q")).To(Succeed())
		Expect(time.Since(began)).To(BeNumerically(">=", 240*time.Millisecond))
	})

	DescribeTable("is slow after a cold start and in slow periods", func(change func(*standin.Config)) {
		r := start(vm, func(c *standin.Config) {
			c.ServiceTime = 2 * time.Millisecond
			change(c)
		})
		Eventually(func() time.Duration {
			began := time.Now()
			Expect(r.search(context.Background(), 5*time.Second, 1, "q")).To(Succeed())
			return time.Since(began)
		}).Should(BeNumerically(">=", 100*time.Millisecond))
	},
		Entry("cold start", func(c *standin.Config) { c.ColdStart = standin.ColdStart{Factor: 50, Length: time.Minute} }),
		Entry("random slow period", func(c *standin.Config) {
			c.SlowPeriods = standin.SlowPeriods{Factor: 50, Length: time.Minute, Interval: 10 * time.Millisecond}
		}),
	)

	It("accepts no more connections than its limit", func() {
		r := start(vm, func(c *standin.Config) {
			c.Announcement.Connections = 2
			c.Announcement.Slots = 6
			c.ServiceTime = 50 * time.Millisecond
		})
		done := make(chan error, 6)
		for range 6 {
			go func() { done <- r.search(context.Background(), 500*time.Millisecond, 1, "q") }()
		}
		answered := 0
		for range 6 {
			var err error
			Eventually(done).Should(Receive(&err))
			if err == nil {
				answered++
			}
		}
		// The client keeps its two connections open, so the other four requests wait until they time out.
		Expect(answered).To(Equal(2))
		Expect(r.upstream.Stats().MaxConnections).To(Equal(2))
	})

	It("reports an outdated load multiplied by the configured factor", func() {
		r := start(vm, func(c *standin.Config) {
			c.ServiceTime = 10 * time.Second
			c.LoadReport = standin.LoadReport{Age: 200 * time.Millisecond, Factor: 3}
		})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() { _ = r.search(ctx, time.Minute, 1, "q") }()
		Eventually(func() int { return r.upstream.Stats().InFlight }).Should(Equal(1))
		Expect(r.load().InFlight).To(BeZero())
		Eventually(func() float64 { return r.load().InFlight }).Should(BeEquivalentTo(3))
	})

	It("runs several stand-ins in one process and reports the counters of each", func() {
		var file standin.FleetFile
		for n := range 3 {
			file.Upstreams = append(file.Upstreams, standin.Config{
				Announcement: model.Announcement{Name: fmt.Sprintf("u%d", n), Service: "s", ShardCount: 1, Slots: 1, Connections: 1, Address: "127.0.0.1:0"},
				EntryURLs:    []string{vm.URL},
			})
		}
		fleet := standin.NewFleet(file, slog.New(slog.NewTextHandler(io.Discard, nil)))
		admin, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- fleet.Run(ctx, admin) }()
		var stats []standin.Stats
		Eventually(func() error { return getJSON("http://"+admin.Addr().String()+"/admin/stats", &stats) }).Should(Succeed())
		Expect(stats).To(HaveLen(3))
		vm.state.Store(string(model.UpstreamDrained))
		cancel()
		Eventually(ended).Should(Receive(BeNil()))
	})
})

// searchWithTimeout sends a search with the timeout header over a client that does not close the stream when the
// timeout passes, so that the stand-in itself has to refuse the search.
func (r *testUpstream) searchWithTimeout(millis int) error {
	request, err := http.NewRequest(http.MethodPost, r.base+upstreamapi.PathSearch, strings.NewReader(`{"query":"q"}`))
	if err != nil {
		return err
	}
	request.Header.Set(upstreamapi.HeaderTimeoutMillis, fmt.Sprint(millis))
	request.Header.Set(upstreamapi.HeaderIndexVersion, "1")
	request.Header.Set(upstreamapi.HeaderShardGeneration, "1")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

func (r *testUpstream) load() standin.LoadResponse {
	var load standin.LoadResponse
	Expect(getJSON(r.base+"/load", &load)).To(Succeed())
	return load
}

func getJSON(url string, into any) error {
	response, err := http.Get(url)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	return json.NewDecoder(response.Body).Decode(into)
}
