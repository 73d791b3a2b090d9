package upstreamapi_test

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/responsemem"
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
		client := upstreamapi.NewClient(listener.Addr().String(), 1, 1, upstreamapi.NewRateLimiter("u", slog.New(slog.DiscardHandler)), responsemem.New(responsemem.DefaultBytes))
		defer client.Close()
		_, err = client.Search(context.Background(), upstreamapi.Call{Timeout: 4 * time.Second}, upstreamapi.SearchRequest{})
		Expect(err).To(HaveOccurred())
		// The receive buffer holds up to 6 MB beyond the limit.
		Eventually(taken, 2*time.Second).Should(Receive(BeNumerically("<", 8<<20)))
	})
})

// serveEndlessBodies accepts connections and answers each request with a body without end.
func serveEndlessBodies() (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
				for chunk := "10000\r\n" + strings.Repeat("[", 64<<10) + "\r\n"; err == nil; {
					_, err = io.WriteString(conn, chunk)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

var _ = Describe("responses without end of many upstreams at once", func() {
	const (
		upstreams = 60
		// vmMemoryBytes is the memory of the smallest entry VM of the users' sites.
		vmMemoryBytes = 184 << 20
	)

	// Guards against an entry VM that keeps up to 8 MiB of each of them, and ends for lack of memory.
	It("do not use up the memory of a VM", func() {
		memory := responsemem.New(responsemem.DefaultBytes)
		stop := make(chan struct{})
		peak := make(chan uint64)
		go func() {
			var highest uint64
			for stats := (runtime.MemStats{}); ; {
				select {
				case <-stop:
					peak <- highest
					return
				case <-time.After(5 * time.Millisecond):
					runtime.ReadMemStats(&stats)
					highest = max(highest, stats.HeapInuse)
				}
			}
		}()
		errs := make(chan error, upstreams)
		for range upstreams {
			client := upstreamapi.NewClient(serveEndlessBodies(), 1, 1, upstreamapi.NewRateLimiter("u", slog.New(slog.DiscardHandler)), memory)
			DeferCleanup(client.Close)
			go func() {
				for {
					_, err := client.Search(context.Background(), upstreamapi.Call{Timeout: 10 * time.Second}, upstreamapi.SearchRequest{})
					// On a busy machine a connect may exceed its limit, and no byte of the request was sent.
					if !fault.Is(err, fault.NotRun) {
						errs <- err
						return
					}
				}
			}()
		}
		for range upstreams {
			Expect(fault.CodeOf(<-errs)).To(Equal(fault.UpstreamFailed))
		}
		close(stop)
		Expect(<-peak).To(BeNumerically("<", vmMemoryBytes))
		Expect(memory.Peak()).To(BeNumerically("<=", responsemem.DefaultBytes))
		Expect(memory.InUse()).To(BeZero())
	})

	It("leave a booking with an unknown outcome, and take no more than a booking may", func() {
		memory := responsemem.New(responsemem.DefaultBytes)
		client := upstreamapi.NewClient(serveEndlessBodies(), 1, 1, upstreamapi.NewRateLimiter("u", slog.New(slog.DiscardHandler)), memory)
		defer client.Close()
		_, err := client.Book(context.Background(), upstreamapi.Call{Timeout: 4 * time.Second}, "key", 1, nil)
		Expect(fault.CodeOf(err)).To(Equal(fault.OutcomeUnknown))
		Expect(memory.Peak()).To(BeNumerically("<=", upstreamapi.MaxBookingResponseBytes))
	})
})
