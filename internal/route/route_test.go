package route_test

import (
	"math"
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

func validTable() route.Table {
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

var _ = Describe("Table.Validate", func() {
	It("accepts a valid table", func() {
		Expect(validTable().Validate()).To(Succeed())
	})

	DescribeTable("rejects a table", func(invalidate func(*route.Table)) {
		t := validTable()
		invalidate(&t)
		Expect(fault.CodeOf(t.Validate())).To(Equal(fault.BadRequest))
	},
		Entry("with version 0", func(t *route.Table) { t.Version = 0 }),
		Entry("with an undefined service as target", func(t *route.Table) { t.Routes[0].Service = "x" }),
		Entry("with an undefined service as shard", func(t *route.Table) { t.Routes[1].Shards[1] = "x" }),
		Entry("with a duplicate shard", func(t *route.Table) { t.Routes[1].Shards[1] = "a" }),
		Entry("with two routes for the same host and prefix", func(t *route.Table) { t.Routes[1].Prefix = "/" }),
		Entry("with two routes whose hosts differ only in case", func(t *route.Table) {
			t.Routes[1].Prefix = "/"
			t.Routes[1].Host = "Shop.example"
		}),
		Entry("with weights that add up to 0", func(t *route.Table) { t.Routes[2].Split = []route.WeightedService{{Service: "b"}} }),
		Entry("with a negative weight", func(t *route.Table) { t.Routes[2].Split[0].Weight = -1 }),
		Entry("with a route without a timeout", func(t *route.Table) { t.Routes[0].Timeout = 0 }),
		Entry("with a route without a target", func(t *route.Table) { t.Routes[0].Service = "" }),
		Entry("with a route that sets both a service and shards", func(t *route.Table) { t.Routes[1].Service = "c" }),
		Entry("with a prefix that does not end with a slash", func(t *route.Table) { t.Routes[1].Prefix = "/lots" }),
		Entry("with a coverage above 1", func(t *route.Table) { t.Routes[1].Coverage = 1.1 }),
		Entry("with a duplicate service", func(t *route.Table) { t.Services[1].Name = "a" }),
	)
})

var _ = Describe("Index.Match", func() {
	DescribeTable("selects the host's route with the longest matching prefix", func(host, path, wanted string) {
		found := route.NewIndex(validTable()).Match(host, path)
		if wanted == "" {
			Expect(found).To(BeNil())
			return
		}
		Expect(found.Name).To(Equal(wanted))
	},
		Entry("only the root prefix matches", "shop.example", "/x", "all"),
		Entry("a longer prefix matches", "shop.example", "/lots/1", "lots"),
		Entry("three prefixes match", "shop.example", "/lots/old/1", "deep"),
		Entry("a prefix matches whole path segments only", "shop.example", "/lotsx", "all"),
		Entry("the port and the case of the host are ignored", "SHOP.example:8080", "/lots/1", "lots"),
		Entry("no route has the host", "other.example", "/lots/1", ""),
	)
})

// Guards against durations that a large number of milliseconds turns negative.
var _ = Describe("Millis", func() {
	It("is the longest duration for numbers beyond it", func() {
		Expect(route.Millis(1500)).To(Equal(1500 * time.Millisecond))
		Expect(route.Millis(1<<53 + 1)).To(Equal(time.Duration(math.MaxInt64)))
		Expect(route.Millis(math.MaxInt64)).To(Equal(time.Duration(math.MaxInt64)))
		Expect(route.Millis(math.MinInt64)).To(Equal(time.Duration(math.MinInt64)))
	})
})
