package router

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/pace"
	"github.com/wisteriamux/wisteriamux/internal/relay"
	"github.com/wisteriamux/wisteriamux/internal/replica"
	"github.com/wisteriamux/wisteriamux/internal/route"
	"github.com/wisteriamux/wisteriamux/internal/upstreamconn"
)

// explainDraw replaces random draws in explanations: an upstream whose share is at most a half is passed.
const explainDraw = 0.5

// Problem tells why there is nothing to explain.
type Problem string

// The problems of explanations.
const (
	NoConfiguration Problem = "no_configuration"
	NoRoute         Problem = "no_route"
	UnknownTeam     Problem = "unknown_team"
)

// ExplainRequest describes a request of which the decisions are to be explained. Team is the name of a team, empty for none.
type ExplainRequest struct {
	Host, Path, Method, Team string
}

// Explanation tells what this VM would do with a request that arrives now. Durations are in ms.
type Explanation struct {
	VM            string `json:"vm"`
	FailureDomain string `json:"failure_domain"`
	// Problem is empty unless there is nothing to explain.
	Problem      Problem       `json:"problem,omitempty"`
	Method       string        `json:"method"`
	Revision     uint64        `json:"revision"`
	ViewAge      int64         `json:"view_age_ms"`
	TableVersion uint64        `json:"table_version"`
	Route        string        `json:"route"`
	Team         *TeamState    `json:"team,omitempty"`
	Rank         int           `json:"rank"`
	Admission    Admission     `json:"admission"`
	Targets      []TargetState `json:"targets"`
	// HedgeAfter is the delay after which a second attempt follows if there is no response, 0 if none does. It needs a token of the
	// retry budget.
	HedgeAfter float64 `json:"hedge_after_ms"`
	// Refusals are in the order in which they are decided. The first one with the share 1 determines the response.
	Refusals []Refusal `json:"refusals"`
}

// TeamState is a team with its quota as far as this VM knows it. Quota is nil if the team has none.
type TeamState struct {
	Name  string `json:"name"`
	Quota *Quota `json:"quota,omitempty"`
}

// Admission is the decision on the arrival and its inputs.
type Admission struct {
	Mode string `json:"mode"`
	// RefusedShare is the probability with which the request would be refused. Fraction is that of all requests.
	RefusedShare float64 `json:"refused_share"`
	Fraction     float64 `json:"fraction"`
	// EvidenceAge is the time since the last evidence in ms, -1 if there was none.
	EvidenceAge int64 `json:"evidence_age_ms"`
	// Usual is the usual response time of the route, and Objective its latency objective, in ms.
	Usual     float64 `json:"usual_ms"`
	Objective float64 `json:"objective_ms"`
}

// TargetState is a shard of a search, or the service of a forwarded request.
type TargetState struct {
	Service string `json:"service"`
	// Upstreams begins with those that would be chosen, in order, followed by those that would not.
	Upstreams []UpstreamState `json:"upstreams"`
}

