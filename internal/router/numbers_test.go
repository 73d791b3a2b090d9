package router

import (
	"math"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/route"
)

// Guards against weights whose sum is not a finite number, with which all requests went to one service.
var _ = Describe("weights near the largest number", func() {
	It("split the requests in their proportions", func() {
		rt := &route.Route{Split: []route.WeightedService{{Service: "a", Weight: math.MaxFloat64}, {Service: "b", Weight: math.MaxFloat64 / 3}}}
		credit, counts := map[string]float64{}, map[string]int{}
		for range 400 {
			counts[nextService(rt, credit)]++
		}
		Expect(counts["a"]).To(BeNumerically("~", 300, 2))
	})
})
