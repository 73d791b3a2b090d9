package router

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/boottime"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/relay"
	"github.com/wisteriamux/wisteriamux/internal/route"
	"github.com/wisteriamux/wisteriamux/internal/sharedrate"
	"github.com/wisteriamux/wisteriamux/internal/upstreamconn"
)

const (
	// holderPatience is the part of the latency objective for which a request waits for a credit while the holder is not known
	// or does not answer.
	holderPatience = 0.25
	// holderHedge is how long a call to the holder may take before the next candidate is asked, too. Calls take 1 to 2 ms.
	holderHedge = 20 * time.Millisecond
	// quotaRetry is the time between two calls while the holder is not known or does not answer.
	quotaRetry = 5 * time.Millisecond
	// claimTimeout is how long a VM that begins to hold a bucket waits for the other candidates.
	claimTimeout = 50 * time.Millisecond
	// renewTimeout is how long a renewal waits. It ends before the next one, and late answers of VMs that are short of processor
	// time still count.
	renewTimeout = 100 * time.Millisecond
	// refundDelay is the time for which refunds wait for a call of the same team before one is made for them.
	refundDelay = 20 * time.Millisecond
	// refundShare is the part of the overage that covers refunds: credits that are counted, and given back later, add to the
	// sum of a window what the bucket refills meanwhile.
	refundShare = 0.5
	// refusalsEndAfter is how long no request of a team must be refused before the refusals count as ended.
	refusalsEndAfter = 10 * time.Second
	// maxQuotaLines limits the log lines about quotas in quotaLinesSpan: there may be many teams.
	maxQuotaLines  = 20
	quotaLinesSpan = 10 * time.Second
	// lateRefusal is how long after the refusal of a timely request late requests of its team are refused. It covers some requests of
	// a team that exceeds its quota at one of many VMs.
	lateRefusal = 2 * time.Second
	// unusedQuotaAfter is how long the state of a team without requests is kept.
	unusedQuotaAfter = time.Minute
)

// OverQuotaError is returned for a request that was not sent because its team has used up its quota.
type OverQuotaError struct {
	Team string
	// RetryAfter is the time after which there may be room for the request.
	RetryAfter time.Duration
}

// Error implements the error interface.
func (e *OverQuotaError) Error() string {
	return fmt.Sprintf("team %q has used up its quota, room expected in %d ms", e.Team, e.RetryAfter.Milliseconds())
}

// QuotaCounts holds counters of quotas since the start of the process.
type QuotaCounts struct {
	// Granted and Denied count this VM's requests, and Returned the credits that it gave back.
	Granted, Denied, Returned int64
	// Unavailable counts the requests that were refused because the holder did not answer.
	Unavailable int64
	// Calls counts the calls to other VMs for credits, and Claims those for parts of rates.
	Calls, Claims int64
	// TakenOver counts the buckets that this VM began to hold, and HandedOver those that it handed to another one.
	TakenOver, HandedOver int64
}

// quotaMeter counts the attempts of a request, so that its credit is returned only if none was sent.
type quotaMeter struct {
	counted       time.Time
	begun, unsent atomic.Int64
}

// begin records that an attempt begins.
func (m *quotaMeter) begin() {
	if m != nil {
		m.begun.Add(1)
	}
}

// end records the end of an attempt.
func (m *quotaMeter) end(e attemptEnd) {
	var failed *upstreamconn.RequestError
	neverSent := errors.As(e.cause, &failed) && !failed.Sent
	if m != nil && (e.unsent || e.noRoom || neverSent || isUnsentForLinks(e.cause)) {
		m.unsent.Add(1)
	}
}

// quotas is the state of team quotas at this VM.
type quotas struct {
	// started is when the process started.
	started time.Time
	// refundLife is how long after it was counted a credit is given back.
	refundLife time.Duration

	// mu guards the fields below.
	mu     sync.Mutex
	holder *sharedrate.Holder
	teams  map[string]*teamQuota
	// claims holds a channel for each bucket that this VM is about to hold, which is closed at the end.
	claims map[string]chan struct{}
	// index is the route table that limits belongs to.
	index  *route.Index
	limits map[string]sharedrate.Limit
	counts QuotaCounts
	// lines is the number of log lines since linesSince.
	lines      int
	linesSince time.Time
}

