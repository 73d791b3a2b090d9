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

// group returns a leader and one voter for each given time since its last contact.
func group(silences ...time.Duration) []controlrpc.GroupMember {
	members := []controlrpc.GroupMember{{ID: "0", Name: "vm-0", Role: "leader"}}
	for i, silence := range silences {
		id := string(rune('1' + i))
		members = append(members, controlrpc.GroupMember{ID: id, Name: "vm-" + id, Role: "voter", LastContactMillis: silence.Milliseconds()})
	}
	return members
}

var _ = Describe("admission", func() {
	It("recognizes a process that is already a member", func() {
		Expect(formation.DecideAdmission("2", "vm-2", group(0, 0)).AlreadyMember).To(BeTrue())
	})

	It("adds a new process when every member responds", func() {
		Expect(formation.DecideAdmission("9", "vm-9", group(0, 0))).To(Equal(formation.Decision{}))
	})

	It("replaces the member of a VM whose disk was wiped, even if that member had contact a moment ago", func() {
		Expect(formation.DecideAdmission("9", "vm-2", group(0, 0, 0, 0))).To(Equal(formation.Decision{Remove: "2"}))
	})

	It("replaces the voter that has been unresponsive for longest", func() {
		Expect(formation.DecideAdmission("9", "vm-9", group(0, 3*time.Second, 0, 4*time.Second))).To(Equal(formation.Decision{Remove: "4"}))
	})

	It("defers the admission while an unresponsive voter may only be restarting", func() {
		Expect(formation.DecideAdmission("9", "vm-9", group(0, time.Second, 0, 0))).To(Equal(formation.Decision{RetryLater: true}))
	})

	It("does not remove a voter from a group of three", func() {
		Expect(formation.DecideAdmission("9", "vm-9", group(0, 10*time.Second))).To(Equal(formation.Decision{}))
	})
})

var _ = Describe("a redundant voter", func() {
	It("is an unresponsive one of an even number of voters", func() {
		id, ok := formation.RedundantVoter(group(0, 0, 0, 0, 8*time.Second))
		Expect(ok).To(BeTrue())
		Expect(id).To(Equal("5"))
	})

	DescribeTable("is not reported", func(members []controlrpc.GroupMember) {
		_, ok := formation.RedundantVoter(members)
		Expect(ok).To(BeFalse())
	},
		Entry("with an odd number of voters, where a removal would not raise the failure tolerance", group(0, 0, 0, 8*time.Second)),
		Entry("shortly after the last contact", group(0, 0, 0, 0, 5*time.Second)),
		Entry("with two voters", group(8*time.Second)),
	)
})
