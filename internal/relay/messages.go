// Package relay lets an entry VM run the parts of a search at upstreams of another failure domain through an entry VM
// there. One call replaces many requests between failure domains, the parts come back merged, and upstreams hold
// connections to the entry VMs of their own failure domain only. The asking VM decides everything: which upstream, when
// to ask a second one, what to give up. The relay only carries it out.
package relay

import (
	"fmt"
	"net/http"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/fault"
)

// ServiceName is the name of the RPC service.
const ServiceName = "Relay"

// Attempt is one request to one upstream process.
type Attempt struct {
	// Number names the attempt within its batch.
	Number int
	// Instance is the ID of the upstream process.
	Instance string
	// Optional attempts are declined if the relay knows that the upstream is in a bad condition, since the asking VM has
	// another one.
	Optional bool
}

// RunArgs starts a batch of attempts with the same request. Its answer is the first report.
type RunArgs struct {
	// Batch is unique on the connection.
	Batch uint64
	// Request is the caller's name of the request, for logs and upstreams.
	Request string
	Method  string
	Target  string
	Host    string
	Header  http.Header
	// Remaining is the time that the upstreams may take, and Expected the usual time of an answer, from which the relay
	// learns which of them stand still.
	Remaining time.Duration
	Expected  time.Duration
	// Quiet is how long the asking VM has no use for single parts: until it would ask a second upstream. Failures are
	// reported at once.
	Quiet time.Duration
	// Top is the number of records that the answer to the caller may hold.
	Top int
	// Whole asks for the records of each part by themselves, so that the asking VM may use one part without another.
	Whole    bool
	Attempts []Attempt
}

// Outcome is how an attempt ended.
type Outcome int

// The outcomes of an attempt.
const (
	// Answered is a complete answer with a stamp: a part of the search.
	Answered Outcome = iota
	// Refused means that the upstream stated that it did not run the request.
	Refused
	// Misdirected means that another process has the upstream's address.
	Misdirected
	// Unreachable means that no connection could be made.
	Unreachable
	// Unsent means that the relay did not try, because it does not know the upstream as one that takes requests.
	Unsent
	// Declined means that the relay did not try, because it expects a late answer or a failure.
	Declined
	// Failed is any other end. The upstream may have run the request.
	Failed
)

// Ended is the end of one attempt.
type Ended struct {
	Number  int
	Outcome Outcome
	// Took is the time that the attempt took at the relay.
	Took time.Duration
	// Stamp is the upstream's signature of a part.
	Stamp string
	// Records are those of the part if the batch asked for whole parts.
	Records []byte
	// Reason tells why there is no part.
	Reason string
	// Cost is that of DeclinedError.
	Cost float64
}

// DeclinedError is the error of an optional attempt that was not made.
type DeclinedError struct {
	// Cost is the expected answer time as a multiple of the usual one.
	Cost float64
}

// Error implements the error interface.
func (d *DeclinedError) Error() string {
	return fmt.Sprintf("declined: expected to take %.1f times as long as usual", d.Cost)
}

// Progress carries what ended since the last report of the batch.
type BatchReport struct {
	Fault *fault.Wire
	Ended []Ended
	// Records are those of the parts in Ended that can be among the greatest of all parts that the batch reported. They
	// stand for those parts only together.
	Records []byte
}

// NextArgs waits for the next report of a batch.
type NextArgs struct{ Batch uint64 }

// CancelArgs gives up attempts of a batch; without numbers all of them.
type CancelArgs struct {
	Batch   uint64
	Numbers []int
}

// Empty is the answer to a call without a result, and the argument of one without any.
type Empty struct{}
