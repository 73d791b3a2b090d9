// Package fanout is the state machine of one query over many shards. It performs no I/O and reads no clock: the driver
// feeds events with the current time and carries out the returned actions.
package fanout

import (
	"slices"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/model"
	"github.com/wisteriamux/wisteriamux/internal/snapshot"
)

// Reasons of missing shards besides fault codes and those of package snapshot.
const (
	ReasonDeadline  = "no result in time"
	ReasonRetired   = "snapshot retired"
	ReasonAbandoned = "query ended early"
)

const (
	// restartShare is the share of the deadline that must be left for a restart.
	restartShare = 0.5
	// replanPause is the time between looks for a newer snapshot after the pinned one was retired. The rejection of a
	// retired snapshot arrives before the announcement of the newer one.
	replanPause = 20 * time.Millisecond
	// hedgePause is the least time before a hedge that found no idle replica or no token is tried again.
	hedgePause = 10 * time.Millisecond
	// maxRetries bounds the retries of one shard.
	maxRetries = 2
)

// shard is the progress of one shard of the plan.
type shard struct {
	target  snapshot.Target
	rule    model.Rule
	waitAt  time.Time
	hedgeAt time.Time
	tried   []model.Upstream
	pending []uint64
	retries int
	hedged  bool
	// crashed is set once an upstream crashed with the sub-request in flight; a second crash ends the retries.
	crashed bool
	retired bool
	// included, or a reason once the shard is known to be missing; both empty while it is open.
	included bool
	reason   string
	items    [][]byte
}

func (s *shard) open() bool { return !s.included && s.reason == "" }

// Machine runs one query. It is not safe for concurrent use.
type Machine struct {
	query   Query
	policy  Policy
	plan    snapshot.Plan
	shards  []*shard
	pending map[uint64]*shard
	open    int

	restarted  bool
	mayHaveRun bool
	finished   bool
	// refused is set when a shard is missing whose rule refuses partial answers.
	refused bool
	wakeAt  time.Time
	actions []Action
}

// New returns the machine of a query at the plan.
func New(query Query, plan snapshot.Plan, policy Policy) *Machine {
	m := &Machine{query: query, policy: policy}
	m.adopt(plan)
	return m
}

func (m *Machine) adopt(plan snapshot.Plan) {
	m.plan = plan
	m.pending = make(map[uint64]*shard, len(plan.Targets))
	m.shards = make([]*shard, 0, len(plan.Targets))
	m.open = len(plan.Targets)
	m.refused = false
	for _, target := range plan.Targets {
		rule := m.query.Rules[target.Shard.Service]
		m.shards = append(m.shards, &shard{target: target, rule: rule, waitAt: m.waitEnd(rule)})
	}
	for _, missing := range plan.Missing {
		if !m.query.Rules[missing.Service].PartialAllowed {
			m.refused = true
		}
	}
}

// waitEnd returns the time until which the rule waits for the last shard.
func (m *Machine) waitEnd(rule model.Rule) time.Time {
	whole := m.query.Deadline.Sub(m.query.Started)
	return m.query.Started.Add(time.Duration(rule.WaitShare * float64(whole)))
}

// Start sends the first attempt of every shard.
func (m *Machine) Start(now time.Time) []Action {
	m.launch(now)
	return m.take()
}

// Handle applies an event. Events after the finish change nothing.
func (m *Machine) Handle(now time.Time, event Event) []Action {
	if m.finished {
		return nil
	}
	switch e := event.(type) {
	case Result:
		m.result(now, e)
	case OwnerLost:
		for _, id := range e.IDs {
			m.ownerLost(now, id)
		}
	case TimerFired:
		m.wake(now)
	case Replanned:
		m.replanned(now, e.Plan)
	case CallerGone:
		m.finish(fault.Cancelled)
	}
	return m.take()
}

// take finishes the query if it is decided, and returns the collected actions.
func (m *Machine) take() []Action {
	if !m.finished && (m.open == 0 || m.refused) {
		m.finish(m.verdict())
	}
	actions := m.actions
	m.actions = nil
	return actions
}

