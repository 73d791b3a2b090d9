package control

import (
	"context"
	"sync"
)

// barrierGroup lets concurrent callers share read barriers. A caller joins only a barrier that starts after its call,
// since an earlier one may miss entries acknowledged in between.
type barrierGroup struct {
	barrier func(ctx context.Context) error

	// mu guards the fields below.
	mu      sync.Mutex
	running bool
	next    *barrierRound
}

// barrierRound is one barrier. err is written before done is closed.
type barrierRound struct {
	done chan struct{}
	err  error
}

// wait returns the result of a barrier that started after the call.
func (g *barrierGroup) wait(ctx context.Context) error {
	round := g.join()
	select {
	case <-round.done:
		return round.err
	case <-ctx.Done():
		return unavailable("control.barrier", ctx.Err())
	}
}

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

// run executes rounds until nobody waits.
func (g *barrierGroup) run() {
	for {
		round := g.take()
		if round == nil {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		round.err = g.barrier(ctx)
		cancel()
		close(round.done)
	}
}

func (g *barrierGroup) take() *barrierRound {
	g.mu.Lock()
	defer g.mu.Unlock()
	round := g.next
	g.next = nil
	g.running = round != nil
	return round
}
