package overload_test

import (
	"sync"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/overload"
)

// Guards against requests in progress that together take more memory than a VM has.
var _ = Describe("the room for requests in progress", func() {
	It("is never exceeded by concurrent requests, and is free again when they have ended", func() {
		room := overload.NewRoom(1000)
		var admitted, most, taken atomic.Int64
		var callers sync.WaitGroup
		for range 50 {
			callers.Go(func() {
				for range 200 {
					if !room.Take(90) {
						continue
					}
					admitted.Add(1)
					now := taken.Add(90)
					for before := most.Load(); now > before && !most.CompareAndSwap(before, now); before = most.Load() {
					}
					taken.Add(-90)
					room.Release(90)
				}
			})
		}
		callers.Wait()
		Expect(admitted.Load()).To(BeNumerically(">", 0))
		Expect(most.Load()).To(BeNumerically("<=", 1000))
		Expect(room.Used()).To(BeZero())
	})

	It("always has a place for one request, and for all of them without a limit", func() {
		room := overload.NewRoom(100)
		Expect(room.Take(5000)).To(BeTrue())
		Expect(room.Take(1)).To(BeFalse())
		room.Release(5000)
		Expect(room.Take(1)).To(BeTrue())
		unlimited := overload.NewRoom(0)
		for range 10 {
			Expect(unlimited.Take(1 << 40)).To(BeTrue())
		}
	})
})
