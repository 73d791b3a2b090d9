package callermem_test

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/callermem"
	"github.com/wisteriamux/wisteriamux/internal/fault"
)

func TestCallermem(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Callermem")
}

const (
	headLimit = 2000
	bodyLimit = 64 << 10
	wait      = 5 * time.Second
	poll      = 5 * time.Millisecond
)

// server responds to each request with the size of its header and its body. A request to /slow waits until slow is closed.
type server struct {
	memory *callermem.Memory
	addr   string
	slow   chan struct{}
}

func start(config callermem.Config) *server { return startWith(config, headLimit, bodyLimit) }

func startWith(config callermem.Config, headLimit, bodyLimit int64) *server {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s := &server{memory: callermem.New(config), addr: listener.Addr().String(), slow: make(chan struct{})}
	server := &http.Server{ReadHeaderTimeout: wait, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := callermem.ReadBody(w, r, bodyLimit)
		status := map[fault.Code]int{
			fault.TooLarge: http.StatusRequestEntityTooLarge, fault.NotRun: http.StatusServiceUnavailable,
			fault.RequestTimeout: http.StatusRequestTimeout, fault.BadRequest: http.StatusBadRequest,
		}
		if err != nil {
			w.WriteHeader(status[fault.CodeOf(err)])
			return
		}
		if r.URL.Path == "/slow" {
			<-s.slow
		}
		if r.URL.Path == "/long" {
			_, _ = w.Write(make([]byte, bodyLimit))
			return
		}
		size, _ := callermem.HeadBytes(r)
		_, _ = fmt.Fprintf(w, "%d %d", size, len(body))
	})}
	s.memory.Attach(server)
	go func() { _ = server.Serve(s.memory.Listener(listener, func() int64 { return headLimit })) }()
	DeferCleanup(server.Close)
	return s
}

// ample are bounds that the requests of a spec do not reach.
func ample() callermem.Config {
	return callermem.Config{TotalBytes: 8 << 20, ConnectionBytes: 4 << 20, Connections: 100}
}

// caller is a connection to the server.
type caller struct {
	net.Conn
	reader *bufio.Reader
}

func (s *server) dial() *caller {
	conn, err := net.Dial("tcp", s.addr)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = conn.Close() })
	Expect(conn.SetDeadline(time.Now().Add(wait))).To(Succeed())
	return &caller{conn, bufio.NewReader(conn)}
}

func (c *caller) send(raw string) {
	_, err := io.WriteString(c, raw)
	Expect(err).NotTo(HaveOccurred())
}

// response returns the status and the body of the next response, or 0 if the connection is closed.
func (c *caller) response() (int, string) {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return response.StatusCode, string(body)
}

func (c *caller) expect(status int, body string) {
	GinkgoHelper()
	gotStatus, gotBody := c.response()
	Expect(gotStatus).To(Equal(status))
	Expect(gotBody).To(Equal(body))
}

// head returns a header of exactly the size, without the empty line at its end.
func head(begin string, size int) string {
	begin += "Host: h\r\n"
	return begin + "X: " + strings.Repeat("x", size-len(begin)-len("X: \r\n")) + "\r\n"
}

func chunked(body string) string {
	var b strings.Builder
	for n := 0; len(body) > 0; n++ {
		size := min(len(body), 1000+n)
		fmt.Fprintf(&b, "%x;note=%d\r\n%s\r\n", size, n, body[:size])
		body = body[size:]
	}
	return b.String() + "0\r\nTrailing: x\r\n\r\n"
}

