package callermem

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/fault"
)

type connKey struct{}

func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

// Attach makes a server account for the requests on connections of a Listener of the memory.
func (m *Memory) Attach(server *http.Server) {
	server.ConnContext = func(ctx context.Context, raw net.Conn) context.Context {
		if c, ok := raw.(*conn); ok {
			return context.WithValue(ctx, connKey{}, c)
		}
		return ctx
	}
	server.ConnState = func(raw net.Conn, state http.ConnState) {
		if c, ok := raw.(*conn); ok && state == http.StateIdle {
			c.idle()
		}
	}
	server.Handler = m.handler(server.Handler)
}

// handler wraps the handler of a server. It limits the time for bodies, also for those that are discarded after the response, and
// refuses requests without a body on dropped connections.
func (m *Memory) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r.Context())
		switch {
		case c == nil:
		case r.ContentLength != 0:
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(m.config.BodyTimeout))
		case !c.pin():
			w.Header().Set("Connection", "close")
			w.Header().Set("Retry-After", "1")
			http.Error(w, errDropped.Error(), http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
		if c != nil && c.isDropped() {
			m.mu.Lock()
			defer m.mu.Unlock()
			c.releaseMessageLocked()
		}
	})
}

// HeadBytes returns the size of the request line and the header lines as the caller sent them, and false if they were not read
// through a Listener.
func HeadBytes(r *http.Request) (int, bool) {
	c := connOf(r.Context())
	if c == nil {
		return 0, false
	}
	c.memory.mu.Lock()
	defer c.memory.mu.Unlock()
	return int(c.lastHead), true
}

// firstBufferBytes is the first buffer for a body.
const firstBufferBytes = 4 << 10

// ReadBody reads a body of at most limit bytes. Its buffer is charged as it grows, and stays charged until the request ends. From
// then on the request counts as complete, and its connection is not dropped. The errors have the codes TooLarge, NotRun,
// RequestTimeout and BadRequest; no request that got one has run.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, fault.New(fault.TooLarge, "callermem.read", "request body of %d bytes exceeds the limit of %d", r.ContentLength, limit)
	}
	b := &bodyReader{conn: connOf(r.Context()), source: http.MaxBytesReader(w, r.Body, limit)}
	err := b.read(r.ContentLength, limit)
	if err == nil && b.conn != nil && !b.conn.pin() {
		err = errDropped
	}
	if err == nil {
		return b.buffer, nil
	}
	err = b.explain(err, limit)
	if code := fault.CodeOf(err); code == fault.NotRun || code == fault.RequestTimeout {
		// What remains of the body is not awaited.
		w.Header().Set("Connection", "close")
	}
	return nil, err
}

type bodyReader struct {
	conn   *conn
	source io.Reader
	buffer []byte
}

func (b *bodyReader) read(length, limit int64) error {
	// One byte more than the body lets Read return io.EOF without growing the buffer.
	most := limit
	if length >= 0 {
		most = length
	}
	for {
		if err := b.grow(min(most, max(firstBufferBytes, 2*int64(cap(b.buffer)))-1) + 1); err != nil {
			return err
		}
		for len(b.buffer) < cap(b.buffer) {
			n, err := b.source.Read(b.buffer[len(b.buffer):cap(b.buffer)])
			b.buffer = b.buffer[:len(b.buffer)+n]
			if errors.Is(err, io.EOF) {
				return nil
			}
			if err != nil {
				return err
			}
		}
	}
}

// grow replaces the buffer by a larger one. Both are charged while the content is copied.
func (b *bodyReader) grow(capacity int64) error {
	before := int64(cap(b.buffer))
	if err := b.charge(capacity); err != nil {
		return err
	}
	larger := make([]byte, len(b.buffer), capacity)
	copy(larger, b.buffer)
	b.buffer = larger
	return b.charge(-before)
}

func (b *bodyReader) charge(bytes int64) error {
	if b.conn == nil {
		return nil
	}
	return b.conn.charge(bytes)
}

// charge charges or returns bytes for the request in progress.
func (c *conn) charge(bytes int64) error {
	if bytes > 0 {
		if err := c.memory.reserve(c, bytes); err != nil {
			return err
		}
	}
	c.memory.mu.Lock()
	defer c.memory.mu.Unlock()
	c.message += bytes
	if bytes < 0 {
		c.memory.releaseLocked(c, -bytes)
	}
	return nil
}

// explain returns the fault for an error of read.
func (b *bodyReader) explain(err error, limit int64) error {
	var tooLarge *http.MaxBytesError
	dropped := b.conn != nil && b.conn.isDropped()
	switch {
	case errors.As(err, &tooLarge):
		return fault.New(fault.TooLarge, "callermem.read", "request body exceeds the limit of %d bytes", limit)
	case errors.Is(err, errConnection):
		return fault.New(fault.TooLarge, "callermem.read", "%w", err)
	case dropped:
		return fault.New(fault.NotRun, "callermem.read", "%w", errDropped)
	case errors.Is(err, errFull):
		return fault.New(fault.NotRun, "callermem.read", "%w", err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		if b.conn != nil {
			b.conn.memory.noteFor(b.conn, BodyTime)
		}
		return fault.New(fault.RequestTimeout, "callermem.read", "request body was not received in time")
	}
	return fault.New(fault.BadRequest, "callermem.read", "request body: %w", err)
}

// Reserve charges bytes that a request in progress needs beside its body, for example to decode it, until the request ends. The
// errors have the codes TooLarge and NotRun.
func Reserve(r *http.Request, bytes int64) error {
	c := connOf(r.Context())
	if c == nil {
		return nil
	}
	switch err := c.charge(bytes); {
	case errors.Is(err, errConnection):
		return fault.New(fault.TooLarge, "callermem.reserve", "%w", err)
	case err != nil:
		return fault.New(fault.NotRun, "callermem.reserve", "%w", err)
	}
	return nil
}
