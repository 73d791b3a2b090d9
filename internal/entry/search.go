package entry

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/model"
	"github.com/wisteriamux/wisteriamux/internal/ownerrpc"
	"github.com/wisteriamux/wisteriamux/internal/snapshot"
)

// SearchRequest is a caller's search.
type SearchRequest struct {
	// Services are names or path.Match patterns.
	Services      []string `json:"services"`
	Query         string   `json:"query"`
	TimeoutMillis int64    `json:"timeout_ms"`
}

// SearchResponse answers a search.
type SearchResponse struct {
	Status    string            `json:"status"`
	RequestID string            `json:"request_id"`
	Snapshot  model.Snapshot    `json:"snapshot"`
	Coverage  model.Coverage    `json:"coverage"`
	Items     []json.RawMessage `json:"items"`
}

// Statuses of an answer.
const (
	StatusAnswered = "answered"
	StatusPartial  = "partial"
)

type shardOutcome struct {
	shard  model.ShardID
	result ownerrpc.SubResult
}

// search fans the request out over all shards of the services at one snapshot.
func (s *Server) search(ctx context.Context, requestID, caller string, request SearchRequest) (SearchResponse, error) {
	current, err := s.session.leased()
	if err != nil {
		return SearchResponse{}, err
	}
	services := current.view.Config.MatchServices(request.Services, model.ServiceSearch)
	if len(services) == 0 {
		return SearchResponse{}, fault.New(fault.BadRequest, "search", "no search service matches %q", request.Services)
	}
	rule := current.view.Config.RuleFor(services[0])
	plan := snapshot.Choose(current.view.Upstreams, services, rule.Snapshot)
	ctx, cancel := context.WithTimeout(ctx, time.Duration(request.TimeoutMillis)*time.Millisecond)
	defer cancel()
	outcomes := make(chan shardOutcome, len(plan.Targets))
	for _, target := range plan.Targets {
		go func() {
			outcomes <- shardOutcome{target.Shard, s.searchShard(ctx, current, plan.Snapshot, target, requestID, caller, request.Query)}
		}()
	}
	response := SearchResponse{RequestID: requestID, Snapshot: plan.Snapshot}
	response.Coverage.Missing = plan.Missing
	for range plan.Targets {
		response.add(<-outcomes)
	}
	return response.finish(rule)
}

func (s *Server) searchShard(ctx context.Context, current *served, pinned model.Snapshot, target snapshot.Target,
	requestID, caller, query string,
) ownerrpc.SubResult {
	upstream := target.Upstreams[rand.IntN(len(target.Upstreams))]
	deadline, _ := ctx.Deadline()
	sub := ownerrpc.SubRequest{
		ID:         s.nextID.Add(1),
		RequestID:  requestID,
		Caller:     caller,
		Upstream:   upstream.Name,
		Revision:   current.view.Revision,
		Timeout:    time.Until(deadline),
		Version:    pinned.Version,
		Generation: pinned.Generations[target.Shard.Service],
		Query:      query,
		Shard:      target.Shard.Shard,
	}
	return s.peers.execute(ctx, current.owners[upstream.Name], sub)
}

func (r *SearchResponse) add(outcome shardOutcome) {
	if outcome.result.Fault != nil {
		missing := model.MissingShard{ShardID: outcome.shard, Reason: string(outcome.result.Fault.Code)}
		r.Coverage.Missing = append(r.Coverage.Missing, missing)
		return
	}
	r.Coverage.Included = append(r.Coverage.Included, outcome.shard)
	for _, item := range outcome.result.Items {
		r.Items = append(r.Items, item)
	}
}

func (r SearchResponse) finish(rule model.Rule) (SearchResponse, error) {
	r.Status = StatusAnswered
	if r.Coverage.Full() {
		return r, nil
	}
	if !rule.PartialAllowed {
		return r, fault.New(fault.Incomplete, "search", "%d of %d shards are missing",
			len(r.Coverage.Missing), len(r.Coverage.Missing)+len(r.Coverage.Included))
	}
	r.Status = StatusPartial
	return r, nil
}

func searchStatus(response SearchResponse) int {
	if response.Status == StatusPartial {
		return http.StatusPartialContent
	}
	return http.StatusOK
}
