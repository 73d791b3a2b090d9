// Package harness runs the real programs for tests as separate processes, and injects faults from outside them.
package harness

import (
	"fmt"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/fault"
)

// Build builds the programs of the packages into the directory.
func Build(dir string, packages ...string) error {
	output, err := exec.Command("go", append([]string{"build", "-o", dir + "/"}, packages...)...).CombinedOutput()
	if err != nil {
		return fault.New(fault.Internal, "harness.build", "%w: %s", err, output)
	}
	return nil
}

// Loopback returns the address of a VM. It depends on the test process, so that two runs on one machine do not meet.
func Loopback(vm int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+(pid>>8)%127, pid%256, vm)
}

// Process is a program that is started, stopped and killed, possibly several times. It is safe for concurrent use.
type Process struct {
	Path string
	Args []string
	// Log receives what the program writes.
	Log *os.File

	// mu guards the fields below.
	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	// asked is set once an end of the running program is wanted.
	asked      bool
	unexpected []error
}

// Start starts the program.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	command := exec.Command(p.Path, p.Args...)
	command.Stdout, command.Stderr = p.Log, p.Log
	if err := command.Start(); err != nil {
		return fault.New(fault.Internal, "harness.start", "%s: %w", p.Path, err)
	}
	ended := make(chan struct{})
	p.command, p.ended, p.asked = command, ended, false
	go func() {
		err := command.Wait()
		p.mu.Lock()
		defer p.mu.Unlock()
		if !p.asked {
			p.unexpected = append(p.unexpected, fault.New(fault.Internal, "harness.wait", "%s %v ended by itself: %v", p.Path, p.Args, err))
		}
		close(ended)
	}()
	return nil
}

// Signal sends a signal to the running program.
func (p *Process) Signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// A program that has ended is found by Unexpected.
	_ = p.command.Process.Signal(signal)
}

// End sends a signal that ends the program and waits; a program that is still there after the limit is killed, and
// reported unless it was killed in the first place.
func (p *Process) End(signal syscall.Signal, limit time.Duration) {
	p.mu.Lock()
	p.asked = true
	command, ended := p.command, p.ended
	p.mu.Unlock()
	_ = command.Process.Signal(signal)
	select {
	case <-ended:
		return
	case <-time.After(limit):
	}
	_ = command.Process.Kill()
	<-ended
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unexpected = append(p.unexpected, fault.New(fault.Internal, "harness.end", "%s %v ignored %v for %s", p.Path, p.Args, signal, limit))
}

// Kill ends the program without a warning.
func (p *Process) Kill() { p.End(syscall.SIGKILL, time.Minute) }

// Unexpected returns the ends that nobody asked for.
func (p *Process) Unexpected() []error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]error(nil), p.unexpected...)
}
