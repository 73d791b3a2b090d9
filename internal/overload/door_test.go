package overload_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/overload"
)

// playSeeds is the number of runs of each play whose counts are added.
const playSeeds = 10

// sum plays a load with several seeds.
func (p play) sum() *tallies {
	sum := &tallies{}
	for seed := range uint64(playSeeds) {
		p.seed = seed
		r := p.run()
		sum.all.add(&r.all)
		sum.after.add(&r.after)
		sum.immediate.add(&r.immediate)
		sum.patient.add(&r.patient)
		for n := range r.teams {
			sum.teams[n].add(&r.teams[n])
		}
		for n := range r.ranks {
			sum.ranks[n].add(&r.ranks[n])
		}
		sum.attempts += r.attempts
		sum.refused += r.refused
		sum.retryAfters = append(sum.retryAfters, r.retryAfters...)
	}
	return sum
}

// steady and spike are loads of all teams, sevenfold one in which a single team sends seven times its usual load.
func steady(int, time.Duration) float64 { return 1 }

func spike(int, time.Duration) float64 { return 1.7 }

func sevenfold(heavy int) func(int, time.Duration) float64 {
	return func(team int, _ time.Duration) float64 {
		if team == heavy {
			return 7
		}
		return 1
	}
}

const (
	spikeLasts = 3 * time.Second
	heavyLasts = 10 * time.Second
	// largestTeam sends a quarter of the usual load, secondTeam 0.06 of it.
	largestTeam = 0
	secondTeam  = 1
)

// leastCounted is the number of requests below which the part that a team was served is chance.
const leastCounted = 60

// expectQuarter checks that a group is served at least a quarter as often as all.
func expectQuarter(all, group *tally, name string) {
	GinkgoHelper()
	if group.requests >= leastCounted {
		Expect(group.part()).To(BeNumerically(">=", all.part()/4), name)
	}
}

