package sharedrate

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// The figures of the simulated fleet.
const (
	simCandidates = 16
	// simCallTimeout is how long a VM waits for an answer before it takes the peer out of use, and simClaimTimeout how long a
	// VM that begins to hold a bucket waits for the others.
	simCallTimeout  = 100 * time.Millisecond
	simClaimTimeout = 50 * time.Millisecond
	simPatience     = 60 * time.Millisecond
	simHedge        = 20 * time.Millisecond
	simRetry        = 5 * time.Millisecond
	simQuotaWindow  = 5 * time.Second
	simOverage      = 0.1
	simSlack        = 20.0
	simRefundLife   = 250 * time.Millisecond
)

type simEvent struct {
	at  time.Duration
	seq int
	run func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].seq < q[j].seq)
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// simVM is a VM. Its index is its rank among the candidates.
type simVM struct {
	id      int
	process int64
	down    bool
	leaving bool
	// frozenUntil is the time until which the VM runs nothing.
	frozenUntil time.Duration
	// list holds the candidates that the VM knows, in order. silent holds peers that did not answer in time.
	list   []int
	silent map[int]bool
	limit  Limit
	teams  map[string]*simTeam
	holder *Holder
}

type simTeam struct {
	wallet   Wallet
	sequence uint64
	calling  bool
	waiting  []time.Duration
	claiming bool
	claimed  []func()
}

// simWorld is a fleet with message delays.
type simWorld struct {
	random *rand.Rand
	now    time.Duration
	queue  simQueue
	seq    int
	vms    []*simVM
	// cut reports whether two VMs cannot reach each other, and confirms whether a VM reaches the control group.
	cut      func(a, b int) bool
	confirms func(vm int) bool
	// duplicate and lose are the probabilities that a call arrives twice and that a reply is lost.
	duplicate, lose float64
	// refuse reports whether requests are refused, after a while, with nothing sent.
	refuse func() bool
	// sent holds the times of requests that were sent, and calls, denied and unavailable count.
	sent                         []time.Duration
	arrived, denied, unavailable int
	calls, renewals, refunded    int
	retryAt                      []time.Duration
	team                         func(vm *simVM) string
	lastUnavailable              time.Duration
}

func newWorld(seed uint64, vms int, limit Limit) *simWorld {
	w := &simWorld{
		random: rand.New(rand.NewPCG(seed, uint64(vms))), cut: func(int, int) bool { return false },
		confirms: func(int) bool { return true }, refuse: func() bool { return false }, team: func(*simVM) string { return "t" },
	}
	for id := range vms {
		vm := &simVM{id: id}
		w.vms = append(w.vms, vm)
		w.start(vm, limit)
		vm.list = w.candidates()
		if id < simCandidates {
			// The fleet has been up for a while.
			vm.holder.started = simTime(-time.Minute)
		}
		vm.holder.SeeCandidates(simTime(0), simCandidates)
	}
	w.every(RenewInterval, w.renew)
	w.every(500*time.Millisecond, func() {
		for _, vm := range w.vms {
			if w.runs(vm) && w.confirms(vm.id) {
				vm.holder.Confirm(w.clock())
				vm.holder.SeeCandidates(w.clock(), len(vm.list))
			}
		}
	})
	return w
}

func simTime(d time.Duration) time.Time { return time.Unix(1_000, 0).Add(d) }

func (w *simWorld) clock() time.Time { return simTime(w.now) }

func (w *simWorld) candidates() []int {
	all := make([]int, min(simCandidates, len(w.vms)))
	if len(w.vms) < simCandidates {
		all = make([]int, simCandidates)
	}
	for n := range all {
		all[n] = n
	}
	return all
}

// start starts a process of the VM.
func (w *simWorld) start(vm *simVM, limit Limit) {
	vm.process, vm.down, vm.leaving, vm.limit = int64(w.now)+1, false, false, limit
	vm.silent, vm.teams = map[int]bool{}, map[string]*simTeam{}
	vm.holder = NewHolder(fmt.Sprint(vm.id), w.clock(), simOverage)
	vm.holder.Confirm(w.clock())
	vm.holder.SeeCandidates(w.clock(), len(vm.list))
}

// kill ends the process of the VM, which starts again after a while.
func (w *simWorld) kill(id int, away time.Duration) {
	vm := w.vms[id]
	vm.down = true
	w.after(away, func() { w.start(vm, vm.limit) })
}

