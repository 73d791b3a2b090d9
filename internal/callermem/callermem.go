// Package callermem bounds the memory and the connections that the callers of a process occupy, whatever they send and however
// slowly. It wraps the listener and the handler of an HTTP server: the bytes of a header are charged before net/http parses
// them, and those of a body before they are read.
package callermem

import (
	"cmp"
	"errors"
	"log/slog"
	"sync"
	"time"
)

const (
	// connectionBytes is charged for each open connection: the stack of its goroutine and the buffers of net/http, among them the
	// 4 KiB into which raw bytes of a header are read. 1,000 connections that have sent one request add 27 KiB each to the resident
	// memory of wmux-router.
	connectionBytes = 28 << 10
	// lineBytes is charged for each line of a header beside its bytes. A line of a short name and no value takes up to 122 bytes in
	// the map of net/http, and up to 106 in the copy that is forwarded (measured with 1,700 to 4,000 lines).
	lineBytes = 256
	// rawFactor is charged for each byte of a header: while a long line is read, it exists in the buffer and as a string.
	rawFactor = 2
	// headSlackBytes is how much longer a header may be than its limit before its connection ends, as in net/http. Handlers check
	// the limit exactly.
	headSlackBytes = 4 << 10
	// DefaultHeadBytes is the limit of a header if there is no other.
	DefaultHeadBytes = 16 << 10
	// DefaultBodyTimeout is the default time to receive a body.
	DefaultBodyTimeout = 30 * time.Second
	// DefaultWriteTimeout is the default time for each write of a response.
	DefaultWriteTimeout = 30 * time.Second
	// roomTimeout is how long a caller waits until dropped connections have released their memory.
	roomTimeout = time.Second
	// leavingConnections is how many connections may be dropped and not closed yet, beside the bound on connections.
	leavingConnections = 32
	// reservedShare is the largest part of the memory that is reserved for new connections.
	reservedShare = 16
	// logInterval is the shortest time between two log lines for one reason.
	logInterval = 10 * time.Second
	// minAge keeps connections that have just begun comparable by what they hold.
	minAge = 10 * time.Millisecond
)

// Reason is why a caller is refused or its connection is closed.
type Reason int

// The reasons.
const (
	// HeadSize refuses a header over its limit.
	HeadSize Reason = iota
	// ConnectionBytes refuses a request that needs more than one connection may hold.
	ConnectionBytes
	// Full refuses a request because all callers together hold the bound, and none that holds more can be dropped.
	Full
	// Connections refuses a new connection.
	Connections
	// BodyTime refuses a request whose body did not arrive in time.
	BodyTime
	// WriteTime closes a connection whose caller does not read its response.
	WriteTime
	// DroppedForMemory and DroppedForConnections close a connection in favor of another.
	DroppedForMemory
	DroppedForConnections

	numberOfReasons
)

// String returns the name of the reason in metrics and logs.
func (r Reason) String() string {
	return [...]string{"head_size", "connection_bytes", "full", "connections", "body_time", "write_time", "dropped_for_memory", "dropped_for_connections"}[r]
}

// Reasons returns all reasons.
func Reasons() []Reason {
	var all []Reason
	for r := range numberOfReasons {
		all = append(all, r)
	}
	return all
}

// Config holds the bounds of the callers of a process.
type Config struct {
	// TotalBytes bounds what all callers hold together, and ConnectionBytes what those on one connection hold.
	TotalBytes, ConnectionBytes int64
	// Connections bounds the open connections.
	Connections int
	// BodyTimeout limits the time to receive a body; 0 means DefaultBodyTimeout.
	BodyTimeout time.Duration
	// WriteTimeout limits how long a write waits for a caller that does not read; 0 means DefaultWriteTimeout. Meanwhile its
	// request counts as in progress.
	WriteTimeout time.Duration
	Log          *slog.Logger
}

// Memory is what the callers of a process hold. It is safe for concurrent use.
type Memory struct {
	config Config

	// mu guards the fields below and the accounts of all connections.
	mu    sync.Mutex
	conns map[*conn]struct{}
	// inUse is the sum of what the connections hold, and leaving the part of those that were dropped and are not closed yet.
	inUse, leaving int64
	leavingConns   int
	peak           int64
	// freed is closed when bytes are released, nil while nobody waits.
	freed  chan struct{}
	counts [numberOfReasons]int64
	notes  [numberOfReasons]note
}

// note is what has happened for a reason since its last log line.
type note struct {
	logged       time.Time
	count, freed int64
}

// New returns an unused memory.
func New(config Config) *Memory {
	config.BodyTimeout = cmp.Or(config.BodyTimeout, DefaultBodyTimeout)
	config.WriteTimeout = cmp.Or(config.WriteTimeout, DefaultWriteTimeout)
	return &Memory{config: config, conns: map[*conn]struct{}{}}
}

// Usage is a snapshot of what callers hold, beside the bounds.
type Usage struct {
	Bytes, PeakBytes, TotalBytes    int64
	Connections, AllowedConnections int64
}

// Usage returns what callers hold now.
func (m *Memory) Usage() Usage {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Usage{
		Bytes: m.inUse, PeakBytes: m.peak, TotalBytes: m.config.TotalBytes,
		Connections: int64(len(m.conns)), AllowedConnections: int64(m.config.Connections),
	}
}

