package model_test

import (
	"math"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/model"
)

func TestModel(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Model")
}

func valid() model.Configuration {
	return model.Configuration{
		Inventory: model.Inventory{
			Regions:        []model.Region{{Name: "at-ost"}},
			FailureDomains: []model.FailureDomain{{Name: "halle-a", Region: "at-ost"}},
			Services:       []model.Service{{Name: "clerk-01", Kind: model.ServiceSearch}, {Name: "settlement", Kind: model.ServiceBooking}},
			Upstreams:      []model.InventoryUpstream{{Name: "clerk-01-0", Service: "clerk-01", FailureDomain: "halle-a"}},
		},
		Rules: []model.Rule{{Service: "clerk-*", MaxShrink: 0.5}, {Service: "*", Snapshot: model.SnapshotNewest}},
	}
}

var _ = Describe("Validate", func() {
	It("accepts a valid inventory", func() {
		config := valid()
		Expect(model.Validate(config.Inventory, config.Rules)).To(BeEmpty())
	})

	It("lists every problem with its place, so that a file is corrected at once", func() {
		config := valid()
		i := &config.Inventory
		i.FailureDomains = append(i.FailureDomains, model.FailureDomain{Name: "halle-a", Region: "missing"})
		i.Services[1].Kind = "other"
		i.Services = append(i.Services, model.Service{Name: "bad*name", Kind: model.ServiceSearch})
		i.Upstreams[0].Service = "clerk-02"
		i.Upstreams[0].FailureDomain = "halle-z"
		config.Rules = append(config.Rules,
			model.Rule{Service: "typo-*", MaxShrink: math.NaN(), LatencyObjectiveMillis: -1, Snapshot: "latest"},
			model.Rule{Service: "clerk-*", WaitShare: 1.5},
			model.Rule{Service: "[", CoverageTarget: -0.1},
		)
		var places []string
		for _, problem := range model.Validate(config.Inventory, config.Rules) {
			places = append(places, problem.Location)
		}
		Expect(places).To(Equal([]string{
			`failure_domain[1] "halle-a".name`, `failure_domain[1] "halle-a".region`,
			`service[1] "settlement".kind`, `service[2] "bad*name".name`,
			`upstream[0] "clerk-01-0".service`, `upstream[0] "clerk-01-0".failure_domain`,
			`rule[2] "typo-*".service`, `rule[2] "typo-*".max_shrink`, `rule[2] "typo-*".latency_objective_ms`, `rule[2] "typo-*".snapshot`,
			`rule[3] "clerk-*".service`, `rule[3] "clerk-*".wait_share`,
			`rule[4] "[".service`, `rule[4] "[".coverage_target`,
		}))
	})
})

var _ = Describe("DiffConfiguration", func() {
	It("names what a change adds, removes, edits and moves", func() {
		after := valid()
		after.Inventory.Services[0].Name = "clerk-09"
		after.Inventory.Upstreams[0].FailureDomain = "halle-b"
		after.Rules[0], after.Rules[1] = after.Rules[1], after.Rules[0]
		after.Rules[1].MaxShrink = 0.25
		var lines []string
		for _, change := range model.DiffConfiguration(valid(), after) {
			lines = append(lines, change.String())
		}
		Expect(lines).To(Equal([]string{
			`- service "clerk-01"`,
			`+ service "clerk-09": kind search`,
			`~ upstream "clerk-01-0": failure_domain halle-a -> halle-b`,
			`~ rule "clerk-*": max_shrink 0.5 -> 0.25`,
			`~ rule "*" moved to another place in the order`,
			`~ rule "clerk-*" moved to another place in the order`,
		}))
	})

	It("is empty for equal content, whatever the version", func() {
		after := valid()
		after.Version = 7
		Expect(model.DiffConfiguration(valid(), after)).To(BeEmpty())
	})
})
