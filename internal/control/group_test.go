package control_test

import (
	"context"
	"fmt"
	"net"
	"net/rpc"
	"os"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/control"
	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/raftnode"
)

const (
	callTimeout  = 300 * time.Millisecond
	groupTimeout = 10 * time.Second
	// failAfter lets clients work before and after the loss of the leader.
	failAfter = 150 * time.Millisecond
)

// grouped paces the clients so that the leader is lost in the middle of a history that the checker can search.
var grouped = load{clients: 6, steps: 30, pause: 10 * time.Millisecond}

// groupMember is a control member of a group in this process.
type groupMember struct {
	name     string
	listener net.Listener
	node     *raftnode.Node
	service  *control.Service
}

func openMember(name string, first bool) *groupMember {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	machine := control.NewMachine()
	config := raftnode.Config{
		Name: name, Address: listener.Addr().String(), Dir: GinkgoT().TempDir(), Machine: machine,
		Dial:            func(address string) (net.Conn, error) { return net.DialTimeout("tcp", address, callTimeout) },
		SnapshotEntries: 50,
	}
	if first {
		Expect(raftnode.Bootstrap(config)).To(Succeed())
	}
	node, err := raftnode.Open(config)
	Expect(err).NotTo(HaveOccurred())
	m := &groupMember{name: name, listener: listener, node: node}
	m.service = control.NewService(name, machine, node, time.Now).WithGroup(control.NewRaftGroup(node))
	server := rpc.NewServer()
	Expect(server.RegisterName(controlrpc.ServiceName, m.service)).To(Succeed())
	Expect(server.RegisterName(raftnode.ServiceName, node.Service())).To(Succeed())
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go server.ServeConn(conn)
		}
	}()
	DeferCleanup(m.close)
	return m
}

func (m *groupMember) close() {
	_ = m.listener.Close()
	_ = m.node.Close()
}

func (m *groupMember) leads() bool { return m.node.Status().Role == raftnode.RoleLeader }

// openGroup returns three voters.
func openGroup() []*groupMember {
	members := []*groupMember{openMember("control-1", true), openMember("control-2", false), openMember("control-3", false)}
	Eventually(members[0].leads, groupTimeout).Should(BeTrue())
	for _, added := range members[1:] {
		args := controlrpc.GroupAddArgs{Name: added.name, Address: added.listener.Addr().String()}
		Eventually(func() error {
			var reply controlrpc.GroupChangeReply
			_ = members[0].service.GroupAdd(args, &reply)
			return reply.Fault.AsError()
		}, groupTimeout).Should(Succeed())
	}
	Eventually(func() int {
		voters := 0
		for _, member := range members[0].node.Members() {
			if member.Role == raftnode.RoleLeader || member.Role == raftnode.RoleVoter {
				voters++
			}
		}
		return voters
	}, groupTimeout).Should(Equal(3))
	return members
}

func leaderOf(members []*groupMember) *groupMember {
	var found *groupMember
	Eventually(func() bool {
		for _, member := range members {
			if member.leads() {
				found = member
			}
		}
		return found != nil
	}, groupTimeout).Should(BeTrue())
	return found
}

// remote is an endpoint over net/rpc with a time limit for each call.
type remote struct{ address string }

func (r remote) call(method string, args, reply any) error {
	conn, err := net.DialTimeout("tcp", r.address, callTimeout)
	if err != nil {
		return fault.New(fault.NotLeader, "test.dial", "nothing was sent: %w", err)
	}
	client := rpc.NewClient(conn)
	defer func() { _ = client.Close() }()
	select {
	case done := <-client.Go(controlrpc.ServiceName+"."+method, args, reply, make(chan *rpc.Call, 1)).Done:
		return done.Error
	case <-time.After(callTimeout):
		return os.ErrDeadlineExceeded
	}
}

func (r remote) Propose(args controlrpc.ProposeArgs, reply *controlrpc.ProposeReply) error {
	return r.call("Propose", args, reply)
}

func (r remote) View(args controlrpc.ViewArgs, reply *controlrpc.ViewReply) error {
	return r.call("View", args, reply)
}

// loseLeader runs the history while the leader is closed in between.
func loseLeader(members []*groupMember, history func(endpoints []endpoint) []porcupine.Operation) []porcupine.Operation {
	var endpoints []endpoint
	for _, member := range members {
		endpoints = append(endpoints, remote{address: member.listener.Addr().String()})
	}
	leader := leaderOf(members)
	timer := time.AfterFunc(failAfter, leader.close)
	defer timer.Stop()
	return history(endpoints)
}

func describe(history []porcupine.Operation) string {
	unanswered := 0
	for _, operation := range history {
		if operation.Output == noAnswer {
			unanswered++
		}
	}
	return fmt.Sprintf("%d operations, %d without an answer", len(history), unanswered)
}

var _ = Describe("concurrent histories against a group of three whose leader is lost", func() {
	It("are linearizable for configuration changes with resends", func() {
		history := loseLeader(openGroup(), func(endpoints []endpoint) []porcupine.Operation { return configHistory(endpoints, grouped) })
		AddReportEntry("history", describe(history))
		Expect(check(configModel, history)).To(Equal(porcupine.Ok))
	})

	It("are linearizable for bookings", func() {
		members := openGroup()
		owner := join(leaderOf(members).service)
		history := loseLeader(members, func(endpoints []endpoint) []porcupine.Operation { return bookingHistory(endpoints, grouped, owner) })
		AddReportEntry("history", describe(history))
		Expect(check(bookingModel, history)).To(Equal(porcupine.Ok))
	})

	It("hands leadership over at a planned stop", func() {
		members := openGroup()
		leader := leaderOf(members)
		ctx, cancel := context.WithTimeout(context.Background(), groupTimeout)
		defer cancel()
		Expect(leader.node.TransferLeadership(ctx, "")).To(Succeed())
		Eventually(leader.leads, groupTimeout).Should(BeFalse())
		Expect(leaderOf(members)).NotTo(BeIdenticalTo(leader))
	})
})
