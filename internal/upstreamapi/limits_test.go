package upstreamapi_test

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/upstreamapi"
)

var _ = Describe("a response header without end", func() {
	It("is given up before it takes much memory, and the connection is closed so that the upstream stops", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		taken := make(chan int64, 1)
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			_ = conn.(*net.TCPConn).SetWriteBuffer(64 << 10)
			_, _ = http.ReadRequest(bufio.NewReader(conn))
			n, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
			total := int64(n)
			for lines := strings.Repeat("X: y\r\n", 4096); err == nil; total += int64(n) {
				n, err = io.WriteString(conn, lines)
			}
			taken <- total
		}()
		client := upstreamapi.NewClient(listener.Addr().String(), 1, 1, upstreamapi.NewRateLimiter("u", slog.New(slog.DiscardHandler)))
		defer client.Close()
		_, err = client.Search(context.Background(), upstreamapi.Call{Timeout: 4 * time.Second}, upstreamapi.SearchRequest{})
		Expect(err).To(HaveOccurred())
		// The receive buffer holds up to 6 MB beyond the limit.
		Eventually(taken, 2*time.Second).Should(Receive(BeNumerically("<", 8<<20)))
	})
})
