package upstreamconn

import (
	"errors"
	"io"
	"math"
)

const (
	// maxHeadBytes limits the status line and the header of one response.
	maxHeadBytes = 64 << 10
	// DefaultMaxBodyBytes limits the body of a response if the request sets no limit.
	DefaultMaxBodyBytes = 8 << 20
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
