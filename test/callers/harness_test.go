// Package callers_test sends the system's own binaries what untrusted callers may send: many header lines, headers that never
// end, and large bodies, on many connections at once. It checks that the process lives, that its resident memory and its
// open descriptors stay within those of the smallest VM, and that an ordinary request is answered while the crowd stays.
package callers_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/platform/standin"
	"github.com/wisteriamux/wisteriamux/test/harness"
)

func TestCallers(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Callers")
}

const (
	// vmMemoryBytes is the memory of the smallest VM of the users' sites. All of it bounds one process.
	vmMemoryBytes = 184 << 20
	// readyTimeout bounds the formation of the group and the first view on a busy machine.
	readyTimeout = 20 * time.Second
	// answerTimeout bounds how long the ordinary request is tried while the crowd stays.
	answerTimeout = 10 * time.Second
	pollInterval  = 30 * time.Millisecond
)

// Ports are below the kernel's ephemeral range, so that no outgoing connection takes them before a process binds them.
const (
	rpcPort      = 7000
	httpPort     = 7001
	callerPort   = 7002
	readyPort    = 7003
	relayPort    = 7004
	upstreamPort = 7005
	metricsPort  = 7006
)

// Limits of the route table, those of the users' sites.
const (
	maxHeaderBytes = 16_384
	maxBodyBytes   = 262_144
)

