// Package searchtest tests searches through several entry daemons with upstreams over real connections.
package searchtest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/balance"
	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/controlstate"
	"github.com/wisteriamux/wisteriamux/internal/entry"
	"github.com/wisteriamux/wisteriamux/internal/membership"
	"github.com/wisteriamux/wisteriamux/internal/model"
	"github.com/wisteriamux/wisteriamux/internal/upstreamapi"
)

func TestSearch(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Search")
}

// upstream is a search upstream that records the requests it receives and answers each after hold.
type upstream struct {
	server  *httptest.Server
	hold    time.Duration
	release chan struct{}

	mu         sync.Mutex
	running    int
	maxRunning int
	conns      map[string]bool
	requestIDs map[string]bool
	cancelled  int
}

func startUpstream(hold time.Duration) *upstream {
	u := &upstream{hold: hold, release: make(chan struct{}), conns: map[string]bool{}, requestIDs: map[string]bool{}}
	u.server = httptest.NewServer(u)
	return u
}

func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var request upstreamapi.SearchRequest
	_ = json.NewDecoder(r.Body).Decode(&request)
	u.mu.Lock()
	u.running++
	u.maxRunning = max(u.maxRunning, u.running)
	u.conns[r.RemoteAddr] = true
	u.requestIDs[r.Header.Get(upstreamapi.HeaderRequestID)] = true
	u.mu.Unlock()
	defer func() { u.mu.Lock(); u.running--; u.mu.Unlock() }()
	select {
	case <-time.After(u.hold):
	case <-u.release:
	case <-r.Context().Done():
		u.mu.Lock()
		u.cancelled++
		u.mu.Unlock()
		return
	}
	version, _ := strconv.ParseUint(r.Header.Get(upstreamapi.HeaderIndexVersion), 10, 64)
	generation, _ := strconv.ParseUint(r.Header.Get(upstreamapi.HeaderShardGeneration), 10, 64)
	item, _ := json.Marshal(request.Query)
	_ = json.NewEncoder(w).Encode(upstreamapi.SearchResponse{Version: version, Generation: generation, Items: []json.RawMessage{item}})
}

func (u *upstream) read(field func(u *upstream) int) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return field(u)
}

func cancelled(u *upstream) int { return u.cancelled }
func started(u *upstream) int   { return len(u.requestIDs) }

// control is a control group that grants every lease and always returns the same view.
type control struct {
	membership.Control
	view model.View
}

func (c *control) Join(context.Context, model.Member) (uint64, error) { return 1, nil }

func (c *control) Renew(context.Context, controlrpc.RenewArgs) (controlrpc.RenewReply, error) {
	return controlrpc.RenewReply{LeaseMillis: 4_000, Revision: c.view.Revision}, nil
}

func (c *control) View(context.Context, uint64) (model.View, bool, error) { return c.view, false, nil }

func (c *control) WaitInForce(context.Context, uint64) error { return nil }

func (c *control) Propose(context.Context, controlstate.Command) (controlstate.Result, error) {
	return controlstate.Result{}, nil
}

// cluster holds entry daemons and upstreams that run in this process.
type cluster struct {
	urls      []string
	addresses []string
	peers     []net.Listener
	upstreams []*upstream
	stops     []context.CancelFunc

	mu    sync.Mutex
	conns map[string][]net.Conn
}

const slots = 2

// startCluster starts entry daemons, and for each service two upstreams as replicas of its only shard.
func startCluster(entries, services int, hold time.Duration, config entry.Config) *cluster {
	c := &cluster{conns: map[string][]net.Conn{}}
	view := model.View{Revision: 5, Config: model.Configuration{Rules: []model.Rule{{Service: "s*", WaitShare: 0.9, PartialAllowed: false}}}}
	for s := range services {
		name := fmt.Sprintf("s%d", s)
		view.Config.Inventory.Services = append(view.Config.Inventory.Services, model.Service{Name: name, Kind: model.ServiceSearch})
		for r := range 2 {
			u := startUpstream(hold)
			c.upstreams = append(c.upstreams, u)
			view.Upstreams = append(view.Upstreams, model.Upstream{State: model.UpstreamReady, Announcement: model.Announcement{
				Name: fmt.Sprintf("%s-%d", name, r), Service: name, FailureDomain: fmt.Sprint(r), Address: u.server.Listener.Addr().String(),
				ShardCount: 1, Generation: 1, MinVersion: 1, MaxVersion: 1, Slots: slots, Connections: 6,
			}})
		}
	}
	var callers []net.Listener
	for n := range entries {
		callers = append(callers, listen())
		c.peers = append(c.peers, listen())
		c.addresses = append(c.addresses, c.peers[n].Addr().String())
		c.urls = append(c.urls, "http://"+callers[n].Addr().String())
		view.Members = append(view.Members, model.Member{ID: fmt.Sprintf("e%d", n), Instance: 1, RPCAddress: c.addresses[n]})
	}
	for n := range entries {
		ctx, stop := context.WithCancel(context.Background())
		c.stops = append(c.stops, stop)
		own := config
		own.ID = fmt.Sprintf("e%d", n)
		own.DrainTimeout = time.Second
		server := entry.New(own, &control{view: view}, c.addresses[n], c.dial, slog.New(slog.NewTextHandler(io.Discard, nil)))
		go func() { defer GinkgoRecover(); _ = server.Run(ctx, callers[n], c.peers[n]) }()
		Eventually(func() int { return status(c.urls[n] + "/healthz") }).Should(Equal(http.StatusOK))
	}
	DeferCleanup(c.stop)
	return c
}

func listen() net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	return listener
}

