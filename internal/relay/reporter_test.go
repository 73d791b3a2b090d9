package relay

import (
	"math"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against a search that loses records because the size of its result overflows.
var _ = Describe("records below the top ones of a batch", func() {
	It("are kept if the search asks for more records than there are, whatever the number", func() {
		records, greatest := []byte("b--------------1a--------------1"), []byte("c--------------1b--------------2")
		for _, top := range []int{3, 1<<31 - 1, 1 << 32, 1<<53 + 1, 1 << 60, math.MaxInt} {
			Expect(trimBelow(records, greatest, top)).To(Equal(records))
		}
		Expect(trimBelow(records, greatest, 2)).To(BeEmpty())
	})
})
