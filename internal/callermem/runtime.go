package callermem

import (
	"os"
	"runtime/debug"
)

// LimitRuntime makes the Go runtime collect garbage more often when its memory approaches the bytes, unless the environment sets
// GOMEMLIMIT. It complements the bounds on what is held and does not replace them: the runtime exceeds its limit when more
// is in use. Without it, what callers have released may remain as garbage until the heap has doubled.
func LimitRuntime(bytes int64) {
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(bytes)
	}
}
