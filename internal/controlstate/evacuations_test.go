package controlstate

import (
	"fmt"
	"strings"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/route"
)

var _ = Describe("evacuations of failure domains", func() {
	set := func(domain string, active bool) Command {
		return Command{SetEvacuation: &SetEvacuation{FailureDomain: domain, Active: active}}
	}

	It("hold for several failure domains at once, and a resent command is acknowledged without a change", func() {
		s := New()
		for n, step := range []struct {
			domain   string
			active   bool
			revision uint64
			want     []string
		}{
			{"b", true, 1, []string{"b"}},
			{"b", true, 1, []string{"b"}},
			{"a", true, 3, []string{"a", "b"}},
			{"nowhere", false, 3, []string{"a", "b"}},
			{"b", false, 5, []string{"a"}},
			{"b", false, 5, []string{"a"}},
			{"b", true, 7, []string{"a", "b"}},
		} {
			result := s.Apply(uint64(n+1), set(step.domain, step.active))
			Expect(result.Fault).To(BeNil())
			Expect(result.Revision).To(Equal(step.revision), "step %d", n)
			Expect(s.Evacuated()).To(Equal(step.want))
		}
	})

	It("are listed as a whole for a revision before their last change, also when none is left", func() {
		s := New()
		_, changed := s.EvacuatedSince(0)
		Expect(changed).To(BeFalse())
		s.Apply(1, set("a", true))
		list, changed := s.EvacuatedSince(0)
		Expect(changed).To(BeTrue())
		Expect(list).To(Equal([]string{"a"}))
		s.Apply(2, set("a", false))
		list, changed = s.EvacuatedSince(1)
		Expect(changed).To(BeTrue(), "a watcher would go on without the upstreams")
		Expect(list).To(BeEmpty())
		_, changed = s.EvacuatedSince(2)
		Expect(changed).To(BeFalse())
	})

	It("are refused beyond their bounds, while known ones can still be ended", func() {
		s := New()
		for n := range MaxEvacuations {
			Expect(s.Apply(uint64(n+1), set(fmt.Sprint("d", n), true)).Fault).To(BeNil())
		}
		result := s.Apply(100, set("one-more", true))
		Expect(result.Fault.Code).To(Equal(fault.BadRequest))
		Expect(s.Evacuated()).To(HaveLen(MaxEvacuations))
		Expect(s.Apply(101, set("d7", true)).Fault).To(BeNil(), "a resent command")
		Expect(s.Apply(102, set("d7", false)).Fault).To(BeNil())
		Expect(s.Apply(103, set("one-more", true)).Fault).To(BeNil())
	})

	DescribeTable("refuse names that cannot be those of failure domains", func(domain string, valid bool) {
		result := New().Apply(1, set(domain, true))
		Expect(result.Fault == nil).To(Equal(valid))
	},
		Entry("none", "", false),
		Entry("a space", "a b", false),
		Entry("a control character", "a\x00", false),
		Entry("no text", "\xff", false),
		Entry("64 characters", strings.Repeat("ö", 64), true),
		Entry("65 characters", strings.Repeat("o", 65), false),
		Entry("a slash", "hall/b", true),
	)

	It("are the same after a snapshot, after a replay of the log, and beside a changed route table", func() {
		table := route.Table{Version: 4, Services: []route.Service{{Name: "a"}}}
		commands := []Command{
			set("b", true), {PutRoutes: &PutRoutes{Table: table}}, set("a", true), set("b", false), set("c", true), set("c", true),
		}
		s := New()
		for n, command := range commands {
			s.Apply(uint64(n+1), command)
		}
		Expect(s.Routes().Table.Version).To(BeEquivalentTo(4))
		Expect(s.Evacuated()).To(Equal([]string{"a", "c"}))

		data, err := s.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		restored, err := Restore(data)
		Expect(err).NotTo(HaveOccurred())
		replayed := New()
		for n, command := range commands {
			encoded, err := command.Encode()
			Expect(err).NotTo(HaveOccurred())
			decoded, err := DecodeCommand(encoded)
			Expect(err).NotTo(HaveOccurred())
			replayed.Apply(uint64(n+1), decoded)
		}
		for _, other := range []*State{restored, replayed} {
			Expect(other.Evacuated()).To(Equal(s.Evacuated()))
			list, changed := other.EvacuatedSince(4)
			Expect(changed).To(BeTrue())
			Expect(list).To(Equal([]string{"a", "c"}))
			again, err := other.Snapshot()
			Expect(err).NotTo(HaveOccurred())
			Expect(again).To(Equal(data), "members would differ")
		}
	})

	It("are none in a snapshot of an earlier version, which a state without evacuations still writes", func() {
		data, err := New().Snapshot()
		Expect(err).NotTo(HaveOccurred())
		var fields map[int]any
		Expect(cbor.Unmarshal(data, &fields)).To(Succeed())
		Expect(fields).NotTo(HaveKey(14))
		Expect(fields).NotTo(HaveKey(15))
		restored, err := Restore(data)
		Expect(err).NotTo(HaveOccurred())
		Expect(restored.Evacuated()).To(BeEmpty())
		Expect(restored.Apply(1, set("a", true)).Fault).To(BeNil())
	})
})
