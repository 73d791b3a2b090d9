package raftnode_test

import (
	"context"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/wisteriamux/wisteriamux/internal/control"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/raftnode"
)

func TestRaftnode(t *testing.T) {
	ignored := []goleak.Option{
		goleak.IgnoreCurrent(),
		goleak.IgnoreAnyFunction("github.com/onsi/ginkgo/v2/internal/interrupt_handler.(*InterruptHandler).registerForInterrupts.func2"),
	}
	RegisterFailHandler(Fail)
	RunSpecs(t, "Raftnode")
	goleak.VerifyNone(t, ignored...)
}

var _ control.Replicator = (*raftnode.Node)(nil)

var _ = Describe("a group of one member", func() {
	It("keeps acknowledged entries across restarts with snapshots", func() {
		g := newGroup("a")
		g.propose("first", 3*snapshotEntries)
		for range 2 {
			g.hosts[0].stop()
			g.hosts[0].start()
			g.expectAcked(3 * snapshotEntries)
		}
		Expect(g.hosts[0].node.Status().SnapshotIndex).To(BeNumerically(">", 0))
	})

	It("does not form from an empty data directory without Bootstrap", func() {
		h := newHost("a")
		h.start()
		Consistently(h.node.Leader, 50*testTick, pollInterval).Should(BeEmpty())
		_, err := h.node.Propose(context.Background(), []byte("x"))
		Expect(fault.Is(err, fault.NotLeader)).To(BeTrue())
	})

	It("rejects a second Bootstrap and a second process on the same data directory, which would overwrite the log", func() {
		g := newGroup("a")
		Expect(fault.Is(raftnode.Bootstrap(g.hosts[0].config()), fault.Conflict)).To(BeTrue())
		_, err := raftnode.Open(g.hosts[0].config())
		Expect(fault.Is(err, fault.Conflict)).To(BeTrue())
	})

	It("falls back to the previous snapshot if the latest is corrupt, and fails to open if the log does not reach back to an intact one", func() {
		g := newGroup("a")
		h := g.hosts[0]
		for _, prefix := range []string{"p", "q", "r", "s"} {
			g.propose(prefix, snapshotEntries+10)
		}
		Eventually(func() []string { return snapshotFiles(h) }, waitTimeout, pollInterval).Should(HaveLen(2))
		h.stop()
		corruptSnapshots(h, 1)
		h.start()
		g.expectAcked(4 * snapshotEntries)
		h.stop()
		corruptSnapshots(h, 2)
		h.machine = &recorder{}
		_, err := raftnode.Open(h.config())
		Expect(fault.Is(err, fault.Corrupt)).To(BeTrue(), "%v", err)
	})
})

func snapshotFiles(h *host) []string {
	names, err := filepath.Glob(filepath.Join(h.dir, "snapshots", "*.snap"))
	Expect(err).NotTo(HaveOccurred())
	return names
}

// corruptSnapshots flips a bit in each of the latest count snapshots.
func corruptSnapshots(h *host, count int) {
	names := snapshotFiles(h)
	for _, name := range names[len(names)-count:] {
		data, err := os.ReadFile(name)
		Expect(err).NotTo(HaveOccurred())
		data[len(data)/2] ^= 1
		Expect(os.WriteFile(name, data, 0o600)).To(Succeed())
	}
}

