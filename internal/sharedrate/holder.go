package sharedrate

import (
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// LoanLife is how long a candidate lends its part of a rate, from the start of the call for the holder and from its
	// arrival for the lender.
	LoanLife = 450 * time.Millisecond
	// RenewInterval is how often a holder renews its loans. Two renewals may be lost before a loan ends.
	RenewInterval = 150 * time.Millisecond
	// firstTokens is the highest number of tokens in a new bucket whose previous holder did not hand it over.
	firstTokens = 2.0
	// batchLife is how long credits that were obtained in advance count as outstanding unless the VM asks again. It is
	// longer than CreditLife, so that a VM that asks about once a second can return what it has not spent.
	batchLife = 2 * time.Second
	// retryHorizon is the latest time that a denial names.
	retryHorizon = 10 * time.Second
	// maxQuiet is the longest time for which a VM denies requests without asking again.
	maxQuiet = 50 * time.Millisecond
	// quietShare is the fraction of the capacity that may accumulate while a VM does not ask again.
	quietShare = 0.25
	// idleAfter is how long a bucket is kept without any call.
	idleAfter = time.Minute
	// confirmedFor is how long this VM's own part is valid after the control group has confirmed the list of candidates. It is
	// shorter than the time after which the list omits a VM without contact, so that a new candidate does not add to the parts.
	confirmedFor = 4 * time.Second
	// clientLife is how long the last call of a VM is remembered.
	clientLife = 10 * time.Second
	// seenCandidatesFor is how long a higher number of candidates is kept. Lists of candidates differ for a while after
	// VMs have joined or left.
	seenCandidatesFor = 10 * time.Second
)

// Limit is the quota of a team in one version of the route table.
type Limit struct {
	PerSecond, Burst float64
	Version          uint64
}

// capacity returns the number of tokens and outstanding credits that a holder with the part of the rate may have.
func (l Limit) capacity(part float64) float64 { return max(1, part*l.Burst) }

// Ask is a call of a VM to the holder of a team's bucket.
type Ask struct {
	Team string
	// VM and Process identify the process that asks. Sequence increases with each of its calls, so that a call that arrives
	// twice is counted once.
	VM       string
	Process  int64
	Sequence uint64
	Limit    Limit
	// Waiting is the number of requests that wait for a credit, and Extra the number of credits wanted in advance.
	Waiting, Extra int
	// Unused is the number of credits obtained in advance that were not spent, and Refunded the number of spent credits of
	// requests that were not sent.
	Unused, Refunded int
}

// Answer is the answer to an Ask.
type Answer struct {
	// Granted is the number of credits. Those beyond the waiting requests were obtained in advance.
	Granted int
	// RetryAfter is when the first denied request may be sent, and Step the time between the places of further ones.
	// QueueEnd is the place after the last one.
	RetryAfter, Step, QueueEnd time.Duration
	// Quiet is how long the VM denies further requests without asking.
	Quiet time.Duration
	// NotHolder is set if this VM holds no bucket of the team.
	NotHolder bool
}

// Claim is a request to lend the part of a team's rate to the holder, and to hand over the bucket if there is one.
type Claim struct {
	Team   string
	Holder string
	// Candidates is the number of candidates that the holder knows.
	Candidates int
	// Reached is the number of candidates, the holder included, that answered its last claim.
	Reached int
	// ReleasedBy names a VM that has handed its bucket over to the holder, so that loans to that VM have ended.
	ReleasedBy string
}

// Yield is the answer to a Claim.
type Yield struct {
	// Share is the part of the rate that is lent, 0 if none is.
	Share float64
	// LentTo is the VM that the part is lent to, if it is not lent to the claimant.
	LentTo string
	// Idle is the time for which, as far as this VM knows, nobody has held a bucket of the team.
	Idle time.Duration
	// Released is set if this VM has handed over its bucket with the tokens and batches.
	Released bool
	Tokens   float64
	Batches  []Batch
}

// Batch is a number of credits that a VM obtained in advance.
type Batch struct {
	VM      string
	Credits int
	// Left is the time for which they still count as outstanding.
	Left time.Duration
}

// loan is a part of a rate that is lent.
type loan struct {
	holder string
	share  float64
	until  time.Time
}

// client is what a holder knows of one VM.
type client struct {
	process  int64
	sequence uint64
	answer   Answer
	askedAt  time.Time
}

// batch is a number of credits obtained in advance, which count as outstanding until a time.
type batch struct {
	credits int
	until   time.Time
}