var _ = Describe("callers within the bounds", func() {
	// Guards against a bound that refuses what the limits allow, and against bytes that are counted for the wrong request.
	It("are served at exactly the limits, by length, in chunks, on one connection and pipelined", func() {
		s := start(ample())
		c := s.dial()
		body := strings.Repeat("b", bodyLimit)
		byLength := head("POST / HTTP/1.1\r\nContent-Length: 65536\r\n", headLimit) + "\r\n" + body
		inChunks := head("POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n", headLimit-7) + "\r\n" + chunked(body)
		none := head("GET / HTTP/1.1\r\n", headLimit-11) + "\r\n"
		for range 3 {
			for _, raw := range []string{byLength, inChunks, none} {
				c.send(raw)
				status, _ := c.response()
				Expect(status).To(Equal(http.StatusOK))
			}
		}
		go func() {
			defer GinkgoRecover()
			c.send(none + none + inChunks + inChunks + byLength + byLength + none)
		}()
		for _, want := range []string{"1989 0", "1989 0", "1993 65536", "1993 65536", "2000 65536", "2000 65536", "1989 0"} {
			c.expect(http.StatusOK, want)
		}
		Expect(s.memory.Count(callermem.HeadSize)).To(BeZero())
	})

	// Guards against a request whose end net/http and the account see differently, after which all bytes would count as a body.
	It("are charged again from the next request after one whose framing is ignored", func() {
		s := start(ample())
		c := s.dial()
		c.send("GET / HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n")
		status, _ := c.response()
		Expect(status).To(Equal(http.StatusOK))
		c.send(head("GET / HTTP/1.1\r\n", 500) + "\r\n")
		c.expect(http.StatusOK, "500 0")
	})

	It("get a body through that waits for an interim response, and may send empty lines after it", func() {
		s := start(ample())
		c := s.dial()
		c.send("POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n")
		response, err := http.ReadResponse(c.reader, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusContinue))
		c.send("abc\r\n\r\n" + head("GET / HTTP/1.1\r\n", 500) + "\r\n")
		c.expect(http.StatusOK, "67 3")
		status, _ := c.response()
		Expect(status).To(Equal(http.StatusOK))
	})

	It("hold nothing between requests but their connection", func() {
		s := start(ample())
		c := s.dial()
		c.send(head("POST / HTTP/1.1\r\nContent-Length: 3\r\n", headLimit) + "\r\nabc")
		c.expect(http.StatusOK, "2000 3")
		Eventually(func() int64 { return s.memory.Usage().Bytes }, wait, poll).Should(BeEquivalentTo(28 << 10))
		Expect(c.Close()).To(Succeed())
		Eventually(func() int64 { return s.memory.Usage().Bytes }, wait, poll).Should(BeZero())
		Expect(s.memory.Usage().Connections).To(BeZero())
	})
})

