package raftnode_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/raftnode"
	"github.com/wisteriamux/wisteriamux/internal/wal"
)

const (
	testTick        = 20 * time.Millisecond
	waitTimeout     = 20 * time.Second
	pollInterval    = 10 * time.Millisecond
	snapshotEntries = 100
)

// padding makes the snapshots of the longer tests larger than one chunk.
var padding = strings.Repeat("x", 600)

// recorder is a state machine that records the applied commands in order.
type recorder struct {
	mu       sync.Mutex
	commands []string
}

func (r *recorder) Apply(_ uint64, data []byte) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.commands = append(r.commands, string(data))
	return data
}

func (r *recorder) Snapshot() ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return json.Marshal(r.commands)
}

func (r *recorder) Restore(data []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.commands = nil
	return json.Unmarshal(data, &r.commands)
}

func (r *recorder) list() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.commands...)
}

// host simulates a VM: its address and data directory survive restarts of the node.
type host struct {
	name     string
	dir      string
	listener net.Listener
	fs       wal.FS
	node     *raftnode.Node
	machine  *recorder

	// mu protects the fields below.
	mu     sync.Mutex
	server *rpc.Server
	conns  map[net.Conn]bool
	// silent accepts connections but never responds on them; isolated fails outgoing connections.
	silent   bool
	isolated bool
}

func newHost(name string) *host {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	h := &host{name: name, dir: filepath.Join(GinkgoT().TempDir(), name), listener: listener, conns: map[net.Conn]bool{}}
	go h.accept()
	DeferCleanup(func() {
		h.stop()
		_ = listener.Close()
	})
	return h
}

func (h *host) accept() {
	for {
		conn, err := h.listener.Accept()
		if err != nil {
			return
		}
		h.mu.Lock()
		server, silent := h.server, h.silent
		if server == nil {
			_ = conn.Close()
		} else {
			h.conns[conn] = true
		}
		h.mu.Unlock()
		if server != nil && !silent {
			go server.ServeConn(conn)
		}
	}
}

func (h *host) dial(address string) (net.Conn, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.isolated {
		return nil, errors.New("host is isolated")
	}
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err == nil {
		h.conns[conn] = true
	}
	return conn, err
}

// dropConns closes all connections and sets the flags for later ones.
func (h *host) dropConns(silent, isolated bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.silent, h.isolated = silent, isolated
	for conn := range h.conns {
		_ = conn.Close()
	}
	clear(h.conns)
}

func (h *host) config() raftnode.Config {
	return raftnode.Config{
		Name: h.name, Address: h.listener.Addr().String(), Dir: h.dir, Dial: h.dial, Machine: h.machine,
		Tick: testTick, SnapshotEntries: snapshotEntries, FS: h.fs,
	}
}

func (h *host) start() { Expect(h.reopen()).To(Succeed()) }

func (h *host) reopen() error {
	machine := &recorder{}
	config := h.config()
	config.Machine = machine
	node, err := raftnode.Open(config)
	if err != nil {
		return err
	}
	server := rpc.NewServer()
	Expect(server.RegisterName(raftnode.ServiceName, node.Service())).To(Succeed())
	h.mu.Lock()
	defer h.mu.Unlock()
	h.machine, h.node, h.server = machine, node, server
	return nil
}

// commands returns the commands that the state machine has applied.
func (h *host) commands() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.machine.list()
}

func (h *host) stop() {
	h.mu.Lock()
	h.server = nil
	h.mu.Unlock()
	h.dropConns(false, false)
	if h.node != nil {
		_ = h.node.Close()
		h.node = nil
	}
}

func (h *host) wipe() {
	h.stop()
	Expect(os.RemoveAll(h.dir)).To(Succeed())
}

// group is a set of hosts, with the commands that the group has acknowledged.
type group struct {
	hosts []*host
	acked []string
}

func newGroup(names ...string) *group {
	g := &group{}
	for _, name := range names {
		g.hosts = append(g.hosts, newHost(name))
	}
	Expect(raftnode.Bootstrap(g.hosts[0].config())).To(Succeed())
	for _, h := range g.hosts {
		h.start()
	}
	for _, h := range g.hosts[1:] {
		g.add(h)
	}
	return g
}

func (g *group) add(h *host) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	Expect(g.leader().node.AddMember(ctx, h.name, h.listener.Addr().String())).To(Succeed())
	Eventually(h.node.Status, waitTimeout, pollInterval).Should(HaveField("Role", raftnode.RoleVoter))
}

// leader waits until a running member is the leader and serves reads, and returns its host.
func (g *group) leader() *host {
	var found *host
	Eventually(func() bool {
		found = nil
		for _, h := range g.hosts {
			if h.node != nil && h.node.Leader() == h.name && readBarrier(h.node) == nil {
				found = h
			}
		}
		return found != nil
	}, waitTimeout, pollInterval).Should(BeTrue())
	return found
}

func (g *group) follower() *host {
	leader := g.leader()
	for _, h := range g.hosts {
		if h.node != nil && h != leader {
			return h
		}
	}
	return nil
}

func readBarrier(node *raftnode.Node) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return node.ReadBarrier(ctx)
}

// propose proposes count commands concurrently and records those that are acknowledged.
func (g *group) propose(prefix string, count int) {
	var mu sync.Mutex
	var callers sync.WaitGroup
	leader := g.leader()
	for i := range count {
		callers.Go(func() {
			command := fmt.Sprintf("%s-%d-%s", prefix, i, padding)
			ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
			defer cancel()
			if _, err := leader.node.Propose(ctx, []byte(command)); err == nil {
				mu.Lock()
				g.acked = append(g.acked, command)
				mu.Unlock()
			}
		})
	}
	callers.Wait()
}

// expectAcked checks that at least the given number of commands were acknowledged, and that the leader, after a read
// barrier, has applied each of them exactly once.
func (g *group) expectAcked(atLeast int) {
	GinkgoHelper()
	Expect(len(g.acked)).To(BeNumerically(">=", atLeast))
	expectAppliedOnce(g.leader().machine.list(), g.acked)
}

func expectAppliedOnce(held, acked []string) {
	GinkgoHelper()
	count := map[string]int{}
	for _, command := range held {
		count[command]++
	}
	for _, command := range acked {
		Expect(count).To(HaveKeyWithValue(command, 1))
	}
}

// failingFS is the file system of the operating system, except that syncs fail once full is set.
type failingFS struct {
	wal.OS
	mu        sync.Mutex
	failSyncs bool
}

func (f *failingFS) OpenAppend(path string, size int64) (wal.File, error) {
	file, err := f.OS.OpenAppend(path, size)
	return failingFile{File: file, fs: f}, err
}

type failingFile struct {
	wal.File
	fs *failingFS
}

func (f failingFile) Sync() error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if f.fs.failSyncs {
		return errors.New("no space left on device")
	}
	return f.File.Sync()
}

// isStorageFailed reports whether a member stopped because of a disk failure.
func isStorageFailed(err error) bool { return fault.Is(err, fault.StorageFailed) }
