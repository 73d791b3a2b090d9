package overload_test

import (
	"cmp"
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/overload"
)

// The plays send the requests of 85 VMs to one queue with the slots of a service. baseRate is the usual rate of all requests, and
// the slots suffice for sufficesFor times that rate.
const (
	playVMs       = 85
	playTeams     = 85
	baseRate      = 50.0
	sufficesFor   = 1.2
	playSlots     = 6
	playService   = time.Duration(playSlots / (sufficesFor * baseRate) * float64(time.Second))
	playObjective = 300 * time.Millisecond
	// playMaxWait is the wait in full queues, of eight requests at each of three upstreams.
	playMaxWait = 24 * playService / playSlots
	playLimit   = 2500 * time.Millisecond
	// troubleAt is the start of the disturbance, after the VMs have seen the usual load for a while.
	troubleAt = 30 * time.Second
	// immediateTries is how often a caller that does not wait sends a request, playRoundTrip how long each try takes.
	immediateTries = 4
	playRoundTrip  = 8 * time.Millisecond
	// patientTries bounds the tries of a caller that waits as it is told.
	patientTries = 4
	// drawSlot is how long all tries of a request have the same draw.
	drawSlot = time.Second
)

// gate is an admission controller of one VM. The evidence is the latency of a request, where goal is the time from its arrival to
// the goal that its VM sets.
type gate interface {
	admit(now time.Time, a overload.Arrival, waited time.Duration, draw float64) overload.Verdict
	evidence(now time.Time, latency, goal time.Duration)
}

// doorGate uses a Door as internal/router does.
type doorGate struct{ door overload.Door }

func (g *doorGate) admit(now time.Time, a overload.Arrival, _ time.Duration, draw float64) overload.Verdict {
	return g.door.Admit(now, a, draw)
}

func (g *doorGate) evidence(now time.Time, latency, _ time.Duration) {
	if latency > playObjective {
		g.door.RecordLate(now, latency, playObjective)
		return
	}
	g.door.RecordInTime(now, latency, playObjective)
}

// fractionGate uses a Controller as internal/router does: its draws are random, and Retry-After is 2 s.
type fractionGate struct {
	controller overload.Controller
	random     *rand.Rand
}

func (g *fractionGate) admit(now time.Time, _ overload.Arrival, waited time.Duration, _ float64) overload.Verdict {
	const limitTolerance = 40 * time.Millisecond
	return overload.Verdict{
		Admitted: g.controller.Admit(now, waited > limitTolerance, g.random.Float64()), RetryAfter: 2 * time.Second,
	}
}

func (g *fractionGate) evidence(now time.Time, latency, goal time.Duration) {
	if latency > goal {
		g.controller.RecordLate(now, latency, goal)
		return
	}
	g.controller.RecordInTime(now, latency, goal)
}

// play describes a load.
type play struct {
	ranked bool
	seed   uint64
	// load is the factor by which the rate of a team of a rank exceeds its usual one, at a time since troubleAt.
	load func(team int, since time.Duration) float64
	// lasts is how long the disturbance lasts. Only requests that begin in it are counted.
	lasts time.Duration
	// immediate is the part of the callers that repeat a refused request at once.
	immediate float64
	// ranks is the number of ranks, drawn at random for each request; 1 if 0.
	ranks int
	// noTeams makes all callers one team.
	noTeams bool
	// vms is the number of VMs, playVMs if 0.
	vms int
	// tries is how often a caller that does not wait sends a request, immediateTries if 0.
	tries int
}

// tally counts the requests of a group of callers. Served requests met the latency objective of the try that was admitted.
type tally struct {
	requests, served int
	// returned counts tries that came back as told, and returnedServed those that were then served.
	returned, returnedServed, returnedAdmitted int
	// firstTries counts first tries and firstAdmitted those that were admitted.
	firstTries, firstAdmitted int
	late                      int
}

func (t *tally) part() float64 { return float64(t.served) / math.Max(1, float64(t.requests)) }

func (t *tally) returnedPart() float64 {
	return float64(t.returnedServed) / math.Max(1, float64(t.returned))
}

// returnedAdmittedPart returns the part of tries of callers that came back as told that was admitted.
func (t *tally) returnedAdmittedPart() float64 {
	return float64(t.returnedAdmitted) / math.Max(1, float64(t.returned))
}

