package suspect_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/registry"
	"github.com/wisteriamux/wisteriamux/internal/suspect"
)

var begin = time.Unix(1000, 0)

// endOf returns the end of an upstream under a try of a request.
func endOf(fingerprint, try string, upstream int) suspect.End {
	return suspect.End{
		Fingerprint: fingerprint, Try: try, Service: "s", Upstream: registry.Process{Instance: fmt.Sprintf("u%d", upstream)}, Summary: "GET h/" + fingerprint,
	}
}

// content returns the fingerprints of a request whose caller is not known.
func content(fingerprint string) suspect.Fingerprints {
	return suspect.Fingerprints{Content: fingerprint}
}

// recordsPerRequest is the number of fingerprints of a request whose caller is known.
const recordsPerRequest = 2

// from returns the fingerprints of a request of the caller.
func from(caller, fingerprint string) suspect.Fingerprints {
	return suspect.Fingerprints{Content: fingerprint, Caller: caller + "/" + fingerprint}
}

// endFrom returns the end of an upstream under a try of the caller.
func endFrom(caller, fingerprint, try string, upstream int) suspect.End {
	end := endOf(fingerprint, try, upstream)
	end.CallerFingerprint, end.Caller = from(caller, fingerprint).Caller, caller
	return end
}

var _ = Describe("a detector", func() {
	var d *suspect.Detector
	observe := func(fingerprint, try string, upstreams ...int) {
		for _, u := range upstreams {
			d.Observe(begin, "vm", endOf(fingerprint, try, u))
		}
	}
	due := func() []string {
		var all []string
		for _, decision := range d.Due(begin.Add(suspect.ConfirmDelay)) {
			all = append(all, decision.Fingerprint)
		}
		return all
	}
	BeforeEach(func() { d = suspect.NewDetector() })

	It("quarantines a request under whose tries three upstreams have ended, and says from which evidence", func() {
		observe("f", "1", 1, 2)
		observe("f", "2", 3)
		Expect(d.Due(begin)).To(BeEmpty())
		Expect(d.NextDecision()).To(Equal(begin.Add(suspect.ConfirmDelay)))
		Expect(d.Due(begin.Add(suspect.ConfirmDelay))).To(Equal([]suspect.Decision{{
			Fingerprint: "f", Duration: suspect.Quarantine, Evidence: suspect.Evidence{Ends: 3, Tries: 2, VMs: 1, Summary: "GET h/f"},
		}}))
	})

	It("does not quarantine a request of a single try, whose ends may have a common cause", func() {
		observe("search", "1", 1, 2, 3, 4, 5, 6)
		Expect(d.Candidates()).To(HaveLen(1))
		Expect(due()).To(BeEmpty())
		Expect(d.NextDecision()).To(BeZero())
	})

	It("counts an end once, however many VMs report it and however often", func() {
		observe("f", "1", 1, 1)
		observe("f", "2", 1)
		d.Observe(begin, "other", endOf("f", "2", 1))
		Expect(d.Candidates()).To(BeEmpty())
	})

	It("counts the next process of the same upstream as another one", func() {
		for born := range int64(3) {
			end := endOf("f", fmt.Sprint(born), 1)
			end.Upstream.Born = born
			d.Observe(begin, "vm", end)
		}
		Expect(due()).To(ConsistOf("f"))
	})

	It("drops the evidence at services whose upstreams have answered, and only there", func() {
		observe("f", "1", 1, 2)
		observe("f", "2", 3)
		d.Cleared(begin, suspect.Answer{Fingerprint: "f", Services: []string{"other"}})
		Expect(due()).To(ConsistOf("f"))
		Expect(d.Cleared(begin, suspect.Answer{Fingerprint: "f", Services: []string{"s"}})).To(BeTrue())
		Expect(due()).To(BeEmpty())
		Expect(d.Suspected("f")).To(BeFalse())
	})

	It("does not quarantine the request that was beside the fatal one, in whatever order their ends are reported", func() {
		for _, order := range [][]string{{"fatal", "beside"}, {"beside", "fatal"}} {
			d = suspect.NewDetector()
			for _, fingerprint := range order {
				observe(fingerprint, fingerprint+"1", 1, 2)
				observe(fingerprint, fingerprint+"2", 3)
			}
			Expect(due()).To(BeEmpty(), "either of them may be the cause")
			observe("fatal", "fatal3", 4)
			Expect(due()).To(Equal([]string{"fatal"}))
			decision := d.Due(begin.Add(suspect.ConfirmDelay))[0]
			d.Quarantined(begin, decision)
			Expect(d.Suspected("beside")).To(BeFalse())
			Expect(due()).To(BeEmpty())
		}
	})

	It("does not blame others for ends of a request that is quarantined already", func() {
		observe("fatal", "1", 1, 2, 3)
		observe("fatal", "2", 4)
		d.Quarantined(begin, d.Due(begin.Add(suspect.ConfirmDelay))[0])
		for u := range 5 {
			observe("fatal", "3", 10+u)
			observe("beside", fmt.Sprint(u), 10+u)
		}
		Expect(d.Suspected("beside")).To(BeFalse())
	})

	It("quarantines a request again after its first end when a quarantine is over, for twice as long", func() {
		observe("f", "1", 1, 2)
		observe("f", "2", 3)
		d.Quarantined(begin, d.Due(begin.Add(suspect.ConfirmDelay))[0])
		later := begin.Add(suspect.Quarantine + time.Second)
		d.Observe(later, "vm", endOf("f", "9", 9))
		decisions := d.Due(later.Add(suspect.ConfirmDelay))
		Expect(decisions).To(HaveLen(1))
		Expect(decisions[0].Duration).To(Equal(2 * suspect.Quarantine))
	})

	It("keeps the evidence against a request that others try to push out, in bounded memory", func() {
		observe("f", "1", 1, 2)
		observe("f", "2", 3)
		for n := range 20_000 {
			d.Observe(begin, "vm", endFrom("c", fmt.Sprintf("other-%d", n), "1", 100+n))
		}
		Expect(due()).To(ConsistOf("f"))
		Expect(d.Size() / recordsPerRequest).To(BeNumerically("<=", 4096))
	})

	It("quarantines a request that is fatal for one caller for this caller only, although it is answered for others", func() {
		d.Observe(begin, "vm", endFrom("fatal", "f", "1", 1))
		d.Observe(begin, "vm", endFrom("fatal", "f", "2", 2))
		d.Observe(begin, "vm", endFrom("other", "f", "3", 2))
		d.Cleared(begin, suspect.Answer{Fingerprint: "f", Services: []string{"s"}})
		d.Observe(begin, "vm", endFrom("fatal", "f", "4", 3))
		Expect(due()).To(ConsistOf("fatal/f"))
	})

	It("quarantines a caller before the content when the evidence suffices against both, and says whose request it is", func() {
		for n := range 3 {
			d.Observe(begin, "vm", endFrom("fatal", "f", fmt.Sprint(n), n))
		}
		Expect(due()).To(ConsistOf("fatal/f"))
		Expect(d.Due(begin.Add(suspect.ConfirmDelay))[0].Evidence.Summary).To(Equal("GET h/f from fatal"))
	})

	It("quarantines a content whose tries come from another caller each time", func() {
		for n := range 3 {
			d.Observe(begin, "vm", endFrom(fmt.Sprint("caller-", n), "f", fmt.Sprint(n), n))
		}
		Expect(due()).To(ConsistOf("f"))
	})

	It("needs one end more for the content once it is quarantined for a caller, unless others were answered", func() {
		for n := range 3 {
			d.Observe(begin, "vm", endFrom("fatal", "f", fmt.Sprint(n), n))
		}
		d.Quarantined(begin, suspect.Decision{Fingerprint: "fatal/f", Duration: suspect.Quarantine})
		d.Observe(begin, "vm", endFrom("second", "f", "4", 4))
		Expect(due()).To(ConsistOf("f"))
		d.Cleared(begin, suspect.Answer{Fingerprint: "f", Services: []string{"s"}})
		Expect(due()).To(BeEmpty())
	})

	It("forgets evidence after ten minutes without another end", func() {
		observe("f", "1", 1, 2)
		d.Observe(begin.Add(11*time.Minute), "vm", endOf("f", "2", 3))
		Expect(d.Candidates()).To(BeEmpty())
	})
})