// teamQuota is what this VM knows of one team as a sender.
type teamQuota struct {
	wallet   sharedrate.Wallet
	sequence uint64
	calling  bool
	waiting  []*quotaWaiter
	// refusedTimely is when the last request was refused that was not late, and retryAfter the time that it was told.
	refusedTimely time.Time
	retryAfter    time.Duration
	// refusedAt is when a request was refused last. refusing is set from the first refusal until they end.
	refusedAt time.Time
	refusing  bool
	refused   int64
}

// quotaWaiter is a request that waits for a credit.
type quotaWaiter struct {
	// done gets nil or an error. It has room for one.
	done chan error
	gone bool
	// late is set if the request can no longer be answered within its objective.
	late bool
}

// bootNow returns the time since boot as a time.Time, so that credits and loans end while a VM is suspended.
func bootNow() time.Time { return time.Unix(0, 0).Add(boottime.Now()) }

func newQuotas(config Config) *quotas {
	return &quotas{
		started:    bootNow(),
		refundLife: time.Duration(refundShare * config.QuotaOverage * float64(config.QuotaWindow)),
		holder:     sharedrate.NewHolder(config.ID, bootNow(), config.QuotaOverage),
		teams:      map[string]*teamQuota{}, claims: map[string]chan struct{}{}, limits: map[string]sharedrate.Limit{},
	}
}

// limitsOf adopts the limits of the VM's newest route table. The caller must hold mu.
func (q *quotas) limitsOf(index *route.Index, now time.Time) map[string]sharedrate.Limit {
	if index == q.index {
		return q.limits
	}
	q.index, q.limits = index, map[string]sharedrate.Limit{}
	for _, team := range index.Table.Teams {
		if team.PerSecond > 0 {
			q.limits[team.Name] = sharedrate.Limit{PerSecond: team.PerSecond, Burst: team.Burst, Version: index.Table.Version}
		}
	}
	q.holder.Adopt(now, q.limits)
	return q.limits
}

// limit returns the quota of the request's team, or false if it has none. The rate comes from this VM's newest table: the team may
// have another one there than in the table by which the request was accepted.
func (q *quotas) limit(index *route.Index, request *Request, now time.Time) (sharedrate.Limit, bool) {
	if index != nil {
		limits := q.limitsOf(index, now)
		if l, ok := limits[request.Team.Name]; ok {
			return l, true
		}
		for i := range index.Table.Teams {
			if index.Table.Teams[i].Name == request.Team.Name {
				return sharedrate.Limit{}, false
			}
		}
	}
	l := sharedrate.Limit{PerSecond: request.Team.PerSecond, Burst: request.Team.Burst, Version: request.TableVersion}
	return l, l.PerSecond > 0
}

func (q *quotas) team(name string) *teamQuota {
	t, ok := q.teams[name]
	if !ok {
		t = &teamQuota{}
		q.teams[name] = t
	}
	return t
}

// takeQuota counts the request against the quota of its team. It must be called before anything is sent. An error with code
// OverQuota means that the quota is used up, and one with code NotRun that the holder of the bucket did not answer.
func (r *Router) takeQuota(ctx context.Context, rt *route.Route, request *Request) error {
	if request.Team == nil {
		return nil
	}
	late := r.isLate(rt, request)
	q, now := r.quotas, bootNow()
	q.mu.Lock()
	limit, limited := q.limit(r.View().Routes, request, now)
	if !limited {
		q.mu.Unlock()
		return nil
	}
	t := q.team(request.Team.Name)
	t.wallet.Arrived(now)
	if t.wallet.Take(now) {
		q.counts.Granted++
		q.mu.Unlock()
		request.quota = &quotaMeter{counted: now}
		return nil
	}
	if t.refusesLate(now) && late {
		err := r.overQuota(request.Team.Name, t, t.retryAfter, late, now)
		q.mu.Unlock()
		return err
	}
	if retryAfter, denied := t.wallet.Denied(now, rand.Float64()); denied {
		err := r.overQuota(request.Team.Name, t, retryAfter, late, now)
		q.mu.Unlock()
		return err
	}
	waiter := &quotaWaiter{done: make(chan error, 1), late: late}
	t.waiting = append(t.waiting, waiter)
	if !t.calling {
		t.calling = true
		go r.obtainCredits(request.Team.Name, limit, t)
	}
	q.mu.Unlock()
	return r.awaitCredit(ctx, rt, request, t, waiter)
}

