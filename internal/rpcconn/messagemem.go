package rpcconn

import (
	"net"
	"sync"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/fault"
)

const (
	// freeMessageBytes is the part of each message that needs no shared memory, so that ordinary calls go on while large messages have
	// used it up.
	freeMessageBytes = 64 << 10
	// largeMessageBytes is what all incomplete messages of a process may hold beyond that: one message of the largest size.
	largeMessageBytes = MaxMessageBytes
	// dropAfter is how long nothing of a message must have come for it to be dropped for another one, and maxMessageTime the age from which
	// it may be dropped in any case. The largest message takes 10 s on the link of a small VM.
	dropAfter      = time.Second
	maxMessageTime = 30 * time.Second
	// roomTimeout is how long a message waits for room, and roomPoll the interval at which it looks for messages to drop.
	roomTimeout = 5 * time.Second
	roomPoll    = 50 * time.Millisecond
)

// messageMemory is what the incomplete messages of a process may hold together. It is safe for concurrent use.
type messageMemory struct {
	size int64

	// mu guards the fields below.
	mu       sync.Mutex
	used     int64
	messages map[*incompleteMessage]bool
}

// incompleteMessage is a message that holds shared memory. The mutex of the memory guards its fields.
type incompleteMessage struct {
	conn  net.Conn
	begun time.Time
	// progress is when bytes of it came last.
	progress time.Time
	bytes    int64
}

// standsStill reports whether the message may be dropped for another one.
func (m *incompleteMessage) standsStill(now time.Time) bool {
	return now.Sub(m.progress) >= dropAfter || now.Sub(m.begun) >= maxMessageTime
}

// processMessages is the memory of this process: it bounds all connections together.
var processMessages = newMessageMemory(largeMessageBytes)

func newMessageMemory(size int64) *messageMemory {
	return &messageMemory{size: size, messages: map[*incompleteMessage]bool{}}
}

// reserve reserves the bytes of a message. Without room it waits for other messages to end, and drops the connection of the one that
// holds most of those that stand still. An error means that no room came in time.
func (m *messageMemory) reserve(message *incompleteMessage, bytes int64) error {
	for giveUpAt := time.Now().Add(roomTimeout); ; time.Sleep(roomPoll) {
		now := time.Now()
		reserved, drop := m.tryReserve(message, bytes, now)
		switch {
		case reserved:
			return nil
		case now.After(giveUpAt):
			return fault.New(fault.TooLarge, "rpcconn.read", "incomplete messages exceed the memory of %d bytes for all of them", m.size)
		case drop != nil:
			// Its reader releases what it holds.
			_ = drop.conn.Close()
		}
	}
}

// tryReserve reserves bytes if there is room. Otherwise it returns the message that is to be dropped, nil if there is none yet.
func (m *messageMemory) tryReserve(message *incompleteMessage, bytes int64, now time.Time) (reserved bool, drop *incompleteMessage) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.used+bytes <= m.size {
		m.used += bytes
		message.begun, message.progress, message.bytes = now, now, bytes
		m.messages[message] = true
		return true, nil
	}
	for other := range m.messages {
		if other.standsStill(now) && (drop == nil || other.bytes > drop.bytes) {
			drop = other
		}
	}
	return false, drop
}

// progressed records that bytes of the message have come.
func (m *messageMemory) progressed(message *incompleteMessage) {
	m.mu.Lock()
	defer m.mu.Unlock()
	message.progress = time.Now()
}

// release returns what the message holds.
func (m *messageMemory) release(message *incompleteMessage) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used -= message.bytes
	message.bytes = 0
	delete(m.messages, message)
}

func (m *messageMemory) inUse() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used
}
