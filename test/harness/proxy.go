package harness

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/fault"
)

const (
	// proxyDialTimeout bounds dialing a target whose process is frozen.
	proxyDialTimeout = 2 * time.Second
	// pollInterval is how often a stalled direction checks whether the impairment has ended.
	pollInterval = 5 * time.Millisecond
)

// Impairment is a network fault that a proxy applies to all its connections. The zero value is none.
type Impairment struct {
	// Delay is how long each chunk of data waits before it is forwarded.
	Delay time.Duration
	// StallToServer and StallToClient hold back the data of one direction and deliver it once the stall ends, like a
	// partition that TCP bridges by retransmission.
	StallToServer, StallToClient bool
	// Refuse resets new connections when they are accepted.
	Refuse bool
}

// Proxy forwards TCP connections from its listen address to a target. It is safe for concurrent use.
type Proxy struct {
	listener net.Listener
	target   string

	// mu guards the fields below.
	mu         sync.Mutex
	impairment Impairment
	pipes      map[*pipe]bool
	closed     bool
}

// pipe is a pair of connections, from the client and to the target.
type pipe struct {
	client, server net.Conn
	// blackholed drops all further data of the pipe, also its end of stream.
	blackholed bool
}

// NewProxy listens on the address and forwards connections to the target.
func NewProxy(address, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fault.New(fault.Internal, "harness.proxy", "%w", err)
	}
	p := &Proxy{listener: listener, target: target, pipes: map[*pipe]bool{}}
	go p.accept()
	return p, nil
}

// Address returns the listen address.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Impair replaces the impairment of all connections, open and new.
func (p *Proxy) Impair(impairment Impairment) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.impairment = impairment
}

// ResetConnections closes all open connections with a TCP reset.
func (p *Proxy) ResetConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pipes {
		reset(c.client)
		reset(c.server)
	}
}

// BlackholeConnections drops all further data of the connections that are open now, without closing them. New
// connections work.
func (p *Proxy) BlackholeConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pipes {
		c.blackholed = true
	}
}

// Close stops the listener and resets all connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	_ = p.listener.Close()
	p.ResetConnections()
}

// reset closes a connection with a TCP reset instead of an orderly end.
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
	if p.state(nil).impairment.Refuse {
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
	var directions sync.WaitGroup
	directions.Add(2)
	go func() { defer directions.Done(); p.forward(c, client, server, true) }()
	go func() { defer directions.Done(); p.forward(c, server, client, false) }()
	directions.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pipes, c)
}

type proxyState struct {
	impairment         Impairment
	blackholed, closed bool
}

func (p *Proxy) state(c *pipe) proxyState {
	p.mu.Lock()
	defer p.mu.Unlock()
	return proxyState{impairment: p.impairment, blackholed: c != nil && c.blackholed, closed: p.closed}
}

// forward copies one direction of a pipe until it ends. Stalls, delays and blackholes apply to the end of the stream as
// they do to data.
func (p *Proxy) forward(c *pipe, from, to net.Conn, toServer bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		for {
			s := p.state(c)
			stalled := (toServer && s.impairment.StallToServer) || (!toServer && s.impairment.StallToClient)
			if s.closed || !stalled {
				time.Sleep(s.impairment.Delay)
				break
			}
			time.Sleep(pollInterval)
		}
		blackholed := p.state(c).blackholed
		if n > 0 && !blackholed {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				reset(from)
				return
			}
		}
		if err != nil {
			if !blackholed {
				_ = to.Close()
			}
			return
		}
	}
}
