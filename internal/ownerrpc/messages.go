// Package ownerrpc defines the net/rpc messages between entry VMs.
package ownerrpc

import (
	"time"

	"github.com/wisteriamux/wisteriamux/internal/fault"
)

// ServiceName is the name under which the owner service is registered with net/rpc.
const ServiceName = "Owner"

// Booking is the part of a sub-request that carries a booking attempt.
type Booking struct {
	Key     string
	Attempt uint64
	Payload []byte
}

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
	Query      string
	Shard      int
	Booking    *Booking
}

// SubResult is the outcome of one sub-request.
type SubResult struct {
	ID    uint64
	Fault *fault.Wire
	Items [][]byte
	// Service is the time that the upstream took, without the wait for a slot.
	Service time.Duration
}

// ExecuteArgs carries one sub-request.
type ExecuteArgs struct {
	SubRequest SubRequest
}

// ExecuteReply carries its result.
type ExecuteReply struct {
	Result SubResult
}
