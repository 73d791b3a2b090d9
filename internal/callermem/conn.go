package callermem

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"
)

const (
	// refusalTimeout limits how long a refusal is written, and how long the rest of what the caller sends is discarded afterwards,
	// so that the caller sees the refusal instead of a reset.
	refusalTimeout = 500 * time.Millisecond
	// maxDiscardBytes limits how much is discarded.
	maxDiscardBytes = 4 << 20
	// retryAfterSeconds is the Retry-After of a refusal for want of memory. Dropped connections are closed by then.
	retryAfterSeconds = 1
)

// listener admits connections.
type listener struct {
	net.Listener
	memory    *Memory
	headBytes func() int64
}

// Listener returns a listener whose connections count against the memory. headBytes returns the limit of a header, which may
// change between requests.
func (m *Memory) Listener(l net.Listener, headBytes func() int64) net.Listener {
	return &listener{Listener: l, memory: m, headBytes: headBytes}
}

// Accept implements net.Listener. It refuses connections beyond the bounds.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: raw, memory: l.memory, headBytes: l.headBytes, since: time.Now()}
		if l.memory.admit(c) {
			return c, nil
		}
		// A response this short fits into the buffer of a new connection.
		_ = raw.SetWriteDeadline(time.Now().Add(minAge))
		_, _ = raw.Write(refusal(http.StatusServiceUnavailable))
		_ = raw.Close()
	}
}

// conn is the connection of a caller. As in net/http, one goroutine reads at a time.
type conn struct {
	net.Conn
	memory    *Memory
	headBytes func() int64
	// framing and rest are used by the goroutine that reads. rest holds bytes that were read beyond the end of a message.
	framing framing
	rest    []byte

	// memory.mu guards the fields below.

	// held is what is charged to this connection: connectionBytes, message for requests that have a complete header, and head for
	// the header that is being read.
	held, message, head int64
	// lastHead is the size of the last complete header.
	lastHead int64
	// since is when the connection was opened, became idle, or began to send a request.
	since time.Time
	// running is set while a complete request is in progress, which is never dropped.
	running bool
	dropped bool
	// hasWriteDeadline is set while the server or a handler has set a deadline for writing.
	hasWriteDeadline bool
}

// weight orders connections by what they hold and for how long. It is 0 for those that are not dropped.
func (c *conn) weight(now time.Time) float64 {
	if c.running || c.dropped {
		return 0
	}
	return float64(c.held) * max(now.Sub(c.since), minAge).Seconds()
}

// interrupt ends a read in progress of a dropped connection. memory.mu is held.
func (c *conn) interrupt() {
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
}

// SetReadDeadline implements net.Conn. The deadline of a dropped connection stays in the past.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.memory.mu.Lock()
	defer c.memory.mu.Unlock()
	if c.dropped {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetWriteDeadline implements net.Conn. A dropped connection keeps its own.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.memory.mu.Lock()
	defer c.memory.mu.Unlock()
	if c.dropped {
		return nil
	}
	c.hasWriteDeadline = !t.IsZero()
	return c.Conn.SetWriteDeadline(t)
}

// Write implements net.Conn. Without a deadline of the server, each write has the time of the configuration.
func (c *conn) Write(p []byte) (int, error) {
	c.memory.mu.Lock()
	if !c.hasWriteDeadline && !c.dropped {
		_ = c.Conn.SetWriteDeadline(time.Now().Add(c.memory.config.WriteTimeout))
	}
	c.memory.mu.Unlock()
	n, err := c.Conn.Write(p)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.memory.noteFor(c, WriteTime)
	}
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.memory.remove(c)
	return c.Conn.Close()
}

