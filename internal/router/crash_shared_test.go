package router

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/route"
)

const (
	// callerHeader tells a crashingUpstream who sent a request: it ends under requests for fatalTarget, unless they are from otherCaller.
	callerHeader = "Caller"
	fatalCaller  = "fatal-caller"
	otherCaller  = "other-caller"
)

// mixedLoad is sent between two tries of the fatal request.
type mixedLoad struct {
	// sameTarget is the number of requests of other callers for the fatal target, and otherTargets that of other requests.
	sameTarget, otherTargets int
}

// servedShare counts requests that were sent after the users' bound.
type servedShare struct{ served, all int }

// requestFrom returns a request of the caller. Each of the other callers has its own address.
func requestFrom(rt *route.Route, caller, id, target string) *Request {
	request := testRequest(rt, id, target)
	request.Header = http.Header{callerHeader: []string{caller}}
	request.Caller = caller
	if caller == otherCaller {
		request.Caller += id
	}
	return request
}

// playMixed sends a try of the fatal request every interval to the VMs in turn, and the load between two tries.
func (f *crashingFleet) playMixed(send func(*relayVM, *Request) error, rt *route.Route, l mixedLoad, duration, interval time.Duration) (same, other servedShare) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	begin := time.Now()
	step := interval / time.Duration(1+l.sameTarget+l.otherTargets)
	sendCounted := func(vm *relayVM, request *Request, share *servedShare) {
		late := time.Since(begin) > settledAfter+restartAfter
		wg.Go(func() {
			err := send(vm, request)
			if err != nil {
				GinkgoWriter.Printf("%.1f s: %s for %s: %v\n", time.Since(begin).Seconds(), request.ID, request.Target, err)
			}
			mu.Lock()
			defer mu.Unlock()
			if late {
				share.all++
			}
			if late && err == nil {
				share.served++
			}
		})
		time.Sleep(step)
	}
	for n := 0; time.Since(begin) < duration; n++ {
		var fatal servedShare
		sendCounted(f.vms[n%len(f.vms)], requestFrom(rt, fatalCaller, fmt.Sprintf("fatal-%d", n), fatalTarget), &fatal)
		for k := range l.sameTarget + l.otherTargets {
			vm, id := f.vms[(n+k+1)%len(f.vms)], fmt.Sprintf("%d-%d", n, k)
			if k < l.sameTarget {
				sendCounted(vm, requestFrom(rt, otherCaller, id, fatalTarget), &same)
			} else {
				sendCounted(vm, requestFrom(rt, otherCaller, id, "/innocent/"+id), &other)
			}
		}
	}
	wg.Wait()
	return same, other
}

func forwardRequest(rt *route.Route) func(*relayVM, *Request) error {
	return func(vm *relayVM, request *Request) error {
		_, err := vm.router.Forward(context.Background(), rt, request)
		return err
	}
}

func searchRequest(rt *route.Route) func(*relayVM, *Request) error {
	return func(vm *relayVM, request *Request) error {
		_, err := vm.router.Search(context.Background(), rt, request)
		return err
	}
}

func forwardRoute(service string) *route.Route {
	return &route.Route{Name: "forward", Idempotent: true, Attempts: 2, Timeout: 2 * time.Second, Objective: time.Second, Service: service}
}

var _ = Describe("a request under which upstreams end only for one caller", Label("slow"), func() {
	const duration, interval = 11 * time.Second, 300 * time.Millisecond
	expectContained := func(f *crashingFleet, same, other servedShare) {
		all, late := f.arrivals()
		GinkgoWriter.Printf("%d arrivals, %d late; same target %+v, other targets %+v\n", len(all), len(late), same, other)
		Expect(len(all)).To(BeNumerically(">=", 3), "the request was not tried")
		Expect(len(late)).To(BeNumerically("<=", allowedRepeats))
		Expect(same.all + other.all).To(BeNumerically(">", 20))
		Expect(same.served).To(Equal(same.all))
		Expect(other.served).To(Equal(other.all))
	}

	It("stops reaching upstreams although they answer other callers' requests for the same target, when it is forwarded", func() {
		f := startCrashingFleet(1, 10)
		rt := forwardRoute(f.services[0])
		same, other := f.playMixed(forwardRequest(rt), rt, mixedLoad{sameTarget: 4, otherTargets: 4}, duration, interval)
		expectContained(f, same, other)
	})

	It("stops reaching upstreams although they answer other callers' requests for the same target, when it is a search", func() {
		f := startCrashingFleet(6, 2)
		rt := searchRoute(f.services...)
		same, other := f.playMixed(searchRequest(rt), rt, mixedLoad{sameTarget: 1, otherTargets: 2}, duration, interval)
		expectContained(f, same, other)
	})
})

var _ = Describe("a request under which upstreams end, beside upstreams that fail requests without running them,", Label("slow"), func() {
	failures := map[string]string{
		"signed failures":               "500 Internal Server Error\r\nStamp: failed",
		"failures of another program":   "502 Bad Gateway",
		"signed refusals of the caller": "413 Content Too Large\r\nStamp: early",
	}
	It("stops reaching upstreams, since no such response shows that it was run", func() {
		fleets := map[string]*crashingFleet{}
		for name, status := range failures {
			fleets[name] = startCrashingFleet(1, 10)
			for _, u := range fleets[name].upstreams {
				u.mu.Lock()
				u.failure = status
				u.mu.Unlock()
			}
		}
		var playing sync.WaitGroup
		for _, f := range fleets {
			rt := forwardRoute(f.services[0])
			playing.Go(func() {
				f.playMixed(forwardRequest(rt), rt, mixedLoad{otherTargets: 1}, 11*time.Second, 300*time.Millisecond)
			})
		}
		playing.Wait()
		for name, f := range fleets {
			all, late := f.arrivals()
			GinkgoWriter.Printf("%s: %d arrivals, %d late\n", name, len(all), len(late))
			Expect(len(all)).To(BeNumerically(">=", 3), name)
			Expect(len(late)).To(BeNumerically("<=", allowedRepeats), name)
		}
	})
})
