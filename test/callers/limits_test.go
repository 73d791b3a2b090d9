package callers_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	// headerTime and idleTime are just within header_timeout_ms and idle_timeout_ms of the route table.
	headerTime = 2950 * time.Millisecond
	idleTime   = 14_950 * time.Millisecond
	// callerTimeout bounds the exchanges of one caller.
	callerTimeout = 40 * time.Second
)

// single is one caller in calm.
type single struct {
	net.Conn
	reader *bufio.Reader
}

func (t *target) single() *single {
	conn := t.dial()
	Expect(conn).NotTo(BeNil())
	DeferCleanup(func() { _ = conn.Close() })
	Expect(conn.SetDeadline(time.Now().Add(callerTimeout))).To(Succeed())
	return &single{conn, bufio.NewReader(conn)}
}

func (s *single) send(raw string) {
	GinkgoHelper()
	_, err := io.WriteString(s, raw)
	Expect(err).NotTo(HaveOccurred())
}

// expectOK reads a response and expects that the request ran.
func (s *single) expectOK() {
	GinkgoHelper()
	response, err := http.ReadResponse(s.reader, nil)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	Expect(response.StatusCode).To(Equal(http.StatusOK), string(body))
}

// padded returns the request line and header lines of exactly the size, with the empty line at their end.
func padded(method, path, more string, size int) string {
	begin := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: shop.example\r\nWisteriamux-Request-Id: r\r\n%s", method, path, more)
	return begin + "Padding: " + strings.Repeat("x", size-len(begin)-len("Padding: \r\n")) + "\r\n\r\n"
}

// manyLines returns a header of exactly the size that consists of the shortest lines.
func manyLines(size int) string {
	head := "GET /slips/1 HTTP/1.1\r\nHost: shop.example\r\nWisteriamux-Request-Id: r\r\n"
	return uniqueLines(head, size, "%x:\n") + "\r\n"
}

var _ = Describe("a single caller within the limits of the route table", func() {
	var t *target
	BeforeEach(func() { t = startRouter(0) })

	body := strings.Repeat("b", maxBodyBytes)
	byLength := padded(http.MethodPost, "/orders/1", fmt.Sprintf("Content-Length: %d\r\n", maxBodyBytes), maxHeaderBytes) + body
	inChunks := padded(http.MethodPost, "/orders/1", "Transfer-Encoding: chunked\r\n", maxHeaderBytes) +
		strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", 4096, body[:4096]), maxBodyBytes/4096) + "0\r\n\r\n"
	withoutBody := padded(http.MethodGet, "/slips/1", "", maxHeaderBytes)

	// Guards against limits on callers that refuse what the route table allows.
	It("is served at exactly the limits, by length, in chunks and with the shortest header lines, on new and on kept connections", func() {
		kept := t.single()
		for _, raw := range []string{byLength, inChunks, withoutBody, manyLines(maxHeaderBytes), inChunks, byLength} {
			kept.send(raw)
			kept.expectOK()
			fresh := t.single()
			fresh.send(raw)
			fresh.expectOK()
		}
	})

	It("is served at exactly the limits when it sends the next requests before the response", func() {
		c := t.single()
		all := []string{withoutBody, byLength, byLength, inChunks, inChunks, manyLines(maxHeaderBytes), withoutBody}
		sent := make(chan error, 1)
		go func() {
			_, err := io.WriteString(c, strings.Join(all, ""))
			sent <- err
		}()
		for range all {
			c.expectOK()
		}
		Expect(<-sent).To(Succeed())
	})

	It("is served when it takes almost the time limits for its header and between requests", func() {
		c := t.single()
		const parts = 10
		for n := range parts {
			c.send(withoutBody[n*len(withoutBody)/parts : (n+1)*len(withoutBody)/parts])
			if n < parts-1 {
				time.Sleep(headerTime / (parts - 1))
			}
		}
		c.expectOK()
		time.Sleep(idleTime)
		c.send(byLength)
		c.expectOK()
	})
})
