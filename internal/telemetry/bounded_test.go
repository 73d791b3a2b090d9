package telemetry_test

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/telemetry"
)

func TestTelemetry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Telemetry")
}

// blockingWriter blocks every write until it is released, like a pipe whose reader has stopped.
type blockingWriter struct {
	release chan struct{}
	mu      sync.Mutex
	text    bytes.Buffer
}

func (s *blockingWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

func (s *blockingWriter) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.String()
}

var _ = Describe("BoundedWriter", func() {
	It("writes lines in order", func() {
		out := &blockingWriter{release: make(chan struct{})}
		close(out.release)
		w := telemetry.NewBoundedWriter(out)
		for i := range 3 {
			_, _ = fmt.Fprintf(w, "line %d\n", i)
		}
		w.Close()
		Expect(out.String()).To(Equal("line 0\nline 1\nline 2\n"))
	})

	It("does not block the caller while the output blocks, and counts the dropped lines", func() {
		out := &blockingWriter{release: make(chan struct{})}
		w := telemetry.NewBoundedWriter(out)
		written := make(chan struct{})
		go func() {
			for range 10_000 {
				_, _ = w.Write([]byte("x\n"))
			}
			close(written)
		}()
		Eventually(written, 5*time.Second).Should(BeClosed())
		Expect(w.Dropped()).To(BeNumerically(">", 5_000))
		close(out.release)
		w.Close()
		Expect(out.String()).To(ContainSubstring("log lines dropped"))
		Expect(strings.Count(out.String(), "x\n")).To(BeNumerically("<", 5_000))
	})

	// Guards against callers that fill the memory by way of the log lines about their requests.
	It("keeps little of lines that callers make long", func() {
		out := &blockingWriter{release: make(chan struct{})}
		w := telemetry.NewBoundedWriter(out)
		line := []byte(strings.Repeat("x", 64<<10) + "\n")
		for range 1000 {
			_, _ = w.Write(line)
		}
		Expect(w.Dropped()).To(BeNumerically(">", 900))
		close(out.release)
		w.Close()
		Expect(len(out.String())).To(BeNumerically("<", 3<<20))
	})
})