var _ = Describe("a guard of one VM", func() {
	var g *suspect.Guard
	report := func(after time.Duration) suspect.Report { return g.TakeReport(begin.Add(after)) }
	BeforeEach(func() { g = suspect.NewGuard("vm") })

	It("reports an end only if no other upstream answers the request meanwhile", func() {
		g.Ended(begin, endOf("f", "1", 1))
		g.Ended(begin, endOf("innocent", "2", 1))
		Expect(report(0).Empty()).To(BeTrue())
		g.Answered(begin.Add(30*time.Millisecond), content("innocent"), []string{"s"}, nil)
		due := g.NextWakeup(begin)
		Expect(g.TakeReport(due).Ends).To(Equal([]suspect.End{endOf("f", "1", 1)}))
		Expect(g.NextWakeup(due)).To(BeZero())
	})

	It("reports that a candidate was answered, before or after it became one", func() {
		candidate := []suspect.Candidate{{Fingerprint: "early", Services: []string{"s"}}, {Fingerprint: "late", Services: []string{"s", "missing"}}}
		g.Answered(begin, content("early"), []string{"s", "t"}, nil)
		g.AdoptCandidates(begin.Add(time.Second), candidate)
		Expect(report(time.Second).Answers).To(Equal([]suspect.Answer{{Fingerprint: "early", Services: []string{"s"}}}))
		g.Answered(begin.Add(2*time.Second), content("late"), []string{"s", "missing"}, []string{"missing"})
		Expect(report(2 * time.Second).Answers).To(Equal([]suspect.Answer{{Fingerprint: "late", Services: []string{"s"}}}))
	})

	It("does not report an answer that is long ago, after which the request may have become fatal", func() {
		g.Answered(begin, content("f"), []string{"s"}, nil)
		g.AdoptCandidates(begin.Add(time.Minute), []suspect.Candidate{{Fingerprint: "f", Services: []string{"s"}}})
		Expect(report(time.Minute).Empty()).To(BeTrue())
	})

	It("reports a request that is answered after its ends were reported", func() {
		g.Ended(begin, endOf("f", "1", 1))
		Expect(report(time.Second).Ends).To(HaveLen(1))
		g.Answered(begin.Add(2*time.Second), content("f"), []string{"s"}, nil)
		Expect(report(2 * time.Second).Answers).To(Equal([]suspect.Answer{{Fingerprint: "f", Services: []string{"s"}}}))
	})

	It("keeps the ends of one caller when another one's request with the same content is answered, and reports that once", func() {
		g.Ended(begin, endFrom("fatal", "f", "1", 1))
		Expect(report(time.Second).Ends).To(HaveLen(1))
		for range 2 {
			g.Answered(begin.Add(2*time.Second), from("other", "f"), []string{"s"}, nil)
		}
		Expect(report(2 * time.Second).Answers).To(ConsistOf(suspect.Answer{Fingerprint: "f", Services: []string{"s"}}))
		g.Answered(begin.Add(3*time.Second), from("other", "f"), []string{"s"}, nil)
		Expect(report(3 * time.Second).Empty()).To(BeTrue())
		suspected, _ := g.Suspected(from("fatal", "f"))
		Expect(suspected).To(BeTrue())
	})

	It("reports an end although another caller's request with the same content is answered meanwhile", func() {
		g.Ended(begin, endFrom("fatal", "f", "1", 1))
		g.Answered(begin, from("other", "f"), []string{"s"}, nil)
		Expect(report(time.Second).Ends).To(HaveLen(1))
	})

	It("refuses the requests of a quarantined caller only, and those of all for a quarantined content", func() {
		g.AdoptQuarantined(begin, []suspect.Quarantined{{Fingerprint: from("fatal", "f").Caller, Remaining: time.Minute}}, false)
		Expect(g.Refused(begin, from("fatal", "f"))).To(Equal(time.Minute))
		Expect(g.Refused(begin, from("other", "f"))).To(BeZero())
		g.AdoptQuarantined(begin, []suspect.Quarantined{{Fingerprint: "f", Remaining: time.Minute}}, false)
		Expect(g.Refused(begin, from("other", "f"))).To(Equal(time.Minute))
	})

	It("reports again what could not be delivered, and all recent ends to a new leader", func() {
		g.Ended(begin, endOf("f", "1", 1))
		lost := report(time.Second)
		g.PutBack(lost)
		Expect(report(time.Second)).To(Equal(lost))
		g.ResendAll()
		Expect(report(2 * time.Second)).To(Equal(lost))
		Expect(report(3 * time.Second).Empty()).To(BeTrue())
	})

	It("refuses a quarantined request until its quarantine ends, and adopts a list without it", func() {
		g.AdoptQuarantined(begin, []suspect.Quarantined{{Fingerprint: "f", Remaining: time.Minute}, {Fingerprint: "g", Remaining: time.Minute}}, false)
		Expect(g.Refused(begin.Add(20*time.Second), content("f"))).To(Equal(40 * time.Second))
		Expect(g.Refused(begin.Add(time.Minute), content("f"))).To(BeZero())
		g.AdoptQuarantined(begin, []suspect.Quarantined{{Fingerprint: "f", Remaining: time.Minute}}, true)
		Expect(g.Refused(begin, content("g"))).To(BeZero())
		Expect(g.Refused(begin, content("f"))).NotTo(BeZero())
	})

	It("refuses a request by its own evidence while the control group is away", func() {
		g.Ended(begin, endOf("f", "1", 1))
		g.Ended(begin, endOf("f", "1", 2))
		g.Ended(begin, endOf("f", "2", 3))
		now := begin.Add(suspect.ConfirmDelay)
		Expect(g.DecideLocally(now)).To(HaveLen(1))
		Expect(g.Refused(now, content("f"))).NotTo(BeZero())
	})

	It("remembers a bounded number of answered requests", func() {
		for n := range 50_000 {
			g.Answered(begin, from("c", fmt.Sprint(n)), []string{"s"}, nil)
		}
		Expect(g.AnswersKept() / recordsPerRequest).To(BeNumerically("<=", 4096))
	})
})

