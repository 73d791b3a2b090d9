package router

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against later attempts at upstreams that began to drain while the request was in progress, which are lost when
// these end.
var _ = Describe("a later attempt of a request", func() {
	var requester, relaying *relayVM
	var first, second, sound *fakeUpstream

	start := func(service, domain string) {
		requester, relaying = startVM("requester", "a"), startVM("relaying", "b")
		first, second = startFakeUpstream("u-0", service, domain, 5), startFakeUpstream("u-1", service, domain, 5)
		sound = startFakeUpstream("u-2", service, domain, 5)
		for _, u := range []*fakeUpstream{first, second} {
			u.delay.Store(int64(150 * time.Millisecond))
			u.refuse.Store(true)
		}
		for _, vm := range []*relayVM{requester, relaying} {
			vm.adoptAs(1, first, second)
		}
		requester.connect("b", relaying.peer())
	}

	DescribeTable("goes to an upstream of the newest view, not to one that drains since the request came",
		func(domain string, send func() error) {
			start("s", domain)
			done := make(chan error, 1)
			go func() { done <- send() }()
			Eventually(func() int64 { return first.requests.Load() + second.requests.Load() }).Should(BeEquivalentTo(1))
			if second.requests.Load() > 0 {
				first, second = second, first
			}
			for _, vm := range []*relayVM{requester, relaying} {
				vm.adoptAs(2, first, sound)
			}
			Eventually(done, 5*time.Second).Should(Receive(BeNil()))
			Expect(second.requests.Load()).To(BeZero(), "it drains")
			Expect(sound.requests.Load()).To(BeEquivalentTo(1))
		},
		Entry("forwarded", "a", func() error { _, err := requester.forward("s"); return err }),
		Entry("of a search", "a", func() error { _, err := requester.search(searchRoute("s")); return err }),
		Entry("of a search through a relay", "b", func() error { _, err := requester.search(searchRoute("s")); return err }),
	)
})
