package directory_test

import (
	"context"
	"log/slog"
	"net"
	"net/rpc"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/control"
	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/directory"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/registry"
	"github.com/wisteriamux/wisteriamux/internal/route"
)

func TestDirectory(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Directory")
}

var _ = Describe("a directory", func() {
	var machine *control.Machine
	var listener net.Listener
	var dir *directory.Directory
	BeforeEach(func() {
		machine = control.NewMachine()
		service := control.NewService("one", machine, control.NewMemoryReplicator("one", machine), time.Now)
		server := rpc.NewServer()
		Expect(server.RegisterName(controlrpc.ServiceName, service)).To(Succeed())
		var err error
		listener, err = net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		go server.Accept(listener)
		client := controlrpc.NewClient([]string{listener.Addr().String()}, controlrpc.PlainDialer)
		DeferCleanup(client.Close)
		dir = directory.New(machine, client, slog.New(slog.DiscardHandler))
	})

	heartbeat := func(sequence uint64, state registry.State) registry.Report {
		return registry.Report{Instance: registry.Instance{
			ID: "i", Service: "s", Address: "127.0.0.1:1", Slots: 1, State: state, Sequence: sequence,
		}}
	}

	It("forwards registrations and drains to the leader and answers renewals locally", func() {
		ctx := context.Background()
		Expect(dir.Report(ctx, heartbeat(1, registry.Ready))).To(Succeed())
		revision := machine.Revision()
		Expect(dir.Report(ctx, heartbeat(2, registry.Ready))).To(Succeed())
		Expect(machine.Revision()).To(Equal(revision), "a renewal must not be written to the log")
		Expect(dir.Report(ctx, heartbeat(3, registry.Draining))).To(Succeed())
		Expect(machine.Revision()).To(BeNumerically(">", revision))
	})

	It("forwards a departure even if this member does not know the upstream yet", func() {
		Expect(dir.Report(context.Background(), heartbeat(1, registry.Ready))).To(Succeed())
		lagging := directory.New(control.NewMachine(), controlrpc.NewClient([]string{listener.Addr().String()}, controlrpc.PlainDialer),
			slog.New(slog.DiscardHandler))
		departure := registry.Report{Instance: registry.Instance{ID: "i"}, Left: true}
		Expect(lagging.Report(context.Background(), departure)).To(Succeed())
		Expect(machine.InstanceCount()).To(BeZero())
	})

	It("returns the route document unchanged, byte for byte", func() {
		table := route.Table{Version: 5, Services: []route.Service{{Name: "a"}}}
		document := []byte(`{"version":5, "note":"` + strings.Repeat("x", 5000) + `"}`)
		Expect(dir.PutRoutes(context.Background(), table, document)).To(BeEquivalentTo(5))
		reply, err := dir.ReadRoutes(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Source).To(Equal(document))
	})

	It("refuses an invalid route table without calling the leader", func() {
		unreachable := directory.New(machine, controlrpc.NewClient([]string{"127.0.0.1:1"}, controlrpc.PlainDialer), slog.New(slog.DiscardHandler))
		_, err := unreachable.PutRoutes(context.Background(), route.Table{}, nil)
		Expect(fault.CodeOf(err)).To(Equal(fault.BadRequest))
	})

	It("fails to read the routes when no leader confirms them", func() {
		unreachable := directory.New(machine, controlrpc.NewClient([]string{"127.0.0.1:1"}, controlrpc.PlainDialer), slog.New(slog.DiscardHandler))
		_, err := unreachable.ReadRoutes(context.Background())
		Expect(fault.CodeOf(err)).To(Equal(fault.Unavailable))
	})
})
