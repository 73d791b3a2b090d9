// Package processes_test runs the real binaries and fails them in the ways that the design page lists.
package processes_test

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/controlstate"
	"github.com/wisteriamux/wisteriamux/internal/model"
)

func TestProcesses(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Processes")
}

const (
	// inForceBound is the bound of the design page for P8.
	inForceBound = 10 * time.Second
	readyTimeout = 15 * time.Second
	callTimeout  = 15 * time.Second
	poll         = 20 * time.Millisecond
)

var binaries string

var _ = BeforeSuite(func() {
	var err error
	binaries, err = os.MkdirTemp("", "wmux-processes-")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(os.RemoveAll, binaries)
	build := exec.Command("go", "build", "-o", binaries+"/", "../../cmd/wmux-control", "../../cmd/wmux-entry",
		"../../cmd/wmux-upstream", "../../cmd/wmuxctl")
	output, err := build.CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(output))
})

// member is one wmux-control process with its own loopback address, so that a cut can name it.
type member struct {
	name, host, address, dir string
	running                  *exec.Cmd
}

// group is a control group of processes.
type group struct {
	root    string
	members []*member
	client  *controlrpc.Client
}

// startGroup returns a running group of three voters.
func startGroup() *group {
	g := &group{root: GinkgoT().TempDir()}
	DeferCleanup(g.end)
	for n := 1; n <= 3; n++ {
		host := loopback(10 + n)
		m := &member{name: fmt.Sprintf("control-%d", n), host: host, address: fmt.Sprintf("%s:%d", host, controlPort)}
		m.dir = filepath.Join(g.root, m.name)
		settings := fmt.Sprintf("id = %q\nfailure_domain = \"halle-%d\"\nrpc_address = %q\ndata_dir = %q\nfault_rules_file = %q\nsnapshot_entries = 200\n",
			m.name, n, m.address, m.dir, m.rules())
		Expect(os.WriteFile(m.settings(), []byte(settings), 0o600)).To(Succeed())
		g.members = append(g.members, m)
	}
	output, err := exec.Command(filepath.Join(binaries, "wmux-control"), "bootstrap", "--settings", g.members[0].settings()).CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(output))
	for _, m := range g.members {
		m.start()
	}
	g.client = controlrpc.NewClient(g.addresses(), controlrpc.PlainDialer)
	for _, m := range g.members[1:] {
		g.add(m)
	}
	g.awaitVoters(3)
	return g
}

// within returns a context that ends after the time or with the spec.
func within(limit time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	DeferCleanup(cancel)
	return ctx
}

// The ports lie below the range from which the kernel takes the ports of outgoing connections. A port that the kernel
// chose for a listener could be taken again by a connection before the process under test binds it.
const (
	controlPort  = 7000
	callerPort   = 8000
	peerPort     = 8100
	upstreamPort = 9000
)

// loopback returns the address of a VM. It depends on the test process, so that two runs on one machine do not meet.
func loopback(vm int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+(pid>>8)%127, pid%256, vm)
}

func (m *member) settings() string { return m.dir + ".toml" }

func (m *member) rules() string { return m.dir + ".rules" }

func (m *member) start() {
	m.running = exec.Command(filepath.Join(binaries, "wmux-control"), "run", "--settings", m.settings())
	m.running.Stderr = GinkgoWriter
	Expect(m.running.Start()).To(Succeed())
}

func (m *member) signal(signal syscall.Signal) {
	Expect(m.running.Process.Signal(signal)).To(Succeed())
}

// kill ends the process like kill -9.
func (m *member) kill() {
	if m.running == nil {
		return
	}
	_ = m.running.Process.Kill()
	_ = m.running.Wait()
	m.running = nil
}

// cut replaces the fault rules of the member. An empty list lifts the cut.
func (m *member) cut(direction string, peers ...*member) {
	var rules strings.Builder
	for _, peer := range peers {
		fmt.Fprintf(&rules, "%s %s\n", direction, peer.host)
	}
	Expect(os.WriteFile(m.rules()+".new", []byte(rules.String()), 0o600)).To(Succeed())
	Expect(os.Rename(m.rules()+".new", m.rules())).To(Succeed())
}

func (g *group) end() {
	for _, m := range g.members {
		m.kill()
	}
	if g.client != nil {
		g.client.Close()
	}
}

func (g *group) addresses() []string {
	var addresses []string
	for _, m := range g.members {
		addresses = append(addresses, m.address)
	}
	return addresses
}

func (g *group) add(m *member) {
	Eventually(func() error {
		return g.client.GroupAdd(within(callTimeout), controlrpc.GroupAddArgs{Name: m.name, Address: m.address})
	}, readyTimeout, poll).Should(Succeed())
}

// awaitVoters waits until the leader lists the number of voters and no other member.
func (g *group) awaitVoters(want int) {
	Eventually(func() (roles []string) {
		for _, m := range g.groupMembers() {
			if m.Role != "leader" {
				roles = append(roles, m.Role)
			}
		}
		return roles
	}, readyTimeout, poll).Should(And(HaveLen(want-1), HaveEach("voter")))
}

