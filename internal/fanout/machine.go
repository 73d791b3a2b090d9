// Package fanout is the state machine of one scatter-gather query over many shards. It performs no I/O and reads no
// clock: the caller passes in events with the current time and carries out the returned actions.
package fanout

import (
	"slices"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/model"
	"github.com/wisteriamux/wisteriamux/internal/snapshot"
)

// Reasons for missing shards, in addition to fault codes and the reasons of package snapshot.
const (
	ReasonDeadline  = "no result in time"
	ReasonRetired   = "snapshot retired"
	ReasonAbandoned = "query ended early"
)

const (
	// minRestartShare is the share of the query timeout that must be left for a restart.
	minRestartShare = 0.5
	// replanInterval is the time between checks for a newer snapshot after the pinned one was retired. An upstream rejects
	// the retired snapshot before this VM receives the announcement of the newer one.
	replanInterval = 20 * time.Millisecond
	// minHedgeRetryDelay is the minimum delay before a hedge is tried again that found no idle replica or no token.
	minHedgeRetryDelay = 10 * time.Millisecond
	// maxRetries bounds the retries of one shard.
	maxRetries = 2
)

// shard is the progress of one shard of the plan.
type shard struct {
	target snapshot.Target
	rule   model.Rule
	// waitUntil is when the query stops waiting for the shard.
	waitUntil time.Time
	// hedgeAt is when a hedge is due, zero for none.
	hedgeAt time.Time
	tried   []model.Upstream
	pending []uint64
	retries int
	hedged  bool
	// crashed is set once an upstream crashed with the sub-request in flight; a second crash ends the retries.
	crashed bool
	// retired is set while the shard waits for a newer snapshot because the pinned one was retired.
	retired bool
	// included is set once the shard has a result, reason once it is known to be missing. Neither is set while the shard
	// is open.
	included bool
	reason   string
	items    [][]byte
}

func (s *shard) open() bool { return !s.included && s.reason == "" }

// Machine runs one query. It is not safe for concurrent use.
type Machine struct {
	query  Query
	policy Policy
	plan   snapshot.Plan
	shards []*shard
	// pending holds the shard of each sub-request in flight, by the sub-request's ID.
	pending map[uint64]*shard
	// open counts the open shards.
	open int

	restarted bool
	// mayHaveRun is set once an upstream may have run a sub-request.
	mayHaveRun bool
	finished   bool
	// incomplete is set when a shard is missing whose rule does not allow partial responses.
	incomplete bool
	timerAt    time.Time
	actions    []Action
}

// New returns a machine that runs the query at the snapshot of the plan.
func New(query Query, plan snapshot.Plan, policy Policy) *Machine {
	m := &Machine{query: query, policy: policy}
	m.setPlan(plan)
	return m
}

func (m *Machine) setPlan(plan snapshot.Plan) {
	m.plan = plan
	m.pending = make(map[uint64]*shard, len(plan.Targets))
	m.shards = make([]*shard, 0, len(plan.Targets))
	m.open = len(plan.Targets)
	m.incomplete = false
	for _, target := range plan.Targets {
		rule := m.query.Rules[target.Shard.Service]
		m.shards = append(m.shards, &shard{target: target, rule: rule, waitUntil: m.waitDeadline(rule)})
	}
	for _, missing := range plan.Missing {
		if !m.query.Rules[missing.Service].PartialAllowed {
			m.incomplete = true
		}
	}
}

// waitDeadline returns the time until which the rule waits for the last shard.
func (m *Machine) waitDeadline(rule model.Rule) time.Time {
	timeout := m.query.Deadline.Sub(m.query.Started)
	return m.query.Started.Add(time.Duration(rule.WaitShare * float64(timeout)))
}

// Start sends the first attempt of every shard.
func (m *Machine) Start(now time.Time) []Action {
	m.sendAll(now)
	return m.takeActions()
}