func (m *Machine) launch(now time.Time) {
	if m.refused {
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
	m.arm()
}

// attempt sends the shard to one of the replicas; without a replica the shard is missing.
func (m *Machine) attempt(now time.Time, s *shard, replicas []model.Upstream, extra bool) {
	upstream, ok := m.policy.Choose(now, replicas)
	if !ok {
		m.miss(s, snapshot.ReasonNoUpstream)
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
		Timeout:    s.waitAt.Sub(now),
		Extra:      extra,
		AfterCrash: s.crashed,
	})
}

func (m *Machine) emit(action Action) { m.actions = append(m.actions, action) }

// result applies a sub-result. Identifiers that are not pending belong to late, duplicate or foreign results.
func (m *Machine) result(now time.Time, r Result) {
	s, ok := m.settle(r.ID)
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
		m.include(s, r.Items)
	case fault.BadRequest, fault.Quarantined:
		m.finish(code)
	default:
		m.failed(now, s, code)
	}
}

// settle removes a sub-request from the pending ones.
func (m *Machine) settle(id uint64) (*shard, bool) {
	s, ok := m.pending[id]
	if !ok {
		return nil, false
	}
	delete(m.pending, id)
	s.pending = slices.DeleteFunc(s.pending, func(other uint64) bool { return other == id })
	return s, true
}

func (m *Machine) include(s *shard, items [][]byte) {
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

func (m *Machine) miss(s *shard, reason string) {
	s.reason = reason
	m.open--
	m.cancelPending(s)
	if !s.rule.PartialAllowed {
		m.refused = true
	}
}

// failed retries a shard on a replica that it has not tried, once no other attempt of it is pending.
func (m *Machine) failed(now time.Time, s *shard, code fault.Code) {
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
		m.retire(now, s)
		return
	}
	m.miss(s, string(code))
}

// redirect sends the shard to a replica that it has not tried, without a token of the retry budget: an upstream that
// leaves or changes its owner refuses many requests at once, and none of them put load on an upstream.
func (m *Machine) redirect(now time.Time, s *shard) bool {
	replicas := s.untried()
	if len(replicas) == 0 || !now.Before(s.waitAt) {
		return false
	}
	m.attempt(now, s, replicas, false)
	return true
}

func (m *Machine) retry(now time.Time, s *shard, replicas []model.Upstream) bool {
	if len(replicas) == 0 || s.retries >= maxRetries || !now.Before(s.waitAt) || !m.policy.AllowRetry(now) {
		return false
	}
	s.retries++
	m.attempt(now, s, replicas, true)
	return true
}

func (s *shard) untried() []model.Upstream {
	var rest []model.Upstream
	for _, upstream := range s.target.Upstreams {
		if !slices.ContainsFunc(s.tried, func(t model.Upstream) bool { return t.Name == upstream.Name }) {
			rest = append(rest, upstream)
		}
	}
	return rest
}

// ownerLost retries on another replica, or on the same one if the shard has no other: its next owner can serve it.
func (m *Machine) ownerLost(now time.Time, id uint64) {
	s, ok := m.settle(id)
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
		m.miss(s, string(fault.Unavailable))
	}
}

// retire looks for a newer snapshot for the whole query while a restart is still permitted.
func (m *Machine) retire(now time.Time, s *shard) {
	if !m.mayRestart(now) {
		m.miss(s, ReasonRetired)
		return
	}
	s.retired = true
	m.emit(Replan{})
}

func (m *Machine) mayRestart(now time.Time) bool {
	whole := m.query.Deadline.Sub(m.query.Started)
	left := m.query.Deadline.Sub(now)
	return !m.restarted && float64(left) >= restartShare*float64(whole)
}

func (m *Machine) replanned(now time.Time, plan snapshot.Plan) {
	if !m.anyRetired() {
		return
	}
	if m.mayRestart(now) && newer(plan.Snapshot, m.plan.Snapshot) {
		m.restart(now, plan)
		return
	}
	m.armAt(now.Add(replanPause))
}

