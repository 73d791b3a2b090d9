package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Ports of all machines. Each machine has its own loopback address.
const (
	controlPort   = 7680
	directoryPort = 8106
	frontPort     = 8104
	readyPort     = 8108
	relayPort     = 7681
	metricsPort   = 9464
)

// linkOffset is added to the number of a machine to get the last part of the address of its links.
const linkOffset = 100

const (
	firstFront   = 21
	firstServer  = 31
	firstClient  = 81
	startTimeout = 15 * time.Second
)

// clusterConfig describes a small deployment.
type clusterConfig struct {
	cores, fronts int
	// retryFloor is the bound budget_min_retries.
	retryFloor int
}

// machine is one process of the system with the links in front of its ports.
type machine struct {
	name    string
	number  int
	command *exec.Cmd
	links   []*link
	log     *os.File
	// gone is set once the machine was removed.
	gone bool
}

// cluster is the system under test. Its processes are those of the deploy file.
type cluster struct {
	config clusterConfig
	dir    string
	cores  []*machine
	fronts []*machine
	record *record
	client *http.Client
}

// address returns the address of a port of a machine. The network is derived from the ID of this process, so that runs beside
// each other do not share addresses.
func address(number, port int) string {
	pid := os.Getpid()
	return net.JoinHostPort(fmt.Sprintf("127.%d.%d.%d", 2+(pid>>8)%120, pid%256, number), fmt.Sprint(port))
}

// linkAddress returns the address at which others reach the port.
func linkAddress(number, port int) string { return address(number+linkOffset, port) }

