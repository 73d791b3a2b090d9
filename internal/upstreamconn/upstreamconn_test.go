package upstreamconn_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/responsemem"
	"github.com/wisteriamux/wisteriamux/internal/upstreamconn"
)

func TestUpstreamconn(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Upstreamconn")
}

// codec is a minimal protocol that sends the request ID in the header Id.
type codec struct{}

func (codec) AppendHead(b []byte, r *upstreamconn.Request) ([]byte, error) {
	if strings.ContainsAny(r.Instance, "\r\n") {
		return nil, errors.New("unsendable")
	}
	return fmt.Appendf(b, "%s %s HTTP/1.1\r\nHost: x\r\nId: %s\r\nContent-Length: %d\r\n", r.Method, r.Target, r.ID, len(r.Body)), nil
}

func (codec) DecodeHeader(a *upstreamconn.Response) {
	a.RequestID = a.Header.Get("Id")
	if a.Header.Get("Keep") != "" {
		a.IdleTimeout = time.Second
	}
}

// upstream is a test server that counts its connections. The handle function of serve writes the response to each
// request.
type upstream struct {
	address string
	conns   atomic.Int64
}

func serve(handle func(conn net.Conn, request *http.Request)) *upstream {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	u := &upstream{address: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			u.conns.Add(1)
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					handle(conn, request)
				}
			}()
		}
	}()
	return u
}

