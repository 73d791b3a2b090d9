package slopes_test

import (
	"bytes"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/load/slopes"
)

func TestSlopes(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Slopes")
}

var _ = Describe("Fit", func() {
	It("returns the slope with its standard error, so that capacity figures state their uncertainty", func() {
		points := []slopes.Point{{Size: 1, Cost: 2}, {Size: 2, Cost: 4}, {Size: 3, Cost: 5}, {Size: 4, Cost: 4}, {Size: 5, Cost: 5}}
		slope := slopes.Fit("cost", "us per item", "test", points)
		Expect(slope.PerUnit).To(BeNumerically("~", 0.6, 1e-9))
		Expect(slope.Fixed).To(BeNumerically("~", 2.2, 1e-9))
		// The squared residuals add up to 2.4 with 3 degrees of freedom; the squared deviations of the sizes from their
		// mean of 3 add up to 10.
		Expect(slope.StdErr).To(BeNumerically("~", 0.282843, 1e-6))
		Expect(slope.FixedErr).To(BeNumerically("~", 0.938083, 1e-6))
		var table bytes.Buffer
		Expect(slopes.WriteTable(&table, []slopes.Slope{slope})).To(Succeed())
		Expect(table.String()).To(ContainSubstring("| cost | 0.6 | 0.28 | 2.2 | 0.94 | us per item | 0.6000 | 1, 2, 3, 4, 5 | test |"))
	})
})