// UpstreamState is an upstream and what decides about it.
type UpstreamState struct {
	ID            string `json:"upstream"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	// Order is the place in the order of choice from 1, or 0 if the upstream would not be chosen, for the reason Excluded.
	Order    int    `json:"order"`
	Excluded string `json:"excluded,omitempty"`
	// Cost is the estimated latency in multiples of the usual one. Share is the share of its usual requests.
	Cost  float64 `json:"cost"`
	Share float64 `json:"share"`
	Cold  bool    `json:"cold"`
	// PerSecond is the rate of a cold upstream, 0 if there is none.
	PerSecond float64 `json:"cold_per_second"`
	// Stalled is set if the upstream has stalled or is in backoff.
	Stalled bool `json:"stalled"`
	// Contested is set if others are chosen first because a process that started later reports the same address.
	Contested bool `json:"contested"`
	InFlight  int  `json:"in_flight"`
	// MaxInFlight is the share of this VM of the connections to the upstream, 0 if there is no limit.
	MaxInFlight int  `json:"max_in_flight"`
	Idle        int  `json:"idle_connections"`
	Local       bool `json:"local"`
	// Relay is the VM through which a first attempt would go, empty if it would go directly.
	Relay string `json:"relay,omitempty"`
}

// Refusal is a reason for which the request would be refused. The status belongs to the protocol of the callers, which sets it.
type Refusal struct {
	Code   fault.Code `json:"code"`
	Status int        `json:"status"`
	// Share is the share of such requests that is refused: 1, or less if admission refuses a part of them.
	Share  float64 `json:"share"`
	Reason string  `json:"reason"`
}

// Explain returns what would happen to a request that arrives now. It sends nothing and changes nothing that a decision depends on.
func (r *Router) Explain(asked ExplainRequest) Explanation {
	age := r.keys.age()
	view, now := r.View(), time.Now()
	e := Explanation{VM: r.config.ID, FailureDomain: r.config.FailureDomain, Method: asked.Method, Revision: view.Revision, ViewAge: age.millis(),
		Targets: []TargetState{}, Refusals: []Refusal{}}
	if view.Routes == nil {
		e.Problem = NoConfiguration
		return e
	}
	e.TableVersion = view.Routes.Table.Version
	rt := view.Routes.Match(asked.Host, asked.Path)
	if rt == nil {
		e.Problem = NoRoute
		return e
	}
	e.Route = rt.Name
	team, known := teamNamed(view.Routes, asked.Team)
	if !known {
		e.Problem = UnknownTeam
		return e
	}
	keyed := view.Routes.HasTeams() && !rt.Public
	if !keyed {
		team = nil
	}
	request := &Request{
		Request:  upstreamconn.Request{Method: asked.Method, Host: asked.Host, Target: asked.Path},
		Received: now, Limit: rt.Timeout, Team: team, TableVersion: e.TableVersion,
	}
	e.Rank = team.RankOn(rt)
	if keyed {
		e.refuse(explainKey(decideKey(team, age, r.keys.revoke)))
	}
	if r.ranked() {
		e.refuse(r.refuseHopeless(rt, request))
	}
	admissionAt := len(e.Refusals)
	if len(rt.Shards) > 0 {
		e.refuse(r.refuseLimited(rt, now))
		e.refuse(r.refuseEvacuated(rt))
		e.refuse(r.refuseWithoutRoom(rt))
	}
	if team != nil {
		e.explainTeam(r, team)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.peekStats(rt)
	services := rt.Shards
	if len(services) > 0 {
		e.HedgeAfter = toMillis(s.hedgeDelay(rt.Objective))
	} else {
		service := rt.Service
		if len(rt.Split) > 0 {
			service = nextService(rt, maps.Clone(s.splitCredit))
		}
		services = []string{service}
		if delay, hedged := forwardHedgeDelay(rt); hedged {
			e.HedgeAfter = toMillis(delay)
		}
	}
	if rt.Attempts < 2 {
		e.HedgeAfter = 0
	}
	e.Admission = r.explainAdmission(rt, services[0], request)
	unserved := 0
	for shard, service := range services {
		target := r.explainTarget(now, view, rt, shard, service)
		e.Targets = append(e.Targets, target)
		if len(target.Upstreams) == 0 || target.Upstreams[0].Order == 0 {
			unserved++
		}
	}
	switch {
	case len(e.Refusals) > 0:
		// The request is refused before upstreams are chosen.
	case len(rt.Shards) == 0 && unserved > 0:
		e.refuse(r.forwardNotRun(services[0], 0, now))
	case unserved == len(services):
		e.refuse(fault.New(fault.NotRun, "router.explain", "no shard has an upstream that takes requests"))
	case len(services)-unserved < minShards(len(services), rt.Coverage):
		// Some parts run before it is known that too few will be there.
		e.refuse(fault.New(fault.UpstreamFailed, "router.explain", "%d of %d shards have no upstream that takes requests", unserved, len(services)))
	}
	if share := e.Admission.RefusedShare; share > 0 {
		e.Refusals = slices.Insert(e.Refusals, admissionAt, Refusal{Code: fault.Overloaded, Share: share, Reason: "queueing makes requests miss their latency objective"})
	}
	return e
}

// refuse adds the error of a decision, if there is one.
func (e *Explanation) refuse(err error) {
	if err != nil {
		e.Refusals = append(e.Refusals, Refusal{Code: fault.CodeOf(err), Reason: err.Error(), Share: 1})
	}
}

// teamNamed returns the team with the name. An empty name is known and means no team.
func teamNamed(index *route.Index, name string) (team *route.Team, known bool) {
	if name == "" {
		return nil, true
	}
	n := slices.IndexFunc(index.Table.Teams, func(t route.Team) bool { return t.Name == name })
	if n < 0 {
		return nil, false
	}
	return &index.Table.Teams[n], true
}

// explainKey returns the error for a request whose key got this verdict.
func explainKey(verdict KeyVerdict) error {
	switch verdict {
	case KeyUnknown:
		return fault.New(fault.Unauthenticated, "router.explain", "the route needs the key of a team")
	case KeyUnsure:
		return fault.New(fault.Unconfirmed, "router.explain", "this VM cannot be sure which team a key belongs to")
	}
	return nil
}

// explainTeam adds the team, its quota, and the refusal if this VM denies requests of the team without asking the holder.
func (e *Explanation) explainTeam(r *Router, team *route.Team) {
	e.Team = &TeamState{Name: team.Name}
	if team.PerSecond <= 0 {
		return
	}
	quotas := r.Quotas()
	if n := slices.IndexFunc(quotas, func(q Quota) bool { return q.Team == team.Name }); n >= 0 {
		e.Team.Quota = &quotas[n]
	}
	now := bootNow()
	r.quotas.mu.Lock()
	defer r.quotas.mu.Unlock()
	t, known := r.quotas.teams[team.Name]
	if !known {
		return
	}
	wallet := t.wallet
	if wallet.Take(now) {
		return
	}
	if retryAfter, denied := wallet.Denied(now, explainDraw); denied {
		e.refuse(fault.New(fault.OverQuota, "router.explain", "%w", &OverQuotaError{Team: team.Name, RetryAfter: retryAfter}))
	}
}

// explainAdmission returns the decision of admission. The caller must hold mu.
func (r *Router) explainAdmission(rt *route.Route, service string, request *Request) Admission {
	now := request.Received
	a := Admission{Mode: AdmissionFraction, EvidenceAge: -1, Usual: toMillis(time.Duration(r.peekStats(rt).expected)), Objective: toMillis(rt.Objective)}
	var evidence time.Time
	switch {
	case r.ranked():
		a.Mode = AdmissionRanked
		key := serviceDoorKey(service)
		if len(rt.Shards) > 0 {
			key = searchDoorKey(rt)
		}
		if d, ok := r.admissions.doors[key]; ok {
			a.RefusedShare, a.Fraction, evidence = d.door.Preview(now, r.arrival(rt, request)), d.door.Fraction(now), d.door.EvidenceAt()
		}
	case len(rt.Shards) > 0:
		if c, ok := r.overload[rt.Shards[0]]; ok {
			retry := r.peekStats(rt).limitEstimate.waited(request.Limit) > limitTolerance
			a.RefusedShare, a.Fraction, evidence = c.Preview(now, retry), c.ShedFraction(now), c.EvidenceAt()
		}
	}
	if !evidence.IsZero() {
		a.EvidenceAge = now.Sub(evidence).Milliseconds()
	}
	return a
}

// explainTarget returns the upstreams of a service in the order of choice. The caller must hold mu.
func (r *Router) explainTarget(now time.Time, view *View, rt *route.Route, shard int, service string) TargetState {
	target := TargetState{Service: service, Upstreams: []UpstreamState{}}
	tracker := r.tracker.Reader()
	marked := pace.Mark(now, r.pace, view.candidates[service])
	members := view.byService[service]
	var tried []*upstream
	for {
		index := r.selectUpstream(now, view, service, tried, tracker, func() float64 { return explainDraw })
		if index < 0 {
			break
		}
		tried = append(tried, members[index])
		state := r.explainUpstream(now, tracker, members[index], marked[index])
		state.Order = len(tried)
		state.Relay = r.explainRelay(now, rt, shard, members[index])
		target.Upstreams = append(target.Upstreams, state)
	}
	for n, u := range members {
		if !wasTried(tried, u.instance.ID) {
			state := r.explainUpstream(now, tracker, u, marked[n])
			state.Excluded = r.unavailableFor(u, now, true)
			if state.Excluded == "" {
				state.Excluded = r.unavailableFor(u, now, false)
			}
			target.Upstreams = append(target.Upstreams, state)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(view.withheld)) {
		if u := view.withheld[id]; u.instance.Service == service {
			state := r.explainUpstream(now, tracker, u, u.candidate)
			state.Excluded = "evacuated"
			target.Upstreams = append(target.Upstreams, state)
		}
	}
	return target
}

// explainUpstream returns what decides about an upstream. The caller must hold mu.
func (r *Router) explainUpstream(now time.Time, tracker *replica.Tracker, u *upstream, c replica.Candidate) UpstreamState {
	perSecond := r.coldPerSecond(u, now)
	return UpstreamState{
		ID: c.ID, Address: u.instance.Address, FailureDomain: u.instance.FailureDomain, Cost: tracker.Cost(now, c), Share: r.pace.Share(now, c.ID),
		Cold: now.Before(c.ColdUntil) || perSecond > 0, PerSecond: perSecond, Stalled: tracker.Stalled(now, c.ID),
		Contested: r.contests.demotes(u.location(), now, r.taken),
		InFlight:  tracker.InFlight(c.ID), MaxInFlight: c.MaxInFlight, Idle: u.pool.IdleCount(), Local: c.Local,
	}
}

// explainRelay returns the VM through which a first attempt without a body would go, or "". The caller must hold mu.
func (r *Router) explainRelay(now time.Time, rt *route.Route, shard int, u *upstream) string {
	if r.peers == nil {
		return ""
	}
	elsewhere := r.ownLinkAvoided(u, now, explainDraw)
	switch {
	case len(rt.Shards) > 0 && (elsewhere || !r.isNear(u)):
		return r.peers.Preview(u.instance.FailureDomain, relay.GroupOf(shard, len(rt.Shards), r.peers.DomainCount()), elsewhere, now)
	case len(rt.Shards) == 0 && elsewhere:
		return r.peers.Preview(u.instance.FailureDomain, forwardGroup(u), true, now)
	}
	return ""
}

func toMillis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// forwardGroup returns the group of an upstream for forwarded requests.
func forwardGroup(u *upstream) int { return int(xxhash.Sum64String(u.instance.ID) % forwardGroups) }