// held is the bucket of one team.
type held struct {
	bucket  Bucket
	limit   Limit
	askedAt time.Time
	// borrowed holds the parts that other candidates lend, by their ID.
	borrowed map[string]loan
	clients  map[string]*client
	batches  map[string]batch
	// reached is the number of candidates, this VM included, that answered the last claim.
	reached int
	// nextPlace is the next free time for a denied request to return.
	nextPlace time.Time
}

// Holder holds the buckets of one VM, and its parts of the rates of all teams. It is not safe for concurrent use.
type Holder struct {
	self    string
	started time.Time
	overage float64
	held    map[string]*held
	// lent holds the last loan of this VM's own part by team.
	lent map[string]loan
	// candidates is the highest number of candidates reported since candidatesAt.
	candidates   int
	candidatesAt time.Time
	// confirmedAt is when the control group last confirmed the list of candidates.
	confirmedAt time.Time
}

// NewHolder returns a holder without buckets. The overage is the fraction by which windows may exceed the quota.
func NewHolder(self string, now time.Time, overage float64) *Holder {
	return &Holder{self: self, started: now, overage: overage, held: map[string]*held{}, lent: map[string]loan{}}
}

// SeeCandidates records a number of candidates that this or another VM knows.
func (h *Holder) SeeCandidates(now time.Time, n int) {
	if n >= h.candidates || now.Sub(h.candidatesAt) > seenCandidatesFor {
		h.candidates, h.candidatesAt = n, now
	}
}

// Confirm records that the control group has confirmed the list of candidates.
func (h *Holder) Confirm(now time.Time) { h.confirmedAt = now }

// ownShare returns this VM's own part of each rate, where reached is the number of candidates that the holder reaches. A
// process that has just started may have lent it before. While the control group cannot be reached, other VMs may have taken the
// place of this one, unless most candidates are in touch.
func (h *Holder) ownShare(now time.Time, reached int) float64 {
	confirmed := now.Sub(h.confirmedAt) < confirmedFor || 2*reached > h.candidates
	if now.Sub(h.started) < LoanLife || !confirmed {
		return 0
	}
	return 1 / float64(max(1, h.candidates))
}

// part returns the part of the rate that this VM may issue now. Half of the overage makes up for a few candidates that are away.
func (h *Holder) part(now time.Time, team string, t *held) float64 {
	total := 0.0
	if own, ok := h.lent[team]; !ok || !now.Before(own.until) {
		total = h.ownShare(now, t.reached)
	}
	for _, l := range t.borrowed {
		if now.Before(l.until) {
			total += l.share
		}
	}
	return min(1, total*(1+h.overage/2))
}

// Holds reports whether this VM has a bucket of the team and a part of its rate.
func (h *Holder) Holds(now time.Time, team string) bool {
	t, ok := h.held[team]
	return ok && h.part(now, team, t) > 0
}

// Has reports whether this VM has a bucket of the team.
func (h *Holder) Has(team string) bool { _, ok := h.held[team]; return ok }

// Begin creates the bucket of a team from the answers of other candidates to a claim that began at start. It has no effect if
// there is one.
func (h *Holder) Begin(start, now time.Time, team string, limit Limit, yields map[string]Yield) {
	if h.Has(team) {
		h.Renewed(start, now, team, yields)
		return
	}
	t := &held{limit: limit, askedAt: now, borrowed: map[string]loan{}, clients: map[string]*client{}, batches: map[string]batch{}, reached: len(yields) + 1}
	tokens, idle, released := 0.0, h.idle(now, team), false
	for id, y := range yields {
		t.borrow(start, id, y)
		idle = min(idle, y.Idle)
		if t.receive(start, now, y) {
			released = true
			tokens += y.Tokens
		}
	}
	h.held[team] = t
	part := h.part(now, team, t)
	switch {
	case released:
	case len(yields)+1 >= h.candidates:
		// All candidates have answered, so that nobody has issued credits meanwhile.
		tokens = min(firstTokens, limit.Burst) + part*limit.PerSecond*idle.Seconds()
	case part < 0.5:
		// Several holders may begin at the same time.
		tokens = 1
	default:
		tokens = min(firstTokens, max(1, limit.Burst))
	}
	t.bucket = NewBucket(now, tokens)
	t.refill(now, part)
}

// Renewed records the answers to a renewal that began at start.
func (h *Holder) Renewed(start, now time.Time, team string, yields map[string]Yield) {
	t, ok := h.held[team]
	if !ok {
		return
	}
	t.refill(now, h.part(now, team, t))
	t.reached = len(yields) + 1
	for id, y := range yields {
		t.borrow(start, id, y)
		if t.receive(start, now, y) {
			t.bucket.tokens += y.Tokens
		}
	}
	t.refill(now, h.part(now, team, t))
}

