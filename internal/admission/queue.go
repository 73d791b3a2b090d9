// Package admission decides which requests wait for an upstream, in which order they start, and which are refused
// before they run.
package admission

import (
	"container/heap"
	"math"
	"time"

	"github.com/wisteriamux/wisteriamux/internal/fault"
)

const (
	// MaxQueuedPerSlot bounds the queue of an upstream.
	MaxQueuedPerSlot = 64
	defaultService   = time.Millisecond
	// serviceWeight is the least weight of one observation in the decaying mean of the service time, serviceWindow its
	// time constant: an observation after a pause counts more.
	serviceWeight = 0.1
	serviceWindow = time.Second
	// A jump by jumpFactor in either direction counts with jumpWeight: slow periods last about a second, and a small
	// weight would follow them only when they are over.
	jumpFactor = 2.0
	jumpWeight = 0.5
)

// Weight returns the share of a caller relative to other callers.
type Weight func(caller string) float64

// EqualWeight gives every caller the same share.
func EqualWeight(string) float64 { return 1 }

// Request waits in a Queue.
type Request[T any] struct {
	Caller   string
	Deadline time.Time
	Payload  T

	index int
	lane  *lane[T]
}

// lane holds the waiting requests of one caller, earliest deadline first.
type lane[T any] struct {
	caller  string
	weight  float64
	virtual float64
	waiting []*Request[T]
}

func (l *lane[T]) Len() int           { return len(l.waiting) }
func (l *lane[T]) Less(i, j int) bool { return l.waiting[i].Deadline.Before(l.waiting[j].Deadline) }
func (l *lane[T]) Swap(i, j int) {
	l.waiting[i], l.waiting[j] = l.waiting[j], l.waiting[i]
	l.waiting[i].index = i
	l.waiting[j].index = j
}

func (l *lane[T]) Push(x any) {
	r := x.(*Request[T])
	r.index = len(l.waiting)
	l.waiting = append(l.waiting, r)
}

func (l *lane[T]) Pop() any {
	last := l.waiting[len(l.waiting)-1]
	l.waiting = l.waiting[:len(l.waiting)-1]
	last.index = -1
	return last
}

// Queue is the bounded queue of one upstream with the count of its slots in use. Callers take turns by weight
// (start-time fair queueing); the requests of one caller start by earliest deadline. It is not safe for concurrent use.
type Queue[T any] struct {
	weight  Weight
	slots   int
	running int
	waiting int
	lanes   map[string]*lane[T]
	virtual float64
	service float64
	// observed is the time of the last observation of the service time, zero before the first.
	observed time.Time
}

// NewQueue returns an empty queue for an upstream with that many slots.
func NewQueue[T any](slots int, weight Weight) *Queue[T] {
	return &Queue[T]{weight: weight, slots: slots, lanes: map[string]*lane[T]{}, service: float64(defaultService)}
}

// Resize changes the number of slots. Requests in flight keep theirs.
func (q *Queue[T]) Resize(slots int) { q.slots = slots }

// Backlog returns the number of requests that run or wait.
func (q *Queue[T]) Backlog() int { return q.running + q.waiting }

// Running returns the number of slots in use.
func (q *Queue[T]) Running() int { return q.running }

// ServiceTime returns the expected service time.
func (q *Queue[T]) ServiceTime() time.Duration { return time.Duration(q.service) }

// Push queues a request. It refuses a request that cannot meet its deadline, and one that finds the queue full unless
// its caller is below its share; then the returned request of the caller most above its share gives way.
func (q *Queue[T]) Push(now time.Time, r *Request[T]) (evicted *Request[T], err error) {
	r.index = -1
	if !q.canMeet(now, r, q.expectedWait(r)) {
		return nil, fault.New(fault.NotRun, "admission.push", "expected wait exceeds the remaining time")
	}
	if q.waiting >= q.slots*MaxQueuedPerSlot {
		evicted, err = q.giveWay(r.Caller)
		if err != nil {
			return nil, err
		}
	}
	l := q.lane(r.Caller)
	r.lane = l
	heap.Push(l, r)
	q.waiting++
	return evicted, nil
}

