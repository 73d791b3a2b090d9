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

func validConfiguration() model.Configuration {
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
	It("accepts a valid inventory and its rules", func() {
		config := validConfiguration()
		Expect(model.Validate(config.Inventory, config.Rules)).To(BeEmpty())
	})

	It("returns every problem with its location, so that one pass can correct the whole file", func() {
		config := validConfiguration()
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
		var locations []string
		for _, problem := range model.Validate(config.Inventory, config.Rules) {
			locations = append(locations, problem.Location)
		}
		Expect(locations).To(Equal([]string{
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
	It("lists added, removed, edited and moved entries", func() {
		after := validConfiguration()
		after.Inventory.Services[0].Name = "clerk-09"
		after.Inventory.Upstreams[0].FailureDomain = "halle-b"
		after.Rules[0], after.Rules[1] = after.Rules[1], after.Rules[0]
		after.Rules[1].MaxShrink = 0.25
		var lines []string
		for _, change := range model.DiffConfiguration(validConfiguration(), after) {
			lines = append(lines, change.String())
		}
		Expect(lines).To(Equal([]string{
			`- service "clerk-01"`,
			`+ service "clerk-09": kind search`,
			`~ upstream "clerk-01-0": failure_domain halle-a -> halle-b`,
			`~ rule "clerk-*": max_shrink 0.5 -> 0.25`,
			`~ rule "*" moved to another position`,
			`~ rule "clerk-*" moved to another position`,
		}))
	})

	It("returns no changes for equal content with different versions", func() {
		after := validConfiguration()
		after.Version = 7
		Expect(model.DiffConfiguration(validConfiguration(), after)).To(BeEmpty())
	})
})
