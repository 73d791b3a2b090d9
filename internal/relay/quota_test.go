package relay

import (
	"context"
	"net"
	"net/rpc"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/sharedrate"
)

var _ = Describe("a call about quotas to a VM of an older version", func() {
	It("ends as unsupported and leaves the connection open", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		server := rpc.NewServer()
		Expect(server.RegisterName(ServiceName, &olderRelay{})).To(Succeed())
		go server.Accept(listener)
		link := newLink(controlrpc.Peer{ID: "older", Address: listener.Addr().String()}, controlrpc.PlainDialer, discard)
		DeferCleanup(link.close)
		Eventually(func() bool { return link.usable(time.Now()) }).Should(BeTrue())
		_, err = link.Credits(context.Background(), CreditsArgs{})
		Expect(fault.CodeOf(err)).To(Equal(fault.Unsupported))
		_, err = link.TakeOver(context.Background(), TakeOverArgs{Claims: []sharedrate.Claim{{Team: "t"}}})
		Expect(fault.CodeOf(err)).To(Equal(fault.Unsupported))
		Expect(link.usable(time.Now())).To(BeTrue())
	})
})

var _ = Describe("the order of candidates for the bucket of a team", func() {
	It("is the same at all VMs and does not depend on which of them is asked", func() {
		dial := func(string) (net.Conn, error) { return nil, net.ErrClosed }
		all := []controlrpc.Peer{{ID: "a", FailureDomain: "x"}, {ID: "b", FailureDomain: "x"}, {ID: "c", FailureDomain: "y"}}
		first := map[string]bool{}
		for _, self := range all {
			peers := NewPeers(self.ID, self.FailureDomain, dial, discard)
			peers.Update(all, time.Now())
			first[peers.FirstQuotaHolder("team")] = true
			_, total := peers.QuotaCandidates(time.Now())
			Expect(total).To(Equal(3))
		}
		Expect(first).To(HaveLen(1))
	})

	It("is not known before the control group has sent the list", func() {
		peers := NewPeers("a", "x", controlrpc.PlainDialer, discard)
		Expect(peers.QuotaHolders("team", time.Now())).To(BeEmpty())
	})
})
