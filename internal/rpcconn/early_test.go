package rpcconn_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/rpcconn"
)

func TestRPCConn(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "RPCConn")
}

var _ = Describe("early cancellations", func() {
	It("are found once, whichever work has begun meanwhile", func() {
		var early rpcconn.EarlyCancels
		early.Add(4, nil)
		Expect(early.Take(5)).To(Equal(rpcconn.EarlyCancel{}))
		Expect(early.Take(4).All).To(BeTrue())
		Expect(early.Take(4)).To(Equal(rpcconn.EarlyCancel{}))
	})

	It("add up, so that a later partial one does not revive cancelled work", func() {
		var early rpcconn.EarlyCancels
		early.Add(1, []int{2})
		early.Add(1, []int{3})
		early.Add(2, nil)
		early.Add(2, []int{1})
		Expect(early.Take(1)).To(Equal(rpcconn.EarlyCancel{Numbers: []int{2, 3}}))
		Expect(early.Take(2).All).To(BeTrue())
	})

	It("are bounded, and the oldest go first, so that those of ended work do not push out later ones", func() {
		var early rpcconn.EarlyCancels
		for id := range uint64(5000) {
			early.Add(id, nil)
		}
		Expect(early.Take(4999).All).To(BeTrue())
		Expect(early.Take(4999 - 1000).All).To(BeTrue())
		Expect(early.Take(0).All).To(BeFalse())
	})
})
