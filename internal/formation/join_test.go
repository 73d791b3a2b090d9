package formation_test

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/formation"
	"github.com/wisteriamux/wisteriamux/internal/raftnode"
)

// fakeNode is a member of a group with a leader.
type fakeNode struct {
	members atomic.Pointer[[]raftnode.MemberStatus]
}

func (n *fakeNode) Status() raftnode.Status {
	return raftnode.Status{Role: raftnode.RoleVoter, Leader: "one"}
}

func (n *fakeNode) Members() []raftnode.MemberStatus { return *n.members.Load() }

func (n *fakeNode) set(addresses ...string) {
	var members []raftnode.MemberStatus
	for _, address := range addresses {
		members = append(members, raftnode.MemberStatus{Address: address})
	}
	n.members.Store(&members)
}

var _ = Describe("a joiner", func() {
	It("adopts the address of a member that replaced another one, although the number of members is the same", func() {
		node := &fakeNode{}
		node.set("10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1")
		client := controlrpc.NewClient([]string{"10.0.0.1:1"}, controlrpc.PlainDialer)
		defer client.Close()
		joiner := &formation.Joiner{Node: node, Client: client, Seeds: []string{"10.0.0.1:1"}, Log: slog.New(slog.DiscardHandler)}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go joiner.Run(ctx)
		Eventually(client.Addresses, 3*time.Second).Should(ConsistOf("10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"))
		node.set("10.0.0.1:1", "10.0.0.2:1", "10.0.0.4:1")
		Eventually(client.Addresses, 3*time.Second).Should(ConsistOf("10.0.0.1:1", "10.0.0.2:1", "10.0.0.4:1"))
	})
})