// isLate reports whether the request can no longer be answered within its objective, because its caller has waited before, usually
// after a refusal.
func (r *Router) isLate(rt *route.Route, request *Request) bool {
	if rt.Objective <= 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.stats(rt)
	return s.limitEstimate.waited(request.Limit)+time.Duration(s.expected) > rt.Objective
}

// refusesLate reports whether late requests of the team are refused, because timely ones were refused lately. A team that exceeds its
// quota gets the same number of answers either way, but more of them in time. The caller must hold the mutex of the quotas.
func (t *teamQuota) refusesLate(now time.Time) bool { return now.Sub(t.refusedTimely) < lateRefusal }

// overQuota counts and returns a refusal. The caller must hold the mutex of the quotas.
func (r *Router) overQuota(team string, t *teamQuota, retryAfter time.Duration, late bool, now time.Time) error {
	r.quotas.counts.Denied++
	t.refusedAt = now
	t.refused++
	if !late {
		t.refusedTimely, t.retryAfter = now, retryAfter
	}
	if !t.refusing {
		t.refusing = true
		r.quotas.logBounded(now, func() { r.log.Info("team over quota", "team", team, "retry_after_ms", retryAfter.Milliseconds()) })
	}
	return fault.New(fault.OverQuota, "router.quota", "%w", &OverQuotaError{Team: team, RetryAfter: retryAfter})
}

// logBounded writes a log line unless there were too many lately. The caller must hold mu.
func (q *quotas) logBounded(now time.Time, write func()) {
	if now.Sub(q.linesSince) > quotaLinesSpan {
		q.lines, q.linesSince = 0, now
	}
	if q.lines++; q.lines <= maxQuotaLines {
		write()
	}
}

// awaitCredit waits until the request has a credit or is refused.
func (r *Router) awaitCredit(ctx context.Context, rt *route.Route, request *Request, t *teamQuota, waiter *quotaWaiter) error {
	objective := rt.Objective
	if objective <= 0 {
		objective = rt.Timeout
	}
	timer := time.NewTimer(time.Duration(holderPatience * float64(objective)))
	defer timer.Stop()
	var err error
	select {
	case err = <-waiter.done:
		if err == nil {
			request.quota = &quotaMeter{counted: bootNow()}
		}
		return err
	case <-ctx.Done():
		err = fault.New(fault.Cancelled, "router.quota", "caller cancelled the request: %w", ctx.Err())
	case <-timer.C:
		err = fault.New(fault.NotRun, "router.quota", "the VM that holds the quota of team %q does not answer", request.Team.Name)
	}
	q := r.quotas
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case result := <-waiter.done:
		// The answer came at the same time.
		if result == nil {
			t.wallet.Refund(bootNow(), bootNow(), q.refundLife)
		}
	default:
		waiter.gone = true
	}
	if fault.Is(err, fault.NotRun) {
		q.counts.Unavailable++
	}
	return err
}

// obtainCredits asks the holder of the team's bucket until no request waits for a credit. One call is in progress at a time.
func (r *Router) obtainCredits(team string, limit sharedrate.Limit, t *teamQuota) {
	q := r.quotas
	for {
		now := bootNow()
		q.mu.Lock()
		t.dropGone()
		if len(t.waiting) == 0 && !t.wallet.HasRefunds() {
			t.calling = false
			q.mu.Unlock()
			return
		}
		if index := r.View().Routes; index != nil {
			if newest, ok := q.limitsOf(index, now)[team]; ok {
				limit = newest
			}
		}
		t.sequence++
		asked := len(t.waiting)
		ask := sharedrate.Ask{Team: team, VM: r.config.ID, Process: r.started.UnixNano(), Sequence: t.sequence, Limit: limit, Waiting: asked}
		t.wallet.Ask(now, &ask)
		q.counts.Returned += int64(ask.Unused + ask.Refunded)
		q.mu.Unlock()
		answer, ok := r.askQuotaHolder(ask)
		if ok {
			r.settleCredits(team, t, now, asked, answer)
			continue
		}
		if asked == 0 {
			// Only refunds were pending, and they are lost with the call.
			continue
		}
		time.Sleep(quotaRetry)
	}
}

