package overload

import "sync/atomic"

// Room bounds the memory that requests in progress take together. It is safe for concurrent use.
type Room struct {
	limit int64
	used  atomic.Int64
}

// NewRoom returns the room for requests that take at most limit bytes together; 0 means no limit.
func NewRoom(limit int64) *Room { return &Room{limit: limit} }

// Take reports whether there is room for a request that takes the bytes, and reserves them.
func (r *Room) Take(bytes int64) bool {
	if r.fits(r.used.Add(bytes), bytes) {
		return true
	}
	r.used.Add(-bytes)
	return false
}

// HasRoom reports whether there is room for a request that takes the bytes.
func (r *Room) HasRoom(bytes int64) bool { return r.fits(r.used.Load()+bytes, bytes) }

// fits reports whether the requests in progress, the last of which takes the bytes, stay within the limit. A single request always does: a
// limit below its size would refuse it for ever.
func (r *Room) fits(used, bytes int64) bool { return r.limit <= 0 || used <= r.limit || used == bytes }

// Release returns the bytes of a request that has ended.
func (r *Room) Release(bytes int64) { r.used.Add(-bytes) }

// Used returns the bytes that are reserved.
func (r *Room) Used() int64 { return r.used.Load() }
