package upstreamapi_test

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/ratelimit"
	"github.com/wisteriamux/wisteriamux/internal/responsemem"
	"github.com/wisteriamux/wisteriamux/internal/upstreamapi"
)

var _ = Describe("an upstream that names a rate limit to the entry VM that owns it", func() {
	const (
		perSecond = 20.0
		period    = 2 * time.Second
	)
	var requests atomic.Int64
	var limit atomic.Pointer[string]
	var client *upstreamapi.Client
	call := upstreamapi.Call{RequestID: "1", Timeout: time.Second}

	BeforeEach(func() {
		requests.Store(0)
		text := "20"
		limit.Store(&text)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			requests.Add(1)
			if named := limit.Load(); named != nil {
				w.Header().Set(upstreamapi.HeaderRateLimit, *named)
			}
			_, _ = w.Write([]byte("{}"))
		}))
		DeferCleanup(server.Close)
		client = upstreamapi.NewClient(strings.TrimPrefix(server.URL, "http://"), 8, 2, upstreamapi.NewRateLimiter("u", slog.New(slog.DiscardHandler)), responsemem.New(responsemem.DefaultBytes))
		DeferCleanup(client.Close)
	})

	It("gets no more searches and bookings than that, and each one beyond it is refused as not run", func() {
		for end := time.Now().Add(period); time.Now().Before(end); time.Sleep(time.Millisecond) {
			_, searchErr := client.Search(context.Background(), call, upstreamapi.SearchRequest{})
			_, bookErr := client.Book(context.Background(), call, "key", 1, nil)
			for _, err := range []error{searchErr, bookErr} {
				var noRoom *ratelimit.NoRoomError
				if err != nil {
					Expect(fault.CodeOf(err)).To(Equal(fault.NotRun))
					Expect(errors.As(err, &noRoom)).To(BeTrue())
					Expect(noRoom.RetryAfter).To(BeNumerically(">", 0))
				}
			}
		}
		Expect(requests.Load()).To(BeNumerically("<=", int64(1.5*perSecond*period.Seconds()+5)))
		Expect(requests.Load()).To(BeNumerically(">", int64(0.25*perSecond*period.Seconds())))
	})

	It("gets all requests again after a response that names no limit", func() {
		limit.Store(nil)
		for range 100 {
			_, err := client.Search(context.Background(), call, upstreamapi.SearchRequest{})
			Expect(err).NotTo(HaveOccurred())
		}
	})
})
