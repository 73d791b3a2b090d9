package harness

import (
	"io"
	"net"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestHarness(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Harness")
}

var _ = Describe("the proxy", func() {
	var proxy *Proxy
	var conn net.Conn
	BeforeEach(func() {
		echo, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(echo.Close)
		go func() {
			for {
				c, err := echo.Accept()
				if err != nil {
					return
				}
				go func() { _, _ = io.Copy(c, c) }()
			}
		}()
		proxy, err = NewProxy("127.0.0.1:0", echo.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(proxy.Close)
		conn = dial(proxy)
	})

	It("forwards data, holds it back while either direction is stalled, and delivers it afterwards", func() {
		Expect(roundTrip(conn, time.Second)).To(Succeed())
		for _, impairment := range []Impairment{{StallToServer: true}, {StallToClient: true}} {
			proxy.Impair(impairment)
			Expect(roundTrip(conn, 50*time.Millisecond)).NotTo(Succeed())
			proxy.Impair(Impairment{})
			Expect(conn.SetReadDeadline(time.Now().Add(time.Second))).To(Succeed())
			_, err := io.ReadFull(conn, make([]byte, 1))
			Expect(err).NotTo(HaveOccurred())
		}
	})

	It("blackholes open connections for good, but not new ones", func() {
		Expect(roundTrip(conn, time.Second)).To(Succeed())
		proxy.BlackholeConnections()
		Expect(roundTrip(conn, 50*time.Millisecond)).NotTo(Succeed())
		Expect(roundTrip(dial(proxy), time.Second)).To(Succeed())
	})

	It("resets and refuses connections", func() {
		Expect(roundTrip(conn, time.Second)).To(Succeed())
		proxy.ResetConnections()
		Expect(roundTrip(conn, time.Second)).NotTo(Succeed())
		proxy.Impair(Impairment{Refuse: true})
		// The reset of a refused connection arrives either during the dial or after it.
		refused, err := net.Dial("tcp", proxy.Address())
		if err == nil {
			DeferCleanup(func() { _ = refused.Close() })
			err = roundTrip(refused, time.Second)
		}
		Expect(err).To(HaveOccurred())
	})
})

func dial(proxy *Proxy) net.Conn {
	conn, err := net.Dial("tcp", proxy.Address())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = conn.Close() })
	return conn
}

func roundTrip(conn net.Conn, timeout time.Duration) error {
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	if _, err := conn.Write([]byte("x")); err != nil {
		return err
	}
	_, err := io.ReadFull(conn, make([]byte, 1))
	return err
}
