// Package admission decides which requests are queued for an upstream, in which order they start, and which are
// refused before they run.
package admission

import (
	"container/heap"
	"math"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/fault"
)

const (
	// MaxQueuedPerSlot bounds the queue of an upstream, per slot of the upstream.
	MaxQueuedPerSlot   = 64
	defaultServiceTime = time.Millisecond
	// minWeight is the minimum weight of one observation in the moving average of the service time, averageWindow the time
	// constant of the average: an observation after a pause weighs more.
	minWeight     = 0.1
	averageWindow = time.Second
	// An observation that differs from the average by more than jumpFactor in either direction has at least the weight
	// jumpWeight: slow periods last about a second, and with a small weight the average would follow them only when they
	// are over.
	jumpFactor = 2.0
	jumpWeight = 0.5
)

// Weight returns the weight of a caller, which determines its share of the slots relative to other callers.
type Weight func(caller string) float64

// EqualWeight gives every caller the same weight.
func EqualWeight(string) float64 { return 1 }

// Request is a request that waits in a Queue.
type Request[T any] struct {
	Caller   string
	Deadline time.Time
	Payload  T

	// index is the position in the heap of the flow, -1 while the request is not queued.
	index int
	flow  *flow[T]
}

// flow is the heap of the waiting requests of one caller, earliest deadline first.
type flow[T any] struct {
	caller string
	weight float64
	// virtualTime is the virtual start time of the caller's next request in start-time fair queueing.
	virtualTime float64
	waiting     []*Request[T]
}

func (f *flow[T]) Len() int           { return len(f.waiting) }
func (f *flow[T]) Less(i, j int) bool { return f.waiting[i].Deadline.Before(f.waiting[j].Deadline) }
func (f *flow[T]) Swap(i, j int) {
	f.waiting[i], f.waiting[j] = f.waiting[j], f.waiting[i]
	f.waiting[i].index = i
	f.waiting[j].index = j
}

func (f *flow[T]) Push(x any) {
	r := x.(*Request[T])
	r.index = len(f.waiting)
	f.waiting = append(f.waiting, r)
}

func (f *flow[T]) Pop() any {
	last := f.waiting[len(f.waiting)-1]
	f.waiting = f.waiting[:len(f.waiting)-1]
	last.index = -1
	return last
}

// Queue is the bounded queue of one upstream and counts its slots in use. Callers are served by weight (start-time fair
// queueing), the requests of one caller by earliest deadline first. It is not safe for concurrent use.
type Queue[T any] struct {
	weight  Weight
	slots   int
	running int
	waiting int
	flows   map[string]*flow[T]
	// virtualTime is the virtual start time of the last request that started.
	virtualTime float64
	// serviceTime is the moving average of the service time in nanoseconds.
	serviceTime float64
	// observedAt is the time of the last observation of the service time, zero before the first.
	observedAt time.Time
}

// NewQueue returns an empty queue for an upstream with the number of slots.
func NewQueue[T any](slots int, weight Weight) *Queue[T] {
	return &Queue[T]{weight: weight, slots: slots, flows: map[string]*flow[T]{}, serviceTime: float64(defaultServiceTime)}
}

// Resize changes the number of slots. Running requests keep theirs.
func (q *Queue[T]) Resize(slots int) { q.slots = slots }

// Backlog returns the number of running and waiting requests.
func (q *Queue[T]) Backlog() int { return q.running + q.waiting }

// Running returns the number of slots in use.
func (q *Queue[T]) Running() int { return q.running }

// ServiceTime returns the expected service time of a request.
func (q *Queue[T]) ServiceTime() time.Duration { return time.Duration(q.serviceTime) }

// Push queues a request, or refuses it if it cannot meet its deadline. If the queue is full, Push evicts and returns a
// request of the caller with the highest load relative to its weight, or refuses the new request if its caller would
// then have that load or more.
func (q *Queue[T]) Push(now time.Time, r *Request[T]) (evicted *Request[T], err error) {
	r.index = -1
	if !q.canMeetDeadline(now, r, q.expectedWait(r)) {
		return nil, fault.New(fault.NotRun, "admission.push", "expected wait exceeds the remaining time")
	}
	if q.waiting >= q.slots*MaxQueuedPerSlot {
		evicted, err = q.evictFor(r.Caller)
		if err != nil {
			return nil, err
		}
	}
	f := q.flow(r.Caller)
	r.flow = f
	heap.Push(f, r)
	q.waiting++
	return evicted, nil
}

// canMeetDeadline reports whether the request can complete in time after the wait. While nothing runs, it only has to
// start before its deadline: otherwise an excessive estimate would refuse every request and never be corrected.
func (q *Queue[T]) canMeetDeadline(now time.Time, r *Request[T], wait time.Duration) bool {
	remaining := r.Deadline.Sub(now)
	if q.running == 0 {
		return remaining > 0
	}
	return wait+q.ServiceTime() <= remaining
}

