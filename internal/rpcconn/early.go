package relay

import "slices"

// maxEarlyCancels bounds the cancellations that a session remembers. Those of batches that have ended are among them.
const maxEarlyCancels = 1024

// earlyCancels holds cancellations of batches and forwarded requests that are not in progress: net/rpc runs each call of a connection
// in a goroutine of its own, so that a cancellation may overtake the start. The oldest are forgotten first. It is not safe for concurrent use.
type earlyCancels struct {
	byID  map[uint64]earlyCancel
	order []uint64
}

// earlyCancel is the cancellation of the attempts with the numbers, or of all.
type earlyCancel struct {
	all     bool
	numbers []int
}

// add remembers a cancellation, of all attempts if there are no numbers.
func (e *earlyCancels) add(id uint64, numbers []int) {
	known, ok := e.byID[id]
	if !ok {
		if e.byID == nil {
			e.byID = map[uint64]earlyCancel{}
		}
		if len(e.order) >= maxEarlyCancels {
			delete(e.byID, e.order[0])
			e.order = slices.Delete(e.order, 0, 1)
		}
		e.order = append(e.order, id)
	}
	known.all = known.all || len(numbers) == 0
	known.numbers = append(known.numbers, numbers...)
	e.byID[id] = known
}

// take returns what was cancelled before the start, and forgets it.
func (e *earlyCancels) take(id uint64) earlyCancel {
	cancelled, ok := e.byID[id]
	if !ok {
		return earlyCancel{}
	}
	delete(e.byID, id)
	e.order = slices.DeleteFunc(e.order, func(other uint64) bool { return other == id })
	return cancelled
}
