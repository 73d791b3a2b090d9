package main

import (
	"log/slog"
	"net"
	"net/rpc"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/control"
	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/controlstate"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/model"
	"github.com/wisteriamux/wisteriamux/internal/raftnode"
	"github.com/wisteriamux/wisteriamux/internal/security"
)

func TestWmuxControl(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "wmux-control")
}

var _ = Describe("role-based access", func() {
	var dir, address string

	connect := func(role security.Role, name string) *rpc.Client {
		files, err := security.Issue(dir, security.Identity{Role: role, Name: name}, time.Hour)
		Expect(err).NotTo(HaveOccurred())
		transport, err := security.NewTransport(files)
		Expect(err).NotTo(HaveOccurred())
		conn, err := transport.Dialer(func(to string) (net.Conn, error) { return net.Dial("tcp", to) }, security.RoleControl)(address)
		Expect(err).NotTo(HaveOccurred())
		client := rpc.NewClient(conn)
		DeferCleanup(client.Close)
		return client
	}

	BeforeEach(func() {
		dir = GinkgoT().TempDir()
		Expect(security.CreateAuthority(dir, time.Hour)).To(Succeed())
		files, err := security.Issue(dir, security.Identity{Role: security.RoleControl, Name: "control-1"}, time.Hour)
		Expect(err).NotTo(HaveOccurred())
		transport, err := security.NewTransport(files)
		Expect(err).NotTo(HaveOccurred())
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		address = listener.Addr().String()
		machine := control.NewMachine()
		service := control.NewService("control-1", machine, control.NewMemoryReplicator("control-1", machine), time.Now)
		rpcEndpoint := &endpoint{service: service, raft: &raftnode.Service{}, log: slog.New(slog.DiscardHandler)}
		go rpcEndpoint.accept(transport.Listener(listener, security.RoleControl, security.RoleEntry, security.RoleOperator))
	})

	It("allows an entry VM to act only on its own behalf", func() {
		client := connect(security.RoleEntry, "entry-1")
		join := func(id string) *fault.WireError {
			var reply controlrpc.JoinReply
			Expect(client.Call("Control.Join", controlrpc.JoinArgs{Member: model.Member{ID: id, RPCAddress: "127.0.0.1:1"}}, &reply)).To(Succeed())
			return reply.Fault
		}
		propose := func(command controlstate.Command) fault.Code {
			var reply controlrpc.ProposeReply
			Expect(client.Call("Control.Propose", controlrpc.ProposeArgs{Command: command}, &reply)).To(Succeed())
			return fault.CodeOf(reply.Fault.AsError())
		}
		Expect(join("entry-1")).To(BeNil())
		Expect(join("entry-2").Code).To(Equal(fault.Forbidden), "the join would fence another VM")
		Expect(propose(controlstate.Command{ExpireMember: &controlstate.ExpireMember{ID: "entry-2"}})).To(Equal(fault.Forbidden))
		Expect(propose(controlstate.Command{ApplyConfig: &controlstate.ApplyConfig{ChangeID: "x"}})).To(Equal(fault.Forbidden))
		for _, method := range []string{"Control.GroupRemove", "Raft.Identify"} {
			Expect(client.Call(method, struct{}{}, &struct{}{})).To(MatchError(ContainSubstring("can't find")))
		}
	})

	It("denies lease renewals to operators and allows Raft calls only to control members", func() {
		operator := connect(security.RoleOperator, "ops")
		var status controlrpc.StatusReply
		Expect(operator.Call("Control.Status", controlrpc.StatusArgs{}, &status)).To(Succeed())
		Expect(status.Leader).To(Equal("control-1"))
		for _, method := range []string{"Control.Renew", "Raft.Identify"} {
			Expect(operator.Call(method, struct{}{}, &struct{}{})).To(MatchError(ContainSubstring("can't find")))
		}
		member := connect(security.RoleControl, "control-2")
		Expect(member.Call("Control.View", struct{}{}, &struct{}{})).To(MatchError(ContainSubstring("can't find")))
	})
})
