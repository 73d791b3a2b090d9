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

// crashMarker is a query that crashes the stand-in that runs it.
const crashMarker = "poison"

// process is an entry VM or a stand-in that runs as a separate process. rules is the path of the file with the fault
// rules of an entry VM.
type process struct {
	name, address, rules string
	args                 []string
	command              *exec.Cmd
	exited               chan struct{}
}

func (p *process) start(program string) {
	p.command = exec.Command(filepath.Join(binaryDir, program), p.args...)
	p.command.Stdout, p.command.Stderr = GinkgoWriter, GinkgoWriter
	Expect(p.command.Start()).To(Succeed())
	p.exited = make(chan struct{})
	go func(command *exec.Cmd, exited chan struct{}) {
		_ = command.Wait()
		close(exited)
	}(p.command, p.exited)
}

func (p *process) signal(signal syscall.Signal) { _ = p.command.Process.Signal(signal) }

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// tier is a control group with three entry VMs and stand-ins for the upstreams: two for each of four search services
// and two for a booking service.
type tier struct {
	*group
	entries   []*process
	upstreams map[string]*process
}

func startTier() *tier {
	t := &tier{group: startGroup(), upstreams: map[string]*process{}}
	DeferCleanup(t.stopTier)
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
	Eventually(func() int { return t.upstreamCount(model.UpstreamReady) }, readyTimeout, pollInterval).Should(Equal(10))
	for _, e := range t.entries {
		Eventually(func() int { return healthStatus(e) }, readyTimeout, pollInterval).Should(Equal(http.StatusOK))
	}
	ready, cancelReady := context.WithTimeout(context.Background(), readyTimeout)
	defer cancelReady()
	Expect(t.client.WaitInForce(ready, t.view().Revision)).To(Succeed())
	return t
}

func (t *tier) startEntry(n int) {
	host := loopbackIP(20 + n)
	e := &process{name: fmt.Sprintf("entry-%d", n), address: fmt.Sprintf("%s:%d", host, callerPort)}
	path := filepath.Join(t.workDir, e.name+".toml")
	e.rules = filepath.Join(t.workDir, e.name+".rules")
	addresses, err := json.Marshal(t.addresses())
	Expect(err).NotTo(HaveOccurred())
	settings := fmt.Sprintf("id = %q\nfailure_domain = \"halle-a\"\ncaller_address = %q\nrpc_address = %q\ncontrol_addresses = %s\nlame_duck_ms = 300\nfault_rules_file = %q\n",
		e.name, e.address, fmt.Sprintf("%s:%d", host, peerPort), addresses, e.rules)
	// WMUX_TRACE_DIR is set to record the traces in internal/trace/testdata.
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
	u.address = fmt.Sprintf("%s:%d", loopbackIP(100+len(t.upstreams)), upstreamPort)
	u.args = []string{
		"--name", u.name, "--service", service, "--failure-domain", "halle-a", "--address", u.address,
		"--entry", "http://" + t.entries[0].address + ",http://" + t.entries[1].address, "--crash-marker", crashMarker,
	}
	u.start("wmux-upstream")
	t.upstreams[u.name] = u
}

func (t *tier) stopTier() {
	for _, e := range t.entries {
		e.kill()
	}
	for _, u := range t.upstreams {
		u.kill()
	}
}

func (t *tier) upstreamCount(state model.UpstreamState) int {
	upstreamCount := 0
	for _, upstream := range t.view().Upstreams {
		if upstream.State == state {
			upstreamCount++
		}
	}
	return upstreamCount
}

func (t *tier) stats(name string) standin.Stats {
	var stats standin.Stats
	response, err := http.Get("http://" + t.upstreams[name].address + "/admin/stats")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	Expect(json.NewDecoder(response.Body).Decode(&stats)).To(Succeed())
	return stats
}

