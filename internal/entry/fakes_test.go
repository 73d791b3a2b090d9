package entry

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
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/controlstate"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/membership"
	"github.com/wisteriamux/wisteriamux/internal/model"
	"github.com/wisteriamux/wisteriamux/internal/upstreamapi"
)

func TestEntry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Entry")
}

// fakeControl is an in-memory control group.
type fakeControl struct {
	mu    sync.Mutex
	state *controlstate.State
	index uint64
	// applied holds the revision that each entry VM reported at its last renewal.
	applied map[string]uint64
}

func newFakeControl() *fakeControl {
	control := &fakeControl{state: controlstate.New(), applied: map[string]uint64{}}
	control.apply(controlstate.Command{ApplyConfig: &controlstate.ApplyConfig{ChangeID: "setup", Inventory: model.Inventory{
		Regions:        []model.Region{{Name: "r"}},
		FailureDomains: []model.FailureDomain{{Name: "halle-a", Region: "r"}, {Name: "halle-b", Region: "r"}},
		Services:       []model.Service{{Name: "settlement", Kind: model.ServiceBooking}, {Name: "clerk", Kind: model.ServiceSearch}},
		Upstreams:      []model.InventoryUpstream{{Name: "listed", Service: "settlement", FailureDomain: "halle-a"}},
	}}})
	return control
}

func (c *fakeControl) apply(command controlstate.Command) controlstate.Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.index++
	command.UnixMillis = time.Now().UnixMilli()
	return c.state.Apply(c.index, command)
}

func (c *fakeControl) view() model.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	return *c.state.View()
}

func (c *fakeControl) booking(key string) controlstate.Booking {
	c.mu.Lock()
	defer c.mu.Unlock()
	record, _ := c.state.Booking(key)
	return record
}

func (c *fakeControl) upstream(name string) model.Upstream {
	for _, upstream := range c.view().Upstreams {
		if upstream.Name == name {
			return upstream
		}
	}
	return model.Upstream{}
}

// drain announces the upstream as draining.
func (c *fakeControl) drain(name string) {
	leaving := c.upstream(name).Announcement
	leaving.Draining = true
	c.apply(controlstate.Command{AnnounceUpstream: &controlstate.AnnounceUpstream{Announcement: leaving}})
}

// expire ends the membership of an entry VM, as control does at the end of its lease.
func (c *fakeControl) expire(id string) {
	for _, member := range c.view().Members {
		if member.ID == id {
			c.apply(controlstate.Command{ExpireMember: &controlstate.ExpireMember{ID: id, Instance: member.Instance}})
		}
	}
}

// controlPort is the connection of one entry VM to the fake control group. Calls fail while down is set. If stale is
// set, View returns that older view.
type controlPort struct {
	*fakeControl
	down  atomic.Bool
	stale atomic.Pointer[model.View]
}

func (p *controlPort) checkReachable() error {
	if p.down.Load() {
		return fault.New(fault.Unavailable, "port", "control group is unreachable")
	}
	return nil
}

func (p *controlPort) Join(_ context.Context, member model.Member) (uint64, error) {
	if err := p.checkReachable(); err != nil {
		return 0, err
	}
	return p.apply(controlstate.Command{JoinMember: &controlstate.JoinMember{Member: member}}).Instance, nil
}

func (p *controlPort) Renew(_ context.Context, args controlrpc.RenewArgs) (controlrpc.RenewReply, error) {
	if err := p.checkReachable(); err != nil {
		return controlrpc.RenewReply{}, err
	}
	p.mu.Lock()
	p.applied[args.ID] = args.Applied
	p.mu.Unlock()
	view := p.view()
	for _, member := range view.Members {
		if member.ID == args.ID && member.Instance == args.Instance {
			return controlrpc.RenewReply{LeaseMillis: 4000, Revision: view.Revision}, nil
		}
	}
	return controlrpc.RenewReply{}, fault.New(fault.Fenced, "port", "this instance is fenced")
}

func (p *controlPort) View(context.Context, uint64) (model.View, bool, error) {
	if stale := p.stale.Load(); stale != nil {
		return *stale, false, nil
	}
	return p.view(), false, p.checkReachable()
}

func (p *controlPort) Propose(_ context.Context, command controlstate.Command) (controlstate.Result, error) {
	if err := p.checkReachable(); err != nil {
		return controlstate.Result{}, err
	}
	result := p.apply(command)
	return result, result.Fault.AsError()
}

// inForce reports whether every member has applied the revision.
func (c *fakeControl) inForce(revision uint64) bool {
	members := c.view().Members
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, member := range members {
		if c.applied[member.ID] < revision {
			return false
		}
	}
	return true
}

func (p *controlPort) WaitInForce(ctx context.Context, revision uint64) error {
	for !p.inForce(revision) {
		if ctx.Err() != nil || p.checkReachable() != nil {
			return fault.New(fault.Unavailable, "port", "revision %d is not in force", revision)
		}
		time.Sleep(time.Millisecond)
	}
	return nil
}

// testClock adds offsets, set by the test, to the system clocks.
type testClock struct{ mono, wall atomic.Int64 }

func (c *testClock) clock() membership.Clock {
	system := membership.SystemClock()
	return membership.Clock{
		Mono: func() time.Duration { return system.Mono() + time.Duration(c.mono.Load()) },
		Wall: func() time.Time { return system.Wall().Add(time.Duration(c.wall.Load())) },
	}
}

// vm is an entry daemon under test.
type vm struct {
	*Server
	controlPort *controlPort
	clock       *testClock
	url         string
	stop        context.CancelFunc
	done        chan error
}

