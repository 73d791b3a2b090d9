package route_test

import (
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/route"
)

// teamTable returns a valid table with two teams. Team a has the keys k1 and k2, team b has k3.
func teamTable() route.Table {
	t := validTable()
	t.Teams = []route.Team{
		{Name: "a", Keys: []route.KeyDigest{route.DigestKey("k1"), route.DigestKey("k2")}, Ranked: true, PerSecond: 10, Burst: 5},
		{Name: "b", Keys: []route.KeyDigest{route.DigestKey("k3")}},
	}
	return t
}

var _ = Describe("the teams of a table", func() {
	It("are found by the digest of a key", func() {
		index := route.NewIndex(teamTable())
		Expect(index.HasTeams()).To(BeTrue())
		Expect(index.Team(route.DigestKey("k2")).Name).To(Equal("a"))
		Expect(index.Team(route.DigestKey("k3")).Name).To(Equal("b"))
		Expect(index.Team(route.DigestKey("k4"))).To(BeNil())
		Expect(route.NewIndex(validTable()).HasTeams()).To(BeFalse())
	})

	It("have a rank that replaces that of the route only if it is set, also if it is 0", func() {
		t := teamTable()
		rt := &route.Route{Rank: 7}
		Expect(t.Teams[0].RankOn(rt)).To(Equal(0))
		Expect(t.Teams[1].RankOn(rt)).To(Equal(7))
		Expect((*route.Team)(nil).RankOn(rt)).To(Equal(7))
	})

	It("may exchange a key in one version", func() {
		t := teamTable()
		Expect(t.Validate()).To(Succeed())
		t.Teams[0].Keys, t.Teams[1].Keys = t.Teams[1].Keys, t.Teams[0].Keys
		Expect(t.Validate()).To(Succeed())
	})

	DescribeTable("are rejected without naming a key", func(change func(*route.Table)) {
		t := teamTable()
		change(&t)
		err := t.Validate()
		Expect(fault.CodeOf(err)).To(Equal(fault.BadRequest))
		Expect(err.Error()).NotTo(ContainSubstring(route.DigestKey("k1").String()[:8]))
	},
		Entry("if they share a key", func(t *route.Table) { t.Teams[1].Keys = t.Teams[0].Keys[:1] }),
		Entry("if one has no name", func(t *route.Table) { t.Teams[0].Name = "" }),
		Entry("if a name has a space", func(t *route.Table) { t.Teams[0].Name = "a b" }),
		Entry("if a name has a control character", func(t *route.Table) { t.Teams[0].Name = "a\r\nX: y" }),
		Entry("if a name is not ASCII", func(t *route.Table) { t.Teams[0].Name = "größe" }),
		Entry("if a name is used twice", func(t *route.Table) { t.Teams[1].Name = "a" }),
		Entry("if a key is empty", func(t *route.Table) { t.Teams[1].Keys = append(t.Teams[1].Keys, route.DigestKey("")) }),
		Entry("if a rate is negative", func(t *route.Table) { t.Teams[1].PerSecond = -1 }),
		Entry("if a rate is not a number", func(t *route.Table) { t.Teams[1].PerSecond = math.NaN() }),
		Entry("if a rate is infinite", func(t *route.Table) { t.Teams[1].PerSecond = math.Inf(1) }),
		Entry("if a burst is negative", func(t *route.Table) { t.Teams[1].Burst = -0.5 }),
		Entry("if a burst is not a number", func(t *route.Table) { t.Teams[1].Burst = math.NaN() }),
	)

	It("appear in the difference of two tables by name", func() {
		next := teamTable()
		next.Teams[0].Keys = next.Teams[0].Keys[:1]
		next.Teams[1].Name = "c"
		Expect(route.Diff(teamTable(), next)).To(Equal([]route.Change{
			{Kind: "changed", Object: "team", Name: "a"}, {Kind: "removed", Object: "team", Name: "b"}, {Kind: "added", Object: "team", Name: "c"},
		}))
	})
})

var _ = Describe("a service with a cold start", func() {
	DescribeTable("is rejected", func(service route.Service) {
		t := validTable()
		service.Name = t.Services[0].Name
		t.Services[0] = service
		Expect(fault.CodeOf(t.Validate())).To(Equal(fault.BadRequest))
	},
		Entry("with a negative duration", route.Service{ColdStart: -time.Second}),
		Entry("with a negative rate", route.Service{ColdPerSecond: -1}),
		Entry("with a rate that is not a number", route.Service{ColdPerSecond: math.NaN()}),
	)
})

var _ = Describe("ParseKeyDigest", func() {
	It("reads what String returns", func() {
		parsed, err := route.ParseKeyDigest(route.DigestKey("k").String())
		Expect(err).NotTo(HaveOccurred())
		Expect(parsed).To(Equal(route.DigestKey("k")))
	})

	// An operator may put a key where a digest belongs.
	It("does not quote what is no digest", func() {
		for _, text := range []string{"secret-key", "", "zz", route.DigestKey("k").String()[2:]} {
			_, err := route.ParseKeyDigest(text)
			Expect(fault.CodeOf(err)).To(Equal(fault.BadRequest))
			if text != "" {
				Expect(err.Error()).NotTo(ContainSubstring(text))
			}
		}
	})
})
