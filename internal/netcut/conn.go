package netcut

import (
	"net"
	"os"
	"sync"
	"time"
)

const (
	// pollInterval is how often a stalled operation checks the rules.
	pollInterval = 5 * time.Millisecond
	// dialTimeout is how long a dial to a cut address takes to fail, like a connection attempt whose SYN is dropped.
	dialTimeout = 500 * time.Millisecond
	// maxBuffered is how many bytes a cut connection accepts before its writes block, like a full send buffer.
	maxBuffered = 1 << 20
)

// Dialer wraps a dial function so that its connections obey the rules. A dial to a cut address times out.
func (r *Rules) Dialer(dial func(address string) (net.Conn, error)) func(address string) (net.Conn, error) {
	if r == nil {
		return dial
	}
	return func(address string) (net.Conn, error) {
		if in, out := r.cutDirections(address); in || out {
			time.Sleep(dialTimeout)
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
		}
		raw, err := dial(address)
		if err != nil {
			return nil, err
		}
		return newConn(raw, r, address), nil
	}
}

// Listener wraps a listener so that its connections obey the rules. The rules are matched against the remote address,
// so a rule for a single peer only works if that peer dials from a host address of its own.
func (r *Rules) Listener(listener net.Listener) net.Listener {
	if r == nil {
		return listener
	}
	return &cutListener{Listener: listener, rules: r}
}

type cutListener struct {
	net.Listener
	rules *Rules
}

// Accept implements net.Listener.
func (l *cutListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newConn(raw, l.rules, raw.RemoteAddr().String()), nil
}

// conn buffers the bytes of a cut direction and delivers them in order when the cut ends, as TCP does after a network
// partition.
type conn struct {
	net.Conn
	rules   *Rules
	address string

	// readMu serializes readers and guards received and readErr, the result of a read from the network that has not
	// been returned yet.
	readMu   sync.Mutex
	received []byte
	readErr  error

	// mu guards the fields below.
	mu            sync.Mutex
	unsent        []byte
	flushing      bool
	closed        bool
	readDeadline  time.Time
	writeDeadline time.Time
}

func newConn(raw net.Conn, rules *Rules, address string) *conn {
	return &conn{Conn: raw, rules: rules, address: address}
}

// Read implements net.Conn. It keeps bytes that arrive during a cut and returns them after it.
func (c *conn) Read(buffer []byte) (int, error) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	if len(c.received) == 0 && c.readErr == nil {
		n, err := c.Conn.Read(buffer)
		c.received, c.readErr = append([]byte(nil), buffer[:n]...), err
	}
	if err := c.waitReadable(); err != nil {
		return 0, err
	}
	n := copy(buffer, c.received)
	c.received = c.received[n:]
	if len(c.received) > 0 {
		return n, nil
	}
	err := c.readErr
	c.readErr = nil
	return n, err
}

// waitReadable waits until the incoming direction is not cut, the read deadline passes or the connection is closed.
func (c *conn) waitReadable() error {
	for {
		if in, _ := c.rules.cutDirections(c.address); !in {
			return nil
		}
		if err := c.checkDeadline(func() time.Time { return c.readDeadline }); err != nil {
			return err
		}
		time.Sleep(pollInterval)
	}
}

// Write implements net.Conn. During a cut it buffers the bytes without sending them.
func (c *conn) Write(data []byte) (int, error) {
	for {
		if _, out := c.rules.cutDirections(c.address); !out && c.canWriteThrough() {
			return c.Conn.Write(data)
		}
		if c.bufferWrite(data) {
			return len(data), nil
		}
		if err := c.checkDeadline(func() time.Time { return c.writeDeadline }); err != nil {
			return 0, err
		}
		time.Sleep(pollInterval)
	}
}

// canWriteThrough reports that no buffered bytes have to be sent before new ones.
func (c *conn) canWriteThrough() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.flushing
}

// bufferWrite buffers the data until the cut ends. It returns false if the connection is closed or the buffer is full.
func (c *conn) bufferWrite(data []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || len(c.unsent)+len(data) > maxBuffered {
		return false
	}
	c.unsent = append(c.unsent, data...)
	if !c.flushing {
		c.flushing = true
		go c.flush()
	}
	return true
}

// flush sends the buffered bytes once the cut has ended, and then closes the connection if Close was called meanwhile.
func (c *conn) flush() {
	for {
		if _, out := c.rules.cutDirections(c.address); out {
			time.Sleep(pollInterval)
			continue
		}
		data, done := c.takeUnsent()
		if done {
			return
		}
		if _, err := c.Conn.Write(data); err != nil {
			_ = c.Conn.Close()
		}
	}
}

// takeUnsent returns and clears the buffered bytes. If there are none, it ends the flush and performs a pending close.
func (c *conn) takeUnsent() (data []byte, done bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	data, c.unsent = c.unsent, nil
	if len(data) > 0 {
		return data, false
	}
	c.flushing = false
	if c.closed {
		_ = c.Conn.Close()
	}
	return nil, true
}

// Close implements net.Conn. During a cut, the connection stays open to the peer until the cut ends.
func (c *conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	c.closed = true
	_, out := c.rules.cutDirections(c.address)
	if !out && !c.flushing {
		return c.Conn.Close()
	}
	// Unblock a pending local read, although the connection stays open.
	_ = c.Conn.SetReadDeadline(time.Now())
	if !c.flushing {
		c.flushing = true
		go c.flush()
	}
	return nil
}

// checkDeadline returns an error if the connection is closed or the deadline has passed.
func (c *conn) checkDeadline(deadline func() time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	if end := deadline(); !end.IsZero() && !time.Now().Before(end) {
		return os.ErrDeadlineExceeded
	}
	return nil
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	return c.Conn.SetReadDeadline(t)
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeDeadline = t
	return c.Conn.SetWriteDeadline(t)
}
