package upstreamapi

import (
	"context"
	"net"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestUpstreamAPI(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "UpstreamAPI")
}

var _ = Describe("spares", func() {
	var listener net.Listener
	var accepted chan net.Conn
	var s *spares

	BeforeEach(func() {
		var err error
		listener, err = net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		accepted = make(chan net.Conn, 16)
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				accepted <- conn
			}
		}()
		s = newSpares(listener.Addr().String(), 1)
	})
	AfterEach(func() {
		s.close()
		_ = listener.Close()
	})

	It("hands out a connection opened in advance, so that a request after a cancelled one does not wait for a dial", func() {
		peer := <-accepted
		Eventually(s.count).Should(Equal(1))
		conn, err := s.dialContext(context.Background(), "tcp", listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.LocalAddr().String()).To(Equal(peer.RemoteAddr().String()))
		go func() { time.Sleep(10 * time.Millisecond); _, _ = peer.Write([]byte("x")) }()
		var one [1]byte
		_, err = conn.Read(one[:])
		Expect(err).NotTo(HaveOccurred(), "the watch must leave no read deadline behind")
	})

	It("never hands out a connection that the upstream has closed", func() {
		peer := <-accepted
		Eventually(s.count).Should(Equal(1))
		_ = peer.Close()
		Eventually(s.count).Should(Equal(0))
		conn, err := s.dialContext(context.Background(), "tcp", listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.LocalAddr().String()).NotTo(Equal(peer.RemoteAddr().String()))
	})
})

func (s *spares) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.idle)
}
