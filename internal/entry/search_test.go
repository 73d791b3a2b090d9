package entry

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/model"
)

var _ = Describe("waitLimit", func() {
	limit := func(rules ...model.Rule) time.Duration {
		byService := map[string]model.Rule{}
		for i, rule := range rules {
			byService[string(rune('a'+i))] = rule
		}
		return waitLimit(byService, time.Second)
	}

	It("leaves a margin for the slowest shard if a partial answer is not allowed", func() {
		Expect(limit(model.Rule{WaitShare: 1})).To(Equal(750 * time.Millisecond))
		Expect(limit(model.Rule{WaitShare: 1, PartialAllowed: true})).To(Equal(time.Second))
	})

	It("is the strictest limit among the rules of the services", func() {
		Expect(limit(model.Rule{WaitShare: 0.9, PartialAllowed: true}, model.Rule{WaitShare: 0.5})).To(Equal(500 * time.Millisecond))
	})
})
