package upstreamapi

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

const (
	// maxSpares is the number of connections kept open in advance. A cancelled request closes its connection, and
	// connecting takes up to 6 ms at some upstreams.
	maxSpares = 2
	// refillPause follows a failed dial or a spare that the upstream closed.
	refillPause = time.Second
)

// spares keeps a few open connections to one upstream for the next dials.
type spares struct {
	address string
	want    int
	dialer  net.Dialer

	// mu guards the fields below.
	mu      sync.Mutex
	idle    []*spare
	dialing int
	closed  bool
}

// spare is an open connection that is watched for being closed by the upstream.
type spare struct {
	net.Conn
	watched chan struct{}
	dead    bool
}

func newSpares(address string, want int) *spares {
	s := &spares{address: address, want: want, dialer: net.Dialer{Timeout: dialTimeout}}
	s.refill()
	return s
}

// dialContext returns a spare connection, or a new one when there is none.
func (s *spares) dialContext(ctx context.Context, network, address string) (net.Conn, error) {
	defer s.refill()
	for {
		taken := s.take()
		if taken == nil {
			return s.dialer.DialContext(ctx, network, address)
		}
		if taken.release() {
			return taken.Conn, nil
		}
		_ = taken.Close()
	}
}

func (s *spares) take() *spare {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.idle) == 0 {
		return nil
	}
	taken := s.idle[0]
	s.idle = s.idle[1:]
	return taken
}

// refill dials in the background until the wanted number of spares is open.
func (s *spares) refill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for !s.closed && len(s.idle)+s.dialing < s.want {
		s.dialing++
		go s.add()
	}
}

func (s *spares) add() {
	conn, err := s.dialer.Dial("tcp", s.address)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dialing--
	if err != nil {
		time.AfterFunc(refillPause, s.refill)
		return
	}
	if s.closed {
		_ = conn.Close()
		return
	}
	added := &spare{Conn: conn, watched: make(chan struct{})}
	s.idle = append(s.idle, added)
	go s.watch(added)
}

// watch removes a spare that the upstream closes. It ends when the spare is released for use.
func (s *spares) watch(watched *spare) {
	var one [1]byte
	_, err := watched.Read(one[:])
	watched.dead = !errors.Is(err, os.ErrDeadlineExceeded)
	close(watched.watched)
	if !watched.dead {
		return
	}
	if s.remove(watched) {
		_ = watched.Close()
		time.AfterFunc(refillPause, s.refill)
	}
}

func (s *spares) remove(gone *spare) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, other := range s.idle {
		if other == gone {
			s.idle = append(s.idle[:i], s.idle[i+1:]...)
			return true
		}
	}
	return false
}

// release ends the watch and reports whether the connection is still open.
func (s *spare) release() bool {
	_ = s.SetReadDeadline(time.Unix(1, 0))
	<-s.watched
	return !s.dead && s.SetReadDeadline(time.Time{}) == nil
}

func (s *spares) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, conn := range s.idle {
		_ = conn.Close()
	}
	s.idle = nil
}
