package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/fanout"
	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/model"
	"github.com/wisteriamux/wisteriamux/internal/snapshot"
)

// SearchRequest is the body of a search request.
type SearchRequest struct {
	// Services lists service names or path.Match patterns.
	Services      []string `json:"services"`
	Query         string   `json:"query"`
	TimeoutMillis int64    `json:"timeout_ms"`
}

// SearchResponse is the body of an answer to a search, complete or partial.
type SearchResponse struct {
	Status    string            `json:"status"`
	RequestID string            `json:"request_id"`
	Snapshot  model.Snapshot    `json:"snapshot"`
	Coverage  model.Coverage    `json:"coverage"`
	Items     []json.RawMessage `json:"items"`
}

// Values of the status field of a successful response.
const (
	StatusAnswered = "answered"
	StatusPartial  = "partial"
)

// search fans the request out to all shards of the matching services, all at the same snapshot.
func (s *Server) search(ctx context.Context, requestID, caller string, request SearchRequest) (SearchResponse, error) {
	current, err := s.session.ViewForNewWork()
	if err != nil {
		return SearchResponse{}, err
	}
	config := current.View.Config
	services := config.MatchServices(request.Services, model.ServiceSearch)
	if len(services) == 0 {
		return SearchResponse{}, fault.New(fault.BadRequest, "search", "no search service matches %q", request.Services)
	}
	rules := make(map[string]model.Rule, len(services))
	for _, service := range services {
		if err := s.guard.checkQuarantine(searchFingerprint(service, request.Query)); err != nil {
			return SearchResponse{}, err
		}
		rules[service] = config.RuleFor(service)
	}
	policy := snapshot.PolicyOf(rules)
	plan := snapshot.Choose(current.View.Upstreams, services, policy)
	now := time.Now()
	timeout := time.Duration(request.TimeoutMillis) * time.Millisecond
	if err := s.searchPolicy.admit(now, caller, plan, waitLimit(rules, timeout)); err != nil {
		return SearchResponse{RequestID: requestID, Snapshot: plan.Snapshot}, err
	}
	defer s.searchPolicy.release(caller)
	machine := fanout.New(fanout.Query{Started: now, Deadline: now.Add(timeout), Rules: rules, NextID: s.nextSubRequest}, plan, s.searchPolicy)
	q := &query{
		server: s, requestID: requestID, caller: caller, text: request.Query, services: services, policy: policy,
		machine: machine, resultQueue: newResultQueue(), owners: map[uint64]model.Member{},
	}
	return searchResponse(requestID, q.run(ctx))
}

func (s *Server) nextSubRequest() uint64 { return s.nextID.Add(1) }

// fullAnswerWaitShare is the share of the timeout within which a query that does not allow a partial answer must be
// expected to finish. Such a query fails if its slowest shard is late, but the estimate covers only the expected wait
// of the most loaded shard.
const fullAnswerWaitShare = 0.75

// waitLimit returns the longest expected completion time with which a query is admitted: the strictest limit among the
// rules of its services.
func waitLimit(rules map[string]model.Rule, timeout time.Duration) time.Duration {
	limit := timeout
	for _, rule := range rules {
		share := rule.WaitShare
		if !rule.PartialAllowed {
			share = min(share, fullAnswerWaitShare)
		}
		limit = min(limit, time.Duration(share*float64(timeout)))
	}
	return limit
}

func searchResponse(requestID string, outcome fanout.Outcome) (SearchResponse, error) {
	response := SearchResponse{
		Status: StatusAnswered, RequestID: requestID, Snapshot: outcome.Snapshot, Coverage: outcome.Coverage,
	}
	if outcome.Code != "" {
		included, missing := len(outcome.Coverage.Included), len(outcome.Coverage.Missing)
		return response, fault.New(outcome.Code, "search", "%d of %d shards returned no result", missing, included+missing)
	}
	for _, item := range outcome.Items {
		response.Items = append(response.Items, item)
	}
	if !outcome.Coverage.Full() {
		response.Status = StatusPartial
	}
	return response, nil
}

func searchStatus(response SearchResponse) int {
	if response.Status == StatusPartial {
		return http.StatusPartialContent
	}
	return http.StatusOK
}
