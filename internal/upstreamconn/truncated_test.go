package upstreamconn_test

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/responsemem"
	"github.com/wisteriamux/wisteriamux/internal/upstreamconn"
)

// framings holds a complete response in each framing. The Z marks the end of its header in the body, so that a header that
// breaks off can be told from a body that does.
var framings = map[string]string{
	"a length":                  "HTTP/1.1 200 OK\r\nId: 1\r\nStamp: s\r\nContent-Length: 5\r\n\r\nZbody",
	"chunks":                    "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\nStamp: s\r\n\r\n5\r\nZbody\r\n0\r\n\r\n",
	"the end of the connection": "HTTP/1.1 200 OK\r\nId: 1\r\nStamp: s\r\n\r\nZbody",
	"HTTP/1.0":                  "HTTP/1.0 200 OK\r\nId: 1\r\nStamp: s\r\n\r\nZbody",
	"no content":                "HTTP/1.1 204 No Content\r\nId: 1\r\nStamp: s\r\n\r\n",
	"a long header":             "HTTP/1.1 200 OK\r\nId: 1\r\nPad: " + strings.Repeat("x", 300) + "\r\nContent-Length: 5\r\n\r\nZbody",
}

var _ = Describe("a response that breaks off", func() {
	for name, whole := range framings {
		for _, reset := range []bool{false, true} {
			for _, kept := range []bool{false, true} {
				It(fmt.Sprintf("is not taken for a whole one at any byte: framed by %s, reset %t, on a kept connection %t", name, reset, kept), func() {
					var cut atomic.Int64
					u := serve(func(conn net.Conn, r *http.Request) {
						if r.Header.Get("Id") == "0" {
							writeResponse(conn, "0", "x")
							return
						}
						_, _ = conn.Write([]byte(whole[:cut.Load()]))
						if reset {
							_ = conn.(*net.TCPConn).SetLinger(0)
						}
						_ = conn.Close()
					})
					headEnd := strings.Index(whole, "\r\n\r\n") + len("\r\n\r\n")
					// A body that lasts until the connection ends is whole wherever that is, unless the connection is reset.
					untilEnd := (strings.Contains(name, "end of the connection") || name == "HTTP/1.0") && !reset
					for n := range len(whole) {
						cut.Store(int64(n))
						pool := upstreamconn.NewPool(u.address, upstreamconn.DialTCP, codec{}, responsemem.New(responsemem.DefaultBytes))
						if kept {
							_, err := get(pool, "0")
							Expect(err).NotTo(HaveOccurred())
						}
						response, err := get(pool, "1")
						pool.Close()
						if n >= headEnd && untilEnd {
							continue
						}
						Expect(err).To(HaveOccurred(), "cut after %d of %d bytes: %+v", n, len(whole), response)
					}
				})
			}
		}
	}
})

// These specs guard against an upstream in trouble whose status reaches a caller as an answer, although no such status exists.
var _ = Describe("a response with a status outside 200 to 599", func() {
	for _, status := range []string{"000", "001", "099", "100", "199", "600", "700", "999", "+20", "-01"} {
		It("is a failure of a request that may have run: "+status, func() {
			u := serve(func(conn net.Conn, _ *http.Request) {
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s Trouble\r\nId: 1\r\nStamp: s\r\nContent-Length: 5\r\n\r\nZbody", status)
			})
			pool := upstreamconn.NewPool(u.address, upstreamconn.DialTCP, codec{}, responsemem.New(responsemem.DefaultBytes))
			response, err := get(pool, "1")
			Expect(response).To(BeNil())
			var failed *upstreamconn.RequestError
			Expect(errors.As(err, &failed)).To(BeTrue(), "%v", err)
			Expect(failed.Sent).To(BeTrue())
			Expect(pool.IdleCount()).To(BeZero(), "the rest of such a response must not be read as the next one")
		})
	}

	for _, status := range []int{200, 204, 299, 404, 500, 599} {
		It(fmt.Sprintf("does not cover the bounds of the range: %d", status), func() {
			u := serve(func(conn net.Conn, _ *http.Request) {
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d Status\r\nId: 1\r\nStamp: s\r\nContent-Length: 0\r\n\r\n", status)
			})
			response, err := get(upstreamconn.NewPool(u.address, upstreamconn.DialTCP, codec{}, responsemem.New(responsemem.DefaultBytes)), "1")
			Expect(err).NotTo(HaveOccurred())
			Expect(response.Status).To(Equal(status))
		})
	}
})
