// Package processes_test runs the real binaries as processes and checks the promises of the system, P1 to P8, while
// processes are killed, frozen, stopped, partitioned or lose their disk.
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
	// inForceTimeout is the bound of promise P8: an accepted change is in force at every entry VM within this time.
	inForceTimeout = 10 * time.Second
	readyTimeout   = 15 * time.Second
	callTimeout    = 15 * time.Second
	pollInterval   = 20 * time.Millisecond
)

var binaryDir string

var _ = BeforeSuite(func() {
	var err error
	binaryDir, err = os.MkdirTemp("", "wmux-processes-")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(os.RemoveAll, binaryDir)
	build := exec.Command("go", "build", "-o", binaryDir+"/", "../../cmd/wmux-control", "../../cmd/wmux-entry",
		"../../cmd/wmux-upstream", "../../cmd/wmuxctl")
	output, err := build.CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(output))
})

// member is a wmux-control process with its own loopback address, by which fault rules identify it.
type member struct {
	name, host, address, dir string
	command                  *exec.Cmd
}

// group is a control group whose members run as separate processes.
type group struct {
	workDir string
	members []*member
	client  *controlrpc.Client
}

// startGroup starts a group of three voters and waits until all have joined.
func startGroup() *group {
	g := &group{workDir: GinkgoT().TempDir()}
	DeferCleanup(g.stop)
	for n := 1; n <= 3; n++ {
		host := loopbackIP(10 + n)
		m := &member{name: fmt.Sprintf("control-%d", n), host: host, address: fmt.Sprintf("%s:%d", host, controlPort)}
		m.dir = filepath.Join(g.workDir, m.name)
		settings := fmt.Sprintf("id = %q\nfailure_domain = \"halle-%d\"\nrpc_address = %q\ndata_dir = %q\nfault_rules_file = %q\nsnapshot_entries = 200\n",
			m.name, n, m.address, m.dir, m.rules())
		Expect(os.WriteFile(m.settings(), []byte(settings), 0o600)).To(Succeed())
		g.members = append(g.members, m)
	}
	output, err := exec.Command(filepath.Join(binaryDir, "wmux-control"), "bootstrap", "--settings", g.members[0].settings()).CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(output))
	for _, m := range g.members {
		m.start()
	}
	g.client = controlrpc.NewClient(g.addresses(), controlrpc.PlainDialer)
	for _, m := range g.members[1:] {
		g.addMember(m)
	}
	g.awaitVoters(3)
	return g
}

// contextWithTimeout returns a context that ends after the timeout or with the spec, whichever comes first.
func contextWithTimeout(timeout time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	DeferCleanup(cancel)
	return ctx
}

// The ports are below the kernel's ephemeral port range. If a test asked the kernel for a free port, an outgoing
// connection could take it before the process under test binds it.
const (
	controlPort  = 7000
	callerPort   = 8000
	peerPort     = 8100
	upstreamPort = 9000
)

// loopbackIP returns the loopback IP address of a VM. The address is derived from the ID of the test process, so that
// concurrent test runs on one machine do not share addresses.
func loopbackIP(vm int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+(pid>>8)%127, pid%256, vm)
}

// settings returns the path of the settings file.
func (m *member) settings() string { return m.dir + ".toml" }

// rules returns the path of the file with the fault rules.
func (m *member) rules() string { return m.dir + ".rules" }

func (m *member) start() {
	m.command = exec.Command(filepath.Join(binaryDir, "wmux-control"), "run", "--settings", m.settings())
	m.command.Stdout, m.command.Stderr = GinkgoWriter, GinkgoWriter
	Expect(m.command.Start()).To(Succeed())
}

func (m *member) signal(signal syscall.Signal) {
	Expect(m.command.Process.Signal(signal)).To(Succeed())
}

// kill sends SIGKILL and waits for the exit. It does nothing if the process does not run.
func (m *member) kill() {
	if m.command == nil {
		return
	}
	_ = m.command.Process.Kill()
	_ = m.command.Wait()
	m.command = nil
}

// setFaultRules replaces the fault rules of the member by one for each peer. The direction is "in", "out" or "both".
// Without peers, the partition ends.
func (m *member) setFaultRules(direction string, peers ...*member) {
	var rules strings.Builder
	for _, peer := range peers {
		fmt.Fprintf(&rules, "%s %s\n", direction, peer.host)
	}
	Expect(os.WriteFile(m.rules()+".new", []byte(rules.String()), 0o600)).To(Succeed())
	Expect(os.Rename(m.rules()+".new", m.rules())).To(Succeed())
}