func startVM(control *fakeControl, id string, adjust func(*Config)) *vm {
	return startVMWithLog(control, id, adjust, slog.New(slog.NewTextHandler(GinkgoWriter, nil)))
}

func startVMWithLog(control *fakeControl, id string, adjust func(*Config), log *slog.Logger) *vm {
	callers, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	peers, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	config := Config{ID: id, FailureDomain: "halle-a", LameDuck: 50 * time.Millisecond, DrainTimeout: 10 * time.Second}
	if adjust != nil {
		adjust(&config)
	}
	v := &vm{controlPort: &controlPort{fakeControl: control}, clock: &testClock{}, url: "http://" + callers.Addr().String(), done: make(chan error, 1)}
	v.Server = newServer(config, v.controlPort, peers.Addr().String(), controlrpc.PlainDialer, v.clock.clock(), log)
	ctx, stop := context.WithCancel(context.Background())
	v.stop = stop
	go func() { v.done <- v.Run(ctx, callers, peers) }()
	DeferCleanup(v.kill)
	Eventually(func() error { _, err := v.session.ViewForNewWork(); return err }, 5).Should(Succeed())
	return v
}

// kill stops the daemon without a drain. Requests that it has sent to upstreams keep running there.
func (v *vm) kill() {
	v.controlPort.down.Store(true)
	v.peerMu.Lock()
	v.peersClosed = true
	for conn := range v.peerConns {
		_ = conn.Close()
	}
	v.peerMu.Unlock()
	_ = v.http.Close()
}

// sync makes the VM fetch the newest view and serve from it.
func (v *vm) sync() {
	GinkgoHelper()
	Expect(v.session.FetchView(context.Background())).To(Succeed())
}

// fakeUpstream answers bookings and searches, and counts how often each booking key ran.
type fakeUpstream struct {
	*httptest.Server
	mu      sync.Mutex
	runs    map[string]int
	started chan struct{}
	// hold blocks started requests until it is closed; nil blocks none.
	hold chan struct{}
	// testEnded releases blocked requests at the end of a test that failed before it closed hold.
	testEnded chan struct{}
	// crashOn makes the upstream close all its connections, like a crash, when a request body contains it.
	crashOn string
	delay   time.Duration
}

func startUpstream(control *fakeControl, name, service string, slots int) *fakeUpstream {
	u := &fakeUpstream{runs: map[string]int{}, started: make(chan struct{}, 1000), testEnded: make(chan struct{})}
	u.Server = httptest.NewServer(http.HandlerFunc(u.serve))
	DeferCleanup(func() { close(u.testEnded); u.CloseClientConnections(); u.Close() })
	announcement := u.announcement(name, service)
	announcement.Slots = slots
	control.apply(controlstate.Command{AnnounceUpstream: &controlstate.AnnounceUpstream{Announcement: announcement}})
	return u
}

func (u *fakeUpstream) announcement(name, service string) model.Announcement {
	return model.Announcement{
		Name: name, Instance: "1", Service: service, Address: u.Listener.Addr().String(), ShardCount: 1,
		MinVersion: 1, MaxVersion: 1, Slots: 2, Connections: 20,
	}
}

func (u *fakeUpstream) serve(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	key := r.Header.Get(upstreamapi.HeaderBookingKey)
	u.mu.Lock()
	u.runs[key]++
	u.mu.Unlock()
	u.started <- struct{}{}
	if u.crashOn != "" && strings.Contains(string(body), u.crashOn) {
		u.CloseClientConnections()
		return
	}
	time.Sleep(u.delay)
	if u.hold != nil {
		select {
		case <-u.hold:
		case <-u.testEnded:
		}
	}
	if r.URL.Path == upstreamapi.PathSearch {
		_, _ = io.WriteString(w, `{"version":1,"generation":0,"items":["found"]}`)
		return
	}
	_, _ = fmt.Fprintf(w, `{"booked":%q}`, key)
}

func (u *fakeUpstream) runCount(key string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[key]
}

// response is the response that a caller receives.
type response struct {
	status int
	header http.Header
	body   map[string]any
	err    error
}

var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

func send(method, url, contentType, body string) response {
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return response{err: err}
	}
	request.Header.Set("Content-Type", contentType)
	answer, err := client.Do(request)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = answer.Body.Close() }()
	result := response{status: answer.StatusCode, header: answer.Header}
	data, err := io.ReadAll(answer.Body)
	if err == nil && len(bytes.TrimSpace(data)) > 0 {
		err = json.Unmarshal(data, &result.body)
	}
	result.err = err
	return result
}

func (v *vm) book(key string, timeoutMillis int) response {
	return v.bookPayload(key, `{"lot":1}`, timeoutMillis)
}

func (v *vm) bookPayload(key, payload string, timeoutMillis int) response {
	body := fmt.Sprintf(`{"service":"settlement","key":%q,"payload":%s,"timeout_ms":%d}`, key, payload, timeoutMillis)
	return send(http.MethodPost, v.url+"/v1/bookings", "application/json", body)
}

// ownerAndOther returns the VM that owns the upstream, and another one.
func ownerAndOther(upstream string, vms ...*vm) (owner, other *vm) {
	id := vms[0].session.LatestView().Owners[upstream].ID
	for _, v := range vms {
		if v.config.ID == id {
			owner = v
		} else {
			other = v
		}
	}
	return owner, other
}

// startPair starts two VMs and makes both serve from the newest view.
func startPair(control *fakeControl) (a, b *vm) {
	a = startVM(control, "entry-1", nil)
	b = startVM(control, "entry-2", nil)
	a.sync()
	b.sync()
	return a, b
}
