package suspect_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/registry"
	"github.com/wisteriamux/wisteriamux/internal/suspect"
)

const (
	fleetStep   = 5 * time.Millisecond
	workTime    = 20 * time.Millisecond
	restartTime = time.Second
	// checkTime is how long a VM takes to find out that an upstream has ended, and spreadTime the way to and from the control
	// group.
	checkTime  = 5 * time.Millisecond
	spreadTime = 25 * time.Millisecond
	// settledAfter and allowedRepeats are the users' bound.
	settledAfter   = 4 * time.Second
	allowedRepeats = 3
)

// fatal is the request that ends upstreams.
var fatal = from("fatal-caller", "fatal")

// popularCallers is the number of callers of popular requests.
const popularCallers = 40

// trouble is what happens in a simulated fleet beside the load.
type trouble struct {
	// fatalEvery is the interval of the fatal request, 0 for none.
	fatalEvery time.Duration
	// crashEvery is the mean time between two ends of one upstream without a cause.
	crashEvery time.Duration
	// massEnds are the times at which half of the upstreams end at once.
	massEnds []time.Duration
	// cutOff is the number of VMs that are cut off from the control group.
	cutOff int
	// sharedTarget makes other callers send requests that are like the fatal one, which upstreams answer.
	sharedTarget bool
	// ignoreAnswers makes the fleet a mutant that does not clear requests that upstreams have answered.
	ignoreAnswers bool
	// newLeaderEvery is the time between two elections, 0 for none. A new leader has no evidence.
	newLeaderEvery time.Duration
}

// attempt is a request at one upstream.
type attempt struct {
	vm                int
	request           suspect.Fingerprints
	try, service      string
	due               time.Time
	second, suspected bool
}

type simulatedUpstream struct {
	process  registry.Process
	service  string
	upAt     time.Time
	inFlight []attempt
}

// event is something that happens later.
type event struct {
	at time.Time
	do func()
}

// fleet simulates VMs with a guard each, a control group and upstreams. Only decisions are real; nothing uses a clock.
type fleet struct {
	random    *rand.Rand
	now       time.Time
	guards    []*suspect.Guard
	detector  *suspect.Detector
	upstreams []*simulatedUpstream
	services  int
	events    []event
	trouble   trouble
	tries     int
	// candidates is the number of candidates in the last list that was spread.
	candidates int

	innocent, refused int
	falseDecisions    []string
	fatalArrivals     []time.Time
	fatalEnds         int
	thirdEnd          time.Time
}

func newFleet(seed uint64, vms, services, copies int, t trouble) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), detector: suspect.NewDetector(), services: services, trouble: t,
	}
	for n := range vms {
		f.guards = append(f.guards, suspect.NewGuard(fmt.Sprintf("vm-%d", n)))
	}
	for s := range services {
		for c := range copies {
			f.upstreams = append(f.upstreams, &simulatedUpstream{
				process: registry.Process{Instance: fmt.Sprintf("u-%d-%d", s, c)}, service: fmt.Sprintf("s-%d", s), upAt: f.now,
			})
		}
	}
	return f
}

func (f *fleet) later(after time.Duration, do func()) {
	f.events = append(f.events, event{at: f.now.Add(after), do: do})
}

func (f *fleet) runEvents() {
	due := f.events
	f.events = nil
	for _, e := range due {
		if e.at.After(f.now) {
			f.events = append(f.events, e)
			continue
		}
		e.do()
	}
}

// send sends an attempt to an upstream of its service that is up.
func (f *fleet) send(a attempt) {
	var up []*simulatedUpstream
	for _, u := range f.upstreams {
		if u.service == a.service && !u.upAt.After(f.now) {
			up = append(up, u)
		}
	}
	if len(up) == 0 {
		return
	}
	u := up[f.random.IntN(len(up))]
	a.due = f.now.Add(workTime)
	u.inFlight = append(u.inFlight, a)
	if a.request != fatal {
		return
	}
	f.fatalArrivals = append(f.fatalArrivals, f.now)
	f.fatalEnds++
	if f.fatalEnds == 3 {
		f.thirdEnd = f.now
	}
	f.end(u)
}

// end ends an upstream. The VMs whose requests were there find out, and retry those that are not suspected once.
func (f *fleet) end(u *simulatedUpstream) {
	lost := u.inFlight
	process := u.process
	u.inFlight = nil
	u.process.Born++
	u.upAt = f.now.Add(restartTime)
	f.later(checkTime, func() {
		for _, a := range lost {
			f.guards[a.vm].Ended(f.now, suspect.End{Fingerprint: a.request.Content, CallerFingerprint: a.request.Caller, Try: a.try, Service: a.service, Upstream: process})
			if !a.second && !a.suspected {
				a.second = true
				f.send(a)
			}
		}
	})
}

