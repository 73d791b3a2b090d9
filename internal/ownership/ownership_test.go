package ownership_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/model"
	"github.com/wisteriamux/wisteriamux/internal/ownership"
)

func TestOwnership(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Ownership")
}

func view(members, services, replicas int) model.View {
	var v model.View
	for i := range members {
		v.Members = append(v.Members, model.Member{ID: fmt.Sprintf("entry-%d", i)})
	}
	for s := range services {
		for r := range replicas {
			name := fmt.Sprintf("s%d-%d", s, r)
			v.Upstreams = append(v.Upstreams, model.Upstream{
				Announcement: model.Announcement{Name: name, Service: fmt.Sprintf("s%d", s), ShardCount: 1},
			})
		}
	}
	return v
}

var _ = Describe("Assign", func() {
	It("gives the two replicas of a shard different owners, so that the loss of one owner leaves the other replica", func() {
		owners := ownership.Assign(view(8, 50, 2))
		for s := range 50 {
			Expect(owners[fmt.Sprintf("s%d-0", s)].ID).NotTo(Equal(owners[fmt.Sprintf("s%d-1", s)].ID))
		}
	})

	It("moves only the upstreams of a member that left", func() {
		before := ownership.Assign(view(8, 200, 1))
		after := ownership.Assign(view(7, 200, 1))
		for name, owner := range before {
			if owner.ID != "entry-7" {
				Expect(after[name].ID).To(Equal(owner.ID))
			}
		}
	})

	It("assigns nothing to a leaving member, unless all members are leaving", func() {
		leaving := view(3, 20, 2)
		leaving.Members[1].Leaving = true
		for name, owner := range ownership.Assign(leaving) {
			Expect(owner.ID).NotTo(Equal("entry-1"), name)
		}
		for i := range leaving.Members {
			leaving.Members[i].Leaving = true
		}
		Expect(ownership.Assign(leaving)).To(HaveLen(40))
	})

	It("assigns nothing if there are no members", func() {
		Expect(ownership.Assign(view(0, 3, 2))).To(BeEmpty())
	})
})
