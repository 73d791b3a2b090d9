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
	// maxSpareConns limits the connections that are opened in advance. A cancelled request closes its connection, and
	// connecting takes up to 6 ms at some upstreams.
	maxSpareConns = 2
	// refillDelay is the wait before the next dial after a failed dial or after the upstream closed a spare connection.
	refillDelay = time.Second
)

// sparePool keeps a few connections to one upstream open in advance, so that the next dials need not connect.
type sparePool struct {
	address string
	// size is the number of spare connections to keep open.
	size   int
	dialer net.Dialer

	// mu guards the fields below.
	mu   sync.Mutex
	idle []*spareConn
	// dialing is the number of dials in progress.
	dialing int
	closed  bool
}

// spareConn is an open connection that is not in use. A goroutine watches whether the upstream closes it.
type spareConn struct {
	net.Conn
	// watched is closed when the watch has ended. closedByPeer may be read only after that.
	watched      chan struct{}
	closedByPeer bool
}

func newSparePool(address string, size int) *sparePool {
	s := &sparePool{address: address, size: size, dialer: net.Dialer{Timeout: dialTimeout}}
	s.refill()
	return s
}

// dialContext returns a spare connection, or a new one if there is none.
func (s *sparePool) dialContext(ctx context.Context, network, address string) (net.Conn, error) {
	defer s.refill()
	for {
		spare := s.takeOldest()
		if spare == nil {
			return s.dialer.DialContext(ctx, network, address)
		}
		if spare.stopWatch() {
			return spare.Conn, nil
		}
		_ = spare.Close()
	}
}

// takeOldest removes the oldest spare connection from the pool and returns it, or nil if there is none.
func (s *sparePool) takeOldest() *spareConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.idle) == 0 {
		return nil
	}
	oldest := s.idle[0]
	s.idle = s.idle[1:]
	return oldest
}

// refill starts as many dials in the background as spare connections are missing.
func (s *sparePool) refill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for !s.closed && len(s.idle)+s.dialing < s.size {
		s.dialing++
		go s.dialSpare()
	}
}

// dialSpare opens one spare connection and adds it to the pool.
func (s *sparePool) dialSpare() {
	conn, err := s.dialer.Dial("tcp", s.address)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dialing--
	if err != nil {
		time.AfterFunc(refillDelay, s.refill)
		return
	}
	if s.closed {
		_ = conn.Close()
		return
	}
	added := &spareConn{Conn: conn, watched: make(chan struct{})}
	s.idle = append(s.idle, added)
	go s.watch(added)
}

// watch blocks in a read, by which it notices that the upstream closes the connection, and then removes the connection
// from the pool. stopWatch ends the read with a deadline in the past.
func (s *sparePool) watch(watched *spareConn) {
	var buffer [1]byte
	_, err := watched.Read(buffer[:])
	watched.closedByPeer = !errors.Is(err, os.ErrDeadlineExceeded)
	close(watched.watched)
	if !watched.closedByPeer {
		return
	}
	if s.remove(watched) {
		_ = watched.Close()
		time.AfterFunc(refillDelay, s.refill)
	}
}

// remove removes the connection from the pool and reports whether it was there.
func (s *sparePool) remove(conn *spareConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, other := range s.idle {
		if other == conn {
			s.idle = append(s.idle[:i], s.idle[i+1:]...)
			return true
		}
	}
	return false
}

// stopWatch ends the watch, clears the read deadline and reports whether the connection is usable.
func (s *spareConn) stopWatch() bool {
	_ = s.SetReadDeadline(time.Unix(1, 0))
	<-s.watched
	return !s.closedByPeer && s.SetReadDeadline(time.Time{}) == nil
}

// close closes the spare connections and stops refilling.
func (s *sparePool) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, conn := range s.idle {
		_ = conn.Close()
	}
	s.idle = nil
}
