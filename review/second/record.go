// Command second runs the script cases of the second review: small deployments of the project's own programs on loopback
// addresses, with stand-ins for backends, clients, the operator and the platform.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record is the account of a case: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(dir string) (*record, error) {
	file, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now()}, nil
}

// note writes a line with the time since the start.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = r.file.WriteString(line)
	if os.Getenv("VERBOSE") != "" {
		fmt.Print(line)
	}
}

func (r *record) close() { _ = r.file.Close() }
