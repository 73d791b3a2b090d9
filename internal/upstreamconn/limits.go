package upstreamconn

import (
	"errors"
	"io"
	"math"
	"net/http"
	"sync/atomic"

	"github.com/wisteriamux/wisteriamux/internal/fault"
)

const (
	// maxHeadBytes limits the status line and the header of one response.
	maxHeadBytes = 64 << 10
	// FreeBytes is the part of each response body that needs no shared memory. It is far more than the parts of a search
	// take, so that searches go on while large responses have used up the memory.
	FreeBytes = 64 << 10
	// DefaultMaxBodyBytes limits the body of a response if the request sets no limit.
	DefaultMaxBodyBytes = 8 << 20
	// DefaultMemoryBytes is the default size of the memory that the large responses of an entry VM share.
	DefaultMemoryBytes = 16 << 20
	// firstBufferBytes is the first buffer for a body of unknown length.
	firstBufferBytes = 1 << 10
)

// errHeadTooLarge is returned by boundedReader when its allowance is used up.
var errHeadTooLarge = errors.New("the response header exceeds the limit")

// boundedReader reads from a connection until its allowance is used up, because http.ReadResponse itself reads a header
// of any size into memory.
type boundedReader struct {
	source    io.Reader
	allowance int64
}

// Read implements io.Reader.
func (b *boundedReader) Read(p []byte) (int, error) {
	if b.allowance <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := b.source.Read(p[:min(int64(len(p)), b.allowance)])
	b.allowance -= int64(n)
	return n, err
}

// boundHead allows the bytes of one response header, and unbound any number of bytes. Bodies have limits of their own.
func (b *boundedReader) boundHead() { b.allowance = maxHeadBytes }

func (b *boundedReader) unbound() { b.allowance = math.MaxInt64 }

// Memory is what the bodies of the responses that a VM is reading may occupy beyond FreeBytes each. It is safe for
// concurrent use.
type Memory struct {
	size     int64
	inUse    atomic.Int64
	peak     atomic.Int64
	exceeded atomic.Int64
}

// NewMemory returns an unused memory of the size in bytes.
func NewMemory(size int64) *Memory { return &Memory{size: size} }

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

func (m *Memory) tooLarge(format string, args ...any) *RequestError {
	m.exceeded.Add(1)
	return &RequestError{Err: fault.New(fault.ResponseTooLarge, "upstreamconn.read", format, args...), Sent: true}
}

// bodyReader reads one response body into a buffer that grows within the limits.
type bodyReader struct {
	memory *Memory
	limit  int64
	buffer []byte
	// reserved is the number of bytes that the buffers of this body have reserved.
	reserved int64
}

// read returns the complete body. The reservation of the body is released before it returns: complete bodies are
// bounded by the limit of their request, bodies that are being read by the memory.
func (b *bodyReader) read(response *http.Response) ([]byte, error) {
	if response.ContentLength > b.limit {
		return nil, b.memory.tooLarge("response body of %d bytes exceeds the limit of %d", response.ContentLength, b.limit)
	}
	defer func() { b.memory.Release(b.reserved) }()
	// One byte more than the body lets Read return io.EOF without growing the buffer.
	next := int64(firstBufferBytes)
	if response.ContentLength >= 0 {
		next = min(response.ContentLength+1, FreeBytes)
	}
	for {
		if err := b.grow(next); err != nil {
			return nil, err
		}
		if done, err := b.fill(response.Body); done || err != nil {
			return b.buffer, err
		}
		if int64(len(b.buffer)) > b.limit {
			return nil, b.memory.tooLarge("response body exceeds the limit of %d bytes", b.limit)
		}
		next = min(2*int64(cap(b.buffer)), b.limit+1)
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
			return false, newRequestError(true, false, "read", "response body: %w", err)
		}
	}
	return false, nil
}

// grow replaces the buffer by a larger one. While the content is copied both exist, and both are reserved.
func (b *bodyReader) grow(capacity int64) error {
	before := b.reserved
	needed := max(0, capacity-FreeBytes)
	if needed > 0 && !b.memory.Reserve(needed) {
		return b.memory.tooLarge("response body of more than %d bytes exceeds the memory of %d bytes for all large responses",
			len(b.buffer), b.memory.size)
	}
	b.reserved += needed
	larger := make([]byte, len(b.buffer), capacity)
	copy(larger, b.buffer)
	b.buffer = larger
	b.memory.Release(before)
	b.reserved -= before
	return nil
}