var _ = Describe("a group of three members", func() {
	It("loses no acknowledged command when the leader stops, all members restart, a disk is wiped and a second member stops", func() {
		g := newGroup("a", "b", "c")
		g.propose("first", 600)
		g.expectAcked(600)

		old := g.leader()
		old.stop()
		g.expectAcked(600)
		g.propose("second", 100)
		old.start()

		for _, h := range g.hosts {
			h.stop()
		}
		for _, h := range g.hosts {
			h.start()
		}
		g.expectAcked(700)
		Expect(g.leader().node.Status().SnapshotIndex).To(BeNumerically(">", 0))

		wiped := g.follower()
		wiped.wipe()
		wiped.start()
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		err := g.leader().node.AddMember(ctx, wiped.name, wiped.listener.Addr().String())
		Expect(fault.Is(err, fault.Conflict)).To(BeTrue(), "the previous identity of the wiped member is still in the membership")
		Expect(g.leader().node.RemoveMember(ctx, wiped.name)).To(Succeed())
		g.add(wiped)
		g.leader().stop()
		g.expectAcked(700)
		g.propose("third", 100)
		g.expectAcked(800)
		Eventually(func() int { return len(wiped.machine.list()) }, waitTimeout, pollInterval).Should(BeNumerically(">=", 800))
		expectAppliedOnce(wiped.machine.list(), g.acked)
	})

	It("fails reads and writes on a partitioned leader, while the other members elect a new one", func() {
		g := newGroup("a", "b", "c")
		g.propose("first", 10)
		old := g.leader()
		old.dropConns(true, true)
		Expect(readBarrier(old.node)).NotTo(Succeed())
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := old.node.Propose(ctx, []byte("lost"))
		Expect(err).To(HaveOccurred())
		Eventually(old.node.Status, waitTimeout, pollInterval).ShouldNot(HaveField("Role", raftnode.RoleLeader))
		g.propose("second", 10)
		g.expectAcked(20)
		old.dropConns(false, false)
		Eventually(func() int { return len(old.machine.list()) }, waitTimeout, pollInterval).Should(BeNumerically(">=", 20))
		expectAppliedOnce(old.machine.list(), g.acked)
	})

	It("stops a member whose disk fails with a typed error and without acknowledging commands, while the others continue", func() {
		g := newGroup("a", "b", "c")
		failing := g.leader()
		disk := &failingFS{}
		failing.fs = disk
		failing.stop()
		failing.start()
		g.propose("first", 10)
		disk.mu.Lock()
		disk.failSyncs = true
		disk.mu.Unlock()
		g.propose("second", 10)
		Eventually(failing.node.Done(), waitTimeout, pollInterval).Should(BeClosed())
		Expect(isStorageFailed(failing.node.Err())).To(BeTrue(), "%v", failing.node.Err())
		g.propose("third", 10)
		g.expectAcked(20)
	})

	It("recovers from a received snapshot if the member crashed before it replaced the log", func() {
		g := newGroup("a", "b", "c")
		lagging := g.follower()
		lagging.stop()
		g.propose("first", 2*snapshotEntries)
		leader := g.leader()
		Eventually(func() []string { return snapshotFiles(leader) }, waitTimeout, pollInterval).ShouldNot(BeEmpty())
		latest := slices.Max(snapshotFiles(leader))
		data, err := os.ReadFile(latest)
		Expect(err).NotTo(HaveOccurred())
		Expect(os.WriteFile(filepath.Join(lagging.dir, "snapshots", filepath.Base(latest)), data, 0o600)).To(Succeed())
		for range 2 {
			lagging.start()
			Eventually(func() int { return len(lagging.machine.list()) }, waitTimeout, pollInterval).Should(Equal(2 * snapshotEntries))
			expectAppliedOnce(lagging.machine.list(), g.acked)
			lagging.stop()
		}
	})

	It("rejects a new member that is a voter of another group, whose log conflicts with its own", func() {
		g, other := newGroup("a"), newGroup("b")
		other.leader()
		err := g.leader().node.AddMember(context.Background(), "b", other.hosts[0].listener.Addr().String())
		Expect(fault.Is(err, fault.Conflict)).To(BeTrue(), "%v", err)
	})

	It("is not slowed down by an unresponsive peer", func() {
		g := newGroup("a", "b", "c")
		g.follower().dropConns(true, false)
		g.propose("first", 300)
		g.expectAcked(300)
	})

	It("transfers leadership before a planned stop and reports its members", func() {
		g := newGroup("a", "b", "c")
		old := g.leader()
		Expect(old.node.TransferLeadership(context.Background(), "")).To(Succeed())
		leader := g.leader()
		Expect(leader.name).NotTo(Equal(old.name))
		members := leader.node.Members()
		Expect(members).To(HaveLen(3))
		for _, member := range members {
			Eventually(func() uint64 { return matchOf(leader.node, member.ID) }, waitTimeout, pollInterval).Should(Equal(leader.node.Status().Commit))
		}
		Expect(leader.node.RemoveMember(context.Background(), old.name)).To(Succeed())
		Expect(leader.node.Members()).To(HaveLen(2))
	})
})

func matchOf(node *raftnode.Node, id uint64) uint64 {
	for _, member := range node.Members() {
		if member.ID == id {
			return member.Match
		}
	}
	return 0
}
