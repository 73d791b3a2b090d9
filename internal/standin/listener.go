package standin

import (
	"net"
	"sync"
	"time"
)

// boundedListener limits the number of open connections. Further connections wait in the accept backlog of the
// operating system until one closes, as at a server that has reached its worker limit.
type boundedListener struct {
	net.Listener
	connSlots    chan struct{}
	connectDelay time.Duration
	closed       chan struct{}
	once         sync.Once

	// mu guards the fields below.
	mu       sync.Mutex
	accepted uint64
	open     int
	highest  int
}

func newBoundedListener(inner net.Listener, connections int, connectDelay time.Duration) *boundedListener {
	return &boundedListener{
		Listener:     inner,
		connSlots:    make(chan struct{}, max(connections, 1)),
		connectDelay: connectDelay,
		closed:       make(chan struct{}),
	}
}

// Accept implements net.Listener.
func (l *boundedListener) Accept() (net.Conn, error) {
	select {
	case l.connSlots <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.connSlots
		return nil, err
	}
	l.count(1)
	return &delayedConn{Conn: conn, listener: l, readyAt: time.Now().Add(l.connectDelay)}, nil
}

// Close implements net.Listener.
func (l *boundedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

func (l *boundedListener) count(change int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open += change
	l.highest = max(l.highest, l.open)
	if change > 0 {
		l.accepted++
	}
}

func (l *boundedListener) counts() (accepted uint64, open, highest int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.accepted, l.open, l.highest
}

// delayedConn delays its first read by the connect delay.
type delayedConn struct {
	net.Conn
	listener *boundedListener
	readyAt  time.Time
	waited   bool
	once     sync.Once
}

// Read implements net.Conn. The field waited needs no lock: until the first read returns, only the server's reading
// goroutine calls Read.
func (c *delayedConn) Read(buffer []byte) (int, error) {
	if !c.waited {
		time.Sleep(time.Until(c.readyAt))
		c.waited = true
	}
	return c.Conn.Read(buffer)
}

// Close implements net.Conn.
func (c *delayedConn) Close() error {
	c.once.Do(func() {
		c.listener.count(-1)
		<-c.listener.connSlots
	})
	return c.Conn.Close()
}
