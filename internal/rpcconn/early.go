package rpcconn

import "slices"

// maxEarlyCancels bounds the cancellations that are remembered. Those of work that has ended are among them.
const maxEarlyCancels = 1024

// EarlyCancels holds cancellations of work that is not in progress: net/rpc runs each call of a connection in a goroutine of its own, so
// that a cancellation may overtake the start. The oldest are forgotten first. The zero value is ready to use. It is not safe for
// concurrent use.
type EarlyCancels struct {
	byID  map[uint64]EarlyCancel
	order []uint64
}

// EarlyCancel is the cancellation of the numbered parts of some work, or of all of it.
type EarlyCancel struct {
	All     bool
	Numbers []int
}

// Add remembers a cancellation, of all the work if there are no numbers.
func (e *EarlyCancels) Add(id uint64, numbers []int) {
	known, ok := e.byID[id]
	if !ok {
		if e.byID == nil {
			e.byID = map[uint64]EarlyCancel{}
		}
		if len(e.order) >= maxEarlyCancels {
			delete(e.byID, e.order[0])
			e.order = slices.Delete(e.order, 0, 1)
		}
		e.order = append(e.order, id)
	}
	known.All = known.All || len(numbers) == 0
	known.Numbers = append(known.Numbers, numbers...)
	e.byID[id] = known
}

// Take returns what was cancelled before the start, and forgets it.
func (e *EarlyCancels) Take(id uint64) EarlyCancel {
	cancelled, ok := e.byID[id]
	if !ok {
		return EarlyCancel{}
	}
	delete(e.byID, id)
	e.order = slices.DeleteFunc(e.order, func(other uint64) bool { return other == id })
	return cancelled
}
