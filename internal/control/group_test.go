package control_test

import (
	"fmt"
	"net"
	"net/rpc"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/control"
	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/raftnode"
)

const (
	dialTimeout  = 300 * time.Millisecond
	groupTimeout = 10 * time.Second
	// closeLeaderAfter is chosen so that clients run before and after the loss of the leader.
	closeLeaderAfter = 150 * time.Millisecond
)

// groupHistory paces the clients so that the leader is lost in the middle of a history that is short enough to check.
var groupHistory = historySize{clients: 6, steps: 30, pause: 10 * time.Millisecond}

// groupMember is a control member that runs in the test process.
type groupMember struct {
	name     string
	listener net.Listener
	node     *raftnode.Node
	service  *control.Service
}

func openMember(name string, bootstrap bool) *groupMember {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	machine := control.NewMachine()
	config := raftnode.Config{
		Name: name, Address: listener.Addr().String(), Dir: GinkgoT().TempDir(), Machine: machine,
		Dial:            func(address string) (net.Conn, error) { return net.DialTimeout("tcp", address, dialTimeout) },
		SnapshotEntries: 50,
	}
	if bootstrap {
		Expect(raftnode.Bootstrap(config)).To(Succeed())
	}
	node, err := raftnode.Open(config)
	Expect(err).NotTo(HaveOccurred())
	m := &groupMember{name: name, listener: listener, node: node}
	m.service = control.NewService(name, machine, node, time.Now).WithGroup(control.NewRaftGroup(node))
	server := rpc.NewServer()
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

func (m *groupMember) isLeader() bool { return m.node.Status().Role == raftnode.RoleLeader }

// openGroup starts a control group of three voters.
func openGroup() []*groupMember {
	members := []*groupMember{openMember("control-1", true), openMember("control-2", false), openMember("control-3", false)}
	Eventually(members[0].isLeader, groupTimeout).Should(BeTrue())
	for _, added := range members[1:] {
		args := controlrpc.GroupAddArgs{Name: added.name, Address: added.listener.Addr().String()}
		Eventually(func() error {
			var reply controlrpc.GroupChangeReply
			_ = members[0].service.GroupAdd(args, &reply)
			return reply.Fault.AsError()
		}, groupTimeout).Should(Succeed())
	}
	Eventually(func() (roles []raftnode.Role) {
		for _, member := range members[0].node.Members() {
			roles = append(roles, member.Role)
		}
		return roles
	}, groupTimeout).Should(ConsistOf(raftnode.RoleLeader, raftnode.RoleVoter, raftnode.RoleVoter))
	return members
}

func leaderOf(members []*groupMember) (leader *groupMember) {
	Eventually(func() *groupMember {
		for _, member := range members {
			if member.isLeader() {
				leader = member
			}
		}
		return leader
	}, groupTimeout).ShouldNot(BeNil())
	return leader
}

// runWithLeaderLoss runs the clients and closes the leader while they run.
func runWithLeaderLoss(members []*groupMember, run func(services []*control.Service) []porcupine.Operation) []porcupine.Operation {
	var services []*control.Service
	for _, member := range members {
		services = append(services, member.service)
	}
	timer := time.AfterFunc(closeLeaderAfter, leaderOf(members).close)
	defer timer.Stop()
	operations := run(services)
	unanswered := 0
	for _, operation := range operations {
		if operation.Output == noAnswer {
			unanswered++
		}
	}
	AddReportEntry("history", fmt.Sprintf("%d operations, %d without an answer", len(operations), unanswered))
	return operations
}

var _ = Describe("a group of three", func() {
	It("keeps configuration changes and bookings linearizable when its leader is lost", func() {
		Expect(checkConfig(runWithLeaderLoss(openGroup(), func(services []*control.Service) []porcupine.Operation {
			return configHistory(services, groupHistory)
		}))).To(Equal(porcupine.Ok))
		members := openGroup()
		owner := join(leaderOf(members).service)
		Expect(checkBookings(runWithLeaderLoss(members, func(services []*control.Service) []porcupine.Operation {
			return bookingHistory(services, groupHistory, owner)
		}))).To(Equal(porcupine.Ok))
	})
})