func (m *Machine) anyRetired() bool {
	return slices.ContainsFunc(m.shards, func(s *shard) bool { return s.retired && s.open() })
}

// newer reports whether a is a later snapshot than b: a higher version, or the same one under a later shard map.
func newer(a, b model.Snapshot) bool {
	if a.Version != b.Version {
		return a.Version > b.Version
	}
	later := false
	for service, generation := range a.Generations {
		if generation < b.Generations[service] {
			return false
		}
		later = later || generation > b.Generations[service]
	}
	return later
}

// restart drops everything that was collected, so that no response mixes two snapshots.
func (m *Machine) restart(now time.Time, plan snapshot.Plan) {
	for _, s := range m.shards {
		m.cancelPending(s)
	}
	m.restarted = true
	m.adopt(plan)
	m.wakeAt = time.Time{}
	m.launch(now)
}

// wake ends the wait of services, sends hedges, and looks for a newer snapshot again.
func (m *Machine) wake(now time.Time) {
	m.wakeAt = time.Time{}
	replan := false
	for _, s := range m.shards {
		if !s.open() {
			continue
		}
		switch {
		case !now.Before(s.waitAt):
			m.miss(s, s.overdueReason())
		case s.retired && !m.mayRestart(now):
			m.miss(s, ReasonRetired)
		case s.retired:
			replan = true
		case !s.hedgeAt.IsZero() && !now.Before(s.hedgeAt):
			m.hedge(now, s)
		}
	}
	if replan {
		m.emit(Replan{})
	}
	m.arm()
}

func (s *shard) overdueReason() string {
	if s.retired {
		return ReasonRetired
	}
	return ReasonDeadline
}

// hedge sends a second attempt to an untried replica in another failure domain. Without an idle replica or a token it
// looks again later.
func (m *Machine) hedge(now time.Time, s *shard) {
	s.hedgeAt = time.Time{}
	if s.hedged || len(s.pending) != 1 {
		return
	}
	last := s.tried[len(s.tried)-1]
	elsewhere := slices.DeleteFunc(s.untried(), func(u model.Upstream) bool { return u.FailureDomain == last.FailureDomain })
	if len(elsewhere) == 0 {
		return
	}
	if upstream, ok := m.policy.AllowHedge(now, elsewhere); ok {
		s.hedged = true
		m.send(now, s, upstream, true)
		return
	}
	if delay, ok := m.policy.HedgeDelay(now, last); ok {
		s.hedgeAt = now.Add(max(delay, hedgePause))
	}
}

// arm arms the timer for the earliest due time of the open shards.
func (m *Machine) arm() {
	var earliest time.Time
	consider := func(at time.Time) {
		if !at.IsZero() && (earliest.IsZero() || at.Before(earliest)) {
			earliest = at
		}
	}
	for _, s := range m.shards {
		if s.open() {
			consider(s.waitAt)
			consider(s.hedgeAt)
		}
	}
	if !earliest.IsZero() {
		m.armAt(earliest)
	}
}

func (m *Machine) armAt(at time.Time) {
	if m.wakeAt.IsZero() || at.Before(m.wakeAt) {
		m.wakeAt = at
		m.emit(ArmTimer{At: at})
	}
}

// verdict returns the code of the outcome.
func (m *Machine) verdict() fault.Code {
	included, missing, overShare := 0, len(m.plan.Missing), 0
	for _, s := range m.shards {
		if s.included {
			included++
			continue
		}
		missing++
		if s.reason == string(fault.OverShare) {
			overShare++
		}
	}
	switch {
	case missing == 0:
		return ""
	case !m.mayHaveRun && len(m.pending) == 0 && overShare > 0:
		return fault.OverShare
	case !m.mayHaveRun && len(m.pending) == 0:
		return fault.NotRun
	case m.refused || included == 0:
		return fault.Incomplete
	}
	return ""
}

func (m *Machine) finish(code fault.Code) {
	for _, s := range m.shards {
		if s.open() {
			m.miss(s, ReasonAbandoned)
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