// stop ends the process after it has said so for a while.
func (w *simWorld) stop(id int, away time.Duration) {
	w.vms[id].leaving = true
	w.after(2*time.Second, func() { w.kill(id, away) })
}

func (w *simWorld) runs(vm *simVM) bool { return !vm.down && vm.frozenUntil <= w.now }

func (w *simWorld) after(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.queue, simEvent{w.now + d, w.seq, run})
}

func (w *simWorld) at(at time.Duration, run func()) { w.after(at-w.now, run) }

func (w *simWorld) every(interval time.Duration, run func()) {
	var again func()
	again = func() { run(); w.after(interval, again) }
	w.after(interval, again)
}

// on runs a function at a process of the VM, after a freeze if there is one. It does not run if the process has ended.
func (w *simWorld) on(vm *simVM, process int64, run func()) {
	switch {
	case vm.down || vm.process != process:
	case vm.frozenUntil > w.now:
		w.at(vm.frozenUntil, func() { w.on(vm, process, run) })
	default:
		run()
	}
}

func (w *simWorld) delay() time.Duration {
	return 200*time.Microsecond + time.Duration(w.random.Int64N(int64(4*time.Millisecond)))
}

// call sends a message and calls done with true once its reply has arrived, or with false after the timeout.
func (w *simWorld) call(from, to *simVM, timeout time.Duration, serve func(reply func(then func()))) func(done func(bool)) {
	return func(done func(bool)) {
		fromProcess, toProcess := from.process, to.process
		ended := false
		end := func(ok bool) {
			if !ended {
				ended = true
				done(ok)
			}
		}
		w.after(timeout, func() { w.on(from, fromProcess, func() { end(false) }) })
		if w.cut(from.id, to.id) {
			return
		}
		if to.down {
			w.after(time.Millisecond, func() { w.on(from, fromProcess, func() { end(false) }) })
			return
		}
		deliver := func() {
			w.on(to, toProcess, func() {
				serve(func(then func()) {
					if w.cut(from.id, to.id) || w.random.Float64() < w.lose {
						return
					}
					w.after(w.delay(), func() {
						w.on(from, fromProcess, func() {
							if !ended {
								then()
							}
							end(true)
						})
					})
				})
			})
		}
		w.after(w.delay(), deliver)
		if w.random.Float64() < w.duplicate {
			w.after(w.delay()+20*time.Millisecond, deliver)
		}
	}
}

// usable reports whether the VM would send to the candidate.
func (w *simWorld) usable(vm, to *simVM) bool {
	if to.down || to.leaving {
		return false
	}
	if vm.silent[to.id] && !w.cut(vm.id, to.id) && to.frozenUntil <= w.now {
		delete(vm.silent, to.id)
	}
	return !vm.silent[to.id]
}

// order returns the candidates that the VM would ask, in order.
func (w *simWorld) order(vm *simVM) []int {
	var usable []int
	for _, id := range vm.list {
		if (id == vm.id && !vm.leaving) || (id != vm.id && w.usable(vm, w.vms[id])) {
			usable = append(usable, id)
		}
	}
	return usable
}

func (vm *simVM) team(name string) *simTeam {
	t, ok := vm.teams[name]
	if !ok {
		t = &simTeam{}
		vm.teams[name] = t
	}
	return t
}

// request is a request of a caller that arrives at the VM.
func (w *simWorld) request(vm *simVM) {
	if !w.runs(vm) {
		return
	}
	w.arrived++
	t := vm.team(w.team(vm))
	t.wallet.Arrived(w.clock())
	if vm.limit.PerSecond == 0 || t.wallet.Take(w.clock()) {
		w.send(vm, t)
		return
	}
	if retry, denied := t.wallet.Denied(w.clock(), w.random.Float64()); denied {
		w.deny(retry)
		return
	}
	t.waiting = append(t.waiting, w.now)
	if !t.calling {
		t.calling = true
		w.ask(vm, w.team(vm), t)
	}
}

func (w *simWorld) deny(retry time.Duration) {
	w.denied++
	w.retryAt = append(w.retryAt, w.now+retry)
}

func (w *simWorld) send(vm *simVM, t *simTeam) {
	if w.refuse() {
		counted, process := w.clock(), vm.process
		w.after(100*time.Millisecond, func() {
			w.on(vm, process, func() {
				if t.wallet.Refund(w.clock(), counted, simRefundLife) {
					w.refunded++
				}
			})
		})
		return
	}
	w.sent = append(w.sent, w.now)
}

