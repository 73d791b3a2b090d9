package formation_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/formation"
)

func TestFormation(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Formation")
}

// group returns a leader and voters that have been silent for the times.
func group(silent ...time.Duration) []controlrpc.GroupMember {
	members := []controlrpc.GroupMember{{ID: "0", Name: "vm-0", Role: "leader"}}
	for i, since := range silent {
		id := string(rune('1' + i))
		members = append(members, controlrpc.GroupMember{ID: id, Name: "vm-" + id, Role: "voter", LastContactMillis: since.Milliseconds()})
	}
	return members
}

var _ = Describe("admission", func() {
	It("leaves a member alone", func() {
		Expect(formation.Admit("2", "vm-2", group(0, 0)).Known).To(BeTrue())
	})

	It("adds a newcomer to a group whose members answer", func() {
		Expect(formation.Admit("9", "vm-9", group(0, 0))).To(Equal(formation.Step{}))
	})

	It("replaces the lost identity of a VM whose disk was wiped, even if it was heard of a moment ago", func() {
		Expect(formation.Admit("9", "vm-2", group(0, 0, 0, 0))).To(Equal(formation.Step{Remove: "2"}))
	})

	It("lets a newcomer take the place of a voter that is gone", func() {
		Expect(formation.Admit("9", "vm-9", group(0, 3*time.Second, 0, 4*time.Second))).To(Equal(formation.Step{Remove: "4"}))
	})

	It("makes a newcomer wait while a voter may only be restarting", func() {
		Expect(formation.Admit("9", "vm-9", group(0, time.Second, 0, 0))).To(Equal(formation.Step{Wait: true}))
	})

	It("does not shrink a group of three for a newcomer", func() {
		Expect(formation.Admit("9", "vm-9", group(0, 10*time.Second))).To(Equal(formation.Step{}))
	})
})

var _ = Describe("a surplus voter", func() {
	It("is a silent one of an even number, which only raises the quorum", func() {
		id, ok := formation.Surplus(group(0, 0, 0, 0, 8*time.Second))
		Expect(ok).To(BeTrue())
		Expect(id).To(Equal("5"))
	})

	DescribeTable("is kept", func(members []controlrpc.GroupMember) {
		_, ok := formation.Surplus(members)
		Expect(ok).To(BeFalse())
	},
		Entry("in an odd number, where its removal gains nothing", group(0, 0, 0, 8*time.Second)),
		Entry("after a short silence", group(0, 0, 0, 0, 5*time.Second)),
		Entry("in a group of two", group(8*time.Second)),
	)
})
