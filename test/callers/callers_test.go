package callers_test

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	// sendTimeout bounds how long one caller of a crowd sends.
	sendTimeout = 5 * time.Second
	// stayTime is how long a crowd stays before its effect is read.
	stayTime = 2 * time.Second
	// trickles and trickleInterval bound how long bodies trickle.
	trickles        = 15
	trickleInterval = 200 * time.Millisecond
	// reserveDescriptors is how many descriptors a process must keep for its own connections, beside its callers.
	reserveDescriptors = 64
)

// crowd is a number of connections on which the same bytes are sent.
type crowd struct {
	name    string
	size    int
	payload func(t *target) []byte
	// complete means that the payload is a complete request.
	complete bool
	// trickle sends single bytes after the payload.
	trickle bool
	// upstreamDelay is how long the upstream works for each request.
	upstreamDelay time.Duration
}

// requestLine begins a request with a body.
func requestLine(t *target) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n", t.path, t.host)
}

// uniqueLines appends short header lines with different names until the head has the size.
func uniqueLines(head string, size int, format string) string {
	var b strings.Builder
	b.WriteString(head)
	for n := 0; ; n++ {
		line := fmt.Sprintf(format, n)
		if b.Len()+len(line) > size {
			return b.String()
		}
		b.WriteString(line)
	}
}

// oddLines appends lines that are legal and unusual: names of symbols, one name many times, no value, no carriage return,
// folded values and padding.
func oddLines(head string, size int) string {
	const symbols = "!#$%&'*+-.^_`|~"
	var b strings.Builder
	b.WriteString(head)
	for n := 0; ; n++ {
		line := fmt.Sprintf("%c%c%c:\n", symbols[n%15], symbols[n/15%15], symbols[n/225%15])
		switch n % 40 {
		case 10:
			line = "z:\n"
		case 20:
			line += " \n"
		case 30:
			line = fmt.Sprintf("Y%d:%12s\n", n, "")
		}
		if b.Len()+len(line) > size {
			return b.String()
		}
		b.WriteString(line)
	}
}

// document is a JSON body of the size. It holds far more values than an ordinary one.
func document(t *target, size int) []byte {
	begin, value, end := `{"query":"`, "x", `"}`
	switch t.path {
	case "/v1/search":
		// Each key is another one, because the decoder remembers those of an object.
		var keys strings.Builder
		for n := 0; keys.Len() < size-100; n++ {
			fmt.Fprintf(&keys, `,"%x":0`, n)
		}
		begin, value, end = `{"services":[{"x":0`+keys.String(), ` `, `}]}`
	case "/config/replace":
		begin, value, end = `{"version":2,"services":[],"routes":[{}`, `,{}`, `]}`
	}
	body := []byte(begin + strings.Repeat(value, (size-len(begin)-len(end))/len(value)))
	for len(body)+len(end) < size {
		body = append(body, ' ')
	}
	return append(body, end...)
}

