package control

import (
	"fmt"
	"log/slog"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/relay"
)

var _ = Describe("the lists of entry VMs in a fleet that is larger than a list", func() {
	const (
		domains   = 6
		perDomain = 50
	)

	It("make every VM name the same holder of an upstream's bucket, so that no two VMs grant its rate limit", func() {
		table := newRelayTable()
		var fleet []controlrpc.Peer
		for n := range domains * perDomain {
			peer := controlrpc.Peer{ID: fmt.Sprintf("vm-%d", n), FailureDomain: fmt.Sprintf("d%d", n%domains), Address: "127.0.0.1:1"}
			fleet = append(fleet, peer)
			table.record(peer)
		}
		unreachable := func(string) (net.Conn, error) { return nil, net.ErrClosed }
		holders := map[string]map[string]bool{}
		for _, vm := range fleet {
			peers := relay.NewPeers(vm.ID, vm.FailureDomain, unreachable, slog.New(slog.DiscardHandler))
			peers.Update(table.list(vm.ID, func(string) bool { return true }), time.Now())
			for n := range 20 {
				upstream := fmt.Sprintf("u-%d", n)
				if holders[upstream] == nil {
					holders[upstream] = map[string]bool{}
				}
				holders[upstream][peers.FirstHolder(upstream)] = true
			}
		}
		for upstream, named := range holders {
			Expect(named).To(HaveLen(1), upstream)
			Expect(named).NotTo(HaveKey(""))
		}
	})
})
