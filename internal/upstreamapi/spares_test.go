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

var _ = Describe("sparePool", func() {
	var listener net.Listener
	var accepted chan net.Conn
	var pool *sparePool

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
		pool = newSparePool(listener.Addr().String(), 1)
	})
	AfterEach(func() {
		pool.close()
		_ = listener.Close()
	})

	It("returns a connection that was opened in advance, so that a request after a cancelled one does not wait for a dial", func() {
		peer := <-accepted
		Eventually(pool.count).Should(Equal(1))
		conn, err := pool.dialContext(context.Background(), "tcp", listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.LocalAddr().String()).To(Equal(peer.RemoteAddr().String()))
		go func() { time.Sleep(10 * time.Millisecond); _, _ = peer.Write([]byte("x")) }()
		var one [1]byte
		_, err = conn.Read(one[:])
		Expect(err).NotTo(HaveOccurred(), "the watch must not leave a read deadline set")
	})

	It("does not return a connection that the upstream has closed", func() {
		peer := <-accepted
		Eventually(pool.count).Should(Equal(1))
		_ = peer.Close()
		Eventually(pool.count).Should(Equal(0))
		conn, err := pool.dialContext(context.Background(), "tcp", listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.LocalAddr().String()).NotTo(Equal(peer.RemoteAddr().String()))
	})
})

func (s *sparePool) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.idle)
}