// receive adopts the batches of a bucket that was handed over, and reports whether its tokens are valid. After a pause of this VM
// another one may have begun a new bucket.
func (t *held) receive(start, now time.Time, y Yield) bool {
	if !y.Released || now.Sub(start) >= LoanLife {
		return false
	}
	for _, b := range y.Batches {
		t.batches[b.VM] = batch{credits: t.batches[b.VM].credits + b.Credits, until: now.Add(min(b.Left, batchLife))}
	}
	return true
}

func (t *held) borrow(start time.Time, id string, y Yield) {
	if y.Share > 0 {
		t.borrowed[id] = loan{share: y.Share, until: start.Add(LoanLife)}
	} else {
		delete(t.borrowed, id)
	}
}

// idle returns for how long this VM knows of no holder of the team.
func (h *Holder) idle(now time.Time, team string) time.Duration {
	since := h.started
	if l, ok := h.lent[team]; ok && l.until.After(since) {
		since = l.until
	}
	return max(0, now.Sub(since))
}

// refill adds the tokens since the last call. Tokens and outstanding credits together stay within the capacity of the part.
func (t *held) refill(now time.Time, part float64) {
	t.bucket.Refill(now, part*t.limit.PerSecond, t.limit.capacity(part)-t.outstanding(now))
}

// outstanding returns the number of credits obtained in advance that may still be spent or returned.
func (t *held) outstanding(now time.Time) float64 {
	total := 0
	for vm, b := range t.batches {
		if !now.Before(b.until) {
			delete(t.batches, vm)
			continue
		}
		total += b.credits
	}
	return float64(total)
}

func (t *held) client(vm string) *client {
	c, ok := t.clients[vm]
	if !ok {
		c = &client{}
		t.clients[vm] = c
	}
	return c
}

// Credits grants or denies credits.
func (h *Holder) Credits(now time.Time, ask Ask, draw float64) Answer {
	t, ok := h.held[ask.Team]
	if !ok {
		return Answer{NotHolder: true}
	}
	part := h.part(now, ask.Team, t)
	t.refill(now, part)
	if ask.Limit.Version > t.limit.Version {
		t.limit = ask.Limit
		t.refill(now, part)
	}
	t.askedAt = now
	c := t.client(ask.VM)
	if c.process == ask.Process && ask.Sequence <= c.sequence {
		if ask.Sequence == c.sequence {
			return c.answer
		}
		return Answer{NotHolder: true}
	}
	t.settle(now, ask, part)
	c.process, c.sequence, c.askedAt = ask.Process, ask.Sequence, now
	c.answer = t.grant(now, ask, part, draw)
	return c.answer
}

// settle ends the batch of a VM, which returns what it has not spent.
func (t *held) settle(now time.Time, ask Ask, part float64) {
	outstanding := t.outstanding(now)
	b := t.batches[ask.VM]
	delete(t.batches, ask.VM)
	returned := float64(ask.Refunded + min(ask.Unused, b.credits))
	t.bucket.add(returned, t.limit.capacity(part)-outstanding+float64(b.credits))
}

func (t *held) grant(now time.Time, ask Ask, part, draw float64) Answer {
	if t.limit.PerSecond <= 0 {
		return Answer{Granted: ask.Waiting + ask.Extra}
	}
	granted := t.bucket.takeWhole(ask.Waiting)
	if granted < ask.Waiting {
		return t.deny(now, granted, ask.Waiting-granted, part, draw)
	}
	// Half of the tokens stay for other VMs, and half of the capacity is never outstanding, so that the bucket can refill.
	capacity := t.limit.capacity(part)
	extra := t.bucket.takeWhole(min(ask.Extra, wholeTokens(t.bucket.tokens/2), wholeTokens(capacity/2-t.outstanding(now))))
	if extra > 0 {
		t.batches[ask.VM] = batch{credits: extra, until: now.Add(batchLife)}
	}
	return Answer{Granted: granted + extra}
}

