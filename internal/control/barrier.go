package control

import (
	"context"
	"sync"
)

// barrierGroup batches concurrent linearizable reads so that they share read barriers. A caller joins only a barrier
// that starts after its call, because an earlier one may not cover entries that were acknowledged in between.
type barrierGroup struct {
	barrier func(ctx context.Context) error

	// mu guards the fields below.
	mu      sync.Mutex
	running bool
	// next is the round that starts after the running one, or nil if no caller waits for it.
	next *barrierRound
}

// barrierRound is one read barrier with its waiting callers. err is written before done is closed.
type barrierRound struct {
	done chan struct{}
	err  error
}

// wait returns the result of a read barrier that started after the call.
func (g *barrierGroup) wait(ctx context.Context) error {
	round := g.join()
	select {
	case <-round.done:
		return round.err
	case <-ctx.Done():
		return unavailable("control.barrier", ctx.Err())
	}
}

// join adds the caller to the next round, and starts the goroutine that runs the rounds if there is none.
func (g *barrierGroup) join() *barrierRound {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.next == nil {
		g.next = &barrierRound{done: make(chan struct{})}
	}
	round := g.next
	if !g.running {
		g.running = true
		go g.run()
	}
	return round
}

// run executes rounds until no caller waits.
func (g *barrierGroup) run() {
	for {
		round := g.takeNext()
		if round == nil {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		round.err = g.barrier(ctx)
		cancel()
		close(round.done)
	}
}

// takeNext returns the next round, or nil after marking the group as not running.
func (g *barrierGroup) takeNext() *barrierRound {
	g.mu.Lock()
	defer g.mu.Unlock()
	round := g.next
	g.next = nil
	g.running = round != nil
	return round
}