var _ = Describe("the caution of a search", func() {
	admit := func(c *suspect.Caution, shards ...int) []int {
		now, _ := c.Admit(shards)
		return now
	}

	It("sends everything until an upstream closes a connection", func() {
		c := new(suspect.NewCaution(false))
		Expect(admit(c, 0, 1, 2)).To(Equal([]int{0, 1, 2}))
		Expect(c.Answered(0)).To(BeEmpty())
		Expect(c.Active()).To(BeFalse())
	})

	It("goes on without caution after a single closed connection, which is mostly a reset", func() {
		c := new(suspect.NewCaution(false))
		Expect(admit(c, 0, 1, 2)).To(HaveLen(3))
		Expect(c.Closed(0)).To(BeEmpty())
		Expect(admit(c, 0, 1)).To(Equal([]int{0, 1}))
		Expect(c.Active()).To(BeFalse())
	})

	It("sends one second attempt after several ends, and the others once it is answered", func() {
		c := new(suspect.NewCaution(false))
		Expect(admit(c, 0, 1, 2, 3)).To(HaveLen(4))
		Expect(c.Closed(0)).To(BeEmpty())
		Expect(admit(c, 0)).To(Equal([]int{0}))
		Expect(c.Closed(1)).To(BeEmpty())
		Expect(admit(c, 1)).To(Equal([]int{1}))
		Expect(c.Closed(2)).To(BeEmpty())
		Expect(admit(c, 2)).To(BeEmpty())
		Expect(c.Closed(3)).To(BeEmpty())
		Expect(admit(c, 3)).To(BeEmpty())
		Expect(c.Answered(1)).To(Equal([]int{2, 3}))
		Expect(admit(c, 2, 3)).To(Equal([]int{2, 3}))
		Expect(c.Active()).To(BeFalse())
	})

	It("gives up the others if the upstream of that second attempt ends as well", func() {
		c := new(suspect.NewCaution(false))
		Expect(admit(c, 0, 1, 2)).To(HaveLen(3))
		c.Closed(0)
		Expect(admit(c, 0)).To(Equal([]int{0}))
		c.Closed(1)
		Expect(admit(c, 1)).To(Equal([]int{1}))
		c.Closed(2)
		Expect(admit(c, 2)).To(BeEmpty())
		Expect(c.Closed(1)).To(Equal([]int{2}))
		now, dropped := c.Admit([]int{0})
		Expect(now).To(BeEmpty())
		Expect(dropped).To(Equal([]int{0}))
	})

	It("tries a suspected search at one shard, and at the next one if that shard has no upstream", func() {
		c := new(suspect.NewCaution(true))
		Expect(admit(c, 2, 0, 1)).To(Equal([]int{2}))
		Expect(c.GaveUp(2)).To(Equal([]int{0, 1}))
		Expect(admit(c, 0, 1)).To(Equal([]int{0}))
		Expect(c.Closed(0)).To(Equal([]int{1}))
	})

	It("retries the probe itself after another failure than an end", func() {
		c := new(suspect.NewCaution(true))
		Expect(admit(c, 0, 1)).To(Equal([]int{0}))
		Expect(admit(c, 0)).To(Equal([]int{0}))
	})
})
