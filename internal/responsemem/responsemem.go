// Package responsemem bounds the memory that the responses of upstreams occupy in a process, whatever upstreams send and
// however slowly callers read.
package responsemem

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"

	"github.com/wisteriamux/wisteriamux/internal/fault"
)

const (
	// FreeBytes is the part of each response body that needs no shared memory. It is far more than the parts of a search
	// take, so that searches go on while large responses have used up the memory.
	FreeBytes = 64 << 10
	// DefaultBytes is the default size of the memory that the large responses of a process share.
	DefaultBytes = 16 << 20
	// firstBufferBytes is the first buffer for a body of unknown length.
	firstBufferBytes = 1 << 10
)

// Memory is what the response bodies of a process may occupy beyond FreeBytes each: those that it is reading, and those that
// are held until a caller has them. It is safe for concurrent use.
type Memory struct {
	size     int64
	inUse    atomic.Int64
	peak     atomic.Int64
	exceeded atomic.Int64
}

// New returns an unused memory of the size in bytes.
func New(size int64) *Memory { return &Memory{size: size} }

// InUse returns the number of reserved bytes.
func (m *Memory) InUse() int64 { return m.inUse.Load() }

// Peak returns the highest number of bytes that were reserved at the same time.
func (m *Memory) Peak() int64 { return m.peak.Load() }

// Exceeded returns how many responses were given up because of a limit: of their header, of their body or of the memory.
func (m *Memory) Exceeded() int64 { return m.exceeded.Load() }

// Reserve reserves bytes and reports whether they are available.
func (m *Memory) Reserve(bytes int64) bool {
	for {
		used := m.inUse.Load()
		if used+bytes > m.size {
			return false
		}
		if m.inUse.CompareAndSwap(used, used+bytes) {
			m.notePeak(used + bytes)
			return true
		}
	}
}

func (m *Memory) notePeak(used int64) {
	for peak := m.peak.Load(); used > peak && !m.peak.CompareAndSwap(peak, used); peak = m.peak.Load() {
	}
}

// Release returns reserved bytes.
func (m *Memory) Release(bytes int64) { m.inUse.Add(-bytes) }

// TooLarge counts a response that was given up because of a limit, and returns its error.
func (m *Memory) TooLarge(format string, args ...any) error {
	m.exceeded.Add(1)
	return fault.New(fault.ResponseTooLarge, "responsemem.read", format, args...)
}

// Hold keeps the memory of the responses to one request reserved until Release. It is safe for concurrent use. A nil Hold
// keeps nothing.
type Hold struct {
	// mu guards the fields below.
	mu       sync.Mutex
	kept     []reservation
	released bool
}

type reservation struct {
	memory *Memory
	bytes  int64
}

// keep takes over a reservation. After Release it returns the bytes at once, as for an attempt that ends late.
func (h *Hold) keep(memory *Memory, bytes int64) {
	if h != nil && bytes > 0 {
		h.mu.Lock()
		defer h.mu.Unlock()
		if !h.released {
			h.kept = append(h.kept, reservation{memory, bytes})
			return
		}
	}
	memory.Release(bytes)
}

// Release returns what is kept. The responses must not be used any more.
func (h *Hold) Release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range h.kept {
		r.memory.Release(r.bytes)
	}
	h.kept, h.released = nil, true
}

// Keep reserves memory for a body that was read elsewhere, until the hold is released. The error has the code
// ResponseTooLarge.
func (m *Memory) Keep(hold *Hold, body []byte) error {
	bytes := max(0, int64(len(body))-FreeBytes)
	if !m.Reserve(bytes) {
		return m.noMemory(len(body))
	}
	hold.keep(m, bytes)
	return nil
}

func (m *Memory) noMemory(bytes int) error {
	return m.TooLarge("response body of more than %d bytes exceeds the memory of %d bytes for all large responses", bytes, m.size)
}

// ReadBody reads a body of the given length, -1 if it is unknown, into a buffer that grows within the limit and the memory.
// The memory of a complete body stays reserved until the hold is released. An error of a limit has the code
// ResponseTooLarge; others are those of the reader.
func (m *Memory) ReadBody(body io.Reader, length, limit int64, hold *Hold) ([]byte, error) {
	if length > limit {
		return nil, m.TooLarge("response body of %d bytes exceeds the limit of %d", length, limit)
	}
	b := &bodyReader{memory: m, limit: limit}
	content, err := b.read(body, length)
	if err != nil {
		m.Release(b.reserved)
		return nil, err
	}
	hold.keep(m, b.reserved)
	return content, nil
}

// bodyReader reads one response body into a buffer that grows within the limits.
type bodyReader struct {
	memory *Memory
	limit  int64
	buffer []byte
	// reserved is the number of bytes that the buffers of this body have reserved.
	reserved int64
}

func (b *bodyReader) read(body io.Reader, length int64) ([]byte, error) {
	// One byte more than the body lets Read return io.EOF without growing the buffer.
	next := int64(firstBufferBytes)
	if length >= 0 {
		next = min(length+1, FreeBytes)
	}
	for {
		if err := b.grow(next); err != nil {
			return nil, err
		}
		if done, err := b.fill(body); done || err != nil {
			return b.buffer, err
		}
		if int64(len(b.buffer)) > b.limit {
			return nil, b.memory.TooLarge("response body exceeds the limit of %d bytes", b.limit)
		}
		next = min(2*int64(cap(b.buffer))-1, b.limit) + 1
	}
}

// fill reads until the buffer is full, or done if the body has ended.
func (b *bodyReader) fill(body io.Reader) (done bool, err error) {
	for len(b.buffer) < cap(b.buffer) {
		n, err := body.Read(b.buffer[len(b.buffer):cap(b.buffer)])
		b.buffer = b.buffer[:len(b.buffer)+n]
		switch {
		case errors.Is(err, io.EOF):
			return true, nil
		case err != nil:
			return false, err
		}
	}
	return false, nil
}

// grow replaces the buffer by a larger one. While the content is copied both exist, and both are reserved.
func (b *bodyReader) grow(capacity int64) error {
	before := b.reserved
	needed := max(0, capacity-FreeBytes)
	if needed > 0 && !b.memory.Reserve(needed) {
		return b.memory.noMemory(len(b.buffer))
	}
	b.reserved += needed
	larger := make([]byte, len(b.buffer), capacity)
	copy(larger, b.buffer)
	b.buffer = larger
	b.memory.Release(before)
	b.reserved -= before
	return nil
}
