// Package relay lets an entry VM send the sub-requests of a search to upstreams in another failure domain through an
// entry VM there. One call replaces many requests between failure domains, the results come back merged, and upstreams
// hold connections only to the entry VMs of their own failure domain. The requesting VM makes all decisions: which
// upstream to use, when to hedge and what to cancel. The relay only executes them.
package relay

import (
	"fmt"
	"net/http"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/ratelimit"
	"github.com/wisteriamux/wisteriamux/internal/registry"
)

// ServiceName is the name of the RPC service.
const ServiceName = "Relay"

// Attempt is a request to one upstream process.
type Attempt struct {
	// Number identifies the attempt within its batch.
	Number int
	// Instance is the ID of the upstream process.
	Instance string
	// Optional means that the relay may decline the attempt if it knows the upstream to be slow or failing, since the
	// requesting VM has alternatives.
	Optional bool
	// Rank is the priority of the request, where 0 is the most urgent.
	Rank int
	// Urgent means that the response of another upstream would come too late, so that the relay does not decline the attempt only to give
	// the upstream a smaller share of requests.
	Urgent bool
	// Reduction is by how much the requesting VM reduces the share of requests that the upstream gets, 0 for not. The relay does not reduce
	// it by that much again.
	Reduction float64
}

// RunArgs are the arguments of Run, which starts a batch of attempts with the same request and returns the first report.
type RunArgs struct {
	// Batch is unique on the connection.
	Batch uint64
	// Request is the request ID set by the caller, for logs and upstreams.
	Request string
	Method  string
	Target  string
	Host    string
	Header  http.Header
	// Remaining is the time that the upstreams have left to respond. Expected is the usual response time, by which the
	// relay detects stalled upstreams.
	Remaining time.Duration
	Expected  time.Duration
	// Quiet is how long the relay may hold back single parts: the requesting VM does not need them before it would hedge.
	// Failures are reported immediately.
	Quiet time.Duration
	// Hold is how long the relay holds back the first parts if that is less than Quiet, 0 if it is not. Parts that end later are held back
	// until Quiet. The requesting VM uses it if its response may be due before it would hedge.
	Hold time.Duration
	// Top is the maximum number of records in the response to the caller.
	Top int
	// Whole requests the records of each part separately, so that the requesting VM may use one part without another.
	Whole    bool
	Attempts []Attempt
	// Body is the body of the request. It is set only if the requesting VM has lost its links to upstreams.
	Body []byte
	// Caller is as in upstreamconn.Request.
	Caller string
	// Key is nil if the request needs no key.
	Key *KeyClaim
}

// ForwardArgs are the arguments of Forward, which executes one attempt and returns the whole response. The requesting VM
// uses it while it has lost its links to upstreams.
type ForwardArgs struct {
	// Call is unique on the connection.
	Call    uint64
	Attempt Attempt
	Request string
	Method  string
	Target  string
	Host    string
	Header  http.Header
	Body    []byte
	// Caller is as in upstreamconn.Request.
	Caller string
	// Remaining and Expected are as in RunArgs. MaxBodyBytes limits the body of the response.
	Remaining    time.Duration
	Expected     time.Duration
	MaxBodyBytes int64
	// Key is as in RunArgs.
	Key *KeyClaim
}

// ForwardReply is the end of the attempt. Its Ended has neither records nor a number.
type ForwardReply struct {
	Ended
	// Sent is set if the upstream may have received the request.
	Sent bool
	// Response is nil if there was no complete response.
	Response *ForwardedResponse
}

// ForwardedResponse is the response of an upstream.
type ForwardedResponse struct {
	Status      int
	Header      http.Header
	Body        []byte
	RequestID   string
	NotRun      bool
	Misdirected bool
}

// CancelForwardArgs are the arguments of CancelForward, which cancels a call of Forward.
type CancelForwardArgs struct{ Call uint64 }

// Outcome is how an attempt ended.
type Outcome int