func writeResponse(conn net.Conn, id, body string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func get(pool *upstreamconn.Pool, id string) (*upstreamconn.Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	return pool.Do(ctx, &upstreamconn.Request{ID: id, Method: http.MethodGet, Target: "/"})
}

// Guards against review/6: a request whose header cannot be encoded must not reach an upstream.
var _ = Describe("a request that cannot be encoded", func() {
	It("fails as not sent, without a connection", func() {
		dialled := 0
		pool := upstreamconn.NewPool("127.0.0.1:1", func(context.Context, string) (net.Conn, error) {
			dialled++
			return nil, io.EOF
		}, codec{}, responsemem.New(1<<20))
		_, err := pool.Do(context.Background(), &upstreamconn.Request{Method: http.MethodGet, Target: "/", Instance: "i\n"})
		var failed *upstreamconn.RequestError
		Expect(errors.As(err, &failed)).To(BeTrue())
		Expect(failed.Sent).To(BeFalse())
		Expect(dialled).To(BeZero())
	})
})

var _ = Describe("a pool", func() {
	It("reuses a connection", func() {
		u := serve(func(conn net.Conn, r *http.Request) { writeResponse(conn, r.Header.Get("Id"), "x") })
		pool := upstreamconn.NewPool(u.address, upstreamconn.DialTCP, codec{}, responsemem.New(responsemem.DefaultBytes))
		for i := range 5 {
			got, err := get(pool, fmt.Sprint(i))
			Expect(err).NotTo(HaveOccurred())
			Expect(got.Body).To(BeEquivalentTo("x"))
		}
		Expect(u.conns.Load()).To(BeEquivalentTo(1))
	})

	It("skips a late response to an earlier request and does not reuse the connection", func() {
		u := serve(func(conn net.Conn, r *http.Request) {
			writeResponse(conn, "earlier", "wrong")
			writeResponse(conn, r.Header.Get("Id"), "right")
		})
		pool := upstreamconn.NewPool(u.address, upstreamconn.DialTCP, codec{}, responsemem.New(responsemem.DefaultBytes))
		got, err := get(pool, "1")
		Expect(err).NotTo(HaveOccurred())
		Expect(got.Body).To(BeEquivalentTo("right"))
		Expect(pool.IdleCount()).To(BeZero())
	})

	It("does not mistake a duplicate response for the response to the next request", func() {
		u := serve(func(conn net.Conn, r *http.Request) {
			writeResponse(conn, r.Header.Get("Id"), "right")
			time.Sleep(20 * time.Millisecond)
			writeResponse(conn, r.Header.Get("Id"), "again")
		})
		pool := upstreamconn.NewPool(u.address, upstreamconn.DialTCP, codec{}, responsemem.New(responsemem.DefaultBytes))
		_, err := get(pool, "1")
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(60 * time.Millisecond)
		got, err := get(pool, "2")
		Expect(err).NotTo(HaveOccurred())
		Expect(got.RequestID).To(Equal("2"))
		Expect(u.conns.Load()).To(BeEquivalentTo(2))
	})

	It("does not use a connection that the upstream has closed, so that no request is lost on it", func() {
		u := serve(func(conn net.Conn, r *http.Request) {
			writeResponse(conn, r.Header.Get("Id"), "x")
			_ = conn.Close()
		})
		pool := upstreamconn.NewPool(u.address, upstreamconn.DialTCP, codec{}, responsemem.New(responsemem.DefaultBytes))
		for i := range 3 {
			_, err := get(pool, fmt.Sprint(i))
			Expect(err).NotTo(HaveOccurred())
			time.Sleep(30 * time.Millisecond)
		}
	})

	It("accepts a response without a length if the connection is closed, but not if it is reset", func() {
		var broken atomic.Bool
		u := serve(func(conn net.Conn, r *http.Request) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: "+r.Header.Get("Id")+"\r\n\r\npart")
			if broken.Load() {
				_ = conn.(*net.TCPConn).SetLinger(0)
				time.Sleep(20 * time.Millisecond)
			}
			_ = conn.Close()
		})
		pool := upstreamconn.NewPool(u.address, upstreamconn.DialTCP, codec{}, responsemem.New(responsemem.DefaultBytes))
		got, err := get(pool, "1")
		Expect(err).NotTo(HaveOccurred())
		Expect(got.Body).To(BeEquivalentTo("part"))
		broken.Store(true)
		_, err = get(pool, "2")
		var requestErr *upstreamconn.RequestError
		Expect(errors.As(err, &requestErr)).To(BeTrue())
		Expect(requestErr.Sent).To(BeTrue())
	})

	It("rejects a response that is shorter than its Content-Length", func() {
		u := serve(func(conn net.Conn, r *http.Request) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort")
			_ = conn.Close()
		})
		_, err := get(upstreamconn.NewPool(u.address, upstreamconn.DialTCP, codec{}, responsemem.New(responsemem.DefaultBytes)), "1")
		Expect(err).To(HaveOccurred())
	})

	It("rejects data that is not an HTTP response", func() {
		u := serve(func(conn net.Conn, _ *http.Request) { _, _ = io.WriteString(conn, "garbage\r\n\r\n") })
		_, err := get(upstreamconn.NewPool(u.address, upstreamconn.DialTCP, codec{}, responsemem.New(responsemem.DefaultBytes)), "1")
		Expect(err).To(HaveOccurred())
	})

	It("closes a connection on which the request body was not sent in full", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReaderSize(conn, 16))
			writeResponse(conn, "1", "early")
			// Keep the connection open without reading the body.
			time.Sleep(time.Second)
			_ = conn.Close()
		}()
		pool := upstreamconn.NewPool(listener.Addr().String(), upstreamconn.DialTCP, codec{}, responsemem.New(responsemem.DefaultBytes))
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		request := &upstreamconn.Request{ID: "1", Method: http.MethodPost, Target: "/", Body: []byte(strings.Repeat("x", 32<<20))}
		got, err := pool.Do(ctx, request)
		Expect(err).NotTo(HaveOccurred())
		Expect(got.Body).To(BeEquivalentTo("early"))
		Expect(pool.IdleCount()).To(BeZero())
	})

	It("distinguishes an unreachable upstream from one that may have received the request", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(listener.Close()).To(Succeed())
		_, err = get(upstreamconn.NewPool(listener.Addr().String(), upstreamconn.DialTCP, codec{}, responsemem.New(responsemem.DefaultBytes)), "1")
		var requestErr *upstreamconn.RequestError
		Expect(errors.As(err, &requestErr)).To(BeTrue())
		Expect(requestErr.Unreachable).To(BeTrue())
		Expect(requestErr.Sent).To(BeFalse())
	})

	It("aborts a request when its context ends and closes the connection, so that the upstream stops working", func() {
		closed := make(chan struct{})
		u := serve(func(conn net.Conn, _ *http.Request) {
			_, _ = conn.Read(make([]byte, 1))
			close(closed)
		})
		pool := upstreamconn.NewPool(u.address, upstreamconn.DialTCP, codec{}, responsemem.New(responsemem.DefaultBytes))
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		_, err := pool.Do(ctx, &upstreamconn.Request{ID: "1", Method: http.MethodGet, Target: "/"})
		Expect(err).To(HaveOccurred())
		Eventually(closed).Should(BeClosed())
		Expect(pool.IdleCount()).To(BeZero())
	})

	It("does not send a request that is cancelled already, on a kept connection either", func() {
		var requests atomic.Int64
		u := serve(func(conn net.Conn, request *http.Request) {
			requests.Add(1)
			writeResponse(conn, request.Header.Get("Id"), "x")
		})
		pool := upstreamconn.NewPool(u.address, upstreamconn.DialTCP, codec{}, responsemem.New(responsemem.DefaultBytes))
		_, err := get(pool, "1")
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		for range 50 {
			_, err := pool.Do(ctx, &upstreamconn.Request{ID: "2", Method: "GET", Target: "/"})
			var failed *upstreamconn.RequestError
			Expect(errors.As(err, &failed)).To(BeTrue())
			Expect(failed.Sent).To(BeFalse())
		}
		Consistently(requests.Load, 100*time.Millisecond).Should(Equal(int64(1)))
		Expect(pool.IdleCount()).To(Equal(1))
	})

	It("closes idle connections before the upstream does", func() {
		u := serve(func(conn net.Conn, r *http.Request) {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nKeep: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Id"))
		})
		pool := upstreamconn.NewPool(u.address, upstreamconn.DialTCP, codec{}, responsemem.New(responsemem.DefaultBytes))
		_, err := get(pool, "1")
		Expect(err).NotTo(HaveOccurred())
		pool.SweepIdleConnections(time.Now())
		Expect(pool.IdleCount()).To(Equal(1))
		pool.SweepIdleConnections(time.Now().Add(600 * time.Millisecond))
		Expect(pool.IdleCount()).To(BeZero(), "expired half a second before the upstream closes it")
	})
})
