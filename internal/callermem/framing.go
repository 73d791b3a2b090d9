package callermem

import (
	"bytes"
	"strconv"
	"strings"
)

type part int

const (
	partHead part = iota
	partBody
	partChunkSize
	partChunkData
	partTrailer
)

// framing follows the messages of a connection: where a header ends, and where the body that it announces ends. net/http decides
// what is valid. Where it sees another end, for example in a request of HTTP/1.0 that names a transfer encoding, the end of
// its request brings the framing back to the beginning of a header.
type framing struct {
	part part
	// headBytes is the size of the header that is being read, and lastHead that of the last complete one, without the empty line
	// that ends it.
	headBytes, lastHead int64
	// line holds the beginning of the current line, and lineBytes its length.
	line      [64]byte
	lineBytes int
	// lines counts the lines of the header. The first is the request line.
	lines   int
	chunked bool
	// remaining is what remains of the body or chunk.
	remaining int64
}

// inHead reports whether the next bytes belong to a header.
func (f *framing) inHead() bool { return f.part == partHead }

// resync begins a header if the current message has not ended.
func (f *framing) resync() {
	if f.part != partHead {
		*f = framing{}
	}
}

// follow advances over data up to the end of a header or a message. It returns how many bytes it took, whether a header ended
// with them, and the number of header lines that ended in them, -1 if they belong to a body.
func (f *framing) follow(data []byte) (taken int, headDone bool, lines int) {
	if f.part == partHead {
		return f.followHead(data)
	}
	for taken < len(data) && f.part != partHead {
		taken += f.followBody(data[taken:])
	}
	return taken, false, -1
}

func (f *framing) followHead(data []byte) (taken int, done bool, lines int) {
	if f.lines == 0 && f.lineBytes == 0 && f.headBytes == 0 {
		f.chunked, f.remaining = false, 0
	}
	for taken < len(data) {
		n, ended := f.followLine(data[taken:])
		taken += n
		f.headBytes += int64(n)
		if !ended {
			return taken, false, lines
		}
		text, empty := f.endLine()
		switch {
		case empty && f.lines == 0:
			// net/http skips a few empty lines before a request, and refuses more.
		case empty:
			f.lastHead, f.headBytes = f.headBytes-int64(n), 0
			f.endHead()
			return taken, true, lines
		default:
			f.lines++
			lines++
			if f.lines > 1 {
				f.readField(text)
			}
		}
	}
	return taken, false, lines
}

// followLine takes bytes up to the end of a line.
func (f *framing) followLine(data []byte) (n int, ended bool) {
	n = len(data)
	if end := bytes.IndexByte(data, '\n'); end >= 0 {
		n, ended = end+1, true
	}
	if f.lineBytes < len(f.line) {
		copy(f.line[f.lineBytes:], data[:n])
	}
	f.lineBytes += n
	return n, ended
}

// endLine returns the beginning of the line that has ended, and whether it is empty.
func (f *framing) endLine() (text string, empty bool) {
	empty = f.lineBytes == 1 || f.lineBytes == 2 && f.line[0] == '\r'
	text = string(f.line[:min(f.lineBytes, len(f.line))])
	f.lineBytes = 0
	return text, empty
}

// readField notes the length of the body.
func (f *framing) readField(text string) {
	name, value, _ := strings.Cut(text, ":")
	value = strings.TrimSpace(value)
	switch {
	case strings.EqualFold(name, "Content-Length"):
		if length, err := strconv.ParseInt(value, 10, 64); err == nil && length >= 0 {
			f.remaining = length
		}
	case strings.EqualFold(name, "Transfer-Encoding"):
		f.chunked = f.chunked || strings.EqualFold(value, "chunked")
	}
}

func (f *framing) endHead() {
	f.lines = 0
	switch {
	case f.chunked:
		f.part = partChunkSize
	case f.remaining > 0:
		f.part = partBody
	}
}

// followBody takes bytes of one part of a body.
func (f *framing) followBody(data []byte) int {
	if f.part == partBody || f.part == partChunkData {
		n := min(int64(len(data)), f.remaining)
		if f.remaining -= n; f.remaining == 0 {
			f.part = map[part]part{partBody: partHead, partChunkData: partChunkSize}[f.part]
		}
		return int(n)
	}
	n, ended := f.followLine(data)
	if !ended {
		return n
	}
	text, empty := f.endLine()
	switch {
	case f.part == partTrailer && empty:
		f.part = partHead
	case f.part == partChunkSize:
		f.beginChunk(text)
	}
	return n
}

// beginChunk reads the length of a chunk, which extensions may follow. Its data ends with CRLF.
func (f *framing) beginChunk(text string) {
	size, _, _ := strings.Cut(text, ";")
	length, err := strconv.ParseInt(strings.TrimSpace(size), 16, 63)
	if err != nil || length == 0 {
		f.part = partTrailer
		return
	}
	const end = len("\r\n")
	f.part, f.remaining = partChunkData, length+int64(end)
}
