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
	var d *directory.Directory
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
		d = directory.New(machine, client, slog.New(slog.DiscardHandler))
	})

	beat := func(sequence uint64, state registry.State) registry.Report {
		return registry.Report{Instance: registry.Instance{
			ID: "i", Service: "s", Address: "127.0.0.1:1", Slots: 1, State: state, Sequence: sequence,
		}}
	}

	It("registers an upstream, answers renewals by itself and passes a drain on", func() {
		ctx := context.Background()
		Expect(d.Report(ctx, beat(1, registry.Ready))).To(Succeed())
		revision := machine.Revision()
		Expect(d.Report(ctx, beat(2, registry.Ready))).To(Succeed())
		Expect(machine.Revision()).To(Equal(revision), "a renewal must not reach the log")
		Expect(d.Report(ctx, beat(3, registry.Draining))).To(Succeed())
		Expect(machine.Revision()).To(BeNumerically(">", revision))
	})

	It("passes a departure on even if this member does not know the upstream yet", func() {
		Expect(d.Report(context.Background(), beat(1, registry.Ready))).To(Succeed())
		lagging := directory.New(control.NewMachine(), controlrpc.NewClient([]string{listener.Addr().String()}, controlrpc.PlainDialer),
			slog.New(slog.DiscardHandler))
		left := registry.Report{Instance: registry.Instance{ID: "i"}, Left: true}
		Expect(lagging.Report(context.Background(), left)).To(Succeed())
		Expect(machine.InstanceCount()).To(BeZero())
	})

	It("returns a configuration byte by byte", func() {
		table := route.Table{Version: 5, Services: []route.Service{{Name: "a"}}}
		document := []byte(`{"version":5, "note":"` + strings.Repeat("x", 5000) + `"}`)
		Expect(d.PutRoutes(context.Background(), table, document)).To(BeEquivalentTo(5))
		reply, err := d.ReadRoutes(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Source).To(Equal(document))
	})

	It("refuses an invalid table without asking the group", func() {
		unreachable := directory.New(machine, controlrpc.NewClient([]string{"127.0.0.1:1"}, controlrpc.PlainDialer), slog.New(slog.DiscardHandler))
		_, err := unreachable.PutRoutes(context.Background(), route.Table{}, nil)
		Expect(fault.CodeOf(err)).To(Equal(fault.BadRequest))
	})

	It("refuses a read when no leader confirms it", func() {
		unreachable := directory.New(machine, controlrpc.NewClient([]string{"127.0.0.1:1"}, controlrpc.PlainDialer), slog.New(slog.DiscardHandler))
		_, err := unreachable.ReadRoutes(context.Background())
		Expect(fault.CodeOf(err)).To(Equal(fault.Unavailable))
	})
})