func healthStatus(e *process) int {
	response, err := http.Get("http://" + e.address + "/healthz")
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// result is what a caller sees. Status 0 means that no complete response arrived.
type result struct {
	status  int
	search  entry.SearchResponse
	booking entry.BookingResponse
}

func post(e *process, path string, request any, out any) int {
	body, err := json.Marshal(request)
	Expect(err).NotTo(HaveOccurred())
	response, err := http.Post("http://"+e.address+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(response.Body).Decode(out); err != nil {
		return 0
	}
	return response.StatusCode
}

func (t *tier) search(e *process, query string) result {
	var r result
	r.status = post(e, "/v1/search", entry.SearchRequest{Services: []string{"clerk-*"}, Query: query, TimeoutMillis: 2_000}, &r.search)
	return r
}

func (t *tier) book(e *process, key string) result {
	var r result
	request := entry.BookingRequest{Service: "settlement", Key: key, Payload: json.RawMessage(`{"lot":1}`), TimeoutMillis: 2_000}
	r.status = post(e, "/v1/bookings", request, &r.booking)
	return r
}

// searchLoad sends searches to healthy entry VMs, as a load balancer with health checks does, until it is stopped. It
// counts the results.
type searchLoad struct {
	tier    *tier
	stop    chan struct{}
	running sync.WaitGroup
	// false counts the responses whose items contradict the query, the index version or the reported coverage.
	answered, disconnected, false atomic.Int64
	// notRun counts the statuses 429 and 503, which mean that the search was not run. failed counts all other errors.
	notRun, failed atomic.Int64
}

func (t *tier) startSearchLoad(clients int) *searchLoad {
	load := &searchLoad{tier: t, stop: make(chan struct{})}
	for client := range clients {
		load.running.Go(func() { load.run(client) })
	}
	return load
}

func (l *searchLoad) run(client int) {
	defer GinkgoRecover()
	for n := client; ; n++ {
		select {
		case <-l.stop:
			return
		default:
		}
		e := l.tier.entries[n%len(l.tier.entries)]
		if healthStatus(e) != http.StatusOK {
			time.Sleep(pollInterval)
			continue
		}
		l.checkSearch(l.tier.search(e, fmt.Sprintf("query-%d", n)), fmt.Sprintf("query-%d", n))
	}
}

// checkSearch counts a result. It compares the reported coverage with the shards whose items the response contains.
func (l *searchLoad) checkSearch(r result, query string) {
	switch r.status {
	case http.StatusOK, http.StatusPartialContent:
		l.answered.Add(1)
	case 0:
		l.disconnected.Add(1)
		return
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		l.notRun.Add(1)
		return
	default:
		l.failed.Add(1)
		return
	}
	seen := map[model.ShardID]int{}
	for _, raw := range r.search.Items {
		var item standin.Item
		if json.Unmarshal(raw, &item) != nil || item.Query != query || item.Version != r.search.Snapshot.Version {
			l.false.Add(1)
			return
		}
		seen[model.ShardID{Service: item.Service, Shard: item.Shard}]++
	}
	for _, shard := range r.search.Coverage.Included {
		if seen[shard] != 1 {
			l.false.Add(1)
			return
		}
	}
	if len(seen) != len(r.search.Coverage.Included) {
		l.false.Add(1)
	}
}

func (l *searchLoad) finish() {
	close(l.stop)
	l.running.Wait()
	AddReportEntry("searches", fmt.Sprintf("answered %d, not run %d, failed %d, disconnected %d, false coverage %d",
		l.answered.Load(), l.notRun.Load(), l.failed.Load(), l.disconnected.Load(), l.false.Load()))
}

var _ = Describe("a tier of processes", Ordered, func() {
	var t *tier
	BeforeEach(func() { t = startTier() })

	It("interrupts no search and reports no false coverage while half of the upstreams are drained (P2, P6, P7)", func() {
		load := t.startSearchLoad(6)
		time.Sleep(500 * time.Millisecond)
		output, exitCode := t.wmuxctl("shrink", "apply", "--fraction", "0.5", "--headroom", "1", "--id", "half")
		Expect(exitCode).To(BeZero(), output)
		Eventually(func() int { return t.upstreamCount(model.UpstreamDrained) }, 30*time.Second, pollInterval).Should(Equal(5))
		receivedBefore := map[string]uint64{}
		for _, upstream := range t.view().Upstreams {
			if upstream.State == model.UpstreamDrained {
				receivedBefore[upstream.Name] = t.stats(upstream.Name).Received
			}
		}
		time.Sleep(time.Second)
		for name, before := range receivedBefore {
			Expect(t.stats(name).Received).To(Equal(before), "%s received requests after it was drained", name)
		}
		load.finish()
		Expect(load.disconnected.Load()).To(BeZero())
		Expect(load.notRun.Load()).To(BeZero())
		Expect(load.failed.Load()).To(BeZero())
		Expect(load.false.Load()).To(BeZero())
		Expect(load.answered.Load()).To(BeNumerically(">", 100))
	})

	It("interrupts no search in flight at a planned stop of an entry VM (P7)", func() {
		load := t.startSearchLoad(6)
		time.Sleep(500 * time.Millisecond)
		stopped := t.entries[2]
		stopped.signal(syscall.SIGTERM)
		Eventually(func() int { return healthStatus(stopped) }, readyTimeout, time.Millisecond).Should(Or(Equal(http.StatusServiceUnavailable), BeZero()))
		Eventually(stopped.exited, readyTimeout).Should(BeClosed())
		time.Sleep(500 * time.Millisecond)
		load.finish()
		Expect(load.disconnected.Load()).To(BeZero())
		Expect(load.failed.Load()).To(BeZero())
		Expect(load.false.Load()).To(BeZero())
	})

	It("never runs a booking twice when entry VMs are killed and callers retry it at another one (P5)", func() {
		outcomes := map[string]int{}
		var mu sync.Mutex
		var clients sync.WaitGroup
		for client := range 8 {
			clients.Go(func() {
				defer GinkgoRecover()
				for n := range 25 {
					key := fmt.Sprintf("booking-%d-%d", client, n)
					status := t.book(t.entries[(client+n)%3], key).status
					for attempt := 0; status != http.StatusOK && status != http.StatusGatewayTimeout && attempt < 40; attempt++ {
						time.Sleep(100 * time.Millisecond)
						status = t.book(t.entries[(client+n+attempt)%3], key).status
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
		clients.Wait()
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
		AddReportEntry("bookings", fmt.Sprintf("answered %d, outcome unknown %d, run twice 0, lost 0", answered, unknown))
	})

	It("quarantines a request that crashes every upstream, while no other search is interrupted or reports false coverage", func() {
		load := t.startSearchLoad(4)
		statuses := map[int]int{}
		for range 12 {
			statuses[t.search(t.entries[0], crashMarker).status]++
			t.restartCrashed()
			time.Sleep(200 * time.Millisecond)
		}
		load.finish()
		AddReportEntry("statuses of the crashing request", fmt.Sprint(statuses))
		Expect(statuses[http.StatusUnprocessableEntity]).To(BeNumerically(">", 0), "the request was never quarantined: %v", statuses)
		Expect(statuses[http.StatusOK]).To(BeZero())
		Expect(load.disconnected.Load()).To(BeZero())
		Expect(load.false.Load()).To(BeZero())
	})

	It("answers new requests with 503 at an entry VM that is partitioned from control, and serves them again afterwards (P6, P8)", func() {
		isolated := t.entries[2]
		var rules bytes.Buffer
		for _, m := range t.members {
			fmt.Fprintf(&rules, "both %s\n", m.host)
		}
		Expect(os.WriteFile(isolated.rules, rules.Bytes(), 0o600)).To(Succeed())
		Eventually(func() int { return healthStatus(isolated) }, 5*time.Second, pollInterval).Should(Equal(http.StatusServiceUnavailable))
		Expect(t.search(isolated, "cut off").status).To(Equal(http.StatusServiceUnavailable))
		Expect(t.search(t.entries[0], "fine").status).To(Equal(http.StatusOK))
		Expect(os.Remove(isolated.rules)).To(Succeed())
		Eventually(func() int { return healthStatus(isolated) }, readyTimeout, pollInterval).Should(Equal(http.StatusOK))
	})

	It("sends no request to a drained upstream from an entry VM that was frozen during the drain (P6)", func() {
		frozen := t.entries[2]
		frozen.signal(syscall.SIGSTOP)
		output, exitCode := t.wmuxctl("drain", "upstream", "clerk-0-0", "--wait")
		Expect(exitCode).To(BeZero(), output)
		Eventually(func() int { return t.search(t.entries[0], "while frozen").status }, readyTimeout, pollInterval).Should(Equal(http.StatusOK))
		before := t.stats("clerk-0-0").Received
		frozen.signal(syscall.SIGCONT)
		for range 50 {
			t.search(frozen, "after the freeze")
			t.search(t.entries[0], "at the same time")
		}
		Expect(t.stats("clerk-0-0").Received).To(Equal(before))
		Eventually(func() int { return t.search(frozen, "resumed").status }, readyTimeout, pollInterval).Should(Equal(http.StatusOK))
	})
})

// restartCrashed restarts the stand-ins that the crash marker has crashed, as a process supervisor does.
func (t *tier) restartCrashed() {
	for _, u := range t.upstreams {
		select {
		case <-u.exited:
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
