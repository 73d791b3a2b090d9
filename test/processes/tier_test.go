package processes_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/controlstate"
	"github.com/wisteriamux/wisteriamux/internal/entry"
	"github.com/wisteriamux/wisteriamux/internal/model"
	"github.com/wisteriamux/wisteriamux/internal/standin"
)

const crashMarker = "poison"

// process is one running binary of the tier.
type process struct {
	name, address, rules string
	args                 []string
	running              *exec.Cmd
	ended                chan struct{}
}

func (p *process) start(binary string) {
	p.running = exec.Command(filepath.Join(binaries, binary), p.args...)
	p.running.Stderr = GinkgoWriter
	Expect(p.running.Start()).To(Succeed())
	p.ended = make(chan struct{})
	go func(running *exec.Cmd, ended chan struct{}) {
		_ = running.Wait()
		close(ended)
	}(p.running, p.ended)
}

func (p *process) signal(signal syscall.Signal) { _ = p.running.Process.Signal(signal) }

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// tier is a control group with entry VMs and stand-ins: four search services with two upstreams each and a booking
// service with two.
type tier struct {
	*group
	entries   []*process
	upstreams map[string]*process
}

func startTier() *tier {
	t := &tier{group: startGroup(), upstreams: map[string]*process{}}
	DeferCleanup(t.endTier)
	inventory := controlstate.ApplyConfig{ChangeID: "tier"}
	inventory.Inventory.Regions = []model.Region{{Name: "at-ost"}}
	inventory.Inventory.FailureDomains = []model.FailureDomain{{Name: "halle-a", Region: "at-ost"}}
	for s := range 4 {
		inventory.Inventory.Services = append(inventory.Inventory.Services, model.Service{Name: fmt.Sprintf("clerk-%d", s), Kind: model.ServiceSearch})
	}
	inventory.Inventory.Services = append(inventory.Inventory.Services, model.Service{Name: "settlement", Kind: model.ServiceBooking})
	inventory.Rules = []model.Rule{{Service: "*", NeverLoseCoverage: true, MaxShrink: 0.5, WaitShare: 0.9}}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	_, err := t.client.Propose(ctx, controlstate.Command{ApplyConfig: &inventory})
	Expect(err).NotTo(HaveOccurred())
	for n := 1; n <= 3; n++ {
		t.startEntry(n)
	}
	for _, service := range inventory.Inventory.Services {
		for replica := range 2 {
			t.startUpstream(service.Name, replica)
		}
	}
	Eventually(func() int { return t.count(model.UpstreamReady) }, readyTimeout, poll).Should(Equal(10))
	for _, e := range t.entries {
		Eventually(func() int { return health(e) }, readyTimeout, poll).Should(Equal(http.StatusOK))
	}
	ready, cancelReady := context.WithTimeout(context.Background(), readyTimeout)
	defer cancelReady()
	Expect(t.client.WaitInForce(ready, t.view().Revision)).To(Succeed())
	return t
}

func (t *tier) startEntry(n int) {
	host := loopback(20 + n)
	e := &process{name: fmt.Sprintf("entry-%d", n), address: fmt.Sprintf("%s:%d", host, callerPort)}
	path := filepath.Join(t.root, e.name+".toml")
	e.rules = filepath.Join(t.root, e.name+".rules")
	addresses, err := json.Marshal(t.addresses())
	Expect(err).NotTo(HaveOccurred())
	settings := fmt.Sprintf("id = %q\nfailure_domain = \"halle-a\"\ncaller_address = %q\nrpc_address = %q\ncontrol_addresses = %s\nlame_duck_ms = 300\nfault_rules_file = %q\n",
		e.name, e.address, fmt.Sprintf("%s:%d", host, peerPort), addresses, e.rules)
	// WMUX_TRACE_DIR records traces for internal/trace/testdata.
	if dir := os.Getenv("WMUX_TRACE_DIR"); dir != "" {
		settings += fmt.Sprintf("trace_file = %q\n", filepath.Join(dir, e.name+".trace"))
	}
	Expect(os.WriteFile(path, []byte(settings), 0o600)).To(Succeed())
	e.args = []string{"--settings", path}
	e.start("wmux-entry")
	t.entries = append(t.entries, e)
}