// dropGone removes requests that no longer wait. The caller must hold the mutex of the quotas.
func (t *teamQuota) dropGone() {
	kept := t.waiting[:0]
	for _, w := range t.waiting {
		if !w.gone {
			kept = append(kept, w)
		}
	}
	clear(t.waiting[len(kept):])
	t.waiting = kept
}

// settleCredits distributes the answer to a call that began at start among the first requests that wait.
func (r *Router) settleCredits(team string, t *teamQuota, start time.Time, asked int, answer sharedrate.Answer) {
	q, now := r.quotas, bootNow()
	q.mu.Lock()
	defer q.mu.Unlock()
	granted := t.wallet.Answered(start, now, asked, answer)
	if granted == 0 && answer.Granted >= asked && asked > 0 {
		// The answer came after the end of its credits: the requests ask again.
		return
	}
	for n, w := range t.waiting[:asked] {
		switch {
		case n < granted && w.gone:
			t.wallet.Refund(now, now, q.refundLife)
		case n < granted:
			q.counts.Granted++
			w.done <- nil
		case !w.gone:
			w.done <- r.overQuota(team, t, answer.RetryAfter+time.Duration(n-granted)*answer.Step, w.late, now)
		}
	}
	t.waiting = append([]*quotaWaiter(nil), t.waiting[asked:]...)
}

// askQuotaHolder asks the holder of the team's bucket, and the next candidate if the first one says that it is not the holder or does
// not answer soon. The holder counts a call that reaches it twice once.
func (r *Router) askQuotaHolder(ask sharedrate.Ask) (sharedrate.Answer, bool) {
	if r.peers == nil {
		return r.shareAlone(ask), true
	}
	holders := r.peers.QuotaHolders(ask.Team, time.Now())
	if len(holders) == 0 {
		return sharedrate.Answer{}, false
	}
	answers := make(chan quotaAnswer, len(holders))
	pending, rest := 1, holders[1:]
	go func() { answers <- r.askCandidate(holders[0], ask) }()
	hedge := time.NewTimer(holderHedge)
	defer hedge.Stop()
	for pending > 0 {
		askNext := false
		select {
		case a := <-answers:
			pending--
			if a.ok && !a.NotHolder {
				return a.Answer, true
			}
			askNext = a.ok
		case <-hedge.C:
			askNext = true
		}
		if askNext && len(rest) > 0 {
			next := rest[0]
			rest = nil
			pending++
			go func() { answers <- r.askCandidate(next, ask) }()
		}
	}
	return sharedrate.Answer{}, false
}

// quotaAnswer is the answer of a candidate. It is not ok if the candidate did not answer.
type quotaAnswer struct {
	sharedrate.Answer
	ok bool
}

// askCandidate asks one candidate for credits. A VM of an older version counts as one that is not the holder.
func (r *Router) askCandidate(candidate relay.QuotaHolder, ask sharedrate.Ask) quotaAnswer {
	ctx := context.Background()
	if candidate.Self {
		return quotaAnswer{r.Credits(ctx, relay.CreditsArgs{Ask: ask}).Answer, true}
	}
	reply, err := r.callHolder(ctx, candidate.Link, relay.CreditsArgs{Ask: ask})
	switch {
	case fault.Is(err, fault.Unsupported):
		return quotaAnswer{sharedrate.Answer{NotHolder: true}, true}
	case err != nil:
		return quotaAnswer{}
	}
	return quotaAnswer{reply.Answer, true}
}

