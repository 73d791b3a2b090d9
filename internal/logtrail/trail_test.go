package logtrail_test

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/logtrail"
)

func TestLogtrail(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Logtrail")
}

const routerLog = `time=2026-12-04T07:00:00.000Z level=INFO msg=started process=wmux-router id=router-1
time=2026-12-04T07:00:01.000Z level=INFO msg="view adopted" process=wmux-router id=router-1 revision=61
time=2026-12-04T07:01:00.100Z level=INFO msg="upstream condition changed" process=wmux-router id=router-1 upstream=i-7 from=sound to=failing
time=2026-12-04T07:01:00.150Z level=INFO msg="upstream condition changed" process=wmux-router id=router-1 upstream=i-8 from=sound to=slow
time=2026-12-04T07:01:01.000Z level=INFO msg="attempt failed" process=wmux-router id=router-1 request="r 1" upstream=i-7 relay=router-2 error="said \"no\" to request=r9"
panic: not an event
time=2026-12-04T07:01:01.002Z level=INFO msg="request ended" process=wmux-router id=router-1 request="r 1" status=502
time=2026-12-04T07:01:02.000Z level=INFO msg="request ended" process=wmux-router id=router-1 request=r9 status=200
`

const otherLog = `time=2026-12-04T07:01:00.500Z level=WARN msg="relay silent" process=wmux-router id=router-3 relay=router-2
time=2026-12-04T07:01:00.600Z level=INFO msg="leader changed" process=wmux-control id=control-1 term=4
time=2026-12-04T06:59:00.600Z level=INFO msg="leader changed" process=wmux-control id=control-1 term=3
`

var _ = Describe("the trail of a request", func() {
	read := func(source, text string) []logtrail.Line {
		lines, _, err := logtrail.Read(source, strings.NewReader(text))
		Expect(err).NotTo(HaveOccurred())
		return lines
	}

	It("contains its own lines and the preceding events of its process, relay and upstream, sorted by time", func() {
		merged := append(read("router", routerLog), read("other", otherLog)...)
		trail := logtrail.BuildTrail(merged, "r 1", 5*time.Second)
		var events []string
		for _, line := range trail.Lines {
			events = append(events, line.Fields["msg"]+" "+line.Fields["id"])
		}
		Expect(events).To(Equal([]string{
			"view adopted router-1", "upstream condition changed router-1", "relay silent router-3", "leader changed control-1",
			"attempt failed router-1", "request ended router-1",
		}))
		Expect(trail.Own).To(Equal(2))
		Expect(trail.Processes).To(Equal([]string{"router-1", "router-2"}))
		Expect(trail.Upstreams).To(Equal([]string{"i-7"}))
	})

	It("ignores a request field inside a quoted value", func() {
		trail := logtrail.BuildTrail(read("router", routerLog), "r9", time.Second)
		Expect(trail.Own).To(Equal(1))
		Expect(trail.Lines[len(trail.Lines)-1].Fields["status"]).To(Equal("200"))
	})

	It("is empty for a request that occurs in no log", func() {
		Expect(logtrail.BuildTrail(read("router", routerLog), "r", time.Second)).To(Equal(logtrail.Trail{}))
	})

	It("counts lines that are not events, and accepts the prefix of a log collector", func() {
		lines, skipped, err := logtrail.Read("x", strings.NewReader("vm-3 stdout "+routerLog))
		Expect(err).NotTo(HaveOccurred())
		Expect(skipped).To(Equal(1))
		Expect(lines).To(HaveLen(7))
	})
})