// ask obtains credits for the requests that wait.
func (w *simWorld) ask(vm *simVM, name string, t *simTeam) {
	t.waiting = slices.DeleteFunc(t.waiting, func(since time.Duration) bool {
		gone := w.now-since > simPatience
		if gone {
			w.unavailable++
			w.lastUnavailable = w.now
		}
		return gone
	})
	if len(t.waiting) == 0 {
		t.calling = false
		return
	}
	start, process := w.clock(), vm.process
	t.sequence++
	a := Ask{Team: name, VM: fmt.Sprint(vm.id), Process: process, Sequence: t.sequence, Limit: vm.limit, Waiting: len(t.waiting)}
	t.wallet.Ask(start, &a)
	w.askNext(vm, a, w.order(vm), func(answer Answer, ok bool) {
		if !ok {
			w.after(simRetry, func() { w.on(vm, process, func() { w.ask(vm, name, t) }) })
			return
		}
		granted := t.wallet.Answered(start, w.clock(), a.Waiting, answer)
		for n := range a.Waiting {
			switch {
			case n < granted:
				w.send(vm, t)
			case answer.Granted >= a.Waiting:
				w.unavailable++
				w.lastUnavailable = w.now
			default:
				w.deny(answer.RetryAfter + time.Duration(n-granted)*answer.Step)
			}
		}
		t.waiting = t.waiting[a.Waiting:]
		w.ask(vm, name, t)
	})
}

// askNext asks the first two candidates of the order one after the other.
func (w *simWorld) askNext(vm *simVM, a Ask, order []int, done func(Answer, bool)) {
	if len(order) == 0 {
		done(Answer{}, false)
		return
	}
	to := w.vms[order[0]]
	if to == vm {
		w.serve(vm, a, true, func(answer Answer) {
			if answer.NotHolder {
				w.askNext(vm, a, order[1:min(2, len(order))], done)
				return
			}
			done(answer, true)
		})
		return
	}
	w.calls++
	// The next candidate is also asked if the first one does not answer soon. The first answer counts.
	ended, hedged, pending := false, false, 1
	end := func(answer Answer, ok bool) {
		pending--
		if !ended && (ok || pending == 0) {
			ended = true
			done(answer, ok)
		}
	}
	hedge := func() {
		if !ended && !hedged {
			hedged = true
			pending++
			w.askNext(vm, a, order[1:min(2, len(order))], end)
		}
	}
	process := vm.process
	w.after(simHedge, func() { w.on(vm, process, hedge) })
	var answer Answer
	w.call(vm, to, simCallTimeout, func(reply func(func())) {
		w.serve(to, a, true, func(got Answer) { reply(func() { answer = got }) })
	})(func(ok bool) {
		switch {
		case !ok:
			vm.silent[to.id] = true
			end(Answer{}, false)
		case answer.NotHolder:
			hedge()
			end(Answer{}, false)
		default:
			end(answer, true)
		}
	})
}

// serve answers a call at a candidate.
func (w *simWorld) serve(vm *simVM, a Ask, mayForward bool, done func(Answer)) {
	if vm.holder.Holds(w.clock(), a.Team) {
		done(vm.holder.Credits(w.clock(), a, w.random.Float64()))
		return
	}
	order := w.order(vm)
	switch {
	case len(order) == 0:
		done(Answer{NotHolder: true})
	case order[0] == vm.id, len(order) > 1 && order[1] == vm.id && vm.holder.LoanEnded(w.clock(), a.Team, fmt.Sprint(order[0])):
		w.claim(vm, a, func() { done(vm.holder.Credits(w.clock(), a, w.random.Float64())) })
	case mayForward:
		var answer Answer
		w.calls++
		to := w.vms[order[0]]
		w.call(vm, to, simCallTimeout, func(reply func(func())) {
			w.serve(to, a, false, func(got Answer) { reply(func() { answer = got }) })
		})(func(ok bool) {
			if !ok {
				vm.silent[to.id] = true
				answer = Answer{NotHolder: true}
			}
			done(answer)
		})
	default:
		done(Answer{NotHolder: true})
	}
}