func (g *group) stop() {
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

func (g *group) addMember(m *member) {
	Eventually(func() error {
		return g.client.GroupAdd(contextWithTimeout(callTimeout), controlrpc.GroupAddArgs{Name: m.name, Address: m.address})
	}, readyTimeout, pollInterval).Should(Succeed())
}

// awaitVoters waits until the group has this number of voters, including the leader, and no other members.
func (g *group) awaitVoters(count int) {
	Eventually(func() (roles []string) {
		for _, m := range g.groupMembers() {
			if m.Role != "leader" {
				roles = append(roles, m.Role)
			}
		}
		return roles
	}, readyTimeout, pollInterval).Should(And(HaveLen(count-1), HaveEach("voter")))
}

func (g *group) groupMembers() []controlrpc.GroupMember {
	members, err := g.client.GroupMembers(contextWithTimeout(callTimeout))
	Expect(err).NotTo(HaveOccurred())
	return members
}

func (g *group) leader() *member {
	status, err := g.client.Status(contextWithTimeout(callTimeout))
	Expect(err).NotTo(HaveOccurred())
	for _, m := range g.members {
		if m.name == status.Leader {
			return m
		}
	}
	Fail("the leader is not a member of the group: " + status.Leader)
	return nil
}

func (g *group) others(excluded *member) []*member {
	var others []*member
	for _, m := range g.members {
		if m != excluded {
			others = append(others, m)
		}
	}
	return others
}

func (g *group) view() model.View {
	view, _, err := g.client.View(contextWithTimeout(callTimeout), 0)
	Expect(err).NotTo(HaveOccurred())
	return view
}

// wmuxctl runs the command line tool against the group and returns its combined output and exit code.
func (g *group) wmuxctl(args ...string) (output string, exitCode int) {
	command := exec.Command(filepath.Join(binaryDir, "wmuxctl"), append([]string{"--control", strings.Join(g.addresses(), ",")}, args...)...)
	combined, _ := command.CombinedOutput()
	return string(combined), command.ProcessState.ExitCode()
}

// wmuxctlJSON runs wmuxctl with --json, expects success and decodes the output.
func (g *group) wmuxctlJSON(out any, args ...string) {
	output, exitCode := g.wmuxctl(append([]string{"--json"}, args...)...)
	Expect(exitCode).To(BeZero(), output)
	Expect(json.Unmarshal([]byte(output), out)).To(Succeed(), output)
}

// writeInventory writes an inventory with a single region of this name and returns the path of the file.
func (g *group) writeInventory(region string) string {
	path := filepath.Join(g.workDir, region+".toml")
	Expect(os.WriteFile(path, []byte(fmt.Sprintf("[[region]]\nname = %q\n", region)), 0o600)).To(Succeed())
	return path
}

func applyConfigCommand(id string, base uint64) controlstate.Command {
	return controlstate.Command{ApplyConfig: &controlstate.ApplyConfig{
		ChangeID: id, BaseVersion: base, Inventory: model.Inventory{Regions: []model.Region{{Name: id}}},
	}}
}

// changeStream applies configuration changes one after another. Its client resends each change under the same change ID
// until it gets a response.
type changeStream struct {
	client   *controlrpc.Client
	version  uint64
	revision uint64
	lastID   string
	// longestChange is the longest time that a change took. If the leader fails meanwhile, it is the failover time that an
	// operator sees.
	longestChange time.Duration
}

func (g *group) newChangeStream() *changeStream {
	view := g.view()
	return &changeStream{client: controlrpc.NewClient(g.addresses(), controlrpc.PlainDialer), version: view.Config.Version}
}

// apply makes a change and expects exactly the next version, which shows that no accepted change was lost.
func (s *changeStream) apply() { s.applyWithID(fmt.Sprintf("change-%d", s.version+1)) }

func (s *changeStream) applyWithID(id string) {
	begin := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	result, err := s.client.Propose(ctx, applyConfigCommand(id, s.version))
	Expect(err).NotTo(HaveOccurred())
	Expect(result.Version).To(Equal(s.version + 1))
	s.version, s.revision, s.lastID = result.Version, result.Revision, id
	s.longestChange = max(s.longestChange, time.Since(begin))
}

func (s *changeStream) applyFor(duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		s.apply()
	}
}

// checkServed expects the group to serve the last accepted change.
func (s *changeStream) checkServed(g *group) {
	view := g.view()
	Expect(view.Config.Version).To(Equal(s.version))
	Expect(view.Config.Inventory.Regions).To(Equal([]model.Region{{Name: s.lastID}}))
}

// entryVM is a fake entry VM. It joins, renews its lease and adopts views, and checks that the revision of its views
// never decreases.
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
			Expect(view.Revision).To(BeNumerically(">=", applied), "P8: the revision of the served view decreased")
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
