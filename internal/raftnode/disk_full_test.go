package raftnode_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/raftnode"
	"github.com/wisteriamux/wisteriamux/internal/wal"
)

const (
	// ackBound is the users' bound for the acknowledgement of a change.
	ackBound = 5 * time.Second
	// reopenDelay is the time after which wmux-control opens its data directory again after a storage failure.
	reopenDelay = 500 * time.Millisecond
)

var errNoSpace = errors.New("no space left on device")

// fullFS is the file system of the operating system, except that while it is full each write stores half of its data and fails.
type fullFS struct {
	wal.OS
	full atomic.Bool
}

func (f *fullFS) Create(path string) (wal.File, error) {
	file, err := f.OS.Create(path)
	return fullFile{File: file, fs: f}, err
}

func (f *fullFS) OpenAppend(path string, size int64) (wal.File, error) {
	file, err := f.OS.OpenAppend(path, size)
	return fullFile{File: file, fs: f}, err
}

type fullFile struct {
	wal.File
	fs *fullFS
}

func (f fullFile) Write(data []byte) (int, error) {
	if !f.fs.full.Load() {
		return f.File.Write(data)
	}
	n, err := f.File.Write(data[:len(data)/2])
	if err != nil {
		return n, err
	}
	return n, errNoSpace
}

// keepOpen reopens the host's data directory after each storage failure until the context ends, as wmux-control does. Any other failure is
// reported.
func (h *host) keepOpen(ctx context.Context, failures chan<- error) {
	for {
		node := h.current()
		select {
		case <-ctx.Done():
			return
		case <-node.Done():
		}
		for ctx.Err() == nil {
			if !isStorageFailed(node.Err()) {
				failures <- fmt.Errorf("%s: %w", h.name, node.Err())
				return
			}
			time.Sleep(reopenDelay)
			h.mu.Lock()
			h.server = nil
			h.mu.Unlock()
			h.dropConns(false, false)
			if err := h.reopen(); err == nil {
				break
			} else if !isStorageFailed(err) {
				failures <- fmt.Errorf("%s: %w", h.name, err)
				return
			}
		}
	}
}

func (h *host) current() *raftnode.Node {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.node
}

// proposeAnywhere proposes the command at the member that is the leader until it is acknowledged or the time is up.
func (g *group) proposeAnywhere(command string, limit time.Duration) bool {
	for begin := time.Now(); time.Since(begin) < limit; time.Sleep(pollInterval) {
		for _, h := range g.hosts {
			node := h.current()
			if node.Leader() != h.name {
				continue
			}
			ctx, cancel := context.WithTimeout(context.Background(), min(time.Second, limit-time.Since(begin)))
			_, err := node.Propose(ctx, []byte(command))
			cancel()
			if err == nil {
				return true
			}
		}
	}
	return false
}

var _ = Describe("disks of five members that are full in turn, never two at once,", func() {
	for name, rhythm := range map[string]struct {
		fullFor, pause time.Duration
		// leaderFirst fills the disk of the current leader each time that it was not full yet.
		leaderFirst bool
	}{
		"for less than an election":             {fullFor: 60 * time.Millisecond, pause: 40 * time.Millisecond},
		"for about an election":                 {fullFor: 400 * time.Millisecond, pause: 50 * time.Millisecond},
		"for longer, with a pause":              {fullFor: 2500 * time.Millisecond, pause: 700 * time.Millisecond},
		"for longer, without a pause":           {fullFor: 2500 * time.Millisecond},
		"following the leader, without a pause": {fullFor: time.Second, leaderFirst: true},
		"following the leader, slowly":          {fullFor: 3 * time.Second, pause: time.Second, leaderFirst: true},
	} {
		It("leave a group that accepts changes at once, applied by all: "+name, func() {
			g := newGroup("a", "b", "c", "d", "e")
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			failures := make(chan error, len(g.hosts))
			var running sync.WaitGroup
			disks := map[*host]*fullFS{}
			for _, h := range g.hosts {
				disks[h] = &fullFS{}
				h.fs = disks[h]
				h.stop()
				h.start()
				running.Go(func() { h.keepOpen(ctx, failures) })
			}
			g.leader()
			stop := make(chan struct{})
			acked := 0
			running.Go(func() {
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					default:
					}
					if g.proposeAnywhere(fmt.Sprintf("%d-%s", n, padding), time.Second) {
						acked++
					}
					time.Sleep(5 * time.Millisecond)
				}
			})
			left := append([]*host(nil), g.hosts...)
			for len(left) > 0 {
				next := 0
				for n, h := range left {
					if rhythm.leaderFirst && h.current().Leader() == h.name {
						next = n
					}
				}
				h := left[next]
				left = append(left[:next], left[next+1:]...)
				disks[h].full.Store(true)
				time.Sleep(rhythm.fullFor)
				disks[h].full.Store(false)
				time.Sleep(rhythm.pause)
			}
			close(stop)
			Expect(g.proposeAnywhere("last", ackBound)).To(BeTrue(), "no change is accepted after all disks have room again")
			for _, h := range g.hosts {
				Eventually(func() []string { return h.commands() }, ackBound, pollInterval).Should(ContainElement("last"), h.name)
			}
			cancel()
			running.Wait()
			Expect(failures).NotTo(Receive())
			GinkgoWriter.Printf("%d changes acknowledged\n", acked)
			Expect(acked).To(BeNumerically(">", 0))
		})
	}
})