func (f *fleet) newRequest(request suspect.Fingerprints, service string) {
	f.tries++
	vm := f.random.IntN(len(f.guards))
	if request != fatal {
		f.innocent++
	}
	if f.guards[vm].Refused(f.now, request) > 0 {
		if request != fatal {
			f.refused++
		}
		return
	}
	suspected, _ := f.guards[vm].Suspected(request)
	f.send(attempt{vm: vm, request: request, try: fmt.Sprint(f.tries), service: service, suspected: suspected})
}

// finishWork lets the upstreams answer what is due.
func (f *fleet) finishWork() {
	for _, u := range f.upstreams {
		var rest []attempt
		for _, a := range u.inFlight {
			if a.due.After(f.now) {
				rest = append(rest, a)
				continue
			}
			if !f.trouble.ignoreAnswers {
				f.guards[a.vm].Answered(f.now, a.request, []string{a.service}, nil)
			}
		}
		u.inFlight = rest
	}
}

// exchange lets VMs report and decide, and the control group decide and spread.
func (f *fleet) exchange() {
	for n, guard := range f.guards {
		if due := guard.NextWakeup(f.now); due.IsZero() || due.After(f.now) {
			continue
		}
		f.recordDecisions(guard.DecideLocally(f.now))
		report := guard.TakeReport(f.now)
		if n < f.trouble.cutOff {
			guard.PutBack(report)
			continue
		}
		vm := fmt.Sprintf("vm-%d", n)
		f.later(spreadTime, func() {
			for _, end := range report.Ends {
				f.detector.Observe(f.now, vm, end)
			}
			for _, answer := range report.Answers {
				f.detector.Cleared(f.now, answer)
			}
		})
	}
	for _, decision := range f.detector.Due(f.now) {
		f.recordDecisions([]suspect.Decision{decision})
		f.detector.Quarantined(f.now, decision)
		f.later(spreadTime, func() {
			for _, guard := range f.guards[f.trouble.cutOff:] {
				guard.AdoptQuarantined(f.now, []suspect.Quarantined{{Fingerprint: decision.Fingerprint, Remaining: decision.Duration}}, false)
			}
		})
	}
	list := f.detector.Candidates()
	if len(list) == 0 && f.candidates == 0 {
		return
	}
	f.candidates = len(list)
	f.later(spreadTime, func() {
		for _, guard := range f.guards[f.trouble.cutOff:] {
			guard.AdoptCandidates(f.now, list)
		}
	})
}

func (f *fleet) recordDecisions(decisions []suspect.Decision) {
	for _, decision := range decisions {
		if decision.Fingerprint != fatal.Caller && (decision.Fingerprint != fatal.Content || f.trouble.sharedTarget) {
			f.falseDecisions = append(f.falseDecisions, fmt.Sprintf("%s after %s: %+v", decision.Fingerprint, f.now.Sub(time.Unix(1000, 0)), decision.Evidence))
		}
	}
}

// run plays the fleet. Half of the innocent requests are each sent once, the others again and again by many callers.
func (f *fleet) run(duration time.Duration, perSecond float64) {
	begin := f.now
	for f.now.Sub(begin) < duration {
		f.now = f.now.Add(fleetStep)
		elapsed := f.now.Sub(begin)
		f.runEvents()
		f.finishWork()
		for wanted := perSecond * fleetStep.Seconds(); f.random.Float64() < wanted; wanted-- {
			service := f.random.IntN(f.services)
			request := from("unique-caller", fmt.Sprintf("unique-%d", f.tries))
			if f.random.IntN(2) == 0 {
				caller := fmt.Sprintf("caller-%d", f.random.IntN(popularCallers))
				request = from(caller, fmt.Sprintf("popular-%d-%d", service, f.random.IntN(5)))
				if f.trouble.sharedTarget && service == 0 {
					request = from(caller, fatal.Content)
				}
			}
			f.newRequest(request, fmt.Sprintf("s-%d", service))
		}
		if f.trouble.fatalEvery > 0 && elapsed%f.trouble.fatalEvery < fleetStep && elapsed > time.Second {
			f.newRequest(fatal, fmt.Sprintf("s-%d", f.random.IntN(min(f.services, 1))))
		}
		for _, at := range f.trouble.massEnds {
			if elapsed >= at && elapsed-at < fleetStep {
				for n, u := range f.upstreams {
					if n%2 == 0 && !u.upAt.After(f.now) {
						f.end(u)
					}
				}
			}
		}
		for _, u := range f.upstreams {
			if f.trouble.crashEvery > 0 && !u.upAt.After(f.now) && f.random.Float64() < fleetStep.Seconds()/f.trouble.crashEvery.Seconds() {
				f.end(u)
			}
		}
		if f.trouble.newLeaderEvery > 0 && elapsed%f.trouble.newLeaderEvery < fleetStep {
			f.detector = suspect.NewDetector()
			for _, guard := range f.guards {
				guard.ResendAll()
			}
		}
		f.exchange()
	}
}