// Handle applies an event. Events after the Finish action are ignored.
func (m *Machine) Handle(now time.Time, event Event) []Action {
	if m.finished {
		return nil
	}
	switch e := event.(type) {
	case Result:
		m.handleResult(now, e)
	case OwnerLost:
		for _, id := range e.IDs {
			m.handleOwnerLost(now, id)
		}
	case TimerFired:
		m.handleTimer(now)
	case Replanned:
		m.handleReplanned(now, e.Plan)
	case CallerGone:
		m.finish(fault.Cancelled)
	}
	return m.takeActions()
}

// takeActions finishes the query if its outcome is decided, and returns and clears the collected actions.
func (m *Machine) takeActions() []Action {
	if !m.finished && (m.open == 0 || m.incomplete) {
		m.finish(m.outcomeCode())
	}
	actions := m.actions
	m.actions = nil
	return actions
}

func (m *Machine) sendAll(now time.Time) {
	if m.incomplete {
		return
	}
	for _, s := range m.shards {
		m.attempt(now, s, s.target.Upstreams, false)
		if !s.open() || len(s.target.Upstreams) == 1 {
			continue
		}
		if delay, ok := m.policy.HedgeDelay(now, s.tried[0]); ok {
			s.hedgeAt = now.Add(delay)
		}
	}
	m.armTimer()
}

// attempt sends a sub-request to one of the replicas. If the policy chooses none, the shard is missing.
func (m *Machine) attempt(now time.Time, s *shard, replicas []model.Upstream, extra bool) {
	upstream, ok := m.policy.Choose(now, replicas)
	if !ok {
		m.markMissing(s, snapshot.ReasonNoUpstream)
		return
	}
	m.send(now, s, upstream, extra)
}

func (m *Machine) send(now time.Time, s *shard, upstream model.Upstream, extra bool) {
	id := m.query.NextID()
	s.tried = append(s.tried, upstream)
	s.pending = append(s.pending, id)
	m.pending[id] = s
	m.emit(Send{
		ID:         id,
		Shard:      s.target.Shard,
		Upstream:   upstream,
		Version:    m.plan.Snapshot.Version,
		Generation: m.plan.Snapshot.Generations[s.target.Shard.Service],
		Timeout:    s.waitUntil.Sub(now),
		Extra:      extra,
		AfterCrash: s.crashed,
	})
}

func (m *Machine) emit(action Action) { m.actions = append(m.actions, action) }

// handleResult applies the result of a sub-request. Results of sub-requests that are not pending are ignored: they are
// late, duplicate or belong to another query.
func (m *Machine) handleResult(now time.Time, r Result) {
	s, ok := m.removePending(r.ID)
	if !ok {
		return
	}
	code := r.Code
	if code != fault.NotRun && code != fault.OverShare && code != fault.Moved {
		m.mayHaveRun = true
	}
	generation := m.plan.Snapshot.Generations[s.target.Shard.Service]
	if code == "" && (r.Version != m.plan.Snapshot.Version || r.Generation != generation) {
		code = fault.SnapshotRetired
	}
	switch code {
	case "":
		m.markIncluded(s, r.Items)
	case fault.BadRequest, fault.Quarantined:
		m.finish(code)
	default:
		m.handleFailure(now, s, code)
	}
}

// removePending removes a sub-request from the pending ones and returns its shard.
func (m *Machine) removePending(id uint64) (*shard, bool) {
	s, ok := m.pending[id]
	if !ok {
		return nil, false
	}
	delete(m.pending, id)
	s.pending = slices.DeleteFunc(s.pending, func(other uint64) bool { return other == id })
	return s, true
}

func (m *Machine) markIncluded(s *shard, items [][]byte) {
	s.included = true
	s.items = items
	m.open--
	m.cancelPending(s)
}

func (m *Machine) cancelPending(s *shard) {
	for _, id := range s.pending {
		delete(m.pending, id)
		m.mayHaveRun = true
		m.emit(Cancel{ID: id})
	}
	s.pending = nil
}

func (m *Machine) markMissing(s *shard, reason string) {
	s.reason = reason
	m.open--
	m.cancelPending(s)
	if !s.rule.PartialAllowed {
		m.incomplete = true
	}
}

