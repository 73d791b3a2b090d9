package controlstate

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/registry"
	"github.com/wisteriamux/wisteriamux/internal/route"
)

var _ = Describe("the route table and its upstreams", func() {
	It("are restored from a snapshot, so that a restored member decides like the others", func() {
		s := New()
		table := route.Table{
			Version: 4, Services: []route.Service{{Name: "a"}},
			Routes: []route.Route{{Name: "r", Host: "h", Prefix: "/", Timeout: time.Second, Service: "a", Attempts: 2}},
		}
		s.Apply(1, Command{PutRoutes: &PutRoutes{Table: table, Source: []byte("source")}})
		heartbeat := registry.Instance{ID: "i", Service: "a", Address: "1:1", Slots: 2, State: registry.Ready, Born: 5, Sequence: 1}
		s.Apply(2, Command{ReportInstance: &ReportInstance{Report: registry.Report{Instance: heartbeat}}})
		gone := heartbeat
		gone.ID, gone.Address = "j", "1:2"
		s.Apply(3, Command{ReportInstance: &ReportInstance{Report: registry.Report{Instance: gone}}})
		s.Apply(4, Command{ReportInstance: &ReportInstance{Report: registry.Report{Instance: registry.Instance{ID: "j"}, Left: true}}})

		data, err := s.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		restored, err := Restore(data)
		Expect(err).NotTo(HaveOccurred())
		Expect(restored.Routes()).To(Equal(s.Routes()))
		Expect(restored.Instances().Contents()).To(Equal(s.Instances().Contents()))
		Expect(restored.Revision()).To(BeEquivalentTo(4))
		late := Command{ReportInstance: &ReportInstance{Report: registry.Report{Instance: gone}}}
		Expect(restored.Apply(5, late).Revision).To(BeEquivalentTo(4), "a late report must not register an upstream that has left")
		lower := table
		lower.Version = 3
		Expect(restored.Apply(6, Command{PutRoutes: &PutRoutes{Table: lower}}).Version).To(BeEquivalentTo(4))
	})

	It("do not change when a command is refused", func() {
		s := New()
		result := s.Apply(1, Command{PutRoutes: &PutRoutes{Table: route.Table{}}})
		Expect(result.Fault).NotTo(BeNil())
		Expect(s.Routes()).To(Equal(Routes{}))
		Expect(s.Revision()).To(BeZero())
	})
})
