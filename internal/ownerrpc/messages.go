// Package ownerrpc defines the net/rpc messages between entry VMs.
package ownerrpc

import (
	"time"

	"github.com/wisteriamux/wisteriamux/internal/fault"
)

// ServiceName is the name under which the owner service is registered with net/rpc.
const ServiceName = "Owner"

// SubRequest is the part of a search that one upstream answers: the query for one shard.
type SubRequest struct {
	// ID is unique among the sub-requests of the sending process.
	ID        uint64
	RequestID string
	Caller    string
	Upstream  string
	// Revision is that of the view from which the sender chose the owner.
	Revision uint64
	// Timeout is the time that remains until the deadline. It is relative, so that the clocks of the VMs need not
	// agree.
	Timeout time.Duration
	// Version is the index version that the upstream must answer from, Generation that of the shard map.
	Version    uint64
	Generation uint64
	Service    string
	Query      string
	Shard      int
	// AfterCrash marks the retry of a sub-request that was in flight when an upstream crashed.
	AfterCrash bool
}

// SubResult is the result of one sub-request.
type SubResult struct {
	ID    uint64
	Fault *fault.WireError
	Items [][]byte
	// Service is the service time: how long the upstream took, without the wait for a slot.
	Service time.Duration
	// Version and Generation are those that the upstream answered with.
	Version    uint64
	Generation uint64
	// Backlog is the number of requests that were queued for or running on the upstream at the owner when the request
	// ended.
	Backlog int
}

// Session identifies one sender to an owner. A sender that loses its connection starts a new session with a new nonce,
// so that it never receives results of the old one.
type Session struct {
	Member string
	Nonce  uint64
}

// SubmitArgs carries a batch of sub-requests. Their results are fetched with Collect.
type SubmitArgs struct {
	Session     Session
	SubRequests []SubRequest
}

// SubmitReply is the empty reply to an accepted batch.
type SubmitReply struct{}

// CollectArgs asks for the results of a session as a long poll: the owner replies when there are results or after
// CollectPollTimeout.
type CollectArgs struct{ Session Session }

// CollectReply carries a batch of results, which may be empty, and at most once per LoadReportInterval the loads of the
// owner's upstreams.
type CollectReply struct {
	Results []SubResult
	Loads   []SearchLoad
}

// SearchLoad is the load of an upstream as its owner observes it from the requests of all entry VMs.
type SearchLoad struct {
	Upstream string
	Backlog  int
	// Service is the expected service time. Age is the time since the last observation of it.
	Service time.Duration
	Age     time.Duration
}

// LoadReportInterval is the minimum time between two reports of loads to the same sender.
const LoadReportInterval = 20 * time.Millisecond

// CollectPollTimeout is how long a Collect call waits for results before it returns none.
const CollectPollTimeout = time.Second

// CancelArgs lists the sub-requests whose results are no longer needed.
type CancelArgs struct {
	Session Session
	IDs     []uint64
}

// CancelReply is the empty reply to a cancellation.
type CancelReply struct{}
