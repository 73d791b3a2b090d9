package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/entry"
	"github.com/wisteriamux/wisteriamux/internal/model"
	"github.com/wisteriamux/wisteriamux/internal/standin"
)

// Sample is the result of one request.
type Sample struct {
	// At is the scheduled arrival, relative to the start of the run.
	At      time.Duration
	Latency time.Duration
	Class   string
	// Status is the HTTP status; 0 means that no complete response was received.
	Status int
	// BodyStatus is the status field of the response body.
	BodyStatus string
	// Included and Missing are the numbers of shards that the coverage of a search lists as such; Needed is the number
	// of shards that the search asks for.
	Included int
	Missing  int
	Needed   int
	// MissingReasons counts the missing shards by the reason that the response states.
	MissingReasons map[string]int
	// Contradiction is the first contradiction between the response and its items, or empty.
	Contradiction string
	// Key is the booking key; empty for a search.
	Key string
}

func (s *sender) search(ctx context.Context, p plannedRequest) Sample {
	request := entry.SearchRequest{Services: p.spec.Services, Query: p.id, TimeoutMillis: s.timeoutMillis()}
	status, body := s.exchange(ctx, p, "/v1/search", request)
	sample := Sample{Status: status}
	var response entry.SearchResponse
	if status == 0 || json.Unmarshal(body, &response) != nil {
		return sample
	}
	sample.BodyStatus = response.Status
	sample.Included = len(response.Coverage.Included)
	sample.Missing = len(response.Coverage.Missing)
	sample.MissingReasons = countReasons(response.Coverage.Missing)
	if !refusedStatus(status) {
		sample.Needed = neededShards(p.spec.Services, s.config.Shards, response.Coverage)
	}
	if status == http.StatusOK || status == http.StatusPartialContent {
		sample.Contradiction = checkResponse(response, p.id, p.spec.Services, s.config.Shards)
	}
	return sample
}

func (s *sender) book(ctx context.Context, p plannedRequest) Sample {
	request := entry.BookingRequest{
		Service: p.spec.Class.Booking, Key: p.id, Payload: json.RawMessage(`{"lot":17}`), TimeoutMillis: s.timeoutMillis(),
	}
	status, body := s.exchange(ctx, p, "/v1/bookings", request)
	sample := Sample{Status: status, Key: p.id}
	var response entry.BookingResponse
	if status == 0 || json.Unmarshal(body, &response) != nil {
		return sample
	}
	sample.BodyStatus = response.Status
	if status == http.StatusOK {
		sample.Contradiction = checkBooking(response, p.id)
	}
	return sample
}

// timeoutMillis returns the timeout that is sent to the entry VM: the caller's deadline minus the round trip.
func (s *sender) timeoutMillis() int64 {
	return (s.config.Timeout - 2*s.config.ClientOneWayDelay).Milliseconds()
}

// exchange sends a request after the one-way delay to the entry VM. It returns status 0 if no complete response was
// received. The delay of the way back is not waited for; record adds it to the latency.
func (s *sender) exchange(ctx context.Context, p plannedRequest, path string, body any) (int, []byte) {
	time.Sleep(s.config.ClientOneWayDelay)
	data, err := json.Marshal(body)
	if err != nil {
		return 0, nil
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, s.config.Targets[p.target]+path, bytes.NewReader(data))
	if err != nil {
		return 0, nil
	}
	request.Header.Set("Content-Type", "application/json")
	if p.spec.Caller != "" {
		request.Header.Set(entry.HeaderCaller, p.spec.Caller)
	}
	response, err := s.client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	received, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, received
}

func countReasons(missing []model.MissingShard) map[string]int {
	if len(missing) == 0 {
		return nil
	}
	counts := map[string]int{}
	for _, shard := range missing {
		counts[shard.Reason]++
	}
	return counts
}

// checkBooking returns how the response contradicts the booking request, or "" if it does not.
func checkBooking(response entry.BookingResponse, key string) string {
	var reply standin.BookingReply
	if err := json.Unmarshal(response.Result, &reply); err != nil {
		return "booking result is no reply of a stand-in"
	}
	if response.Key != key || reply.Key != key {
		return "booking answer is for another key"
	}
	return ""
}
