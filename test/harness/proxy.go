package harness

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/fault"
)

const (
	// proxyDialTimeout bounds a connection to a target that is frozen.
	proxyDialTimeout = 2 * time.Second
	// pollInterval is how often a cut direction looks whether the cut is over.
	pollInterval = 5 * time.Millisecond
)

// Cut is what a proxy does to the connections through it.
type Cut struct {
	// Delay is added to each read that is passed on.
	Delay time.Duration
	// ToServer and ToClient hold back the bytes of a direction, as a cut that the two ends retransmit across.
	ToServer, ToClient bool
	// Refuse closes new connections at once.
	Refuse bool
}

// Proxy passes the connections to one address on to another one. It is safe for concurrent use.
type Proxy struct {
	listener net.Listener
	target   string

	// mu guards the fields below.
	mu     sync.Mutex
	cut    Cut
	pipes  map[*pipe]bool
	closed bool
}

// pipe is a connection through the proxy.
type pipe struct {
	client, server net.Conn
	// silent is set when its bytes vanish for good.
	silent bool
}

// NewProxy listens at the address and passes connections on to the target.
func NewProxy(address, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fault.New(fault.Internal, "harness.proxy", "%w", err)
	}
	p := &Proxy{listener: listener, target: target, pipes: map[*pipe]bool{}}
	go p.accept()
	return p, nil
}

// Address is where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set replaces what is done to all connections.
func (p *Proxy) Set(cut Cut) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
}

// Reset breaks all connections off.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pipes {
		reset(c.client)
		reset(c.server)
	}
}

// Silence makes the connections that are open now deliver nothing more; new ones work.
func (p *Proxy) Silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pipes {
		c.silent = true
	}
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	_ = p.listener.Close()
	p.Reset()
}

// reset closes a connection so that its peer sees a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (p *Proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			go p.serve(conn)
		}
	}
}

func (p *Proxy) serve(client net.Conn) {
	if p.state(nil).cut.Refuse {
		reset(client)
		return
	}
	server, err := net.DialTimeout("tcp", p.target, proxyDialTimeout)
	if err != nil {
		reset(client)
		return
	}
	c := &pipe{client: client, server: server}
	p.mu.Lock()
	p.pipes[c] = true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Add(2)
	go func() { defer both.Done(); p.pump(c, client, server, true) }()
	go func() { defer both.Done(); p.pump(c, server, client, false) }()
	both.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pipes, c)
}

type proxyState struct {
	cut            Cut
	silent, closed bool
}

func (p *Proxy) state(c *pipe) proxyState {
	p.mu.Lock()
	defer p.mu.Unlock()
	return proxyState{cut: p.cut, silent: c != nil && c.silent, closed: p.closed}
}

// pump passes one direction on. The end of a connection is passed on like bytes.
func (p *Proxy) pump(c *pipe, from, to net.Conn, toServer bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		for {
			s := p.state(c)
			held := (toServer && s.cut.ToServer) || (!toServer && s.cut.ToClient)
			if s.closed || !held {
				time.Sleep(s.cut.Delay)
				break
			}
			time.Sleep(pollInterval)
		}
		silent := p.state(c).silent
		if n > 0 && !silent {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				reset(from)
				return
			}
		}
		if err != nil {
			if !silent {
				_ = to.Close()
			}
			return
		}
	}
}