func (g *group) groupMembers() []controlrpc.GroupMember {
	members, err := g.client.GroupMembers(within(callTimeout))
	Expect(err).NotTo(HaveOccurred())
	return members
}

func (g *group) leader() *member {
	status, err := g.client.Status(within(callTimeout))
	Expect(err).NotTo(HaveOccurred())
	for _, m := range g.members {
		if m.name == status.Leader {
			return m
		}
	}
	Fail("no member is named " + status.Leader)
	return nil
}

func (g *group) others(than *member) []*member {
	var others []*member
	for _, m := range g.members {
		if m != than {
			others = append(others, m)
		}
	}
	return others
}

func (g *group) view() model.View {
	view, _, err := g.client.View(within(callTimeout), 0)
	Expect(err).NotTo(HaveOccurred())
	return view
}

// ctl runs wmuxctl and returns its output and exit code.
func (g *group) ctl(args ...string) (output string, exitCode int) {
	command := exec.Command(filepath.Join(binaries, "wmuxctl"), append([]string{"--control", strings.Join(g.addresses(), ",")}, args...)...)
	combined, _ := command.CombinedOutput()
	return string(combined), command.ProcessState.ExitCode()
}

// ctlJSON runs wmuxctl and decodes its output.
func (g *group) ctlJSON(into any, args ...string) {
	output, exitCode := g.ctl(append([]string{"--json"}, args...)...)
	Expect(exitCode).To(BeZero(), output)
	Expect(json.Unmarshal([]byte(output), into)).To(Succeed(), output)
}

// inventoryFile writes an inventory whose only region has the name.
func (g *group) inventoryFile(region string) string {
	path := filepath.Join(g.root, region+".toml")
	Expect(os.WriteFile(path, []byte(fmt.Sprintf("[[region]]\nname = %q\n", region)), 0o600)).To(Succeed())
	return path
}

func changeTo(id string, base uint64) controlstate.Command {
	return controlstate.Command{ApplyConfig: &controlstate.ApplyConfig{
		ChangeID: id, BaseVersion: base, Inventory: model.Inventory{Regions: []model.Region{{Name: id}}},
	}}
}

// stream applies changes one after another and resends each under its identifier until it has an answer.
type stream struct {
	client   *controlrpc.Client
	version  uint64
	revision uint64
	lastID   string
	// longest is the longest time that one change took, which is the failover time as an operator sees it.
	longest time.Duration
}

func (g *group) newStream() *stream {
	view := g.view()
	return &stream{client: controlrpc.NewClient(g.addresses(), controlrpc.PlainDialer), version: view.Config.Version}
}

// apply makes one change and checks that it got exactly the next version, so that no accepted change was lost.
func (s *stream) apply() { s.applyAs(fmt.Sprintf("change-%d", s.version+1)) }

func (s *stream) applyAs(id string) {
	begin := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	result, err := s.client.Propose(ctx, changeTo(id, s.version))
	Expect(err).NotTo(HaveOccurred())
	Expect(result.Version).To(Equal(s.version + 1))
	s.version, s.revision, s.lastID = result.Version, result.Revision, id
	s.longest = max(s.longest, time.Since(begin))
}

func (s *stream) applyFor(duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		s.apply()
	}
}

// check compares what the group serves with the last accepted change.
func (s *stream) check(g *group) {
	view := g.view()
	Expect(view.Config.Version).To(Equal(s.version))
	Expect(view.Config.Inventory.Regions).To(Equal([]model.Region{{Name: s.lastID}}))
}

// entryVM holds a lease like an entry VM and checks that what it serves never goes back.
type entryVM struct {
	client *controlrpc.Client
	cancel context.CancelFunc
	done   chan struct{}
}

const renewInterval = time.Second

func (g *group) startEntryVM(id string) *entryVM {
	ctx, cancel := context.WithCancel(context.Background())
	e := &entryVM{client: controlrpc.NewClient(g.addresses(), controlrpc.PlainDialer), cancel: cancel, done: make(chan struct{})}
	go e.run(ctx, model.Member{ID: id, RPCAddress: "127.0.0.1:1"})
	DeferCleanup(e.stop)
	return e
}

func (e *entryVM) stop() {
	e.cancel()
	<-e.done
	e.client.Close()
}

func (e *entryVM) run(ctx context.Context, self model.Member) {
	defer GinkgoRecover()
	defer close(e.done)
	var instance, applied uint64
	for ctx.Err() == nil {
		if instance == 0 {
			instance, _ = e.client.Join(ctx, self)
		}
		if view, unchanged, err := e.client.View(ctx, applied); err == nil && !unchanged {
			Expect(view.Revision).To(BeNumerically(">=", applied), "P8: a served view went back")
			applied = view.Revision
		}
		renewCtx, cancel := context.WithTimeout(ctx, 2*renewInterval)
		if _, err := e.client.Renew(renewCtx, controlrpc.RenewArgs{ID: self.ID, Instance: instance, Applied: applied, Served: applied}); err != nil {
			instance = 0
		}
		cancel()
		select {
		case <-ctx.Done():
		case <-time.After(renewInterval):
		}
	}
}