// CloseWrite closes the connection for writing, so that a caller reads a last response to its end.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Read implements net.Conn. It never returns bytes of two messages, so that what net/http has buffered belongs to the message
// whose header was charged.
func (c *conn) Read(p []byte) (int, error) {
	var n int
	var err error
	if len(c.rest) > 0 {
		n = copy(p, c.rest)
		c.rest = c.rest[n:]
	} else if n, err = c.Conn.Read(p); n == 0 {
		if !c.isDropped() {
			return 0, err
		}
		// In the body of a request its handler responds, and between two requests nothing is due.
		if c.framing.inHead() && c.framing.headBytes > 0 && len(p) > 1 {
			return 0, c.refuse(http.StatusServiceUnavailable, p)
		}
		return 0, err
	}
	taken, headDone, lines := c.framing.follow(p[:n])
	if taken < n {
		c.rest = append(append([]byte(nil), p[taken:n]...), c.rest...)
	}
	if lines >= 0 {
		if refused := c.chargeHead(taken, lines, headDone, p); refused != nil {
			return 0, refused
		}
	}
	return taken, err
}

func (c *conn) isDropped() bool {
	c.memory.mu.Lock()
	defer c.memory.mu.Unlock()
	return c.dropped
}

// chargeHead charges bytes of a header and their lines before they are parsed.
func (c *conn) chargeHead(bytes, lines int, done bool, scratch []byte) error {
	m := c.memory
	if len(scratch) == 1 {
		// net/http waits for a byte of the next request, or for the end of the connection, while a request is in progress. A refusal
		// now would be taken for the response to that.
		return nil
	}
	size := c.framing.headBytes
	if done {
		size = c.framing.lastHead
	}
	if size-headSlackBytes > c.headBytes() {
		m.noteFor(c, HeadSize)
		return c.refuse(http.StatusRequestHeaderFieldsTooLarge, scratch)
	}
	cost := int64(rawFactor*bytes + lineBytes*lines)
	if err := m.reserve(c, cost); errors.Is(err, errConnection) {
		return c.refuse(http.StatusRequestHeaderFieldsTooLarge, scratch)
	} else if err != nil {
		return c.refuse(http.StatusServiceUnavailable, scratch)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if c.head == 0 && !c.running {
		c.since = time.Now()
	}
	c.head += cost
	if done {
		c.message += c.head
		c.head = 0
		c.lastHead = size
	}
	return nil
}

// pin marks the request as complete. It returns false if the connection was dropped.
func (c *conn) pin() bool {
	c.memory.mu.Lock()
	defer c.memory.mu.Unlock()
	c.running = !c.dropped
	return c.running
}

// idle returns what the requests up to now hold, and begins to wait for the next one.
func (c *conn) idle() {
	c.memory.mu.Lock()
	defer c.memory.mu.Unlock()
	c.releaseMessageLocked()
	c.running = false
	c.since = time.Now()
	c.framing.resync()
}

func (c *conn) releaseMessageLocked() {
	c.memory.releaseLocked(c, c.message)
	c.message = 0
}

// refusal returns the bytes of a response that closes the connection.
func refusal(status int) []byte {
	retryAfter := ""
	if status == http.StatusServiceUnavailable {
		retryAfter = fmt.Sprintf("Retry-After: %d\r\n", retryAfterSeconds)
	}
	text := fmt.Sprintf("%d %s", status, http.StatusText(status))
	return fmt.Appendf(nil, "HTTP/1.1 %s\r\n%sContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		text, retryAfter, len(text), text)
}

// refuse responds in place of a handler to a request whose header is not complete, and discards what follows for a while. It
// returns an error upon which net/http closes the connection silently.
func (c *conn) refuse(status int, scratch []byte) error {
	refused := &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: errDropped}
	c.memory.mu.Lock()
	c.releaseMessageLocked()
	c.memory.releaseLocked(c, c.head)
	c.head = 0
	c.memory.mu.Unlock()
	_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
	if _, err := c.Conn.Write(refusal(status)); err != nil {
		return refused
	}
	_ = c.CloseWrite()
	_ = c.Conn.SetReadDeadline(time.Now().Add(refusalTimeout))
	for discarded := 0; discarded < maxDiscardBytes; {
		n, err := c.Conn.Read(scratch)
		if err != nil {
			break
		}
		discarded += n
	}
	return refused
}
