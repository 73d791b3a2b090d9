package control

import (
	"sync"
	"time"
)

// presence remembers when each name was last heard of. It is safe for concurrent use.
type presence struct {
	// mu guards the fields below.
	mu    sync.Mutex
	term  uint64
	since time.Time
	heard map[string]time.Time
}

func newPresence() *presence { return &presence{heard: map[string]time.Time{}} }

// enterTerm forgets what an earlier leadership heard: other members heard of everything since.
func (p *presence) enterTerm(term uint64, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.term == term {
		return
	}
	p.term = term
	p.since = now
	clear(p.heard)
}

func (p *presence) hear(name string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heard[name] = now
}

func (p *presence) forget(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.heard, name)
}

// silence returns the time since the name was heard of, or since the term began.
func (p *presence) silence(name string, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := p.since
	if heard, ok := p.heard[name]; ok && heard.After(last) {
		last = heard
	}
	return now.Sub(last)
}

// count returns how many names were heard of within the window, and forgets the others.
func (p *presence) count(window time.Duration, now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, at := range p.heard {
		if now.Sub(at) > window {
			delete(p.heard, name)
		}
	}
	return len(p.heard)
}