// lateRepeats returns the arrivals of the fatal request after the users' bound.
func (f *fleet) lateRepeats() int {
	late := 0
	for _, at := range f.fatalArrivals {
		if f.fatalEnds >= 3 && at.After(f.thirdEnd.Add(settledAfter)) {
			late++
		}
	}
	return late
}

// seedsFor returns the number of seeds that are played: WMUX_FLEET_SEEDS, or few, since large fleets take long.
func seedsFor(vms int) uint64 {
	if seeds, err := strconv.ParseUint(os.Getenv("WMUX_FLEET_SEEDS"), 10, 64); err == nil {
		return seeds
	}
	if vms > 10 {
		return 1
	}
	return 3
}

var _ = Describe("a fleet of guards with one control group", func() {
	mass := []time.Duration{4 * time.Second, 9 * time.Second, 9500 * time.Millisecond, 14 * time.Second}
	sizes := []struct {
		vms       int
		perSecond float64
	}{{7, 200}, {88, 400}, {300, 400}}

	for _, size := range sizes {
		for name, t := range map[string]trouble{
			"ends without a cause":                             {crashEvery: 10 * time.Second},
			"half of the upstreams ending at once, repeatedly": {massEnds: mass},
			"both":                {crashEvery: 5 * time.Second, massEnds: mass},
			"both, and elections": {crashEvery: 5 * time.Second, massEnds: mass, newLeaderEvery: 3 * time.Second},
			"VMs that are cut off from the control group": {crashEvery: 5 * time.Second, massEnds: mass, cutOff: size.vms / 4},
			"a fatal request": {fatalEvery: 300 * time.Millisecond},
			"a fatal request that comes every five seconds":                  {fatalEvery: 5 * time.Second},
			"a fatal request beside ends without a cause":                    {fatalEvery: 700 * time.Millisecond, crashEvery: 10 * time.Second},
			"a fatal request beside half of them ending at once":             {fatalEvery: 300 * time.Millisecond, massEnds: mass},
			"a fatal request beside both":                                    {fatalEvery: 500 * time.Millisecond, crashEvery: 5 * time.Second, massEnds: mass},
			"a fatal request like those of other callers":                    {fatalEvery: 300 * time.Millisecond, sharedTarget: true},
			"a fatal request like those of other callers, beside other ends": {fatalEvery: 500 * time.Millisecond, crashEvery: 5 * time.Second, massEnds: mass, sharedTarget: true},
			"a fatal request beside one early election":                      {fatalEvery: 300 * time.Millisecond, newLeaderEvery: 11 * time.Second},
		} {
			It(fmt.Sprintf("bounds the repeats and refuses no innocent request beyond the users' bound: %d VMs, %s", size.vms, name), func() {
				falseRefusals, innocent := 0, 0
				for seed := range seedsFor(size.vms) {
					f := newFleet(seed, size.vms, 4, 6, t)
					f.run(30*time.Second, size.perSecond)
					falseRefusals += f.refused
					innocent += f.innocent
					GinkgoWriter.Printf("seed %d: %d fatal arrivals, %d late; %d of %d innocent requests refused; %q\n",
						seed, len(f.fatalArrivals), f.lateRepeats(), f.refused, f.innocent, f.falseDecisions)
					Expect(f.lateRepeats()).To(BeNumerically("<=", allowedRepeats), "seed %d", seed)
					Expect(float64(f.refused)).To(BeNumerically("<=", 5+float64(f.innocent)/500), "seed %d: %q", seed, f.falseDecisions)
				}
			})
		}
	}

	It("would refuse popular innocent requests if answers did not clear them", func() {
		f := newFleet(1, 7, 4, 6, trouble{crashEvery: 5 * time.Second, massEnds: mass, ignoreAnswers: true})
		f.run(30*time.Second, 200)
		Expect(float64(f.refused)).To(BeNumerically(">", 5+float64(f.innocent)/500))
	})
})