func (t *tier) startUpstream(service string, replica int) {
	u := &process{name: fmt.Sprintf("%s-%d", service, replica)}
	u.address = fmt.Sprintf("%s:%d", loopback(100+len(t.upstreams)), upstreamPort)
	u.args = []string{
		"--name", u.name, "--service", service, "--failure-domain", "halle-a", "--address", u.address,
		"--entry", "http://" + t.entries[0].address + ",http://" + t.entries[1].address, "--crash-marker", crashMarker,
	}
	u.start("wmux-upstream")
	t.upstreams[u.name] = u
}

func (t *tier) endTier() {
	for _, e := range t.entries {
		e.kill()
	}
	for _, u := range t.upstreams {
		u.kill()
	}
}

func (t *tier) count(state model.UpstreamState) int {
	count := 0
	for _, upstream := range t.view().Upstreams {
		if upstream.State == state {
			count++
		}
	}
	return count
}

func (t *tier) stats(name string) standin.Stats {
	var stats standin.Stats
	response, err := http.Get("http://" + t.upstreams[name].address + "/admin/stats")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	Expect(json.NewDecoder(response.Body).Decode(&stats)).To(Succeed())
	return stats
}

func health(e *process) int {
	response, err := http.Get("http://" + e.address + "/healthz")
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// answer is what a caller sees; status 0 means that the connection was cut.
type answer struct {
	status  int
	search  entry.SearchResponse
	booking entry.BookingResponse
}

func post(e *process, path string, request any, into any) int {
	body, err := json.Marshal(request)
	Expect(err).NotTo(HaveOccurred())
	response, err := http.Post("http://"+e.address+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(response.Body).Decode(into); err != nil {
		return 0
	}
	return response.StatusCode
}

func (t *tier) search(e *process, query string) answer {
	var a answer
	a.status = post(e, "/v1/search", entry.SearchRequest{Services: []string{"clerk-*"}, Query: query, TimeoutMillis: 2_000}, &a.search)
	return a
}

func (t *tier) book(e *process, key string) answer {
	var a answer
	request := entry.BookingRequest{Service: "settlement", Key: key, Payload: json.RawMessage(`{"lot":1}`), TimeoutMillis: 2_000}
	a.status = post(e, "/v1/bookings", request, &a.booking)
	return a
}

// traffic sends searches to healthy entry VMs, as a balancer does, until it is stopped.
type traffic struct {
	tier                 *tier
	stop                 chan struct{}
	running              sync.WaitGroup
	answered, cut, false atomic.Int64
	// notRun counts true refusals, failed every other status of a search that was accepted.
	notRun, failed atomic.Int64
}

func (t *tier) startTraffic(clients int) *traffic {
	f := &traffic{tier: t, stop: make(chan struct{})}
	for client := range clients {
		f.running.Go(func() { f.run(client) })
	}
	return f
}

func (f *traffic) run(client int) {
	defer GinkgoRecover()
	for n := client; ; n++ {
		select {
		case <-f.stop:
			return
		default:
		}
		e := f.tier.entries[n%len(f.tier.entries)]
		if health(e) != http.StatusOK {
			time.Sleep(poll)
			continue
		}
		f.judge(f.tier.search(e, fmt.Sprintf("query-%d", n)), fmt.Sprintf("query-%d", n))
	}
}

// judge compares the claimed coverage with the items of the stand-ins.
func (f *traffic) judge(a answer, query string) {
	switch a.status {
	case http.StatusOK, http.StatusPartialContent:
		f.answered.Add(1)
	case 0:
		f.cut.Add(1)
		return
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		f.notRun.Add(1)
		return
	default:
		f.failed.Add(1)
		return
	}
	seen := map[model.ShardID]int{}
	for _, raw := range a.search.Items {
		var item standin.Item
		if json.Unmarshal(raw, &item) != nil || item.Query != query || item.Version != a.search.Snapshot.Version {
			f.false.Add(1)
			return
		}
		seen[model.ShardID{Service: item.Service, Shard: item.Shard}]++
	}
	for _, shard := range a.search.Coverage.Included {
		if seen[shard] != 1 {
			f.false.Add(1)
			return
		}
	}
	if len(seen) != len(a.search.Coverage.Included) {
		f.false.Add(1)
	}
}

func (f *traffic) end() {
	close(f.stop)
	f.running.Wait()
	AddReportEntry("searches", fmt.Sprintf("answered %d, not run %d, failed %d, cut %d, false coverage %d",
		f.answered.Load(), f.notRun.Load(), f.failed.Load(), f.cut.Load(), f.false.Load()))
}

var _ = Describe("a tier of processes", Ordered, func() {
	var t *tier
	BeforeEach(func() { t = startTier() })

	It("cuts no search and lies about no coverage while half of the upstreams leave (P2, P6, P7)", func() {
		f := t.startTraffic(6)
		time.Sleep(500 * time.Millisecond)
		output, exitCode := t.ctl("shrink", "apply", "--fraction", "0.5", "--headroom", "1", "--id", "half")
		Expect(exitCode).To(BeZero(), output)
		Eventually(func() int { return t.count(model.UpstreamDrained) }, 30*time.Second, poll).Should(Equal(5))
		started := map[string]uint64{}
		for _, upstream := range t.view().Upstreams {
			if upstream.State == model.UpstreamDrained {
				started[upstream.Name] = t.stats(upstream.Name).Received
			}
		}
		time.Sleep(time.Second)
		for name, before := range started {
			Expect(t.stats(name).Received).To(Equal(before), "%s got work after it was drained", name)
		}
		f.end()
		Expect(f.cut.Load()).To(BeZero())
		Expect(f.notRun.Load()).To(BeZero())
		Expect(f.failed.Load()).To(BeZero())
		Expect(f.false.Load()).To(BeZero())
		Expect(f.answered.Load()).To(BeNumerically(">", 100))
	})

	It("cuts no search in flight at a planned stop of an entry VM (P7)", func() {
		f := t.startTraffic(6)
		time.Sleep(500 * time.Millisecond)
		stopped := t.entries[2]
		stopped.signal(syscall.SIGTERM)
		Eventually(func() int { return health(stopped) }, readyTimeout, time.Millisecond).Should(Or(Equal(http.StatusServiceUnavailable), BeZero()))
		Eventually(stopped.ended, readyTimeout).Should(BeClosed())
		time.Sleep(500 * time.Millisecond)
		f.end()
		Expect(f.cut.Load()).To(BeZero())
		Expect(f.failed.Load()).To(BeZero())
		Expect(f.false.Load()).To(BeZero())
	})

	It("never runs a booking twice when entry VMs are killed and callers send it again elsewhere (P5)", func() {
		outcomes := map[string]int{}
		var mu sync.Mutex
		var running sync.WaitGroup
		for client := range 8 {
			running.Go(func() {
				defer GinkgoRecover()
				for n := range 25 {
					key := fmt.Sprintf("booking-%d-%d", client, n)
					status := t.book(t.entries[(client+n)%3], key).status
					for again := 0; status != http.StatusOK && status != http.StatusGatewayTimeout && again < 40; again++ {
						time.Sleep(100 * time.Millisecond)
						status = t.book(t.entries[(client+n+again)%3], key).status
					}
					mu.Lock()
					outcomes[key] = status
					mu.Unlock()
				}
			})
		}
		time.Sleep(300 * time.Millisecond)
		t.entries[1].kill()
		time.Sleep(500 * time.Millisecond)
		t.entries[1].start("wmux-entry")
		running.Wait()
		runs := t.bookingRuns()
		answered, unknown := 0, 0
		for key, status := range outcomes {
			Expect(runs[key]).To(BeNumerically("<=", 1), "%s ran twice", key)
			switch status {
			case http.StatusOK:
				answered++
				Expect(runs[key]).To(Equal(1), "%s was answered but did not run", key)
			case http.StatusGatewayTimeout:
				unknown++
			default:
				Fail(fmt.Sprintf("%s ended with status %d", key, status))
			}
		}
		AddReportEntry("bookings", fmt.Sprintf("answered %d, outcome unknown %d, doubled 0, lost 0", answered, unknown))
	})

	It("contains a request that crashes each upstream and refuses no innocent one", func() {
		f := t.startTraffic(4)
		statuses := map[int]int{}
		for range 12 {
			statuses[t.search(t.entries[0], crashMarker).status]++
			t.restartCrashed()
			time.Sleep(200 * time.Millisecond)
		}
		f.end()
		AddReportEntry("statuses of the crashing request", fmt.Sprint(statuses))
		Expect(statuses[http.StatusUnprocessableEntity]).To(BeNumerically(">", 0), "the request was never quarantined: %v", statuses)
		Expect(statuses[http.StatusOK]).To(BeZero())
		Expect(f.cut.Load()).To(BeZero())
		Expect(f.false.Load()).To(BeZero())
	})

	It("refuses new requests as not run on an entry VM that is cut off from control, and takes them again after (P6, P8)", func() {
		alone := t.entries[2]
		var rules bytes.Buffer
		for _, m := range t.members {
			fmt.Fprintf(&rules, "both %s\n", m.host)
		}
		Expect(os.WriteFile(alone.rules, rules.Bytes(), 0o600)).To(Succeed())
		Eventually(func() int { return health(alone) }, 5*time.Second, poll).Should(Equal(http.StatusServiceUnavailable))
		Expect(t.search(alone, "cut off").status).To(Equal(http.StatusServiceUnavailable))
		Expect(t.search(t.entries[0], "fine").status).To(Equal(http.StatusOK))
		Expect(os.Remove(alone.rules)).To(Succeed())
		Eventually(func() int { return health(alone) }, readyTimeout, poll).Should(Equal(http.StatusOK))
	})

	It("sends no work to a leaving upstream from an entry VM that was frozen meanwhile (P6)", func() {
		frozen := t.entries[2]
		frozen.signal(syscall.SIGSTOP)
		output, exitCode := t.ctl("drain", "upstream", "clerk-0-0", "--wait")
		Expect(exitCode).To(BeZero(), output)
		Eventually(func() int { return t.search(t.entries[0], "while frozen").status }, readyTimeout, poll).Should(Equal(http.StatusOK))
		before := t.stats("clerk-0-0").Received
		frozen.signal(syscall.SIGCONT)
		for range 50 {
			t.search(frozen, "after the freeze")
			t.search(t.entries[0], "beside it")
		}
		Expect(t.stats("clerk-0-0").Received).To(Equal(before))
		Eventually(func() int { return t.search(frozen, "awake").status }, readyTimeout, poll).Should(Equal(http.StatusOK))
	})
})

// restartCrashed starts upstreams again that the crash marker has ended, as their supervisor would.
func (t *tier) restartCrashed() {
	for _, u := range t.upstreams {
		select {
		case <-u.ended:
			u.start("wmux-upstream")
		default:
		}
	}
}

func (t *tier) bookingRuns() map[string]int {
	total := map[string]int{}
	for name, u := range t.upstreams {
		if name != "settlement-0" && name != "settlement-1" {
			continue
		}
		response, err := http.Get("http://" + u.address + "/admin/bookings")
		Expect(err).NotTo(HaveOccurred())
		var runs map[string]int
		Expect(json.NewDecoder(response.Body).Decode(&runs)).To(Succeed())
		_ = response.Body.Close()
		for key, count := range runs {
			total[key] += count
		}
	}
	return total
}