// startCluster starts the processes with settings like those that the deploy file's templates yield.
func startCluster(config clusterConfig, r *record) (*cluster, error) {
	dir, err := os.MkdirTemp("", "wisteriamux-review-")
	if err != nil {
		return nil, err
	}
	c := &cluster{config: config, dir: dir, record: r, client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	for n := range config.cores {
		c.cores = append(c.cores, &machine{name: fmt.Sprintf("core-%d", n+1), number: n + 1})
	}
	for n := range config.fronts {
		c.fronts = append(c.fronts, &machine{name: fmt.Sprintf("front-%d", n+1), number: firstFront + n})
	}
	for _, m := range c.cores {
		if err := c.start(m, "wmux-control", c.coreSettings(m, true), controlPort, directoryPort); err != nil {
			return c, err
		}
	}
	for _, m := range c.fronts {
		if err := c.start(m, "wmux-router", c.frontSettings(m), relayPort); err != nil {
			return c, err
		}
	}
	return c, nil
}

func zone(number int) string { return []string{"halle-a", "halle-b", "kuehlhaus"}[number%3] }

func (c *cluster) seeds() string {
	var seeds []string
	for _, m := range c.cores {
		if !m.gone && len(seeds) < 3 {
			seeds = append(seeds, fmt.Sprintf("%q", linkAddress(m.number, directoryPort)))
		}
	}
	return "[" + strings.Join(seeds, ",") + "]"
}

func (c *cluster) coreSettings(m *machine, first bool) string {
	return fmt.Sprintf("id = %q\nfailure_domain = %q\nrpc_address = %q\nrpc_listen_address = %q\ndata_dir = %q\nformation = \"seeds\"\nseeds = %s\n"+
		"first_start = %t\ndirectory_address = %q\nmetrics_address = %q\nsnapshot_entries = 500\n",
		linkAddress(m.number, controlPort), zone(m.number), linkAddress(m.number, controlPort), address(m.number, controlPort),
		filepath.Join(c.dir, m.name), c.seeds(), first, address(m.number, directoryPort), address(m.number, metricsPort))
}

func (c *cluster) frontSettings(m *machine) string {
	return fmt.Sprintf("id = %q\nfailure_domain = %q\ncaller_address = %q\nhealth_address = %q\nseeds = %s\nrelay_address = %q\nrelay_listen_address = %q\n"+
		"metrics_address = %q\ncpu_share = 0.4\ncontrol_port = %d\nextra_share = 0.2\nextra_floor = %d\nextra_window_s = 10\n",
		m.name, zone(m.number), address(m.number, frontPort), address(m.number, readyPort), c.seeds(), linkAddress(m.number, relayPort),
		address(m.number, relayPort), address(m.number, metricsPort), controlPort, c.config.retryFloor)
}

// start starts the process of a machine with the command of the deploy file, and the links in front of its ports.
func (c *cluster) start(m *machine, program, settings string, ports ...int) error {
	for _, port := range ports {
		l, err := newLink(linkAddress(m.number, port), address(m.number, port))
		if err != nil {
			return err
		}
		m.links = append(m.links, l)
	}
	path := filepath.Join(c.dir, m.name+".toml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(c.dir, m.name+".log"))
	if err != nil {
		return err
	}
	m.log = log
	m.command = exec.Command(filepath.Join("target", program), "run", "--settings", path)
	m.command.Stdout, m.command.Stderr = log, log
	c.record.add("start %s: target/%s run", m.name, program)
	return m.command.Start()
}

// signal sends a signal to the process of a machine.
func (c *cluster) signal(m *machine, s syscall.Signal) {
	c.record.add("signal %s: %s", m.name, s)
	_ = m.command.Process.Signal(s)
}

// stop ends all processes and removes the temporary folder, unless KEEP is set.
func (c *cluster) stop() {
	for _, m := range append(append([]*machine{}, c.cores...), c.fronts...) {
		if m.command != nil && m.command.Process != nil {
			// A process that has ended already was waited for.
			_ = m.command.Process.Kill()
			_ = m.command.Wait()
		}
		for _, l := range m.links {
			l.close()
		}
		if m.log != nil {
			_ = m.log.Close()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	}
}

var errNotReady = errors.New("the system did not become ready in time")

// awaitReady waits until every front machine answers /ready with 200.
func (c *cluster) awaitReady() error {
	deadline := time.Now().Add(startTimeout)
	for _, m := range c.fronts {
		for !c.ready(m) {
			if time.Now().After(deadline) {
				return errNotReady
			}
			time.Sleep(50 * time.Millisecond)
		}
		c.record.add("%s is ready", m.name)
	}
	return nil
}

func (c *cluster) ready(m *machine) bool {
	response, err := c.client.Get("http://" + address(m.number, readyPort) + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// directories returns the addresses at which operators and servers reach the core machines.
func (c *cluster) directories() []string {
	var all []string
	for _, m := range c.cores {
		if !m.gone {
			all = append(all, linkAddress(m.number, directoryPort))
		}
	}
	return all
}

var errNoLeader = errors.New("no control member leads")

// leader returns the core machine that leads the control group, according to the log of the members.
func (c *cluster) leader() (*machine, error) {
	line, err := c.lastLine("leader changed")
	if err != nil {
		return nil, err
	}
	_, name, _ := strings.Cut(line, "leader=")
	for _, m := range c.cores {
		if linkAddress(m.number, controlPort) == strings.Trim(strings.TrimSpace(name), `"`) {
			return m, nil
		}
	}
	return nil, errNoLeader
}

// lastLine returns the latest line with the text in the logs of the core machines. Lines begin with their time.
func (c *cluster) lastLine(text string) (string, error) {
	last := ""
	for _, m := range c.cores {
		log, err := os.ReadFile(filepath.Join(c.dir, m.name+".log"))
		if err != nil {
			return "", err
		}
		for line := range strings.Lines(string(log)) {
			if strings.Contains(line, text) && line > last {
				last = line
			}
		}
	}
	return last, nil
}

// addCore starts another core machine with an empty disk.
func (c *cluster) addCore() (*machine, error) {
	n := len(c.cores) + 1
	m := &machine{name: fmt.Sprintf("core-%d", n), number: n}
	c.cores = append(c.cores, m)
	return m, c.start(m, "wmux-control", c.coreSettings(m, false), controlPort, directoryPort)
}
