package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxPendingLines is the maximum number of lines that are buffered while the output is slow.
	maxPendingLines = 2048
	// maxPendingBytes is the maximum size of these lines. Callers choose parts of a line: a quoted path of 16 KiB takes 64 KiB.
	maxPendingBytes = 1 << 20
	// linesPerSecond and burstLines are the rate and the capacity of a token bucket. It limits the share of a small VM
	// that logging takes: a line costs about 10 µs.
	linesPerSecond = 400
	burstLines     = 1200
	// flushInterval is the interval at which the buffered lines are written to the output in one call.
	flushInterval = 100 * time.Millisecond
)

// BoundedWriter writes log lines asynchronously and never blocks the caller. It drops lines that exceed its rate limit
// or its buffer, and logs the number of dropped lines. It is safe for concurrent use.
type BoundedWriter struct {
	out     io.Writer
	dropped atomic.Int64
	stop    chan struct{}
	done    chan struct{}

	// mu guards the fields below.
	mu       sync.Mutex
	lines    [][]byte
	bytes    int
	tokens   float64
	refilled time.Time
}

// NewBoundedWriter returns a writer that writes to out in the background until Close is called.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	w := &BoundedWriter{out: out, stop: make(chan struct{}), done: make(chan struct{}), tokens: burstLines, refilled: time.Now()}
	go w.run()
	return w
}

// Write implements io.Writer for one line. It copies the line and never returns an error.
func (w *BoundedWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.tokens = min(burstLines, w.tokens+linesPerSecond*now.Sub(w.refilled).Seconds())
	w.refilled = now
	if w.tokens < 1 || len(w.lines) >= maxPendingLines || w.bytes+len(line) > maxPendingBytes {
		w.dropped.Add(1)
		return len(line), nil
	}
	w.tokens--
	w.bytes += len(line)
	w.lines = append(w.lines, append([]byte(nil), line...))
	return len(line), nil
}

// Dropped returns how many lines were dropped since the start.
func (w *BoundedWriter) Dropped() int64 { return w.dropped.Load() }

func (w *BoundedWriter) run() {
	defer close(w.done)
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	reported := int64(0)
	for {
		stopping := false
		select {
		case <-ticker.C:
		case <-w.stop:
			stopping = true
		}
		w.flush()
		if dropped := w.dropped.Load(); dropped > reported {
			_, _ = fmt.Fprintf(w.out, "time=%s level=WARN msg=\"log lines dropped\" count=%d total=%d\n",
				time.Now().UTC().Format(time.RFC3339Nano), dropped-reported, dropped)
			reported = dropped
		}
		if stopping {
			return
		}
	}
}

func (w *BoundedWriter) flush() {
	w.mu.Lock()
	lines := w.lines
	w.lines, w.bytes = nil, 0
	w.mu.Unlock()
	if len(lines) == 0 {
		return
	}
	var batch []byte
	for _, line := range lines {
		batch = append(batch, line...)
	}
	// An error is ignored, because the log is the only place where it could be reported.
	_, _ = w.out.Write(batch)
}

// Close writes the buffered lines and stops the writer. Lines that are written later are lost.
func (w *BoundedWriter) Close() {
	close(w.stop)
	<-w.done
}
