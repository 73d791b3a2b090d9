package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// boundedLines is the number of lines that may wait for a slow output.
	boundedLines = 2048
	// boundedRate and boundedBurst limit the lines in a second, so that logging takes a small share of a small VM: a line
	// costs about 10 µs.
	boundedRate  = 400
	boundedBurst = 1200
	// boundedFlush is how often waiting lines are written, in one call.
	boundedFlush = 100 * time.Millisecond
)

// BoundedWriter passes lines on without ever blocking the caller. Lines beyond its rate or its memory are dropped, and a
// line of its own tells how many. It is safe for concurrent use.
type BoundedWriter struct {
	out     io.Writer
	dropped atomic.Int64
	stop    chan struct{}
	done    chan struct{}

	// mu guards the fields below.
	mu     sync.Mutex
	lines  [][]byte
	tokens float64
	filled time.Time
}

// NewBoundedWriter returns a writer to out. Close writes what waits.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	w := &BoundedWriter{out: out, stop: make(chan struct{}), done: make(chan struct{}), tokens: boundedBurst, filled: time.Now()}
	go w.run()
	return w
}

// Write implements io.Writer for one line. It never fails.
func (w *BoundedWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.tokens = min(boundedBurst, w.tokens+boundedRate*now.Sub(w.filled).Seconds())
	w.filled = now
	if w.tokens < 1 || len(w.lines) >= boundedLines {
		w.dropped.Add(1)
		return len(line), nil
	}
	w.tokens--
	w.lines = append(w.lines, append([]byte(nil), line...))
	return len(line), nil
}

// Dropped returns how many lines were dropped since the start.
func (w *BoundedWriter) Dropped() int64 { return w.dropped.Load() }

func (w *BoundedWriter) run() {
	defer close(w.done)
	ticker := time.NewTicker(boundedFlush)
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
	w.lines = nil
	w.mu.Unlock()
	if len(lines) == 0 {
		return
	}
	var all []byte
	for _, line := range lines {
		all = append(all, line...)
	}
	// Nobody could be told that the output is gone.
	_, _ = w.out.Write(all)
}

// Close writes what waits and stops the writer. Later lines are lost.
func (w *BoundedWriter) Close() {
	close(w.stop)
	<-w.done
}