// handleFailure retries the shard on an untried replica once no other attempt of it is pending.
func (m *Machine) handleFailure(now time.Time, s *shard, code fault.Code) {
	crashedAgain := s.crashed && code == fault.UpstreamCrashed
	s.crashed = s.crashed || code == fault.UpstreamCrashed
	if len(s.pending) > 0 {
		return
	}
	if code == fault.Moved && m.redirect(now, s) {
		return
	}
	if code != fault.OverShare && !crashedAgain && m.retry(now, s, s.untried()) {
		return
	}
	if code == fault.SnapshotRetired {
		m.handleRetired(now, s)
		return
	}
	m.markMissing(s, string(code))
}

// redirect sends the sub-request to an untried replica without a token of the retry budget: an upstream that drains or
// changes its owner refuses many requests at once, and none of them has put load on an upstream.
func (m *Machine) redirect(now time.Time, s *shard) bool {
	replicas := s.untried()
	if len(replicas) == 0 || !now.Before(s.waitUntil) {
		return false
	}
	m.attempt(now, s, replicas, false)
	return true
}

func (m *Machine) retry(now time.Time, s *shard, replicas []model.Upstream) bool {
	if len(replicas) == 0 || s.retries >= maxRetries || !now.Before(s.waitUntil) || !m.policy.AllowRetry(now) {
		return false
	}
	s.retries++
	m.attempt(now, s, replicas, true)
	return true
}

func (s *shard) untried() []model.Upstream {
	var replicas []model.Upstream
	for _, upstream := range s.target.Upstreams {
		if !slices.ContainsFunc(s.tried, func(t model.Upstream) bool { return t.Name == upstream.Name }) {
			replicas = append(replicas, upstream)
		}
	}
	return replicas
}

// handleOwnerLost retries on another replica, or on the same one if the shard has no other, since its next owner can
// serve it.
func (m *Machine) handleOwnerLost(now time.Time, id uint64) {
	s, ok := m.removePending(id)
	if !ok {
		return
	}
	m.mayHaveRun = true
	if len(s.pending) > 0 {
		return
	}
	replicas := s.untried()
	if len(replicas) == 0 {
		replicas = s.target.Upstreams
	}
	if !m.retry(now, s, replicas) {
		m.markMissing(s, string(fault.Unavailable))
	}
}

// handleRetired asks for a newer snapshot for the whole query while a restart is still permitted.
func (m *Machine) handleRetired(now time.Time, s *shard) {
	if !m.mayRestart(now) {
		m.markMissing(s, ReasonRetired)
		return
	}
	s.retired = true
	m.emit(Replan{})
}

func (m *Machine) mayRestart(now time.Time) bool {
	timeout := m.query.Deadline.Sub(m.query.Started)
	remaining := m.query.Deadline.Sub(now)
	return !m.restarted && float64(remaining) >= minRestartShare*float64(timeout)
}

func (m *Machine) handleReplanned(now time.Time, plan snapshot.Plan) {
	if !m.anyRetired() {
		return
	}
	if m.mayRestart(now) && newer(plan.Snapshot, m.plan.Snapshot) {
		m.restart(now, plan)
		return
	}
	m.armTimerAt(now.Add(replanInterval))
}

func (m *Machine) anyRetired() bool {
	return slices.ContainsFunc(m.shards, func(s *shard) bool { return s.retired && s.open() })
}

// newer reports whether snapshot a is newer than b: a higher index version, or the same version with newer shard maps.
func newer(a, b model.Snapshot) bool {
	if a.Version != b.Version {
		return a.Version > b.Version
	}
	anyNewer := false
	for service, generation := range a.Generations {
		if generation < b.Generations[service] {
			return false
		}
		anyNewer = anyNewer || generation > b.Generations[service]
	}
	return anyNewer
}

// restart discards all results, so that no response mixes two snapshots, and runs the query again at the new plan.
func (m *Machine) restart(now time.Time, plan snapshot.Plan) {
	for _, s := range m.shards {
		m.cancelPending(s)
	}
	m.restarted = true
	m.setPlan(plan)
	m.timerAt = time.Time{}
	m.sendAll(now)
}

