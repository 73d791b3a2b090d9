package upstreamconn_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/responsemem"
	"github.com/wisteriamux/wisteriamux/internal/upstreamconn"
)

var _ = Describe("a request with a check", func() {
	It("is checked after the connection is open, and not sent if the check fails", func() {
		var requests atomic.Int64
		u := serve(func(conn net.Conn, _ *http.Request) {
			requests.Add(1)
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nId: 1\r\nKeep: 1\r\nContent-Length: 0\r\n\r\n"))
		})
		dialled := false
		pool := upstreamconn.NewPool(u.address, func(ctx context.Context, address string) (net.Conn, error) {
			dialled = true
			return upstreamconn.DialTCP(ctx, address)
		}, codec{}, responsemem.New(1<<20))
		refused := errors.New("refused")
		check := func() error { return refused }
		request := &upstreamconn.Request{ID: "1", Method: "GET", Target: "/", Remaining: time.Second, Check: func() error {
			Expect(dialled).To(BeTrue(), "the time to open the connection counts")
			return check()
		}}
		_, err := pool.Do(context.Background(), request)
		Expect(err).To(Equal(refused))
		Expect(requests.Load()).To(BeZero())
		check = func() error { return nil }
		_, err = pool.Do(context.Background(), request)
		Expect(err).NotTo(HaveOccurred())
		Expect(requests.Load()).To(Equal(int64(1)))
		Expect(pool.IdleCount()).To(Equal(1))
		check = func() error { return refused }
		_, err = pool.Do(context.Background(), request)
		Expect(err).To(Equal(refused))
		Expect(pool.IdleCount()).To(Equal(1), "an open connection is kept")
		Expect(requests.Load()).To(Equal(int64(1)))
	})
})
