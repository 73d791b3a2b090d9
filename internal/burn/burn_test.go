package burn_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/burn"
)

func TestBurn(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Burn")
}

var _ = Describe("History", func() {
	objective := burn.Objective{Service: "clerk-01", Kind: burn.Latency, Target: 0.99, ThresholdMillis: 390}
	start := time.Unix(1_000_000, 0)
	var history *burn.History
	add := func(after time.Duration, good, total uint64) {
		history.Add(burn.Sample{At: start.Add(after), Counts: map[burn.Objective]burn.Counts{objective: {Good: good, Total: total}}})
	}

	BeforeEach(func() { history = &burn.History{} })

	It("reports a burn rate of 1 when the share of bad requests equals the error budget", func() {
		add(0, 0, 0)
		add(time.Minute, 990, 1000)
		row := history.Report().Rows[0]
		Expect(row.Recent).To(BeNumerically("~", 1, 1e-9))
		Expect(row.BudgetLeft).To(BeNumerically("~", 0, 1e-9))
	})

	It("ends an alert once its cause is outside the short period", func() {
		add(0, 0, 0)
		add(time.Minute, 500, 1000)
		Expect(history.Report().Rows[0].Windows[0].Alert).To(BeTrue())
		add(20*time.Minute, 10_500, 11_000)
		row := history.Report().Rows[0]
		Expect(row.Windows[0].Short).To(BeZero())
		Expect(row.Windows[0].Alert).To(BeFalse())
	})

	It("counts from zero after a process restart instead of reporting a huge burn rate", func() {
		add(0, 1000, 1000)
		add(time.Minute, 10, 10)
		Expect(history.Report().Rows[0].Recent).To(BeZero())
	})

	It("keeps a failure in a window for its length and at most a thirtieth longer, although old samples are thinned out", func() {
		const interval = 2 * time.Second
		short := burn.Windows()[0].Short
		bad := uint64(0)
		for after := time.Duration(0); after <= 2*time.Hour; after += interval {
			if after == time.Hour {
				bad = 500
			}
			total := uint64(after/interval) * 10
			add(after, total-min(bad, total), total)
			if age := after - time.Hour; age >= 0 && age < short {
				Expect(history.Report().Rows[0].Windows[0].Short).To(BeNumerically(">", 0), age.String())
			} else if age > short+short/30+interval {
				Expect(history.Report().Rows[0].Windows[0].Short).To(BeZero(), age.String())
			}
		}
	})

	It("covers the longest window of a large inventory in less than 30 MiB, the limit for an entry VM", func() {
		const services = 107
		objectives := make([]burn.Objective, 0, 2*services)
		for i := range services {
			name := fmt.Sprintf("service-%d", i)
			objectives = append(objectives, burn.Objective{Service: name, Kind: burn.Latency, Target: 0.99, ThresholdMillis: 390},
				burn.Objective{Service: name, Kind: burn.Coverage, Target: 0.95})
		}
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		for at := time.Duration(0); at <= 6*time.Hour; at += 5 * time.Second {
			counts := make(map[burn.Objective]burn.Counts, len(objectives))
			for _, o := range objectives {
				counts[o] = burn.Counts{Good: uint64(at), Total: uint64(at)}
			}
			history.Add(burn.Sample{At: start.Add(at), Counts: counts})
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		Expect(float64(after.HeapAlloc) - float64(before.HeapAlloc)).To(BeNumerically("<", 30<<20))
		Expect(history.Report().Rows).To(HaveLen(len(objectives)))
	})

	It("ignores a single failure among few requests in the worst burn rate", func() {
		add(0, 0, 0)
		add(time.Second, 7, 8)
		worst, _ := history.Report().WorstBurnRate()
		Expect(worst).To(BeZero())
		add(2*time.Second, 7, 12)
		worst, at := history.Report().WorstBurnRate()
		Expect(worst).To(BeNumerically(">", 10))
		Expect(at).To(Equal(objective))
	})

	It("adds the counters of several VMs", func() {
		part := map[burn.Objective]burn.Counts{objective: {Good: 9, Total: 10}}
		merged := burn.Merge(start, []map[burn.Objective]burn.Counts{part, part})
		Expect(merged.Counts[objective]).To(Equal(burn.Counts{Good: 18, Total: 20}))
	})

	It("writes the same figures as text, JSON and an HTML page without external references", func() {
		add(0, 0, 0)
		add(time.Minute, 900, 1000)
		var asText, asJSON, asHTML bytes.Buffer
		Expect(history.Report().WriteText(&asText)).To(Succeed())
		Expect(history.Report().WriteJSON(&asJSON)).To(Succeed())
		Expect(history.WriteHTML(&asHTML)).To(Succeed())
		Expect(asText.String()).To(ContainSubstring("10.00"))
		var decoded burn.Report
		Expect(json.Unmarshal(asJSON.Bytes(), &decoded)).To(Succeed())
		Expect(decoded.Rows[0].Recent).To(BeNumerically("~", 10, 1e-9))
		Expect(asHTML.String()).To(ContainSubstring("<polyline"))
		Expect(asHTML.String()).NotTo(ContainSubstring("http"))
	})
})
