package netcut_test

import (
	"context"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/netcut"
)

func TestNetcut(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Netcut")
}

var _ = Describe("a cut connection", func() {
	var path string
	var rules *netcut.Rules
	var client, server net.Conn

	setRules := func(content string) {
		Expect(os.WriteFile(path+".new", []byte(content), 0o600)).To(Succeed())
		Expect(os.Rename(path+".new", path)).To(Succeed())
		time.Sleep(150 * time.Millisecond)
	}
	receive := func(conn net.Conn, within time.Duration) string {
		Expect(conn.SetReadDeadline(time.Now().Add(within))).To(Succeed())
		buffer := make([]byte, 100)
		n, err := conn.Read(buffer)
		if err != nil && !os.IsTimeout(err) {
			return err.Error()
		}
		return string(buffer[:n])
	}
	send := func(conn net.Conn, text string) {
		_, err := conn.Write([]byte(text))
		Expect(err).NotTo(HaveOccurred())
	}

	BeforeEach(func() {
		path = filepath.Join(GinkgoT().TempDir(), "rules")
		var err error
		rules, err = netcut.Open(path, slog.New(slog.DiscardHandler))
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		go rules.Run(ctx)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		client, err = rules.Dialer(func(address string) (net.Conn, error) { return net.Dial("tcp", address) })(listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		server, err = listener.Accept()
		Expect(err).NotTo(HaveOccurred())
	})

	const silence = 200 * time.Millisecond

	It("buffers writes during a cut and delivers them in order after it", func() {
		setRules("out " + server.LocalAddr().String())
		send(client, "a")
		send(client, "b")
		Expect(receive(server, silence)).To(BeEmpty())
		send(server, "still read")
		Expect(receive(client, silence)).To(Equal("still read"), "the other direction is not cut")
		setRules("")
		send(client, "c")
		time.Sleep(50 * time.Millisecond)
		Expect(receive(server, silence)).To(Equal("abc"))
	})

	It("stalls a read that was already blocked when the cut began", func() {
		got := make(chan string, 1)
		go func() {
			defer GinkgoRecover()
			buffer := make([]byte, 10)
			n, _ := client.Read(buffer)
			got <- string(buffer[:n])
		}()
		time.Sleep(20 * time.Millisecond)
		setRules("in 127.0.0.1 # every port of the host")
		send(server, "late")
		Consistently(got, silence).ShouldNot(Receive())
		setRules("")
		Eventually(got).Should(Receive(Equal("late")))
	})

	It("hides a close from the peer until the cut ends, and fails local reads and writes immediately", func() {
		setRules("both *")
		Expect(client.Close()).To(Succeed())
		_, err := client.Write([]byte("x"))
		Expect(err).To(MatchError(net.ErrClosed))
		_, err = client.Read(make([]byte, 1))
		Expect(err).To(HaveOccurred())
		Expect(receive(server, silence)).To(BeEmpty())
		setRules("")
		Expect(receive(server, time.Second)).To(Equal(io.EOF.Error()))
	})

	It("times out a dial to a cut address and keeps the previous rules when the file becomes invalid", func() {
		setRules("both *")
		setRules("sideways *")
		_, err := rules.Dialer(func(string) (net.Conn, error) { return nil, nil })("127.0.0.1:1")
		Expect(os.IsTimeout(err)).To(BeTrue())
	})

	It("rejects an invalid file at the start", func() {
		Expect(os.WriteFile(path, []byte("in\n"), 0o600)).To(Succeed())
		_, err := netcut.Open(path, slog.New(slog.DiscardHandler))
		Expect(fault.CodeOf(err)).To(Equal(fault.Settings))
	})
})
