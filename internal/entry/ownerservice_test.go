package entry

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/ownerrpc"
)

var _ = Describe("the session of a sender at an owner", func() {
	It("does not run a sub-request whose cancellation came first, although a later one has begun", func() {
		in := &senderSession{ready: make(chan struct{}, 1), jobs: map[uint64]*job{}}
		for _, id := range []uint64{5, 4} {
			in.cancel(id)
			// An owner would be needed if the sub-request ran.
			in.start(nil, ownerrpc.SubRequest{ID: id})
		}
		Expect(in.jobs).To(BeEmpty())
	})
})