func (t *tally) firstPart() float64 {
	return float64(t.firstAdmitted) / math.Max(1, float64(t.firstTries))
}

func (t *tally) add(o *tally) {
	t.requests += o.requests
	t.served += o.served
	t.returned += o.returned
	t.returnedServed += o.returnedServed
	t.returnedAdmitted += o.returnedAdmitted
	t.firstTries += o.firstTries
	t.firstAdmitted += o.firstAdmitted
	t.late += o.late
}

// tallies holds the counts of all, of each team and rank, and of callers that repeat at once and that wait.
type tallies struct {
	all, immediate, patient tally
	// after counts the requests of the 3 s after the disturbance.
	after tally
	teams [playTeams]tally
	ranks [3]tally
	// attempts counts tries, and refused those that were refused.
	attempts, refused int
	// retryAfters holds the times that were named.
	retryAfters []time.Duration
}

func (t *tallies) others(team int) *tally {
	sum := &tally{}
	for n := range t.teams {
		if n != team {
			sum.add(&t.teams[n])
		}
	}
	return sum
}

// caller is one request of a caller and its tries.
type caller struct {
	id         uint64
	team, rank int
	immediate  bool
	// counted is set if the caller begins during the disturbance.
	counted bool
	// after is set if the caller begins after the disturbance.
	after bool
	began time.Duration
	tries int
	// told is when the caller was told to come back, 0 if it was not or does not wait.
	told time.Duration
}

