package route_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/route"
)

func TestRoute(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Route")
}

func table() route.Table {
	return route.Table{
		Version:  7,
		Services: []route.Service{{Name: "a"}, {Name: "b"}, {Name: "c"}},
		Routes: []route.Route{
			{Name: "all", Host: "shop.example", Prefix: "/", Timeout: time.Second, Service: "a"},
			{Name: "lots", Host: "shop.example", Prefix: "/lots/", Timeout: time.Second, Shards: []string{"a", "b"}, Coverage: 0.5},
			{Name: "deep", Host: "shop.example", Prefix: "/lots/old/", Timeout: time.Second,
				Split: []route.WeightedService{{Service: "b", Weight: 1}, {Service: "c", Weight: 3}}},
		},
	}
}

var _ = Describe("a table", func() {
	It("is accepted when it is complete", func() {
		Expect(table().Validate()).To(Succeed())
	})

	DescribeTable("is refused when a request could not be routed by it", func(spoil func(*route.Table)) {
		t := table()
		spoil(&t)
		Expect(fault.CodeOf(t.Validate())).To(Equal(fault.BadRequest))
	},
		Entry("version 0", func(t *route.Table) { t.Version = 0 }),
		Entry("an unknown service", func(t *route.Table) { t.Routes[0].Service = "x" }),
		Entry("an unknown shard", func(t *route.Table) { t.Routes[1].Shards[1] = "x" }),
		Entry("a shard twice", func(t *route.Table) { t.Routes[1].Shards[1] = "a" }),
		Entry("two routes in one place", func(t *route.Table) { t.Routes[1].Prefix = "/" }),
		Entry("two routes in one place but for the case of the host", func(t *route.Table) {
			t.Routes[1].Prefix = "/"
			t.Routes[1].Host = "Shop.example"
		}),
		Entry("weights that add up to 0", func(t *route.Table) { t.Routes[2].Split = []route.WeightedService{{Service: "b"}} }),
		Entry("a negative weight", func(t *route.Table) { t.Routes[2].Split[0].Weight = -1 }),
		Entry("no timeout", func(t *route.Table) { t.Routes[0].Timeout = 0 }),
		Entry("no target", func(t *route.Table) { t.Routes[0].Service = "" }),
		Entry("two kinds of target", func(t *route.Table) { t.Routes[1].Service = "c" }),
		Entry("a prefix without its last slash", func(t *route.Table) { t.Routes[1].Prefix = "/lots" }),
		Entry("a coverage above 1", func(t *route.Table) { t.Routes[1].Coverage = 1.1 }),
		Entry("a service twice", func(t *route.Table) { t.Services[1].Name = "a" }),
	)
})

var _ = Describe("matching", func() {
	DescribeTable("takes the longest prefix of the host", func(host, path, wanted string) {
		found := route.NewIndex(table()).Match(host, path)
		if wanted == "" {
			Expect(found).To(BeNil())
			return
		}
		Expect(found.Name).To(Equal(wanted))
	},
		Entry("root", "shop.example", "/x", "all"),
		Entry("longer", "shop.example", "/lots/1", "lots"),
		Entry("longest", "shop.example", "/lots/old/1", "deep"),
		Entry("a prefix ends at a slash", "shop.example", "/lotsx", "all"),
		Entry("the port does not count", "SHOP.example:8080", "/lots/1", "lots"),
		Entry("another host", "other.example", "/lots/1", ""),
	)
})