// expectedWait estimates the time until the request starts: the time for the requests of the same caller that are ahead
// of it, and for the requests of other callers that fair queueing serves in between.
func (q *Queue[T]) expectedWait(r *Request[T]) time.Duration {
	own, weight := 0, q.weight(r.Caller)
	others := 0.0
	if f, ok := q.flows[r.Caller]; ok {
		for _, waiting := range f.waiting {
			if !r.Deadline.Before(waiting.Deadline) {
				own++
			}
		}
	}
	for _, f := range q.flows {
		if f.caller != r.Caller {
			others += math.Min(float64(len(f.waiting)), float64(own+1)*f.weight/weight)
		}
	}
	ahead := float64(own) + others + float64(q.running-q.slots+1)
	return time.Duration(math.Max(0, ahead) / float64(max(q.slots, 1)) * q.serviceTime)
}

// evictFor removes the request with the latest deadline of the caller with the highest load relative to its weight, to
// make room for a request of the given caller. It fails if one more request would give the given caller that load or
// more.
func (q *Queue[T]) evictFor(caller string) (*Request[T], error) {
	load := func(f *flow[T], extra int) float64 { return float64(len(f.waiting)+extra) / f.weight }
	ownFlow := q.flow(caller)
	largest := ownFlow
	for _, f := range q.flows {
		if load(f, 0) > load(largest, 0) || (load(f, 0) == load(largest, 0) && f.caller < largest.caller) {
			largest = f
		}
	}
	if largest == ownFlow || load(ownFlow, 1) >= load(largest, 0) {
		if len(q.flows) > 1 && largest == ownFlow {
			return nil, fault.New(fault.OverShare, "admission.push", "queue is full and caller %q is above its fair share", caller)
		}
		return nil, fault.New(fault.NotRun, "admission.push", "queue is full")
	}
	latest := largest.waiting[0]
	for _, r := range largest.waiting {
		if latest.Deadline.Before(r.Deadline) {
			latest = r
		}
	}
	q.Remove(latest)
	return latest, nil
}

func (q *Queue[T]) flow(caller string) *flow[T] {
	f, ok := q.flows[caller]
	if !ok {
		f = &flow[T]{caller: caller, weight: q.weight(caller), virtualTime: q.virtualTime}
		q.flows[caller] = f
	}
	if len(f.waiting) == 0 {
		f.virtualTime = math.Max(f.virtualTime, q.virtualTime)
	}
	return f
}

// Remove removes a waiting request, or returns false if it is not waiting any more.
func (q *Queue[T]) Remove(r *Request[T]) bool {
	if r.index < 0 || r.flow == nil {
		return false
	}
	heap.Remove(r.flow, r.index)
	q.waiting--
	return true
}

// Next takes a slot for the next request and returns it, or nil if no slot is free or nothing waits. The dropped
// requests can no longer meet their deadline and have not run.
func (q *Queue[T]) Next(now time.Time) (start *Request[T], dropped []*Request[T]) {
	for q.running < q.slots && q.waiting > 0 {
		f := q.nextFlow()
		r := heap.Pop(f).(*Request[T])
		q.waiting--
		if !q.canMeetDeadline(now, r, 0) {
			dropped = append(dropped, r)
			continue
		}
		q.virtualTime = f.virtualTime
		f.virtualTime += 1 / f.weight
		q.running++
		return r, dropped
	}
	return nil, dropped
}

// nextFlow returns the non-empty flow with the smallest virtual time. It drops empty flows whose virtual time has
// passed, since a new flow of their caller would begin at the same virtual time.
func (q *Queue[T]) nextFlow() *flow[T] {
	var next *flow[T]
	for caller, f := range q.flows {
		if len(f.waiting) == 0 {
			if f.virtualTime <= q.virtualTime {
				delete(q.flows, caller)
			}
			continue
		}
		if next == nil || f.virtualTime < next.virtualTime || (f.virtualTime == next.virtualTime && f.caller < next.caller) {
			next = f
		}
	}
	return next
}

// LastObserved returns the time of the last observation of the service time, zero before the first.
func (q *Queue[T]) LastObserved() time.Time { return q.observedAt }

// Done frees a slot. A positive service time is recorded as an observation; zero marks a cancelled or failed request.
func (q *Queue[T]) Done(now time.Time, serviceTime time.Duration) {
	q.running--
	if serviceTime <= 0 {
		return
	}
	weight := math.Max(minWeight, 1-math.Exp(-now.Sub(q.observedAt).Seconds()/averageWindow.Seconds()))
	if value := float64(serviceTime); value > jumpFactor*q.serviceTime || value*jumpFactor < q.serviceTime {
		weight = math.Max(weight, jumpWeight)
	}
	q.serviceTime += weight * (float64(serviceTime) - q.serviceTime)
	q.observedAt = now
}