// The outcomes of an attempt.
const (
	// Answered means a complete response with a stamp: a part of the search.
	Answered Outcome = iota
	// Refused means that the upstream stated that it did not run the request.
	Refused
	// Misdirected means that another process listens on the upstream's address.
	Misdirected
	// Unreachable means that no connection could be established.
	Unreachable
	// Unsent means that the request was not sent, for example because the relay does not know the upstream or the upstream
	// does not accept requests.
	Unsent
	// Declined means that the relay did not send the request, because it expects a late response or a failure.
	Declined
	// Failed covers every other end. The upstream may have run the request.
	Failed
	// Limited means that the request was not sent because of the rate limit of the upstream.
	Limited
	// Partitioned means that the request was not sent because the relay has lost its links to all upstreams.
	Partitioned
	// Unconfirmed means that the request was not sent because the view of the relay is too old for requests with keys.
	Unconfirmed
	// KeyRemoved means that the request was not sent because the table of the relay does not assign its key to the team.
	KeyRemoved
)

// Ended describes how one attempt ended.
type Ended struct {
	Number  int
	Outcome Outcome
	// Took is the duration of the attempt, measured at the relay.
	Took time.Duration
	// Stamp is the upstream's signature of a part.
	Stamp string
	// Records holds the records of the part if the batch set Whole.
	Records []byte
	// Reason describes why there is no part.
	Reason string
	// Cost is the cost from DeclinedError.
	Cost float64
	// RateLimit is the rate limit that the upstream named to the relay, in requests per second, nil if that is not known. 0
	// means that the response named none.
	RateLimit *float64
	// RetryAfter is set for Limited: the time after which the upstream may have room.
	RetryAfter time.Duration
	// LinkLost is set for Failed if the relay lost its links to all upstreams after it had sent the request, so that the
	// failure says nothing about the upstream.
	LinkLost bool
	// Leaving and Pause are what the response said to the relay, see notice.Notice.
	Leaving bool
	Pause   time.Duration
	// Closed is set for Failed if the upstream closed the connection.
	Closed bool
	// Reduction is by how much the relay reduces the share of requests that the upstream gets after a start or recovery: 1 - share, 0 for
	// not, so that the field is not sent then.
	Reduction float64
}

// PermitArgs ask the VM that holds the bucket of an upstream for a permit to send one request.
type PermitArgs struct {
	Upstream registry.Process
	// PerSecond is the limit that the asking VM knows, and Age the time since it heard of it.
	PerSecond float64
	Age       time.Duration
	// Rank is the priority of the request, where 0 is the most urgent.
	Rank int
	// ColdPerSecond is the rate of the service for cold upstreams if the asking VM knows the upstream as cold, otherwise 0.
	ColdPerSecond float64
}

// PermitReply is the answer to PermitArgs.
type PermitReply struct {
	Grant ratelimit.Grant
	// PerSecond is the limit that the answering VM knows, 0 for none, and Age the time since it heard of it.
	PerSecond float64
	Age       time.Duration
}

// DeclinedError is returned for an optional attempt that was declined.
type DeclinedError struct {
	// Cost is the expected response time as a multiple of the usual one.
	Cost float64
}

// Error implements the error interface.
func (d *DeclinedError) Error() string {
	return fmt.Sprintf("declined: expected to take %.1f times the usual response time", d.Cost)
}

// LinkLostError is returned for an attempt that ended because this VM has lost its links to all upstreams.
type LinkLostError struct {
	// Sent is set if the upstream may have received the request.
	Sent bool
}

// Error implements the error interface.
func (e *LinkLostError) Error() string { return "this VM has lost its links to all upstreams" }

// BatchReport contains the attempts that ended since the last report of the batch.
type BatchReport struct {
	Fault *fault.WireError
	Ended []Ended
	// Settled is set if the report was made after Quiet, so that attempts that it does not contain had not ended by then.
	Settled bool
	// Records holds the merged records of the parts in Ended, without those that rank below the top records of all parts
	// reported so far. They are complete only if all reported parts are used.
	Records []byte
}

// NextArgs are the arguments of Next, which waits for the next report of a batch.
type NextArgs struct{ Batch uint64 }

// CancelArgs are the arguments of Cancel, which cancels attempts of a batch, or all of them if Numbers is empty.
type CancelArgs struct {
	Batch   uint64
	Numbers []int
}

// Empty stands for absent arguments or an absent result of a call.
type Empty struct{}
