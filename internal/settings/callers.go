package settings

import (
	"math"
	"syscall"
	"time"
)

// Callers holds the limits for what untrusted callers make a process hold. They are derived from the memory and the descriptors
// of the VM.
type Callers struct {
	// MemoryMB is the memory of the VM, in MB.
	MemoryMB float64 `toml:"memory_mb" validate:"min=32,max=16777216"`
	// MaxFDs is the number of descriptors that the process may open.
	MaxFDs int `toml:"max_fds" validate:"min=64,max=16777216"`
	// CallerMemoryKB limits what all callers together hold, in KB. 0 means a sixth of MemoryMB.
	CallerMemoryKB int64 `toml:"caller_memory_kb" validate:"min=0,max=16777216"`
	// CallerConnectionKB limits what one connection of a caller holds, in KB. 0 means half of the limit for all.
	CallerConnectionKB int64 `toml:"caller_connection_kb" validate:"min=0,max=16777216"`
	// CallerConnections limits the connections of callers. 0 means half of MaxFDs.
	CallerConnections int `toml:"caller_connections" validate:"min=0,max=16777216"`
	// CallerBodyMillis limits the time to receive the body of a request, in ms.
	CallerBodyMillis int `toml:"caller_body_ms" validate:"min=100,max=600000"`
}

// defaultCallers returns the limits for the smallest VMs of the users' sites.
func defaultCallers() Callers { return Callers{MemoryMB: 184, MaxFDs: 4096, CallerBodyMillis: 30_000} }

const (
	// callerMemoryShare is the part of the VM's memory that callers may hold. docs/limits.md has the sum of all parts.
	callerMemoryShare = 1.0 / 6
	// callerConnectionShare is the part of that which one connection may hold. The largest legal requests are configurations of
	// 2 MiB, which take most of it while they are decoded.
	callerConnectionShare = 2
	// callerDescriptorShare is the part of the descriptors that callers may use. The others are for upstreams, entry VMs, control
	// members and files.
	callerDescriptorShare = 2
	// runtimeShare is the part of the VM's memory that the Go runtime may use before it collects garbage more often.
	runtimeShare = 0.7
)

// CallerBytes returns how many bytes all callers together may hold.
func (c Callers) CallerBytes() int64 {
	if c.CallerMemoryKB > 0 {
		return c.CallerMemoryKB << 10
	}
	return int64(c.MemoryMB * callerMemoryShare * (1 << 20))
}

// CallerConnectionBytes returns how many bytes one connection may hold.
func (c Callers) CallerConnectionBytes() int64 {
	if c.CallerConnectionKB > 0 {
		return c.CallerConnectionKB << 10
	}
	return c.CallerBytes() / callerConnectionShare
}

// AllowedConnections returns how many connections callers may open. It is at most a part of the descriptors that the operating
// system allows.
func (c Callers) AllowedConnections() int {
	allowed := c.MaxFDs
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil && limit.Cur < math.MaxInt32 {
		allowed = min(allowed, int(limit.Cur))
	}
	share := allowed / callerDescriptorShare
	if c.CallerConnections > 0 {
		return min(c.CallerConnections, share)
	}
	return share
}

// BodyTimeout returns the time to receive the body of a request.
func (c Callers) BodyTimeout() time.Duration {
	return time.Duration(c.CallerBodyMillis) * time.Millisecond
}

// RuntimeBytes returns the memory of the Go runtime from which on it collects garbage more often. It is no guard by itself: bytes
// in use are never freed by it. But what callers have released remains as garbage until the next collection, by default until
// the heap has doubled, and would count twice against the memory of the VM.
func (c Callers) RuntimeBytes() int64 { return int64(c.MemoryMB * runtimeShare * (1 << 20)) }
