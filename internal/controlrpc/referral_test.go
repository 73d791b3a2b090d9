package controlrpc_test

import (
	"context"
	"net"
	"net/rpc"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/fault"
)

func TestControlrpc(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Controlrpc")
}

// member is a fake control member that answers watches.
type member struct {
	isLeader bool
	members  *[]string
	// knownLeader is the address of the leader that the member names, or empty.
	knownLeader string
	// delay is how long a watch takes, and calls the number of watches.
	delay time.Duration
	calls atomic.Int64
}

// Watch implements the control service.
func (m *member) Watch(_ controlrpc.WatchArgs, reply *controlrpc.WatchReply) error {
	m.calls.Add(1)
	time.Sleep(m.delay)
	reply.Members = *m.members
	reply.Leader = m.knownLeader
	if !m.isLeader {
		reply.Fault = fault.ToWire(fault.New(fault.NotLeader, "test", "this member is not the leader"))
	}
	reply.Revision = 5
	return nil
}

func startMember(m *member) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	server := rpc.NewServer()
	Expect(server.RegisterName(controlrpc.ServiceName, m)).To(Succeed())
	go server.Accept(listener)
	return listener.Addr().String()
}

var _ = Describe("a client of the control group", func() {
	var addresses []string
	var members []*member
	BeforeEach(func() {
		addresses, members = nil, nil
		for range 5 {
			m := &member{members: &addresses}
			members = append(members, m)
			addresses = append(addresses, startMember(m))
		}
	})

	watch := func(seeds ...string) error {
		client := controlrpc.NewClient(seeds, controlrpc.PlainDialer)
		defer client.Close()
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		_, err := client.Watch(ctx, controlrpc.WatchArgs{Known: 1})
		return err
	}

	It("finds a leader that is not among its addresses", func() {
		members[4].isLeader = true
		Expect(watch(addresses[0])).To(Succeed())
	})

	It("finds the leader although two isolated members name each other as the leader", func() {
		members[3].isLeader = true
		members[0].knownLeader = addresses[1]
		members[1].knownLeader = addresses[0]
		Expect(watch(addresses[0], addresses[1])).To(Succeed())
	})

	It("returns the first reply when another member does not respond", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		members[2].isLeader = true
		client := controlrpc.NewClient([]string{listener.Addr().String(), addresses[2]}, controlrpc.PlainDialer)
		defer client.Close()
		started := time.Now()
		reply, err := client.WatchAny(context.Background(), controlrpc.WatchArgs{})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Revision).To(BeEquivalentTo(5))
		Expect(time.Since(started)).To(BeNumerically("<", time.Second), "an unresponsive member would take one second")
	})

	It("keeps its connection and the leader when a member of an older version does not know a call", func() {
		members[0].isLeader = true
		client := controlrpc.NewClient(addresses[:1], controlrpc.PlainDialer)
		defer client.Close()
		waiting := make(chan error, 1)
		members[0].delay = 300 * time.Millisecond
		go func() {
			_, err := client.Watch(context.Background(), controlrpc.WatchArgs{Known: 1})
			waiting <- err
		}()
		time.Sleep(50 * time.Millisecond)
		err := client.ReportSuspects(context.Background(), controlrpc.ReportSuspectsArgs{})
		Expect(fault.CodeOf(err)).To(Equal(fault.Unsupported))
		Expect(<-waiting).To(Succeed())
		Expect(members[0].calls.Load()).To(Equal(int64(1)), "a dropped connection would repeat the watch")
	})

	It("finds the leader although a member names an unreachable leader", func() {
		members[1].isLeader = true
		members[0].knownLeader = "127.0.0.1:1"
		Expect(watch(addresses[0])).To(Succeed())
	})
})
