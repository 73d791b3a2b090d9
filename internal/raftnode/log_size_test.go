package raftnode_test

import (
	"bytes"
	"context"
	"io/fs"
	"path/filepath"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/raftnode"
)

// latest is a state machine that holds the last command only, like the route table in force.
type latest struct {
	mu   sync.Mutex
	data []byte
}

func (l *latest) Apply(_ uint64, data []byte) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.data = data
	return nil
}

func (l *latest) Snapshot() ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return bytes.Clone(l.data), nil
}

func (l *latest) Restore(data []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.data = data
	return nil
}

func (l *latest) content() []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.data
}

// dirBytes returns the size of all files below the directory.
func dirBytes(dir string) int64 {
	total := int64(0)
	_ = filepath.WalkDir(dir, func(_ string, entry fs.DirEntry, err error) error {
		if err != nil {
			return nil
		}
		if info, err := entry.Info(); err == nil && info.Mode().IsRegular() {
			total += info.Size()
		}
		return nil
	})
	return total
}

// Guards against review/2 and review/7: few but large entries filled the disks of all members at the same time.
var _ = Describe("a log of few large entries", func() {
	// diskBytes is the disk of a control member of the users' sites.
	const diskBytes, entryBytes, entries = 128 << 20, 1 << 20, 250

	It("stays within half of the members' disks, and the last entry is there after a restart", func() {
		h := newHost("one")
		machine := &latest{}
		open := func() *raftnode.Node {
			config := h.config()
			config.Machine = machine
			node, err := raftnode.Open(config)
			Expect(err).NotTo(HaveOccurred())
			return node
		}
		Expect(raftnode.Bootstrap(h.config())).To(Succeed())
		node := open()
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
		defer cancel()
		most := int64(0)
		for n := range entries {
			command := bytes.Repeat([]byte{byte(n)}, entryBytes)
			Eventually(func() error { _, err := node.Propose(ctx, command); return err }, waitTimeout, pollInterval).Should(Succeed())
			most = max(most, dirBytes(h.dir))
		}
		Expect(most).To(BeNumerically("<", diskBytes/2))
		Expect(node.Close()).To(Succeed())
		machine = &latest{}
		node = open()
		defer func() { _ = node.Close() }()
		Eventually(func() []byte { return machine.content()[:min(1, len(machine.content()))] }, waitTimeout, pollInterval).Should(Equal([]byte{entries - 1}))
	})
})
