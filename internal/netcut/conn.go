package netcut

import (
	"net"
	"os"
	"sync"
	"time"
)

const (
	// pollInterval is how often a stalled operation looks at the rules.
	pollInterval = 5 * time.Millisecond
	// dialTimeout is how long a dial to a cut address takes to fail, like a SYN without an answer.
	dialTimeout = 500 * time.Millisecond
	// maxHeld bounds the bytes that a cut connection accepts before its writes block, like a full send buffer.
	maxHeld = 1 << 20
)

// Dialer wraps a dial function. Dialling a cut address times out.
func (r *Rules) Dialer(dial func(address string) (net.Conn, error)) func(address string) (net.Conn, error) {
	if r == nil {
		return dial
	}
	return func(address string) (net.Conn, error) {
		if in, out := r.cut(address); in || out {
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

// Listener wraps the connections that a listener accepts. Their rules are looked up by the remote address, so a rule
// for one peer needs a peer that dials from its own host address.
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

// conn holds back the bytes of a cut direction and delivers them in order when the cut ends, as TCP does.
type conn struct {
	net.Conn
	rules   *Rules
	address string

	// readMu serialises readers and guards arrived and readErr, which hold what came in during a cut.
	readMu  sync.Mutex
	arrived []byte
	readErr error

	// mu guards the fields below.
	mu            sync.Mutex
	held          []byte
	flushing      bool
	closed        bool
	readDeadline  time.Time
	writeDeadline time.Time
}

func newConn(raw net.Conn, rules *Rules, address string) *conn {
	return &conn{Conn: raw, rules: rules, address: address}
}

// Read implements net.Conn. Bytes that arrive during a cut are kept until it ends.
func (c *conn) Read(buffer []byte) (int, error) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	if len(c.arrived) == 0 && c.readErr == nil {
		n, err := c.Conn.Read(buffer)
		c.arrived, c.readErr = append([]byte(nil), buffer[:n]...), err
	}
	if err := c.awaitReadable(); err != nil {
		return 0, err
	}
	n := copy(buffer, c.arrived)
	c.arrived = c.arrived[n:]
	if len(c.arrived) > 0 {
		return n, nil
	}
	err := c.readErr
	c.readErr = nil
	return n, err
}

func (c *conn) awaitReadable() error {
	for {
		if in, _ := c.rules.cut(c.address); !in {
			return nil
		}
		if err := c.expired(func() time.Time { return c.readDeadline }); err != nil {
			return err
		}
		time.Sleep(pollInterval)
	}
}

// Write implements net.Conn. During a cut it accepts the bytes without delivering them.
func (c *conn) Write(data []byte) (int, error) {
	for {
		if _, out := c.rules.cut(c.address); !out && c.idle() {
			return c.Conn.Write(data)
		}
		if c.hold(data) {
			return len(data), nil
		}
		if err := c.expired(func() time.Time { return c.writeDeadline }); err != nil {
			return 0, err
		}
		time.Sleep(pollInterval)
	}
}

// idle reports that no held bytes have to be delivered first.
func (c *conn) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.flushing
}

func (c *conn) hold(data []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || len(c.held)+len(data) > maxHeld {
		return false
	}
	c.held = append(c.held, data...)
	if !c.flushing {
		c.flushing = true
		go c.flush()
	}
	return true
}

// flush delivers held bytes once the cut has ended, and the close that was asked for meanwhile.
func (c *conn) flush() {
	for {
		if _, out := c.rules.cut(c.address); out {
			time.Sleep(pollInterval)
			continue
		}
		data, done := c.takeHeld()
		if done {
			return
		}
		if _, err := c.Conn.Write(data); err != nil {
			_ = c.Conn.Close()
		}
	}
}

func (c *conn) takeHeld() (data []byte, done bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	data, c.held = c.held, nil
	if len(data) > 0 {
		return data, false
	}
	c.flushing = false
	if c.closed {
		_ = c.Conn.Close()
	}
	return nil, true
}

// Close implements net.Conn. The peer learns of it only after the cut.
func (c *conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	c.closed = true
	_, out := c.rules.cut(c.address)
	if !out && !c.flushing {
		return c.Conn.Close()
	}
	// A reader must return now although the connection stays open.
	_ = c.Conn.SetReadDeadline(time.Now())
	if !c.flushing {
		c.flushing = true
		go c.flush()
	}
	return nil
}

func (c *conn) expired(deadline func() time.Time) error {
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
