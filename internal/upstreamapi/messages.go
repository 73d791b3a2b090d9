// Package upstreamapi defines the HTTP API between entry VMs and upstreams and implements its client.
package upstreamapi

import "encoding/json"

// Headers of requests to upstreams and of their responses.
const (
	HeaderRequestID       = "Wisteria-Request-Id"
	HeaderTimeoutMillis   = "Wisteria-Timeout-Ms"
	HeaderIndexVersion    = "Wisteria-Index-Version"
	HeaderShardGeneration = "Wisteria-Shard-Generation"
	HeaderBookingKey      = "Wisteria-Booking-Key"
	HeaderAttempt         = "Wisteria-Attempt"
	// HeaderNotRun is "true" in a response with status 503 if the upstream refused the request before it started it.
	HeaderNotRun = "Wisteria-Not-Run"
	// HeaderRateLimit is set in the responses of an upstream in need: the requests per second that it takes from all entry
	// VMs together, a positive decimal number, for as long as its responses say so.
	HeaderRateLimit = "Wisteria-Rate-Limit"
)

// Paths of the API. Upstreams serve PathSearch and PathBook, entry VMs serve PathAnnounce.
const (
	PathSearch   = "/v1/search"
	PathBook     = "/v1/book"
	PathAnnounce = "/v1/announce"
)

// SearchRequest is the body of a search on one shard.
type SearchRequest struct {
	Query string `json:"query"`
	Shard int    `json:"shard"`
}

// SearchResponse is the result of a search on one shard, with the index version and shard map that it was run on.
type SearchResponse struct {
	Version    uint64            `json:"version"`
	Generation uint64            `json:"generation"`
	Items      []json.RawMessage `json:"items"`
}

// AnnounceResponse is the response to an announcement.
type AnnounceResponse struct {
	// State is the upstream's state in the view of the entry VM.
	State string `json:"state"`
	// RenewMillis is the interval after which the upstream must announce itself again, in ms.
	RenewMillis int64 `json:"renew_ms"`
}