var _ = Describe("a Door under the load of 85 VMs", func() {
	// The table of docs/design/admission.md: OVERLOAD_TABLE=1 go test -v ./internal/overload.
	It("prints the results of both controllers", func() {
		if os.Getenv("OVERLOAD_TABLE") == "" {
			Skip("prints a table, set OVERLOAD_TABLE")
		}
		plays := []struct {
			name  string
			play  play
			heavy int
		}{
			{"usual load", play{load: steady, lasts: heavyLasts}, -1},
			{"spike, teams", play{load: spike, lasts: spikeLasts}, -1},
			{"spike, no teams", play{load: spike, lasts: spikeLasts, noTeams: true}, -1},
			{"spike, three ranks", play{load: spike, lasts: spikeLasts, ranks: 3}, -1},
			{"spike, 0.3 repeat at once", play{load: spike, lasts: spikeLasts, immediate: 0.3}, -1},
			{"spike, all repeat at once", play{load: spike, lasts: spikeLasts, immediate: 1}, -1},
			{"largest team x 7", play{load: sevenfold(largestTeam), lasts: heavyLasts}, largestTeam},
			{"second team x 7", play{load: sevenfold(secondTeam), lasts: heavyLasts}, secondTeam},
			{"largest team x 7, 5 VMs", play{load: sevenfold(largestTeam), lasts: heavyLasts, vms: 5}, largestTeam},
			{"second team x 7, 5 VMs", play{load: sevenfold(secondTeam), lasts: heavyLasts, vms: 5}, secondTeam},
		}
		for _, c := range plays {
			for _, ranked := range []bool{false, true} {
				c.play.ranked = ranked
				r := c.play.sum()
				others := 0.0
				if c.heavy >= 0 {
					others = r.others(c.heavy).part()
				}
				AddReportEntry(c.name, fmt.Sprintf(
					"ranked=%v in time %.3f, first tries refused %.3f, late or lost %.3f, come back as told: admitted %.3f, served %.3f, first tries served %.3f, at once %.3f, patient %.3f, ranks %.3f %.3f %.3f, largest team %.3f, others %.3f, after %.3f",
					ranked, r.all.part(), 1-r.all.firstPart(), float64(r.all.late)/float64(r.all.requests), r.all.returnedAdmittedPart(), r.all.returnedPart(), float64(r.all.served-r.all.returnedServed)/float64(r.all.firstTries), r.immediate.part(), r.patient.part(),
					r.ranks[0].part(), r.ranks[1].part(), r.ranks[2].part(), r.teams[0].part(), others, r.after.part()))
			}
		}
	})

	It("serves more than twice as many requests of a spike in time as the Controller", func() {
		today, ranked := play{load: spike, lasts: spikeLasts}.sum(), play{load: spike, lasts: spikeLasts, ranked: true}.sum()
		Expect(ranked.all.part()).To(BeNumerically(">", 2*today.all.part()))
	})

	It("serves the usual load at least as well as the Controller", func() {
		today, ranked := play{load: steady, lasts: heavyLasts}.sum(), play{load: steady, lasts: heavyLasts, ranked: true}.sum()
		Expect(ranked.all.part()).To(BeNumerically(">=", today.all.part()))
		Expect(ranked.all.part()).To(BeNumerically(">=", 0.97))
	})

	It("serves each team and each rank at least a quarter as often as all, and urgent ranks more often", func() {
		for _, p := range []play{
			{ranked: true, load: spike, lasts: spikeLasts},
			{ranked: true, load: spike, lasts: spikeLasts, ranks: 3},
			{ranked: true, load: sevenfold(largestTeam), lasts: heavyLasts},
			{ranked: true, load: sevenfold(secondTeam), lasts: heavyLasts},
		} {
			r := p.sum()
			for n := range r.teams {
				expectQuarter(&r.all, &r.teams[n], teamName(n))
			}
			for n := range r.ranks {
				expectQuarter(&r.all, &r.ranks[n], strconv.Itoa(n))
			}
			if p.ranks == 3 {
				Expect(r.ranks[0].part()).To(BeNumerically(">", r.ranks[1].part()))
				Expect(r.ranks[1].part()).To(BeNumerically(">", r.ranks[2].part()))
			}
		}
	})

	// The figure that the design page asks for.
	It("serves the other teams at 0.98 or more of what they get without a team at seven times its load", func() {
		for _, heavy := range []int{largestTeam, secondTeam} {
			without := play{ranked: true, load: steady, lasts: heavyLasts}.sum().others(heavy).part()
			with := play{ranked: true, load: sevenfold(heavy), lasts: heavyLasts}.sum().others(heavy).part()
			Expect(with).To(BeNumerically(">=", 0.98*without), teamName(heavy))
		}
	})

	// Guards what is reached of the figure above.
	It("serves most requests of the other teams, of which the Controller serves next to none", func() {
		for _, heavy := range []int{largestTeam, secondTeam} {
			today := play{load: sevenfold(heavy), lasts: heavyLasts}.sum().others(heavy).part()
			with := play{ranked: true, load: sevenfold(heavy), lasts: heavyLasts}.sum()
			Expect(with.others(heavy).part()).To(BeNumerically(">=", max(0.7, 5*today)), teamName(heavy))
			Expect(with.others(heavy).part()).To(BeNumerically(">", with.teams[heavy].part()), teamName(heavy))
		}
	})

	// chance is the difference between two plays that says nothing.
	const chance = 0.03

	It("gives callers that repeat at once nothing for it", func() {
		once := play{ranked: true, load: spike, lasts: spikeLasts, immediate: 0.3, tries: 1}.sum()
		repeated := play{ranked: true, load: spike, lasts: spikeLasts, immediate: 0.3}.sum()
		Expect(repeated.immediate.part()).To(BeNumerically("<=", once.immediate.part()+chance))
		Expect(repeated.patient.part()).To(BeNumerically(">", 1.5*repeated.immediate.part()))
	})

	// The figure that the design page asks for.
	It("serves callers that wait as told as often as if the others did not repeat at once", func() {
		once := play{ranked: true, load: spike, lasts: spikeLasts, immediate: 0.3, tries: 1}.sum()
		repeated := play{ranked: true, load: spike, lasts: spikeLasts, immediate: 0.3}.sum()
		Expect(repeated.patient.part()).To(BeNumerically(">=", once.patient.part()-chance))
	})

	It("names times that are spread and that callers honor", func() {
		r := play{ranked: true, load: spike, lasts: spikeLasts}.sum()
		Expect(len(r.retryAfters)).To(BeNumerically(">", 100))
		early, late := 0, 0
		for _, after := range r.retryAfters {
			Expect(after).To(BeNumerically("<=", playLimit/3))
			if after < playLimit/8 {
				early++
			}
			if after > playLimit/5 {
				late++
			}
		}
		Expect(early).To(BeNumerically(">", len(r.retryAfters)/20))
		Expect(late).To(BeNumerically(">", len(r.retryAfters)/20))
	})
})

