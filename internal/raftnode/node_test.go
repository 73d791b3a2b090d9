package raftnode_test

import (
	"context"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/control"
	"github.com/wisteriamux/wisteriamux/internal/raftnode"
)

func TestRaftnode(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Raftnode")
}

var _ control.Replicator = (*raftnode.Node)(nil)

// recorder is a state machine that keeps the commands in order.
type recorder struct{ commands []string }

func (r *recorder) Apply(_ uint64, data []byte) []byte {
	r.commands = append(r.commands, string(data))
	return data
}

func (r *recorder) Snapshot() ([]byte, error) { return nil, nil }

func (r *recorder) Restore([]byte) error { return nil }

var _ = Describe("a group of one", func() {
	It("keeps acknowledged entries over a restart", func() {
		dir := GinkgoT().TempDir()
		open := func(machine raftnode.StateMachine) *raftnode.Node {
			node, err := raftnode.Open(raftnode.Config{Name: "a", Address: "127.0.0.1:1", Dir: dir, Machine: machine})
			Expect(err).NotTo(HaveOccurred())
			return node
		}
		Expect(raftnode.Bootstrap(raftnode.Config{Name: "a", Address: "127.0.0.1:1", Dir: dir})).To(Succeed())
		node := open(&recorder{})
		Expect(node.Propose(context.Background(), []byte("x"))).To(Equal([]byte("x")))
		Expect(node.Close()).To(Succeed())
		machine := &recorder{}
		node = open(machine)
		Expect(machine.commands).To(Equal([]string{"x"}))
		Expect(node.Leader()).To(Equal("a"))
		Expect(node.Close()).To(Succeed())
	})

	It("does not form from an empty directory without bootstrap", func() {
		config := raftnode.Config{Name: "a", Address: "127.0.0.1:1", Dir: GinkgoT().TempDir(), Machine: &recorder{}}
		node, err := raftnode.Open(config)
		Expect(err).NotTo(HaveOccurred())
		Expect(node.Leader()).To(BeEmpty())
		Expect(node.Close()).To(Succeed())
	})
})