// claim makes the VM the holder of the team, then calls done.
func (w *simWorld) claim(vm *simVM, a Ask, done func()) {
	t := vm.team(a.Team)
	t.claimed = append(t.claimed, done)
	if t.claiming {
		return
	}
	t.claiming = true
	finish := func(start time.Time, yields map[string]Yield) {
		vm.holder.Begin(start, w.clock(), a.Team, a.Limit, yields)
		claimed := t.claimed
		t.claiming, t.claimed = false, nil
		for _, run := range claimed {
			run()
		}
	}
	start := w.clock()
	w.round(vm, a.Team, "", nil, simClaimTimeout, func(yields map[string]Yield) {
		released := ""
		for id, y := range yields {
			if y.Released {
				released = id
			}
		}
		var refused []int
		for id, y := range yields {
			if y.Share == 0 && y.LentTo != "" && y.LentTo == released {
				n := 0
				_, _ = fmt.Sscan(id, &n)
				refused = append(refused, n)
			}
		}
		if len(refused) == 0 {
			finish(start, yields)
			return
		}
		slices.Sort(refused)
		w.round(vm, a.Team, released, refused, simClaimTimeout, func(second map[string]Yield) {
			for id, y := range second {
				yields[id] = y
			}
			finish(start, yields)
		})
	})
}

// round sends a claim to the candidates, or to those given, and calls done once all have answered or the timeout has passed.
func (w *simWorld) round(vm *simVM, team, released string, to []int, timeout time.Duration, done func(map[string]Yield)) {
	if to == nil {
		for _, id := range vm.list {
			if id != vm.id {
				to = append(to, id)
			}
		}
	}
	yields, pending, ended := map[string]Yield{}, len(to), false
	finish := func() {
		if !ended && pending == 0 {
			ended = true
			done(yields)
		}
	}
	process := vm.process
	claim := Claim{Team: team, Holder: fmt.Sprint(vm.id), Candidates: len(vm.list), Reached: vm.holder.Reached(team), ReleasedBy: released}
	for _, id := range to {
		peer := w.vms[id]
		w.renewals++
		w.call(vm, peer, timeout, func(reply func(func())) {
			y := peer.holder.Yield(w.clock(), claim, vm.id < peer.id || peer.leaving)
			reply(func() { yields[fmt.Sprint(id)] = y })
		})(func(bool) { pending--; finish() })
	}
	if len(to) == 0 {
		w.after(0, func() { w.on(vm, process, finish) })
	}
}

func (w *simWorld) renew() {
	for _, vm := range w.vms[:min(len(w.vms), 4*simCandidates)] {
		if !w.runs(vm) {
			continue
		}
		for _, team := range vm.holder.Teams(w.clock()) {
			start := w.clock()
			w.round(vm, team, "", nil, simCallTimeout, func(yields map[string]Yield) {
				vm.holder.Renewed(start, w.clock(), team, yields)
			})
		}
	}
}

// run plays callers that send the number of requests per second that demand returns, each to any VM, until the end.
func (w *simWorld) run(end time.Duration, demand func(now time.Duration) float64) {
	var next func()
	next = func() {
		rate := demand(w.now)
		if rate <= 0 {
			w.after(10*time.Millisecond, next)
			return
		}
		w.request(w.vms[w.random.IntN(len(w.vms))])
		w.after(time.Duration(w.random.ExpFloat64()/rate*float64(time.Second)), next)
	}
	w.after(0, next)
	for len(w.queue) > 0 && w.queue[0].at < end {
		e := heap.Pop(&w.queue).(simEvent)
		w.now = e.at
		e.run()
	}
}

// most returns the highest number of requests sent in any window that begins at or after the given time.
func (w *simWorld) most(from time.Duration) int {
	highest, first := 0, 0
	for n, sent := range w.sent {
		if sent < from {
			first = n + 1
			continue
		}
		for w.sent[first] < sent-simQuotaWindow {
			first++
		}
		highest = max(highest, n-first+1)
	}
	return highest
}

// served returns the number of requests sent between two times.
func (w *simWorld) served(from, to time.Duration) int {
	n := 0
	for _, sent := range w.sent {
		if sent >= from && sent < to {
			n++
		}
	}
	return n
}

// exact returns what a single bucket admits in a window, and allowed what the users allow.
func (l Limit) exact() float64   { return l.PerSecond*simQuotaWindow.Seconds() + l.Burst }
func (l Limit) allowed() float64 { return l.exact()*(1+simOverage) + simSlack }
