package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the log of a case: what was sent, answered and run. It is safe for concurrent use.
type record struct {
	began time.Time

	// mu guards the fields below.
	mu         sync.Mutex
	file       *os.File
	violations []string
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: file}, nil
}

// add writes a line that begins with the time since the start of the case.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(fmt.Sprintf(format, args...))
}

// violate records that the rule was broken.
func (r *record) violate(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf(format, args...)
	r.violations = append(r.violations, line)
	r.write("BROKEN: " + line)
}

// write appends a line. The caller holds mu.
func (r *record) write(line string) {
	// A record that cannot be written is missed by its reader, and does not change the result.
	_, _ = fmt.Fprintf(r.file, "%9.3f %s\n", time.Since(r.began).Seconds(), line)
}

// finish writes the result and returns the exit status of the case.
func (r *record) finish() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	status, text := 0, "result: the rule held"
	if len(r.violations) > 0 {
		status, text = 1, fmt.Sprintf("result: the rule was broken %d times", len(r.violations))
	}
	r.write(text)
	fmt.Println(text)
	_ = r.file.Close()
	return status
}