// handleTimer gives up shards whose wait is over, sends hedges that are due, and asks again for a newer snapshot.
func (m *Machine) handleTimer(now time.Time) {
	m.timerAt = time.Time{}
	replan := false
	for _, s := range m.shards {
		if !s.open() {
			continue
		}
		switch {
		case !now.Before(s.waitUntil):
			m.markMissing(s, s.timeoutReason())
		case s.retired && !m.mayRestart(now):
			m.markMissing(s, ReasonRetired)
		case s.retired:
			replan = true
		case !s.hedgeAt.IsZero() && !now.Before(s.hedgeAt):
			m.hedge(now, s)
		}
	}
	if replan {
		m.emit(Replan{})
	}
	m.armTimer()
}

func (s *shard) timeoutReason() string {
	if s.retired {
		return ReasonRetired
	}
	return ReasonDeadline
}

// hedge sends a second attempt to an untried replica in another failure domain. If no replica is idle or the budget has
// no token, it is tried again later.
func (m *Machine) hedge(now time.Time, s *shard) {
	s.hedgeAt = time.Time{}
	if s.hedged || len(s.pending) != 1 {
		return
	}
	last := s.tried[len(s.tried)-1]
	otherDomains := slices.DeleteFunc(s.untried(), func(u model.Upstream) bool { return u.FailureDomain == last.FailureDomain })
	if len(otherDomains) == 0 {
		return
	}
	if upstream, ok := m.policy.AllowHedge(now, otherDomains); ok {
		s.hedged = true
		m.send(now, s, upstream, true)
		return
	}
	if delay, ok := m.policy.HedgeDelay(now, last); ok {
		s.hedgeAt = now.Add(max(delay, minHedgeRetryDelay))
	}
}

// armTimer arms the timer for the earliest time at which an open shard needs an action.
func (m *Machine) armTimer() {
	var next time.Time
	consider := func(at time.Time) {
		if !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	for _, s := range m.shards {
		if s.open() {
			consider(s.waitUntil)
			consider(s.hedgeAt)
		}
	}
	if !next.IsZero() {
		m.armTimerAt(next)
	}
}

func (m *Machine) armTimerAt(at time.Time) {
	if m.timerAt.IsZero() || at.Before(m.timerAt) {
		m.timerAt = at
		m.emit(ArmTimer{At: at})
	}
}

// outcomeCode returns the code of the outcome: OverShare or NotRun only if no upstream can have run a sub-request,
// Incomplete if a shard is missing whose rule does not allow it.
func (m *Machine) outcomeCode() fault.Code {
	included, missing, overShareCount := 0, len(m.plan.Missing), 0
	for _, s := range m.shards {
		if s.included {
			included++
			continue
		}
		missing++
		if s.reason == string(fault.OverShare) {
			overShareCount++
		}
	}
	switch {
	case missing == 0:
		return ""
	case !m.mayHaveRun && len(m.pending) == 0 && overShareCount > 0:
		return fault.OverShare
	case !m.mayHaveRun && len(m.pending) == 0:
		return fault.NotRun
	case m.incomplete || included == 0:
		return fault.Incomplete
	}
	return ""
}

func (m *Machine) finish(code fault.Code) {
	for _, s := range m.shards {
		if s.open() {
			m.markMissing(s, ReasonAbandoned)
		}
	}
	outcome := Outcome{Code: code, Snapshot: m.plan.Snapshot, Restarted: m.restarted}
	outcome.Coverage.Missing = slices.Clone(m.plan.Missing)
	for _, s := range m.shards {
		if !s.included {
			outcome.Coverage.Missing = append(outcome.Coverage.Missing, model.MissingShard{ShardID: s.target.Shard, Reason: s.reason})
			continue
		}
		outcome.Coverage.Included = append(outcome.Coverage.Included, s.target.Shard)
		outcome.Items = append(outcome.Items, s.items...)
	}
	m.finished = true
	m.emit(Finish{Outcome: outcome})
}
