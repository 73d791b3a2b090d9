package upstreamconn_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/responsemem"
	"github.com/wisteriamux/wisteriamux/internal/upstreamconn"
)

const (
	// maxBody is the body limit of the requests of these tests.
	maxBody = 128 << 10
	// maxTaken bounds the bytes that an upstream can write before its connection is closed: the limits of header and
	// body, and the socket buffers of both ends.
	maxTaken = 16 << 20
	// timeLimit is the time limit of these requests. A response without end must be given up long before it.
	timeLimit = 4 * time.Second
)

// endless serves a response that begins with the prefix and repeats the chunk until the connection is closed. It counts
// the bytes that were written, and closes ended when the connection is closed.
type endless struct {
	*upstream
	taken atomic.Int64
	ended chan struct{}
}

func serveEndless(prefix, chunk string) *endless {
	e := &endless{ended: make(chan struct{})}
	block := []byte(strings.Repeat(chunk, max(1, 32<<10/len(chunk))))
	e.upstream = serve(func(conn net.Conn, _ *http.Request) {
		defer close(e.ended)
		n, err := io.WriteString(conn, prefix)
		e.taken.Add(int64(n))
		for err == nil {
			n, err = conn.Write(block)
			e.taken.Add(int64(n))
		}
	})
	return e
}

func doLimited(pool *upstreamconn.Pool) (*upstreamconn.Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeLimit)
	defer cancel()
	return pool.Do(ctx, &upstreamconn.Request{ID: "1", Method: http.MethodGet, Target: "/", MaxBodyBytes: maxBody})
}

// These specs guard against an upstream in trouble that fills the memory of an entry VM.
var _ = Describe("a response without end", func() {
	DescribeTable("is given up at once, and its connection is closed so that the upstream stops", func(prefix, chunk string) {
		e := serveEndless(prefix, chunk)
		pool := upstreamconn.NewPool(e.address, upstreamconn.DialTCP, codec{}, responsemem.New(1<<20))
		begin := time.Now()
		_, err := doLimited(pool)
		var requestErr *upstreamconn.RequestError
		Expect(errors.As(err, &requestErr)).To(BeTrue(), "%v", err)
		Expect(requestErr.Sent).To(BeTrue(), "the upstream may have run the request")
		Expect(time.Since(begin)).To(BeNumerically("<", timeLimit/2))
		Eventually(e.ended, time.Second).Should(BeClosed())
		Expect(e.taken.Load()).To(BeNumerically("<", maxTaken))
		Expect(pool.IdleCount()).To(BeZero())
	},
		Entry("status line", "HTTP/1.1 200 ", "x"),
		Entry("bytes that are no response", "", "\x00\xff"),
		Entry("empty lines", "", "\r\n"),
		Entry("header line", "HTTP/1.1 200 OK\r\nX: ", "x"),
		Entry("header lines", "HTTP/1.1 200 OK\r\n", "X: y\r\n"),
		Entry("interim responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"),
		Entry("responses to another request", "", "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 1\r\n\r\nx"),
		Entry("body until the connection closes", "HTTP/1.1 200 OK\r\n\r\n", "x"),
		Entry("body of a false length", "HTTP/1.1 200 OK\r\nContent-Length: 9000000000000\r\n\r\n", "x"),
		Entry("chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nxxxx\r\n"),
		Entry("chunk length", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"),
		Entry("chunk extension", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;x=", "y"),
		Entry("trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n0\r\n", "X: y\r\n"),
	)

	It("has an error code of its own if a limit is exceeded", func() {
		for _, prefix := range []string{"HTTP/1.1 200 ", "HTTP/1.1 200 OK\r\n\r\n"} {
			_, err := doLimited(upstreamconn.NewPool(serveEndless(prefix, "x").address, upstreamconn.DialTCP, codec{}, responsemem.New(1<<20)))
			Expect(fault.CodeOf(err)).To(Equal(fault.ResponseTooLarge), "%v", err)
		}
	})

	It("is ended by the time limit if it trickles", func() {
		u := serve(func(conn net.Conn, _ *http.Request) {
			_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nX: ")
			for err == nil {
				time.Sleep(20 * time.Millisecond)
				_, err = io.WriteString(conn, "x")
			}
		})
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		begin := time.Now()
		_, err := upstreamconn.NewPool(u.address, upstreamconn.DialTCP, codec{}, responsemem.New(1<<20)).Do(ctx, &upstreamconn.Request{ID: "1", Method: http.MethodGet, Target: "/"})
		Expect(err).To(HaveOccurred())
		Expect(time.Since(begin)).To(BeNumerically("<", time.Second))
	})
})

var _ = Describe("the memory of large responses", func() {
	respond := func(body string) *upstream {
		return serve(func(conn net.Conn, r *http.Request) { writeResponse(conn, r.Header.Get("Id"), body) })
	}

	It("is shared by the pools of a VM, released after each response, and not needed for small ones", func() {
		memory := responsemem.New(300 << 10)
		large, small := respond(strings.Repeat("x", 100<<10)), respond("small")
		largePool := upstreamconn.NewPool(large.address, upstreamconn.DialTCP, codec{}, memory)
		for range 10 {
			response, err := doLimited(largePool)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.Body).To(HaveLen(100 << 10))
		}
		Expect(memory.InUse()).To(BeZero())

		Expect(memory.Reserve(290 << 10)).To(BeTrue())
		_, err := doLimited(largePool)
		Expect(fault.CodeOf(err)).To(Equal(fault.ResponseTooLarge))
		response, err := doLimited(upstreamconn.NewPool(small.address, upstreamconn.DialTCP, codec{}, memory))
		Expect(err).NotTo(HaveOccurred(), "a small response must not fail because of large ones")
		Expect(response.Body).To(BeEquivalentTo("small"))
	})

	It("does not exceed its size while many upstreams send without end", func() {
		memory := responsemem.New(1 << 20)
		errs := make(chan error, 20)
		for range cap(errs) {
			e := serveEndless("HTTP/1.1 200 OK\r\n\r\n", "x")
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), timeLimit)
				defer cancel()
				_, err := upstreamconn.NewPool(e.address, upstreamconn.DialTCP, codec{}, memory).Do(ctx, &upstreamconn.Request{ID: "1", Method: http.MethodGet, Target: "/"})
				errs <- err
			}()
		}
		for range cap(errs) {
			Expect(fault.CodeOf(<-errs)).To(Equal(fault.ResponseTooLarge))
		}
		Expect(memory.Peak()).To(BeNumerically("<=", 1<<20))
		Expect(memory.InUse()).To(BeZero())
	})
})