var _ = Describe("callers beyond the bounds", func() {
	It("get status 431 for a header over its limit, complete or not", func() {
		s := start(ample())
		c := s.dial()
		c.send("GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 3*headLimit+4096))
		status, _ := c.response()
		Expect(status).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
		Expect(s.memory.Count(callermem.HeadSize)).To(BeEquivalentTo(1))
	})

	It("get status 431 or 413 for more than a connection may hold", func() {
		config := ample()
		config.ConnectionBytes = 64 << 10
		s := start(config)
		c := s.dial()
		c.send("GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("x:\n", 600) + "\r\n")
		status, _ := c.response()
		Expect(status).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
		c = s.dial()
		c.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 60000\r\n\r\n" + strings.Repeat("b", 60000))
		status, _ = c.response()
		Expect(status).To(Equal(http.StatusRequestEntityTooLarge))
		Expect(s.memory.Count(callermem.ConnectionBytes)).To(BeEquivalentTo(2))
	})

	It("get status 408 for a body that does not arrive in time", func() {
		config := ample()
		config.BodyTimeout = 100 * time.Millisecond
		s := start(config)
		c := s.dial()
		c.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc")
		status, _ := c.response()
		Expect(status).To(Equal(http.StatusRequestTimeout))
		Expect(s.memory.Count(callermem.BodyTime)).To(BeEquivalentTo(1))
	})

	// Guards against callers whose requests stay in progress, and cannot be dropped, because they do not read their responses.
	It("lose their connection if they do not read their responses", func() {
		config := ample()
		config.WriteTimeout = 100 * time.Millisecond
		s := start(config)
		c := s.dial()
		go func() {
			requests := strings.Repeat("GET /long HTTP/1.1\r\nHost: h\r\n\r\n", 100)
			for range 1000 {
				if _, err := io.WriteString(c, requests); err != nil {
					return
				}
			}
		}()
		Eventually(func() int64 { return s.memory.Count(callermem.WriteTime) }, wait, poll).Should(BeEquivalentTo(1))
		Eventually(func() int64 { return s.memory.Usage().Bytes }, wait, poll).Should(BeZero())
	})

	// Guards against callers that keep out others by holding memory, and against a request that ends although it may have run.
	It("are dropped first if they hold most for longest, and never while their request is in progress", func() {
		config := ample()
		config.TotalBytes = 370 << 10
		s := start(config)
		running := s.dial()
		running.send("POST /slow HTTP/1.1\r\nHost: h\r\nContent-Length: 60000\r\n\r\n" + strings.Repeat("b", 60000))
		unfinished := s.dial()
		unfinished.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 60000\r\n\r\n" + strings.Repeat("b", 59999))
		small := s.dial()
		small.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nb")
		Eventually(func() int64 { return s.memory.Usage().Bytes }, wait, poll).Should(BeNumerically(">", 190<<10))
		late := s.dial()
		late.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 60000\r\n\r\n" + strings.Repeat("b", 60000))
		late.expect(http.StatusOK, "49 60000")
		another := s.dial()
		another.send("POST /slow HTTP/1.1\r\nHost: h\r\nContent-Length: 60000\r\n\r\n" + strings.Repeat("b", 60000))
		Eventually(func() int64 { return s.memory.Count(callermem.DroppedForMemory) }, wait, poll).Should(BeEquivalentTo(1))
		status, _ := unfinished.response()
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		small.send(strings.Repeat("b", 9))
		status, _ = small.response()
		Expect(status).To(Equal(http.StatusOK))
		close(s.slow)
		running.expect(http.StatusOK, "53 60000")
		another.expect(http.StatusOK, "53 60000")
	})

	It("get status 503 if all memory belongs to requests in progress", func() {
		config := ample()
		config.TotalBytes = 260 << 10
		s := start(config)
		running := s.dial()
		running.send("POST /slow HTTP/1.1\r\nHost: h\r\nContent-Length: 60000\r\n\r\n" + strings.Repeat("b", 60000))
		second := s.dial()
		second.send("POST /slow HTTP/1.1\r\nHost: h\r\nContent-Length: 60000\r\n\r\n" + strings.Repeat("b", 60000))
		Eventually(func() int64 { return s.memory.Usage().Bytes }, wait, poll).Should(BeNumerically(">", 160<<10))
		third := s.dial()
		third.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 60000\r\n\r\n" + strings.Repeat("b", 60000))
		status, _ := third.response()
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		Expect(s.memory.Count(callermem.Full)).To(BeNumerically(">", 0))
		close(s.slow)
		status, _ = running.response()
		Expect(status).To(Equal(http.StatusOK))
	})

	It("lose the connection that is idle for longest to new ones, and get status 503 if all have a request in progress", func() {
		config := ample()
		config.Connections = 2
		s := start(config)
		idle := s.dial()
		Eventually(func() int64 { return s.memory.Usage().Connections }, wait, poll).Should(BeEquivalentTo(1))
		time.Sleep(30 * time.Millisecond)
		running := s.dial()
		running.send("GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
		Eventually(func() int64 { return s.memory.Usage().Connections }, wait, poll).Should(BeEquivalentTo(2))
		next := s.dial()
		next.send("GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
		status, _ := idle.response()
		Expect(status).To(BeZero(), "closed without a response, because no request was sent")
		Eventually(func() int64 { return s.memory.Count(callermem.DroppedForConnections) }, wait, poll).Should(BeEquivalentTo(1))
		time.Sleep(50 * time.Millisecond)
		refused := s.dial()
		status, _ = refused.response()
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		Expect(s.memory.Count(callermem.Connections)).To(BeEquivalentTo(1))
		close(s.slow)
		running.expect(http.StatusOK, "29 0")
		next.expect(http.StatusOK, "29 0")
	})
})

// Guards against limits near the largest number, with which every header was refused and chunked bodies were never read.
var _ = Describe("limits of 2^63-1 bytes", func() {
	It("bound nothing", func() {
		s := startWith(ample(), math.MaxInt64, math.MaxInt64)
		c := s.dial()
		c.send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(strings.Repeat("b", 5000)))
		status, _ := c.response()
		Expect(status).To(Equal(http.StatusOK))
	})
})
