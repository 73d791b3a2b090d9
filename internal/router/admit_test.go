package router

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/controlrpc"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/overload"
	"github.com/wisteriamux/wisteriamux/internal/registry"
	"github.com/wisteriamux/wisteriamux/internal/replica"
	"github.com/wisteriamux/wisteriamux/internal/route"
	"github.com/wisteriamux/wisteriamux/internal/upstreamconn"
)

var _ = Describe("the admission of requests", func() {
	const (
		objective = 200 * time.Millisecond
		timeLimit = 2400 * time.Millisecond
	)
	search := &route.Route{Name: "search", Idempotent: true, Attempts: 2, Timeout: timeLimit, Objective: objective, Shards: []string{"s", "t"}, Coverage: 1}
	forward := &route.Route{Name: "forward", Idempotent: true, Attempts: 2, Timeout: timeLimit, Objective: objective, Service: "s"}
	var logged *bytes.Buffer
	var now time.Time
	BeforeEach(func() { now = time.Now() })

	// start returns a router whose upstreams accept no connections.
	start := func(admission string, services ...string) *Router {
		logged = &bytes.Buffer{}
		r := New(Config{ID: "x", Admission: admission}, nil, nil, slog.New(slog.NewTextHandler(logged, nil)))
		delta := registry.Delta{Whole: true}
		for _, service := range services {
			delta.Changed = append(delta.Changed, registry.Instance{ID: "i-" + service, Service: service, Address: "127.0.0.1:1", Slots: 2, State: registry.Ready})
		}
		r.adopt(controlrpc.WatchReply{Revision: 1, Instances: delta})
		return r
	}

	next := 0
	request := func(rank int, limit time.Duration) *Request {
		next++
		q := &Request{Request: upstreamconn.Request{Method: "GET", Target: fmt.Sprint("/", next), Caller: "10.0.0.1"}, Received: now, Limit: limit,
			Team: &route.Team{Name: fmt.Sprint("team-", next%5), Ranked: true, Rank: rank}}
		q.fingerprints = fingerprintsOf(&q.Request)
		return q
	}

	// overloadSearches makes the searches of the router late because of long queues.
	overloadSearches := func(r *Router, rt *route.Route) {
		r.mu.Lock()
		r.stats(rt).expected = float64(2 * objective)
		r.stats(rt).limitEstimate.observe(timeLimit)
		r.mu.Unlock()
		r.late(rt, now, objective)
	}

	It("refuses no forwarded request and names no time with the admission of fractions", func() {
		r := start(AdmissionFraction, "s", "t")
		for range 100 {
			overloadSearches(r, search)
			r.recordForward(forward, "s", replica.Refused, 0)
			Expect(r.admitForward(forward, "s", request(0, timeLimit))).To(Succeed())
		}
		var refusal error
		for range 100 {
			if err := r.admit(search, request(0, timeLimit)); err != nil {
				refusal = err
			}
		}
		Expect(fault.CodeOf(refusal)).To(Equal(fault.Overloaded))
		var overloaded *OverloadedError
		Expect(errors.As(refusal, &overloaded)).To(BeFalse())
		Expect(r.admissions.doors).To(BeEmpty())
		Expect(r.admit(search, request(0, 0))).To(Or(Succeed(), MatchError(ContainSubstring("shedding"))))
	})

	It("refuses searches at once, the least urgent first, and names a time that the caller honors", func() {
		r := start(AdmissionRanked, "s", "t")
		overloadSearches(r, search)
		began := time.Now()
		refused := [2]int{}
		for n := range 400 {
			if n%20 == 0 {
				overloadSearches(r, search)
			}
			err := r.admit(search, request(n%2, timeLimit))
			if err == nil {
				continue
			}
			refused[n%2]++
			var overloaded *OverloadedError
			Expect(errors.As(err, &overloaded)).To(BeTrue())
			Expect(overloaded.RetryAfter).To(And(BeNumerically(">=", timeLimit/6), BeNumerically("<=", timeLimit/3)))
		}
		Expect(time.Since(began) / 400).To(BeNumerically("<", objective/4))
		Expect(refused[1]).To(BeNumerically(">", refused[0]))
		counts := r.Counts()
		Expect(counts.Refused).To(Equal(int64(refused[0] + refused[1])))
		Expect(counts.RefusedByRank[1]).To(Equal(int64(refused[1])))
		Expect(counts.RefusedPercent).To(BeNumerically(">", 5))
		Expect(strings.Count(logged.String(), `msg="refusing requests"`)).To(Equal(1), logged.String())
	})

	It("logs once that it refuses no more", func() {
		r := start(AdmissionRanked, "s", "t")
		overloadSearches(r, search)
		for range 50 {
			_ = r.admit(search, request(0, timeLimit))
		}
		later := request(0, timeLimit)
		later.Received = now.Add(time.Minute)
		Expect(r.admit(search, later)).To(Succeed())
		Expect(strings.Count(logged.String(), `msg="refusing no more requests"`)).To(Equal(1), logged.String())
	})

	It("gives all tries of a request the same decision at every VM", func() {
		a, b := start(AdmissionRanked, "s", "t"), start(AdmissionRanked, "s", "t")
		for range 100 {
			q := request(0, timeLimit)
			Expect(a.admissions.repeats.draw(now, q, overload.Arrival{}, timeLimit)).To(Equal(b.admissions.repeats.draw(now.Add(time.Nanosecond), q, overload.Arrival{}, timeLimit)))
		}
	})

	// Guards against the limits of returning callers, which are admitted first, becoming the estimate for first attempts.
	It("keeps the estimate of the time limit while most first attempts are refused", func() {
		r := start(AdmissionRanked, "s", "t")
		overloadSearches(r, search)
		for n := range 600 {
			if n%20 == 0 {
				r.late(search, now, objective)
			}
			q := request(0, timeLimit)
			if n%3 == 0 {
				q = request(0, timeLimit*3/4)
			}
			if r.admit(search, q) == nil {
				r.deadlines(search, q)
			}
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		Expect(r.stats(search).limitEstimate.limit).To(Equal(timeLimit))
		Expect(r.counts.Refused).To(BeNumerically(">", 100))
	})

	// A refused caller has a low draw: with the same one it would be refused again when it comes back as told.
	It("draws anew for a caller that waited as told", func() {
		r := start(AdmissionRanked, "s", "t")
		q := request(0, timeLimit)
		first := r.admissions.repeats.draw(now, q, overload.Arrival{}, timeLimit)
		Expect(r.admissions.repeats.draw(now, q, overload.Arrival{Returning: true, Waited: timeLimit / 4}, timeLimit)).NotTo(Equal(first))
	})

	// Guards against a popular request being refused for all callers behind an address at once.
	It("draws at random for a request that comes again and again", func() {
		r := start(AdmissionRanked, "s", "t")
		q := request(0, timeLimit)
		draws := map[float64]bool{}
		for range 20 {
			draws[r.admissions.repeats.draw(now, q, overload.Arrival{}, timeLimit)] = true
		}
		Expect(len(draws)).To(BeNumerically(">", 10))
	})

	It("tells callers that waited as told from those that return at once", func() {
		r := start(AdmissionRanked, "s", "t")
		overloadSearches(r, search)
		returning := func(waited time.Duration) bool {
			r.mu.Lock()
			defer r.mu.Unlock()
			return r.arrival(search, request(0, timeLimit-waited)).Returning
		}
		Expect(returning(0)).To(BeFalse())
		Expect(returning(25 * time.Millisecond)).To(BeFalse())
		Expect(returning(100 * time.Millisecond)).To(BeFalse())
		Expect(returning(timeLimit/6 + 5*time.Millisecond)).To(BeTrue())
		Expect(returning(timeLimit / 3)).To(BeTrue())
	})

	It("refuses forwarded requests when a service responds late or refuses, not after a single slow response", func() {
		r := start(AdmissionRanked, "s")
		r.recordForward(forward, "s", replica.Answered, objective/4)
		r.recordForward(forward, "s", replica.Answered, 3*objective)
		Expect(r.admitForward(forward, "s", request(0, timeLimit))).To(Succeed())
		for range 40 {
			time.Sleep(time.Millisecond)
			r.recordForward(forward, "s", replica.Refused, 0)
		}
		refused := 0
		for range 200 {
			if err := r.admitForward(forward, "s", request(0, timeLimit)); err != nil {
				Expect(fault.CodeOf(err)).To(Equal(fault.Overloaded))
				refused++
			}
		}
		Expect(refused).To(BeNumerically(">", 5))
	})

	It("takes a search that failed early as evidence only if upstreams of several shards refused it", func() {
		r := start(AdmissionRanked, "s", "t")
		wide := &route.Route{Name: "wide", Timeout: timeLimit, Objective: objective, Attempts: 2, Shards: make([]string, 90)}
		r.failedEarly(wide, now, wide.Attempts)
		Expect(r.Counts().RefusedPercent).To(BeZero())
		r.failedEarly(wide, time.Now(), 30)
		Expect(r.Counts().RefusedPercent).To(BeNumerically(">", 5))
	})

	DescribeTable("refuses at once what cannot be served", func(rt *route.Route, limit time.Duration, services ...string) {
		r := start(AdmissionRanked, services...)
		q := request(0, limit)
		q.Received = time.Now()
		var err error
		if len(rt.Shards) > 0 {
			_, err = r.Search(context.Background(), rt, q)
		} else {
			_, err = r.Forward(context.Background(), rt, q)
		}
		Expect(fault.CodeOf(err)).To(Equal(fault.NotRun), "%v", err)
		Expect(time.Since(q.Received)).To(BeNumerically("<", objective/4))
		Expect(r.Counts().Attempts).To(BeZero())
	},
		Entry("a search without time", search, time.Duration(0), "s", "t"),
		Entry("a search with less time than a response takes", search, 5*time.Millisecond, "s", "t"),
		Entry("a search of which one shard has no upstream", search, timeLimit, "s"),
		Entry("a forwarded request without time", forward, time.Duration(0), "s"),
		Entry("a forwarded request without an upstream", forward, timeLimit, "t"),
	)

	// Guards against refusing everything for ever: the usual response time is measured only while requests are sent.
	It("does not refuse first attempts because responses once took longer than the time limit", func() {
		r := start(AdmissionRanked, "s", "t")
		r.mu.Lock()
		r.stats(search).expected = float64(time.Minute)
		r.mu.Unlock()
		Expect(r.admit(search, request(0, timeLimit))).To(Succeed())
	})

	It("keeps the number of doors bounded", func() {
		r := start(AdmissionRanked, "s", "t")
		for n := range 3 * maxDoors {
			r.admissions.get(fmt.Sprint(n), now.Add(time.Duration(n)*time.Second))
		}
		Expect(len(r.admissions.doors)).To(BeNumerically("<=", maxDoors))
	})
})
