package rpcconn_test

import (
	"log/slog"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/rpcconn"
)

// exhausted is a listener whose first accepts fail for lack of descriptors.
type exhausted struct {
	net.Listener
	failures atomic.Int32
}

func (l *exhausted) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// Guards against a listener that ends for good after one accept without a free descriptor.
var _ = Describe("Accept", func() {
	It("goes on after failures, and returns when the listener is closed", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		l := &exhausted{Listener: listener}
		l.failures.Store(4)
		accepted, ended := make(chan net.Conn, 2), make(chan struct{})
		go func() {
			rpcconn.Accept(l, slog.New(slog.DiscardHandler), func(conn net.Conn) { accepted <- conn })
			close(ended)
		}()
		for range 2 {
			conn, err := net.Dial("tcp", listener.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			Expect(conn.Close()).To(Succeed())
			Eventually(accepted, 2*time.Second).Should(Receive())
			l.failures.Store(1)
		}
		Expect(listener.Close()).To(Succeed())
		Eventually(ended, 2*time.Second).Should(BeClosed())
	})
})
