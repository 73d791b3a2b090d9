package relay

import (
	"errors"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/upstreamconn"
)

// Guards against a status that does not exist and that reaches a caller through a relay of an earlier version.
var _ = Describe("a forwarded response", func() {
	for _, status := range []int{0, 99, 199, 600, 999} {
		It("is a failure of a request that may have run if its status is outside 200 to 599", func() {
			reply := ForwardReply{Response: &ForwardedResponse{Status: status, Body: []byte("x")}}
			Expect(reply.response()).To(BeNil())
			var failed *upstreamconn.RequestError
			Expect(errors.As(reply.err(), &failed)).To(BeTrue())
			Expect(failed.Sent).To(BeTrue())
		})
	}
})
