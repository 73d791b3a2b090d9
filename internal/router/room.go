package router

import (
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/route"
)

const (
	// searchBytes is what a search in progress takes beside its attempts, and attemptBytes what an attempt at one of its shards takes:
	// a goroutine, a connection, a timer and buffers, at this VM or at the one that relays it.
	searchBytes  = 32 << 10
	attemptBytes = 8 << 10
)

func roomOf(rt *route.Route) int64 { return searchBytes + int64(len(rt.Shards))*attemptBytes }

// takeRoom reserves the memory of a search, and returns the function that releases it. Without room the search is refused at once: the
// memory of this VM would be used up before it ends.
func (r *Router) takeRoom(rt *route.Route) (release func(), err error) {
	bytes := roomOf(rt)
	if !r.room.Take(bytes) {
		r.roomRefusals.Add(1)
		return nil, r.noRoomForSearch(rt)
	}
	return func() { r.room.Release(bytes) }, nil
}

// refuseWithoutRoom returns the error of takeRoom without reserving anything.
func (r *Router) refuseWithoutRoom(rt *route.Route) error {
	if r.room.HasRoom(roomOf(rt)) {
		return nil
	}
	return r.noRoomForSearch(rt)
}

func (r *Router) noRoomForSearch(rt *route.Route) error {
	return fault.New(fault.NotRun, "router.search", "searches in progress take %d KiB, which leaves no room for one of %d shards", r.room.Used()>>10, len(rt.Shards))
}

// SearchMemory returns the memory that is reserved for searches in progress, in bytes.
func (r *Router) SearchMemory() int64 { return r.room.Used() }

// RoomRefusals returns the number of searches that were refused because there was no memory for them.
func (r *Router) RoomRefusals() int64 { return r.roomRefusals.Load() }