// event is a try of a caller, or evidence at a VM.
type event struct {
	at       time.Duration
	caller   *caller
	vm       int
	evidence bool
	latency  time.Duration
	goal     time.Duration
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// teamWeight returns the part of the usual load that a team sends: a quarter by the first, the others less and less.
func teamWeight(team int) float64 {
	const largest = 0.25
	if team == 0 {
		return largest
	}
	sum := 0.0
	for n := 1; n < playTeams; n++ {
		sum += math.Pow(float64(n), -0.8)
	}
	return (1 - largest) * math.Pow(float64(team), -0.8) / sum
}

// stage is the state of a running play.
type stage struct {
	play   play
	random *rand.Rand
	gates  []gate
	queue  events
	// freeAt holds the times at which the slots are free.
	freeAt  [playSlots]time.Duration
	tallies *tallies
}

func (p play) vmCount() int { return cmp.Or(p.vms, playVMs) }

func (p play) run() *tallies {
	s := &stage{play: p, random: rand.New(rand.NewPCG(p.seed, 7)), tallies: &tallies{}}
	for range s.play.vmCount() {
		if p.ranked {
			s.gates = append(s.gates, &doorGate{})
		} else {
			s.gates = append(s.gates, &fractionGate{random: s.random})
		}
	}
	for n := range playTeams {
		s.schedule(n)
	}
	heap.Init(&s.queue)
	for s.queue.Len() > 0 {
		e := heap.Pop(&s.queue).(event)
		if e.evidence {
			s.gates[e.vm].evidence(playStart.Add(e.at), e.latency, e.goal)
		} else {
			s.try(e)
		}
	}
	return s.tallies
}

var playStart = time.Unix(1_000_000, 0)

// schedule adds the first tries of a team's callers, a Poisson process whose rate changes with the disturbance.
func (s *stage) schedule(team int) {
	usual := teamWeight(team) * baseRate
	highest := usual * math.Max(1, s.play.load(team, 0))
	end := troubleAt + s.play.lasts + 3*time.Second
	for at := time.Duration(0); at < end; at += time.Duration(s.random.ExpFloat64() / highest * float64(time.Second)) {
		during := at >= troubleAt && at < troubleAt+s.play.lasts
		rate := usual
		if during {
			rate = usual * s.play.load(team, at-troubleAt)
		}
		if s.random.Float64() >= rate/highest {
			continue
		}
		c := &caller{
			id: s.random.Uint64(), team: team, counted: during, after: at >= troubleAt+s.play.lasts, began: at,
			immediate: s.random.Float64() < s.play.immediate, rank: s.random.IntN(max(1, s.play.ranks)),
		}
		s.queue = append(s.queue, event{at: at, caller: c})
	}
}

func teamName(team int) string {
	return "team-" + string(rune('A'+team%26)) + string(rune('A'+team/26))
}

// groups returns the tallies that count the caller.
func (s *stage) groups(c *caller) []*tally {
	if c.after {
		return []*tally{&s.tallies.after}
	}
	if !c.counted {
		return nil
	}
	groups := []*tally{&s.tallies.all, &s.tallies.teams[c.team], &s.tallies.ranks[c.rank], &s.tallies.patient}
	if c.immediate {
		groups[3] = &s.tallies.immediate
	}
	return groups
}

func (s *stage) try(e event) {
	c := e.caller
	waited := e.at - c.began
	patience := (playLimit - waited) / 3
	arrival := overload.Arrival{Rank: c.rank, Team: teamName(c.team), Waited: waited, Objective: playObjective, Patience: patience,
		Returning: waited >= overload.ShortestRetryAfter(playLimit/3)}
	if s.play.noTeams {
		arrival.Team = ""
	}
	// The balancer sends each try to any VM.
	vm := s.random.IntN(s.play.vmCount())
	verdict := s.gates[vm].admit(playStart.Add(e.at), arrival, waited, drawOf(c.id, e.at, arrival))
	groups := s.groups(c)
	returned := c.told > 0
	first := c.tries == 0
	c.tries++
	served := verdict.Admitted && s.serve(e, vm, waited)
	if c.counted {
		s.tallies.attempts++
		if !verdict.Admitted {
			s.tallies.refused++
		}
	}
	for _, t := range groups {
		if first {
			t.requests++
			t.firstTries++
			if verdict.Admitted {
				t.firstAdmitted++
			}
		}
		if returned {
			t.returned++
			if verdict.Admitted {
				t.returnedAdmitted++
			}
		}
		switch {
		case served && returned:
			t.returnedServed++
			t.served++
		case served:
			t.served++
		case verdict.Admitted:
			t.late++
		}
	}
	if !verdict.Admitted {
		s.comeBack(e, verdict, patience)
	}
}

// comeBack schedules the next try of a caller that was refused.
func (s *stage) comeBack(e event, verdict overload.Verdict, patience time.Duration) {
	c := e.caller
	if c.immediate {
		if c.tries < cmp.Or(s.play.tries, immediateTries) {
			heap.Push(&s.queue, event{at: e.at + playRoundTrip, caller: c})
		}
		return
	}
	if c.counted {
		s.tallies.retryAfters = append(s.tallies.retryAfters, verdict.RetryAfter)
	}
	wait := min(verdict.RetryAfter, patience)
	if c.tries >= patientTries || e.at+wait-c.began > playLimit-playObjective {
		return
	}
	c.told = e.at + wait
	heap.Push(&s.queue, event{at: c.told + playRoundTrip, caller: c})
}

// serve puts the request into the queue of the slots and reports whether it meets the objective.
func (s *stage) serve(e event, vm int, waited time.Duration) bool {
	slot := 0
	for n := range s.freeAt {
		if s.freeAt[n] < s.freeAt[slot] {
			slot = n
		}
	}
	begin := max(e.at, s.freeAt[slot])
	if begin-e.at > playMaxWait {
		// The queues are full: the upstreams refuse the request at once. Today's router records nothing then.
		if s.play.ranked {
			heap.Push(&s.queue, event{at: e.at + playRoundTrip, vm: vm, evidence: true, latency: playObjective + 1, goal: playObjective})
		}
		return false
	}
	s.freeAt[slot] = begin + playService
	latency := begin + playService - e.at
	s.record(e.at, vm, latency, waited)
	return latency <= playObjective
}

// record schedules the evidence of a request: when it ends, or when it has missed its goal.
func (s *stage) record(at time.Duration, vm int, latency, waited time.Duration) {
	goal := playObjective - waited
	if goal <= 0 {
		goal = playLimit - waited
	}
	if s.play.ranked {
		goal = playObjective
	}
	known := min(latency, goal+time.Millisecond)
	heap.Push(&s.queue, event{at: at + known, vm: vm, evidence: true, latency: latency, goal: goal})
}

// drawOf returns the draw of a request, which is the same for all its tries in a slot, and another one when its caller comes back.
func drawOf(id uint64, at time.Duration, a overload.Arrival) float64 {
	slot := uint64((at + time.Duration(id%uint64(drawSlot))) / drawSlot)
	if a.Returning {
		slot += uint64(a.Waited/(overload.ShortestRetryAfter(playLimit/3)/2)) << 40
	}
	return rand.New(rand.NewPCG(id, slot)).Float64()
}