// canMeet reports whether the request can complete in time. While nothing runs it only has to be in time to start:
// otherwise a too large estimate would refuse everything and would never be corrected.
func (q *Queue[T]) canMeet(now time.Time, r *Request[T], wait time.Duration) bool {
	remaining := r.Deadline.Sub(now)
	if q.running == 0 {
		return remaining > 0
	}
	return wait+q.ServiceTime() <= remaining
}

// expectedWait estimates the time until the request starts: everything ahead of it in its own lane, and the other
// callers' requests as far as they take turns with those.
func (q *Queue[T]) expectedWait(r *Request[T]) time.Duration {
	own, weight := 0, q.weight(r.Caller)
	others := 0.0
	if l, ok := q.lanes[r.Caller]; ok {
		for _, waiting := range l.waiting {
			if !r.Deadline.Before(waiting.Deadline) {
				own++
			}
		}
	}
	for _, l := range q.lanes {
		if l.caller != r.Caller {
			others += math.Min(float64(len(l.waiting)), float64(own+1)*l.weight/weight)
		}
	}
	ahead := float64(own) + others + float64(q.running-q.slots+1)
	return time.Duration(math.Max(0, ahead) / float64(max(q.slots, 1)) * q.service)
}

// giveWay removes the latest request of the caller most above its share, which must not be the given caller.
func (q *Queue[T]) giveWay(caller string) (*Request[T], error) {
	load := func(l *lane[T], extra int) float64 { return float64(len(l.waiting)+extra) / l.weight }
	own := q.lane(caller)
	largest := own
	for _, l := range q.lanes {
		if load(l, 0) > load(largest, 0) || (load(l, 0) == load(largest, 0) && l.caller < largest.caller) {
			largest = l
		}
	}
	if largest == own || load(own, 1) >= load(largest, 0) {
		if len(q.lanes) > 1 && largest == own {
			return nil, fault.New(fault.OverShare, "admission.push", "queue is full and caller %q is above its share", caller)
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

func (q *Queue[T]) lane(caller string) *lane[T] {
	l, ok := q.lanes[caller]
	if !ok {
		l = &lane[T]{caller: caller, weight: q.weight(caller), virtual: q.virtual}
		q.lanes[caller] = l
	}
	if len(l.waiting) == 0 {
		l.virtual = math.Max(l.virtual, q.virtual)
	}
	return l
}

// Remove takes a waiting request out; false when it does not wait any more.
func (q *Queue[T]) Remove(r *Request[T]) bool {
	if r.index < 0 || r.lane == nil {
		return false
	}
	heap.Remove(r.lane, r.index)
	q.waiting--
	return true
}

// Next takes a slot for the next request; nil when no slot is free or nothing waits. The dropped requests can no
// longer meet their deadline and have not run.
func (q *Queue[T]) Next(now time.Time) (start *Request[T], dropped []*Request[T]) {
	for q.running < q.slots && q.waiting > 0 {
		l := q.turn()
		r := heap.Pop(l).(*Request[T])
		q.waiting--
		if !q.canMeet(now, r, 0) {
			dropped = append(dropped, r)
			continue
		}
		q.virtual = l.virtual
		l.virtual += 1 / l.weight
		q.running++
		return r, dropped
	}
	return nil, dropped
}

// turn returns the lane with the least virtual time and drops the lanes whose callers have left.
func (q *Queue[T]) turn() *lane[T] {
	var first *lane[T]
	for caller, l := range q.lanes {
		if len(l.waiting) == 0 {
			if l.virtual <= q.virtual {
				delete(q.lanes, caller)
			}
			continue
		}
		if first == nil || l.virtual < first.virtual || (l.virtual == first.virtual && l.caller < first.caller) {
			first = l
		}
	}
	return first
}

// LastObserved returns the time of the last observation of the service time, zero before the first.
func (q *Queue[T]) LastObserved() time.Time { return q.observed }

// Done frees a slot. A positive service time is an observation; a cancelled or failed request passes zero.
func (q *Queue[T]) Done(now time.Time, service time.Duration) {
	q.running--
	if service <= 0 {
		return
	}
	weight := math.Max(serviceWeight, 1-math.Exp(-now.Sub(q.observed).Seconds()/serviceWindow.Seconds()))
	if value := float64(service); value > jumpFactor*q.service || value*jumpFactor < q.service {
		weight = math.Max(weight, jumpWeight)
	}
	q.service += weight * (float64(service) - q.service)
	q.observed = now
}
