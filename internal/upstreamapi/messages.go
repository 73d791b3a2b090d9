// Package upstreamapi defines the HTTP interface between entry VMs and upstreams, and its client.
package upstreamapi

import "encoding/json"

// Headers of requests to and responses from upstreams.
const (
	HeaderRequestID       = "Wisteria-Request-Id"
	HeaderTimeoutMillis   = "Wisteria-Timeout-Ms"
	HeaderIndexVersion    = "Wisteria-Index-Version"
	HeaderShardGeneration = "Wisteria-Shard-Generation"
	HeaderBookingKey      = "Wisteria-Booking-Key"
	HeaderAttempt         = "Wisteria-Attempt"
	// HeaderNotRun is set to "true" on a response to a request that the upstream refused before it started.
	HeaderNotRun = "Wisteria-Not-Run"
)

// Paths of the interface.
const (
	PathSearch   = "/v1/search"
	PathBook     = "/v1/book"
	PathAnnounce = "/v1/announce"
)

// SearchRequest is a search on one shard.
type SearchRequest struct {
	Query string `json:"query"`
	Shard int    `json:"shard"`
}

// SearchResponse is the result of a search on one shard.
type SearchResponse struct {
	Version    uint64            `json:"version"`
	Generation uint64            `json:"generation"`
	Items      []json.RawMessage `json:"items"`
}

// AnnounceResponse answers an announcement.
type AnnounceResponse struct {
	// State is the upstream's state in the view of the entry VM.
	State string `json:"state"`
	// RenewMillis is the interval after which the upstream announces itself again.
	RenewMillis int64 `json:"renew_ms"`
}