func byLength(t *target, body []byte, declared int) []byte {
	return append(fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n", requestLine(t), declared), body...)
}

// inChunks frames the body in chunks, without the end of the message.
func inChunks(t *target, body []byte) []byte {
	const chunk = 16 << 10
	out := fmt.Appendf(nil, "%sTransfer-Encoding: chunked\r\n\r\n", requestLine(t))
	for len(body) > 0 {
		n := min(chunk, len(body))
		out = fmt.Appendf(out, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	return out
}

// bodies returns how many bodies of the target's largest size exceed the memory of the VM, at most 600. Complete configurations
// are fewer, because a process that decodes all of them needs gigabytes.
func (c crowd) bodies(t *target) int {
	if c.complete && t.path == "/config/replace" {
		return 2
	}
	return min(600, 256<<20/t.maxBody)
}

// kinds are the crowds by what they send. A size of 0 stands for bodies.
var kinds = []crowd{
	{name: "short header lines of legal size", size: 800, payload: func(t *target) []byte {
		// The router counts a separator of four bytes for each line, of which three are sent.
		return []byte(uniqueLines(requestLine(t)+"Content-Length: 10\r\n", maxHeaderBytes*6/7-400, "%x:\r\n") + "\r\n")
	}},
	{name: "odd header lines of legal size", size: 800, payload: func(t *target) []byte {
		return []byte(oddLines(requestLine(t), maxHeaderBytes-4))
	}},
	{name: "heads over the limit", size: 40, payload: func(t *target) []byte {
		return []byte(uniqueLines(requestLine(t), 1<<20, "%x:\r\n"))
	}},
	{name: "heads without end", size: 250, payload: func(t *target) []byte {
		return append([]byte(requestLine(t)+"Long: "), bytes.Repeat([]byte("x"), 1<<20)...)
	}},
	{name: "empty lines without end before a request", size: 250, payload: func(*target) []byte {
		return bytes.Repeat([]byte("\r\n"), 512<<10)
	}},
	{name: "empty lines without end between two requests", size: 250, payload: func(t *target) []byte {
		return append(byLength(t, []byte("{}"), 2), bytes.Repeat([]byte("\r\n"), 512<<10)...)
	}},
	{name: "large bodies by length", complete: true, upstreamDelay: time.Second, payload: func(t *target) []byte {
		return byLength(t, document(t, t.maxBody), t.maxBody)
	}},
	{name: "large bodies in chunks", complete: true, upstreamDelay: time.Second, payload: func(t *target) []byte {
		return append(inChunks(t, document(t, t.maxBody)), "0\r\n\r\n"...)
	}},
	{name: "bodies by length that stop just short of their end", payload: func(t *target) []byte {
		return byLength(t, document(t, t.maxBody)[:t.maxBody-1], t.maxBody)
	}},
	{name: "bodies in chunks that stop just short of their end", payload: func(t *target) []byte {
		return inChunks(t, document(t, t.maxBody)[:t.maxBody-1])
	}},
	{name: "bodies that trickle", trickle: true, payload: func(t *target) []byte {
		return byLength(t, document(t, t.maxBody)[:t.maxBody-2*trickles], t.maxBody)
	}},
}

// send opens the connections of the crowd at once and sends its bytes on each. The target may refuse or close connections at any
// time. The connections stay open until close is called.
func (c crowd) send(t *target, size int) (closeAll func()) {
	payload := c.payload(t)
	conns := make([]net.Conn, size)
	var callers sync.WaitGroup
	for n := range size {
		callers.Add(1)
		go func() {
			defer callers.Done()
			conn := t.dial()
			if conn == nil {
				return
			}
			conns[n] = conn
			_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout))
			if _, err := conn.Write(payload); err != nil || !c.trickle {
				return
			}
			for range trickles {
				time.Sleep(trickleInterval)
				if _, err := conn.Write([]byte{' '}); err != nil {
					return
				}
			}
		}()
	}
	callers.Wait()
	time.Sleep(stayTime)
	return func() {
		for _, conn := range conns {
			if conn != nil {
				_ = conn.Close()
			}
		}
	}
}

var targets = []struct {
	program string
	start   func(descriptors int, more ...string) *target
}{{"wmux-router", startRouter}, {"wmux-entry", startEntry}, {"wmux-control", startControl}}

var _ = Describe("a process that untrusted callers reach", func() {
	for _, reached := range targets {
		for _, c := range kinds {
			// Guards against a process that keeps or computes more for its callers than its VM has memory, and ends with all its requests.
			It(fmt.Sprintf("%s stays within the memory of its VM and answers beside %s", reached.program, c.name), func() {
				t := reached.start(0)
				size := c.size
				if size == 0 {
					size = c.bodies(t)
				}
				if t.upstream != nil {
					t.upstream.Delay.Store(int64(c.upstreamDelay))
				}
				closeAll := c.send(t, size)
				defer closeAll()
				descriptors := t.expectUnharmed(vmMemoryBytes)
				// A request in progress may need a connection to an upstream beside that of its caller.
				Expect(descriptors).To(BeNumerically("<", 2*size+reserveDescriptors))
			})
		}

		// Guards against callers that take all descriptors, so that neither upstreams nor the control group can be reached.
		It(reached.program+" keeps descriptors for its own connections beside connections that stay", func() {
			const descriptors, size = 256, 300
			t := reached.start(descriptors)
			c := crowd{payload: func(t *target) []byte { return byLength(t, []byte("{"), 2) }}
			closeAll := c.send(t, size)
			defer closeAll()
			Expect(t.alive()).To(BeTrue())
			Expect(t.descriptors()).To(BeNumerically("<=", descriptors-reserveDescriptors))
			Eventually(t.ordinary, answerTimeout, pollInterval).Should(BeTrue(), "an ordinary request must be answered while the crowd stays")
			Expect(t.peakMemory()).To(BeNumerically("<", vmMemoryBytes))
		})
	}
})
