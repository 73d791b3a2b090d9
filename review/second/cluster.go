package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// restartDelay is how long the platform waits before it starts a process again that has ended.
const restartDelay = 300 * time.Millisecond

// errStopped is returned for a process that is not started again, because the case has ended.
var errStopped = errors.New("the process was stopped")

// maxFDs is the number of descriptors of a process.
const maxFDs = 4100

// process is a program of the project that the platform keeps running.
type process struct {
	name     string
	args     []string
	settings string
	rec      *record
	logPath  string
	maxFDs   int

	mu      sync.Mutex
	cmd     *exec.Cmd
	stopped bool
	// ends counts the ends that this test did not cause, and lastExit is the exit status of the last one.
	ends     int
	lastExit string
	done     chan struct{}
}

// start starts the process and restarts it whenever it ends, until stop is called.
func (p *process) start() error {
	if err := p.spawn(); err != nil {
		return err
	}
	p.done = make(chan struct{})
	go p.supervise()
	return nil
}

func (p *process) spawn() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return errStopped
	}
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	// The platform limits the descriptors of each process.
	cmd := exec.Command("/bin/sh", append([]string{"-c", fmt.Sprintf("ulimit -n %d; exec \"$0\" \"$@\"", p.maxFDs)}, append(p.args, "--settings", p.settings)...)...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	err = cmd.Start()
	_ = log.Close()
	if err != nil {
		return err
	}
	p.cmd = cmd
	return nil
}

func (p *process) supervise() {
	defer close(p.done)
	for {
		p.mu.Lock()
		cmd := p.cmd
		p.mu.Unlock()
		err := cmd.Wait()
		p.mu.Lock()
		stopped := p.stopped
		if !stopped {
			p.ends++
			p.lastExit = fmt.Sprint(err)
		}
		p.mu.Unlock()
		if stopped {
			return
		}
		p.rec.note("%s ended by itself: %v", p.name, err)
		time.Sleep(restartDelay)
		if p.spawn() != nil {
			return
		}
	}
}

// stop kills the process and waits for its end.
func (p *process) stop() {
	p.mu.Lock()
	p.stopped = true
	cmd := p.cmd
	p.mu.Unlock()
	if cmd != nil && cmd.Process != nil {
		_ = cmd.Process.Kill()
	}
	if p.done != nil {
		<-p.done
	}
}

// ended returns how often the process ended by itself, and how it did so the last time.
func (p *process) ended() (int, string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ends, p.lastExit
}

// machine is one VM, which has a loopback address of its own.
type machine struct {
	*process
	ip, zone string
}

// cluster is a small deployment on loopback addresses: machines of the core, and front machines.
type cluster struct {
	rec    *record
	dir    string
	cores  []*machine
	fronts []*machine
	// The ports are the same on all machines.
	block                                                        int
	controlPort, frontPort, readyPort, internalPort, metricsPort int
}

// shape is the size of a cluster.
type shape struct {
	cores, fronts int
	zones         []string
	// memoryMB and cpuShare are the limits of front machines.
	memoryMB int
	cpuShare float64
}

// newCluster prepares the settings of a cluster, as the templates of the deploy file render them.
func newCluster(rec *record, s shape) (*cluster, error) {
	dir, err := os.MkdirTemp("", "review-second-")
	if err != nil {
		return nil, err
	}
	c := &cluster{rec: rec, dir: dir}
	ports, err := freePorts(5)
	if err != nil {
		return nil, err
	}
	c.controlPort, c.frontPort, c.readyPort, c.internalPort, c.metricsPort = ports[0], ports[1], ports[2], ports[3], ports[4]
	c.block = 16 + os.Getpid()%200
	block := c.block
	for n := range s.cores {
		c.cores = append(c.cores, &machine{ip: fmt.Sprintf("127.%d.1.%d", block, n+1), zone: s.zones[n%len(s.zones)]})
	}
	for n := range s.fronts {
		c.fronts = append(c.fronts, &machine{ip: fmt.Sprintf("127.%d.2.%d", block, n+1), zone: s.zones[n%len(s.zones)]})
	}
	seeds := c.seeds()
	for n, m := range c.cores {
		m.process = c.process(fmt.Sprintf("core-%d", n+1), "target/wmux-control")
		text := fmt.Sprintf("id = %q\nfailure_domain = %q\nrpc_address = %q\ndata_dir = %q\nformation = \"seeds\"\nseeds = %s\n"+
			"fault_tolerance = %d\nfirst_start = true\ndirectory_address = %q\nmetrics_address = %q\nsnapshot_entries = 500\nmemory_mb = 280\nmax_fds = 4096\n",
			m.at(c.internalPort), m.zone, m.at(c.internalPort), filepath.Join(dir, m.name+"-data"), seeds, (s.cores-1)/2, m.at(c.controlPort), m.at(c.metricsPort))
		if err := os.WriteFile(m.settings, []byte(text), 0o600); err != nil {
			return nil, err
		}
	}
	for n, m := range c.fronts {
		m.process = c.process(fmt.Sprintf("front-%d", n+1), "target/wmux-router")
		text := fmt.Sprintf("id = %q\nfailure_domain = %q\ncaller_address = %q\nhealth_address = %q\nseeds = %s\nrelay_address = %q\n"+
			"metrics_address = %q\ncpu_share = %g\ncontrol_port = %d\nextra_share = 0.2\nextra_floor = 54\nextra_window_s = 10\nmemory_mb = %d\nmax_fds = 4100\npace = false\n",
			m.name, m.zone, m.at(c.frontPort), m.at(c.readyPort), seeds, m.at(c.internalPort), m.at(c.metricsPort), s.cpuShare, c.internalPort, s.memoryMB)
		if err := os.WriteFile(m.settings, []byte(text), 0o600); err != nil {
			return nil, err
		}
	}
	return c, nil
}

func (c *cluster) process(name, program string) *process {
	return &process{
		name: name, args: []string{program, "run"}, settings: filepath.Join(c.dir, name+".toml"), logPath: filepath.Join(c.dir, name+".log"), rec: c.rec, maxFDs: maxFDs,
	}
}

func (m *machine) at(port int) string { return net.JoinHostPort(m.ip, strconv.Itoa(port)) }

func (c *cluster) seeds() string {
	var quoted []string
	for _, m := range c.cores[:min(3, len(c.cores))] {
		quoted = append(quoted, strconv.Quote(m.at(c.controlPort)))
	}
	return "[" + strings.Join(quoted, ", ") + "]"
}

func (c *cluster) machines() []*machine {
	return append(append([]*machine(nil), c.cores...), c.fronts...)
}

// start starts all processes.
func (c *cluster) start() error {
	for _, m := range c.machines() {
		if err := m.start(); err != nil {
			return fmt.Errorf("%s: %w", m.name, err)
		}
	}
	return nil
}

// stop ends all processes and removes their files.
func (c *cluster) stop() {
	for _, m := range c.machines() {
		if m.process != nil {
			m.stop()
		}
	}
	_ = os.RemoveAll(c.dir)
}

// controls returns the addresses of the control API.
func (c *cluster) controls() []string {
	var all []string
	for _, m := range c.cores {
		all = append(all, m.at(c.controlPort))
	}
	return all
}

// freePorts returns ports on which nothing listens on any loopback address.
func freePorts(count int) ([]int, error) {
	var ports []int
	for range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}