func (r *Router) callHolder(ctx context.Context, link *relay.Link, args relay.CreditsArgs) (relay.CreditsReply, error) {
	q := r.quotas
	q.mu.Lock()
	q.counts.Calls++
	q.mu.Unlock()
	reply, err := link.Credits(ctx, args)
	if err != nil && ctx.Err() == nil {
		q.mu.Lock()
		q.logBounded(bootNow(), func() {
			r.log.Warn("credits not obtained", "team", args.Ask.Team, "holder", link.PeerID(), "code", fault.CodeOf(err), "error", err)
		})
		q.mu.Unlock()
	}
	return reply, err
}

// endRefusals logs the end of refusals and drops the state of teams without requests. The caller must hold mu.
func (q *quotas) endRefusals(now time.Time, r *Router) {
	for name, t := range q.teams {
		if t.refusing && now.Sub(t.refusedAt) > refusalsEndAfter {
			refused := t.refused
			t.refusing, t.refused = false, 0
			q.logBounded(now, func() { r.log.Info("team within quota", "team", name, "refused", refused) })
		}
		if !t.calling && !t.refusing && now.Sub(t.wallet.LastUsed()) > unusedQuotaAfter {
			delete(q.teams, name)
		}
	}
}

// confirmQuotas records that the control group has confirmed the list of entry VMs.
func (r *Router) confirmQuotas() {
	q := r.quotas
	q.mu.Lock()
	defer q.mu.Unlock()
	q.holder.Confirm(bootNow())
}

// refundQuota gives the credit of a refused request back if nothing of it was sent.
func (r *Router) refundQuota(request *Request) {
	m := request.quota
	if m == nil || m.begun.Load() != m.unsent.Load() {
		return
	}
	request.quota = nil
	q, now, team := r.quotas, bootNow(), request.Team.Name
	q.mu.Lock()
	defer q.mu.Unlock()
	t, ok := q.teams[team]
	if !ok || !t.wallet.Refund(now, m.counted, q.refundLife) {
		return
	}
	limit, _ := q.limit(r.View().Routes, request, now)
	time.AfterFunc(refundDelay, func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		if !t.calling && t.wallet.HasRefunds() {
			t.calling = true
			go r.obtainCredits(team, limit, t)
		}
	})
}

// QuotaCounts returns a snapshot of the counters of quotas.
func (r *Router) QuotaCounts() QuotaCounts {
	r.quotas.mu.Lock()
	defer r.quotas.mu.Unlock()
	return r.quotas.counts
}

// Quota describes the quota of one team.
type Quota struct {
	Team string `json:"team"`
	// PerSecond and Burst are the quota over all entry VMs together.
	PerSecond float64 `json:"per_second"`
	Burst     float64 `json:"burst"`
	// Holder is the ID of the entry VM that holds the bucket, empty if it is not known.
	Holder string `json:"holder"`
	// Held is set if this VM has a bucket of the team. Tokens and Outstanding are its tokens and the credits that other VMs hold,
	// and Part is the part of the rate that it may issue.
	Held        bool    `json:"held"`
	Tokens      float64 `json:"tokens"`
	Outstanding float64 `json:"outstanding"`
	Part        float64 `json:"part"`
}

// Quotas returns the quotas of all teams that have one, ordered as in the route table.
func (r *Router) Quotas() []Quota {
	all := []Quota{}
	index := r.View().Routes
	if index == nil {
		return all
	}
	q, now := r.quotas, bootNow()
	q.mu.Lock()
	q.limitsOf(index, now)
	states := map[string]sharedrate.State{}
	for _, s := range q.holder.States(now) {
		states[s.Team] = s
	}
	q.mu.Unlock()
	for _, team := range index.Table.Teams {
		if team.PerSecond <= 0 {
			continue
		}
		quota := Quota{Team: team.Name, PerSecond: team.PerSecond, Burst: team.Burst}
		if s, ok := states[team.Name]; ok {
			quota.Held, quota.Tokens, quota.Outstanding, quota.Part = true, s.Tokens, s.Outstanding, s.Part
		}
		if r.peers != nil {
			quota.Holder = r.peers.FirstQuotaHolder(team.Name)
		}
		all = append(all, quota)
	}
	return all
}
