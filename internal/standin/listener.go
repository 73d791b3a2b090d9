package standin

import (
	"net"
	"sync"
	"time"
)

// boundedListener accepts a bounded number of connections. Further ones wait in the backlog of the operating system
// until one closes, as they do at a server whose worker limit is reached.
type boundedListener struct {
	net.Listener
	places chan struct{}
	cost   time.Duration
	closed chan struct{}
	once   sync.Once

	// mu guards accepted and open, highest.
	mu       sync.Mutex
	accepted uint64
	open     int
	highest  int
}

func newBoundedListener(inner net.Listener, connections int, cost time.Duration) *boundedListener {
	return &boundedListener{
		Listener: inner,
		places:   make(chan struct{}, max(connections, 1)),
		cost:     cost,
		closed:   make(chan struct{}),
	}
}

// Accept implements net.Listener.
func (l *boundedListener) Accept() (net.Conn, error) {
	select {
	case l.places <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.places
		return nil, err
	}
	l.count(1)
	return &costlyConn{Conn: conn, listener: l, ready: time.Now().Add(l.cost)}, nil
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

// costlyConn delays its first read until the cost of connecting is paid.
type costlyConn struct {
	net.Conn
	listener *boundedListener
	ready    time.Time
	paid     bool
	once     sync.Once
}

// Read implements net.Conn. Only the server's reading goroutine calls it before the cost is paid.
func (c *costlyConn) Read(buffer []byte) (int, error) {
	if !c.paid {
		time.Sleep(time.Until(c.ready))
		c.paid = true
	}
	return c.Conn.Read(buffer)
}

// Close implements net.Conn.
func (c *costlyConn) Close() error {
	c.once.Do(func() {
		c.listener.count(-1)
		<-c.listener.places
	})
	return c.Conn.Close()
}
