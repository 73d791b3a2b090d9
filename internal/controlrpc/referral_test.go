package controlrpc_test

import (
	"context"
	"net"
	"net/rpc"
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

// member answers watches as a control member would.
type member struct {
	leads   bool
	members *[]string
	// believes is the leader that the member knows, or empty.
	believes string
}

// Watch implements the control service.
func (m *member) Watch(_ controlrpc.WatchArgs, reply *controlrpc.WatchReply) error {
	reply.Members = *m.members
	reply.Leader = m.believes
	if !m.leads {
		reply.Fault = fault.ToWire(fault.New(fault.NotLeader, "test", "does not lead"))
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
	var all []string
	var members []*member
	BeforeEach(func() {
		all, members = nil, nil
		for range 5 {
			m := &member{members: &all}
			members = append(members, m)
			all = append(all, startMember(m))
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

	It("finds a leader that none of its addresses names", func() {
		members[4].leads = true
		Expect(watch(all[0])).To(Succeed())
	})

	It("finds the leader although two members that are cut off name each other", func() {
		members[3].leads = true
		members[0].believes = all[1]
		members[1].believes = all[0]
		Expect(watch(all[0], all[1])).To(Succeed())
	})

	It("takes the first answer while other members do not answer at all", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		members[2].leads = true
		client := controlrpc.NewClient([]string{listener.Addr().String(), all[2]}, controlrpc.PlainDialer)
		defer client.Close()
		started := time.Now()
		reply, err := client.WatchAny(context.Background(), controlrpc.WatchArgs{})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Revision).To(BeEquivalentTo(5))
		Expect(time.Since(started)).To(BeNumerically("<", time.Second), "a silent member takes a second")
	})

	It("finds the leader although a member names one that is gone", func() {
		members[1].leads = true
		members[0].believes = "127.0.0.1:1"
		Expect(watch(all[0])).To(Succeed())
	})
})
