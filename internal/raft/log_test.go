package raft

import (
	"slices"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("entryLog", func() {
	ginkgo.It("does not copy the log for entries that follow its end, which made each append as slow as the log is long", func() {
		l, err := newLog(Restored{})
		Expect(err).NotTo(HaveOccurred())
		Expect(l.append([]Entry{{Index: 1, Term: 1}, {Index: 2, Term: 1}})).To(Succeed())
		l.entries = slices.Grow(l.entries, 10)
		first := &l.entries[0]
		Expect(l.merge([]Entry{{Index: 2, Term: 1}, {Index: 3, Term: 1}})).To(Succeed())
		Expect(&l.entries[0]).To(BeIdenticalTo(first))
		Expect(l.last()).To(Equal(Position{Index: 3, Term: 1}))
	})

	ginkgo.It("copies the log for conflicting entries, because earlier slices of it may still be read", func() {
		l, err := newLog(Restored{})
		Expect(err).NotTo(HaveOccurred())
		Expect(l.append([]Entry{{Index: 1, Term: 1}, {Index: 2, Term: 1}})).To(Succeed())
		handed := l.slice(1, 2)
		Expect(l.merge([]Entry{{Index: 2, Term: 2}})).To(Succeed())
		Expect(handed[1].Term).To(Equal(uint64(1)))
		Expect(l.last()).To(Equal(Position{Index: 2, Term: 2}))
	})
})
