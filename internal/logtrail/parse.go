// Package logtrail collects the lines of the logs of several processes that concern one request. It performs no I/O
// except on the readers that are passed to Read.
package logtrail

import (
	"bufio"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/fault"
)

// maxLineBytes is the maximum length of a line, which bounds the memory use of Read. A longer line is an error.
const maxLineBytes = 1 << 20

// Line is a log line that contains an event.
type Line struct {
	At time.Time
	// Source is the name of the log that contains the line.
	Source string
	Text   string
	// Fields holds the key=value pairs of the event, with unquoted values.
	Fields map[string]string
}

// Read returns the lines of a log that contain an event. It skips and counts other lines, such as those of a panic.
func Read(source string, r io.Reader) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for scanner.Scan() {
		line, ok := parseLine(source, scanner.Text())
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, line)
	}
	if err := scanner.Err(); err != nil {
		return lines, skipped, fault.New(fault.BadRequest, "logtrail.read", "%s: %w", source, err)
	}
	return lines, skipped, nil
}

func parseLine(source, text string) (Line, bool) {
	line := Line{Source: source, Text: text, Fields: map[string]string{}}
	// A log collector may put a prefix before the event.
	start := strings.Index(text, "time=")
	if start < 0 {
		return line, false
	}
	for rest := text[start:]; rest != ""; {
		key, after, ok := strings.Cut(strings.TrimLeft(rest, " "), "=")
		if !ok || strings.ContainsAny(key, " \"") {
			break
		}
		var value string
		value, rest = cutValue(after)
		line.Fields[key] = value
	}
	at, err := time.Parse(time.RFC3339Nano, line.Fields["time"])
	line.At = at
	return line, err == nil
}

// cutValue returns the unquoted value at the start of the text, and the rest of the text.
func cutValue(text string) (value, rest string) {
	if quoted, err := strconv.QuotedPrefix(text); err == nil {
		// Unquote does not fail on the result of QuotedPrefix.
		value, _ = strconv.Unquote(quoted)
		return value, text[len(quoted):]
	}
	value, rest, _ = strings.Cut(text, " ")
	return value, rest
}
