package rpcconn

import (
	"net"
	"net/rpc"
	"sync/atomic"

	"github.com/wisteriamux/wisteriamux/internal/fault"
)

// MaxMessageBytes limits one encoded message. It is several times the largest that a process sends by default, a response of
// 8 MiB. encoding/gob itself accepts 1 GiB, more than the memory of a VM.
const MaxMessageBytes = 32 << 20

// maxLengthBytes is the size of the longest encoded length.
const maxLengthBytes = 8

// NewClient returns a net/rpc client on the connection, which is closed when a message exceeds MaxMessageBytes.
func NewClient(conn net.Conn) *rpc.Client { return rpc.NewClient(WithMessageLimit(conn)) }

// Serve serves the connection until it ends, or until a message exceeds MaxMessageBytes.
func Serve(server *rpc.Server, conn net.Conn) { server.ServeConn(WithMessageLimit(conn)) }

// messageLimitConn follows the framing of encoding/gob: each message is preceded by its length in bytes, as one byte below 128,
// or as the negated number of bytes of a big-endian integer and these bytes.
type messageLimitConn struct {
	net.Conn
	// lengthBytes is the number of bytes of the length that are still to come, and length what is known of it.
	lengthBytes int
	length      uint64
	// remaining is the number of bytes of the current message that are still to come.
	remaining uint64
	memory    *messageMemory
	// held is what the current message holds of the memory, nil if it is small. Close may release it beside a read.
	held atomic.Pointer[incompleteMessage]
}

// WithMessageLimit wraps a connection that carries gob messages so that a read fails as soon as a message announces more than
// MaxMessageBytes, or when the incomplete messages of all connections of the process hold too much. Only one goroutine may read from
// it, as in net/rpc.
func WithMessageLimit(conn net.Conn) net.Conn { return withMessageMemory(conn, processMessages) }

func withMessageMemory(conn net.Conn, memory *messageMemory) net.Conn {
	return &messageLimitConn{Conn: conn, memory: memory}
}

// Read implements net.Conn.
func (c *messageLimitConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if limitErr := c.follow(data[:n]); limitErr != nil {
		c.releaseMessage()
		return 0, limitErr
	}
	if err != nil {
		c.releaseMessage()
	} else if held := c.held.Load(); held != nil {
		c.memory.progressed(held)
	}
	return n, err
}

// Close implements net.Conn. A message that cannot be decoded ends without a failed read.
func (c *messageLimitConn) Close() error {
	defer c.releaseMessage()
	return c.Conn.Close()
}

// holdMessage reserves memory for the current message beyond freeMessageBytes, before it is read: messages that each hold a part and wait
// for the rest would wait for each other.
func (c *messageLimitConn) holdMessage() error {
	if c.remaining <= freeMessageBytes {
		return nil
	}
	message := &incompleteMessage{conn: c.Conn}
	if err := c.memory.reserve(message, int64(c.remaining-freeMessageBytes)); err != nil {
		return err
	}
	c.held.Store(message)
	return nil
}

// releaseMessage returns what the current message holds.
func (c *messageLimitConn) releaseMessage() {
	if message := c.held.Swap(nil); message != nil {
		c.memory.release(message)
	}
}

func (c *messageLimitConn) follow(data []byte) error {
	for len(data) > 0 {
		if c.remaining > 0 {
			inMessage := min(c.remaining, uint64(len(data)))
			c.remaining -= inMessage
			data = data[inMessage:]
			if c.remaining == 0 {
				c.releaseMessage()
			}
			continue
		}
		if err := c.followLength(data[0]); err != nil {
			return err
		}
		data = data[1:]
	}
	return nil
}

func (c *messageLimitConn) followLength(b byte) error {
	switch {
	case c.lengthBytes > 0:
		c.length = c.length<<8 | uint64(b)
		c.lengthBytes--
	case b < 0x80:
		c.length = uint64(b)
	default:
		c.length, c.lengthBytes = 0, 0x100-int(b)
		if c.lengthBytes > maxLengthBytes {
			return fault.New(fault.TooLarge, "rpcconn.read", "length of a message has %d bytes", c.lengthBytes)
		}
	}
	if c.lengthBytes > 0 {
		return nil
	}
	if c.length > MaxMessageBytes {
		return fault.New(fault.TooLarge, "rpcconn.read", "message of %d bytes exceeds the limit of %d", c.length, MaxMessageBytes)
	}
	c.remaining, c.length = c.length, 0
	return c.holdMessage()
}