// Count returns how many requests or connections were refused or closed for the reason.
func (m *Memory) Count(r Reason) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counts[r]
}

// Errors of reserve.
var (
	errDropped    = errors.New("connection was closed in favor of other callers")
	errConnection = errors.New("request needs more memory than a connection may hold")
	errFull       = errors.New("callers hold all memory that is meant for them")
)

// noteLocked counts a refusal or a closed connection, and logs it unless a line for the reason was logged recently.
func (m *Memory) noteLocked(r Reason, freed int64) {
	m.counts[r]++
	n := &m.notes[r]
	n.count++
	n.freed += freed
	if now := time.Now(); now.Sub(n.logged) >= logInterval {
		if m.config.Log != nil {
			m.config.Log.Warn("callers limited", "reason", r.String(), "count", n.count, "freed_bytes", n.freed, "held_bytes", m.inUse,
				"bound_bytes", m.config.TotalBytes, "connections", len(m.conns), "connections_bound", m.config.Connections)
		}
		*n = note{logged: now}
	}
}

// noteFor notes the reason for a connection that is about to be closed.
func (m *Memory) noteFor(c *conn, r Reason) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.noteLocked(r, c.held)
}

// admit accounts for a new connection, and reports whether it may stay. It does not wait, because it runs in the accept loop.
func (m *Memory) admit(c *conn) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.conns) >= m.config.Connections+leavingConnections {
		m.noteLocked(Connections, 0)
		return false
	}
	if len(m.conns)-m.leavingConns >= m.config.Connections && !m.dropLocked(c, DroppedForConnections) {
		m.noteLocked(Connections, 0)
		return false
	}
	for m.inUse-m.leaving+connectionBytes > m.requestBytes() && m.dropLocked(c, DroppedForMemory) {
		// Connections are dropped until there is room, or none is left to drop.
	}
	if m.inUse+connectionBytes > m.config.TotalBytes {
		m.noteLocked(Full, 0)
		return false
	}
	m.conns[c] = struct{}{}
	m.addLocked(c, connectionBytes)
	return true
}

// requestBytes is the bound up to which requests are charged. The rest is for new connections, which do not wait until dropped
// ones have released their memory.
func (m *Memory) requestBytes() int64 {
	return m.config.TotalBytes - min(leavingConnections*connectionBytes, m.config.TotalBytes/reservedShare)
}

func (m *Memory) addLocked(c *conn, bytes int64) {
	c.held += bytes
	m.inUse += bytes
	m.peak = max(m.peak, m.inUse)
}

// reserve charges bytes to a connection. If all callers together hold the bound, it drops others that hold more for longer and
// waits until they have released enough.
func (m *Memory) reserve(c *conn, bytes int64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	var timeout <-chan time.Time
	for {
		switch {
		case c.dropped:
			return errDropped
		case c.held+bytes > m.config.ConnectionBytes:
			m.noteLocked(ConnectionBytes, c.held)
			return errConnection
		case m.inUse+bytes <= m.requestBytes():
			m.addLocked(c, bytes)
			return nil
		}
		for m.inUse-m.leaving+bytes > m.requestBytes() {
			if !m.dropLocked(c, DroppedForMemory) {
				m.noteLocked(Full, c.held)
				return errFull
			}
		}
		if timeout == nil {
			timeout = time.After(roomTimeout)
		}
		if !m.waitLocked(timeout) {
			m.noteLocked(Full, c.held)
			return errFull
		}
	}
}

// waitLocked waits until bytes are released, and returns false after the timeout.
func (m *Memory) waitLocked(timeout <-chan time.Time) bool {
	if m.freed == nil {
		m.freed = make(chan struct{})
	}
	freed := m.freed
	m.mu.Unlock()
	defer m.mu.Lock()
	select {
	case <-freed:
		return true
	case <-timeout:
		return false
	}
}

// dropLocked drops the connection that holds the most bytes for the longest time without a complete request. It returns false if
// this is the connection that asks, or if there is none.
func (m *Memory) dropLocked(asking *conn, reason Reason) bool {
	now := time.Now()
	victim, highest := asking, asking.weight(now)
	for c := range m.conns {
		if weight := c.weight(now); weight > highest {
			victim, highest = c, weight
		}
	}
	if victim == asking {
		return false
	}
	victim.dropped = true
	m.leaving += victim.held
	m.leavingConns++
	m.noteLocked(reason, victim.held)
	victim.interrupt()
	return true
}

// releaseLocked returns bytes of a connection.
func (m *Memory) releaseLocked(c *conn, bytes int64) {
	c.held -= bytes
	m.inUse -= bytes
	if c.dropped {
		m.leaving -= bytes
	}
	if m.freed != nil {
		close(m.freed)
		m.freed = nil
	}
}

// remove returns everything that a connection holds, when it is closed.
func (m *Memory) remove(c *conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.conns[c]; !ok {
		return
	}
	delete(m.conns, c)
	m.releaseLocked(c, c.held)
	if c.dropped {
		m.leavingConns--
	}
}