// deny assigns the next free places to denied requests.
func (t *held) deny(now time.Time, granted, denied int, part, draw float64) Answer {
	rate := max(part*t.limit.PerSecond, 1e-3)
	step := secondsDuration(1 / rate)
	first := now.Add(secondsDuration((1 - t.bucket.tokens) / rate))
	if t.nextPlace.After(first) {
		first = t.nextPlace
	}
	if last := now.Add(retryHorizon); first.After(last) {
		// The queue is longer than the horizon: a caller that is told to return later would give up.
		first = now.Add(time.Duration((0.5 + draw/2) * float64(retryHorizon)))
	} else {
		t.nextPlace = first.Add(time.Duration(denied) * step)
	}
	return Answer{
		Granted: granted, RetryAfter: first.Sub(now), Step: step, QueueEnd: first.Sub(now) + time.Duration(denied)*step,
		Quiet: min(maxQuiet, secondsDuration(quietShare*t.limit.capacity(part)/rate)),
	}
}

func secondsDuration(seconds float64) time.Duration {
	return time.Duration(min(seconds, 1e6) * float64(time.Second))
}

// Yield answers a claim of another VM. A VM that holds a bucket hands it over only if the claimant comes before it in the order
// of candidates, which the caller tells, or if it has not been asked lately.
func (h *Holder) Yield(now time.Time, claim Claim, before bool) Yield {
	own := h.lent[claim.Team]
	if now.Before(own.until) && own.holder != claim.Holder && own.holder != claim.ReleasedBy {
		return Yield{LentTo: own.holder}
	}
	y := Yield{Idle: h.idle(now, claim.Team)}
	if t, ok := h.held[claim.Team]; ok {
		if !before && now.Sub(t.askedAt) < LoanLife {
			return Yield{LentTo: h.self}
		}
		t.refill(now, h.part(now, claim.Team, t))
		y.Released, y.Tokens, y.Idle = true, t.bucket.TakeAll(), 0
		for vm, b := range t.batches {
			y.Batches = append(y.Batches, Batch{VM: vm, Credits: b.credits, Left: b.until.Sub(now)})
		}
		delete(h.held, claim.Team)
	}
	// The tokens are handed over as they were before a higher number of candidates made this VM's part smaller.
	h.SeeCandidates(now, claim.Candidates)
	y.Share = h.ownShare(now, claim.Reached)
	h.lent[claim.Team] = loan{holder: claim.Holder, until: now.Add(LoanLife)}
	return y
}

// LoanEnded reports whether the VM to which this one lent its part of the team's rate has stopped renewing the loan a short while
// ago, as it does when it has ended or is frozen.
func (h *Holder) LoanEnded(now time.Time, team, holder string) bool {
	l, ok := h.lent[team]
	return ok && l.holder == holder && !now.Before(l.until) && now.Sub(l.until) < seenCandidatesFor
}

// Teams returns the teams whose bucket this VM holds, and drops buckets that have not been used for long.
func (h *Holder) Teams(now time.Time) []string {
	maps.DeleteFunc(h.held, func(_ string, t *held) bool { return now.Sub(t.askedAt) > idleAfter })
	for _, t := range h.held {
		maps.DeleteFunc(t.clients, func(_ string, c *client) bool { return now.Sub(c.askedAt) > clientLife })
	}
	return slices.Sorted(maps.Keys(h.held))
}

// Adopt applies the limits of a table version. The bucket of a team that the table does not contain is dropped.
func (h *Holder) Adopt(now time.Time, limits map[string]Limit) {
	for team, t := range h.held {
		limit, ok := limits[team]
		switch {
		case !ok:
			delete(h.held, team)
		case limit.Version > t.limit.Version:
			t.refill(now, h.part(now, team, t))
			t.limit = limit
		}
	}
	maps.DeleteFunc(h.lent, func(team string, l loan) bool {
		_, ok := limits[team]
		return !ok && now.Sub(l.until) > idleAfter
	})
}

// Resign drops all buckets, because this VM is no candidate any longer. Its own parts stay lent as they are.
func (h *Holder) Resign() { clear(h.held) }

// Reached returns the number of candidates that answered the last claim for the team.
func (h *Holder) Reached(team string) int {
	if t, ok := h.held[team]; ok {
		return t.reached
	}
	return 0
}

// State describes a bucket.
type State struct {
	Team        string
	Limit       Limit
	Tokens      float64
	Outstanding float64
	// Part is the part of the rate that this VM may issue.
	Part float64
}

// States returns the buckets of this VM, ordered by team.
func (h *Holder) States(now time.Time) []State {
	var all []State
	for team, t := range h.held {
		part := h.part(now, team, t)
		t.refill(now, part)
		all = append(all, State{Team: team, Limit: t.limit, Tokens: t.bucket.tokens, Outstanding: t.outstanding(now), Part: part})
	}
	slices.SortFunc(all, func(a, b State) int { return strings.Compare(a.Team, b.Team) })
	return all
}
