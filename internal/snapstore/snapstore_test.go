package snapstore_test

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/raft"
	"github.com/wisteriamux/wisteriamux/internal/snapstore"
	"github.com/wisteriamux/wisteriamux/internal/wal"
)

func TestSnapstore(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Snapstore")
}

func snapshot(index uint64) raft.Snapshot {
	group := raft.Membership{Members: []raft.Member{{ID: 1, Name: "a", Voter: true}}}
	return raft.Snapshot{Position: raft.Position{Index: index, Term: 2}, Membership: group, Data: make([]byte, 100)}
}

// failingFS is the file system of the operating system, except that the operation named by fail fails.
type failingFS struct {
	wal.OS
	fail string
}

func (f failingFS) Rename(from, to string) error {
	if f.fail == "rename" {
		return errors.New("no space left on device")
	}
	return f.OS.Rename(from, to)
}

func (f failingFS) SyncDir(path string) error {
	if f.fail == "syncdir" {
		return errors.New("input/output error")
	}
	return f.OS.SyncDir(path)
}

var _ = Describe("Store", func() {
	var dir string
	open := func(fs wal.FS) *snapstore.Store {
		store, err := snapstore.Open(fs, dir)
		Expect(err).NotTo(HaveOccurred())
		return store
	}
	BeforeEach(func() { dir = GinkgoT().TempDir() })

	It("returns the latest snapshot and retains two", func() {
		store := open(wal.OS{})
		for i := range uint64(5) {
			Expect(store.Save(snapshot(i + 1))).To(Succeed())
		}
		Expect(store.Prune()).To(Succeed())
		latest, corrupt, err := store.Latest()
		Expect(err).NotTo(HaveOccurred())
		Expect(corrupt).To(BeEmpty())
		Expect(latest).To(Equal(snapshot(5)))
		Expect(store.Load(raft.Position{Index: 4, Term: 2})).To(Equal(snapshot(4)))
		_, err = store.Load(raft.Position{Index: 3, Term: 2})
		Expect(fault.Is(err, fault.StorageFailed)).To(BeTrue())
	})

	It("falls back to an older snapshot on corruption of any byte, and renames the corrupt one", func() {
		store := open(wal.OS{})
		Expect(store.Save(snapshot(1))).To(Succeed())
		Expect(store.Save(snapshot(2))).To(Succeed())
		paths, err := filepath.Glob(filepath.Join(dir, "*.snap"))
		Expect(err).NotTo(HaveOccurred())
		intact, err := os.ReadFile(paths[1])
		Expect(err).NotTo(HaveOccurred())
		for offset := range intact {
			corrupted := append([]byte(nil), intact...)
			corrupted[offset] ^= 1
			Expect(os.WriteFile(paths[1], corrupted, 0o600)).To(Succeed())
			latest, corrupt, err := store.Latest()
			Expect(err).NotTo(HaveOccurred())
			Expect(latest).To(Equal(snapshot(1)))
			Expect(corrupt).To(HaveLen(1))
		}
		Expect(os.WriteFile(paths[1], intact[:len(intact)/2], 0o600)).To(Succeed())
		latest, _, err := store.Latest()
		Expect(err).NotTo(HaveOccurred())
		Expect(latest).To(Equal(snapshot(1)))
	})

	It("reports a disk failure with a typed error and keeps the older snapshot", func() {
		Expect(open(wal.OS{}).Save(snapshot(1))).To(Succeed())
		for _, step := range []string{"rename", "syncdir"} {
			store := open(failingFS{fail: step})
			Expect(fault.Is(store.Save(snapshot(2)), fault.StorageFailed)).To(BeTrue())
		}
		Expect(open(wal.OS{}).Load(raft.Position{Index: 1, Term: 2})).To(Equal(snapshot(1)))
	})

	It("ignores and removes a snapshot whose write was interrupted before the rename", func() {
		_ = open(failingFS{fail: "rename"}).Save(snapshot(1))
		latest, _, err := open(wal.OS{}).Latest()
		Expect(err).NotTo(HaveOccurred())
		Expect(latest.Index).To(BeZero())
		names, err := os.ReadDir(dir)
		Expect(err).NotTo(HaveOccurred())
		Expect(names).To(BeEmpty())
	})
})
