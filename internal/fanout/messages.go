package fanout

import (
	"time"

	"github.com/wisteriamux/wisteriamux/internal/fault"
	"github.com/wisteriamux/wisteriamux/internal/model"
	"github.com/wisteriamux/wisteriamux/internal/snapshot"
)

// Event is an input of a Machine.
type Event interface{ event() }

// Result is the result of a sub-request. An empty Code means success.
type Result struct {
	ID         uint64
	Code       fault.Code
	Version    uint64
	Generation uint64
	Items      [][]byte
}

// OwnerLost reports that the owner of the sub-requests was lost. The sub-requests may have run.
type OwnerLost struct{ IDs []uint64 }

// TimerFired reports that the timer of the last ArmTimer has fired.
type TimerFired struct{}

// Replanned is the reply to Replan: the plan at the newest snapshot of the view that this VM serves.
type Replanned struct{ Plan snapshot.Plan }

// CallerGone reports that the caller has cancelled its request.
type CallerGone struct{}

func (Result) event()     {}
func (OwnerLost) event()  {}
func (TimerFired) event() {}
func (Replanned) event()  {}
func (CallerGone) event() {}

// Action is an output of a Machine.
type Action interface{ action() }

// Send requests that a sub-request is sent to an upstream at the pinned snapshot.
type Send struct {
	ID         uint64
	Shard      model.ShardID
	Upstream   model.Upstream
	Version    uint64
	Generation uint64
	Timeout    time.Duration
	// Extra marks a hedge or a retry.
	Extra bool
	// AfterCrash marks an attempt whose shard had a sub-request in flight when an upstream crashed.
	AfterCrash bool
}

// Cancel requests that a sub-request is cancelled because its result is no longer needed.
type Cancel struct{ ID uint64 }

// ArmTimer requests a TimerFired event at that time. It replaces the previous timer.
type ArmTimer struct{ At time.Time }

// Replan requests a Replanned event.
type Replan struct{}

// Finish is the last action of a query.
type Finish struct{ Outcome Outcome }

func (Send) action()     {}
func (Cancel) action()   {}
func (ArmTimer) action() {}
func (Replan) action()   {}
func (Finish) action()   {}

// Outcome is the response to a query. An empty Code means success, which is partial if shards are missing.
type Outcome struct {
	Code     fault.Code
	Snapshot model.Snapshot
	Coverage model.Coverage
	// Items holds the items of the included shards in the order of Coverage.Included.
	Items     [][]byte
	Restarted bool
}

// Policy chooses replicas and grants hedges and retries.
type Policy interface {
	// Choose returns one of the replicas, or false if there is none.
	Choose(now time.Time, replicas []model.Upstream) (model.Upstream, bool)
	// HedgeDelay returns how long to wait for a sub-request to the upstream before a hedge, or false for no hedge.
	HedgeDelay(now time.Time, upstream model.Upstream) (time.Duration, bool)
	// AllowHedge returns the replica for a hedge and spends a token of the hedge budget. It returns false if no replica is
	// idle or the budget is empty.
	AllowHedge(now time.Time, replicas []model.Upstream) (model.Upstream, bool)
	// AllowRetry spends a token of the retry budget, or returns false if there is none.
	AllowRetry(now time.Time) bool
}

// Query describes the query of a Machine.
type Query struct {
	Started  time.Time
	Deadline time.Time
	// Rules holds the rule of each service of the query.
	Rules map[string]model.Rule
	// NextID returns an ID that is unique among all sub-requests of the entry VM.
	NextID func() uint64
}
