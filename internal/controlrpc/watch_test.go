package controlrpc_test

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/fault"
)

// pollLog records how long the watchers wanted to wait, in the order of the calls of all members.
type pollLog struct {
	mu    sync.Mutex
	waits []int64
}

// pollMember is a control member that records watches. It is the leader if leads is set.
type pollMember struct {
	log   *pollLog
	leads bool
}

// Watch implements the control service.
func (m *pollMember) Watch(args controlrpc.WatchArgs, reply *controlrpc.WatchReply) error {
	m.log.mu.Lock()
	defer m.log.mu.Unlock()
	m.log.waits = append(m.log.waits, args.WaitMillis)
	if !m.leads {
		reply.Fault = fault.ToWire(fault.New(fault.NotLeader, "test", "this member is not the leader"))
	}
	return nil
}

var _ = Describe("a watch that is tried at several members", func() {
	var log *pollLog
	var client *controlrpc.Client
	BeforeEach(func() {
		log = &pollLog{}
		var addresses []string
		for n := range 3 {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(listener.Close)
			server := rpc.NewServer()
			Expect(server.RegisterName(controlrpc.ServiceName, &pollMember{log: log, leads: n == 2})).To(Succeed())
			go server.Accept(listener)
			addresses = append(addresses, listener.Addr().String())
		}
		client = controlrpc.NewClient(addresses, controlrpc.PlainDialer)
		DeferCleanup(client.Close)
	})
	args := controlrpc.WatchArgs{Known: 1, WaitMillis: 600}

	// The age of a view counts from the call that was answered, and a retry must not be held for 600 ms more.
	It("tells before each call, and asks for an immediate reply from the second on", func() {
		var sent []time.Time
		_, err := client.Watch(context.Background(), args.OnSend(func() { sent = append(sent, time.Now()) }))
		Expect(err).NotTo(HaveOccurred())
		Expect(sent).To(HaveLen(3))
		Expect(log.waits).To(Equal([]int64{600, 0, 0}))
	})

	It("is the same at all members without that", func() {
		_, err := client.Watch(context.Background(), args)
		Expect(err).NotTo(HaveOccurred())
		Expect(log.waits).To(Equal([]int64{600, 600, 600}))
	})
})