const routeTable = `{"version":1,"routes":[
{"name":"read","host":"shop.example","path_prefix":"/slips/","route_type":"safe","timeout_ms":2000,"target_latency_ms":500,"priority":2,"service":"single","max_attempts":2},
{"name":"write","host":"shop.example","path_prefix":"/orders/","route_type":"unsafe","timeout_ms":2000,"target_latency_ms":500,"priority":2,"service":"single","max_attempts":1}],
"services":[{"name":"single","health_path":"/health","max_conns":26}],
"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

var binaries string

var _ = BeforeSuite(func() {
	var err error
	binaries, err = os.MkdirTemp("", "wmux-callers-")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(os.RemoveAll, binaries)
	build := exec.Command("go", "build", "-o", binaries+"/", "../../cmd/wmux-control", "../../cmd/wmux-router", "../../cmd/wmux-entry")
	output, err := build.CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(output))
})

func address(vm, port int) string { return fmt.Sprintf("%s:%d", harness.LoopbackIP(vm), port) }

// process is one of the system's own processes.
type process struct {
	command *exec.Cmd
	exited  chan struct{}
}

// start starts a program with a settings file. If descriptors is above 0, the process may open only as many.
func start(program, verb, settings string, descriptors int) *process {
	path := filepath.Join(GinkgoT().TempDir(), program+".toml")
	Expect(os.WriteFile(path, []byte(settings), 0o600)).To(Succeed())
	args := []string{"--settings", path}
	if verb != "" {
		args = append([]string{verb}, args...)
	}
	command := exec.Command(filepath.Join(binaries, program), args...)
	if descriptors > 0 {
		script := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, descriptors)
		command = exec.Command("sh", append([]string{"-c", script, filepath.Join(binaries, program)}, args...)...)
	}
	command.Stdout, command.Stderr = GinkgoWriter, GinkgoWriter
	Expect(command.Start()).To(Succeed())
	p := &process{command: command, exited: make(chan struct{})}
	go func() {
		_ = command.Wait()
		close(p.exited)
	}()
	DeferCleanup(func() {
		_ = command.Process.Signal(syscall.SIGKILL)
		<-p.exited
	})
	return p
}

func (p *process) alive() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// peakMemory returns the highest resident memory of the process in bytes.
func (p *process) peakMemory() int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	Expect(err).NotTo(HaveOccurred(), "the process must be alive")
	_, after, _ := strings.Cut(string(status), "VmHWM:")
	kilobytes, err := strconv.ParseInt(strings.Fields(after)[0], 10, 64)
	Expect(err).NotTo(HaveOccurred())
	return kilobytes << 10
}

// descriptors returns the number of open descriptors of the process.
func (p *process) descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid))
	Expect(err).NotTo(HaveOccurred(), "the process must be alive")
	return len(entries)
}

// target is a process that callers reach, and an ordinary request of its callers.
type target struct {
	*process
	address string
	// path and host are those of a request with a body, and maxBody is the largest body that it may have.
	path, host string
	maxBody    int
	// ordinary sends one ordinary request and reports whether it is answered.
	ordinary func() bool
	// upstream runs the requests of a router, nil for other programs.
	upstream *standin.Upstream
}

var client = &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func statusOf(request *http.Request) int {
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode
}

func get(url, host string) int {
	request, err := http.NewRequest(http.MethodGet, url, http.NoBody)
	Expect(err).NotTo(HaveOccurred())
	request.Host = host
	request.Header.Set("Wisteriamux-Request-Id", "ordinary")
	return statusOf(request)
}

// startControl starts a control group of one member with the route table, and returns the member as a target.
func startControl(descriptors int, more ...string) *target {
	settings := fmt.Sprintf("id = %q\nfailure_domain = \"a\"\nrpc_address = %q\ndata_dir = %q\nformation = \"seeds\"\nseeds = [%q]\n"+
		"first_start = true\ndirectory_address = %q\n", address(1, rpcPort), address(1, rpcPort), filepath.Join(GinkgoT().TempDir(), "data"),
		address(1, rpcPort), address(1, httpPort)) + strings.Join(more, "")
	t := &target{
		process: start("wmux-control", "run", settings, descriptors),
		address: address(1, httpPort), path: "/config/replace", host: address(1, httpPort), maxBody: 2 << 20,
	}
	t.ordinary = func() bool { return get("http://"+t.address+"/config/read", "") == http.StatusOK }
	Eventually(func() int {
		request, err := http.NewRequest(http.MethodPost, "http://"+t.address+"/config/replace", bytes.NewReader([]byte(routeTable)))
		Expect(err).NotTo(HaveOccurred())
		return statusOf(request)
	}, readyTimeout, pollInterval).Should(Equal(http.StatusOK))
	return t
}

// startRouter starts a control group, an upstream and a router.
func startRouter(descriptors int, more ...string) *target {
	startControl(0)
	upstream, err := standin.Start(standin.Config{
		ID: "single-0", Service: "single", FailureDomain: "a", Address: address(3, upstreamPort),
		ControlAddresses: []string{address(1, httpPort)}, Heartbeat: 200 * time.Millisecond, Slots: 8,
	})
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		upstream.Run(ctx)
	}()
	DeferCleanup(func() {
		cancel()
		<-done
		upstream.Close()
	})
	settings := fmt.Sprintf("id = \"router-1\"\nfailure_domain = \"a\"\ncaller_address = %q\nhealth_address = %q\nseeds = [%q]\ncontrol_port = %d\n"+
		"relay_address = %q\nlame_duck_ms = 500\n", address(2, callerPort), address(2, readyPort), address(1, rpcPort), rpcPort, address(2, relayPort)) + fmt.Sprintf("metrics_address = %q\n", address(2, metricsPort)) + strings.Join(more, "")
	t := &target{
		process: start("wmux-router", "run", settings, descriptors),
		address: address(2, callerPort), path: "/orders/1", host: "shop.example", maxBody: maxBodyBytes, upstream: upstream,
	}
	t.ordinary = func() bool { return get("http://"+t.address+"/slips/1", t.host) == http.StatusOK }
	Eventually(t.ordinary, readyTimeout, pollInterval).Should(BeTrue())
	return t
}

// startEntry starts a control group and an entry daemon.
func startEntry(descriptors int, more ...string) *target {
	startControl(0)
	settings := fmt.Sprintf("id = \"entry-1\"\nfailure_domain = \"a\"\ncaller_address = %q\nrpc_address = %q\ncontrol_addresses = [%q]\nlame_duck_ms = 300\n",
		address(2, callerPort), address(2, rpcPort), address(1, rpcPort)) + strings.Join(more, "")
	t := &target{
		process: start("wmux-entry", "", settings, descriptors),
		address: address(2, callerPort), path: "/v1/search", host: address(2, callerPort), maxBody: 1 << 20,
	}
	t.ordinary = func() bool { return get("http://"+t.address+"/healthz", "") == http.StatusOK }
	Eventually(t.ordinary, readyTimeout, pollInterval).Should(BeTrue())
	return t
}

// dial returns a connection to the target, or nil if the target refuses it. It ends with the spec.
func (t *target) dial() net.Conn {
	conn, err := net.DialTimeout("tcp", t.address, 2*time.Second)
	if err != nil {
		return nil
	}
	return conn
}