var _ = Describe("a Door", func() {
	const objective = 200 * time.Millisecond
	start := time.Unix(1_000_000, 0)
	var door *overload.Door
	BeforeEach(func() { door = &overload.Door{} })

	// overloaded makes the queues of the door's upstreams look full.
	overloaded := func(now time.Time) {
		for range 3 {
			door.RecordLate(now, 2*objective, objective)
		}
	}

	// admittedPart returns the part of arrivals that is admitted. The queues stay as long as they are.
	admittedPart := func(now time.Time, count int, arrival func(n int) overload.Arrival) (parts []float64) {
		random := rand.New(rand.NewPCG(1, 2))
		kinds := 2
		admitted, all := make([]int, kinds), make([]int, kinds)
		for n := range count {
			now = now.Add(10 * time.Millisecond)
			if n%20 == 0 {
				door.RecordLate(now, 2*objective, objective)
			}
			a := arrival(n)
			verdict := door.Admit(now, a, random.Float64())
			all[n%kinds]++
			if verdict.Admitted {
				admitted[n%kinds]++
			}
		}
		for n := range kinds {
			parts = append(parts, float64(admitted[n])/float64(all[n]))
		}
		return parts
	}

	It("admits everything after a restart", func() {
		for range 1000 {
			Expect(door.Admit(start, overload.Arrival{Objective: objective}, 0).Admitted).To(BeTrue())
		}
	})

	// Guards against callers with a shorter time limit, who look like returning ones.
	It("refuses nothing because of returning callers while its own requests were not late", func() {
		for n := range 1000 {
			now := start.Add(time.Duration(n) * 100 * time.Millisecond)
			Expect(door.Admit(now, overload.Arrival{Returning: true, Waited: time.Second, Objective: objective}, 0).Admitted).To(BeTrue())
		}
	})

	It("refuses nothing because of late requests whose upstreams respond fast", func() {
		for n := range 100 {
			door.RecordLate(start.Add(time.Duration(n)*time.Second), objective/10, objective)
		}
		Expect(door.Refusing(start.Add(100 * time.Second))).To(BeFalse())
	})

	It("refuses a part after a single late request of a VM that sees few", func() {
		door.RecordLate(start, 2*objective, objective)
		Expect(door.Fraction(start)).To(BeNumerically(">", 0.5))
		Expect(door.Admit(start, overload.Arrival{Objective: objective}, 0.01).Admitted).To(BeFalse())
		Expect(door.Admit(start, overload.Arrival{Objective: objective}, 0.99).Admitted).To(BeTrue())
	})

	It("is not thrown off by a single late request among hundreds", func() {
		now := start
		for range 300 {
			now = now.Add(5 * time.Millisecond)
			door.RecordInTime(now, objective/5, objective)
		}
		door.RecordLate(now.Add(5*time.Millisecond), 2*objective, objective)
		Expect(door.Refusing(now)).To(BeFalse())
	})

	It("refuses nothing after hours without requests, and after the clock was set back", func() {
		overloaded(start)
		Expect(door.Refusing(start)).To(BeTrue())
		later := start.Add(5 * time.Hour)
		Expect(door.Admit(later, overload.Arrival{Objective: objective}, 0).Admitted).To(BeTrue())
		Expect(door.Fraction(start.Add(-time.Hour))).To(BeNumerically("<=", 1))
		Expect(door.Admit(start.Add(-time.Hour), overload.Arrival{Objective: objective}, 0.999).Admitted).To(BeTrue())
	})

	It("serves urgent ranks first, and the least urgent one at least a quarter as often as all", func() {
		overloaded(start)
		parts := admittedPart(start, 4000, func(n int) overload.Arrival { return overload.Arrival{Rank: n % 2, Objective: objective} })
		Expect(parts[0]).To(BeNumerically(">", parts[1]))
		Expect(parts[1]).To(BeNumerically(">=", (parts[0]+parts[1])/2/4*0.6))
	})

	It("serves callers that wait as told before first attempts", func() {
		overloaded(start)
		parts := admittedPart(start, 4000, func(n int) overload.Arrival {
			return overload.Arrival{Returning: n%2 == 0, Waited: time.Second, Objective: objective}
		})
		Expect(parts[0]).To(BeNumerically(">", parts[1]))
	})

	It("refuses the team with the highest demand first", func() {
		overloaded(start)
		parts := admittedPart(start, 4000, func(n int) overload.Arrival {
			if n%2 == 0 {
				return overload.Arrival{Team: "small-" + strconv.Itoa(n%40), Objective: objective}
			}
			return overload.Arrival{Team: "large", Objective: objective}
		})
		Expect(parts[0]).To(BeNumerically(">", 2*parts[1]))
	})

	// Guards against names of teams, which callers of a table with many teams determine, using up the memory of a VM.
	It("keeps its memory bounded for thousands of teams and ranks, and still finds the one with the highest demand", func() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		overloaded(start)
		parts := admittedPart(start, 40_000, func(n int) overload.Arrival {
			if n%2 == 0 {
				return overload.Arrival{Team: "one-of-many-" + strconv.Itoa(n), Objective: objective}
			}
			return overload.Arrival{Team: "large", Objective: objective}
		})
		Expect(parts[0]).To(BeNumerically(">", parts[1]))
		for n := range 10_000 {
			door.Admit(start.Add(time.Hour), overload.Arrival{Team: strconv.Itoa(n), Rank: n}, 0.5)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		Expect(int64(after.HeapAlloc) - int64(before.HeapAlloc)).To(BeNumerically("<", 512<<10))
		runtime.KeepAlive(door)
	})
})
