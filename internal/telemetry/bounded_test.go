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

// stuckWriter blocks until it is released, as a full pipe does.
type stuckWriter struct {
	release chan struct{}
	mu      sync.Mutex
	text    bytes.Buffer
}

func (s *stuckWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

func (s *stuckWriter) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.String()
}

var _ = Describe("a bounded log", func() {
	It("keeps lines in order", func() {
		out := &stuckWriter{release: make(chan struct{})}
		close(out.release)
		w := telemetry.NewBoundedWriter(out)
		for i := range 3 {
			_, _ = fmt.Fprintf(w, "line %d\n", i)
		}
		w.Close()
		Expect(out.String()).To(Equal("line 0\nline 1\nline 2\n"))
	})

	It("never blocks the caller on a stuck output, and counts what it drops", func() {
		out := &stuckWriter{release: make(chan struct{})}
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
})
