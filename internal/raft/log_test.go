package raft

import (
	"slices"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("raftLog", func() {
	ginkgo.It("does not copy the log when entries are appended at its end, so that an append takes time independent of its length", func() {
		l, err := newLog(InitialState{})
		Expect(err).NotTo(HaveOccurred())
		Expect(l.append([]Entry{{Index: 1, Term: 1}, {Index: 2, Term: 1}})).To(Succeed())
		l.entries = slices.Grow(l.entries, 10)
		first := &l.entries[0]
		Expect(l.merge([]Entry{{Index: 2, Term: 1}, {Index: 3, Term: 1}})).To(Succeed())
		Expect(&l.entries[0]).To(BeIdenticalTo(first))
		Expect(l.last()).To(Equal(Position{Index: 3, Term: 1}))
	})

	ginkgo.It("copies the log before it overwrites conflicting entries, because slices of it may still be in use", func() {
		l, err := newLog(InitialState{})
		Expect(err).NotTo(HaveOccurred())
		Expect(l.append([]Entry{{Index: 1, Term: 1}, {Index: 2, Term: 1}})).To(Succeed())
		delivered := l.slice(1, 2)
		Expect(l.merge([]Entry{{Index: 2, Term: 2}})).To(Succeed())
		Expect(delivered[1].Term).To(Equal(uint64(1)))
		Expect(l.last()).To(Equal(Position{Index: 2, Term: 2}))
	})
})