// dial opens a connection between entry VMs and records it for cutOwner.
func (c *cluster) dial(address string) (net.Conn, error) {
	conn, err := net.Dial("tcp", address)
	if err == nil {
		c.mu.Lock()
		c.conns[address] = append(c.conns[address], conn)
		c.mu.Unlock()
	}
	return conn, err
}

// disconnectOwner closes the owner's listener for peers and all connections to it.
func (c *cluster) disconnectOwner(n int) {
	_ = c.peers[n].Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns[c.addresses[n]] {
		_ = conn.Close()
	}
}

func (c *cluster) stop() {
	for _, stop := range c.stops {
		stop()
	}
	for _, u := range c.upstreams {
		u.server.CloseClientConnections()
		u.server.Close()
	}
}

func status(url string) int {
	response, err := http.Get(url)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

type answer struct {
	HTTP      int
	RequestID string `json:"request_id"`
	Items     []string
	Coverage  model.Coverage
}

func search(ctx context.Context, url, query string, timeout time.Duration) answer {
	body := fmt.Sprintf(`{"services":["s*"],"query":%q,"timeout_ms":%d}`, query, timeout.Milliseconds())
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/search", bytes.NewBufferString(body))
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(entry.HeaderCaller, strings.SplitN(query, "/", 2)[0])
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer{}
	}
	defer func() { _ = response.Body.Close() }()
	var got answer
	_ = json.NewDecoder(response.Body).Decode(&got)
	got.HTTP = response.StatusCode
	return got
}

// searchConcurrently sends searches through all entry VMs at the same time and returns the answers by query.
func (c *cluster) searchConcurrently(count int, timeout time.Duration) map[string]answer {
	var mu sync.Mutex
	var all sync.WaitGroup
	answers := map[string]answer{}
	for n := range count {
		all.Go(func() {
			query := fmt.Sprintf("caller-%d/%d", n%3, n)
			got := search(context.Background(), c.urls[n%len(c.urls)], query, timeout)
			mu.Lock()
			defer mu.Unlock()
			answers[query] = got
		})
	}
	all.Wait()
	return answers
}

var _ = Describe("Search", func() {
	It("limits the requests in flight at each upstream to its slots across all entry VMs, and uses all slots", func() {
		c := startCluster(3, 2, 3*time.Millisecond, entry.Config{Balance: balance.Observed})
		for query, got := range c.searchConcurrently(150, 20*time.Second) {
			Expect(got.HTTP).To(Equal(http.StatusOK))
			Expect(got.Items).To(Equal([]string{query, query}), "P3: the items must belong to the caller's own request")
		}
		for _, u := range c.upstreams {
			Expect(u.maxRunning).To(Equal(slots))
			Expect(len(u.conns)).To(BeNumerically("<=", 6))
		}
	})

	It("refuses as not run only requests that reached no upstream", func() {
		c := startCluster(2, 2, 20*time.Millisecond, entry.Config{Balance: balance.Observed, Hedging: true})
		refused := 0
		for range 3 {
			for _, got := range c.searchConcurrently(120, 150*time.Millisecond) {
				if got.HTTP != http.StatusServiceUnavailable && got.HTTP != http.StatusTooManyRequests {
					continue
				}
				refused++
				for _, u := range c.upstreams {
					Expect(u.read(func(u *upstream) int { return boolToInt(u.requestIDs[got.RequestID]) })).To(BeZero(), "P4: a request refused as not run has run")
				}
			}
		}
		Expect(refused).To(BeNumerically(">", 0), "the load must be high enough to cause refusals")
	})

	It("cancels the requests to upstreams when the caller disconnects, whichever entry VM owns them", func() {
		c := startCluster(3, 3, time.Minute, entry.Config{Balance: balance.Observed})
		ctx, disconnect := context.WithCancel(context.Background())
		go search(ctx, c.urls[0], "disconnecting", 50*time.Second)
		Eventually(func() int { return c.total(started) }).Should(Equal(3))
		disconnect()
		Eventually(func() int { return c.total(cancelled) }).Should(Equal(3))
	})

	It("retries on the other replica without waiting for the deadline when the connection to an owner is lost", func() {
		const services = 20
		c := startCluster(2, services, time.Minute, entry.Config{Balance: balance.Observed})
		answers := make(chan answer, 1)
		go func() { answers <- search(context.Background(), c.urls[0], "q", 50*time.Second) }()
		Eventually(func() int { return c.total(started) }).Should(Equal(services))
		c.disconnectOwner(1)
		for _, u := range c.upstreams {
			close(u.release)
		}
		var got answer
		Eventually(answers).WithTimeout(10 * time.Second).Should(Receive(&got))
		Expect(got.HTTP).To(Equal(http.StatusOK))
		Expect(got.Items).To(HaveLen(services))
		Expect(c.total(started)).To(BeNumerically(">", services), "the lost sub-requests must be sent again")
	})

	It("sends from the caller's entry VM directly to all upstreams with direct ownership", func() {
		c := startCluster(2, 2, time.Millisecond, entry.Config{Balance: balance.Random, Ownership: entry.OwnershipDirect})
		for _, got := range c.searchConcurrently(40, 20*time.Second) {
			Expect(got.HTTP).To(Equal(http.StatusOK))
		}
		Expect(c.conns).To(BeEmpty(), "no entry VM may call another")
	})
})

func boolToInt(yes bool) int {
	if yes {
		return 1
	}
	return 0
}

func (c *cluster) total(field func(u *upstream) int) int {
	sum := 0
	for _, u := range c.upstreams {
		sum += u.read(field)
	}
	return sum
}
