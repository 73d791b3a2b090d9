package router

import (
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/overload"
)

// Guards against a crowd of small searches, each of which takes far more memory than its request, that end an entry VM.
var _ = Describe("searches in progress", func() {
	It("are bounded by their memory, and one beyond is refused at once as not run", func() {
		vm := startVM("vm", "a")
		rt := searchRoute("one", "two")
		upstreams := []*fakeUpstream{startFakeUpstream("one-0", "one", "a", 5), startFakeUpstream("two-0", "two", "a", 9)}
		vm.adopt(upstreams...)
		const places = 3
		vm.router.room = overload.NewRoom(places*roomOf(rt) + 1)
		for _, u := range upstreams {
			u.delay.Store(int64(300 * time.Millisecond))
		}
		var running sync.WaitGroup
		for range places {
			running.Go(func() {
				defer GinkgoRecover()
				_, err := vm.search(rt)
				Expect(err).NotTo(HaveOccurred())
			})
		}
		Eventually(func() int64 { return vm.router.SearchMemory() }).Should(Equal(places * roomOf(rt)))
		Eventually(func() int64 { return upstreams[0].requests.Load() }).Should(BeEquivalentTo(places))
		began := time.Now()
		_, err := vm.search(rt)
		Expect(fault.CodeOf(err)).To(Equal(fault.NotRun))
		Expect(time.Since(began)).To(BeNumerically("<", 100*time.Millisecond))
		Expect(fault.CodeOf(vm.router.refuseWithoutRoom(rt))).To(Equal(fault.NotRun))
		Expect(upstreams[0].requests.Load()).To(BeEquivalentTo(places))
		running.Wait()
		Expect(vm.router.SearchMemory()).To(BeZero())
		Expect(vm.router.RoomRefusals()).To(BeEquivalentTo(1))
		_, err = vm.search(rt)
		Expect(err).NotTo(HaveOccurred())
	})
})
