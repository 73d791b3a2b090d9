// Package harness runs the real binaries as separate processes for tests. It injects faults from outside them: signals
// to the processes, and network faults through a proxy.
package harness

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/fault"
)

// Build builds the main packages into dir, with one binary for each.
func Build(dir string, packages ...string) error {
	output, err := exec.Command("go", append([]string{"build", "-o", dir + "/"}, packages...)...).CombinedOutput()
	if err != nil {
		return fault.New(fault.Internal, "harness.build", "%w: %s", err, output)
	}
	return nil
}

// BuildRevision builds packages of a revision of this repository into the directory. It uses the history of the repository only.
func BuildRevision(dir, revision string, packages ...string) error {
	source := filepath.Join(dir, "source")
	if err := os.MkdirAll(source, 0o750); err != nil {
		return fault.New(fault.Internal, "harness.build", "%w", err)
	}
	root, err := exec.Command("git", "rev-parse", "--show-toplevel").Output()
	if err != nil {
		return fault.New(fault.Internal, "harness.build", "find the repository: %w", err)
	}
	archive := filepath.Join(dir, "source.tar")
	command := exec.Command("git", "archive", "-o", archive, revision)
	command.Dir = strings.TrimSpace(string(root))
	if output, err := command.CombinedOutput(); err != nil {
		return fault.New(fault.Internal, "harness.build", "archive of %s: %w: %s", revision, err, output)
	}
	if output, err := exec.Command("tar", "-xf", archive, "-C", source).CombinedOutput(); err != nil {
		return fault.New(fault.Internal, "harness.build", "unpack %s: %w: %s", revision, err, output)
	}
	command = exec.Command("go", append([]string{"build", "-o", dir + "/"}, packages...)...)
	command.Dir = source
	if output, err := command.CombinedOutput(); err != nil {
		return fault.New(fault.Internal, "harness.build", "%s: %w: %s", revision, err, output)
	}
	return nil
}

// LoopbackIP returns the loopback IP address of a VM with a number from 1 to 254. The address is derived from the ID of
// the test process, so that concurrent test runs on one machine do not share addresses.
func LoopbackIP(vm int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+(pid>>8)%127, pid%256, vm)
}

// Process is a program that can be started, stopped and killed repeatedly. It must not be started while an instance of
// it runs. It is safe for concurrent use.
type Process struct {
	Path string
	Args []string
	// Log receives the standard output and standard error of the program.
	Log *os.File

	// mu guards the fields below.
	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	// stopRequested is set once Stop or Kill was called for the running instance.
	stopRequested   bool
	unexpectedExits []error
}

// Start starts an instance of the program and returns without waiting for it to exit.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	command := exec.Command(p.Path, p.Args...)
	command.Stdout, command.Stderr = p.Log, p.Log
	if err := command.Start(); err != nil {
		return fault.New(fault.Internal, "harness.start", "%s: %w", p.Path, err)
	}
	exited := make(chan struct{})
	p.command, p.exited, p.stopRequested = command, exited, false
	go func() {
		err := command.Wait()
		p.mu.Lock()
		defer p.mu.Unlock()
		if !p.stopRequested {
			p.unexpectedExits = append(p.unexpectedExits, fault.New(fault.Internal, "harness.wait", "%s %v exited unexpectedly: %v", p.Path, p.Args, err))
		}
		close(exited)
	}()
	return nil
}

// Signal sends a signal to the running instance.
func (p *Process) Signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// The error is ignored: an instance that has exited already is in UnexpectedExits.
	_ = p.command.Process.Signal(signal)
}

// Stop sends a signal that should end the program, and waits for the exit. A program that still runs after the timeout
// is killed and added to UnexpectedExits.
func (p *Process) Stop(signal syscall.Signal, timeout time.Duration) {
	p.mu.Lock()
	p.stopRequested = true
	command, exited := p.command, p.exited
	p.mu.Unlock()
	_ = command.Process.Signal(signal)
	select {
	case <-exited:
		return
	case <-time.After(timeout):
	}
	_ = command.Process.Kill()
	<-exited
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unexpectedExits = append(p.unexpectedExits, fault.New(fault.Internal, "harness.end", "%s %v was sent %v and did not exit within %s", p.Path, p.Args, signal, timeout))
}

// Kill sends SIGKILL and waits for the exit.
func (p *Process) Kill() { p.Stop(syscall.SIGKILL, time.Minute) }

// UnexpectedExits returns an error for each instance that exited before Stop or Kill was called, and for each one that
// did not exit within the timeout of Stop.
func (p *Process) UnexpectedExits() []error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]error(nil), p.unexpectedExits...)
}
