// Package ownerrpc defines the net/rpc messages between entry VMs.
package ownerrpc

import (
	"time"

	"github.com/wisteriamux/wisteriamux/internal/fault"
)

// ServiceName is the name under which the owner service is registered with net/rpc.
const ServiceName = "Owner"

// SubRequest is one unit of work for one upstream.
type SubRequest struct {
	// ID is unique among the sub-requests of the sending instance.
	ID        uint64
	RequestID string
	Caller    string
	Upstream  string
	Revision  uint64
	// Timeout is the remaining time. A relative value needs no synchronised clocks.
	Timeout    time.Duration
	Version    uint64
	Generation uint64
	Service    string
	Query      string
	Shard      int
	// AfterCrash marks a sub-request that was in flight when an upstream crashed.
	AfterCrash bool
}

// SubResult is the outcome of one sub-request.
type SubResult struct {
	ID    uint64
	Fault *fault.Wire
	Items [][]byte
	// Service is the time that the upstream took, without the wait for a slot.
	Service time.Duration
	// Version and Generation are those of the upstream's response.
	Version    uint64
	Generation uint64
	// Backlog is the number of requests that ran or waited for the upstream at the owner when the result left it.
	Backlog int
}

// Session identifies one sender at an owner. A sender that loses its connection starts a new session, so that results
// of the old one never reach it.
type Session struct {
	Member string
	Nonce  uint64
}

// SubmitArgs carries a batch of searches. Their results are fetched by Collect.
type SubmitArgs struct {
	Session     Session
	SubRequests []SubRequest
}

// SubmitReply confirms that the batch was accepted.
type SubmitReply struct{}

// CollectArgs asks for the results of a session. The owner holds the call until there are some or CollectHold is over.
type CollectArgs struct{ Session Session }

// CollectReply carries a batch of results, which may be empty, and from time to time the loads of the owner's upstreams.
type CollectReply struct {
	Results []SubResult
	Loads   []SearchLoad
}

// SearchLoad is what an owner knows of one of its upstreams from the requests of all entry VMs.
type SearchLoad struct {
	Upstream string
	Backlog  int
	// Service is the expected service time, Age the time since it was last observed.
	Service time.Duration
	Age     time.Duration
}

// LoadReportInterval is the shortest time between two reports of loads to one sender.
const LoadReportInterval = 20 * time.Millisecond

// CollectPollTimeout is how long an owner holds a Collect without results.
const CollectPollTimeout = time.Second

// CancelArgs names sub-requests whose results are no longer needed.
type CancelArgs struct {
	Session Session
	IDs     []uint64
}

// CancelReply confirms the cancellation.
type CancelReply struct{}
