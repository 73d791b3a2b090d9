// Package logtrail follows one request through the logs of several processes. It performs no I/O beyond the reader that
// it is given.
package logtrail

import (
	"bufio"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/fault"
)

// maxLineBytes bounds the memory of one line.
const maxLineBytes = 1 << 20

// Line is one event of a log.
type Line struct {
	At time.Time
	// Source names where the line was read.
	Source string
	Text   string
	Fields map[string]string
}

// Read returns the lines of a log that hold an event. Other lines, such as those of a crash, are counted as skipped.
func Read(source string, r io.Reader) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for scanner.Scan() {
		line, ok := parse(source, scanner.Text())
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

func parse(source, text string) (Line, bool) {
	line := Line{Source: source, Text: text, Fields: map[string]string{}}
	// Collectors put their own words before the event.
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

// cutValue returns the value at the start of the text, without its quotes, and what follows.
func cutValue(text string) (value, rest string) {
	if quoted, err := strconv.QuotedPrefix(text); err == nil {
		// A prefix that was found unquotes.
		value, _ = strconv.Unquote(quoted)
		return value, text[len(quoted):]
	}
	value, rest, _ = strings.Cut(text, " ")
	return value, rest
}
